//! Requests of several levels wait at one node, and many nodes wait for the same room.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::level_load::LevelLoad;
use filbertpaddle_forward::level_load::LevelLoads;
use filbertpaddle_forward::waiting_line;
use filbertpaddle_forward::waiting_line::ROUND_MS;
use filbertpaddle_forward::waiting_line::WaitingLine;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn service(level: u8, waiting: u32, placed: u32) -> LevelLoads {
    LevelLoads::from(LevelLoad {
        level,
        placed,
        waiting,
        ..LevelLoad::default()
    })
}

/// An urgent request, one that has returned and two others wait when room appears.
#[test]
fn requests_look_for_room_in_the_order_of_the_line() {
    let mut line = WaitingLine::new();
    let first = line.join(Millis(0), 2, false);
    let second = line.join(Millis(1), 2, false);
    let returned = line.join(Millis(2), 2, true);
    let urgent = line.join(Millis(3), 0, false);
    let now = Millis(10);
    for later in [second, first, returned] {
        assert!(!line.look(now, later));
    }
    for next in [urgent, returned, first, second] {
        assert!(line.look(now, next));
        assert!(!line.look(now, next));
    }
    assert!(line.look(now + ROUND_MS, urgent));
}

/// Urgent requests arrive all the time, and take all room that appears.
#[test]
fn a_request_that_waits_is_served_before_more_urgent_ones_that_arrive_later() {
    let mut line = WaitingLine::new();
    let old = line.join(Millis::ZERO, 2, false);
    let now = Millis(900);
    let urgent = line.join(now, 0, false);
    assert!(!line.look(now, urgent));
    assert!(line.look(now, old));
    assert!(line.look(now, urgent));
}

/// A caller leaves, or its request fails, while others wait behind it.
#[test]
fn a_request_that_has_left_holds_none_up() {
    let mut line = WaitingLine::new();
    let gone = line.join(Millis::ZERO, 0, false);
    let next = line.join(Millis(1), 2, false);
    line.leave(gone);
    line.leave(gone);
    assert!(!line.look(Millis(2), gone));
    assert!(line.look(Millis(2), next));
    line.leave(next);
    assert!(line.is_empty());
}

/// A hundred nodes see one free place, and see it taken after 100 ms.
#[test]
fn few_of_many_nodes_take_the_same_room() {
    let mut rng = StdRng::seed_from_u64(5);
    let service = service(2, 100, 40);
    let plays = 200;
    let mut taken = 0;
    for _ in 0..plays {
        let mut looks = 0..100 * 4;
        let chance = waiting_line::take_chance(&service, 2, 1);
        let takers = looks.by_ref().filter(|_| rng.random_bool(chance)).count();
        assert!(takers <= 5, "{takers}");
        taken += takers;
    }
    assert!(taken <= 2 * plays, "{taken}");
    // Room does not stay free either.
    assert!(taken * 2 >= plays, "{taken}");
}

/// Room appears while only one request waits, or is beyond what all that wait need.
#[test]
fn room_that_nobody_else_waits_for_is_taken_at_once() {
    assert_eq!(waiting_line::take_chance(&service(2, 1, 40), 2, 1), 1.0);
    assert_eq!(waiting_line::take_chance(&service(2, 4, 40), 2, 48), 1.0);
    // Less urgent requests do not compete.
    assert_eq!(waiting_line::take_chance(&service(2, 90, 40), 0, 1), 1.0);
}

/// Ten requests a second find room; the goal lets a request wait for a second.
#[test]
fn a_request_that_cannot_be_in_time_does_not_wait() {
    let max_wait_ms = waiting_line::max_wait_ms(Millis(4_000));
    let is_in_time = |service: &LevelLoads, level| {
        let expected_ms = waiting_line::expected_wait_ms(service, level);
        expected_ms.is_some_and(|expected_ms| expected_ms <= max_wait_ms)
    };
    assert!(is_in_time(&service(2, 9, 40), 2));
    assert!(!is_in_time(&service(2, 12, 40), 2));
    assert!(is_in_time(&service(2, 12, 40), 0));
    // Nothing found room lately, and others wait; or the load of other nodes is unknown.
    assert!(!is_in_time(&service(0, 1, 0), 2));
    assert!(is_in_time(&LevelLoads::default(), 2));
}
