//! Ends of streams without a length at targets that close in order and go on listening.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::raw_target::NOT_RUN;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use filbertpaddle_adapter_standins::raw_target::start_of_head_with;
use http::Method;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;

const ATTEMPT: &str = "doubt";
/// Events of the first run.
const EVENTS: u64 = 3;
/// Events of the whole stream, where the first run has ended early.
const ALL_EVENTS: u64 = 10;
/// Requests of the test of the retry budget, and the retries that it allows them.
const REQUESTS: usize = 120;
const MAX_RETRIES: usize = REQUESTS / 5 + 58;
const UNFRAMED: &str = "Connection: close\r\n\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

/// Returns a response without a length that has the events up to `last` after `first`.
fn unframed(first: u64, last: u64) -> String {
    let all = complete_stream(ATTEMPT, last);
    let skipped = complete_stream(ATTEMPT, first).len();
    let events = String::from_utf8(all[skipped..].to_vec()).unwrap();
    start_of_head(ATTEMPT) + UNFRAMED + &events
}

/// Starts a target that answers its first request with `first` and further ones with the parts of
/// `next`. Returns the number of its requests too.
async fn start_target(first: String, next: &[&str]) -> (RawTarget, Arc<AtomicUsize>) {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    let parts: Vec<_> = next
        .iter()
        .map(|part| Bytes::from((*part).to_owned()))
        .collect();
    let next_part = move |number: u64| {
        let run = counted.fetch_add(usize::from(number == 1), Ordering::SeqCst);
        match (run, number) {
            (0, 1) => Some(Bytes::from(first.clone())),
            // The first run has ended before another begins.
            (1, 2) if counted.load(Ordering::SeqCst) == 1 => None,
            _ => parts.get(usize::try_from(number).unwrap() - 1).cloned(),
        }
    };
    let target = RawTarget::start(String::new(), next_part).await.unwrap();
    (target, runs)
}

/// Returns the answer to a stream whose target answers with `first` and then with `next`, and the
/// number of requests there. Another target, which the stream did not run at, gets none.
async fn answer_of(
    name: &str,
    path: &str,
    first: String,
    next: &[&str],
) -> (ReceivedAnswer, usize) {
    let mut cluster = Cluster::new(name).await;
    let (target, runs) = start_target(first, next).await;
    let (other, other_runs) = start_target(String::new(), &[]).await;
    for (target, data_centre) in [(&target, "dc-a"), (&other, "dc-b")] {
        let entry = target.entry("engine", data_centre);
        cluster.store.put_target(data_centre, &entry);
    }
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let sent = request(ATTEMPT, Method::POST, path, Some(40));
    let answer = cluster.send(&sent).await;
    cluster.close();
    assert_eq!(other_runs.load(Ordering::SeqCst), 0, "{name}");
    (answer, runs.load(Ordering::SeqCst))
}

/// Checks that a resumable stream of [`EVENTS`] is complete after its target was asked once for
/// what follows, and answered with `next`.
async fn check_complete(name: &str, next: &[&str]) {
    let first = unframed(0, EVENTS);
    let (answer, runs) = answer_of(name, RESUMABLE_PATH, first, next).await;
    assert!(answer.is_complete, "{name}");
    let events = complete_stream(ATTEMPT, EVENTS);
    assert_eq!(
        (answer.code(), answer.body, runs),
        (200, events, 2),
        "{name}"
    );
}

/// Such a stream was complete at its caller after three events.
#[tokio::test]
async fn a_resumable_stream_that_its_target_closes_early_is_not_complete_there() {
    for (name, next) in [
        ("doubt-rest", unframed(EVENTS, ALL_EVENTS)),
        ("doubt-repeated-rest", unframed(0, ALL_EVENTS)),
    ] {
        let first = unframed(0, EVENTS);
        let (answer, runs) = answer_of(name, RESUMABLE_PATH, first, &[&next]).await;
        assert!(answer.is_complete, "{name}");
        let events = complete_stream(ATTEMPT, ALL_EVENTS);
        assert_eq!(
            (answer.code(), answer.body, runs),
            (200, events, 2),
            "{name}"
        );
    }
}

/// Such streams were complete too. A run that has nothing to send ends without any of this.
#[tokio::test]
async fn a_stream_is_broken_off_if_the_target_that_is_asked_fails() {
    let head = start_of_head(ATTEMPT);
    let error = start_of_head_with("500 Internal Server Error", ATTEMPT);
    for (name, next) in [
        ("doubt-cut", format!("{head}{CHUNKED}9\r\nid: ")),
        ("doubt-head-cut", head.clone()),
        ("doubt-block", format!("{head}{UNFRAMED}data: failed\n\n")),
        ("doubt-error", format!("{error}Content-Length: 0\r\n\r\n")),
    ] {
        let first = unframed(0, EVENTS);
        let (answer, runs) = answer_of(name, RESUMABLE_PATH, first, &[&next]).await;
        assert!(!answer.is_complete, "{name}");
        let events = complete_stream(ATTEMPT, EVENTS);
        assert_eq!(
            (answer.code(), answer.body, runs),
            (200, events, 2),
            "{name}"
        );
    }
}

/// Guards whole streams: each of these confirms that nothing follows.
#[tokio::test]
async fn a_whole_stream_is_complete_once_its_target_confirms_its_end() {
    let head = start_of_head(ATTEMPT);
    let nothing = start_of_head_with("204 No Content", ATTEMPT);
    check_complete("doubt-closed", &[&unframed(EVENTS, EVENTS)]).await;
    check_complete("doubt-repeated", &[&unframed(0, EVENTS)]).await;
    check_complete("doubt-comment", &[&format!("{head}{UNFRAMED}:\n\n")]).await;
    check_complete(
        "doubt-length",
        &[&format!("{head}Content-Length: 0\r\n\r\n")],
    )
    .await;
    check_complete("doubt-chunk", &[&format!("{head}{CHUNKED}0\r\n\r\n")]).await;
    check_complete("doubt-nothing", &[&format!("{nothing}\r\n")]).await;
}

/// Guards whole streams whose target does not run the request once more, or takes too long: the
/// protocol lets their first end count.
#[tokio::test]
async fn a_whole_stream_is_complete_if_its_target_does_not_say_what_follows() {
    let full = start_of_head_with("503 Service Unavailable", ATTEMPT) + NOT_RUN;
    let unknown = start_of_head_with("404 Not Found", ATTEMPT);
    let held = format!("{}{CHUNKED}3\r\n:\n\n\r\n", start_of_head(ATTEMPT));
    check_complete("doubt-full", &[&format!("{full}Content-Length: 0\r\n\r\n")]).await;
    check_complete(
        "doubt-unknown",
        &[&format!("{unknown}Content-Length: 0\r\n\r\n")],
    )
    .await;
    check_complete("doubt-silent", &[""]).await;
    let comment = format!("{}{CHUNKED}3\r\n:\n\n\r\n", start_of_head(ATTEMPT));
    check_complete("doubt-comments", &[&comment, ""]).await;
}

/// Guards streams that must not run again, or whose last event has no ID: the protocol lets their
/// end count, and nothing more is sent.
#[tokio::test]
async fn a_stream_that_cannot_be_asked_for_is_complete_where_it_ends() {
    let unplaced = unframed(0, EVENTS) + "data: last\n\n";
    for (name, path, first) in [
        ("doubt-once", STREAM_PATH, unframed(0, EVENTS)),
        ("doubt-no-id", RESUMABLE_PATH, unplaced),
    ] {
        let body = first.split_once("\r\n\r\n").unwrap().1.to_owned();
        let (answer, runs) = answer_of(name, path, first, &[]).await;
        assert!(answer.is_complete, "{name}");
        let body = body.into_bytes();
        assert_eq!((answer.code(), answer.body, runs), (200, body, 1), "{name}");
    }
}

/// Guards the retry budget, which an ask takes from, and the streams that it is too small for.
#[tokio::test]
async fn asks_for_what_follows_stay_within_the_retry_budget() {
    let mut cluster = Cluster::new("doubt-budget").await;
    let (target, runs) = start_target(unframed(0, EVENTS), &[&unframed(0, EVENTS)]).await;
    cluster
        .store
        .put_target("e", &target.entry("engine", "dc-a"));
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    for number in 0..REQUESTS {
        let sent = request(ATTEMPT, Method::POST, RESUMABLE_PATH, Some(40));
        let answer = cluster.send(&sent).await;
        assert!(answer.is_complete, "{number}");
        assert_eq!(answer.body, complete_stream(ATTEMPT, EVENTS), "{number}");
    }
    cluster.close();
    let asks = runs.load(Ordering::SeqCst) - REQUESTS;
    assert!((1..=MAX_RETRIES).contains(&asks), "{asks}");
}
