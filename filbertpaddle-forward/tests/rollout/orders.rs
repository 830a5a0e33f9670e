//! Orders that change nothing, replace another or are late, and counts that are repeated.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_counts::Side;
use filbertpaddle_forward::rollout_record::OrderError;
use filbertpaddle_forward::rollout_record::RolloutOrder;
use filbertpaddle_forward::rollout_split::VersionCount;
use filbertpaddle_forward::rollouts::CountsCursor;
use filbertpaddle_forward::rollouts::Rollouts;

use crate::fleet::LIMITS;
use crate::fleet::SERVICE;

const NOW: Millis = Millis(1_000);

fn order(version: &str, duration_ms: u64) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.into(),
        version: version.into(),
        duration_ms: Millis(duration_ms),
    }
}

fn node(name: &str, versions: &[&str]) -> Rollouts {
    let mut node = Rollouts::new(name.into(), LIMITS);
    for count in 1..=versions.len() {
        let listed = versions[..count].iter().map(|version| VersionCount {
            version: (*version).into(),
            targets: 60,
        });
        let listed: Vec<_> = listed.collect();
        node.on_targets(NOW, &SERVICE.into(), &listed);
    }
    node
}

/// Orders that are invalid, or that ask for nothing.
#[test]
fn invalid_orders_change_nothing() {
    let mut node = node("n", &["v1"]);
    let revision = Revision::new(0, 5);
    let unknown = node.on_order(&order("v2", 30_000), revision, false);
    assert_eq!(unknown, Err(OrderError::UnknownService));
    let no_time = node.on_order(&order("v2", 0), revision, true);
    assert_eq!(no_time, Err(OrderError::NoDuration));
    let there = node.on_order(&order("v1", 30_000), revision, true);
    assert_eq!(there, Err(OrderError::AlreadyThere("v1".into())));
    assert_eq!(node.running().count(), 0);
}

/// A second order comes while the first one runs: its version replaces the first one's.
#[test]
fn a_second_order_replaces_the_first() {
    let mut node = node("n", &["v1", "v2", "v3"]);
    let first = node.on_order(&order("v2", 30_000), Revision::new(0, 5), true);
    let second = node.on_order(&order("v3", 30_000), Revision::new(0, 6), true);
    let repeated = node.on_order(&order("v2", 30_000), Revision::new(0, 5), true);
    assert_eq!((first, second, repeated), (Ok(true), Ok(true), Ok(false)));
    let later = Millis(60_000);
    assert!(node.allows(later, SERVICE, Side::New, "v3"));
    assert!(!node.allows(later, SERVICE, Side::Old, "v2"));
    assert!(node.allows(later, SERVICE, Side::Old, "v1"));
}

/// Targets of a version appear before their order: they wait for it, but not for long.
#[test]
fn a_version_without_an_order_is_held_back_for_a_while() {
    let node = node("n", &["v1", "v2"]);
    assert!(!node.allows(NOW, SERVICE, Side::Old, "v2"));
    assert!(node.allows(Millis(5_000), SERVICE, Side::Old, "v2"));
}

/// Counts arrive before their order, twice, and by two ways.
#[test]
fn repeated_counts_are_counted_once() {
    let (mut source, mut other) = (node("a", &["v1", "v2"]), node("b", &["v1", "v2"]));
    let revision = Revision::new(0, 5);
    let applied = source.on_order(&order("v2", 30_000), revision, true);
    assert_eq!(applied, Ok(true));
    let (service, route): (Name, Name) = (SERVICE.into(), "sort".into());
    source.record_sent(&service, &route, &"v2".into(), &"dc".into());
    let (changes, cursor) = source.counts_since(&CountsCursor::default());
    for change in changes.iter().chain(&changes) {
        other.merge_counts(NOW, change);
    }
    let applied = other.on_order(&order("v2", 30_000), revision, true);
    assert_eq!(applied, Ok(true));
    assert_eq!(other.sent(SERVICE, Side::New), 1);
    assert!(source.counts_since(&cursor).0.is_empty());
}
