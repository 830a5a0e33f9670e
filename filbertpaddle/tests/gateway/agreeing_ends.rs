//! Callers that resume a stream at its last event, at targets whose responses have no length.

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::Resume;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head_with;
use http::Method;

use crate::cluster::RESUMABLE_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::ends_in_doubt::ALL_EVENTS;
use crate::ends_in_doubt::ATTEMPT;
use crate::ends_in_doubt::EVENTS;
use crate::ends_in_doubt::chunked;
use crate::ends_in_doubt::start_cluster;
use crate::ends_in_doubt::unframed;

/// Times that a caller comes back.
const RETURNS: usize = 3;

/// Returns a request that resumes the stream after [`EVENTS`].
fn resumption() -> SentRequest {
    SentRequest {
        resume: Some(Resume {
            attempt: Some(ATTEMPT.to_owned()),
            last_event: EVENTS,
        }),
        ..request(ATTEMPT, Method::POST, RESUMABLE_PATH, Some(40))
    }
}

/// Starts a target that sends the same on each connection.
async fn start_steady(answer: String) -> RawTarget {
    let answer = Bytes::from(answer);
    let next_part = move |number: u64| (number == 1).then(|| answer.clone());
    RawTarget::start(String::new(), next_part).await.unwrap()
}

/// Returns the answer to a resumption whose first target closes at once; the other sends `next`.
async fn answer_beside(name: &str, next: String) -> ReceivedAnswer {
    let target = start_steady(unframed(EVENTS, EVENTS)).await;
    let other = start_steady(next).await;
    let cluster = start_cluster(name, &target, &other).await;
    let answer = cluster.send(&resumption()).await;
    cluster.close();
    assert_eq!((target.requests().len(), other.requests().len()), (1, 1));
    answer
}

/// Such a caller got 502 each time it came back, and the targets were passed over for a time.
#[tokio::test]
async fn a_resumed_stream_is_complete_if_two_targets_agree_on_its_end() {
    let target = start_steady(unframed(EVENTS, EVENTS)).await;
    let other = start_steady(unframed(EVENTS, EVENTS)).await;
    let cluster = start_cluster("agree-two", &target, &other).await;
    for number in 0..RETURNS {
        let answer = cluster.send(&resumption()).await;
        assert!(answer.is_complete, "{number}");
        assert_eq!((answer.code(), answer.body), (200, Vec::new()), "{number}");
    }
    cluster.close();
    let requests = (target.requests().len(), other.requests().len());
    assert_eq!(requests, (RETURNS, RETURNS));
}

/// Guards the rest of a stream, which the first target that is asked does not have.
#[tokio::test]
async fn a_resumed_stream_goes_on_at_the_second_target_that_has_events() {
    let answer = answer_beside("agree-rest", chunked(EVENTS, ALL_EVENTS)).await;
    assert!(answer.is_complete);
    let all = complete_stream(ATTEMPT, ALL_EVENTS);
    let rest = &all[complete_stream(ATTEMPT, EVENTS).len()..];
    assert_eq!((answer.code(), answer.body.as_slice()), (200, rest));
}

/// Guards the promise that an answer that ends early does not look complete.
#[tokio::test]
async fn a_resumed_stream_is_not_complete_by_the_end_of_one_target() {
    let error = start_of_head_with("500 Internal Server Error", ATTEMPT);
    for (name, next) in [
        ("agree-silent", start_of_head_with("200 OK", ATTEMPT)),
        ("agree-error", error + "Content-Length: 0\r\n\r\n"),
    ] {
        let answer = answer_beside(name, next).await;
        assert!(!answer.is_complete || answer.code() >= 500, "{name}");
        assert!(answer.body.is_empty() || answer.code() >= 500, "{name}");
    }
}
