//! Checks that nodes together keep to the request rates that targets state.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::run_log::Run;

use crate::history::Change;
use crate::history::ChangeKind;
use crate::history::Component;
use crate::history::Events;
use crate::history::Exchange;
use crate::invariants::RECOVERY_GRACE;

// Bounds that the users' deployments require.
/// Time from the first statement of a rate to that from which it binds.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which a statement binds the node that has passed it on.
const TOLD_DELAY: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);
const RATE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;

/// Checks each statement of a rate.
pub(crate) fn check(
    events: &Events,
    runs: &[Run],
    sent: &HashMap<&str, &Exchange>,
    violations: &mut Vec<String>,
) {
    for change in &events.changes {
        let ChangeKind::RateStated(id, tenths_per_sec) = &change.kind else {
            continue;
        };
        let per_sec = f64::from(*tenths_per_sec) / 10.0;
        let end = end_of_statement(events, change, id);
        let at_target = runs.iter().filter(|run| run.target == *id);
        let in_time = at_target.filter(|run| run.at >= change.at && run.at < end);
        let with_node = in_time.filter_map(|run| {
            let exchange = sent.get(run.attempt.as_str())?;
            Some((run, *exchange))
        });
        let with_node: Vec<_> = with_node.collect();
        let bound: Vec<_> = with_node
            .iter()
            .filter(|(run, _)| run.at >= change.at + CONTACT_TIME)
            .filter(|(run, exchange)| is_bound(events, &with_node, run, exchange.node))
            .map(|(run, _)| run.at)
            .collect();
        let most = most_in_window(&bound);
        let allowed = RATE_FACTOR * per_sec * WINDOW.as_secs_f64() + RATE_SLACK;
        if most as f64 > allowed {
            violations.push(format!(
                "{id} received {most} requests in {WINDOW:?} from nodes that know its rate of \
                 {per_sec} a second; at most {allowed} allowed"
            ));
        }
    }
}

/// Returns when a statement ends, by itself or with the target's incarnation.
fn end_of_statement(events: &Events, change: &Change, id: &str) -> Instant {
    let incarnations = events.target_incarnations.iter();
    let next = incarnations
        .filter(|incarnation| incarnation.id == id && incarnation.from > change.at)
        .map(|incarnation| incarnation.from)
        .min();
    let latest = change.at + Duration::from_secs(3_600);
    let stated = change.to.unwrap_or(latest);
    next.map_or(stated, |next| next.min(stated))
}

/// Returns whether the node that sent a run had passed on a response with the statement, and
/// was not disrupted since.
fn is_bound(events: &Events, runs: &[(&Run, &Exchange)], run: &Run, node: usize) -> bool {
    let is_node = |component: &Component| *component == Component::Node(node);
    let told_at = runs
        .iter()
        .filter(|(_, exchange)| exchange.node == node && exchange.answer.status.is_some())
        .map(|(_, exchange)| exchange.ended)
        .filter(|ended| *ended + TOLD_DELAY <= run.at);
    told_at.min().is_some_and(|told_at| {
        events.is_undisrupted(told_at - RECOVERY_GRACE, run.at, |disruption| {
            is_node(&disruption.component)
        })
    })
}

fn most_in_window(times: &[Instant]) -> usize {
    let in_window = |start: &Instant| {
        let is_within = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
        times.iter().filter(is_within).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}
