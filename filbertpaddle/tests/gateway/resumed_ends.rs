//! How a stream ends whose next target sends no further event.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::Resume;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use filbertpaddle_adapter_standins::raw_target::start_of_head_with;
use http::Method;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;

const ATTEMPT: &str = "resumed-end";
const EVENTS: u64 = 3;
const UNFRAMED: &str = "Connection: close\r\n\r\n";

/// Returns the answer to a stream whose first target breaks off within the event after
/// [`EVENTS`], and whose next one, in another data centre, sends `next`.
async fn answer_after(name: &str, next: String) -> ReceivedAnswer {
    let mut broken_off = start_of_head(ATTEMPT) + UNFRAMED;
    broken_off += &String::from_utf8(complete_stream(ATTEMPT, EVENTS)).unwrap();
    broken_off += "id: ";
    let mut cluster = Cluster::new(name).await;
    let first = RawTarget::start(broken_off, |_| None).await.unwrap();
    let next = RawTarget::start(next, |_| None).await.unwrap();
    for (target, data_centre) in [(&first, "dc-a"), (&next, "dc-b")] {
        let entry = target.entry("engine", data_centre);
        cluster.store.put_target(data_centre, &entry);
    }
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let sent = request(ATTEMPT, Method::POST, RESUMABLE_PATH, Some(40));
    let answer = cluster.send(&sent).await;
    cluster.close();
    answer
}

/// Checks that the caller gets the first target's events, and sees that the stream broke off.
async fn check_broken_off(name: &str, next: String) {
    let answer = answer_after(name, next).await;
    assert!(!answer.is_complete, "{name}");
    let events = complete_stream(ATTEMPT, EVENTS);
    assert_eq!((answer.code(), answer.body), (200, events), "{name}");
}

/// Such a stream ended as complete: a target that crashes after its head closes in the same way.
#[tokio::test]
async fn a_resumed_stream_is_not_complete_if_its_next_target_closes_before_any_event() {
    let head = start_of_head(ATTEMPT) + UNFRAMED;
    check_broken_off("ends-closed", head).await;
}

/// Neither shows that the target goes on. Such streams ended as complete too.
#[tokio::test]
async fn comments_and_repeated_events_do_not_make_an_end_without_length_complete() {
    let head = start_of_head(ATTEMPT) + UNFRAMED;
    let repeated = String::from_utf8(complete_stream(ATTEMPT, EVENTS)).unwrap();
    check_broken_off("ends-repeated", head.clone() + &repeated).await;
    let answer = answer_after("ends-comment", head + ":\n\n").await;
    assert!(!answer.is_complete);
}

/// The same for a caller that resumes a stream by itself.
#[tokio::test]
async fn a_caller_that_resumes_is_not_told_that_its_stream_is_complete() {
    let mut cluster = Cluster::new("ends-caller").await;
    let connections = Arc::new(AtomicUsize::new(0));
    let events = Bytes::from(complete_stream(ATTEMPT, EVENTS));
    let next_part = move |number| {
        let is_first = number == 1 && connections.fetch_add(1, Ordering::SeqCst) == 0;
        is_first.then(|| events.clone())
    };
    let head = start_of_head(ATTEMPT) + UNFRAMED;
    let target = RawTarget::start(head, next_part).await.unwrap();
    let entry = target.entry("engine", "dc-a");
    cluster.store.put_target("e", &entry);
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let mut sent = request(ATTEMPT, Method::POST, RESUMABLE_PATH, Some(40));
    assert!(!cluster.send(&sent).await.is_complete);
    sent.resume = Some(Resume {
        attempt: Some(ATTEMPT.to_owned()),
        last_event: EVENTS,
    });
    let answer = cluster.send(&sent).await;
    assert_eq!(answer.code(), 502);
    cluster.close();
}

/// A comment alone counted as a whole stream.
#[tokio::test]
async fn a_stream_of_a_comment_that_ends_with_its_connection_is_broken_off() {
    let mut cluster = Cluster::new("ends-first-comment").await;
    let start = start_of_head(ATTEMPT) + UNFRAMED + ":\n\n";
    let target = RawTarget::start(start, |_| None).await.unwrap();
    let entry = target.entry("engine", "dc-a");
    cluster.store.put_target("e", &entry);
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let sent = request(ATTEMPT, Method::POST, STREAM_PATH, Some(40));
    assert!(!cluster.send(&sent).await.is_complete);
    cluster.close();
}

/// A target states so if the stream broke off between its last event and its end.
#[tokio::test]
async fn a_resumed_stream_is_complete_if_its_next_target_states_that_nothing_follows() {
    for (name, framing) in [
        ("ends-length", "Content-Length: 0\r\n\r\n"),
        ("ends-chunk", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
    ] {
        let answer = answer_after(name, start_of_head(ATTEMPT) + framing).await;
        assert!(answer.is_complete, "{name}");
        assert_eq!(answer.body, complete_stream(ATTEMPT, EVENTS), "{name}");
    }
}

/// Callers of another system found the text of an error in the middle of their streams.
#[tokio::test]
async fn errors_and_heads_cut_short_do_not_enter_a_resumed_stream() {
    let error = start_of_head_with("500 Internal Server Error", ATTEMPT);
    let text = "Content-Length: 8\r\n\r\nfailed\n\n";
    check_broken_off("ends-error", error + text).await;
    check_broken_off("ends-head-cut", start_of_head(ATTEMPT)).await;
    check_broken_off("ends-line-cut", "HTTP/1.1 200 OK\r\nFilb".to_owned()).await;
    let cut = start_of_head(ATTEMPT) + "Transfer-Encoding: chunked\r\n\r\n";
    check_broken_off("ends-chunks-cut", cut).await;
}

/// Such a block reached the caller in the middle of its stream.
#[tokio::test]
async fn a_block_without_an_id_does_not_enter_a_stream_where_it_is_resumed() {
    let head = start_of_head(ATTEMPT) + UNFRAMED;
    for (name, block) in [
        ("ends-text", "data: failed\n\n"),
        (
            "ends-inner-head",
            "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed",
        ),
    ] {
        check_broken_off(name, format!("{head}{block}")).await;
    }
}

/// It is a part of the target's response there.
#[tokio::test]
async fn a_block_without_an_id_that_follows_an_event_of_its_run_reaches_the_caller() {
    let head = start_of_head(ATTEMPT) + UNFRAMED;
    let rest = format!("id: 4\ndata: {ATTEMPT} 4\n\ndata: no id\n\n");
    let answer = answer_after("ends-block", head + &rest).await;
    assert!(answer.is_complete);
    let mut whole = complete_stream(ATTEMPT, EVENTS);
    whole.extend_from_slice(rest.as_bytes());
    assert_eq!(answer.body, whole);
}
