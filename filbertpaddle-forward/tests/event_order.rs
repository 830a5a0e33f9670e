//! Order of a stream's events within the run of one target and from one run to the next.

use filbertpaddle_forward::event_order::EventOrder;
use filbertpaddle_forward::event_order::Place;

/// Returns the places of a run's events, of which the first is not of the run of `last`.
fn places(order: &mut EventOrder, last: &mut Option<u64>, ids: &[u64]) -> Vec<Place> {
    let mut is_same_run = false;
    let place = |id: &u64| {
        let place = order.place(*last, *id, is_same_run);
        if place == Place::Next {
            (*last, is_same_run) = (Some(*id), true);
        }
        place
    };
    ids.iter().map(place).collect()
}

#[test]
fn ids_of_a_run_increase_by_any_step() {
    let (mut order, mut last) = (EventOrder::new(), None);
    assert_eq!(
        places(&mut order, &mut last, &[7, 8, 20, 20, 19, 21]),
        [
            Place::Next,
            Place::Next,
            Place::Next,
            Place::OutOfOrder,
            Place::OutOfOrder,
            Place::Next
        ]
    );
}

#[test]
fn a_further_run_goes_on_with_the_step_of_the_former() {
    for step in [1, 2, 10] {
        let id = |number: u64| number * step;
        let (mut order, mut last) = (EventOrder::new(), None);
        places(&mut order, &mut last, &[id(1), id(2), id(3)]);
        let mut other = order;
        let mut other_last = last;
        assert_eq!(
            places(&mut order, &mut last, &[id(2), id(3), id(4), id(5)]),
            [Place::Repeated, Place::Repeated, Place::Next, Place::Next]
        );
        for missing in [id(5), id(4) + 1] {
            let found = places(&mut other, &mut other_last, &[missing]);
            assert_eq!(found, [Place::AfterGap], "step {step}");
        }
    }
}

/// What is missing cannot be known: the caller resumes with what it has.
#[test]
fn no_further_run_goes_on_with_an_uneven_step() {
    let (mut order, mut last) = (EventOrder::new(), None);
    places(&mut order, &mut last, &[1, 2, 4]);
    for id in [5, 6] {
        assert_eq!(places(&mut order, &mut last, &[id]), [Place::AfterGap]);
    }
}

/// The caller has the event before, or the first run has sent only one.
#[test]
fn a_run_after_a_single_event_goes_on_with_the_next_number() {
    let mut order = EventOrder::new();
    assert_eq!(places(&mut order, &mut Some(3), &[5]), [Place::AfterGap]);
    assert_eq!(places(&mut order, &mut Some(3), &[4, 5]), [Place::Next; 2]);
}
