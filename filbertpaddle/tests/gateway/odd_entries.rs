//! Entries of another writer among those of the targets.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::node::Node;
use filbertpaddle_adapter_standins::odd_entries;
use http::Method;
use tokio::net::TcpListener;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Requests that must pass over a target that is no longer listed.
const CHECKED_REQUESTS: usize = 4;
/// IDs that no header can carry, with entries that are sound otherwise.
const ODD_IDS: [&str; 3] = ["odd\nid", "odd \u{1f600}", ""];

impl Cluster {
    /// Sends a request to a node, which must be served; returns the target that ran it.
    async fn served_by(&self, node: &Node) -> String {
        let attempt = format!("a{}", self.run_log.runs().len());
        let sent = request(&attempt, Method::GET, READ_PATH, None);
        let code = caller::send(node.addresses.callers, &sent).await.code();
        assert_eq!(code, 200, "{attempt}");
        self.run_log.runs_of(&attempt)[0].target.clone()
    }

    /// Returns how often a node has logged a message about a key.
    fn count_logged(&self, node: usize, message: &str, key: &str) -> usize {
        let log = self.log(&format!("node-{node}"));
        let lines = log.lines();
        lines
            .filter(|line| line.contains(message) && line.contains(key))
            .count()
    }

    async fn wait_until_used(&self, node: &Node, id: &str, what: &str) {
        let what = format!("{id} is used, {what}");
        wait_until(&what, async || self.served_by(node).await == id).await;
    }

    /// Checks that all nodes follow the list: a target that is listed now gets their requests,
    /// and once it is removed for the `round`th time, none of them. Another one stays in use.
    async fn check_following(&self, what: &str, round: usize) {
        self.announce("p3");
        for node in &self.nodes {
            self.wait_until_used(node, "p3", what).await;
            self.wait_until_used(node, "p1", what).await;
        }
        self.store.remove_target("p3");
        for (index, node) in self.nodes.iter().enumerate() {
            wait_until(&format!("p3 is removed, {what}"), async || {
                self.count_logged(index, "target removed", r#""target":"p3""#) >= round
            })
            .await;
            for _ in 0..CHECKED_REQUESTS {
                assert_ne!(self.served_by(node).await, "p3", "{what}");
            }
        }
    }
}

/// Nodes ended, or no longer followed the list, once a single entry of it could not be decoded.
#[tokio::test]
async fn nodes_follow_the_list_whatever_entries_others_leave_in_it() {
    let mut cluster = Cluster::with_nodes("odd_entries", 3).await;
    cluster.add_target("p3", "app", "dc-a").await;
    let sound = cluster.target("p1");
    let sound = sound.announce(sound.address);
    let mut rounds = 1..;
    let values = odd_entries::target_values(&sound);
    for (number, (what, value)) in values.into_iter().enumerate() {
        // Half of them at one key, which is before the keys of the sound targets.
        let key = if number % 2 == 0 { "a-odd" } else { what };
        cluster.store.put_raw_target(key, value);
        cluster.check_following(what, rounds.next().unwrap()).await;
    }
    for id in ODD_IDS {
        cluster.store.put_target(id, &sound);
        cluster.check_following(id, rounds.next().unwrap()).await;
    }
    let row = serde_json::Value::from(7);
    cluster.store.put_odd_row("a-row", row);
    cluster
        .check_following("odd row", rounds.next().unwrap())
        .await;
    for (number, value) in odd_entries::node_values().into_iter().enumerate() {
        let name = format!("odd-node-{number}");
        cluster.store.put_raw_node(&name, value);
    }
    // The whole table is read again, with all entries that are there.
    cluster.store.drop_history();
    cluster
        .check_following("read again", rounds.next().unwrap())
        .await;
    for node in 0..cluster.nodes.len() {
        assert!(cluster.count_logged(node, "cannot be decoded", "port 0") <= 1);
        let links = cluster.count_logged(node, "stopped following", "invalid message");
        assert_eq!(links, 0);
    }
    let started = cluster.nodes.len();
    cluster.add_node("late", "dc-a");
    cluster.wait_until_ready().await;
    let late = &cluster.nodes[started];
    cluster.announce("p3");
    cluster.wait_until_used(late, "p3", "late node").await;
    cluster.close();
}

/// A node took itself for connected to targets, as the address of an entry that names none
/// accepted its connections.
#[tokio::test]
async fn nodes_do_not_connect_to_targets_of_services_that_are_not_named() {
    let mut cluster = Cluster::with_nodes("unnamed", 1).await;
    let other = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let sound = cluster.target("p1").announce(other.local_addr().unwrap());
    let values = odd_entries::target_values(&sound);
    let (_, unnamed) = values.into_iter().last().unwrap();
    for number in 0..8 {
        let id = format!("odd-{number}");
        cluster.store.put_raw_target(&id, unnamed.clone());
    }
    cluster.store.remove_target("p2");
    wait_until("the last change is known", async || {
        cluster.count_logged(0, "target removed", r#""target":"p2""#) == 1
    })
    .await;
    for id in ["p1", "e1", "e2"] {
        cluster.take_target(id).close();
    }
    wait_until("the node finds that it is cut off", async || {
        let sent = request("a", Method::GET, READ_PATH, None);
        cluster.send(&sent).await;
        cluster.count_logged(0, "node reaches no target itself", "") > 0
    })
    .await;
    let accepted = tokio::time::timeout(Duration::ZERO, other.accept());
    assert!(accepted.await.is_err());
    cluster.close();
}
