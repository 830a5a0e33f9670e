//! Model check of claims: all interleavings of two nodes with one key.
//!
//! Messages are never ordered, so a pause of a node is the same as messages
//! to it that arrive late.

mod world;

use std::collections::BTreeSet;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

use world::Budget;
use world::Mistake;
use world::World;

const SAME_BODY: &str = "digest";
const OTHER_BODY: &str = "other digest";

/// What a whole search saw.
struct Report {
    states: usize,
    decisions: BTreeSet<&'static str>,
    most_sent: usize,
}

/// Visits every state that the budget allows and checks each.
fn search(budget: Budget) -> Report {
    let mut decisions = BTreeSet::new();
    let mut states = 0;
    let mut most_sent = 0;
    let start = World::new(budget, Mistake::None);
    let successors = |world: &World| successors(world, &mut decisions);
    for world in bfs_reach(start, successors) {
        states += 1;
        most_sent = most_sent.max(world.seen.sent.len());
        assert_eq!(world.seen.fault, None, "{world:#?}");
        if world.is_quiet() {
            assert!(world.is_settled(), "left over: {world:#?}");
        }
    }
    Report {
        states,
        decisions,
        most_sent,
    }
}

/// Returns the next states; notes the decisions, which are no part of a state.
fn successors(world: &World, decisions: &mut BTreeSet<&'static str>) -> Vec<World> {
    let mut next = world.successors();
    for world in &mut next {
        decisions.extend(world.decisions.drain(..));
    }
    next
}

/// Returns the steps to the first fault that a mistake leads to.
fn first_fault(budget: Budget, mistake: Mistake) -> Option<(usize, String)> {
    let start = World::new(budget, mistake);
    let mut decisions = BTreeSet::new();
    let successors = |world: &World| successors(world, &mut decisions);
    let path = bfs(&start, successors, |world| world.seen.fault.is_some())?;
    let fault = path.last()?.seen.fault.clone()?;
    Some((path.len() - 1, fault))
}

fn budget() -> Budget {
    Budget {
        submissions: vec![SAME_BODY; 2],
        losses: 1,
        crashes: 1,
        silences: 1,
        releases: 1,
        abandonments: 0,
    }
}

#[test]
fn two_submissions_with_two_losses() {
    let report = search(Budget {
        losses: 2,
        ..budget()
    });
    println!("{} states", report.states);
    assert_eq!(report.most_sent, 1);
}

#[test]
fn two_submissions_with_a_caller_that_gives_up() {
    let report = search(Budget {
        abandonments: 1,
        ..budget()
    });
    println!("{} states", report.states);
    assert_eq!(report.most_sent, 1);
    let all = ["held", "holder gone", "key in use", "replay", "unavailable"];
    assert_eq!(report.decisions, BTreeSet::from(all));
}

#[test]
fn three_submissions_with_two_bodies() {
    let report = search(Budget {
        submissions: vec![OTHER_BODY, SAME_BODY, SAME_BODY],
        crashes: 0,
        ..budget()
    });
    println!("{} states", report.states);
    assert_eq!(report.most_sent, 1);
    assert!(report.decisions.contains("key reused"));
}

#[test]
fn takeover_on_a_timer_is_caught() {
    let fault = first_fault(budget(), Mistake::TakeoverOnTimer);
    let (steps, fault) = fault.expect("the checker must find the mistake");
    println!("{fault} after {steps} steps");
    assert_eq!(fault, "sent twice");
}

#[test]
fn restart_with_the_same_incarnation_is_caught() {
    let fault = first_fault(budget(), Mistake::SameIncarnation);
    let (steps, fault) = fault.expect("the checker must find the mistake");
    println!("{fault} after {steps} steps");
    assert_eq!(fault, "sent twice");
}
