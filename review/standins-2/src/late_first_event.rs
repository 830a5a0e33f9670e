//! Streams whose first event is late at a slow target, and that go on at another one.

use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::configuration::RESUMABLE_PATH;
use filbertpaddle_adapter_standins::run_log::Run;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::interval;
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

/// Engines, and those that are slow: a share of 0.14.
const ENGINES: usize = 14;
const SLOW_ENGINES: usize = 2;
/// Goal of the route's latency, as that of the site's short generations.
const GOAL_MS: u64 = 1_500;
/// Time to the first event and between events at a crowded engine, and at a slow one: 4 times that.
const EVENT_MS: u64 = 1_100;
const SLOW_FACTOR: u64 = 4;
/// Output tokens of a stream: 3 events of 4 tokens.
const OUTPUT_TOKENS: u32 = 12;
const EVENTS: usize = 3;
const DEADLINE_MS: u64 = 20_000;
const PER_SEC: u32 = 6;
/// Time for which engines are slow and requests come.
const SLOW_TIME: Duration = Duration::from_secs(5);
/// Time in which all runs end.
const END_TIME: Duration = Duration::from_secs(16);
/// Time for which both targets may work on a request.
const SLACK: Duration = Duration::from_millis(400);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub async fn run(is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    let mut configuration = configuration();
    if let Some(routes) = configuration["routes"].as_array_mut() {
        for route in routes {
            route["target_latency_ms"] = json!(GOAL_MS);
        }
    }
    let mut fleet = Fleet::new("late-first-event", &configuration, record).await?;
    let usual = ENGINES - SLOW_ENGINES;
    let mut engines = Engines::start(&fleet, usual, EVENT_MS, record).await?;
    let factor = if is_troubled { SLOW_FACTOR } else { 1 };
    let slow_ms = EVENT_MS * factor;
    engines.add_slow(&fleet, usual..ENGINES, slow_ms).await?;
    record.add(format!(
        "{ENGINES} engines with an event each {EVENT_MS} ms, the last {SLOW_ENGINES} each {slow_ms} ms"
    ));
    fleet.start(true).await?;
    sleep(CONTACT_TIME).await;
    let start = Instant::now();
    let mut timer = interval(Duration::from_secs(1) / PER_SEC);
    let mut streams = JoinSet::new();
    let nodes = fleet.callers();
    let mut number = 0;
    while start.elapsed() < SLOW_TIME {
        timer.tick().await;
        let attempt = format!("s-{number}");
        let request = SentRequest {
            deadline_ms: DEADLINE_MS,
            ..generation(&attempt, RESUMABLE_PATH, OUTPUT_TOKENS)
        };
        let (node, record) = (nodes[number % nodes.len()], record.clone());
        streams.spawn(async move {
            let Some(mut answer) = CallerStream::open(node, &request).await else {
                return record.add(format!("{attempt}: no connection"));
            };
            let is_whole = |answer: &CallerStream| answer.events().len() == EVENTS;
            answer
                .read_until(Duration::from_millis(DEADLINE_MS), is_whole)
                .await;
            record.add(format!(
                "{attempt}: status {:?}, events {:?}",
                answer.status(),
                answer.events()
            ));
        });
        number += 1;
    }
    let seen = watch_runs(&engines, start + SLOW_TIME + END_TIME).await;
    let runs = fleet.run_log.runs();
    fleet.close();
    let doubled = runs
        .iter()
        .enumerate()
        .filter(|(index, run)| is_doubled(run, &runs[index + 1..], &seen, record))
        .count();
    record.add(format!(
        "{doubled} of {number} requests are at work at two targets"
    ));
    Ok(if doubled > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}

/// A run, and when it was last at work.
#[derive(Debug)]
struct Seen {
    target: String,
    attempt: String,
    last: Instant,
}

/// Watches what the targets work on, until `end`.
async fn watch_runs(engines: &Engines, end: Instant) -> Vec<Seen> {
    let mut seen: Vec<Seen> = Vec::new();
    while Instant::now() < end {
        let last = Instant::now();
        for (target, attempt) in engines.running() {
            let mut known = seen.iter_mut();
            match known.find(|one| one.target == target && one.attempt == attempt) {
                Some(known) => known.last = last,
                None => seen.push(Seen {
                    target,
                    attempt,
                    last,
                }),
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    seen
}

/// Returns whether the target of a run worked on for longer than allowed after the request went on
/// at another one.
fn is_doubled(run: &Run, later: &[Run], seen: &[Seen], record: &Record) -> bool {
    let mut later = later.iter();
    let next = later.find(|next| next.attempt == run.attempt && next.target != run.target);
    let Some(next) = next else {
        return false;
    };
    let mut seen = seen.iter();
    let last = seen.find(|one| one.target == run.target && one.attempt == run.attempt);
    let worked = last.map_or(Duration::ZERO, |one| {
        one.last.saturating_duration_since(next.at)
    });
    let text = format!(
        "{} goes on at {}; {} works on it for {:.1} s more",
        run.attempt,
        next.target,
        run.target,
        worked.as_secs_f64()
    );
    record.add_at(next.at, text);
    worked > SLACK
}
