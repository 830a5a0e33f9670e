//! What targets state in their responses: that they leave, and when they want requests again.

use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_adapter_standins::target::Target;
use http::Method;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Requests that may reach a target while it wants none.
const MAX_UNWANTED: u64 = 2;

async fn send_reads(cluster: &Cluster, node: usize, count: usize) {
    for number in 0..count {
        let sent = request(&format!("r{number}"), Method::GET, READ_PATH, None);
        caller::send(cluster.nodes[node].addresses.callers, &sent).await;
    }
}

#[tokio::test]
async fn a_target_that_says_it_leaves_gets_nothing_from_any_node_whatever_the_store_lists() {
    let mut cluster = Cluster::with_nodes("leaving", 2).await;
    cluster.wait_until_registered().await;
    // The store lists it as ready all the while.
    cluster.target("p1").drain();
    wait_until("its first response says that it leaves", async || {
        send_reads(&cluster, 0, 1).await;
        cluster.target("p1").arrivals() > 0
    })
    .await;
    // The other node learns it as well.
    sleep(Duration::from_secs(1)).await;
    let arrivals = cluster.target("p1").arrivals();
    let ready = cluster.target("p2").announce(cluster.target("p1").address);
    cluster.store.put_target("p1", &ready);
    send_reads(&cluster, 0, 15).await;
    send_reads(&cluster, 1, 15).await;
    assert_eq!(cluster.target("p1").arrivals(), arrivals);
    // Its next incarnation is used.
    let old = cluster.take_target("p1");
    old.close();
    cluster.add_incarnation("p1", "app", 2).await;
    for node in 0..2 {
        wait_until("the new incarnation gets requests", async || {
            let before = cluster.target("p1").arrivals();
            send_reads(&cluster, node, 5).await;
            cluster.target("p1").arrivals() > before
        })
        .await;
    }
    cluster.close();
}

#[tokio::test]
async fn a_target_that_refuses_for_a_time_gets_nothing_until_its_end() {
    let cluster = Cluster::with_nodes("deferred", 1).await;
    let target = cluster.target("p1");
    target.set_behaviour(Behaviour::Full);
    target.set_retry_after("2.5");
    wait_until("it refuses a request", async || {
        send_reads(&cluster, 0, 1).await;
        target.arrivals() > 0
    })
    .await;
    let refused_at = Instant::now();
    sleep(Duration::from_millis(500)).await;
    let arrivals = target.arrivals();
    while refused_at.elapsed() < Duration::from_millis(2_300) {
        send_reads(&cluster, 0, 3).await;
    }
    assert!(target.arrivals() - arrivals <= MAX_UNWANTED);
    target.set_behaviour(Behaviour::Normal);
    wait_until("it gets requests again", async || {
        let before = target.arrivals();
        send_reads(&cluster, 0, 3).await;
        target.arrivals() > before
    })
    .await;
    cluster.close();
}

#[tokio::test]
async fn callers_are_refused_at_once_while_all_targets_want_no_requests() {
    let cluster = Cluster::with_nodes("all-deferred", 1).await;
    for target in &cluster.targets {
        target.set_behaviour(Behaviour::Full);
        target.set_retry_after("5");
    }
    for path in [WRITE_PATH, STREAM_PATH] {
        let tokens = (path == STREAM_PATH).then_some(40);
        let send = async |attempt: &str| {
            let sent = request(attempt, Method::POST, path, tokens);
            cluster.send(&sent).await
        };
        send("first").await;
        send("second").await;
        let arrivals: u64 = cluster.targets.iter().map(Target::arrivals).sum();
        let asked = Instant::now();
        let answer = send("third").await;
        assert_eq!(answer.code(), 503);
        assert!(asked.elapsed() < Duration::from_millis(500));
        // Room is expected when the first target wants requests again.
        let retry_after_sec = answer.retry_after_sec().unwrap();
        assert!((3.0..6.0).contains(&retry_after_sec), "{retry_after_sec}");
        assert!(cluster.run_log.runs().is_empty());
        let later: u64 = cluster.targets.iter().map(Target::arrivals).sum();
        assert_eq!(later, arrivals);
    }
    cluster.close();
}

#[tokio::test]
async fn invalid_times_do_not_stop_requests() {
    let cluster = Cluster::with_nodes("invalid-times", 1).await;
    let target = cluster.target("p1");
    for invalid in ["-5", "soon", "NaN"] {
        target.set_behaviour(Behaviour::Full);
        target.set_retry_after(invalid);
        let before = target.arrivals();
        wait_until("it refuses a request", async || {
            send_reads(&cluster, 0, 1).await;
            target.arrivals() > before
        })
        .await;
        target.set_behaviour(Behaviour::Normal);
        let refused = target.arrivals();
        wait_until("it gets requests", async || {
            send_reads(&cluster, 0, 2).await;
            target.arrivals() > refused
        })
        .await;
    }
    cluster.close();
}
