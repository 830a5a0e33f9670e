//! Order, fairness and expiry of the slot request queue.

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
        request: SlotRequest {
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
            parts: Vec::new(),
            arrived_ms: Millis(arrived_ms),
            deadline_ms: Millis(arrived_ms + 1_000_000),
        },
        cost_tokens,
    }
}

fn take_head(queue: &mut Queue, now: Millis) -> Option<Entry> {
    let id = queue.heads(now, 1).first().map(|entry| entry.request.id)?;
    queue.take(now, id)
}

#[test]
fn higher_priority_goes_first() {
    let mut queue = Queue::new(5_000);
    queue.push(entry(1, "a", 0, 10, 0));
    queue.push(entry(2, "a", 3, 10, 0));
    let first = take_head(&mut queue, Millis(0)).unwrap();
    assert_eq!(first.request.id, RequestId(2));
}

#[test]
fn ageing_raises_low_priority() {
    let mut queue = Queue::new(1_000);
    queue.push(entry(1, "a", 0, 10, 0));
    let mut taken = Vec::new();
    for id in 2..8 {
        let now = Millis(id * 1_000);
        queue.push(entry(id, "a", 3, 10, now.0));
        taken.push(take_head(&mut queue, now).unwrap().request.id);
    }
    assert!(taken.contains(&RequestId(1)), "starved: {taken:?}");
}

#[test]
fn fifo_ignores_customer_and_priority() {
    let mut queue = Queue::fifo();
    queue.push(entry(1, "a", 0, 10, 0));
    queue.push(entry(2, "b", 9, 10, 1));
    queue.push(entry(3, "a", 5, 10, 2));
    let ids: Vec<_> = std::iter::from_fn(|| take_head(&mut queue, Millis(3)))
        .map(|entry| entry.request.id.0)
        .collect();
    assert_eq!(ids, [1, 2, 3]);
}

#[test]
fn expiry_returns_each_request_once() {
    let mut queue = Queue::new(1_000);
    queue.push(entry(1, "a", 0, 10, 0));
    queue.push(entry(2, "b", 0, 10, 500));
    assert_eq!(queue.earliest_deadline_ms(), Some(Millis(1_000_000)));
    let expired = queue.expire(Millis(1_000_000));
    assert_eq!(expired.len(), 1);
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

    /// Two customers with queued work get the same number of tokens, up to the
    /// cost of one request.
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
            let entry = take_head(&mut queue, Millis(step)).unwrap();
            let is_small = entry.request.customer == "small";
            served[usize::from(is_small)] += entry.cost_tokens;
            waiting_small -= usize::from(is_small);
            if waiting_small == 0 || queue.len() == waiting_small {
                break;
            }
            prop_assert!(served[0].abs_diff(served[1]) <= 2_000, "{served:?}");
        }
    }

    /// A request is served within a bound although requests of higher priority and
    /// of other customers keep arriving.
    #[test]
    fn no_request_starves(
        costs in proptest::collection::vec(1_u64..500, 200),
        priorities in proptest::collection::vec(0_u8..4, 200),
        customers in proptest::collection::vec(0_usize..6, 200),
    ) {
        let mut queue = Queue::new(100);
        queue.push(entry(0, "waiting", 0, 400, 0));
        let names = ["a", "b", "c", "d", "e", "f"];
        for id in 1..200 {
            let now = Millis(id * 50);
            let index = id as usize;
            queue.push(entry(id, names[customers[index]], priorities[index], costs[index], now.0));
            let taken = take_head(&mut queue, now).unwrap();
            if taken.request.customer == "waiting" {
                return Ok(());
            }
        }
        prop_assert!(false, "starved");
    }

    /// Each queued request leaves the queue exactly once, by removal or by being
    /// taken.
    #[test]
    fn no_request_is_lost_or_duplicated(
        steps in proptest::collection::vec((0_u8..4, 0_u64..30, 0_u8..3), 1..120),
    ) {
        let mut queue = Queue::new(100);
        let mut queued = std::collections::BTreeSet::new();
        for (now, (kind, id, priority)) in steps.into_iter().enumerate() {
            let now = Millis(now as u64);
            match kind {
                0 | 1 if queued.insert(id) => {
                    let customer = if id % 2 == 0 { "even" } else { "odd" };
                    queue.push(entry(id, customer, priority, id + 1, now.0));
                }
                2 => prop_assert_eq!(queue.remove(RequestId(id)).is_some(), queued.remove(&id)),
                3 => {
                    if let Some(entry) = take_head(&mut queue, now) {
                        prop_assert!(queued.remove(&entry.request.id.0));
                    }
                }
                _ => {}
            }
            prop_assert_eq!(queue.len(), queued.len());
        }
    }
}
