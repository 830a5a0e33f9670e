//! The limits hold for each of 200 seeds, with 90 nodes and 60 targets.

use std::panic::resume_unwind;

use filbertpaddle_forward::rollout_record::RolloutState;

use crate::fleet::Attempt;
use crate::fleet::Effect;
use crate::fleet::Scenario;
use crate::fleet::run;

const SEEDS: u64 = 200;

/// Returns a fault that differs from seed to seed: how, how much, and on which route.
fn fault(seed: u64, from_ms: u64, spoilt: f64) -> impl Fn(&Attempt, f64) -> Effect {
    let effect = if seed.is_multiple_of(2) {
        Effect::Failed
    } else {
        Effect::Slow(4.0)
    };
    let only_drafts = seed.is_multiple_of(5);
    move |attempt, draw| {
        let is_hit = attempt.is_new
            && draw < spoilt
            && attempt.at >= from_ms
            && (attempt.is_draft || !only_drafts);
        if is_hit { effect } else { Effect::Good }
    }
}

fn base_failures(seed: u64) -> f64 {
    0.02 * (seed % 8) as f64
}

/// Runs all seeds, a part of them on each thread, and returns those that `fails` returns text for.
fn failures<F>(fails: F) -> Vec<String>
where
    F: Fn(u64) -> Option<String> + Sync,
{
    let fails = &fails;
    std::thread::scope(|scope| {
        let part = |first: u64| {
            move || {
                (first..SEEDS)
                    .step_by(4)
                    .filter_map(fails)
                    .collect::<Vec<_>>()
            }
        };
        let threads: Vec<_> = (0..4).map(|first| scope.spawn(part(first))).collect();
        let results = threads.into_iter().map(|thread| thread.join());
        results
            .flat_map(|result| result.unwrap_or_else(|panic| resume_unwind(panic)))
            .collect()
    })
}

fn bad_versions_out_of_limits(from_ms: [u64; 2], spoilt: &[f64]) -> Vec<String> {
    failures(|seed| {
        let from_ms = from_ms[(seed / 2 % 2) as usize];
        let spoilt = spoilt[seed as usize % spoilt.len()];
        let scenario = Scenario {
            base_failures: base_failures(seed),
            fault: Box::new(fault(seed, from_ms, spoilt)),
            ..Scenario::default()
        };
        let report = run(scenario, seed);
        let is_held = report.state == RolloutState::RolledBack && report.is_within_limits();
        (!is_held).then(|| format!("seed {seed}: {report:?}"))
    })
}

/// Versions that spoil 0.4 to 1.0 of the answers, at once or after 6 s, on one route or all: too
/// many callers meet them, or too late.
#[test]
fn bad_versions_are_rolled_back_within_the_limits() {
    let failed = bad_versions_out_of_limits([0, 6_000], &[0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0]);
    assert!(failed.is_empty(), "{}\n{}", failed.len(), failed.join("\n"));
}

/// Versions that spoil 0.2 to 0.4 of the answers, at once or after 6 s, on one route or all.
#[test]
fn weakly_bad_versions_are_rolled_back_within_the_limits() {
    let failed = bad_versions_out_of_limits([0, 6_000], &[0.2, 0.3, 0.4]);
    assert!(failed.is_empty(), "{}\n{}", failed.len(), failed.join("\n"));
}

/// Versions that turn bad when the switch begins: it goes on before their faults show.
#[test]
fn versions_that_turn_bad_at_the_switch_are_rolled_back_within_the_limits() {
    let failed = bad_versions_out_of_limits([12_000; 2], &[0.2, 0.4, 0.6, 0.8, 1.0]);
    assert!(failed.is_empty(), "{}\n{}", failed.len(), failed.join("\n"));
}

/// Good versions with failures on both sides: they miss the deadline, or are rolled back.
#[test]
fn good_versions_are_completed_in_time() {
    let failed = failures(|seed| {
        let duration_ms = [30_000, 40_000, 60_000][(seed % 3) as usize];
        let scenario = Scenario {
            duration_ms,
            base_failures: base_failures(seed),
            ..Scenario::default()
        };
        let report = run(scenario, seed);
        let is_in_time = report.state == RolloutState::Completed && report.ended_ms <= duration_ms;
        let is_held = is_in_time && report.cut == 0;
        (!is_held).then(|| format!("seed {seed}: {report:?}"))
    });
    assert!(failed.is_empty(), "{}\n{}", failed.len(), failed.join("\n"));
}
