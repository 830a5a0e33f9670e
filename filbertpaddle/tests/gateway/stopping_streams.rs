//! A node that stops takes only streams that its targets complete before its end.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::STREAM_PATH;
use crate::cluster::complete_stream;
use crate::cluster::readiness;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Time between events of slow but sound targets; the route allows 180 ms.
const SLOW_EVENT_MS: u64 = 160;
/// Few, so that no prompt waits for others.
const PROMPT_TOKENS: u32 = 10;
/// Output of a stream of 4.8 s at that pace.
const OUTPUT_TOKENS: u32 = 120;
/// Number of streams whose pace a node has seen.
const SEEN: usize = 12;
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Number of streams that are sent at it to a stopping node, for most of its grace period.
const SENT: usize = 65;

/// Starts a node before two engines that send an event each `event_ms`.
async fn start(name: &str, event_ms: u64) -> Cluster {
    let mut cluster = Cluster::new(name).await;
    cluster.add_paced_engine("e1", event_ms).await;
    cluster.add_paced_engine("e2", event_ms).await;
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    cluster
}

async fn send_streams(
    cluster: &Cluster,
    name: &str,
    count: usize,
    interval: Duration,
) -> JoinSet<(String, ReceivedAnswer)> {
    let node = cluster.nodes[0].addresses.callers;
    let mut callers = JoinSet::new();
    for number in 0..count {
        let attempt = format!("{name}-{number}");
        let mut sent = request(&attempt, Method::POST, STREAM_PATH, None);
        sent.tokens = Some((PROMPT_TOKENS, OUTPUT_TOKENS));
        callers.spawn(async move { (attempt, caller::send(node, &sent).await) });
        sleep(interval).await;
    }
    callers
}

/// Checks that each stream is complete, or refused without having run; returns how many are
/// complete and how many are refused.
async fn count_ended(
    cluster: &Cluster,
    mut callers: JoinSet<(String, ReceivedAnswer)>,
) -> (usize, usize) {
    let (mut complete, mut refused) = (0, 0);
    while let Some(ended) = callers.join_next().await {
        let (attempt, answer) = ended.unwrap();
        let code = answer.code();
        if cluster.run_log.runs_of(&attempt).is_empty() {
            assert!(matches!(code, 0 | 503), "{attempt}: {code}");
            refused += usize::from(code == 503 && answer.retry_after_sec().is_some());
        } else {
            assert!(answer.is_complete, "{attempt} was cut, status {code}");
            let events = u64::from(OUTPUT_TOKENS) / 4;
            assert_eq!(answer.body, complete_stream(&attempt, events));
            complete += 1;
        }
    }
    (complete, refused)
}

/// A stopping node planned 12 ms for each token, whatever its targets took, and cut streams that
/// sound targets were sending.
#[tokio::test]
async fn a_stopping_node_cuts_no_stream_of_a_slow_but_sound_target() {
    let mut cluster = start("stopping-slow", SLOW_EVENT_MS).await;
    let before = send_streams(&cluster, "before", SEEN, SEND_INTERVAL).await;
    assert_eq!(count_ended(&cluster, before).await, (SEEN, 0));
    cluster.nodes[0].process.terminate().unwrap();
    let callers = send_streams(&cluster, "late", SENT, SEND_INTERVAL).await;
    let (complete, refused) = count_ended(&cluster, callers).await;
    assert!(complete > 0 && refused > 0, "{complete} and {refused}");
    assert!(cluster.nodes[0].process.wait().unwrap().success());
    cluster.close();
}

/// A node that has just started knows only the pauses that the route allows.
#[tokio::test]
async fn a_young_node_that_stops_plans_by_the_pauses_that_its_route_allows() {
    let mut cluster = start("stopping-young", SLOW_EVENT_MS).await;
    cluster.nodes[0].process.terminate().unwrap();
    let callers = send_streams(&cluster, "late", SENT, SEND_INTERVAL).await;
    let (_, refused) = count_ended(&cluster, callers).await;
    assert!(refused > 0);
    assert!(cluster.nodes[0].process.wait().unwrap().success());
    cluster.close();
}

/// By the pauses that its route allows, this stream of 1.2 s would take 10.8 s and be refused.
#[tokio::test]
async fn a_stopping_node_takes_what_its_quick_targets_complete() {
    let cluster = start("stopping-quick", 20).await;
    let before = send_streams(&cluster, "before", SEEN, SEND_INTERVAL).await;
    assert_eq!(count_ended(&cluster, before).await, (SEEN, 0));
    let node = cluster.nodes[0].addresses.callers;
    let running = tokio::spawn(async move {
        let stream = request("s", Method::POST, STREAM_PATH, Some(400));
        caller::send(node, &stream).await
    });
    wait_until("the stream runs", async || {
        !cluster.run_log.runs_of("s").is_empty()
    })
    .await;
    cluster.nodes[0].process.terminate().unwrap();
    wait_until("the node is stopping", async || {
        readiness(&cluster.nodes[0]).await != 200
    })
    .await;
    let sent = request("early", Method::POST, STREAM_PATH, Some(240));
    let answer = cluster.send(&sent).await;
    assert_eq!((answer.code(), answer.is_complete), (200, true));
    assert_eq!(answer.body, complete_stream("early", 60));
    assert!(running.await.unwrap().is_complete);
    cluster.close();
}
