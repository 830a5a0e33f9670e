//! Callers and targets that read nothing for longer than a dead peer is waited for.

use std::cmp::Ordering;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::entry_at;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use filbertpaddle_standins::loopback::next_host;
use http::Method;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::configuration;
use crate::cluster::request;

/// More than the buffers between target and caller hold.
const EVENTS: u64 = 120;
const EVENT_BYTES: usize = 200 << 10;
/// Longer than the time after which a connection to a dead peer fails.
const PAUSE: Duration = Duration::from_secs(4);
/// Receive buffer of a target; its requests are larger.
const WINDOW_BYTES: u32 = 4_096;
const BODY_BYTES: usize = 60_000;
/// More than the buffers between node and target hold.
const UNREAD_BYTES: usize = 1 << 20;
/// Time in which the node reads the part of an answer that comes before a reset.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// Returns a chunk with an event of a stream or its end, or `None` after it.
fn next_event(id: u64) -> Option<Bytes> {
    let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
    match id.cmp(&(EVENTS + 1)) {
        Ordering::Less => Some(Bytes::from(format!("{:x}\r\n{event}\r\n", event.len()))),
        Ordering::Equal => Some(Bytes::from_static(b"0\r\n\r\n")),
        Ordering::Greater => None,
    }
}

#[tokio::test]
async fn a_caller_that_reads_nothing_for_some_seconds_gets_its_whole_stream() {
    let mut cluster = Cluster::new("unread-stream").await;
    let start = format!(
        "{}transfer-encoding: chunked\r\n\r\n",
        start_of_head("unread")
    );
    let target = RawTarget::start(start, next_event).await.unwrap();
    cluster
        .store
        .put_target("s1", &target.entry("engine", "dc-a"));
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let request = request("unread", Method::POST, RESUMABLE_PATH, Some(480));
    let node = cluster.nodes[0].addresses.callers;
    let mut caller = caller::send_unread(node, &request).await.unwrap();
    sleep(PAUSE).await;
    let mut received = Vec::new();
    caller.read_to_end(&mut received).await.unwrap();
    assert!(received.ends_with(b"0\r\n\r\n"), "cut");
    let ids = received.windows(4).filter(|bytes| bytes == b"\nid:");
    assert_eq!(ids.count() as u64, EVENTS);
    cluster.close();
}

/// Starts a target with a small window that waits before it reads each request.
async fn start_slow_target() -> io::Result<(TcpListener, serde_json::Value)> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.bind((next_host(), 0).into())?;
    let listener = socket.listen(16)?;
    let entry = entry_at(listener.local_addr()?, "app", "dc-a");
    Ok((listener, entry))
}

/// Answers before the request has been read, and resets the connection.
async fn answer_early(mut stream: TcpStream) -> io::Result<()> {
    let mut part = [0; 1_024];
    stream.read_exact(&mut part).await?;
    let head = start_of_head("early");
    let answer = format!("{head}connection: close\r\n\r\npart");
    stream.write_all(answer.as_bytes()).await?;
    sleep(RESET_DELAY).await;
    stream.set_zero_linger()
}

async fn answer_late(mut stream: TcpStream) -> io::Result<()> {
    sleep(PAUSE).await;
    let mut request = Vec::new();
    let mut part = [0; 1_024];
    while !request.ends_with(b"end") {
        let length = stream.read(&mut part).await?;
        request.extend_from_slice(&part[..length]);
        if length == 0 {
            return Ok(());
        }
    }
    let head = start_of_head("late");
    let answer = format!("{head}content-length: 5\r\n\r\nwhole");
    stream.write_all(answer.as_bytes()).await
}

#[tokio::test]
async fn a_target_that_reads_nothing_for_some_seconds_gets_the_whole_request() {
    let mut cluster = Cluster::new("unread-request").await;
    let mut known = configuration(2, KEY);
    known["limits"]["max_body_bytes"] = json!(1 << 20);
    cluster.store.put_configuration(&known);
    let (listener, entry) = start_slow_target().await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_late(stream));
        }
    });
    cluster.store.put_target("p1", &entry);
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let mut sent = request("late", Method::POST, WRITE_PATH, None);
    sent.content = Some(format!("{}end", "x".repeat(BODY_BYTES)));
    let answer = cluster.send(&sent).await;
    assert_eq!(
        (answer.code(), answer.body.as_slice()),
        (200, &b"whole"[..])
    );
    cluster.close();
}

/// A write of the node may get the error of the reset, after which reads see an end in order.
#[tokio::test]
async fn a_body_that_is_reset_while_its_request_is_written_is_not_whole() {
    let mut cluster = Cluster::new("reset-while-written").await;
    let mut known = configuration(2, KEY);
    known["limits"]["max_body_bytes"] = json!(UNREAD_BYTES);
    cluster.store.put_configuration(&known);
    let (listener, entry) = start_slow_target().await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_early(stream));
        }
    });
    cluster.store.put_target("p1", &entry);
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let mut sent = request("early", Method::POST, WRITE_PATH, None);
    sent.content = Some("x".repeat(UNREAD_BYTES));
    let answer = cluster.send(&sent).await;
    assert_eq!((answer.code(), answer.is_sealed()), (502, false));
    cluster.close();
}
