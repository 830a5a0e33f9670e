//! Responses with neither a length nor chunks, which end with their connection.

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use filbertpaddle_adapter_standins::raw_target::start_of_head_with;
use http::Method;

use crate::cluster::Cluster;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;

const ATTEMPT: &str = "unframed";

/// Returns the answer to a request whose target sends `body` without a length.
async fn answer_to(name: &str, path: &str, body: &[u8]) -> ReceivedAnswer {
    let head = format!("{}Connection: close\r\n\r\n", start_of_head(ATTEMPT));
    answer_with(name, path, head, body).await
}

/// Returns the answer to a request whose target sends `head` and `body`.
async fn answer_with(name: &str, path: &str, head: String, body: &[u8]) -> ReceivedAnswer {
    let mut cluster = Cluster::new(name).await;
    let body = Bytes::copy_from_slice(body);
    let next_part = move |number| (number == 1 && !body.is_empty()).then(|| body.clone());
    let target = RawTarget::start(head, next_part).await.unwrap();
    let is_stream = path == STREAM_PATH;
    let service = if is_stream { "engine" } else { "app" };
    let entry = target.entry(service, "dc-a");
    cluster.store.put_target("unframed", &entry);
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let sent = request(ATTEMPT, Method::POST, path, is_stream.then_some(40));
    let answer = cluster.send(&sent).await;
    cluster.close();
    answer
}

#[tokio::test]
async fn a_body_that_ends_with_its_connection_is_whole() {
    let answer = answer_to("unframed-body", WRITE_PATH, b"answer").await;
    assert!(answer.is_complete);
    assert_eq!((answer.code(), answer.body), (200, b"answer".to_vec()));
}

/// A target that crashes after the head of its response was taken for one with an empty body.
#[tokio::test]
async fn a_response_that_ends_with_its_connection_before_its_body_has_failed() {
    let answer = answer_to("unframed-no-body", WRITE_PATH, b"").await;
    assert_eq!((answer.code(), answer.is_sealed()), (502, false));
}

#[tokio::test]
async fn a_response_that_states_that_it_has_no_body_is_whole() {
    for (name, status, framing) in [
        ("no-body-length", "200 OK", "Content-Length: 0\r\n"),
        ("no-body-status", "204 No Content", ""),
    ] {
        let head = start_of_head_with(status, ATTEMPT) + framing;
        let answer = answer_with(name, WRITE_PATH, head + "\r\n", b"").await;
        assert!(answer.is_complete && answer.is_sealed(), "{name}");
        assert!(answer.body.is_empty(), "{name}");
    }
}

#[tokio::test]
async fn a_stream_that_ends_with_its_connection_after_an_event_is_complete() {
    let events = complete_stream(ATTEMPT, 3);
    let answer = answer_to("unframed-stream", STREAM_PATH, &events).await;
    assert!(answer.is_complete);
    assert_eq!((answer.code(), answer.body), (200, events));
}

#[tokio::test]
async fn a_stream_of_events_without_ids_that_ends_with_its_connection_is_complete() {
    let events = b"data: a\n\ndata: b\n\n";
    let answer = answer_to("unframed-no-ids", STREAM_PATH, events).await;
    assert!(answer.is_complete);
    assert_eq!((answer.code(), answer.body), (200, events.to_vec()));
}

#[tokio::test]
async fn a_stream_that_ends_within_an_event_is_broken_off() {
    let events = complete_stream(ATTEMPT, 3);
    let part = &events[..events.len() - 4];
    let answer = answer_to("unframed-part", STREAM_PATH, part).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, complete_stream(ATTEMPT, 2));
}

/// A target that crashes after the head of its response ends it like a complete one.
#[tokio::test]
async fn a_stream_that_ends_with_its_connection_before_any_event_has_failed() {
    let answer = answer_to("unframed-empty", STREAM_PATH, b"").await;
    assert_eq!(answer.code(), 502);
}
