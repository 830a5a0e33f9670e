//! Settings that change while nodes run.

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::node::Options;
use filbertpaddle_adapter_standins::store::Store;
use http::Method;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use crate::cluster::READ_PATH;
use crate::cluster::configuration;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Number of times that a copy of the store writes each entry; the more, the later its revisions.
const WRITES: u64 = 20;

impl Cluster {
    /// Starts two nodes with known settings, besides targets.
    async fn with_known_settings(name: &str) -> (Self, Vec<Options>) {
        let mut cluster = Self::with_nodes(name, 0).await;
        let names = ["node-0", "node-1"];
        let options = names.map(|name| cluster.node_options(name, "dc-a"));
        options
            .iter()
            .for_each(|options| cluster.start_node(options));
        cluster.wait_until_ready().await;
        cluster.wait_until_registered().await;
        (cluster, options.to_vec())
    }

    /// Starts another store with the entries of the cluster's.
    async fn copy_store(&self, writes: u64) -> Store {
        let store = Store::start().await.unwrap();
        for _ in 0..writes {
            self.fill(&store);
        }
        store
    }

    fn fill(&self, store: &Store) {
        store.put_configuration(&configuration(1, KEY));
        for target in &self.targets {
            store.put_target(&target.options.id, &target.announce(target.address));
        }
    }

    /// Writes another address of the store into the settings of all nodes, and signals the first.
    fn move_store(&self, options: &[Options], store: &Store) {
        for (node, options) in self.nodes.iter().zip(options) {
            let mut moved = options.clone();
            moved.store = store.address;
            node.write_settings(&moved).unwrap();
        }
        self.nodes[0].process.hang_up().unwrap();
    }

    async fn wait_until_in_force(&self, key: &str) {
        for node in &self.nodes {
            wait_until("the key is in force", async || {
                let mut sent = request("k", Method::GET, READ_PATH, None);
                sent.key = Some(key.to_owned());
                caller::send(node.addresses.callers, &sent).await.code() == 200
            })
            .await;
        }
    }
}

#[tokio::test]
async fn nodes_go_on_at_a_new_address_of_the_store() {
    let (cluster, options) = Cluster::with_known_settings("store-moved").await;
    let moved = cluster.copy_store(WRITES).await;
    cluster.move_store(&options, &moved);
    moved.put_configuration(&configuration(2, "new"));
    cluster.wait_until_in_force("new").await;
    wait_until("the nodes are registered there", async || {
        moved.nodes().len() == 2
    })
    .await;
    let calls = cluster.store.calls();
    moved.put_configuration(&configuration(3, "newest"));
    cluster.wait_until_in_force("newest").await;
    assert_eq!(cluster.store.calls(), calls, "calls to the former address");
    moved.close();
    cluster.close();
}

/// The new address serves less than the nodes know, until the store states that it was rolled
/// back.
#[tokio::test]
async fn a_store_that_is_behind_at_a_new_address_takes_nothing_out_of_force() {
    let (cluster, options) = Cluster::with_known_settings("store-behind").await;
    let known = configuration(2, "known");
    for _ in 0..WRITES {
        cluster.store.put_configuration(&known);
    }
    cluster.wait_until_in_force("known").await;
    let behind = cluster.copy_store(1).await;
    behind.remove_target("p1");
    cluster.move_store(&options, &behind);
    wait_until("a node notices", async || {
        let logs = ["node-0", "node-1"].map(|node| cluster.log(node));
        logs.iter().any(|log| log.contains("is behind"))
    })
    .await;
    cluster.wait_until_in_force("known").await;
    let mut former = request("f", Method::GET, READ_PATH, None);
    former.key = Some(KEY.to_owned());
    assert_eq!(cluster.send(&former).await.code(), 401);
    let arrivals = cluster.target("p1").arrivals();
    wait_until("the removed target is still used", async || {
        let mut sent = request("u", Method::GET, READ_PATH, None);
        sent.key = Some("known".to_owned());
        cluster.send(&sent).await;
        cluster.target("p1").arrivals() > arrivals
    })
    .await;
    behind.roll_back();
    cluster.fill(&behind);
    behind.put_configuration(&configuration(3, "new"));
    cluster.wait_until_in_force("new").await;
    behind.close();
    cluster.close();
}

#[tokio::test]
async fn changed_fields_that_need_a_restart_are_named_until_they_are_restored() {
    let (cluster, options) = Cluster::with_known_settings("restart-only").await;
    let warnings = || cluster.log("node-0").matches("need a restart").count();
    let mut changed = options[0].clone();
    changed.data_centre = "dc-b".to_owned();
    cluster.nodes[0].write_settings(&changed).unwrap();
    for expected in 1..=2 {
        cluster.nodes[0].process.hang_up().unwrap();
        wait_until("the field is named", async || warnings() >= expected).await;
    }
    let log = cluster.log("node-0");
    let line = log.lines().find(|line| line.contains("need a restart"));
    assert!(
        line.unwrap().contains("\"fields\":\"data_centre\""),
        "{line:?}"
    );
    cluster.nodes[0].write_settings(&options[0]).unwrap();
    let reloads = || cluster.log("node-0").matches("received SIGHUP").count();
    let before = reloads();
    cluster.nodes[0].process.hang_up().unwrap();
    wait_until("the settings are reread", async || reloads() > before).await;
    let named = warnings();
    cluster.nodes[0].process.hang_up().unwrap();
    wait_until("they are reread again", async || reloads() > before + 1).await;
    assert_eq!(warnings(), named);
    cluster.close();
}
