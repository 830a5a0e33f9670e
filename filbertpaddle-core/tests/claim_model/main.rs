//! Model checker for claims: explores all interleavings of two nodes that claim
//! one key, and checks that at most one request is sent.
//!
//! Messages arrive in any order, so a paused node is covered by late messages.

mod world;

use std::collections::BTreeSet;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

use world::Budget;
use world::Mutation;
use world::World;

const SAME_BODY: &str = "digest";
const OTHER_BODY: &str = "other digest";

/// Result of a complete search.
struct Report {
    states: usize,
    decisions: BTreeSet<&'static str>,
    max_sent: usize,
}

/// Visits and checks every state that the budget allows.
fn search(budget: Budget) -> Report {
    let mut decisions = BTreeSet::new();
    let mut states = 0;
    let mut max_sent = 0;
    let start = World::new(budget, Mutation::None);
    let successors = |world: &World| successors(world, &mut decisions);
    for world in bfs_reach(start, successors) {
        states += 1;
        max_sent = max_sent.max(world.history.sent.len());
        assert_eq!(world.history.violation, None, "{world:#?}");
        if world.is_quiescent() {
            assert!(world.is_settled(), "unsettled claims: {world:#?}");
        }
    }
    Report {
        states,
        decisions,
        max_sent,
    }
}

/// Returns the successor states and moves their decisions out, so that states do
/// not differ by them.
fn successors(world: &World, decisions: &mut BTreeSet<&'static str>) -> Vec<World> {
    let mut next = world.successors();
    for world in &mut next {
        decisions.extend(world.decisions.drain(..));
    }
    next
}

/// Returns the number of steps to the first violation under a mutation, and its text.
fn first_violation(budget: Budget, mutation: Mutation) -> Option<(usize, String)> {
    let start = World::new(budget, mutation);
    let mut decisions = BTreeSet::new();
    let successors = |world: &World| successors(world, &mut decisions);
    let path = bfs(&start, successors, |world| {
        world.history.violation.is_some()
    })?;
    let violation = path.last()?.history.violation.clone()?;
    Some((path.len() - 1, violation))
}

fn budget() -> Budget {
    Budget {
        submissions: vec![SAME_BODY; 2],
        losses: 1,
        crashes: 1,
        reply_timeouts: 1,
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
    assert_eq!(report.max_sent, 1);
}

#[test]
fn two_submissions_with_an_abandoned_request() {
    let report = search(Budget {
        abandonments: 1,
        ..budget()
    });
    println!("{} states", report.states);
    assert_eq!(report.max_sent, 1);
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
    assert_eq!(report.max_sent, 1);
    assert!(report.decisions.contains("key reused"));
}

#[test]
fn takeover_on_a_timer_is_detected() {
    let violation = first_violation(budget(), Mutation::TakeoverOnTimer);
    let (steps, violation) = violation.expect("the model checker must find the mutation");
    println!("{violation} after {steps} steps");
    assert_eq!(violation, "sent twice");
}

#[test]
fn restart_with_the_same_incarnation_is_detected() {
    let violation = first_violation(budget(), Mutation::SameIncarnation);
    let (steps, violation) = violation.expect("the model checker must find the mutation");
    println!("{violation} after {steps} steps");
    assert_eq!(violation, "sent twice");
}
