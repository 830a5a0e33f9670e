//! Invariants of a run, checked against what callers received and what targets ran.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::configuration::CUSTOMER;
use filbertpaddle_adapter_standins::poison::POISON;
use filbertpaddle_adapter_standins::run_log::Run;
use filbertpaddle_adapter_standins::run_log::UnframedResponse;
use filbertpaddle_adapter_standins::target::event;
use filbertpaddle_adapter_standins::unframed::BreakOff;

use crate::history::Change;
use crate::history::ChangeKind;
use crate::history::Component;
use crate::history::Events;
use crate::history::Exchange;
use crate::history::History;
use crate::history::RequestKind;
use crate::rate_limits;
use crate::target_cuts;
use crate::traffic::DEADLY_PREFIX;
use crate::traffic::PROBE_PREFIX;
use crate::versions;

// Bounds that the users' deployments require.
/// Time after a disruption for which its effects are still tolerated.
pub(crate) const RECOVERY_GRACE: Duration = Duration::from_secs(4);
/// Time within which a new API key must be in force on all nodes.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_secs(2);
/// Time within which a draining target must stop receiving requests.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);
/// Time within which a data centre that is out of service must stop receiving requests.
const MAX_DATA_CENTRE_OUT_DELAY: Duration = Duration::from_secs(5);
/// Time beyond its timeout by which a request must have ended.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Maximum number of times that an idempotent request may run.
const MAX_ATTEMPTS: usize = 2;
/// Retries allowed in a window, as a share of its requests.
const RETRY_RATIO: f64 = 0.2;
/// Number of retries allowed in a window beyond that share.
const RETRY_SLACK: f64 = 58.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Factor by which all nodes together may exceed the request rate for a cold target.
const COLD_RATE_FACTOR: f64 = 1.5;
/// Number of requests in a second allowed beyond that.
const COLD_RATE_SLACK: f64 = 5.0;
/// Number of crashes after which a request must be quarantined.
const POISON_CRASHES: usize = 3;
/// Number of crashes after which all requests with the same crashing part must be quarantined.
const DEADLY_PART_CRASHES: usize = 5;
/// Number of times that a quarantined request may still run once all nodes have had
/// time to receive its crash record.
const MAX_RUNS_AFTER_QUARANTINE: usize = 3;

/// Timeout of a generation.
pub(crate) const STREAM_TIMEOUT_MS: u64 = 8_000;
/// Timeout of a plain request.
pub(crate) const PLAIN_TIMEOUT_MS: u64 = 2_000;
/// Configured rate of requests to a cold target.
pub(crate) const COLD_PER_SEC: f64 = 1.0;
/// Grace period of a node that is signalled to stop.
pub(crate) const GRACE_SEC: u32 = 4;

/// Returns the customer's API key in a version of the configuration.
pub(crate) fn api_key(version: u64) -> String {
    format!("key-{version}")
}

/// Checks what can be judged from one answer alone.
pub(crate) fn check_answer(history: &History, exchange: &Exchange) {
    let answer = &exchange.answer;
    let is_success = answer.status.is_some_and(|status| status.is_success());
    let expected = expected_body(exchange);
    if answer.code() == 503 && answer.body == b"quarantined\n" {
        history.record_violation(format!(
            "{} was quarantined, but crashes no target",
            exchange.attempt
        ));
    }
    if is_success && !answer.is_sealed() {
        history.record_violation(format!(
            "successful answer to {} lacks the response seal",
            exchange.attempt
        ));
    }
    if is_success && !expected.starts_with(&answer.body) {
        history.record_violation(format!(
            "successful answer to {} contains wrong bytes",
            exchange.attempt
        ));
    }
    if is_success && answer.is_complete && answer.body != expected {
        history.record_violation(format!(
            "truncated answer to {} ended like a complete one ({}, {:?}, node {}, {} events of {})",
            exchange.attempt,
            exchange.kind,
            exchange.version,
            exchange.node,
            exchange.former_events() + complete_events(exchange),
            exchange.events
        ));
    }
    if matches!(answer.code(), 429 | 503) && answer.retry_after_sec().is_none() {
        let attempt = &exchange.attempt;
        history.record_violation(format!("refusal of {attempt} lacks a retry-after header"));
    }
}

fn expected_body(exchange: &Exchange) -> Vec<u8> {
    if !exchange.kind.is_stream() {
        return format!("answer to {}", exchange.attempt).into_bytes();
    }
    (exchange.former_events() + 1..=exchange.events)
        .flat_map(|id| event(&exchange.attempt, id).to_vec())
        .collect()
}

/// Returns the number of whole events that an attempt has received.
pub(crate) fn complete_events(exchange: &Exchange) -> u64 {
    let is_end = |pair: &&[u8]| *pair == b"\n\n";
    exchange.answer.body.windows(2).filter(is_end).count() as u64
}

/// Checks what can be judged only from the record of the whole run.
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
                None => {
                    violations.push(format!("{attempt} ran at a target, but no caller sent it"))
                }
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
        rate_limits::check(&events, runs, &sent, &mut violations);
        versions::check(&events, runs, &mut violations);
        target_cuts::check(&events, &mut violations);
        check_quarantine(runs, POISON, POISON_CRASHES, &mut violations);
        check_quarantine(runs, DEADLY_PREFIX, DEADLY_PART_CRASHES, &mut violations);
    }
    violations
        .into_iter()
        .for_each(|violation| history.record_violation(violation));
}

/// Checks that a request ran no more often than allowed, and only for its customer.
fn check_execution(exchange: &Exchange, runs: &[&Run], violations: &mut Vec<String>) {
    let attempt = &exchange.attempt;
    if runs
        .iter()
        .any(|run| run.customer.as_deref() != Some(CUSTOMER))
    {
        violations.push(format!(
            "{attempt} ran for a customer other than {CUSTOMER}"
        ));
    }
    let first_runs = runs.iter().filter(|run| !run.is_migrated).count();
    let most = match exchange.kind.is_idempotent() {
        true => MAX_ATTEMPTS,
        false => 1,
    };
    if first_runs > most {
        violations.push(format!(
            "{attempt} ran {first_runs} times; at most {most} allowed"
        ));
    }
    let is_refused = matches!(exchange.answer.code(), 408 | 421 | 429 | 503);
    if is_refused && !exchange.kind.is_idempotent() {
        violations.push(format!("{attempt} was refused as not run, but had run"));
    }
}

/// Returns whether neither the store nor the node was disrupted in the period and
/// shortly before it.
fn is_connected(events: &Events, node: usize, from: Instant, to: Instant) -> bool {
    events.is_undisrupted(from - RECOVERY_GRACE, to, |disruption| {
        match &disruption.component {
            Component::Store => true,
            Component::Node(number) => *number == node,
            Component::Target(_) | Component::Machine => false,
        }
    })
}

/// Checks that a request was answered correctly and in time, unless a disruption
/// excuses it.
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
        violations.push(format!(
            "{attempt} took {took:?}; its timeout is {timeout:?}"
        ));
    }
    let is_path_undisrupted = events.is_undisrupted(
        exchange.sent - RECOVERY_GRACE,
        exchange.ended,
        |disruption| {
            match &disruption.component {
                // An outage of the store alone must not affect plain requests.
                Component::Store => kind.is_stream(),
                Component::Node(node) => *node == exchange.node && !disruption.is_planned,
                Component::Target(id) => runs.iter().any(|run| run.target == *id),
                Component::Machine => true,
            }
        },
    );
    let has_caller_left =
        took < timeout && took >= Duration::from_millis(exchange.caller_timeout_ms);
    // A cut breaks the connections to targets that it finds open.
    let is_path_undisrupted = is_path_undisrupted && !target_cuts::is_in_flight(events, exchange);
    if is_path_undisrupted && !has_caller_left && !answer.is_complete && !runs.is_empty() {
        let code = answer.code();
        violations.push(format!(
            "{attempt} ran, but its answer was lost (status {code}, reused connection: {})",
            exchange.is_connection_reused
        ));
    }
    let is_wrongly_denied = is_connected(events, exchange.node, exchange.sent, exchange.ended)
        && matches!(answer.code(), 401 | 403 | 404)
        && !is_key_replaced(events, exchange);
    if is_wrongly_denied {
        violations.push(format!(
            "{attempt} was denied with {} although its key was valid",
            answer.code()
        ));
    }
}

/// Returns whether the key of a request may have been replaced before the request
/// ended, or may not have been in force yet.
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

/// Checks that no request ran in contradiction to a change once the change had to be
/// in force.
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
        // Checked over all runs together.
        ChangeKind::RateStated(..) | ChangeKind::TargetsCut(_) => return,
    };
    for run in runs {
        let is_later = run.at > change.at + bound && change.to.is_none_or(|to| run.at < to);
        let Some(exchange) = sent.get(run.attempt.as_str()) else {
            continue;
        };
        if !is_later || !contradicts_change(events, change, run, exchange) {
            continue;
        }
        // The node checks the key on arrival, which may be as early as the request was sent.
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
            "{} ran at {} through node {}, {late:?} after {:?}; at most {bound:?} allowed",
            run.attempt, run.target, exchange.node, change.kind
        ));
    }
}

/// Returns whether a run should not have happened once the change was in force.
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
        ChangeKind::RateStated(..) | ChangeKind::TargetsCut(_) => false,
        ChangeKind::TargetDraining(id, number) => {
            *id == run.target
                && incarnation.is_some_and(|incarnation| incarnation.number == *number)
        }
    }
}

/// Checks that all nodes together stay within the retry budget.
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
            .flat_map(|runs| runs.iter().filter(|run| !run.is_migrated).skip(1))
            .map(|run| run.at)
            .collect();
        for end in &retries {
            let is_in = |at: &Instant| at <= end && *at + RETRY_WINDOW > *end;
            let count = retries.iter().filter(|at| is_in(at)).count();
            let requests = sent.iter().filter(|exchange| is_in(&exchange.sent)).count();
            if count as f64 > RETRY_RATIO * requests as f64 + RETRY_SLACK {
                violations.push(format!(
                    "{count} retries of {requests} requests within {RETRY_WINDOW:?}"
                ));
                break;
            }
        }
    }
}

/// Checks that all nodes together limit the request rate to a cold target.
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
                    "{} received {count} requests in a second while cold; at most {most} allowed",
                    incarnation.id
                ));
                break;
            }
        }
    }
}

/// Checks that requests whose attempts have a prefix are quarantined on all nodes after they
/// have crashed this many targets.
fn check_quarantine(runs: &[Run], prefix: &str, crashes: usize, violations: &mut Vec<String>) {
    let mut poison = runs.iter().filter(|run| run.attempt.starts_with(prefix));
    let Some(threshold_crash) = poison.nth(crashes - 1) else {
        return;
    };
    let count = poison
        .filter(|run| run.at > threshold_crash.at + RECOVERY_GRACE)
        .count();
    if count > MAX_RUNS_AFTER_QUARANTINE {
        violations.push(format!(
            "requests {prefix} crashed {count} more targets after they had to be quarantined; \
             at most {MAX_RUNS_AFTER_QUARANTINE} allowed"
        ));
    }
}

/// Returns the number of requests of each kind: complete with 200, then all others.
pub(crate) fn summary(events: &Events) -> String {
    let count = |kind: RequestKind, is_good: bool| {
        let is_complete = |exchange: &&Exchange| {
            exchange.kind == kind
                && (exchange.answer.is_complete && exchange.answer.code() == 200) == is_good
        };
        events.exchanges.iter().filter(is_complete).count()
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

/// Returns the number of responses without a length, and of those that targets broke off.
pub(crate) fn unframed_summary(responses: &[UnframedResponse]) -> String {
    let count = |by: BreakOff| {
        let points = responses.iter().filter_map(|response| response.break_point);
        points.filter(|point| point.by == by).count()
    };
    format!(
        "{} responses without a length, {} broken off by a reset, {} in order",
        responses.len(),
        count(BreakOff::Reset),
        count(BreakOff::OrderlyEnd)
    )
}
