//! A node whose log nobody reads.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::node::Addresses;
use filbertpaddle_standins::process::Process;
use http::Method;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::request;

/// Requests whose log lines fill the pipe.
const REQUESTS: u32 = 300;
/// Time after which any node has been killed; far above what it needs to stop.
const STOP_CHECKS: u32 = 200;
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

async fn fill_log(node: SocketAddr) {
    for number in 0..REQUESTS {
        let read = request(&format!("u{number}"), Method::GET, READ_PATH, None);
        assert_eq!(caller::send(node, &read).await.code(), 200);
    }
}

#[tokio::test]
async fn a_node_stops_though_nobody_reads_its_log() {
    let mut cluster = Cluster::with_nodes("unread-log", 1).await;
    let settings = cluster.settings_path("node-0");
    let kept = settings.with_extension("kept");
    std::fs::copy(&settings, &kept).unwrap();
    cluster.nodes.remove(0).close().unwrap();
    let variables = [("FILBERTPADDLE_CONFIG", kept.as_os_str())];
    let program = Path::new(crate::cluster::PROGRAM);
    let mut process = Process::start_with(program, ["gateway"], variables, None).unwrap();
    let addresses: Addresses = process.ready().unwrap();
    let is_ready = async || {
        let read = request("first", Method::GET, READ_PATH, None);
        caller::send(addresses.callers, &read).await.code() == 200
    };
    crate::cluster::wait_until("it serves", is_ready).await;
    fill_log(addresses.callers).await;
    process.terminate().unwrap();
    let mut checks = 0;
    while !process.has_ended().unwrap() && checks < STOP_CHECKS {
        checks += 1;
        sleep(CHECK_INTERVAL).await;
    }
    assert!(process.has_ended().unwrap(), "still running");
    assert!(process.wait().unwrap().success());
    cluster.close();
}
