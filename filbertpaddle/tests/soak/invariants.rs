//! What must hold, judged by what callers and targets saw.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::configuration::CUSTOMER;
use filbertpaddle_adapter_standins::ledger::Run;
use filbertpaddle_adapter_standins::target::POISON;
use filbertpaddle_adapter_standins::target::event;

use crate::history::Change;
use crate::history::ChangeKind;
use crate::history::Component;
use crate::history::Events;
use crate::history::Exchange;
use crate::history::History;
use crate::history::RequestKind;
use crate::traffic::PROBE_PREFIX;

// Bounds of the users' deployments.
/// A machine is judged by the clock once nothing has disrupted it for this long.
const RECOVERY_GRACE: Duration = Duration::from_secs(4);
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_secs(3);
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);
const MAX_DATA_CENTRE_OUT_DELAY: Duration = Duration::from_secs(5);
const MAX_LATENESS: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: usize = 2;
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 58.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
const COLD_RATE_FACTOR: f64 = 1.5;
const COLD_RATE_SLACK: f64 = 5.0;
/// Crashes after which a request is known for what it is, and how often it may
/// still be run once all nodes had time to learn it.
const POISON_CRASHES: usize = 3;
const MAX_RUNS_AFTER_QUARANTINE: usize = 3;

/// Time that generations and plain requests may take.
pub(crate) const STREAM_TIMEOUT_MS: u64 = 8_000;
pub(crate) const PLAIN_TIMEOUT_MS: u64 = 2_000;
pub(crate) const COLD_PER_SEC: f64 = 1.0;
pub(crate) const GRACE_SEC: u32 = 4;

/// The customer's key of a version of the configuration.
pub(crate) fn api_key(version: u64) -> String {
    format!("key-{version}")
}

/// Checks an answer by itself, as soon as it is there.
pub(crate) fn check_answer(history: &History, exchange: &Exchange) {
    let answer = &exchange.answer;
    let is_success = answer.status.is_some_and(|status| status.is_success());
    let expected = expected_body(exchange);
    if is_success && !answer.is_sealed() {
        history.record_violation(format!("unsealed success of {}", exchange.attempt));
    }
    if is_success && !expected.starts_with(&answer.body) {
        history.record_violation(format!("wrong bytes for {}", exchange.attempt));
    }
    if is_success && answer.is_whole && answer.body != expected {
        history.record_violation(format!("short answer to {} looks whole", exchange.attempt));
    }
    if matches!(answer.code(), 429 | 503) && answer.retry_after_sec().is_none() {
        let attempt = &exchange.attempt;
        history.record_violation(format!("refusal of {attempt} says not when to come back"));
    }
}

fn expected_body(exchange: &Exchange) -> Vec<u8> {
    if !exchange.kind.is_stream() {
        return format!("answer to {}", exchange.attempt).into_bytes();
    }
    (1..=exchange.events)
        .flat_map(|id| event(&exchange.attempt, id).to_vec())
        .collect()
}

/// Checks all that can be judged only by the whole run.
pub(crate) fn check_run(history: &History, runs: &[Run]) {
    let mut violations = Vec::new();
    {
        let events = history.events();
        let mut by_attempt: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs
            .iter()
            .filter(|run| !run.attempt.starts_with(PROBE_PREFIX))
        {
            by_attempt.entry(&run.attempt).or_default().push(run);
        }
        let sent: HashMap<_, _> = events
            .exchanges
            .iter()
            .map(|exchange| (exchange.attempt.as_str(), exchange))
            .collect();
        for (attempt, runs) in &by_attempt {
            match sent.get(attempt) {
                Some(exchange) => check_execution(exchange, runs, &mut violations),
                None => violations.push(format!("{attempt} ran but was not sent")),
            }
        }
        for exchange in &events.exchanges {
            let runs = by_attempt
                .get(exchange.attempt.as_str())
                .map_or(&[][..], Vec::as_slice);
            check_outcome(&events, exchange, runs, &mut violations);
        }
        for change in &events.changes {
            check_change(&events, change, runs, &sent, &mut violations);
        }
        check_retries(&events, &by_attempt, &mut violations);
        check_cold_targets(&events, runs, &mut violations);
        check_quarantine(runs, &mut violations);
    }
    violations
        .into_iter()
        .for_each(|violation| history.record_violation(violation));
}

fn check_execution(exchange: &Exchange, runs: &[&Run], violations: &mut Vec<String>) {
    let attempt = &exchange.attempt;
    if runs
        .iter()
        .any(|run| run.customer.as_deref() != Some(CUSTOMER))
    {
        violations.push(format!("{attempt} ran for another customer"));
    }
    let first_runs = runs.iter().filter(|run| !run.is_moved).count();
    let most = match exchange.kind.is_idempotent() {
        true => MAX_ATTEMPTS,
        false => 1,
    };
    if first_runs > most {
        violations.push(format!("{attempt} ran {first_runs} times"));
    }
    let is_refused = matches!(exchange.answer.code(), 408 | 421 | 429 | 503);
    if is_refused && !exchange.kind.is_idempotent() {
        violations.push(format!("{attempt} was refused as not run, and ran"));
    }
}

/// Whether the node of a request was in touch with all until a moment.
fn is_connected(events: &Events, node: usize, from: Instant, to: Instant) -> bool {
    events.is_undisrupted(from - RECOVERY_GRACE, to, |disruption| {
        match &disruption.component {
            Component::Store => true,
            Component::Node(number) => *number == node,
            Component::Target(_) | Component::Machine => false,
        }
    })
}

/// Checks that a request got an answer, in time, where nothing excuses.
fn check_outcome(
    events: &Events,
    exchange: &Exchange,
    runs: &[&Run],
    violations: &mut Vec<String>,
) {
    let Exchange {
        attempt,
        answer,
        kind,
        ..
    } = exchange;
    let took = exchange.ended - exchange.sent;
    let timeout_ms = match kind.is_stream() {
        true => STREAM_TIMEOUT_MS,
        false => PLAIN_TIMEOUT_MS,
    };
    let timeout = Duration::from_millis(timeout_ms);
    let is_node_undisrupted = events.is_undisrupted(
        exchange.sent - RECOVERY_GRACE,
        exchange.ended,
        |disruption| {
            !disruption.is_planned && disruption.component == Component::Node(exchange.node)
        },
    );
    if is_node_undisrupted && took > timeout + MAX_LATENESS {
        violations.push(format!("{attempt} had no end after {took:?}"));
    }
    let is_path_undisrupted = events.is_undisrupted(
        exchange.sent - RECOVERY_GRACE,
        exchange.ended,
        |disruption| {
            match &disruption.component {
                // An outage of the store alone excuses no plain request.
                Component::Store => kind.is_stream(),
                Component::Node(node) => *node == exchange.node && !disruption.is_planned,
                Component::Target(id) => runs.iter().any(|run| run.target == *id),
                Component::Machine => true,
            }
        },
    );
    let has_caller_left =
        took < timeout && took >= Duration::from_millis(exchange.caller_timeout_ms);
    if is_path_undisrupted && !has_caller_left && !answer.is_whole && !runs.is_empty() {
        let code = answer.code();
        violations.push(format!(
            "{attempt} ran and its answer was lost ({code}, kept: {})",
            exchange.is_connection_reused
        ));
    }
    let is_wrongly_denied = is_connected(events, exchange.node, exchange.sent, exchange.ended)
        && matches!(answer.code(), 401 | 403 | 404)
        && !is_key_replaced(events, exchange);
    if is_wrongly_denied {
        violations.push(format!("{attempt} was denied with {}", answer.code()));
    }
}

/// Whether the key of a request may have been replaced before its end, or may
/// not have been in force yet.
fn is_key_replaced(events: &Events, exchange: &Exchange) -> bool {
    events.changes.iter().any(|change| match change.kind {
        ChangeKind::KeyRotated(version) if version == exchange.key_version => {
            exchange.sent < change.at + MAX_CONFIGURATION_DELAY
        }
        ChangeKind::KeyRotated(version) => {
            version > exchange.key_version && change.at <= exchange.ended
        }
        _ => false,
    })
}

/// Checks that no request ran as if a change had not been made.
fn check_change(
    events: &Events,
    change: &Change,
    runs: &[Run],
    sent: &HashMap<&str, &Exchange>,
    violations: &mut Vec<String>,
) {
    let bound = match change.kind {
        ChangeKind::KeyRotated(_) => MAX_CONFIGURATION_DELAY,
        ChangeKind::DataCentreOut(_) => MAX_DATA_CENTRE_OUT_DELAY,
        ChangeKind::TargetDraining(..) => MAX_DRAIN_DELAY,
    };
    for run in runs {
        let is_later = run.at > change.at + bound && change.to.is_none_or(|to| run.at < to);
        let Some(exchange) = sent.get(run.attempt.as_str()) else {
            continue;
        };
        if !is_later || !contradicts_change(events, change, run, exchange) {
            continue;
        }
        // The node may have sent it as early as the request came.
        let since = match change.kind {
            ChangeKind::KeyRotated(_) => exchange.sent,
            _ => run.at,
        };
        let is_target_disrupted =
            !events.is_undisrupted(run.at - RECOVERY_GRACE, run.at, |disruption| {
                disruption.component == Component::Target(run.target.clone())
                    && !disruption.is_planned
            });
        if since <= change.at + bound
            || is_target_disrupted
            || !is_connected(events, exchange.node, run.at, run.at)
        {
            continue;
        }
        let late = run.at - change.at;
        violations.push(format!(
            "{} ran at {} by node {}, {late:?} after {:?}",
            run.attempt, run.target, exchange.node, change.kind
        ));
    }
}

fn contradicts_change(events: &Events, change: &Change, run: &Run, exchange: &Exchange) -> bool {
    let incarnation = events
        .target_incarnations
        .iter()
        .rev()
        .find(|incarnation| incarnation.id == run.target && incarnation.from <= run.at);
    match &change.kind {
        ChangeKind::KeyRotated(version) => exchange.key_version < *version,
        ChangeKind::DataCentreOut(name) => {
            incarnation.is_some_and(|incarnation| incarnation.data_centre == *name)
        }
        ChangeKind::TargetDraining(id, number) => {
            *id == run.target
                && incarnation.is_some_and(|incarnation| incarnation.number == *number)
        }
    }
}

/// Checks that all nodes together keep to the budget of retries.
fn check_retries(events: &Events, runs: &HashMap<&str, Vec<&Run>>, violations: &mut Vec<String>) {
    for is_stream in [true, false] {
        let sent: Vec<_> = events
            .exchanges
            .iter()
            .filter(|exchange| exchange.kind.is_stream() == is_stream)
            .collect();
        let retries: Vec<_> = sent
            .iter()
            .filter_map(|exchange| runs.get(exchange.attempt.as_str()))
            .flat_map(|runs| runs.iter().filter(|run| !run.is_moved).skip(1))
            .map(|run| run.at)
            .collect();
        for end in &retries {
            let is_in = |at: &Instant| at <= end && *at + RETRY_WINDOW > *end;
            let count = retries.iter().filter(|at| is_in(at)).count();
            let requests = sent.iter().filter(|exchange| is_in(&exchange.sent)).count();
            if count as f64 > RETRY_RATIO * requests as f64 + RETRY_SLACK {
                violations.push(format!("{count} retries of {requests} requests"));
                break;
            }
        }
    }
}

/// Checks that all nodes together spare a cold target.
fn check_cold_targets(events: &Events, runs: &[Run], violations: &mut Vec<String>) {
    let most = COLD_PER_SEC * COLD_RATE_FACTOR + COLD_RATE_SLACK;
    for incarnation in &events.target_incarnations {
        let arrivals: Vec<_> = runs
            .iter()
            .filter(|run| run.target == incarnation.id)
            .map(|run| run.at)
            .filter(|at| *at >= incarnation.from && *at < incarnation.from + incarnation.cold)
            .collect();
        for start in &arrivals {
            let is_in = |at: &&Instant| *at >= start && **at < *start + Duration::from_secs(1);
            let count = arrivals.iter().filter(is_in).count();
            if count as f64 > most {
                violations.push(format!(
                    "{} got {count} in a second while cold",
                    incarnation.id
                ));
                break;
            }
        }
    }
}

/// Checks that what crashes targets is stopped, through whichever nodes it comes.
fn check_quarantine(runs: &[Run], violations: &mut Vec<String>) {
    let mut poison = runs.iter().filter(|run| run.attempt.starts_with(POISON));
    let Some(threshold_crash) = poison.nth(POISON_CRASHES - 1) else {
        return;
    };
    let count = poison
        .filter(|run| run.at > threshold_crash.at + RECOVERY_GRACE)
        .count();
    if count > MAX_RUNS_AFTER_QUARANTINE {
        violations.push(format!("{count} targets more were crashed by one request"));
    }
}

/// Shares of requests by outcome, for the report of a run.
pub(crate) fn summary(events: &Events) -> String {
    let count = |kind: RequestKind, is_good: bool| {
        let is_whole = |exchange: &&Exchange| {
            exchange.kind == kind
                && (exchange.answer.is_whole && exchange.answer.code() == 200) == is_good
        };
        events.exchanges.iter().filter(is_whole).count()
    };
    [
        RequestKind::Read,
        RequestKind::Write,
        RequestKind::Stream,
        RequestKind::Resumable,
    ]
    .map(|kind| format!("{kind} {}+{}", count(kind, true), count(kind, false)))
    .join(", ")
}
