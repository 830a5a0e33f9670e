//! Handover of generations to their copies, in simulated time.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::handover::Handover;
use filbertpaddle_forward::handover::OrderResult;
use filbertpaddle_forward::handover::Step;
use filbertpaddle_forward::handover::may_return;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Longest pause between events for which a stream is on time.
const PAUSE_MS: u64 = 180;
/// Time for which targets that were sent an order may still work when the copy goes on.
const ALLOWED_MS: u64 = 400;
const STOPPED: OrderResult = OrderResult::Stopped { events: Some(9) };

/// Returns a handover whose target was ordered to stop at 10 ms.
fn ordered() -> Handover {
    let mut handover = Handover::new();
    assert_eq!(handover.next_step(Millis(10), Some(5)), Step::Order);
    handover.record_order_sent();
    handover
}

fn wait_until(handover: &Handover, now: Millis) -> Millis {
    let Step::Wait(Some(at)) = handover.next_step(now, Some(5)) else {
        panic!("{:?}", handover.next_step(now, Some(5)));
    };
    assert!(at > now);
    at
}

#[test]
fn copy_goes_on_after_the_last_event_of_a_target_that_has_stopped() {
    let mut handover = ordered();
    let wait = Step::Wait(None);
    assert_eq!(handover.next_step(Millis(9_000), Some(8)), wait);
    handover.record_order_result(Millis(9_000), STOPPED);
    let at = wait_until(&handover, Millis(9_000));
    assert!(at.since(Millis(9_000)) < Millis(PAUSE_MS / 2));
    let now = Millis(9_001);
    assert_eq!(handover.next_step(now, Some(9)), Step::Continue);
    // Events that do not arrive are generated again.
    assert_eq!(handover.next_step(at, Some(8)), Step::Continue);
    handover.record_closed(now, false);
    assert_eq!(handover.next_step(now, Some(8)), Step::Continue);
}

#[test]
fn stream_is_read_on_and_the_order_repeated_while_it_is_not_known_to_have_stopped() {
    for result in [OrderResult::Failed, OrderResult::Busy] {
        let mut handover = ordered();
        handover.record_order_result(Millis(20), result);
        let at = wait_until(&handover, Millis(20));
        assert_eq!(handover.next_step(at, Some(6)), Step::Order);
        assert!(!handover.is_final());
    }
}

#[test]
fn a_generation_that_does_not_run_is_read_to_its_end_without_further_orders() {
    let mut handover = ordered();
    handover.record_order_result(Millis(20), OrderResult::NotRunning);
    let step = handover.next_step(Millis(5_000), Some(6));
    assert_eq!(step, Step::Wait(None));
    // It was lost.
    handover.record_closed(Millis(5_000), false);
    let step = handover.next_step(Millis(5_000), Some(6));
    assert_eq!(step, Step::Continue);
}

#[test]
fn a_stream_that_an_order_ended_waits_for_the_answer_within_the_pause() {
    let mut handover = ordered();
    handover.record_closed(Millis(30), false);
    let at = wait_until(&handover, Millis(30));
    assert!(at.since(Millis(30)) < Millis(PAUSE_MS / 2));
    assert_eq!(handover.next_step(at, Some(5)), Step::Continue);
    handover.record_order_result(Millis(40), STOPPED);
    let step = handover.next_step(Millis(40), Some(5));
    assert_eq!(step, Step::Continue);
}

/// Only the node that relayed the stream may have ended it.
#[test]
fn a_relayed_stream_that_has_ended_shows_nothing_about_its_target() {
    let mut direct = ordered();
    direct.record_closed(Millis(30), false);
    let mut relayed = ordered();
    relayed.record_closed(Millis(30), true);
    assert!(wait_until(&relayed, Millis(30)) > wait_until(&direct, Millis(30)));
    relayed.record_order_result(Millis(40), OrderResult::Busy);
    let at = wait_until(&relayed, Millis(40));
    assert_eq!(relayed.next_step(at, Some(5)), Step::Order);
}

#[test]
fn a_target_whose_stream_breaks_off_is_ordered_to_stop_before_the_copy_goes_on() {
    let mut handover = Handover::new();
    handover.record_closed(Millis(30), false);
    assert_eq!(handover.next_step(Millis(30), Some(5)), Step::Order);
    handover.record_order_sent();
    let limit = wait_until(&handover, Millis(30));
    assert_eq!(handover.next_step(limit, Some(5)), Step::Continue);
    // Nothing listens there any more.
    handover.record_order_result(Millis(31), OrderResult::Failed);
    let step = handover.next_step(Millis(31), Some(5));
    assert_eq!(step, Step::Continue);
}

#[test]
fn a_target_that_sends_neither_events_nor_an_answer_holds_nothing_up() {
    let mut handover = ordered();
    handover.record_silent();
    let step = handover.next_step(Millis(1_400), Some(5));
    assert_eq!(step, Step::Continue);
}

#[test]
fn generations_return_to_a_leaving_target_only_shortly_after_its_notice() {
    assert!(may_return(Millis(1_500), Millis(1_000)));
    assert!(!may_return(Millis(3_000), Millis(1_000)));
}

/// Targets that are reached, and whose answers and ends of streams arrive in any order, late or
/// not at all, never work on for longer than is allowed once the copy goes on.
#[test]
fn no_order_of_events_lets_two_targets_work_at_a_time() {
    for seed in 0..2_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut handover = Handover::new();
        let mut stops_at = None;
        let mut answers_at = None;
        let mut closes_at = None;
        for now in 0..20_000 {
            if answers_at == Some(now) {
                let events = rng.random_bool(0.5).then_some(9);
                handover.record_order_result(Millis(now), OrderResult::Stopped { events });
            }
            if closes_at == Some(now) {
                handover.record_closed(Millis(now), rng.random_bool(0.2));
            }
            match handover.next_step(Millis(now), Some(5)) {
                Step::Wait(_) => {}
                Step::Continue => {
                    assert!(
                        stops_at.is_some_and(|at| at <= now + ALLOWED_MS),
                        "seed {seed}"
                    );
                    break;
                }
                Step::Order => {
                    handover.record_order_sent();
                    let result = match rng.random_range(0..4) {
                        0 => OrderResult::Failed,
                        1 => OrderResult::Busy,
                        _ => {
                            let at = now + rng.random_range(1..60);
                            stops_at = Some(at);
                            closes_at = Some(at + rng.random_range(1..30));
                            answers_at = Some(at + rng.random_range(1..3_000));
                            continue;
                        }
                    };
                    handover.record_order_result(Millis(now), result);
                }
            }
            assert!(now < 19_999, "seed {seed}: never goes on");
        }
    }
}
