//! Versions that come and go beside an order: replacements without one, and lists that arrive late.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_counts::Side;
use filbertpaddle_forward::rollout_record::RolloutOrder;
use filbertpaddle_forward::rollout_split::VersionCount;
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
