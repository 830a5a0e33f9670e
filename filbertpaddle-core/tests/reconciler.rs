//! Reconciler follow the templates, keep limits and respect an earlier owner's.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::reconciler::Action;
use filbertpaddle_core::reconciler::CHANGING_SHARE;
use filbertpaddle_core::reconciler::Fencing;
use filbertpaddle_core::reconciler::IN_FLIGHT_MS;
use filbertpaddle_core::reconciler::READ_INTERVAL_MS;
use filbertpaddle_core::reconciler::Reconciler;
use filbertpaddle_core::reconciler::ServedModel;

const EPOCH: u64 = 7;
const START: Millis = Millis(1_000);

fn served(version: &str) -> ServedModel {
    ServedModel {
        model: "teacher".into(),
        version: version.into(),
        adapters: Vec::new(),
    }
}

fn orders(fencing: Fencing, count: usize) -> Reconciler {
    let mut orders = Reconciler::new(EPOCH, fencing, served("2"), START);
    orders.set_targets((0..count).map(|number| Name::from(format!("engine-{number}"))));
    orders
}

fn read_all(orders: &mut Reconciler, now: Millis, version: &str) {
    for action in orders.tick(now) {
        let Action::Read { target } = action else {
            panic!("targets are read first: {action:?}");
        };
        orders.read(now, &target, Some(&served(version)));
    }
}

fn asked(actions: Vec<Action>) -> Vec<Name> {
    actions
        .into_iter()
        .filter_map(|action| match action {
            Action::AskWeights { target, .. } => Some(target),
            _ => None,
        })
        .collect()
}

#[test]
fn a_target_that_serves_what_is_wanted_is_left_alone() {
    let mut orders = orders(Fencing::Checked, 1);
    read_all(&mut orders, START, "2");
    assert_eq!(orders.tick(START + Millis(1)), []);
    let later = START + READ_INTERVAL_MS;
    assert_eq!(orders.tick(later).len(), 1, "it is read again later");
}

#[test]
fn a_difference_is_ordered_with_permission_and_epoch() {
    let mut orders = orders(Fencing::Checked, 1);
    read_all(&mut orders, START, "1");
    let target = asked(orders.tick(START)).remove(0);
    assert!(orders.is_changing(&target));
    let retry = orders.permitted(START, &target, Some(Millis(500)));
    assert_eq!(retry, None, "the weight store's limit is kept");
    assert_eq!(orders.tick(START + Millis(499)), []);
    let again = asked(orders.tick(START + Millis(500)));
    assert_eq!(again, std::slice::from_ref(&target));
    let order = orders.permitted(START + Millis(501), &target, None);
    assert_eq!(
        order,
        Some(Action::Order {
            target: target.clone(),
            wanted: served("2"),
            epoch: EPOCH,
        })
    );
    orders.ordered(START + Millis(900), &target);
    assert!(!orders.is_changing(&target));
}

#[test]
fn only_a_part_of_the_pool_changes_at_a_time() {
    let mut orders = orders(Fencing::Checked, 8);
    read_all(&mut orders, START, "1");
    let first = asked(orders.tick(START));
    assert_eq!(first.len(), 8 / CHANGING_SHARE);
    assert_eq!(asked(orders.tick(START)), Vec::<Name>::new());
}

#[test]
fn a_successor_waits_out_orders_in_flight_to_targets_that_ignore_the_number() {
    let mut orders = orders(Fencing::Ignored, 1);
    read_all(&mut orders, START, "1");
    let just_before = START + Millis(IN_FLIGHT_MS.0 - 1);
    assert_eq!(orders.tick(just_before), [], "nothing is ordered yet");
    let settled = START + IN_FLIGHT_MS;
    let actions = orders.tick(settled);
    let read_again = Action::Read {
        target: "engine-0".into(),
    };
    assert_eq!(
        actions,
        [read_again],
        "it is read back before it is ordered"
    );
    orders.read(settled, "engine-0", Some(&served("1")));
    assert_eq!(asked(orders.tick(settled)).len(), 1);
}

#[test]
fn a_lost_answer_leads_to_another_reading_not_another_order() {
    let mut orders = orders(Fencing::Checked, 1);
    read_all(&mut orders, START, "1");
    let target = asked(orders.tick(START)).remove(0);
    orders.permitted(START, &target, None);
    let much_later = START + Millis(600_000);
    let actions = orders.tick(much_later);
    assert!(
        matches!(actions.as_slice(), [Action::Read { .. }]),
        "{actions:?}"
    );
}
