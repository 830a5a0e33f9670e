//! A node that has no descriptors left for new connections.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::readiness;
use crate::cluster::wait_until;

/// More than a node has open here without callers.
const DESCRIPTORS: u64 = 80;
const CONNECTIONS: usize = 160;
/// Time in which a node without a pause between attempts logs far more lines than allowed.
const FULL_TIME: Duration = Duration::from_millis(500);
const MAX_LINES: usize = 10;

#[tokio::test]
async fn a_node_that_ran_out_of_descriptors_accepts_all_connections_again() {
    let cluster = Cluster::with_nodes("descriptors", 1).await;
    let node = &cluster.nodes[0];
    node.process.limit_descriptors(DESCRIPTORS).unwrap();
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(TcpStream::connect(node.addresses.callers).await.unwrap());
    }
    let failures = || cluster.log("node-0").matches("not accepted").count();
    wait_until("none is left", async || failures() > 0).await;
    for address in [node.addresses.ready, node.addresses.peers] {
        connections.push(TcpStream::connect(address).await.unwrap());
    }
    sleep(FULL_TIME).await;
    let lines = failures();
    drop(connections);
    wait_until("checks are answered", async || readiness(node).await == 200).await;
    assert!(lines <= MAX_LINES, "{lines} lines");
    cluster.close();
}
