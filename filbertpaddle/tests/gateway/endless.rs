//! Targets that send bytes without end until their connection is closed.

use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::ends_in_doubt;

/// Memory of the smallest VM of the users' deployments.
pub(crate) const MAX_MEMORY_KIB: u64 = 88 << 10;
/// Time in which a response that cannot be one is given up; the request has 14 s.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(6);
const REQUESTS: usize = 16;
const ATTEMPT: &str = "a";
/// Events of a whole stream, and what an endless target sends at a time.
const EVENTS: u64 = 10;
const WRITE_BYTES: usize = 64 << 10;

/// Sends requests to a target that sends without end; returns their status codes.
async fn send_to_endless(cluster: &Cluster, path: &'static str) -> Vec<Option<u16>> {
    let node = cluster.nodes[0].addresses.callers;
    let tokens = (path == STREAM_PATH).then_some(40);
    let mut callers = JoinSet::new();
    for _ in 0..REQUESTS {
        callers.spawn(async move {
            let sent = request(ATTEMPT, Method::POST, path, tokens);
            let answer = timeout(MAX_WAIT, caller::send(node, &sent)).await;
            answer.ok().map(|answer| answer.code())
        });
    }
    callers.join_all().await
}

async fn check_endless(name: &str, path: &'static str, start: String, more: String) {
    let mut cluster = Cluster::new(name).await;
    let more = Bytes::from(more);
    let target = RawTarget::start(start, move |_| Some(more.clone())).await;
    let target = target.unwrap();
    let service = if path == STREAM_PATH { "engine" } else { "app" };
    let entry = target.entry(service, "dc-a");
    cluster.store.put_target("endless", &entry);
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let codes = send_to_endless(&cluster, path).await;
    // What was sent may have run; a back-off refuses the others.
    let is_ended = |code: &Option<u16>| matches!(code, Some(502 | 503));
    assert!(codes.iter().all(is_ended), "{codes:?}");
    assert!(codes.contains(&Some(502)), "{codes:?}");
    let memory_kib = cluster.nodes[0].process.peak_memory_kib().unwrap();
    assert!(memory_kib <= MAX_MEMORY_KIB, "{memory_kib} KiB");
    cluster.close();
}

/// Bodies without end filled the node's memory until the time limit of the request.
#[tokio::test]
async fn body_without_end_is_given_up_within_the_memory_of_a_small_vm() {
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 16, "x".repeat(1 << 16));
    let head = start_of_head(ATTEMPT);
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    check_endless("endless-chunks", WRITE_PATH, chunked, chunk).await;
    let unframed = format!("{head}Connection: close\r\n\r\n");
    let bytes = "x".repeat(1 << 16);
    check_endless("endless-body", WRITE_PATH, unframed, bytes).await;
}

#[tokio::test]
async fn head_without_end_is_given_up_within_the_memory_of_a_small_vm() {
    let field = format!("X-Filler: {}\r\n", "x".repeat(1 << 10));
    check_endless("endless-head", WRITE_PATH, start_of_head(ATTEMPT), field).await;
    let name = "x".repeat(1 << 16);
    check_endless("endless-field", WRITE_PATH, start_of_head(ATTEMPT), name).await;
}

#[tokio::test]
async fn event_without_end_is_given_up_within_the_memory_of_a_small_vm() {
    let head = start_of_head(ATTEMPT);
    let start = format!("{head}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
    let bytes = "x".repeat(1 << 12);
    check_endless("endless-event", STREAM_PATH, start, bytes).await;
}

/// Comments of the target that was left counted against the next one, whose first comment ended the
/// stream.
#[tokio::test]
async fn a_stream_left_for_its_comments_goes_on_at_a_target_that_begins_with_one() {
    let head = start_of_head(ATTEMPT);
    let begun = format!("{head}Connection: close\r\n\r\nid: 1\ndata: a 1\n\n");
    let comments = Bytes::from(":\n\n".repeat(WRITE_BYTES / 3));
    let next_part = move |_| Some(comments.clone());
    let endless = RawTarget::start(begun, next_part).await.unwrap();
    let events = complete_stream(ATTEMPT, EVENTS);
    let rest = &events[complete_stream(ATTEMPT, 1).len()..];
    let rest = format!(":\n\n{}", String::from_utf8_lossy(rest));
    let whole = format!("{head}Content-Length: {}\r\n\r\n{rest}", rest.len());
    let sound = RawTarget::start(whole, |_| None).await.unwrap();
    let cluster = ends_in_doubt::start_cluster("endless-left", &endless, &sound).await;
    let sent = request(ATTEMPT, Method::POST, RESUMABLE_PATH, Some(40));
    let answer = timeout(MAX_WAIT, cluster.send(&sent)).await.unwrap();
    cluster.close();
    assert!(answer.is_complete);
    assert!(answer.body.ends_with(rest.as_bytes()));
    assert_eq!(sound.requests().len(), 1);
}
