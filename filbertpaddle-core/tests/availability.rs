//! Share of new work of data centres and VMs in and out of service.

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

const START_MS: Millis = Millis(1_000);

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

fn share(availability: &Availability, now: Millis, vm: &str) -> u16 {
    availability.vm_share(now, &vm.into()).per_mille()
}

fn initial() -> (Availability, Replica) {
    let replica = Replica::default();
    let mut availability = Availability::default();
    availability.on_list(START_MS, &list());
    (availability, replica)
}

#[test]
fn vms_in_the_first_list_get_the_full_share() {
    let (availability, _) = initial();
    assert_eq!(share(&availability, START_MS, "vm-1"), 1_000);
    assert_eq!(share(&availability, START_MS, "unknown"), 0);
}

#[test]
fn a_data_centre_out_of_service_gets_no_work_and_ramps_up_after_its_return() {
    let (mut availability, mut replica) = initial();
    apply(&mut replica, data_centre("north", ServiceState::Out));
    let left = availability.on_config(START_MS, &replica);
    assert_eq!(left, [Action::DataCentreOutOfService("north".into())]);
    assert_eq!(share(&availability, START_MS, "vm-1"), 0);
    assert_eq!(share(&availability, START_MS, "vm-2"), 1_000);

    apply(&mut replica, data_centre("north", ServiceState::In));
    let returned = availability.on_config(START_MS, &replica);
    assert_eq!(returned, [Action::DataCentreBackInService("north".into())]);
    assert_eq!(
        share(&availability, START_MS, "vm-1"),
        INITIAL_SHARE_PER_MILLE
    );
    let next = START_MS + RAMP_STEP_MS;
    assert_eq!(
        share(&availability, next, "vm-1"),
        INITIAL_SHARE_PER_MILLE + RAMP_STEP_PER_MILLE
    );
    let later = START_MS + Millis(RAMP_STEP_MS.0 * 100);
    assert_eq!(share(&availability, later, "vm-1"), 1_000);
}

#[test]
fn a_return_ramps_up_even_if_the_outage_was_not_seen() {
    let (mut availability, mut replica) = initial();
    availability.on_config(START_MS, &replica);
    apply(&mut replica, data_centre("north", ServiceState::Out));
    apply(&mut replica, data_centre("north", ServiceState::In));
    apply(&mut replica, vm("vm-2", ServiceState::Out));
    apply(&mut replica, vm("vm-2", ServiceState::In));
    availability.on_config(START_MS, &replica);
    let listed_next = availability.on_list(START_MS + Millis(1), &list());
    assert!(listed_next.is_empty());
    assert_eq!(
        share(&availability, START_MS, "vm-1"),
        INITIAL_SHARE_PER_MILLE
    );
    assert_eq!(
        share(&availability, START_MS, "vm-2"),
        INITIAL_SHARE_PER_MILLE
    );
    // Applying the same configuration again does not restart the ramp-up.
    let next = START_MS + RAMP_STEP_MS;
    assert!(availability.on_config(next, &replica).is_empty());
    // Neither does a new list.
    assert!(availability.on_list(next, &list()).is_empty());
    assert_eq!(
        share(&availability, next, "vm-1"),
        INITIAL_SHARE_PER_MILLE + RAMP_STEP_PER_MILLE
    );
}

#[test]
fn a_node_started_after_a_return_uses_the_full_share() {
    let (mut availability, mut replica) = initial();
    apply(&mut replica, data_centre("north", ServiceState::Out));
    apply(&mut replica, data_centre("north", ServiceState::In));
    availability.on_config(START_MS, &replica);
    assert_eq!(share(&availability, START_MS, "vm-1"), 1_000);
}

#[test]
fn out_of_service_takes_precedence_over_other_sources() {
    let (mut availability, mut replica) = initial();
    apply(&mut replica, vm("vm-1", ServiceState::Out));
    availability.on_config(START_MS, &replica);
    availability.on_list(START_MS, &list());
    assert_eq!(share(&availability, START_MS, "vm-1"), 0);
    apply(&mut replica, data_centre("north", ServiceState::In));
    availability.on_config(START_MS, &replica);
    assert_eq!(share(&availability, START_MS, "vm-1"), 0);
}

#[test]
fn a_reclaim_notice_takes_precedence_over_a_lagging_list() {
    let (mut availability, _) = initial();
    let left = availability.on_reclaim(START_MS, &"vm-1".into());
    assert_eq!(left, [Action::VmOutOfService("vm-1".into())]);
    let listed_next = availability.on_list(START_MS + Millis(1), &list());
    assert!(listed_next.is_empty());
    assert_eq!(share(&availability, START_MS + Millis(1), "vm-1"), 0);
    availability.on_list(START_MS + Millis(2), &list()[1..]);
    let later = START_MS + RECLAIM_NOTICE_TTL_MS + Millis(3);
    availability.on_list(later, &list()[1..]);
    // A new VM of the same name starts with the initial share.
    availability.on_list(later, &list());
    assert_eq!(share(&availability, later, "vm-1"), INITIAL_SHARE_PER_MILLE);
}

#[test]
fn a_vm_leaving_or_missing_from_the_list_is_out_of_service() {
    let (mut availability, _) = initial();
    let mut leaving = list();
    leaving[0].leaving = true;
    availability.on_list(START_MS, &leaving);
    assert_eq!(share(&availability, START_MS, "vm-1"), 0);
    availability.on_list(START_MS, &list()[..1]);
    assert_eq!(share(&availability, START_MS, "vm-2"), 0);
}

#[test]
fn an_operators_decision_persists_while_the_vm_is_unlisted() {
    let (mut availability, mut replica) = initial();
    apply(&mut replica, vm("vm-1", ServiceState::Out));
    availability.on_config(START_MS, &replica);
    availability.on_list(START_MS, &[]);
    availability.on_list(START_MS, &list());
    assert_eq!(share(&availability, START_MS, "vm-1"), 0);
}

#[test]
fn a_nonzero_share_scales_a_limit_to_at_least_one() {
    let (mut availability, mut replica) = initial();
    apply(&mut replica, vm("vm-1", ServiceState::Out));
    availability.on_config(START_MS, &replica);
    apply(&mut replica, vm("vm-1", ServiceState::In));
    availability.on_config(START_MS, &replica);
    let share = availability.vm_share(START_MS, &"vm-1".into());
    assert_eq!(share.scale(100), 10);
    assert_eq!(share.scale(4), 1);
    assert_eq!(Share::NONE.scale(u32::MAX), 0);
}

proptest! {
    #[test]
    fn only_a_vm_out_of_service_gets_no_work(steps in prop::collection::vec((0_u8..7, any::<bool>()), 1..60)) {
        let name: Name = "vm-1".into();
        let (mut availability, mut replica) = initial();
        let mut now = START_MS;
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
                    availability.on_list(now, &list()[from..]);
                }
                _ => now = now + RAMP_STEP_MS,
            }
            availability.on_config(now, &replica);
            let is_none = availability.vm_share(now, &name).is_none();
            prop_assert!(is_none == (vm_out || dc_out || gone));
        }
    }
}
