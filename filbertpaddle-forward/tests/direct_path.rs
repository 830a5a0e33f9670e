//! When a node counts as cut off from all targets.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::direct_path::ConnectFailure;
use filbertpaddle_forward::direct_path::DirectPath;
use filbertpaddle_forward::direct_path::PathChange;

fn name(number: usize) -> Name {
    Name::new(format!("t-{number}"))
}

/// Load pattern: one target is down and every request that tries it fails.
#[test]
fn one_target_that_is_down_does_not_cut_the_node_off() {
    let mut path = DirectPath::new();
    for _ in 0..20 {
        let change = path.record_failed(&name(1), ConnectFailure::Refused);
        assert_eq!(change, None);
    }
    assert!(path.is_in_doubt() && !path.is_cut_off());
    assert_eq!(path.record_connected(Millis(5)), None);
    assert!(!path.is_in_doubt());
}

/// Load pattern: the links to all targets are cut at once, for seconds.
#[test]
fn targets_that_fail_one_after_the_other_cut_the_node_off_until_one_accepts() {
    let mut path = DirectPath::new();
    path.record_connected(Millis(100));
    assert_eq!(path.record_failed(&name(1), ConnectFailure::Silent), None);
    assert!(!path.is_silent());
    let change = path.record_failed(&name(2), ConnectFailure::Silent);
    assert_eq!(change, Some(PathChange::CutOff));
    assert_eq!(path.record_failed(&name(3), ConnectFailure::Silent), None);
    assert!(path.is_cut_off() && path.is_silent());
    assert!(path.record_relayed() && !path.record_relayed());
    assert!(path.is_connected_since(Millis(100)) && !path.is_connected_since(Millis(101)));
    assert_eq!(
        path.record_connected(Millis(900)),
        Some(PathChange::Restored { is_proven: true })
    );
    assert!(!path.record_relayed());
    assert!(!path.is_cut_off() && path.is_connected_since(Millis(101)));
}

/// Load pattern: two targets crash together, at a node with few requests. What it knows of them
/// must not be forgotten when a third one accepts its connection.
#[test]
fn targets_that_no_other_node_reaches_prove_no_cut() {
    let mut path = DirectPath::new();
    path.record_failed(&name(1), ConnectFailure::Refused);
    path.record_failed(&name(2), ConnectFailure::Refused);
    let change = path.record_connected(Millis(5));
    assert_eq!(change, Some(PathChange::Restored { is_proven: false }));
}

/// Open connections may live on where new ones are refused.
#[test]
fn refused_connections_do_not_show_that_open_ones_are_silent() {
    let mut path = DirectPath::new();
    path.record_failed(&name(1), ConnectFailure::Refused);
    path.record_failed(&name(2), ConnectFailure::Refused);
    assert!(path.is_cut_off() && !path.is_silent());
}

/// Load pattern: a third of the targets crash together; requests go to all of them in turn.
#[test]
fn targets_that_crash_together_do_not_cut_the_node_off_for_longer_than_until_the_next_connects() {
    let mut path = DirectPath::new();
    for round in 0..100 {
        let now = Millis(round);
        let number = round as usize % 3;
        if number == 0 {
            path.record_failed(&name(round as usize), ConnectFailure::Refused);
        } else {
            path.record_connected(now);
        }
        assert!(!path.is_cut_off());
    }
}
