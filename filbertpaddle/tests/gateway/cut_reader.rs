//! The path from a reader to the store goes silent while its followers are sound.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_standins::proxy::Link;
use filbertpaddle_standins::proxy::Proxy;
use http::Method;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::configuration;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Time within which an acknowledged change must be in force, as the users' deployments
/// state it.
pub(crate) const APPLY_BOUND: Duration = Duration::from_millis(2_000);
/// Time within which a reader calls the store at least once.
const CALL_WINDOW: Duration = Duration::from_millis(2_500);
/// Time after a change of a table after which a reader has begun its next long poll of it.
pub(crate) const NEXT_POLL_DELAY: Duration = Duration::from_millis(300);
pub(crate) const NODES: usize = 3;

/// Starts nodes of one data centre, each with its own path to the store.
async fn start_nodes(cluster: &mut Cluster) -> Vec<Proxy> {
    let mut paths = Vec::new();
    for index in 0..NODES {
        let path = Proxy::start(cluster.store.address).await.unwrap();
        let mut options = cluster.node_options(&format!("node-{index}"), "dc-a");
        options.store = path.address;
        cluster.start_node(&options);
        paths.push(path);
    }
    cluster.wait_until_ready().await;
    paths
}

/// Waits until all nodes but one follow that one; returns its number.
pub(crate) async fn find_reader(paths: &[&Proxy]) -> usize {
    let bytes = || paths.iter().map(|path| path.counts().forward_bytes);
    loop {
        let before: Vec<_> = bytes().collect();
        sleep(CALL_WINDOW).await;
        let after = bytes().enumerate();
        let callers: Vec<_> = after
            .filter(|(node, bytes)| *bytes > before[*node])
            .map(|(node, _)| node)
            .collect();
        if let [reader] = callers[..] {
            return reader;
        }
    }
}

impl Cluster {
    /// Writes a configuration with a new API key and waits until it is in force at `nodes`;
    /// returns the longest time that it took.
    pub(crate) async fn change_key(&self, version: u64, nodes: &[usize]) -> Duration {
        let key = format!("key-{version}");
        self.store.put_configuration(&configuration(version, &key));
        let acknowledged = Instant::now();
        for node in nodes {
            wait_until("the new key is in force", async || {
                let mut sent = request("k", Method::GET, READ_PATH, None);
                sent.key = Some(key.clone());
                let node = &self.nodes[*node];
                caller::send(node.addresses.callers, &sent).await.code() == 200
            })
            .await;
        }
        acknowledged.elapsed()
    }
}

/// A reader waited out its long poll, and its followers took the lack of changes for their
/// absence.
#[tokio::test]
async fn followers_apply_a_configuration_in_time_while_their_reader_is_cut_off_from_the_store() {
    let mut cluster = Cluster::new("cut-reader").await;
    for id in ["p1", "p2"] {
        cluster.add_target(id, "app", "dc-a").await;
    }
    let paths = start_nodes(&mut cluster).await;
    let to_store: Vec<_> = paths.iter().collect();
    let reader = find_reader(&to_store).await;
    let followers: Vec<_> = (0..NODES).filter(|node| *node != reader).collect();
    // The reader begins the long polls of both tables anew, with their whole time to wait.
    cluster.announce("p1");
    cluster.change_key(2, &[0, 1, 2]).await;
    sleep(NEXT_POLL_DELAY).await;
    paths[reader].set_link(Link::Stall);
    let took = cluster.change_key(3, &followers).await;
    assert!(took <= APPLY_BOUND, "in force after {took:?}");
    paths[reader].heal();
    cluster.change_key(4, &[0, 1, 2]).await;
    cluster.close();
}
