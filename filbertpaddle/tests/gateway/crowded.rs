//! Peers that take up the memory or the time of a node together, though each stays within a limit.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use http::Method;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::configuration;
use crate::cluster::request;
use crate::endless::MAX_MEMORY_KIB;
use crate::endless::MAX_WAIT;

const ATTEMPT: &str = "crowd";
/// Time in which the peers have sent what they send before they stop.
const HOLD_TIME: Duration = Duration::from_secs(3);
/// Interval between the sound requests that are sent meanwhile.
const SOUND_INTERVAL: Duration = Duration::from_millis(40);
const SOUND_REQUESTS: usize = 60;
/// Size of a chunk's digits, a filler and so on that are sent at once.
const WRITE_BYTES: usize = 64 << 10;

/// Starts a node before sound targets of one service and raw ones of the other.
async fn cluster_of(name: &str, sound_service: &str, raw: &[(RawTarget, &str)]) -> Cluster {
    let mut cluster = Cluster::new(name).await;
    for (number, (target, service)) in raw.iter().enumerate() {
        let entry = target.entry(service, "dc-a");
        cluster.store.put_target(&format!("raw-{number}"), &entry);
    }
    cluster.add_target("sound", sound_service, "dc-a").await;
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    cluster
}

/// Starts targets that each send `start` and `more`, and then nothing on an open connection.
pub(crate) async fn stalled(count: usize, start: &str, more: String) -> Vec<RawTarget> {
    let more = Bytes::from(more);
    let mut targets = Vec::new();
    for _ in 0..count {
        let more = more.clone();
        let next_part = move |number| {
            Some(if number == 1 {
                more.clone()
            } else {
                Bytes::new()
            })
        };
        let started = RawTarget::start(start.to_owned(), next_part);
        targets.push(started.await.unwrap());
    }
    targets
}

/// Returns a request of which a target has memory for many.
pub(crate) fn small_generation() -> SentRequest {
    SentRequest {
        tokens: Some((100, 10)),
        ..request(ATTEMPT, Method::POST, STREAM_PATH, None)
    }
}

pub(crate) fn send_all(
    node: SocketAddr,
    count: usize,
    sent: &SentRequest,
) -> JoinSet<ReceivedAnswer> {
    let mut callers = JoinSet::new();
    for _ in 0..count {
        let sent = sent.clone();
        callers.spawn(async move {
            let mut answer = ReceivedAnswer::default();
            if let Ok(received) = timeout(MAX_WAIT, caller::send(node, &sent)).await {
                answer = received;
            }
            answer
        });
    }
    callers
}

/// Sends sound requests one after another on the write path, and checks that all are served.
async fn check_sound_requests(cluster: &Cluster) {
    let mut callers = JoinSet::new();
    for number in 0..SOUND_REQUESTS {
        let sound = request(&format!("sound-{number}"), Method::POST, WRITE_PATH, None);
        let node = cluster.nodes[0].addresses.callers;
        callers.spawn(async move { caller::send(node, &sound).await.code() });
        sleep(SOUND_INTERVAL).await;
    }
    let codes = callers.join_all().await;
    let served = codes.iter().filter(|code| **code == 200).count();
    assert_eq!(served, SOUND_REQUESTS, "{codes:?}");
}

fn check_memory(cluster: &Cluster) {
    let memory_kib = cluster.nodes[0].process.peak_memory_kib().unwrap();
    assert!(memory_kib <= MAX_MEMORY_KIB, "{memory_kib} KiB");
}

/// Each stream held up to the size of an event, and nothing bounded all of them.
#[tokio::test]
async fn streams_that_stop_within_an_event_stay_within_the_memory_of_a_small_vm() {
    let head = start_of_head(ATTEMPT);
    let start = format!(
        "{head}Content-Type: text/event-stream\r\n\r\n\
         id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: "
    );
    let targets = stalled(12, &start, "x".repeat(240 << 10)).await;
    let raw: Vec<_> = targets.into_iter().map(|raw| (raw, "engine")).collect();
    let cluster = cluster_of("crowd-events", "app", &raw).await;
    let node = cluster.nodes[0].addresses.callers;
    let callers = send_all(node, 240, &small_generation());
    sleep(HOLD_TIME).await;
    let reached: usize = raw.iter().map(|(raw, _)| raw.requests().len()).sum();
    assert!(reached >= 150, "{reached} streams");
    check_sound_requests(&cluster).await;
    drop(callers);
    check_memory(&cluster);
    cluster.close();
}

/// Checks the memory of a node while many plain requests each have a response that stops after
/// `start` and `more`.
async fn check_stopped_responses(name: &str, start: &str, more: String) {
    let targets = stalled(40, start, more).await;
    let raw: Vec<_> = targets.into_iter().map(|raw| (raw, "app")).collect();
    let cluster = cluster_of(name, "engine", &raw).await;
    let node = cluster.nodes[0].addresses.callers;
    let sent = request(ATTEMPT, Method::POST, WRITE_PATH, None);
    let callers = send_all(node, 500, &sent);
    sleep(HOLD_TIME).await;
    let reached: usize = raw.iter().map(|(raw, _)| raw.requests().len()).sum();
    assert!(reached >= 300, "{reached} requests");
    drop(callers);
    check_memory(&cluster);
    cluster.close();
}

/// Bodies below the size from which they counted were not bounded together.
#[tokio::test]
async fn small_bodies_that_stop_stay_within_the_memory_of_a_small_vm() {
    let start = format!("{}Content-Length: 70000\r\n\r\n", start_of_head(ATTEMPT));
    check_stopped_responses("crowd-bodies", &start, "x".repeat(62 << 10)).await;
}

/// Guards heads that are not complete, of up to 64 KiB each.
#[tokio::test]
async fn heads_that_stop_stay_within_the_memory_of_a_small_vm() {
    let filler = format!("X-Filler: {}", "x".repeat(60 << 10));
    check_stopped_responses("crowd-heads", &start_of_head(ATTEMPT), filler).await;
}

/// Sends requests to a target that sends `start` and then `more` without end, and sound ones to
/// another meanwhile; returns the answers of the first.
async fn answers_beside_sound_ones(name: &str, start: &str, more: &str) -> Vec<ReceivedAnswer> {
    let more = Bytes::from(more.repeat(WRITE_BYTES / more.len()));
    let next_part = move |_| Some(more.clone());
    let target = RawTarget::start(start.to_owned(), next_part).await.unwrap();
    let raw = [(target, "engine")];
    let cluster = cluster_of(name, "app", &raw).await;
    let node = cluster.nodes[0].addresses.callers;
    let callers = send_all(node, 24, &small_generation());
    check_sound_requests(&cluster).await;
    let answers = callers.join_all().await;
    check_memory(&cluster);
    cluster.close();
    answers
}

/// The thread of the node did nothing but read the digits: three of four requests of other callers
/// were refused, and their own callers got no answer before the deadline.
#[tokio::test]
async fn a_chunk_size_without_end_leaves_time_for_other_requests() {
    let start = format!(
        "{}Transfer-Encoding: chunked\r\n\r\n",
        start_of_head(ATTEMPT)
    );
    let answers = answers_beside_sound_ones("crowd-digits", &start, "0").await;
    let codes: Vec<_> = answers.iter().map(ReceivedAnswer::code).collect();
    let is_ended = |code: &u16| matches!(code, 502 | 503);
    assert!(codes.iter().all(is_ended), "{codes:?}");
    assert!(codes.contains(&502), "{codes:?}");
}

/// They were read until the deadline of the request.
#[tokio::test]
async fn interim_responses_without_end_are_given_up() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let answers = answers_beside_sound_ones("crowd-interim", interim, interim).await;
    let codes: Vec<_> = answers.iter().map(ReceivedAnswer::code).collect();
    assert!(
        codes.iter().all(|code| matches!(code, 502 | 503)),
        "{codes:?}"
    );
    assert!(codes.contains(&502), "{codes:?}");
}

/// A stream went on until its deadline, whatever its target sent in place of events.
#[tokio::test]
async fn streams_without_a_new_event_are_cut_off() {
    let head = start_of_head(ATTEMPT);
    let start = format!("{head}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n");
    for (name, idle) in [
        ("crowd-comments", ":\n\n"),
        ("crowd-blank", "\n\n"),
        ("crowd-repeated", "id: 1\ndata: a\n\n"),
    ] {
        let answers = answers_beside_sound_ones(name, &start, idle).await;
        let is_ended = |answer: &ReceivedAnswer| match answer.code() {
            200 => !answer.is_complete && answer.body.starts_with(b"id: 1\ndata: a\n\n"),
            code => matches!(code, 502 | 503),
        };
        assert!(answers.iter().all(is_ended), "{name}: {answers:?}");
        assert!(answers.iter().any(|answer| answer.code() == 200), "{name}");
    }
}

/// Sends `start` on connections to a node, and then nothing; the connections stay open.
async fn open_all(node: SocketAddr, count: usize, start: &str) -> Vec<TcpStream> {
    let mut opened = JoinSet::new();
    for _ in 0..count {
        let start = start.to_owned();
        opened.spawn(async move {
            let mut stream = TcpStream::connect(node).await.unwrap();
            // The node may close it before all has been sent.
            stream.write_all(start.as_bytes()).await.ok();
            stream
        });
    }
    opened.join_all().await
}

/// Each connection held a head of up to 400 KiB, and nothing bounded all of them.
#[tokio::test]
async fn callers_that_stop_within_a_head_stay_within_the_memory_of_a_small_vm() {
    let cluster = cluster_of("crowd-requests", "app", &[]).await;
    let node = cluster.nodes[0].addresses.callers;
    for filler_bytes in [400 << 10, 60 << 10] {
        let filler = "x".repeat(filler_bytes);
        let start = format!("POST {WRITE_PATH} HTTP/1.1\r\nX-Filler: {filler}");
        let open = open_all(node, 400, &start).await;
        check_sound_requests(&cluster).await;
        drop(open);
    }
    check_memory(&cluster);
    cluster.close();
}

/// Returns the start of a request on the write path, up to the headers of its body.
fn start_of_request() -> String {
    let sent = request(ATTEMPT, Method::POST, WRITE_PATH, None);
    let text = caller::request_text(http::Version::HTTP_11, &sent, "close");
    text.replace("content-length: 0\r\n", "")
        .trim_end()
        .to_owned()
        + "\r\n"
}

/// The bodies of requests were bounded one by one only.
#[tokio::test]
async fn callers_that_stop_within_a_body_stay_within_the_memory_of_a_small_vm() {
    let cluster = cluster_of("crowd-uploads", "app", &[]).await;
    let mut larger = configuration(2, KEY);
    larger["limits"]["max_body_bytes"] = (4 << 20).into();
    cluster.store.put_configuration(&larger);
    let node = cluster.nodes[0].addresses.callers;
    // The configuration is in force within the time that the test waits.
    sleep(HOLD_TIME).await;
    let body = "x".repeat(1 << 20);
    let start = format!(
        "{}Content-Length: 2000000\r\n\r\n{body}",
        start_of_request()
    );
    let mut open = open_all(node, 120, &start).await;
    check_sound_requests(&cluster).await;
    check_memory(&cluster);
    // One that was given up knows that it has not run.
    let mut answer = [0; 12];
    let read = timeout(MAX_WAIT, open[0].read_exact(&mut answer)).await;
    assert!(read.is_ok());
    assert_eq!(&answer, b"HTTP/1.1 503");
    drop(open);
    cluster.close();
}

#[tokio::test]
async fn a_chunk_size_without_end_of_callers_leaves_time_for_other_requests() {
    let cluster = cluster_of("crowd-uploaded-digits", "app", &[]).await;
    let node = cluster.nodes[0].addresses.callers;
    let start = format!("{}Transfer-Encoding: chunked\r\n\r\n", start_of_request());
    let mut senders = JoinSet::new();
    for _ in 0..24 {
        let start = start.clone();
        senders.spawn(async move {
            let mut stream = TcpStream::connect(node).await.unwrap();
            stream.write_all(start.as_bytes()).await.unwrap();
            let digits = "0".repeat(WRITE_BYTES);
            while stream.write_all(digits.as_bytes()).await.is_ok() {}
        });
    }
    check_sound_requests(&cluster).await;
    let ended = timeout(MAX_WAIT, senders.join_all()).await;
    assert!(
        ended.is_ok(),
        "connections of callers that send no body go on"
    );
    check_memory(&cluster);
    cluster.close();
}
