//! Responses with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::raw_target::End;
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
    let body = Bytes::copy_from_slice(body);
    let next_part = move |number| (number == 1 && !body.is_empty()).then(|| body.clone());
    let target = RawTarget::start(head, next_part).await.unwrap();
    answer_of(name, path, &target).await
}

/// Returns the answer to a request whose only target is `target`.
async fn answer_of(name: &str, path: &str, target: &RawTarget) -> ReceivedAnswer {
    let mut cluster = Cluster::new(name).await;
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

/// Returns the answer to a request whose target sends `body` without a length, and then ends the
/// connection in the given way.
async fn answer_before(name: &str, path: &str, body: &[u8], end: End) -> ReceivedAnswer {
    let head = format!("{}Connection: close\r\n\r\n", start_of_head(ATTEMPT));
    answer_with_end(name, path, head, body, end).await
}

/// Returns the answer to a request whose target sends `head` and `body`, and then ends the
/// connection in the given way.
async fn answer_with_end(
    name: &str,
    path: &str,
    head: String,
    body: &[u8],
    end: End,
) -> ReceivedAnswer {
    let body = Bytes::copy_from_slice(body);
    let next_part = move |number| (number == 1).then(|| body.clone());
    let target = RawTarget::start_with_end(head, next_part, end);
    answer_of(name, path, &target.await.unwrap()).await
}

/// Such a target broke off, which only the reset shows.
#[tokio::test]
async fn a_response_whose_connection_is_reset_is_never_whole() {
    for delay_ms in [0, 1, 30] {
        let end = End::Reset(Duration::from_millis(delay_ms));
        let events = complete_stream(ATTEMPT, 3);
        let name = format!("unframed-reset-stream-{delay_ms}");
        let answer = answer_before(&name, STREAM_PATH, &events, end).await;
        assert!(!answer.is_complete, "after {delay_ms} ms");
        let name = format!("unframed-reset-body-{delay_ms}");
        let answer = answer_before(&name, WRITE_PATH, b"answer", end).await;
        assert_eq!(answer.code(), 502, "after {delay_ms} ms");
    }
}

/// The kernel closes the connections of a process that ends in order. Streams that were cut so
/// between two events ended as complete, and parts of bodies were whole.
#[tokio::test]
async fn a_response_whose_target_ends_with_its_connection_is_not_whole() {
    let events = complete_stream(ATTEMPT, 3);
    let answer = answer_before("unframed-exit", STREAM_PATH, &events, End::Exit).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, events);
    let answer = answer_before("unframed-exit-body", WRITE_PATH, b"ans", End::Exit).await;
    assert_eq!((answer.code(), answer.is_sealed()), (502, false));
}

/// Heads of responses that end with their connection although they state some coding or version.
const UNFRAMED_HEADS: [(&str, &str); 6] = [
    ("identity", "Transfer-Encoding: identity\r\n"),
    ("odd-case", "TRANSFER-encoding: IDENTITY\r\n"),
    ("chunked-first", "Transfer-Encoding: chunked, gzip\r\n"),
    (
        "two-codings",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
    ),
    (
        "length-and-coding",
        "Content-Length: 3\r\nTransfer-Encoding: identity\r\n",
    ),
    ("close-alone", "Connection: close\r\n"),
];

/// Any Transfer-Encoding counted as chunks, so that what the exit of its target cut was complete.
#[tokio::test]
async fn a_response_whose_last_coding_is_not_chunked_is_not_whole_if_its_target_exits() {
    let events = complete_stream(ATTEMPT, 3);
    for (name, lines) in UNFRAMED_HEADS {
        let head = format!("{}{lines}\r\n", start_of_head(ATTEMPT));
        let stream = format!("coding-stream-{name}");
        let answer = answer_with_end(&stream, STREAM_PATH, head.clone(), &events, End::Exit).await;
        assert!(!answer.is_complete, "{name}");
        assert_eq!(answer.body, events, "{name}");
        let body = format!("coding-body-{name}");
        let answer = answer_with_end(&body, WRITE_PATH, head, b"ans", End::Exit).await;
        assert_eq!((answer.code(), answer.is_sealed()), (502, false), "{name}");
    }
}

#[tokio::test]
async fn a_response_of_http_1_0_is_whole_only_if_its_target_goes_on_or_it_has_a_length() {
    let events = complete_stream(ATTEMPT, 3);
    let length = format!("Content-Length: {}\r\n", events.len());
    for (name, framing, end, is_whole) in [
        ("exit", "", End::Exit, false),
        (
            "keep-alive-exit",
            "Connection: keep-alive\r\n",
            End::Exit,
            false,
        ),
        ("keep-alive", "Connection: keep-alive\r\n", End::Close, true),
        ("length-exit", &*length, End::Exit, true),
    ] {
        let head = start_of_head(ATTEMPT).replace("HTTP/1.1", "HTTP/1.0");
        let head = format!("{head}{framing}\r\n");
        let name = format!("http-1-0-{name}");
        let answer = answer_with_end(&name, STREAM_PATH, head, &events, end).await;
        assert_eq!(
            (answer.is_complete, answer.body),
            (is_whole, events.clone()),
            "{name}"
        );
    }
}

#[tokio::test]
async fn a_response_with_several_lengths_or_odd_chunks_is_whole_if_they_agree() {
    let chunk = b"3\r\nans\r\n0\r\n\r\n";
    for (name, framing, body, code) in [
        (
            "equal",
            "Content-Length: 3\r\ncontent-LENGTH: 3\r\n",
            &b"ans"[..],
            200,
        ),
        ("list", "Content-Length: 3, 3\r\n", b"ans", 200),
        (
            "unequal",
            "Content-Length: 3\r\nContent-Length: 2\r\n",
            b"ans",
            502,
        ),
        ("cut", "Content-Length: 4\r\n", b"ans", 502),
        ("odd-chunked", "Transfer-Encoding: Chunked \r\n", chunk, 200),
        (
            "chunked",
            "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
            chunk,
            200,
        ),
        (
            "cut-chunk",
            "Transfer-Encoding: chunked\r\n",
            &chunk[..8],
            502,
        ),
    ] {
        let head = format!("{}{framing}\r\n", start_of_head(ATTEMPT));
        let name = format!("lengths-{name}");
        let answer = answer_with_end(&name, WRITE_PATH, head, body, End::Exit).await;
        assert_eq!(answer.code(), code, "{name}");
        assert!(code != 200 || answer.body == b"ans", "{name}");
    }
}

/// Returns whether a stream without a length is complete after whose end something else listens
/// at the address of its target, which started at 1, and does what [`End::Replaced`] states.
async fn is_complete_before(name: &str, answer: Option<&'static str>) -> bool {
    let events = complete_stream(ATTEMPT, 3);
    let name = format!("replaced-{name}");
    let answer = answer_before(&name, STREAM_PATH, &events, End::Replaced(answer)).await;
    assert_eq!(answer.body, events, "{name}");
    answer.is_complete
}

/// A listener outlives its target where another process holds it, and a target may start again
/// within milliseconds. What they cut was complete.
#[tokio::test]
async fn a_stream_whose_target_is_replaced_at_its_address_is_not_complete() {
    for (name, answer) in [
        ("closed", ""),
        ("restarted", "HTTP/1.1 200 OK\r\n\r\n{\"born\":2}"),
        ("proxy", "HTTP/1.1 502 Bad Gateway\r\n\r\n"),
        ("other", "HTTP/1.1 421 Misdirected Request\r\n\r\n"),
    ] {
        assert!(!is_complete_before(name, Some(answer)).await, "{name}");
    }
}

#[tokio::test]
async fn a_stream_is_complete_whose_target_reports_the_same_start_or_is_slow_to_report() {
    for (name, answer) in [
        ("same", Some("HTTP/1.1 200 OK\r\n\r\n{\"born\":1}")),
        ("unknown", Some("HTTP/1.1 200 OK\r\n\r\n{}")),
        ("no-report", Some("HTTP/1.1 404 Not Found\r\n\r\n")),
        ("silent", None),
    ] {
        assert!(is_complete_before(name, answer).await, "{name}");
    }
}
