//! Callers that use HTTP/1.0: the end of a stream is the end of its connection.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::raw_target::End;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use http::Method;
use http::Version;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::cluster::Cluster;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::cluster::wait_until;

const ATTEMPT: &str = "old";
/// Number of events that the buffers between a node and its caller hold.
const FEW_EVENTS: u64 = 20_000;
/// Number of events of a stream that they do not hold.
const MANY_EVENTS: u64 = 400_000;
/// Size of a body that they do not hold if the caller's buffer is small.
const MANY_BYTES: usize = 7 << 20;
const SMALL_BUFFER_BYTES: u32 = 64 << 10;

/// What a caller has read when its connection ends.
struct Received {
    head: String,
    body: Vec<u8>,
    end: io::Result<()>,
}

impl Received {
    /// Returns whether the connection ended in order.
    fn is_in_order(&self) -> bool {
        self.end.is_ok()
    }

    fn is_reset(&self) -> bool {
        let error = self.end.as_ref().err();
        error.is_some_and(|error| error.kind() == io::ErrorKind::ConnectionReset)
    }

    /// Returns the stated length of the body.
    fn length(&self) -> Option<usize> {
        let head = self.head.to_ascii_lowercase();
        let line = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "))?;
        line.parse().ok()
    }
}

async fn read_all(mut stream: TcpStream) -> Received {
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes).await.map(drop);
    let head_bytes = bytes
        .windows(4)
        .position(|part| part == b"\r\n\r\n")
        .map_or(bytes.len(), |at| at + 4);
    let body = bytes.split_off(head_bytes);
    let head = String::from_utf8(bytes).unwrap();
    Received { head, body, end }
}

fn stream_request(output_tokens: u32) -> SentRequest {
    request(ATTEMPT, Method::POST, STREAM_PATH, Some(output_tokens))
}

async fn send(cluster: &Cluster, sent: &SentRequest) -> TcpStream {
    let text = caller::request_text(Version::HTTP_10, sent, "close");
    send_text(cluster, &text).await
}

async fn send_text(cluster: &Cluster, text: &str) -> TcpStream {
    let node = cluster.nodes[0].addresses.callers;
    let mut stream = TcpStream::connect(node).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    stream
}

/// Starts a node before a target that sends these bytes as a response without a length.
async fn start_before(name: &str, service: &str, body: Vec<u8>, end: End) -> (Cluster, RawTarget) {
    let head = format!("{}Connection: close\r\n\r\n", start_of_head(ATTEMPT));
    let body = Bytes::from(body);
    let next_part = move |number| (number == 1).then(|| body.clone());
    let target = RawTarget::start_with_end(head, next_part, end)
        .await
        .unwrap();
    let mut cluster = Cluster::new(name).await;
    cluster
        .store
        .put_target("raw", &target.entry(service, "dc-a"));
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    (cluster, target)
}

/// Waits until an engine sends events of the stream.
async fn wait_until_running(cluster: &Cluster) {
    wait_until("the stream runs", async || {
        let running = |id| cluster.target(id).running().get(ATTEMPT).copied();
        running("e1").max(running("e2")) > Some(5)
    })
    .await;
}

fn assert_cut(received: &Received, complete: &[u8]) {
    assert!(complete.starts_with(&received.body));
    assert!(received.body.len() < complete.len());
    assert!(received.is_reset(), "{:?}", received.end);
}

/// A stream that its target cut ended in order, as a complete one does.
#[tokio::test]
async fn a_stream_whose_target_resets_it_is_reset_at_a_caller_of_http_1_0() {
    let events = complete_stream(ATTEMPT, 3);
    let end = End::Reset(Duration::from_millis(30));
    let (cluster, _target) = start_before("old-reset", "engine", events, end).await;
    let received = read_all(send(&cluster, &stream_request(40)).await).await;
    assert!(received.head.starts_with("HTTP/1.0 200"));
    assert_cut(&received, &complete_stream(ATTEMPT, 10));
    cluster.close();
}

#[tokio::test]
async fn a_stream_cut_by_its_deadline_is_reset_at_a_caller_of_http_1_0() {
    let cluster = Cluster::with_nodes("old-deadline", 1).await;
    let mut sent = stream_request(40_000);
    sent.deadline_ms = 300;
    let received = read_all(send(&cluster, &sent).await).await;
    assert_cut(&received, &complete_stream(ATTEMPT, 10_000));
    cluster.close();
}

#[tokio::test]
async fn a_stream_whose_node_is_killed_is_reset_at_a_caller_of_http_1_0() {
    let mut cluster = Cluster::with_nodes("old-kill", 1).await;
    let stream = send(&cluster, &stream_request(40_000)).await;
    wait_until_running(&cluster).await;
    cluster.nodes.remove(0).close().unwrap();
    let received = read_all(stream).await;
    assert!(received.head.starts_with("HTTP/1.0 200"));
    assert_cut(&received, &complete_stream(ATTEMPT, 10_000));
    cluster.close();
}

#[tokio::test]
async fn a_stream_cut_by_the_end_of_the_grace_is_reset_at_a_caller_of_http_1_0() {
    let mut cluster = Cluster::with_nodes("old-grace", 1).await;
    let mut options = cluster.node_options("node-1", "dc-a");
    options.grace_s = 1;
    cluster.nodes.remove(0).close().unwrap();
    cluster.start_node(&options);
    cluster.wait_until_ready().await;
    let stream = send(&cluster, &stream_request(40_000)).await;
    wait_until_running(&cluster).await;
    cluster.nodes[0].process.terminate().unwrap();
    let received = read_all(stream).await;
    assert_cut(&received, &complete_stream(ATTEMPT, 10_000));
    assert!(cluster.nodes[0].process.wait().unwrap().success());
    cluster.close();
}

/// A caller that ends its own direction counts as gone, though it may go on to read.
#[tokio::test]
async fn a_stream_whose_caller_half_closes_is_reset_at_a_caller_of_http_1_0() {
    let cluster = Cluster::with_nodes("old-half", 1).await;
    let mut stream = send(&cluster, &stream_request(40_000)).await;
    wait_until_running(&cluster).await;
    stream.shutdown().await.unwrap();
    assert_cut(&read_all(stream).await, &complete_stream(ATTEMPT, 10_000));
    cluster.close();
}

/// What follows the request on its connection is not read.
#[tokio::test]
async fn a_complete_stream_ends_in_order_at_a_caller_of_http_1_0() {
    for (name, more) in [
        ("old-whole", ""),
        ("old-whole-more", "GET / HTTP/1.0\r\n\r\n"),
    ] {
        let cluster = Cluster::with_nodes(name, 1).await;
        let mut stream = send(&cluster, &stream_request(40)).await;
        stream.write_all(more.as_bytes()).await.unwrap();
        let received = read_all(stream).await;
        assert!(received.is_in_order(), "{name}: {:?}", received.end);
        assert_eq!(received.body, complete_stream(ATTEMPT, 10), "{name}");
        cluster.close();
    }
}

/// Waits until the node has sent what it can of a complete stream whose caller does not read.
async fn wait_until_complete(cluster: &Cluster) {
    wait_until("the stream has ended", async || {
        cluster.log("node-0").contains("\"outcome\":\"complete\"")
    })
    .await;
}

#[tokio::test]
async fn a_complete_stream_that_is_read_late_arrives_whole_at_a_caller_of_http_1_0() {
    for count in [FEW_EVENTS, MANY_EVENTS] {
        let events = complete_stream(ATTEMPT, count);
        let name = format!("old-late-{count}");
        let starting = start_before(&name, "engine", events.clone(), End::Close);
        let (cluster, _target) = starting.await;
        let stream = send(&cluster, &stream_request(40)).await;
        if count == FEW_EVENTS {
            wait_until_complete(&cluster).await;
        }
        let received = read_all(stream).await;
        assert!(received.is_in_order(), "{count}: {:?}", received.end);
        assert!(received.body == events, "{count}");
        cluster.close();
    }
}

#[tokio::test]
async fn a_stream_that_is_read_after_its_node_is_killed_is_whole_or_reset() {
    let events = complete_stream(ATTEMPT, FEW_EVENTS);
    let starting = start_before("old-after", "engine", events.clone(), End::Close);
    let (mut cluster, _target) = starting.await;
    let stream = send(&cluster, &stream_request(40)).await;
    wait_until_complete(&cluster).await;
    cluster.nodes.remove(0).close().unwrap();
    let received = read_all(stream).await;
    assert!(received.is_reset() || received.body == events);
    cluster.close();
}

/// Nothing follows the end of a response but the response to the next request, and a cut one has
/// no last chunk.
#[tokio::test]
async fn a_request_behind_a_cut_stream_is_not_answered() {
    let last = caller::request_text(
        Version::HTTP_11,
        &request("last", Method::POST, WRITE_PATH, None),
        "close",
    );
    for (name, end, is_cut) in [
        ("next-cut", End::Reset(Duration::from_millis(30)), true),
        ("next-whole", End::Close, false),
    ] {
        let events = complete_stream(ATTEMPT, 3);
        let (mut cluster, _target) = start_before(name, "engine", events, end).await;
        cluster.add_target("p1", "app", "dc-a").await;
        wait_until("the other target is listed", async || {
            cluster.log("node-0").contains("\"target\":\"p1\"")
        })
        .await;
        let first = caller::request_text(Version::HTTP_11, &stream_request(40), "keep-alive");
        let received = read_all(send_text(&cluster, &(first + &last)).await).await;
        let body = String::from_utf8(received.body).unwrap();
        assert!(received.head.contains("transfer-encoding: chunked"));
        let (stream, next) = body.split_once("0\r\n\r\n").unwrap_or((&body, ""));
        assert!(stream.contains("id: 3\n"), "{name}");
        assert_eq!(stream.len() == body.len(), is_cut, "{name}");
        assert_eq!(next.starts_with("HTTP/1.1 200 OK\r\n"), !is_cut, "{name}");
        cluster.close();
    }
}

/// Whole responses were sent without a length, so that a cut one was like a complete one.
#[tokio::test]
async fn whole_responses_to_callers_of_http_1_0_have_a_length() {
    let cluster = Cluster::with_nodes("old-length", 1).await;
    for path in [WRITE_PATH, "/no-such-route/"] {
        let sent = request(ATTEMPT, Method::POST, path, None);
        let received = read_all(send(&cluster, &sent).await).await;
        assert!(!received.body.is_empty(), "{path}");
        assert_eq!(received.length(), Some(received.body.len()), "{path}");
        assert!(received.is_in_order(), "{path}: {:?}", received.end);
    }
    cluster.close();
}

/// Returns the response of several MB to a request whose node is killed before it is read.
async fn cut_whole_response(name: &str, version: Version) -> Received {
    let body = vec![b'b'; MANY_BYTES];
    let (mut cluster, _target) = start_before(name, "app", body, End::Close).await;
    let sent = request(ATTEMPT, Method::POST, WRITE_PATH, None);
    let text = caller::request_text(version, &sent, "close");
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
    let node = cluster.nodes[0].addresses.callers;
    let mut stream = socket.connect(node).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    wait_until("the response is on its way", async || {
        cluster.log("node-0").contains("\"outcome\":\"answered\"")
    })
    .await;
    stream.readable().await.unwrap();
    cluster.nodes.remove(0).close().unwrap();
    let received = read_all(stream).await;
    cluster.close();
    received
}

#[tokio::test]
async fn a_whole_response_whose_node_is_killed_is_shorter_than_its_length() {
    for (name, version) in [("cut-1-0", Version::HTTP_10), ("cut-1-1", Version::HTTP_11)] {
        let received = cut_whole_response(name, version).await;
        assert!(received.body.len() < MANY_BYTES, "{name}");
        assert_eq!(received.length(), Some(MANY_BYTES), "{name}");
    }
}

/// Such a response has no body, so nothing of it can be missing.
#[tokio::test]
async fn a_response_to_head_ends_in_order_at_a_caller_of_http_1_0() {
    let cluster = Cluster::with_nodes("old-head", 1).await;
    let mut sent = stream_request(40);
    sent.method = Method::HEAD;
    let received = read_all(send(&cluster, &sent).await).await;
    assert!(received.is_in_order(), "{:?}", received.end);
    assert!(received.body.is_empty());
    cluster.close();
}
