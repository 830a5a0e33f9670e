//! Nodes that reach no target in service by any path.

use std::cell::Cell;

use filbertpaddle_standins::gate::Passage;
use http::Method;

use crate::cluster::READ_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::readiness;
use crate::cluster::request;
use crate::cluster::wait_until;
use crate::cut_from_targets::GatedCluster;

const NODES: usize = 3;

/// Sets whether the nodes must reach targets in service to be ready.
async fn require_paths(gated: &GatedCluster) {
    for number in 0..NODES {
        let node = format!("node-{number}");
        let path = gated.cluster.settings_path(&node);
        let settings = std::fs::read_to_string(&path).unwrap();
        std::fs::write(&path, format!("{settings}contracts: [\"health\"]\n")).unwrap();
        let is_reloaded = async || gated.cluster.log(&node).contains("settings reloaded");
        wait_until("the settings are reread", is_reloaded).await;
    }
}

async fn set_all(gated: &mut GatedCluster, passage: Passage) {
    for number in 0..NODES {
        // The targets of the other data centre are out of service and accept connections.
        gated.set_first_data_centre(number, passage).await;
    }
}

/// Failure: one data centre is out of service, and no node reaches the targets of the other.
#[tokio::test]
async fn a_node_that_reaches_no_target_in_service_leaves_the_rotation_until_it_does() {
    let mut gated = GatedCluster::start("path-readiness").await;
    require_paths(&gated).await;
    gated.cluster.store.set_data_centre("dc-b", true);
    set_all(&mut gated, Passage::RefuseNew).await;
    let node = &gated.cluster.nodes[1];
    let round = Cell::new(0);
    wait_until("a node is not ready", async || {
        round.set(round.get() + 1);
        let attempt = format!("write-{}", round.get());
        let write = request(&attempt, Method::POST, WRITE_PATH, None);
        let answer = gated.send(1, &write).await;
        assert_ne!(answer.code(), 200);
        readiness(node).await == 503
    })
    .await;
    let refused = request("refused", Method::POST, WRITE_PATH, None);
    assert_eq!(gated.send(1, &refused).await.code(), 503);
    assert!(gated.cluster.run_log.runs_of("refused").is_empty());
    set_all(&mut gated, Passage::Open).await;
    let node = &gated.cluster.nodes[1];
    wait_until("the node is ready again", async || {
        readiness(node).await == 200
    })
    .await;
    let served = request("served", Method::GET, READ_PATH, None);
    assert_eq!(gated.send(1, &served).await.code(), 200);
    gated.close();
}
