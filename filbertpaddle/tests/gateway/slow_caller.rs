//! A caller that reads its stream slowly.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller::HOST;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use crate::cluster::RESUMABLE_PATH;

/// More than the buffers between target and caller hold.
const EVENTS: u64 = 240;
const EVENT_BYTES: usize = 200 << 10;
/// Longer than a stream may stall.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Sends a whole stream, as fast as it is read, on each of its connections.
async fn serve_streams(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(send_stream(stream));
    }
}

async fn send_stream(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await?;
    let head = "HTTP/1.1 200 OK\r\nFilbertpaddle-Attempt-Id: slow\r\n\
                Filbertpaddle-Response-Seal: s\r\nConnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    for id in 1..=EVENTS {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        stream.write_all(event.as_bytes()).await?;
    }
    stream.shutdown().await
}

/// A stream whose caller did not read for a while counted as stalled at its target.
#[tokio::test]
async fn a_stream_whose_caller_reads_slowly_stays_at_its_target() {
    let mut cluster = Cluster::new("slow-caller").await;
    let mut addresses = Vec::new();
    for id in ["s1", "s2"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve_streams(listener));
        let entry = json!({
            "service": "engine", "address": address.to_string(), "zone": "dc-a", "version": "v1",
            "slots": 24, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
        });
        cluster.store.put_target(id, &entry);
        addresses.push(address);
    }
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let mut caller = TcpStream::connect(cluster.nodes[0].addresses.callers)
        .await
        .unwrap();
    let request = format!(
        "POST {RESUMABLE_PATH} HTTP/1.1\r\nHost: {HOST}\r\nFilbertpaddle-Attempt-Id: slow\r\n\
         Filbertpaddle-Credential: {KEY}\r\nFilbertpaddle-Token-Count: 1000,960\r\n\
         Filbertpaddle-Deadline-Ms: 13000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    // Each pause lasts longer than a stall; the buffers are full by then.
    for _ in 0..3 {
        sleep(PAUSE).await;
        let mut part = vec![0; 4 << 20];
        let read = caller.read(&mut part).await.unwrap();
        received.extend_from_slice(&part[..read]);
    }
    caller.read_to_end(&mut received).await.unwrap();
    let log = cluster.log("node-0");
    assert!(!log.contains("stalled"), "counted as stalled");
    let events = received
        .windows(4)
        .filter(|bytes| bytes == b"\nid:")
        .count();
    assert_eq!(events as u64, EVENTS);
    assert!(received.ends_with(b"0\r\n\r\n"));
    cluster.close();
}
