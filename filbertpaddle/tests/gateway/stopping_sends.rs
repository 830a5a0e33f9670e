//! A stopping node sends on only what can still end, however long it has waited before.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_adapter_standins::target::Target;
use http::Method;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::cluster::wait_until;

const EVENT_MS: u64 = 160;
/// Output of a stream of 4.8 s at that pace.
const LONG_OUTPUT_TOKENS: u32 = 120;
/// Output of a stream of one event.
const SHORT_OUTPUT_TOKENS: u32 = 4;
/// Time that the second target takes for a plain request.
const LONG_WORK_MS: u64 = 4_000;
/// Time after the signal to stop at which the first target refuses what it has held. A long
/// stream does not end in the rest of the grace period, and a short one does.
const HOLD_TIME: Duration = Duration::from_secs(5);
/// Time after the signal to stop at which a target breaks off its stream, whose rest still ends.
const BREAK_TIME: Duration = Duration::from_secs(3);

fn send(
    cluster: &Cluster,
    attempt: &str,
    path: &str,
    output: Option<u32>,
) -> JoinHandle<ReceivedAnswer> {
    let node = cluster.nodes[0].addresses.callers;
    let mut sent = request(attempt, Method::POST, path, None);
    sent.tokens = output.map(|output| (10, output));
    tokio::spawn(async move { caller::send(node, &sent).await })
}

async fn assert_refused_unrun(cluster: &Cluster, attempt: &str, sent: JoinHandle<ReceivedAnswer>) {
    let answer = sent.await.unwrap();
    assert_eq!(answer.code(), 503, "{attempt}");
    let retry_after_sec = answer.retry_after_sec().unwrap();
    assert!(retry_after_sec < 0.2, "{attempt}: {retry_after_sec}");
    assert!(cluster.run_log.runs_of(attempt).is_empty(), "{attempt}");
}

/// Whether a request ends in time was decided at its admission only, and a request that was
/// refused by its first target late in the grace period was sent to a second one and cut.
#[tokio::test]
async fn a_stopping_node_sends_no_request_on_that_would_be_cut() {
    let mut cluster = Cluster::new("stopping-held").await;
    cluster.add_paced_engine("e1", EVENT_MS).await;
    cluster.add_target("p1", "app", "dc-a").await;
    for target in &cluster.targets {
        target.set_behaviour(Behaviour::Holds);
    }
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let long = send(&cluster, "long", STREAM_PATH, Some(LONG_OUTPUT_TOKENS));
    let short = send(&cluster, "short", STREAM_PATH, Some(SHORT_OUTPUT_TOKENS));
    let write = send(&cluster, "write", WRITE_PATH, None);
    wait_until("the targets hold the requests", async || {
        cluster.targets.iter().map(Target::arrivals).sum::<u64>() == 3
    })
    .await;
    cluster.nodes[0].process.terminate().unwrap();
    cluster.add_paced_engine("e2", EVENT_MS).await;
    cluster.add_slow_target("p2", "app", LONG_WORK_MS).await;
    sleep(HOLD_TIME).await;
    for id in ["e1", "p1"] {
        cluster.target(id).set_behaviour(Behaviour::Full);
    }
    assert_refused_unrun(&cluster, "long", long).await;
    assert_refused_unrun(&cluster, "write", write).await;
    let answer = short.await.unwrap();
    assert_eq!((answer.code(), answer.is_complete), (200, true));
    assert_eq!(answer.body, complete_stream("short", 1));
    assert!(cluster.nodes[0].process.wait().unwrap().success());
    cluster.close();
}

/// Guard: the rest of a stream that has begun is resumed, though a new one like it is refused.
#[tokio::test]
async fn a_stopping_node_resumes_a_stream_that_its_target_breaks_off() {
    let mut cluster = Cluster::new("stopping-resumed").await;
    cluster.add_paced_engine("e1", EVENT_MS).await;
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let begun = send(&cluster, "begun", RESUMABLE_PATH, Some(LONG_OUTPUT_TOKENS));
    wait_until("the stream has begun", async || {
        cluster.targets[0].running().get("begun") > Some(&1)
    })
    .await;
    cluster.nodes[0].process.terminate().unwrap();
    cluster.add_paced_engine("e2", EVENT_MS).await;
    sleep(BREAK_TIME).await;
    let late = send(&cluster, "late", RESUMABLE_PATH, Some(LONG_OUTPUT_TOKENS));
    assert_refused_unrun(&cluster, "late", late).await;
    cluster.take_target("e1").close();
    let answer = begun.await.unwrap();
    assert_eq!((answer.code(), answer.is_complete), (200, true));
    assert_eq!(
        answer.body,
        complete_stream("begun", u64::from(LONG_OUTPUT_TOKENS) / 4)
    );
    assert_eq!(cluster.run_log.runs_of("begun").len(), 2);
    assert!(cluster.nodes[0].process.wait().unwrap().success());
    cluster.close();
}
