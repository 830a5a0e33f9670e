//! Single faults of versions, nodes and the store, and loads that are no fault of the version.

use filbertpaddle_forward::rollout_record::RolloutState;

use crate::fleet::Effect;
use crate::fleet::Report;
use crate::fleet::Scenario;
use crate::fleet::run;

fn assert_rolled_back(scenario: Scenario) -> Report {
    let report = run(scenario, 1);
    let is_held = report.state == RolloutState::RolledBack && report.is_within_limits();
    assert!(is_held, "{report:?}");
    report
}

fn assert_completed(scenario: Scenario) -> Report {
    let duration_ms = scenario.duration_ms;
    let report = run(scenario, 1);
    let is_in_time = report.state == RolloutState::Completed && report.ended_ms <= duration_ms;
    assert!(is_in_time, "{report:?}");
    report
}

fn bad_from(from_ms: u64) -> Scenario {
    Scenario {
        fault: Box::new(move |attempt, draw| {
            let is_hit = attempt.is_new && attempt.at >= from_ms && draw < 0.5;
            if is_hit { Effect::Failed } else { Effect::Good }
        }),
        ..Scenario::default()
    }
}

/// Half of the answers fail from the start.
#[test]
fn bad_at_once() {
    let report = assert_rolled_back(bad_from(0));
    assert!(report.exposed < 60, "{report:?}");
}

/// Half of the answers fail from 10 s on.
#[test]
fn bad_later() {
    assert_rolled_back(bad_from(10_000));
}

/// All answers of a target with three requests or more fail, the usual load of an old target.
#[test]
fn bad_under_load_only() {
    let report = assert_rolled_back(Scenario {
        fault: Box::new(|attempt, _| {
            let is_hit = attempt.is_new && attempt.running >= 3;
            if is_hit { Effect::Failed } else { Effect::Good }
        }),
        ..Scenario::default()
    });
    assert!(report.largest_share <= 100, "{report:?}");
}

/// Half of the answers on one of two routes fail.
#[test]
fn bad_on_one_route_only() {
    assert_rolled_back(Scenario {
        fault: Box::new(|attempt, draw| {
            let is_hit = attempt.is_new && attempt.is_draft && draw < 0.5;
            if is_hit { Effect::Failed } else { Effect::Good }
        }),
        ..Scenario::default()
    });
}

/// Half of the answers take four times as long.
#[test]
fn slow_only() {
    assert_rolled_back(Scenario {
        fault: Box::new(|attempt, draw| {
            let is_hit = attempt.is_new && draw < 0.5;
            if is_hit {
                Effect::Slow(4.0)
            } else {
                Effect::Good
            }
        }),
        ..Scenario::default()
    });
}

/// Three times the requests for 4 s, of which some fail and the short ones are slow, on both sides.
#[test]
fn a_good_version_passes_a_burst() {
    let is_burst = |at: u64| (6_000..10_000).contains(&at);
    assert_completed(Scenario {
        per_sec: Box::new(move |at| if is_burst(at) { 220.0 } else { 73.0 }),
        fault: Box::new(move |attempt, draw| match draw {
            _ if !is_burst(attempt.at) => Effect::Good,
            draw if draw < 0.3 => Effect::Failed,
            // Slow streams would run at the old targets beyond the deadline.
            _ if attempt.is_draft => Effect::Good,
            _ => Effect::Slow(3.0),
        }),
        ..Scenario::default()
    });
}

/// A data centre is cut for 4 s: nothing sent there is answered well, on either side.
#[test]
fn a_good_version_passes_the_cut_of_a_data_centre() {
    assert_completed(Scenario {
        fault: Box::new(|attempt, _| {
            let is_cut = attempt.site == 0 && (6_000..10_000).contains(&attempt.at);
            if is_cut { Effect::Failed } else { Effect::Good }
        }),
        ..Scenario::default()
    });
}

/// One target of the new version fails all its requests; the others are good.
#[test]
fn one_failing_target_is_no_verdict() {
    let report = run(
        Scenario {
            fault: Box::new(|attempt, _| {
                let is_hit = attempt.is_new && attempt.target == 7;
                if is_hit { Effect::Failed } else { Effect::Good }
            }),
            ..Scenario::default()
        },
        1,
    );
    assert_eq!(report.state, RolloutState::Completed, "{report:?}");
}

/// The node that writes dies right after its first write, the next one before its own.
#[test]
fn deciding_nodes_die() {
    assert_completed(Scenario {
        stopped: Box::new(|at, row| match row {
            Some(row) if row.step >= 2 || at > 8_000 => 2,
            Some(_) => 1,
            None => 0,
        }),
        ..Scenario::default()
    });
}

/// The store is down for 4 s at each stage: nothing is exposed for longer than a record is valid,
/// and the roll-out goes on afterwards.
#[test]
fn store_down_at_each_stage() {
    for from_ms in [0, 5_000, 13_000, 18_000] {
        let scenario = Scenario {
            duration_ms: 40_000,
            is_store_up: Box::new(move |at| !(from_ms..from_ms + 4_000).contains(&at)),
            ..Scenario::default()
        };
        let report = run(scenario, 1);
        let is_held = report.state == RolloutState::Completed && report.cut == 0;
        assert!(is_held, "from {from_ms}: {report:?}");
    }
}

/// A third of the nodes get no messages and read nothing: they use the old side throughout.
#[test]
fn nodes_without_messages_expose_nobody() {
    let report = run(
        Scenario {
            cut_from: 60,
            ..bad_from(0)
        },
        1,
    );
    let is_held = report.state == RolloutState::RolledBack && report.is_within_limits();
    assert!(is_held, "{report:?}");
}

/// The old targets stop at the moment of the write: nothing runs there or is sent there.
#[test]
fn old_targets_vanish_when_completed() {
    let report = assert_completed(Scenario::default());
    assert_eq!(report.cut, 0, "{report:?}");
}

/// The order is withdrawn while the canary runs.
#[test]
fn a_withdrawn_order_exposes_nobody() {
    let report = run(
        Scenario {
            withdrawn_ms: Some(8_000),
            ..Scenario::default()
        },
        1,
    );
    let is_held = report.state == RolloutState::Running && report.after_withdrawal == 0;
    assert!(is_held, "{report:?}");
}

/// All targets of the new version but a few are lost during the switch: no step is taken.
#[test]
fn lost_targets_stop_the_switch() {
    let report = run(
        Scenario {
            new_left: Box::new(|at| if at < 13_000 { 60 } else { 6 }),
            ..Scenario::default()
        },
        1,
    );
    assert_eq!(report.state, RolloutState::Running, "{report:?}");
}

/// An order of 12 s with streams of 10 s: the streams are not cut, so it ends late.
#[test]
fn a_short_order_with_long_streams_ends_after_its_deadline() {
    let report = run(
        Scenario {
            duration_ms: 12_000,
            ..Scenario::default()
        },
        1,
    );
    let is_held = report.state == RolloutState::Completed && report.cut == 0;
    assert!(is_held && report.ended_ms < 25_000, "{report:?}");
}
