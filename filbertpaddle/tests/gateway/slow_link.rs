//! Links between a reader and its followers that are slow, or narrow beside a large configuration.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::proxy::Faults;
use filbertpaddle_standins::proxy::Link;
use filbertpaddle_standins::proxy::Proxy;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use crate::cluster::configuration;
use crate::cluster::request;
use crate::cluster::wait_until;
use crate::cut_reader::APPLY_BOUND;
use crate::cut_reader::NEXT_POLL_DELAY;
use crate::cut_reader::NODES;
use crate::cut_reader::find_reader;

/// Increase of the delay at a time, so that messages never stop for as long as a silent node's.
const DELAY_STEP_MS: Millis = Millis(200);
/// Time between two increases.
const STEP_INTERVAL: Duration = Duration::from_millis(400);

/// Routes of a large configuration.
const ROUTES: usize = 1_400;
/// Rate of each connection of a node with a narrow link.
const NARROW_BYTES_PER_SEC: u64 = 300_000;

/// Paths of a node.
struct Paths {
    /// To the store.
    store: Proxy,
    /// From other nodes.
    peers: Proxy,
}

/// Starts nodes of one data centre, each with its own paths.
async fn start_nodes(cluster: &mut Cluster) -> Vec<Paths> {
    let mut paths = Vec::new();
    for index in 0..NODES {
        let store = Proxy::start(cluster.store.address).await.unwrap();
        let mut options = cluster.node_options(&format!("node-{index}"), "dc-a");
        options.store = store.address;
        cluster.start_node(&options);
        let address = cluster.nodes[index].addresses.peers;
        let peers = Proxy::start(address).await.unwrap();
        cluster.store.replace_address(address, peers.address);
        paths.push(Paths { store, peers });
    }
    cluster.wait_until_ready().await;
    paths
}

/// Raises the delay of a link step by step.
async fn slow_down(link: &Proxy, up_to_ms: Millis) {
    let mut delay_ms = Millis::ZERO;
    while delay_ms < up_to_ms {
        delay_ms = delay_ms + DELAY_STEP_MS;
        link.set_faults(Faults {
            delay_ms,
            ..Faults::default()
        });
        sleep(STEP_INTERVAL).await;
    }
}

/// Limits the rate of a path.
fn make_narrow(path: &Proxy) {
    path.set_faults(Faults {
        bytes_per_sec: Some(NARROW_BYTES_PER_SEC),
        ..Faults::default()
    });
}

/// Returns a configuration with many routes, whose names begin with a word.
fn large_configuration(version: u64, word: &str) -> Value {
    let mut large = configuration(version, KEY);
    let routes = large["routes"].as_array_mut().unwrap();
    let model = routes[2].clone();
    for number in 0..ROUTES {
        let mut route = model.clone();
        route["name"] = json!(format!("{word}-{number}"));
        route["prefix"] = json!(route_prefix(word, number));
        routes.push(route);
    }
    large
}

fn route_prefix(word: &str, number: usize) -> String {
    format!("/{word}-{number}/")
}

impl Cluster {
    /// Writes a configuration and waits until a path is served at `nodes`; returns the longest
    /// time that it took.
    async fn change_routes(&self, written: &Value, path: &str, nodes: &[usize]) -> Duration {
        self.store.put_configuration(written);
        let acknowledged = Instant::now();
        for node in nodes {
            wait_until("the path is served", async || {
                let sent = request("r", Method::GET, path, None);
                let node = &self.nodes[*node];
                caller::send(node.addresses.callers, &sent).await.code() == 200
            })
            .await;
        }
        acknowledged.elapsed()
    }
}

/// Starts a cluster; returns the paths of its nodes, its reader, and the other nodes.
async fn start(name: &str) -> (Cluster, Vec<Paths>, usize, Vec<usize>) {
    let mut cluster = Cluster::new(name).await;
    for id in ["p1", "p2"] {
        cluster.add_target(id, "app", "dc-a").await;
    }
    let paths = start_nodes(&mut cluster).await;
    let stores: Vec<_> = paths.iter().map(|paths| &paths.store).collect();
    let reader = find_reader(&stores).await;
    let followers = (0..NODES).filter(|node| *node != reader).collect();
    (cluster, paths, reader, followers)
}

/// Followers counted the age of a table from the arrival of the message that stated it, however
/// long that had been under way, and relied on it.
#[tokio::test]
async fn followers_apply_a_configuration_in_time_though_the_link_to_their_reader_is_slow() {
    let (cluster, paths, reader, followers) = start("slow-link").await;
    slow_down(&paths[reader].peers, Millis(2_600)).await;
    let took = cluster.change_key(2, &followers).await;
    assert!(took <= APPLY_BOUND, "in force after {took:?}");
    cluster.close();
}

/// The same for a link that is a little slow, and a reader that is then cut off from the store.
#[tokio::test]
async fn followers_apply_a_configuration_in_time_while_a_reader_behind_a_slow_link_is_cut_off() {
    let (cluster, paths, reader, followers) = start("slow-link-cut").await;
    slow_down(&paths[reader].peers, Millis(1_000)).await;
    // The reader begins the long polls of both tables anew, with their whole time to wait.
    cluster.announce("p1");
    cluster.change_key(2, &[0, 1, 2]).await;
    sleep(NEXT_POLL_DELAY).await;
    paths[reader].store.set_link(Link::Stall);
    let took = cluster.change_key(3, &followers).await;
    assert!(took <= APPLY_BOUND, "in force after {took:?}");
    paths[reader].store.heal();
    cluster.close();
}

/// Each change brought the whole configuration, over links on which it took longer than the time
/// after which a link counted as broken and a read of the store as failed.
#[tokio::test]
async fn a_change_of_a_large_configuration_is_in_force_in_time_over_narrow_links() {
    let (cluster, paths, reader, followers) = start("narrow-links").await;
    let all: Vec<_> = (0..NODES).collect();
    let large = large_configuration(2, "first");
    let last_path = route_prefix("first", ROUTES - 1);
    cluster.change_routes(&large, &last_path, &all).await;
    make_narrow(&paths[reader].peers);
    for follower in followers {
        make_narrow(&paths[follower].store);
    }
    let mut changed = large_configuration(3, "first");
    changed["routes"][2]["prefix"] = json!("/moved/");
    let took = cluster.change_routes(&changed, "/moved/", &all).await;
    assert!(took <= APPLY_BOUND, "in force after {took:?}");
    cluster.close();
}

#[tokio::test]
async fn a_node_that_starts_with_a_narrow_link_receives_a_large_configuration() {
    let (mut cluster, paths, reader, _) = start("narrow-start").await;
    let all: Vec<_> = (0..NODES).collect();
    let large = large_configuration(2, "first");
    let last_path = route_prefix("first", ROUTES - 1);
    cluster.change_routes(&large, &last_path, &all).await;
    let store = Proxy::start(cluster.store.address).await.unwrap();
    make_narrow(&paths[reader].peers);
    make_narrow(&store);
    let mut options = cluster.node_options("late", "dc-a");
    options.store = store.address;
    cluster.start_node(&options);
    cluster.wait_until_ready().await;
    cluster.close();
}

/// A read of the store counted as failed while its response was under way.
#[tokio::test]
async fn a_node_reads_a_large_configuration_over_a_narrow_path_to_the_store() {
    let mut cluster = Cluster::new("narrow-store").await;
    cluster.add_target("p1", "app", "dc-a").await;
    let store = Proxy::start(cluster.store.address).await.unwrap();
    let mut options = cluster.node_options("node-0", "dc-a");
    options.store = store.address;
    cluster.start_node(&options);
    cluster.wait_until_ready().await;
    make_narrow(&store);
    let large = large_configuration(2, "first");
    let last_path = route_prefix("first", ROUTES - 1);
    cluster.change_routes(&large, &last_path, &[0]).await;
    cluster.close();
}
