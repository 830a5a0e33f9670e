//! Generations with bodies of the size that the configuration allows, after one data centre is
//! lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller::request_text;
use filbertpaddle_adapter_standins::configuration::STREAM_PATH;
use http::Version;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::Error;
use crate::Outcome;
use crate::caller::generation;
use crate::engines::Engines;
use crate::fleet::CONTACT_TIME;
use crate::fleet::Fleet;
use crate::fleet::MEMORY_MB;
use crate::fleet::configuration;
use crate::record::Record;

const ENGINES: usize = 12;
const EVENT_MS: u64 = 100;
/// Output tokens of a stream: 80 events of 4 tokens, 8 s.
const OUTPUT_TOKENS: u32 = 320;
/// `max_body_bytes` of the site's configuration, and size of each body.
const BODY_BYTES: usize = 4 << 20;
/// Generations per second at each node in usual times: those of the site, 11.05, by its 9 nodes.
const PER_SEC: f64 = 11.05 / 9.0;
/// Time for which all nodes run, and time after the loss.
const USUAL_TIME: Duration = Duration::from_secs(15);
const LOSS_TIME: Duration = Duration::from_secs(70);
/// Number of nodes. The first data centre has two of them, the others one each.
const NODES: usize = 4;
const LOST_NODES: [usize; 2] = [0, 3];
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time until a process that was ended for its memory is started again.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Machines, and ends of their processes, from which the day counts 0.
const MIN_MACHINES: usize = 2;
const MIN_ENDS: usize = 3;
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// How the callers' streams have ended.
#[derive(Debug, Default)]
struct Streams {
    sent: AtomicUsize,
    complete: AtomicUsize,
    broken_off: AtomicUsize,
    refused: AtomicUsize,
    not_accepted: AtomicUsize,
}

pub async fn run(is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    let mut configuration = configuration();
    configuration["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    let mut fleet = Fleet::with_nodes(NODES, "large-bodies", &configuration, record).await?;
    let _engines = Engines::start(&fleet, ENGINES, EVENT_MS, record).await?;
    fleet.start(true).await?;
    sleep(CONTACT_TIME).await;

    let streams = Arc::new(Streams::default());
    let mut callers = JoinSet::new();
    for home in 0..NODES {
        callers.spawn(send_streams(home, fleet.callers(), Arc::clone(&streams)));
    }
    let mut ends = vec![0; NODES];
    let mut most_mb = vec![0; NODES];
    let start = Instant::now();
    let mut is_lost = false;
    while start.elapsed() < USUAL_TIME + LOSS_TIME {
        if is_troubled && !is_lost && start.elapsed() >= USUAL_TIME {
            LOST_NODES.iter().for_each(|index| fleet.lose(*index));
            is_lost = true;
        }
        for index in 0..NODES {
            let used_mb = fleet.memory_mb(index);
            most_mb[index] = used_mb.max(most_mb[index]);
            if used_mb > MEMORY_MB {
                ends[index] += 1;
                fleet.end_for_memory(index, used_mb, DOWN_TIME);
            }
        }
        fleet.restart_due()?;
        sleep(POLL_INTERVAL).await;
    }
    callers.abort_all();
    fleet.close();
    let count = |number: &AtomicUsize| number.load(Ordering::Relaxed);
    record.add(format!(
        "{} streams sent: {} complete, {} broken off, {} refused, {} not accepted",
        count(&streams.sent),
        count(&streams.complete),
        count(&streams.broken_off),
        count(&streams.refused),
        count(&streams.not_accepted)
    ));
    record.add(format!(
        "most memory of each node: {most_mb:?} MB of {MEMORY_MB}; ends for memory: {ends:?}"
    ));
    let machines = ends.iter().filter(|ends| **ends >= MIN_ENDS).count();
    Ok(if machines >= MIN_MACHINES {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Sends the generations of the callers of one node: to that, or to the others in turn while it
/// accepts no connection.
async fn send_streams(home: usize, nodes: Vec<SocketAddr>, streams: Arc<Streams>) {
    let body: Arc<[u8]> = vec![b'x'; BODY_BYTES].into();
    let mut timer = interval(Duration::from_secs_f64(1.0 / PER_SEC));
    let mut sent = JoinSet::new();
    for number in 0_usize.. {
        timer.tick().await;
        streams.sent.fetch_add(1, Ordering::Relaxed);
        let others = (1..nodes.len()).map(|step| (home + step) % nodes.len());
        let mut order: Vec<_> = others.collect();
        if number % 2 == 1 {
            order.reverse();
        }
        order.insert(0, home);
        let order: Vec<_> = order.into_iter().map(|index| nodes[index]).collect();
        let (body, streams) = (Arc::clone(&body), Arc::clone(&streams));
        sent.spawn(async move {
            let attempt = format!("s-{home}-{number}");
            let read = send_stream(&order, &attempt, &body);
            let text = timeout(READ_TIMEOUT, read).await.ok().flatten();
            let counted = match text {
                None => &streams.not_accepted,
                Some(text) if text.starts_with("HTTP/1.1 503") => &streams.refused,
                Some(text) if text.ends_with("0\r\n\r\n") => &streams.complete,
                Some(_) => &streams.broken_off,
            };
            counted.fetch_add(1, Ordering::Relaxed);
        });
        while sent.try_join_next().is_some() {}
    }
}

/// Sends one request to the first of the nodes that accepts a connection, and returns what came back
/// until the connection ended; `None` if none does.
async fn send_stream(nodes: &[SocketAddr], attempt: &str, body: &[u8]) -> Option<String> {
    let request = generation(attempt, STREAM_PATH, OUTPUT_TOKENS);
    let head = request_text(Version::HTTP_11, &request, "close");
    let head = head.replace(
        "content-length: 0",
        &format!("content-length: {}", body.len()),
    );
    let mut connected = None;
    for node in nodes {
        connected = TcpStream::connect(node).await.ok();
        if connected.is_some() {
            break;
        }
    }
    let mut stream = connected?;
    stream.write_all(head.as_bytes()).await.ok()?;
    // A node may answer before it has read the body.
    stream.write_all(body).await.ok();
    let mut answer = Vec::new();
    // What came before a reset counts too.
    stream.read_to_end(&mut answer).await.ok();
    Some(String::from_utf8_lossy(&answer).into_owned())
}
