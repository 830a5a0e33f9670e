//! Targets that send bytes without end until their connection is closed.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use http::Method;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::Cluster;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;

/// Memory of the smallest VM of the users' deployments.
const MAX_MEMORY_KIB: u64 = 88 << 10;
/// Time in which a response that cannot be one is given up; the request has 14 s.
const MAX_WAIT: Duration = Duration::from_secs(6);
const REQUESTS: usize = 16;
/// Bytes that are sent at full speed, to bound the memory of a node that has no limit.
const FAST_BYTES: usize = 32 << 20;
const SLOW_PAUSE: Duration = Duration::from_millis(50);

const SUCCESS: &str =
    "HTTP/1.1 200 OK\r\nFilbertpaddle-Attempt-Id: a\r\nFilbertpaddle-Response-Seal: s\r\n";

/// Sends `start` and then `more` over and over.
async fn send_without_end(mut stream: TcpStream, start: String, more: String) {
    let mut request = [0; 4_096];
    let mut sent = 0;
    if stream.read(&mut request).await.is_err() || stream.write_all(start.as_bytes()).await.is_err()
    {
        return;
    }
    while stream.write_all(more.as_bytes()).await.is_ok() {
        sent += more.len();
        if sent > FAST_BYTES {
            sleep(SLOW_PAUSE).await;
        }
    }
}

async fn start_endless_target(start: String, more: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_without_end(stream, start.clone(), more.clone()));
        }
    });
    address
}

/// Returns the largest amount of memory that a process has used.
fn peak_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let value = line.unwrap().split_whitespace().nth(1);
    value.unwrap().parse().unwrap()
}

/// Sends requests to a target that sends without end; returns their status codes.
async fn send_to_endless(cluster: &Cluster, path: &'static str) -> Vec<Option<u16>> {
    let node = cluster.nodes[0].addresses.callers;
    let tokens = (path == STREAM_PATH).then_some(40);
    let mut callers = JoinSet::new();
    for _ in 0..REQUESTS {
        callers.spawn(async move {
            let sent = request("a", Method::POST, path, tokens);
            let answer = timeout(MAX_WAIT, caller::send(node, &sent)).await;
            answer.ok().map(|answer| answer.code())
        });
    }
    callers.join_all().await
}

async fn check_endless(name: &str, path: &'static str, start: String, more: String) {
    let mut cluster = Cluster::new(name).await;
    let address = start_endless_target(start, more).await;
    let service = if path == STREAM_PATH { "engine" } else { "app" };
    let entry = json!({
        "service": service, "address": address.to_string(), "zone": "dc-a", "version": "v1",
        "slots": 24, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
    });
    cluster.store.put_target("endless", &entry);
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let codes = send_to_endless(&cluster, path).await;
    // What was sent may have run; a back-off refuses the others.
    let is_ended = |code: &Option<u16>| matches!(code, Some(502 | 503));
    assert!(codes.iter().all(is_ended), "{codes:?}");
    assert!(codes.contains(&Some(502)), "{codes:?}");
    let memory_kib = peak_memory_kib(cluster.nodes[0].process.id());
    assert!(memory_kib <= MAX_MEMORY_KIB, "{memory_kib} KiB");
    cluster.close();
}

/// Bodies without end filled the node's memory until the time limit of the request.
#[tokio::test]
async fn body_without_end_is_given_up_within_the_memory_of_a_small_vm() {
    let chunk = format!("{:x}\r\n{}\r\n", 1 << 16, "x".repeat(1 << 16));
    let chunked = format!("{SUCCESS}Transfer-Encoding: chunked\r\n\r\n");
    check_endless("endless-chunks", WRITE_PATH, chunked, chunk).await;
    let unframed = format!("{SUCCESS}Connection: close\r\n\r\n");
    let bytes = "x".repeat(1 << 16);
    check_endless("endless-body", WRITE_PATH, unframed, bytes).await;
}

#[tokio::test]
async fn head_without_end_is_given_up_within_the_memory_of_a_small_vm() {
    let field = format!("X-Filler: {}\r\n", "x".repeat(1 << 10));
    check_endless("endless-head", WRITE_PATH, SUCCESS.to_owned(), field).await;
    let name = "x".repeat(1 << 16);
    check_endless("endless-field", WRITE_PATH, SUCCESS.to_owned(), name).await;
}

#[tokio::test]
async fn event_without_end_is_given_up_within_the_memory_of_a_small_vm() {
    let start = format!("{SUCCESS}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
    let bytes = "x".repeat(1 << 12);
    check_endless("endless-event", STREAM_PATH, start, bytes).await;
}
