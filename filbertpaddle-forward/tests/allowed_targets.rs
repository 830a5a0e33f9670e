//! Targets that requests may go to during a roll-out, by the side of the request, the version that
//! a stream is bound to, and the state of the roll-out.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::allowed_targets::AllowedTargets;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_counts::Side;
use filbertpaddle_forward::rollout_record::RolloutLimits;
use filbertpaddle_forward::rollout_record::RolloutOrder;
use filbertpaddle_forward::rollout_record::RolloutRecord;
use filbertpaddle_forward::rollout_record::RolloutState;
use filbertpaddle_forward::rollout_split::VersionCount;
use filbertpaddle_forward::rollouts::Rollouts;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::target::Target;

const NOW: Millis = Millis(60_000);
const LIMITS: RolloutLimits = RolloutLimits {
    max_exposed_share: 0.1,
    exposed_slack: 50.0,
    rollback_ms: Millis(5_000),
};

fn target(id: &str, version: &str) -> Target {
    Target {
        id: id.into(),
        service: "app".into(),
        address: format!("10.0.0.1:{}", 1_000 + id.len()).into(),
        data_centre: "dc".into(),
        slots: 4,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: None,
        version: version.into(),
    }
}

/// Four targets of the old version and four of the new one.
fn targets() -> Vec<Target> {
    let numbers = 1..=8_usize;
    let version = |number: usize| if number <= 4 { "v1" } else { "v2" };
    numbers
        .map(|number| Target {
            address: format!("10.0.0.{number}:80").into(),
            ..target(&format!("t{number}"), version(number))
        })
        .collect()
}

fn directory() -> Directory {
    let revision = Revision::new(0, 1);
    let changes = targets().into_iter().map(|target| Change {
        revision,
        entry: Entry::Target(target),
    });
    let batch = Batch {
        table: Table::Targets,
        is_whole: true,
        revision,
        changes: changes.collect(),
    };
    let mut directory = Directory::new();
    directory.apply(NOW, NOW, &batch);
    directory
}

fn count(version: &str) -> VersionCount {
    VersionCount {
        version: version.into(),
        targets: 4,
    }
}

/// Returns the roll-out to `v2` in a state.
fn rollouts(state: RolloutState, share_per_mille: u32) -> Rollouts {
    let order = RolloutOrder {
        service: "app".into(),
        version: "v2".into(),
        duration_ms: Millis(12_000),
    };
    let ordered = Revision::new(0, 5);
    let mut rollouts = Rollouts::new("node/1".into(), LIMITS);
    let service: Name = "app".into();
    rollouts.on_targets(NOW, &service, &[count("v1"), count("v2")]);
    assert_eq!(rollouts.on_order(&order, ordered, true), Ok(true));
    let record = RolloutRecord {
        order,
        ordered,
        started_ms: Millis(900),
        state,
        share_per_mille,
        step: 3,
    };
    assert!(rollouts.merge_record(NOW, &record, Millis::ZERO));
    rollouts
}

/// Returns the versions of the allowed targets, and their number.
fn allowed(rollouts: &Rollouts, binding: VersionBinding, side: Side) -> (Vec<String>, usize) {
    let directory = directory();
    let service: Name = "app".into();
    let allowed = AllowedTargets::of(NOW, rollouts, &directory, &service, binding, side);
    let listed = targets();
    let allowed: Vec<_> = listed
        .iter()
        .filter(|target| allowed.allows(target))
        .collect();
    let mut versions: Vec<_> = allowed
        .iter()
        .map(|target| target.version.to_string())
        .collect();
    versions.dedup();
    (versions, allowed.len())
}

#[test]
fn a_request_goes_to_targets_of_its_side_only() {
    let running = rollouts(RolloutState::Running, 250);
    let old = allowed(&running, VersionBinding::Free, Side::Old);
    assert_eq!(old, (vec!["v1".to_owned()], 4));
    // A quarter of the requests go to a quarter of as many targets.
    let new = allowed(&running, VersionBinding::Free, Side::New);
    assert_eq!(new, (vec!["v2".to_owned()], 1));
}

/// A stream that has begun goes on where it began, until that version gets nothing more.
#[test]
fn a_stream_goes_on_at_its_version_until_the_roll_out_ends() {
    let of_old = VersionBinding::to_target(&target("t1", "v1"));
    let of_new = VersionBinding::to_target(&target("t5", "v2"));
    let running = rollouts(RolloutState::Running, 1_000);
    for binding in [of_old, of_new] {
        assert_eq!(allowed(&running, binding, Side::New).1, 8);
    }
    let rolled_back = rollouts(RolloutState::RolledBack, 0);
    let left = allowed(&rolled_back, of_new, Side::Old);
    assert_eq!(left, (vec!["v1".to_owned()], 4));
    assert_eq!(allowed(&rolled_back, VersionBinding::Free, Side::New).1, 0);
}

#[test]
fn all_targets_are_allowed_where_nothing_is_rolled_out() {
    let rollouts = Rollouts::new("node/1".into(), LIMITS);
    let all = allowed(&rollouts, VersionBinding::Free, Side::Old);
    assert_eq!(all.1, 8);
}
