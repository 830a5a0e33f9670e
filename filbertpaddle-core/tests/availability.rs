//! What may get new work.

use filbertpaddle_core::availability::Action;
use filbertpaddle_core::availability::Availability;
use filbertpaddle_core::availability::INITIAL_SHARE_PER_MILLE;
use filbertpaddle_core::availability::ListedVm;
use filbertpaddle_core::availability::RAMP_STEP_MS;
use filbertpaddle_core::availability::RAMP_STEP_PER_MILLE;
use filbertpaddle_core::availability::RECLAIM_NOTICE_TTL_MS;
use filbertpaddle_core::availability::Share;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::replica::Replica;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;

const T0: Millis = Millis(1_000);

fn listed(vm: &str, data_centre: &str) -> ListedVm {
    ListedVm {
        vm: vm.into(),
        data_centre: data_centre.into(),
        leaving: false,
    }
}

fn list() -> Vec<ListedVm> {
    vec![listed("vm-1", "north"), listed("vm-2", "south")]
}

fn apply(replica: &mut Replica, setting: Setting) {
    let change = Change {
        revision: replica.head().next(),
        id: ChangeId(1),
        by: "operator".into(),
        at_ms: Millis::ZERO,
        setting,
    };
    replica.apply(&change);
}

fn data_centre(name: &str, service: ServiceState) -> Setting {
    Setting::DataCentre {
        name: name.into(),
        service,
    }
}

fn vm(name: &str, service: ServiceState) -> Setting {
    Setting::Vm {
        name: name.into(),
        service,
    }
}

fn share(registry: &Availability, now: Millis, vm: &str) -> u16 {
    registry.vm_share(now, &vm.into()).per_mille()
}

fn started() -> (Availability, Replica) {
    let replica = Replica::default();
    let mut registry = Availability::default();
    registry.on_list(T0, &list());
    (registry, replica)
}

#[test]
fn what_is_listed_at_the_start_gets_its_whole_share() {
    let (registry, _) = started();
    assert_eq!(share(&registry, T0, "vm-1"), 1_000);
    assert_eq!(share(&registry, T0, "unknown"), 0);
}

#[test]
fn a_data_centre_that_is_out_gets_nothing_and_returns_by_steps() {
    let (mut registry, mut replica) = started();
    apply(&mut replica, data_centre("north", ServiceState::Out));
    let left = registry.on_config(T0, &replica);
    assert_eq!(left, [Action::DataCentreOutOfService("north".into())]);
    assert_eq!(share(&registry, T0, "vm-1"), 0);
    assert_eq!(share(&registry, T0, "vm-2"), 1_000);

    apply(&mut replica, data_centre("north", ServiceState::In));
    let returned = registry.on_config(T0, &replica);
    assert_eq!(returned, [Action::DataCentreBackInService("north".into())]);
    assert_eq!(share(&registry, T0, "vm-1"), INITIAL_SHARE_PER_MILLE);
    let next = T0 + RAMP_STEP_MS;
    assert_eq!(
        share(&registry, next, "vm-1"),
        INITIAL_SHARE_PER_MILLE + RAMP_STEP_PER_MILLE
    );
    let later = T0 + Millis(RAMP_STEP_MS.0 * 100);
    assert_eq!(share(&registry, later, "vm-1"), 1_000);
}

#[test]
fn a_return_whose_leave_was_missed_still_goes_by_steps() {
    let (mut registry, mut replica) = started();
    registry.on_config(T0, &replica);
    apply(&mut replica, data_centre("north", ServiceState::Out));
    apply(&mut replica, data_centre("north", ServiceState::In));
    apply(&mut replica, vm("vm-2", ServiceState::Out));
    apply(&mut replica, vm("vm-2", ServiceState::In));
    registry.on_config(T0, &replica);
    let listed_next = registry.on_list(T0 + Millis(1), &list());
    assert!(listed_next.is_empty());
    assert_eq!(share(&registry, T0, "vm-1"), INITIAL_SHARE_PER_MILLE);
    assert_eq!(share(&registry, T0, "vm-2"), INITIAL_SHARE_PER_MILLE);
    // The same configuration again does not start the steps over.
    let next = T0 + RAMP_STEP_MS;
    assert!(registry.on_config(next, &replica).is_empty());
    // Nor does a new list.
    assert!(registry.on_list(next, &list()).is_empty());
    assert_eq!(
        share(&registry, next, "vm-1"),
        INITIAL_SHARE_PER_MILLE + RAMP_STEP_PER_MILLE
    );
}

#[test]
fn a_start_after_a_return_takes_the_whole_share() {
    let (mut registry, mut replica) = started();
    apply(&mut replica, data_centre("north", ServiceState::Out));
    apply(&mut replica, data_centre("north", ServiceState::In));
    registry.on_config(T0, &replica);
    assert_eq!(share(&registry, T0, "vm-1"), 1_000);
}

#[test]
fn out_wins_over_every_other_word() {
    let (mut registry, mut replica) = started();
    apply(&mut replica, vm("vm-1", ServiceState::Out));
    registry.on_config(T0, &replica);
    registry.on_list(T0, &list());
    assert_eq!(share(&registry, T0, "vm-1"), 0);
    apply(&mut replica, data_centre("north", ServiceState::In));
    registry.on_config(T0, &replica);
    assert_eq!(share(&registry, T0, "vm-1"), 0);
}

#[test]
fn a_reclaim_outweighs_a_list_that_lags() {
    let (mut registry, _) = started();
    let left = registry.on_reclaim(T0, &"vm-1".into());
    assert_eq!(left, [Action::VmOutOfService("vm-1".into())]);
    let listed_next = registry.on_list(T0 + Millis(1), &list());
    assert!(listed_next.is_empty());
    assert_eq!(share(&registry, T0 + Millis(1), "vm-1"), 0);
    registry.on_list(T0 + Millis(2), &list()[1..]);
    let later = T0 + RECLAIM_NOTICE_TTL_MS + Millis(3);
    registry.on_list(later, &list()[1..]);
    // A new VM of the same name starts from the first step.
    registry.on_list(later, &list());
    assert_eq!(share(&registry, later, "vm-1"), INITIAL_SHARE_PER_MILLE);
}

#[test]
fn a_vm_that_the_platform_takes_away_is_out() {
    let (mut registry, _) = started();
    let mut leaving = list();
    leaving[0].leaving = true;
    registry.on_list(T0, &leaving);
    assert_eq!(share(&registry, T0, "vm-1"), 0);
    registry.on_list(T0, &list()[..1]);
    assert_eq!(share(&registry, T0, "vm-2"), 0);
}

#[test]
fn an_operators_out_outlives_an_absence_from_the_list() {
    let (mut registry, mut replica) = started();
    apply(&mut replica, vm("vm-1", ServiceState::Out));
    registry.on_config(T0, &replica);
    registry.on_list(T0, &[]);
    registry.on_list(T0, &list());
    assert_eq!(share(&registry, T0, "vm-1"), 0);
}

#[test]
fn a_share_scales_a_limit_without_closing_it() {
    let (mut registry, mut replica) = started();
    apply(&mut replica, vm("vm-1", ServiceState::Out));
    registry.on_config(T0, &replica);
    apply(&mut replica, vm("vm-1", ServiceState::In));
    registry.on_config(T0, &replica);
    let share = registry.vm_share(T0, &"vm-1".into());
    assert_eq!(share.scale(100), 10);
    assert_eq!(share.scale(4), 1);
    assert_eq!(Share::NONE.scale(u32::MAX), 0);
}

proptest! {
    #[test]
    fn nothing_out_ever_gets_work(steps in prop::collection::vec((0_u8..7, any::<bool>()), 1..60)) {
        let name: Name = "vm-1".into();
        let (mut registry, mut replica) = started();
        let mut now = T0;
        let (mut vm_out, mut dc_out, mut gone) = (false, false, false);
        for (step, out) in steps {
            now = now + Millis(500);
            let service = if out { ServiceState::Out } else { ServiceState::In };
            match step {
                0 | 1 => {
                    vm_out = out;
                    apply(&mut replica, vm("vm-1", service));
                }
                2 | 3 => {
                    dc_out = out;
                    apply(&mut replica, data_centre("north", service));
                }
                4 => {
                    gone = out;
                    let from = usize::from(out);
                    registry.on_list(now, &list()[from..]);
                }
                _ => now = now + RAMP_STEP_MS,
            }
            registry.on_config(now, &replica);
            let is_none = registry.vm_share(now, &name).is_none();
            prop_assert!(is_none == (vm_out || dc_out || gone));
        }
    }
}
