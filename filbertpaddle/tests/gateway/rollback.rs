//! The store comes back from a copy some seconds old, without what was written since.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::node::Node;
use filbertpaddle_adapter_standins::store::Fault;
use filbertpaddle_adapter_standins::target::Target;
use http::Method;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use crate::cluster::READ_PATH;
use crate::cluster::configuration;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Time for which the nodes hold what the copy lacks: four intervals of targets' entries.
const REWRITE_TIME: Duration = Duration::from_millis(4_800);
/// Time after which all nodes have noticed the rollback.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);

impl Cluster {
    /// Takes the store away for a moment and brings it back from its copy.
    async fn roll_back_store(&self) {
        self.store.set_fault(Fault::Unavailable);
        sleep(Duration::from_millis(300)).await;
        self.store.roll_back();
        self.store.set_fault(Fault::None);
    }

    /// Returns the status of a request with an API key to a node.
    async fn status(&self, node: &Node, key: &str) -> u16 {
        let mut sent = request("a", Method::GET, READ_PATH, None);
        sent.key = Some(key.to_owned());
        caller::send(node.addresses.callers, &sent).await.code()
    }

    /// Sends some requests to a node; returns whether a target has received any.
    async fn reaches(&self, node: &Node, target: &Target) -> bool {
        let before = target.arrivals();
        for number in 0..12 {
            let sent = request(&format!("r{number}"), Method::GET, READ_PATH, None);
            caller::send(node.addresses.callers, &sent).await;
        }
        target.arrivals() > before
    }
}

#[tokio::test]
async fn keys_and_drains_from_before_a_rollback_stay_in_force() {
    let cluster = Cluster::with_nodes("rollback", 2).await;
    cluster.wait_until_registered().await;
    cluster.store.copy_rows();
    cluster.store.put_configuration(&configuration(2, "new"));
    cluster.target("p1").drain();
    cluster.announce("p1");
    for node in &cluster.nodes {
        wait_until("the new key is in force", async || {
            cluster.status(node, "new").await == 200
        })
        .await;
        wait_until("the draining target gets nothing", async || {
            !cluster.reaches(node, cluster.target("p1")).await
        })
        .await;
    }
    // Twice in a row: the second time while entries are held for the first.
    for _ in 0..2 {
        cluster.roll_back_store().await;
        sleep(NOTICE_TIME).await;
        for node in &cluster.nodes {
            assert_eq!(cluster.status(node, KEY).await, 401);
            assert_eq!(cluster.status(node, "new").await, 200);
            assert!(!cluster.reaches(node, cluster.target("p1")).await);
        }
    }
    // The operator writes its configuration again, and later a new one.
    cluster.store.put_configuration(&configuration(2, "new"));
    cluster.store.put_configuration(&configuration(3, "newest"));
    for node in &cluster.nodes {
        wait_until("the newest key is in force", async || {
            cluster.status(node, "newest").await == 200
        })
        .await;
    }
    cluster.close();
}

#[tokio::test]
async fn targets_and_nodes_that_the_copy_lacks_stay_in_use_and_are_listed_again() {
    let mut cluster = Cluster::new("relisted").await;
    cluster.store.copy_rows();
    for (id, service) in [("e1", "engine"), ("p1", "app"), ("p2", "app")] {
        cluster.add_target(id, service, "dc-a").await;
    }
    for index in 0..2 {
        cluster.add_node(&format!("node-{index}"), "dc-a");
    }
    cluster.wait_until_ready().await;
    cluster.wait_until_registered().await;
    cluster.roll_back_store().await;
    assert!(cluster.store.nodes().is_empty());
    cluster.announce("e1");
    cluster.announce("p1");
    // The nodes write their own entries again.
    cluster.wait_until_registered().await;
    for node in &cluster.nodes {
        assert_eq!(cluster.status(node, KEY).await, 200);
    }
    // What was not written again counts as gone after a while, and what was does not.
    sleep(REWRITE_TIME).await;
    for node in &cluster.nodes {
        wait_until(
            "the target that did not list itself again is removed",
            async || !cluster.reaches(node, cluster.target("p2")).await,
        )
        .await;
        assert_eq!(cluster.status(node, KEY).await, 200);
    }
    cluster.close();
}

#[tokio::test]
async fn a_node_paused_over_a_rollback_holds_a_data_centre_out() {
    let mut cluster = Cluster::with_nodes("paused", 2).await;
    cluster.add_target("p3", "app", "dc-b").await;
    cluster.wait_until_registered().await;
    cluster.store.copy_rows();
    cluster.store.set_data_centre("dc-a", true);
    for node in &cluster.nodes {
        wait_until("the data centre gets nothing", async || {
            !cluster.reaches(node, cluster.target("p1")).await
        })
        .await;
    }
    cluster.nodes[0].process.pause().unwrap();
    cluster.roll_back_store().await;
    sleep(NOTICE_TIME).await;
    cluster.nodes[0].process.resume().unwrap();
    sleep(NOTICE_TIME).await;
    for node in &cluster.nodes {
        assert!(!cluster.reaches(node, cluster.target("p1")).await);
    }
    // The operator gives the order again: it stays in force.
    cluster.store.set_data_centre("dc-a", true);
    sleep(REWRITE_TIME).await;
    for node in &cluster.nodes {
        assert!(!cluster.reaches(node, cluster.target("p1")).await);
    }
    cluster.store.set_data_centre("dc-a", false);
    for node in &cluster.nodes {
        wait_until("the data centre is used again", async || {
            cluster.reaches(node, cluster.target("p1")).await
        })
        .await;
    }
    cluster.close();
}
