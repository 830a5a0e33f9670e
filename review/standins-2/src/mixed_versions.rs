//! Streams at targets that were started again, with newer software, while cut off from the store.

use std::sync::Arc;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::configuration::RESUMABLE_PATH;
use filbertpaddle_adapter_standins::run_log::Run;
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::Error;
use crate::Outcome;
use crate::caller::CallerStream;
use crate::caller::generation;
use crate::engines::Engines;
use crate::fleet::CONTACT_TIME;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::record::Record;

const ENGINES: usize = 12;
/// Engines that are cut off: a share of 0.17.
const CUT_OFF: [&str; 2] = ["i-engine-3", "i-engine-7"];
const NEW_VERSION: &str = "v2";
const EVENT_MS: u64 = 100;
/// Output tokens of a stream: 60 events of 4 tokens, 6 s.
const OUTPUT_TOKENS: u32 = 240;
const EVENTS: usize = 60;
/// Time between two streams.
const STREAM_INTERVAL: Duration = Duration::from_millis(125);
/// Time for which streams begin before, and in all.
const BEFORE_TIME: Duration = Duration::from_secs(4);
const AFTER_TIME: Duration = Duration::from_secs(8);
/// Time until a crashed engine has started again.
const RESTART_TIME: Duration = Duration::from_millis(1_500);
/// Silence after which the store removes an entry: three intervals of 1.2 s.
const EXPIRY_TIME: Duration = Duration::from_millis(3_600);
/// Length of the cut.
const CUT_TIME: Duration = Duration::from_secs(5);
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Streams with events of two versions that the rule allows.
const MAX_MIXED: usize = 2;

/// A stream as its caller has received it.
#[derive(Clone, Debug)]
struct Received {
    attempt: String,
    events: Vec<u64>,
}

pub async fn run(is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    let mut fleet = Fleet::new("mixed-versions", &configuration(), record).await?;
    let mut engines = Engines::start(&fleet, ENGINES, EVENT_MS, record).await?;
    fleet.start(true).await?;
    sleep(CONTACT_TIME).await;
    let received = Arc::new(Mutex::new(Vec::new()));
    let streams = tokio::spawn(send_streams(
        fleet.callers(),
        Arc::clone(&received),
        record.clone(),
    ));
    sleep(BEFORE_TIME).await;
    if is_troubled {
        cut_and_restart(&fleet, &mut engines, record).await?;
    } else {
        sleep(CUT_TIME).await;
    }
    streams.await?;
    let runs = fleet.run_log.runs();
    fleet.close();
    let received = received.lock().await;
    let mixed = received
        .iter()
        .filter(|stream| is_mixed(stream, &runs, record))
        .count();
    let begun = received
        .iter()
        .filter(|stream| !stream.events.is_empty())
        .count();
    record.add(format!(
        "{mixed} of {begun} streams hold events from targets of two versions"
    ));
    if begun < ENGINES {
        return Err("too few streams to judge".into());
    }
    Ok(if mixed > MAX_MIXED {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Cuts some engines off from the store, not from the nodes. They crash behind the cut and start
/// again under their former IDs, with newer software.
async fn cut_and_restart(
    fleet: &Fleet,
    engines: &mut Engines,
    record: &Record,
) -> Result<(), Error> {
    record.add(format!(
        "{CUT_OFF:?} are partitioned from the store, not from the nodes"
    ));
    let mut crashed = Vec::new();
    for id in CUT_OFF {
        crashed.push(engines.take_down(id).await?);
    }
    sleep(RESTART_TIME).await;
    for one in &crashed {
        engines.bring_back(fleet, one, NEW_VERSION).await?;
    }
    sleep(EXPIRY_TIME - RESTART_TIME).await;
    for id in CUT_OFF {
        fleet.store.remove_target(id);
        record.add(format!("the store removes the entry of {id}"));
    }
    sleep(CUT_TIME - EXPIRY_TIME).await;
    for id in CUT_OFF {
        engines.announce(fleet, id);
    }
    Ok(())
}

/// Begins streams at the nodes in turn, and reads each to its end.
async fn send_streams(
    nodes: Vec<std::net::SocketAddr>,
    received: Arc<Mutex<Vec<Received>>>,
    record: Record,
) {
    let count = (BEFORE_TIME + AFTER_TIME).as_millis() / STREAM_INTERVAL.as_millis();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, node) in (0..count).zip(nodes.into_iter().cycle()) {
        let attempt = format!("s-{number}");
        let request: SentRequest = generation(&attempt, RESUMABLE_PATH, OUTPUT_TOKENS);
        let (received, record) = (Arc::clone(&received), record.clone());
        tasks.spawn(async move {
            let Some(mut answer) = CallerStream::open(node, &request).await else {
                return record.add(format!("{attempt}: no connection"));
            };
            answer
                .read_until(READ_TIMEOUT, |answer| answer.events().len() >= EVENTS)
                .await;
            let events = answer.events();
            record.add(format!(
                "{attempt}: status {:?}, events {:?} to {:?}",
                answer.status(),
                events.first(),
                events.last()
            ));
            received.lock().await.push(Received { attempt, events });
        });
        sleep(STREAM_INTERVAL).await;
    }
    while tasks.join_next().await.is_some() {}
}

/// Returns whether an answer holds events from two versions: a run at one version went on after the
/// events of a run at the other, and the caller has received events of both.
fn is_mixed(stream: &Received, runs: &[Run], record: &Record) -> bool {
    let of_stream = runs.iter().filter(|run| run.attempt == stream.attempt);
    let of_stream: Vec<_> = of_stream.collect();
    let mut versions = Vec::new();
    for (index, run) in of_stream.iter().enumerate() {
        // The next run goes on after the last event of this one that was delivered.
        let next = of_stream
            .get(index + 1)
            .map_or(u64::MAX, |next| next.first_event);
        let has_delivered = stream
            .events
            .iter()
            .any(|id| *id >= run.first_event && *id < next);
        if has_delivered && !versions.contains(&run.version.as_str()) {
            versions.push(run.version.as_str());
        }
    }
    if versions.len() > 1 {
        let runs = of_stream.iter().map(|run| {
            let how = if run.is_migrated { " from a copy" } else { "" };
            format!(
                "{} ({}) from event {}{how}",
                run.target, run.version, run.first_event
            )
        });
        let runs: Vec<_> = runs.collect();
        record.add(format!(
            "{} holds events of {versions:?}: {}",
            stream.attempt,
            runs.join(", ")
        ));
    }
    versions.len() > 1
}
