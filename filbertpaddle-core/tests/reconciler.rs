//! Reconciliation of served models: difference from the templates, limits on
//! simultaneous changes, and commands of an earlier owner.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::reconciler::Action;
use filbertpaddle_core::reconciler::CHANGING_DIVISOR;
use filbertpaddle_core::reconciler::Fencing;
use filbertpaddle_core::reconciler::MAX_COMMAND_DELAY_MS;
use filbertpaddle_core::reconciler::READ_INTERVAL_MS;
use filbertpaddle_core::reconciler::Reconciler;
use filbertpaddle_core::reconciler::ServedModel;

const EPOCH: u64 = 7;
const START_MS: Millis = Millis(1_000);

fn served(version: &str) -> ServedModel {
    ServedModel {
        model: "teacher".into(),
        version: version.into(),
        adapters: Vec::new(),
    }
}

fn reconciler(fencing: Fencing, count: usize) -> Reconciler {
    let mut reconciler = Reconciler::new(EPOCH, fencing, served("2"), START_MS);
    reconciler.set_targets((0..count).map(|number| Name::from(format!("engine-{number}"))));
    reconciler
}

fn record_reads(reconciler: &mut Reconciler, now: Millis, version: &str) {
    for action in reconciler.tick(now) {
        let Action::Read { target } = action else {
            panic!("expected a read before any other action: {action:?}");
        };
        reconciler.record_read(now, &target, Some(&served(version)));
    }
}

fn permission_requests(actions: Vec<Action>) -> Vec<Name> {
    actions
        .into_iter()
        .filter_map(|action| match action {
            Action::RequestPermission { target, .. } => Some(target),
            _ => None,
        })
        .collect()
}

#[test]
fn up_to_date_target_gets_no_command() {
    let mut reconciler = reconciler(Fencing::Checked, 1);
    record_reads(&mut reconciler, START_MS, "2");
    assert_eq!(reconciler.tick(START_MS + Millis(1)), []);
    let later = START_MS + READ_INTERVAL_MS;
    assert_eq!(
        reconciler.tick(later).len(),
        1,
        "expected another read after the interval"
    );
}

#[test]
fn difference_leads_to_load_with_permission_and_epoch() {
    let mut reconciler = reconciler(Fencing::Checked, 1);
    record_reads(&mut reconciler, START_MS, "1");
    let target = permission_requests(reconciler.tick(START_MS)).remove(0);
    assert!(reconciler.is_changing(&target));
    let retry = reconciler.record_permission(START_MS, &target, Some(Millis(500)));
    assert_eq!(retry, None, "no load before the weight store permits it");
    assert_eq!(reconciler.tick(START_MS + Millis(499)), []);
    let again = permission_requests(reconciler.tick(START_MS + Millis(500)));
    assert_eq!(again, std::slice::from_ref(&target));
    let order = reconciler.record_permission(START_MS + Millis(501), &target, None);
    assert_eq!(
        order,
        Some(Action::LoadModel {
            target: target.clone(),
            desired: served("2"),
            epoch: EPOCH,
        })
    );
    reconciler.record_load_answer(START_MS + Millis(900), &target);
    assert!(!reconciler.is_changing(&target));
}

#[test]
fn only_a_fraction_of_the_pool_changes_at_a_time() {
    let mut reconciler = reconciler(Fencing::Checked, 8);
    record_reads(&mut reconciler, START_MS, "1");
    let first = permission_requests(reconciler.tick(START_MS));
    assert_eq!(first.len(), 8 / CHANGING_DIVISOR);
    assert_eq!(
        permission_requests(reconciler.tick(START_MS)),
        Vec::<Name>::new()
    );
}

#[test]
fn new_owner_waits_for_commands_in_flight_to_targets_without_fencing() {
    let mut reconciler = reconciler(Fencing::Ignored, 1);
    record_reads(&mut reconciler, START_MS, "1");
    let just_before = START_MS + Millis(MAX_COMMAND_DELAY_MS.0 - 1);
    assert_eq!(
        reconciler.tick(just_before),
        [],
        "expected no action while an earlier owner's command may still arrive"
    );
    let commands_landed = START_MS + MAX_COMMAND_DELAY_MS;
    let actions = reconciler.tick(commands_landed);
    let read_again = Action::Read {
        target: "engine-0".into(),
    };
    assert_eq!(actions, [read_again], "expected another read before a load");
    reconciler.record_read(commands_landed, "engine-0", Some(&served("1")));
    assert_eq!(
        permission_requests(reconciler.tick(commands_landed)).len(),
        1
    );
}

#[test]
fn lost_answer_leads_to_another_read_not_another_load() {
    let mut reconciler = reconciler(Fencing::Checked, 1);
    record_reads(&mut reconciler, START_MS, "1");
    let target = permission_requests(reconciler.tick(START_MS)).remove(0);
    reconciler.record_permission(START_MS, &target, None);
    let much_later = START_MS + Millis(600_000);
    let actions = reconciler.tick(much_later);
    assert!(
        matches!(actions.as_slice(), [Action::Read { .. }]),
        "{actions:?}"
    );
}
