//! Versions that come and go beside an order: replacements without one, and lists that arrive late.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_counts::CountsChange;
use filbertpaddle_forward::rollout_counts::Outcome;
use filbertpaddle_forward::rollout_counts::Side;
use filbertpaddle_forward::rollout_record::OrderError;
use filbertpaddle_forward::rollout_record::RolloutOrder;
use filbertpaddle_forward::rollout_record::RolloutRecord;
use filbertpaddle_forward::rollout_record::RolloutState;
use filbertpaddle_forward::rollout_split::VersionCount;
use filbertpaddle_forward::rollout_stage::StepInputs;
use filbertpaddle_forward::rollouts::Rollouts;

use crate::fleet::LIMITS;
use crate::fleet::SERVICE;

const NOW: Millis = Millis(1_000);
const LATER: Millis = Millis(60_000);

fn list(node: &mut Rollouts, now: Millis, versions: &[&str]) {
    let listed = versions.iter().map(|version| VersionCount {
        version: (*version).into(),
        targets: 60,
    });
    let listed: Vec<_> = listed.collect();
    node.on_targets(now, &SERVICE.into(), &listed);
}

fn order(version: &str) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.into(),
        version: version.into(),
        duration_ms: Millis(30_000),
    }
}

fn apply(node: &mut Rollouts, version: &str, number: u64) {
    let applied = node.on_order(&order(version), Revision::new(0, number), true);
    assert_eq!(applied, Ok(true));
}

fn node() -> Rollouts {
    let mut node = Rollouts::new("n".into(), LIMITS);
    list(&mut node, NOW, &["v1"]);
    node
}

/// A second order comes when only the first one's version is left: it serves until the canary.
#[test]
fn a_withdrawn_version_serves_beside_a_second_order() {
    let mut node = node();
    list(&mut node, NOW, &["v1", "v2"]);
    apply(&mut node, "v2", 5);
    list(&mut node, LATER, &["v2"]);
    list(&mut node, LATER, &["v2", "v3"]);
    apply(&mut node, "v3", 6);
    assert_eq!(node.side_for(LATER, SERVICE, 0.5), Side::Old);
    assert!(node.allows(LATER, SERVICE, Side::Old, "v2"));
    assert!(!node.allows(LATER, SERVICE, Side::Old, "v3"));
}

fn record(version: &str, number: u64, state: RolloutState) -> RolloutRecord {
    RolloutRecord {
        order: order(version),
        ordered: Revision::new(0, number),
        started_ms: NOW,
        state,
        share_per_mille: 1_000,
        step: 5,
    }
}

/// A service is updated without an order after a completed roll-out.
#[test]
fn a_completed_order_leaves_later_replacements_alone() {
    let mut node = node();
    list(&mut node, NOW, &["v1", "v2"]);
    apply(&mut node, "v2", 5);
    let completed = record("v2", 5, RolloutState::Completed);
    assert!(node.merge_record(NOW, &completed, Millis::ZERO));
    let side = node.side_for(NOW, SERVICE, 0.5);
    assert!(node.allows(NOW, SERVICE, side, "v2"));
    assert!(!node.allows(NOW, SERVICE, side, "v1"));
    list(&mut node, LATER, &["v2"]);
    list(&mut node, LATER, &["v2", "v3"]);
    list(&mut node, LATER, &["v3"]);
    let side = node.side_for(LATER, SERVICE, 0.5);
    assert!(node.allows(LATER, SERVICE, side, "v3"));
    assert!(!node.restricts(LATER + Millis(5_000), SERVICE));
}

/// An order names the only version; the next version comes without an order.
#[test]
fn an_order_that_changed_nothing_does_not_begin_later() {
    let mut node = node();
    let there = Err(OrderError::AlreadyThere("v1".into()));
    let revision = Revision::new(0, 5);
    assert_eq!(node.on_order(&order("v1"), revision, true), there);
    list(&mut node, LATER, &["v1", "v2"]);
    assert_eq!(node.on_order(&order("v1"), revision, true), there);
    assert_eq!(node.running().count(), 0);
}

/// A node that starts during a roll-out has the order before the targets.
#[test]
fn a_node_that_starts_late_does_not_hold_the_old_version_back() {
    let mut node = Rollouts::new("n".into(), LIMITS);
    apply(&mut node, "v2", 5);
    list(&mut node, NOW, &["v1", "v2"]);
    assert_eq!(node.side_for(NOW, SERVICE, 0.5), Side::Old);
    assert!(node.allows(NOW, SERVICE, Side::Old, "v1"));
    // Nor does the next version take part before its order can arrive.
    list(&mut node, NOW, &["v1", "v2", "v3"]);
    assert!(node.allows(NOW, SERVICE, Side::Old, "v1"));
    assert!(!node.allows(NOW, SERVICE, Side::Old, "v3"));
}

/// A peer has a later order already and sends its counts: the former order takes no steps by them.
#[test]
fn counts_of_a_later_order_allow_no_step() {
    let mut node = node();
    list(&mut node, NOW, &["v1", "v2"]);
    apply(&mut node, "v2", 5);
    let service: Name = SERVICE.into();
    let (route, version, site) = ("sort".into(), "v2".into(), "dc".into());
    node.record_sent(&service, &route, &version, &site);
    node.record_answer(NOW, &service, &route, &version, &site, Outcome::Failed);
    let running = record("v2", 5, RolloutState::Running);
    assert!(node.merge_record(NOW, &running, Millis::ZERO));
    let change = CountsChange {
        service: service.clone(),
        ordered: Revision::new(0, 6),
        source: "peer".into(),
        counts: Vec::new(),
    };
    node.merge_counts(NOW, &change);
    let inputs = StepInputs {
        store_ms: LATER,
        new_targets: 60,
        ..StepInputs::default()
    };
    for now in (1_000..60_000).step_by(100).map(Millis) {
        node.merge_record(now, &running, Millis::ZERO);
        assert_eq!(node.next_step(now, &service, &inputs), None);
    }
}

/// The old targets stay listed long after the roll-out.
#[test]
fn old_targets_get_nothing_after_a_completed_order() {
    let mut node = node();
    list(&mut node, NOW, &["v1", "v2"]);
    apply(&mut node, "v2", 5);
    for (state, step) in [(RolloutState::Running, 4), (RolloutState::Completed, 5)] {
        let record = RolloutRecord {
            step,
            ..record("v2", 5, state)
        };
        assert!(node.merge_record(NOW, &record, Millis::ZERO));
    }
    let side = node.side_for(LATER, SERVICE, 0.5);
    assert!(node.allows(LATER, SERVICE, side, "v2"));
    assert!(!node.allows(LATER, SERVICE, side, "v1"));
}
