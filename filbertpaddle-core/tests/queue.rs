//! Order, fairness and expiry of the queue.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::queue::Entry;
use filbertpaddle_core::queue::Queue;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::SlotRequest;
use filbertpaddle_core::template::Priority;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn entry(id: u64, customer: &str, priority: u8, cost_tokens: u64, arrived_ms: u64) -> Entry {
    Entry {
        ask: SlotRequest {
            id: RequestId(id),
            customer: Name::new(customer),
            template: Name::new("template"),
            priority: Priority(priority),
            weight: 1,
            prompt_tokens: 10,
            max_tokens: 1_000,
            prefix: 0,
            prefix_tokens: 0,
            digest: 0,
            arrived_ms: Millis(arrived_ms),
            deadline_ms: Millis(arrived_ms + 1_000_000),
        },
        cost_tokens,
    }
}

fn take_first(queue: &mut Queue, now: Millis) -> Option<Entry> {
    let id = queue.heads(now, 1).first().map(|entry| entry.ask.id)?;
    queue.take(now, id)
}

#[test]
fn higher_priority_goes_first() {
    let mut queue = Queue::new(5_000);
    queue.push(entry(1, "a", 0, 10, 0));
    queue.push(entry(2, "a", 3, 10, 0));
    let first = take_first(&mut queue, Millis(0)).unwrap();
    assert_eq!(first.ask.id, RequestId(2));
}

#[test]
fn waiting_lifts_low_priority() {
    let mut queue = Queue::new(1_000);
    queue.push(entry(1, "a", 0, 10, 0));
    let mut taken = Vec::new();
    for id in 2..8 {
        let now = Millis(id * 1_000);
        queue.push(entry(id, "a", 3, 10, now.0));
        taken.push(take_first(&mut queue, now).unwrap().ask.id);
    }
    assert!(taken.contains(&RequestId(1)), "starved: {taken:?}");
}

#[test]
fn order_of_arrival_ignores_customer_and_priority() {
    let mut queue = Queue::in_order();
    queue.push(entry(1, "a", 0, 10, 0));
    queue.push(entry(2, "b", 9, 10, 1));
    queue.push(entry(3, "a", 5, 10, 2));
    let ids: Vec<_> = std::iter::from_fn(|| take_first(&mut queue, Millis(3)))
        .map(|entry| entry.ask.id.0)
        .collect();
    assert_eq!(ids, [1, 2, 3]);
}

#[test]
fn expiry_returns_each_late_ask_once() {
    let mut queue = Queue::new(1_000);
    queue.push(entry(1, "a", 0, 10, 0));
    queue.push(entry(2, "b", 0, 10, 500));
    assert_eq!(queue.first_deadline_ms(), Some(Millis(1_000_000)));
    let late = queue.expire(Millis(1_000_000));
    assert_eq!(late.len(), 1);
    assert!(queue.expire(Millis(1_000_000)).is_empty());
    assert_eq!(queue.len(), 1);
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::with_cases(200)
    }
}

proptest! {
    #![proptest_config(config())]

    /// Two customers with work waiting are served alike but for one ask each.
    #[test]
    fn backlogged_customers_share_tokens(
        large in proptest::collection::vec(1_u64..2_000, 40..80),
        small in proptest::collection::vec(1_u64..2_000, 10..20),
    ) {
        let mut queue = Queue::new(1_000_000);
        for (id, cost_tokens) in large.iter().enumerate() {
            queue.push(entry(id as u64, "large", 0, *cost_tokens, 0));
        }
        for (id, cost_tokens) in small.iter().enumerate() {
            queue.push(entry(1_000 + id as u64, "small", 0, *cost_tokens, 0));
        }
        let mut served = [0_u64; 2];
        let mut waiting_small = small.len();
        for step in 0.. {
            let entry = take_first(&mut queue, Millis(step)).unwrap();
            let is_small = entry.ask.customer == "small";
            served[usize::from(is_small)] += entry.cost_tokens;
            waiting_small -= usize::from(is_small);
            if waiting_small == 0 || queue.len() == waiting_small {
                break;
            }
            prop_assert!(served[0].abs_diff(served[1]) <= 2_000, "{served:?}");
        }
    }

    /// Every ask is served within a bound, however many fresh asks of higher
    /// priority and of other customers keep coming.
    #[test]
    fn nothing_starves(
        costs in proptest::collection::vec(1_u64..500, 200),
        priorities in proptest::collection::vec(0_u8..4, 200),
        customers in proptest::collection::vec(0_usize..6, 200),
    ) {
        let mut queue = Queue::new(100);
        queue.push(entry(0, "patient", 0, 400, 0));
        let names = ["a", "b", "c", "d", "e", "f"];
        for id in 1..200 {
            let now = Millis(id * 50);
            let place = id as usize;
            queue.push(entry(id, names[customers[place]], priorities[place], costs[place], now.0));
            let taken = take_first(&mut queue, now).unwrap();
            if taken.ask.customer == "patient" {
                return Ok(());
            }
        }
        prop_assert!(false, "starved");
    }

    /// What goes in comes out once, whatever is removed or expires in between.
    #[test]
    fn nothing_is_lost_or_doubled(
        steps in proptest::collection::vec((0_u8..4, 0_u64..30, 0_u8..3), 1..120),
    ) {
        let mut queue = Queue::new(100);
        let mut inside = std::collections::BTreeSet::new();
        for (now, (kind, id, priority)) in steps.into_iter().enumerate() {
            let now = Millis(now as u64);
            match kind {
                0 | 1 if inside.insert(id) => {
                    let customer = if id % 2 == 0 { "even" } else { "odd" };
                    queue.push(entry(id, customer, priority, id + 1, now.0));
                }
                2 => prop_assert_eq!(queue.remove(RequestId(id)).is_some(), inside.remove(&id)),
                3 => {
                    if let Some(entry) = take_first(&mut queue, now) {
                        prop_assert!(inside.remove(&entry.ask.id.0));
                    }
                }
                _ => {}
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
    }
}
