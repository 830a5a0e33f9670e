//! A caller that reads its stream slowly.

use std::cmp::Ordering;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use http::Method;
use tokio::io::AsyncReadExt;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::request;

/// More than the buffers between target and caller hold.
const EVENTS: u64 = 240;
const EVENT_BYTES: usize = 200 << 10;
/// Longer than a stream may stall.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Returns a chunk with an event of a stream or its end, or `None` after it.
fn next_event(id: u64) -> Option<Bytes> {
    let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
    match id.cmp(&(EVENTS + 1)) {
        Ordering::Less => Some(Bytes::from(format!("{:x}\r\n{event}\r\n", event.len()))),
        Ordering::Equal => Some(Bytes::from_static(b"0\r\n\r\n")),
        Ordering::Greater => None,
    }
}

/// A stream whose caller did not read for a while counted as stalled at its target.
#[tokio::test]
async fn a_stream_whose_caller_reads_slowly_stays_at_its_target() {
    let mut cluster = Cluster::new("slow-caller").await;
    let start = format!(
        "{}transfer-encoding: chunked\r\n\r\n",
        start_of_head("slow")
    );
    let mut targets = Vec::new();
    for id in ["s1", "s2"] {
        let target = RawTarget::start(start.clone(), next_event).await.unwrap();
        let entry = target.entry("engine", "dc-a");
        cluster.store.put_target(id, &entry);
        targets.push(target);
    }
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let request = request("slow", Method::POST, RESUMABLE_PATH, Some(960));
    let node = cluster.nodes[0].addresses.callers;
    let mut caller = caller::send_unread(node, &request).await.unwrap();
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
