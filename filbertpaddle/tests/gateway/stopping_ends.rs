//! What a stopping node's callers get that still wait at the end of its grace period.

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::target::Behaviour;
use http::Method;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Output of a stream that lasts longer than the grace period, at an event each 20 ms.
const LONG_OUTPUT_TOKENS: u32 = 4_000;

fn send(
    cluster: &Cluster,
    attempt: &str,
    path: &str,
    output: Option<u32>,
) -> JoinHandle<ReceivedAnswer> {
    let node = cluster.nodes[0].addresses.callers;
    let sent = request(attempt, Method::POST, path, output);
    tokio::spawn(async move { caller::send(node, &sent).await })
}

async fn wait_until_run(cluster: &Cluster, attempts: &[&str]) {
    wait_until("the requests run", async || {
        let is_run = |attempt: &&str| !cluster.run_log.runs_of(attempt).is_empty();
        attempts.iter().all(is_run)
    })
    .await;
}

/// A node exited at the end of its grace period without an answer to those that still waited.
#[tokio::test]
async fn requests_unanswered_at_the_end_of_the_grace_period_get_an_answer() {
    let mut cluster = Cluster::new("stopping-unanswered").await;
    cluster.add_target("e1", "engine", "dc-a").await;
    cluster.add_target("p1", "app", "dc-a").await;
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let begun = send(&cluster, "begun", STREAM_PATH, Some(LONG_OUTPUT_TOKENS));
    let moved = send(
        &cluster,
        "resumable",
        RESUMABLE_PATH,
        Some(LONG_OUTPUT_TOKENS),
    );
    wait_until_run(&cluster, &["begun", "resumable"]).await;
    for target in &cluster.targets {
        target.set_behaviour(Behaviour::Unresponsive);
    }
    let write = send(&cluster, "write", WRITE_PATH, None);
    let stream = send(&cluster, "stream", STREAM_PATH, Some(40));
    wait_until_run(&cluster, &["write", "stream"]).await;
    let process = &mut cluster.nodes[0].process;
    process.terminate().unwrap();
    for waiting in [write, stream] {
        let answer = waiting.await.unwrap();
        assert_eq!((answer.code(), answer.is_complete), (502, true));
    }
    for cut in [begun, moved] {
        let answer = cut.await.unwrap();
        assert_eq!((answer.code(), answer.is_complete), (200, false));
    }
    assert!(process.wait().unwrap().success());
    cluster.close();
}

/// A node whose grace period is shorter than the balancer needs waited past its end.
#[tokio::test]
async fn a_short_grace_period_ends_with_an_answer_too() {
    let mut cluster = Cluster::new("stopping-short").await;
    cluster.add_target("p1", "app", "dc-a").await;
    let mut options = cluster.node_options("node-0", "dc-a");
    options.grace_s = 2;
    cluster.start_node(&options);
    cluster.wait_until_ready().await;
    cluster.targets[0].set_behaviour(Behaviour::Unresponsive);
    let write = send(&cluster, "write", WRITE_PATH, None);
    wait_until_run(&cluster, &["write"]).await;
    cluster.nodes[0].process.terminate().unwrap();
    let answer = write.await.unwrap();
    assert_eq!((answer.code(), answer.is_complete), (502, true));
    assert!(cluster.nodes[0].process.wait().unwrap().success());
    cluster.close();
}
