//! Targets that announce themselves that they leave get nothing until they start anew.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::leaving_targets::LeavingTargets;
use filbertpaddle_forward::target::Incarnation;

fn incarnation(id: &str, started_ms: u64) -> Incarnation {
    Incarnation {
        id: id.into(),
        address: "host.test:1".into(),
        started_ms: Some(Millis(started_ms)),
    }
}

#[test]
fn only_the_incarnation_that_announced_it_leaves() {
    let mut leaving = LeavingTargets::new();
    assert!(leaving.record_reported(&incarnation("a", 1)));
    assert!(!leaving.record_reported(&incarnation("a", 1)));
    assert!(leaving.contains(&incarnation("a", 1)));
    assert!(!leaving.contains(&incarnation("a", 2)));
}

#[test]
fn a_late_announcement_of_a_former_incarnation_is_ignored() {
    let mut leaving = LeavingTargets::new();
    assert!(leaving.record_reported(&incarnation("a", 2)));
    assert!(!leaving.record_reported(&incarnation("a", 1)));
    leaving.record_listed(&incarnation("a", 1));
    assert!(leaving.contains(&incarnation("a", 2)));
}

#[test]
fn announcements_are_passed_on_once_and_listed_ones_never() {
    let mut leaving = LeavingTargets::new();
    leaving.record_listed(&incarnation("listed", 1));
    leaving.record_reported(&incarnation("a", 1));
    let sent = leaving.sequence();
    assert_eq!(leaving.reported_after(0).count(), 1);
    leaving.record_reported(&incarnation("b", 1));
    // Its node learned it from the target before the store listed it.
    leaving.record_reported(&incarnation("listed", 1));
    let later: Vec<_> = leaving
        .reported_after(sent)
        .map(|i| i.id.as_str())
        .collect();
    assert_eq!(later, ["b", "listed"]);
}

#[test]
fn the_number_of_records_is_bounded() {
    let mut leaving = LeavingTargets::new();
    for number in 0..5_000 {
        leaving.record_reported(&incarnation(&format!("t{number}"), 1));
    }
    assert!(leaving.contains(&incarnation("t4999", 1)));
    assert!(!leaving.contains(&incarnation("t0", 1)));
    assert!(leaving.reported_after(0).count() <= 1_024);
}
