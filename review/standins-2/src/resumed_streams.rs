//! Streams that callers take up again after all nodes were killed.

use std::sync::Arc;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller::Resume;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::configuration::RESUMABLE_PATH;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::Error;
use crate::Outcome;
use crate::caller::CallerStream;
use crate::caller::generation;
use crate::engines::Engines;
use crate::engines::FIRST_VERSION;
use crate::fleet::CONTACT_TIME;
use crate::fleet::Fleet;
use crate::fleet::configuration;
use crate::record::Record;

/// Number of streams that callers take up again, and of new ones beside them.
const STREAMS: usize = 24;
/// Number from which the rule judges.
const MIN_STREAMS: usize = 12;
/// Output tokens of a stream: 120 events of 4 tokens, 30 s.
const OUTPUT_TOKENS: u32 = 480;
const NEW_VERSION: &str = "v2";
const EVENT_MS: u64 = 250;
/// Targets.
const ENGINES: usize = 12;
/// Time before and after the change of the configuration.
const CALM_TIME: Duration = Duration::from_secs(4);
/// Time for which callers read before their connections end.
const FIRST_READ_TIME: Duration = Duration::from_secs(4);
/// Time until killed processes are started again.
const DOWN_TIME: Duration = Duration::from_millis(1_400);
/// Time from the end of the first connections until callers return, if nothing is killed.
const AWAY_TIME: Duration = Duration::from_secs(7);
/// Tries of a caller that takes its stream up again: it honours `Retry-After` in between.
const TRIES: usize = 3;
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(4);

/// A stream that was broken off, and the last event that its caller has.
#[derive(Clone, Debug)]
struct BrokenStream {
    attempt: String,
    last_event: u64,
}

/// Planned work that goes on before the nodes are killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// The operator adds a route. All targets have one software version.
    AddedRoute,
    /// Half of the targets have been replaced by others with newer software.
    Release,
    /// None.
    Nothing,
}

pub async fn run(work: Work, is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    let mut fleet = Fleet::new("resumed-streams", &configuration(), record).await?;
    let mut engines = Engines::start(&fleet, ENGINES / 2, EVENT_MS, record).await?;
    let version = if work == Work::Release {
        NEW_VERSION
    } else {
        FIRST_VERSION
    };
    engines.add(&fleet, ENGINES / 2..ENGINES, version).await?;
    record.add(format!(
        "{ENGINES} targets: half of {FIRST_VERSION}, half of {version}"
    ));
    fleet.start(true).await?;
    sleep(CALM_TIME).await;
    if work == Work::AddedRoute {
        fleet.store.put_configuration(&with_one_more_route());
        record.add("the operator adds a route (version 2)");
    }
    sleep(CALM_TIME).await;

    let mut streams = Vec::new();
    for index in 0..STREAMS {
        let attempt = format!("first-{index}");
        let node = fleet.nodes[index % fleet.nodes.len()].callers;
        let request = generation(&attempt, RESUMABLE_PATH, OUTPUT_TOKENS);
        let stream = CallerStream::open(node, &request).await.ok_or("no node")?;
        streams.push((attempt, stream));
    }
    record.add(format!("{STREAMS} streams sent"));
    let read_until = Instant::now() + FIRST_READ_TIME;
    for (_, stream) in &mut streams {
        let rest = read_until.saturating_duration_since(Instant::now());
        stream.read_until(rest, |_| false).await;
    }
    let mut broken = Vec::new();
    for (attempt, stream) in &streams {
        let last_event = stream.events().last().copied().unwrap_or_default();
        record.add(format!(
            "{attempt}: status {:?}, last event {last_event}",
            stream.status()
        ));
        if last_event > 0 {
            let attempt = attempt.clone();
            broken.push(BrokenStream {
                attempt,
                last_event,
            });
        }
    }
    let return_at = Instant::now() + AWAY_TIME;
    if is_troubled {
        fleet.kill();
        drop(streams);
        sleep(DOWN_TIME).await;
        fleet.start(false).await?;
    } else {
        drop(streams);
        record.add("callers' connections end");
    }
    // All nodes have been in touch for a second when the callers come.
    sleep(CONTACT_TIME + Duration::from_secs(1)).await;
    sleep_until(return_at).await;

    let (resumed, begun) = take_up_and_begin(&fleet, &broken, record).await;
    let serving = engines.serving();
    record.add(format!(
        "{resumed} of {} streams go on, {begun} of {STREAMS} new ones begin; \
         {serving} targets serve",
        broken.len()
    ));
    fleet.close();
    if broken.len() < MIN_STREAMS || begun == 0 {
        return Err("too few streams to judge".into());
    }
    let share = |part: usize, all: usize| part as f64 / all as f64;
    let is_broken = share(resumed, broken.len()) < 0.5 * share(begun, STREAMS);
    Ok(if is_broken && serving >= 2 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// Returns version 2 of the configuration, in which the operator has added a further route for
/// streams that can be resumed. The other routes stay as they were.
fn with_one_more_route() -> Value {
    let mut changed = configuration();
    changed["version"] = json!(2);
    if let Some(routes) = changed["routes"].as_array_mut() {
        let mut added = routes[1].clone();
        added["name"] = json!("resumable-added");
        added["prefix"] = json!("/added/");
        routes.push(added);
    }
    changed
}

/// Lets the callers take up their streams again, while as many new streams begin. Returns how many
/// go on, and how many begin.
async fn take_up_and_begin(
    fleet: &Fleet,
    broken: &[BrokenStream],
    record: &Record,
) -> (usize, usize) {
    let nodes = Arc::new(fleet.callers());
    let mut resuming = JoinSet::new();
    for (index, stream) in broken.iter().cloned().enumerate() {
        let (nodes, record) = (Arc::clone(&nodes), record.clone());
        resuming.spawn(async move {
            for number in 0..TRIES {
                let attempt = format!("again-{index}-{number}");
                let request = SentRequest {
                    resume: Some(Resume {
                        attempt: Some(stream.attempt.clone()),
                        last_event: stream.last_event,
                    }),
                    ..generation(&attempt, RESUMABLE_PATH, OUTPUT_TOKENS)
                };
                // Retries reach other nodes.
                let node = nodes[(index + number + 1) % nodes.len()];
                let Some(mut answer) = CallerStream::open(node, &request).await else {
                    continue;
                };
                let has_answer = |answer: &CallerStream| !answer.events().is_empty();
                answer.read_until(FIRST_EVENT_TIMEOUT, has_answer).await;
                let next = answer.events().first().copied();
                record.add(format!(
                    "{attempt} resumes {} after event {}: status {:?}, retry after {:?}, next event {next:?}",
                    stream.attempt, stream.last_event, answer.status(), answer.retry_after()
                ));
                if next == Some(stream.last_event + 1) {
                    return true;
                }
                sleep(answer.retry_after().unwrap_or_default()).await;
            }
            false
        });
    }
    let mut beginning = JoinSet::new();
    for index in 0..STREAMS {
        let (nodes, record) = (Arc::clone(&nodes), record.clone());
        beginning.spawn(async move {
            let attempt = format!("new-{index}");
            let request = generation(&attempt, RESUMABLE_PATH, OUTPUT_TOKENS);
            let node = nodes[index % nodes.len()];
            let Some(mut answer) = CallerStream::open(node, &request).await else {
                return false;
            };
            let has_answer = |answer: &CallerStream| !answer.events().is_empty();
            answer.read_until(FIRST_EVENT_TIMEOUT, has_answer).await;
            let first = answer.events().first().copied();
            record.add(format!(
                "{attempt}: status {:?}, first event {first:?}",
                answer.status()
            ));
            first == Some(1)
        });
    }
    let count = |results: Vec<bool>| results.into_iter().filter(|is_served| *is_served).count();
    let resumed = count(resuming.join_all().await);
    let begun = count(beginning.join_all().await);
    (resumed, begun)
}
