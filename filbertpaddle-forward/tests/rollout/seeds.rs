//! The limits hold for each of 200 seeds, with 90 nodes and 60 targets.

use filbertpaddle_forward::rollout_record::RolloutState;

use crate::fleet::Attempt;
use crate::fleet::Effect;
use crate::fleet::Scenario;
use crate::fleet::run;

const SEEDS: u64 = 200;

/// Returns a fault that differs from seed to seed: how, how much, on which route, and from when.
fn fault(seed: u64) -> impl Fn(&Attempt, f64) -> Effect {
    let spoilt = 0.2 + 0.1 * (seed % 9) as f64;
    let effect = if seed % 2 == 0 {
        Effect::Failed
    } else {
        Effect::Slow(4.0)
    };
    let from_ms = [0, 0, 6_000, 12_000][(seed / 2 % 4) as usize];
    let only_drafts = seed % 5 == 0;
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
            .flat_map(|result| result.expect("no panic"))
            .collect()
    })
}

/// Bad versions of all kinds: too many callers meet them, or meet them too late.
#[test]
fn bad_versions_are_rolled_back_within_the_limits() {
    let failed = failures(|seed| {
        if std::env::var("DBG").is_ok_and(|s| s != seed.to_string()) {
            return None;
        }
        let scenario = Scenario {
            base_failures: base_failures(seed),
            fault: Box::new(fault(seed)),
            ..Scenario::default()
        };
        let report = run(scenario, seed);
        let is_held = report.state == RolloutState::RolledBack && report.is_within_limits();
        (!is_held).then(|| format!("seed {seed}: {report:?}"))
    });
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
