//! What must hold, judged by what callers and targets saw.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::configuration::CUSTOMER;
use filbertpaddle_adapter_standins::run_log::Run;
use filbertpaddle_adapter_standins::target::POISON;
use filbertpaddle_adapter_standins::target::event;

use crate::history::Change;
use crate::history::Events;
use crate::history::Exchange;
use crate::history::History;
use crate::history::Kind;
use crate::history::Place;
use crate::history::What;
use crate::traffic::PROBE;

// Bounds of the users' deployments.
/// A machine is judged by the clock once nothing has disrupted it for this long.
const CALM: Duration = Duration::from_secs(4);
const CONFIGURATION: Duration = Duration::from_secs(3);
const LEAVING: Duration = Duration::from_secs(3);
const OUT: Duration = Duration::from_secs(5);
const LATE: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: usize = 2;
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 58.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Crashes after which a request is known for what it is, and how often it may
/// still be run once all nodes had time to learn it.
const POISON_CRASHES: usize = 3;
const POISON_RETRIES: usize = 3;

/// Time that generations and plain requests may take.
pub(crate) const STREAM_TIMEOUT_MS: u64 = 8_000;
pub(crate) const PLAIN_TIMEOUT_MS: u64 = 2_000;
pub(crate) const COLD_PER_SEC: f64 = 1.0;
pub(crate) const GRACE_SEC: u32 = 4;

/// The customer's key of a version of the configuration.
pub(crate) fn key(version: u64) -> String {
    format!("key-{version}")
}

/// Checks an answer by itself, as soon as it is there.
pub(crate) fn check_answer(history: &History, exchange: &Exchange) {
    let got = &exchange.got;
    let is_success = got.status.is_some_and(|status| status.is_success());
    let whole = whole(exchange);
    if is_success && !got.is_sealed() {
        history.broken(format!("unsealed success of {}", exchange.attempt));
    }
    if is_success && !whole.starts_with(&got.body) {
        history.broken(format!("wrong bytes for {}", exchange.attempt));
    }
    if is_success && got.is_complete && got.body != whole {
        history.broken(format!("short answer to {} looks whole", exchange.attempt));
    }
    if matches!(got.code(), 429 | 503) && got.retry_after_sec().is_none() {
        let attempt = &exchange.attempt;
        history.broken(format!("refusal of {attempt} says not when to come back"));
    }
}

fn whole(exchange: &Exchange) -> Vec<u8> {
    if !exchange.kind.is_stream() {
        return format!("answer to {}", exchange.attempt).into_bytes();
    }
    (1..=exchange.events)
        .flat_map(|id| event(&exchange.attempt, id).to_vec())
        .collect()
}

/// Checks all that can be judged only by the whole run.
pub(crate) fn check_run(history: &History, runs: &[Run]) {
    let mut broken = Vec::new();
    {
        let events = history.events();
        let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs.iter().filter(|run| !run.attempt.starts_with(PROBE)) {
            by_attempt.entry(&run.attempt).or_default().push(run);
        }
        let sent: HashMap<_, _> = events
            .exchanges
            .iter()
            .map(|exchange| (exchange.attempt.as_str(), exchange))
            .collect();
        for (attempt, runs) in &by_attempt {
            match sent.get(attempt) {
                Some(exchange) => check_runs(exchange, runs, &mut broken),
                None => broken.push(format!("{attempt} ran but was not sent")),
            }
        }
        for exchange in &events.exchanges {
            let runs = by_attempt
                .get(exchange.attempt.as_str())
                .map_or(&[][..], Vec::as_slice);
            check_end(&events, exchange, runs, &mut broken);
        }
        for change in &events.changes {
            check_change(&events, change, runs, &sent, &mut broken);
        }
        check_retries(&events, &by_attempt, &mut broken);
        check_cold(&events, runs, &mut broken);
        check_poison(runs, &mut broken);
    }
    broken.into_iter().for_each(|what| history.broken(what));
}

fn check_runs(exchange: &Exchange, runs: &[&Run], broken: &mut Vec<String>) {
    let attempt = &exchange.attempt;
    if runs
        .iter()
        .any(|run| run.customer.as_deref() != Some(CUSTOMER))
    {
        broken.push(format!("{attempt} ran for another customer"));
    }
    let first_runs = runs.iter().filter(|run| !run.is_migrated).count();
    let most = match exchange.kind.is_idempotent() {
        true => MAX_ATTEMPTS,
        false => 1,
    };
    if first_runs > most {
        broken.push(format!("{attempt} ran {first_runs} times"));
    }
    let is_refused = matches!(exchange.got.code(), 408 | 421 | 429 | 503);
    if is_refused && !exchange.kind.is_idempotent() {
        broken.push(format!("{attempt} was refused as not run, and ran"));
    }
}

/// Whether the node of a request was in touch with all until a moment.
fn is_in_touch(events: &Events, node: usize, from: Instant, to: Instant) -> bool {
    events.is_calm(from - CALM, to, |disruption| match &disruption.place {
        Place::Store => true,
        Place::Node(number) => *number == node,
        Place::Target(_) | Place::Machine => false,
    })
}

/// Checks that a request got an answer, in time, where nothing excuses.
fn check_end(events: &Events, exchange: &Exchange, runs: &[&Run], broken: &mut Vec<String>) {
    let Exchange {
        attempt, got, kind, ..
    } = exchange;
    let took = exchange.ended - exchange.sent;
    let timeout_ms = match kind.is_stream() {
        true => STREAM_TIMEOUT_MS,
        false => PLAIN_TIMEOUT_MS,
    };
    let timeout = Duration::from_millis(timeout_ms);
    let is_node_calm = events.is_calm(exchange.sent - CALM, exchange.ended, |disruption| {
        !disruption.is_planned && disruption.place == Place::Node(exchange.node)
    });
    if is_node_calm && took > timeout + LATE {
        broken.push(format!("{attempt} had no end after {took:?}"));
    }
    let is_all_calm = events.is_calm(exchange.sent - CALM, exchange.ended, |disruption| {
        match &disruption.place {
            // An outage of the store alone excuses no plain request.
            Place::Store => kind.is_stream(),
            Place::Node(node) => *node == exchange.node && !disruption.is_planned,
            Place::Target(id) => runs.iter().any(|run| run.target == *id),
            Place::Machine => true,
        }
    });
    let has_left = took < timeout && took >= Duration::from_millis(exchange.patience_ms);
    if is_all_calm && !has_left && !got.is_complete && !runs.is_empty() {
        let code = got.code();
        broken.push(format!(
            "{attempt} ran and its answer was lost ({code}, kept: {})",
            exchange.is_kept
        ));
    }
    let is_calm_denied = is_in_touch(events, exchange.node, exchange.sent, exchange.ended)
        && matches!(got.code(), 401 | 403 | 404)
        && !is_replaced(events, exchange);
    if is_calm_denied {
        broken.push(format!("{attempt} was denied with {}", got.code()));
    }
}

/// Whether the key of a request may have been replaced before its end, or may
/// not have been in force yet.
fn is_replaced(events: &Events, exchange: &Exchange) -> bool {
    events.changes.iter().any(|change| match change.what {
        What::Key(version) if version == exchange.key => exchange.sent < change.at + CONFIGURATION,
        What::Key(version) => version > exchange.key && change.at <= exchange.ended,
        _ => false,
    })
}

/// Checks that no request ran as if a change had not been made.
fn check_change(
    events: &Events,
    change: &Change,
    runs: &[Run],
    sent: &HashMap<&str, &Exchange>,
    broken: &mut Vec<String>,
) {
    let bound = match change.what {
        What::Key(_) => CONFIGURATION,
        What::Out(_) => OUT,
        What::Leaves(..) => LEAVING,
    };
    for run in runs {
        let is_later = run.at > change.at + bound && change.to.is_none_or(|to| run.at < to);
        let Some(exchange) = sent.get(run.attempt.as_str()) else {
            continue;
        };
        if !is_later || !is_against(events, change, run, exchange) {
            continue;
        }
        // The node may have sent it as early as the request came.
        let since = match change.what {
            What::Key(_) => exchange.sent,
            _ => run.at,
        };
        let is_held_up = !events.is_calm(run.at - CALM, run.at, |disruption| {
            disruption.place == Place::Target(run.target.clone()) && !disruption.is_planned
        });
        if since <= change.at + bound
            || is_held_up
            || !is_in_touch(events, exchange.node, run.at, run.at)
        {
            continue;
        }
        let late = run.at - change.at;
        broken.push(format!(
            "{} ran at {} by node {}, {late:?} after {:?}",
            run.attempt, run.target, exchange.node, change.what
        ));
    }
}

fn is_against(events: &Events, change: &Change, run: &Run, exchange: &Exchange) -> bool {
    let life = events
        .lives
        .iter()
        .rev()
        .find(|life| life.id == run.target && life.from <= run.at);
    match &change.what {
        What::Key(version) => exchange.key < *version,
        What::Out(name) => life.is_some_and(|life| life.data_centre == *name),
        What::Leaves(id, number) => {
            *id == run.target && life.is_some_and(|life| life.number == *number)
        }
    }
}

/// Checks that all nodes together keep to the budget of retries.
fn check_retries(events: &Events, runs: &HashMap<&str, Vec<&Run>>, broken: &mut Vec<String>) {
    for is_stream in [true, false] {
        let sent: Vec<_> = events
            .exchanges
            .iter()
            .filter(|exchange| exchange.kind.is_stream() == is_stream)
            .collect();
        let repeats: Vec<_> = sent
            .iter()
            .filter_map(|exchange| runs.get(exchange.attempt.as_str()))
            .flat_map(|runs| runs.iter().filter(|run| !run.is_migrated).skip(1))
            .map(|run| run.at)
            .collect();
        for end in &repeats {
            let is_in = |at: &Instant| at <= end && *at + RETRY_WINDOW > *end;
            let count = repeats.iter().filter(|at| is_in(at)).count();
            let requests = sent.iter().filter(|exchange| is_in(&exchange.sent)).count();
            if count as f64 > RETRY_RATIO * requests as f64 + RETRY_SLACK {
                broken.push(format!("{count} repeats of {requests} requests"));
                break;
            }
        }
    }
}

/// Checks that all nodes together spare a cold target.
fn check_cold(events: &Events, runs: &[Run], broken: &mut Vec<String>) {
    let most = COLD_PER_SEC * COLD_OVER + COLD_SLACK;
    for life in &events.lives {
        let arrivals: Vec<_> = runs
            .iter()
            .filter(|run| run.target == life.id)
            .map(|run| run.at)
            .filter(|at| *at >= life.from && *at < life.from + life.cold)
            .collect();
        for start in &arrivals {
            let is_in = |at: &&Instant| *at >= start && **at < *start + Duration::from_secs(1);
            let count = arrivals.iter().filter(is_in).count();
            if count as f64 > most {
                broken.push(format!("{} got {count} in a second while cold", life.id));
                break;
            }
        }
    }
}

/// Checks that what crashes targets is stopped, through whichever nodes it comes.
fn check_poison(runs: &[Run], broken: &mut Vec<String>) {
    let mut poison = runs.iter().filter(|run| run.attempt.starts_with(POISON));
    let Some(third) = poison.nth(POISON_CRASHES - 1) else {
        return;
    };
    let count = poison.filter(|run| run.at > third.at + CALM).count();
    if count > POISON_RETRIES {
        broken.push(format!("{count} targets more were crashed by one request"));
    }
}

/// Shares of requests by outcome, for the report of a run.
pub(crate) fn tell(events: &Events) -> String {
    let count = |kind: Kind, is_good: bool| {
        let is_whole = |exchange: &&Exchange| {
            exchange.kind == kind
                && (exchange.got.is_complete && exchange.got.code() == 200) == is_good
        };
        events.exchanges.iter().filter(is_whole).count()
    };
    [Kind::Read, Kind::Write, Kind::Stream, Kind::Resumable]
        .map(|kind| format!("{kind} {}+{}", count(kind, true), count(kind, false)))
        .join(", ")
}
