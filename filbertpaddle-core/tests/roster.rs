//! Fixed shares and pool owners while the members of the roster change.

use filbertpaddle_core::roster::Member;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;
use filbertpaddle_core::roster::share;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;

fn id(number: usize) -> NodeId {
    NodeId {
        name: format!("entry-{number}").into(),
        incarnation: 1,
    }
}

fn member(id: NodeId) -> Member {
    Member {
        id,
        address: "127.0.0.1:1".into(),
    }
}

fn roster(members: usize) -> Roster {
    let joined = (0..members).map(|number| member(id(number)));
    joined.fold(Roster::default(), |roster, member| {
        let roster = roster.join(member);
        roster.activate_next_sharers(|_, _| true).unwrap_or(roster)
    })
}

fn config() -> Config {
    Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn shares_sum_to_the_limit(members in 1_usize..70, limit in 0_u32..200, target in any::<u16>()) {
        let roster = roster(members);
        let target = format!("runner-{target}");
        let sum: u32 = (0..members)
            .map(|number| share(&roster.sharers, &target, limit, &id(number)))
            .sum();
        prop_assert_eq!(sum, limit);
    }

    // Nodes hold different versions of the roster, from before and after a change.
    #[test]
    fn shares_under_two_versions_stay_within_the_limit(
        members in 1_usize..20,
        leaving in any::<bool>(),
        holds_new in any::<u32>(),
        limit in 0_u32..40,
        is_activation in any::<bool>(),
    ) {
        let settled = roster(members);
        let changed = match leaving && members > 1 {
            true => settled.remove(&id(0)),
            false => settled.join(member(id(members))),
        };
        let activated = changed.activate_next_sharers(|_, _| true).unwrap_or(changed.clone());
        let (old, new) = match is_activation {
            true => (&changed, &activated),
            false => (&settled, &changed),
        };
        let sum: u32 = (0..=members)
            .map(|number| {
                let held = if holds_new >> number & 1 == 1 { new } else { old };
                held.share("runner", limit, &id(number))
            })
            .sum();
        prop_assert!(sum <= limit);
    }
}

#[test]
fn a_silent_member_keeps_its_share_but_loses_its_pools() {
    let pools = ["teacher".into(), "booking".into()];
    let roster = roster(3);
    let roster = roster.assign(&pools).unwrap_or(roster);
    let silent = roster.owners[0].member.clone();
    let epoch = roster.owners[0].epoch;
    let retired = roster.retire(&silent);
    assert_eq!(retired.sharers, roster.sharers);
    let assigned = retired.assign(&pools).unwrap_or(retired);
    assert_ne!(assigned.owners[0].member, silent);
    assert!(assigned.owners[0].epoch > epoch);
}

#[test]
fn next_sharers_come_into_force_only_when_all_nodes_hold_the_version() {
    let changed = roster(2).join(member(id(2)));
    assert!(
        changed
            .activate_next_sharers(|node, _| *node != id(1))
            .is_none()
    );
    assert!(changed.activate_next_sharers(|_, _| true).is_some());
}
