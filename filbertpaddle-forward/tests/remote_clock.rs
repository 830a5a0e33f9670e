//! Ages of data that other processes state, with responses that are under way for any time.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::remote_clock::RemoteClock;

/// This node's time minus the other's.
const OFFSET_MS: u64 = 7_000;

/// Records a response that was `there_ms` and `back_ms` under way, sent at `at_ms` by the other's
/// clock; returns when it arrived.
fn respond(clock: &mut RemoteClock, at_ms: u64, there_ms: u64, back_ms: u64) -> Millis {
    let sent_ms = at_ms + OFFSET_MS;
    let received_ms = Millis(sent_ms + back_ms);
    clock.record(Millis(sent_ms - there_ms), received_ms, Millis(at_ms));
    received_ms
}

#[test]
fn a_response_that_was_long_under_way_does_not_look_recent() {
    let mut clock = RemoteClock::default();
    respond(&mut clock, 1_000, 1, 1);
    for back_ms in [1, 50, 400, 5_000] {
        respond(&mut clock, 2_000, 900, back_ms);
        let local_ms = clock.local_ms(Millis(2_000));
        let true_ms = Millis(2_000 + OFFSET_MS);
        assert!(local_ms <= true_ms, "{back_ms} ms back: {local_ms}");
        assert!(true_ms.since(local_ms) <= Millis(1), "{back_ms} ms back");
    }
}

#[test]
fn times_are_never_later_than_they_were() {
    let mut clock = RemoteClock::default();
    for (number, under_way_ms) in [300, 20, 700, 3, 90].into_iter().enumerate() {
        let at_ms = 1_000 * (number as u64 + 1);
        respond(&mut clock, at_ms, under_way_ms, under_way_ms);
        let local_ms = clock.local_ms(Millis(at_ms));
        assert!(local_ms <= Millis(at_ms + OFFSET_MS), "{local_ms}");
    }
}

#[test]
fn nothing_counts_as_recent_before_the_first_response() {
    let clock = RemoteClock::default();
    assert_eq!(clock.local_ms(Millis(5_000)), Millis::ZERO);
}

/// The clock of a suspended process stands still, so that its times look later than they were.
#[test]
fn a_suspension_of_this_node_is_found_by_the_next_response() {
    let mut clock = RemoteClock::default();
    respond(&mut clock, 1_000, 1, 1);
    let suspended_ms = 3_000;
    let received_ms = Millis(2_001 + OFFSET_MS - suspended_ms);
    let requested_ms = Millis(received_ms.0 - 2);
    clock.record(requested_ms, received_ms, Millis(2_000));
    assert_eq!(clock.local_ms(Millis(2_000)), requested_ms);
}

#[test]
fn a_clock_that_starts_anew_is_followed() {
    let mut clock = RemoteClock::default();
    respond(&mut clock, 100_000, 1, 1);
    let (requested_ms, received_ms) = (Millis(110_000), Millis(110_004));
    clock.record(requested_ms, received_ms, Millis(5));
    assert_eq!(clock.local_ms(Millis(5)), requested_ms);
}
