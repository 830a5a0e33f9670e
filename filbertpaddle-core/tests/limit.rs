//! Adaptation of a target's concurrency limit to its reports.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::limit::Limit;
use filbertpaddle_core::report::Report;

fn report(taken_ms: u64, warm: bool, running: u32) -> Report {
    Report {
        taken_ms: Millis(taken_ms),
        incarnation: 1,
        warm,
        cold_limit: 2,
        warm_limit: 16,
        running,
        waiting: 0,
        preemptions: 0,
        fence: None,
        works: Vec::new(),
    }
}

#[test]
fn a_warm_limit_doubles_only_under_load() {
    let mut limit = Limit::new(&report(0, true, 0));
    assert_eq!(limit.current(), 2);
    limit.apply_report(&report(1_000, true, 2));
    assert_eq!(limit.current(), 4);
    limit.apply_report(&report(1_500, true, 4));
    assert_eq!(limit.current(), 4, "less than a step interval has passed");
    limit.apply_report(&report(2_500, true, 1));
    assert_eq!(limit.current(), 4, "less than half of the limit is in use");
    for step in 3..10 {
        limit.apply_report(&report(step * 1_000, true, 16));
    }
    assert_eq!(limit.current(), 16);
}

#[test]
fn a_target_that_turns_cold_gets_the_cold_limit_at_once() {
    let mut limit = Limit::new(&report(0, true, 16));
    assert_eq!(limit.current(), 16);
    limit.apply_report(&report(250, false, 16));
    assert_eq!(limit.current(), 2);
    assert!(limit.is_cold());
}

#[test]
fn a_restarted_target_starts_at_the_cold_limit() {
    let mut limit = Limit::new(&report(0, true, 16));
    let mut restarted = report(250, true, 16);
    restarted.incarnation = 2;
    limit.apply_report(&restarted);
    assert_eq!(limit.current(), 2);
}

#[test]
fn a_report_taken_before_the_last_is_ignored() {
    let mut limit = Limit::new(&report(1_000, false, 2));
    limit.apply_report(&report(500, true, 16));
    assert!(limit.is_cold());
}
