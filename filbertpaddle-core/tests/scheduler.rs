//! Scheduler: target limits, memory forecast, prefix affinity, refusals and backoff.

use std::collections::BTreeMap;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::policy::Policy;
use filbertpaddle_core::policy::Settings;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::scheduler::Load;
use filbertpaddle_core::scheduler::Placement;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::Scheduler;
use filbertpaddle_core::scheduler::SlotId;
use filbertpaddle_core::scheduler::SlotRequest;
use filbertpaddle_core::scheduler::TargetView;
use filbertpaddle_core::template::Priority;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::VariantArray;

fn request(id: u64, now: Millis) -> SlotRequest {
    SlotRequest {
        id: RequestId(id),
        customer: Name::new(format!("customer-{}", id % 3)),
        template: Name::new("template"),
        priority: Priority((id % 2) as u8),
        weight: 1,
        prompt_tokens: 100,
        max_tokens: 1_000,
        prefix: 0,
        prefix_tokens: 0,
        digest: id + 1,
        parts: Vec::new(),
        arrived_ms: now,
        deadline_ms: now + Millis::from_secs(10),
    }
}

fn view(name: &str, free_slots: u32, capacity_tokens: u64) -> TargetView {
    TargetView {
        name: Name::new(name),
        free_slots,
        capacity_tokens,
        warm: true,
    }
}

fn scheduler(policy: Policy) -> Scheduler {
    Scheduler::new(Settings {
        policy,
        ..Settings::default()
    })
}

fn start(scheduler: &mut Scheduler, now: Millis, target: &str, request: SlotRequest) {
    let slot = SlotId(request.id.0);
    let target = Name::new(target);
    scheduler.record_start(now, slot, &Placement { request, target });
}

/// Records complete outputs of `tokens` tokens for the template.
fn record_outputs(scheduler: &mut Scheduler, tokens: u32) {
    for id in 0..100 {
        let slot = SlotId(1_000_000 + id);
        let mut sample = request(1_000_000 + id, Millis(0));
        sample.digest = 0;
        start(scheduler, Millis(0), "teacher", sample);
        scheduler.record_end(Millis(0), slot, tokens, Ending::Complete);
    }
}

fn place_all(scheduler: &mut Scheduler, now: Millis, views: &[TargetView]) -> usize {
    let mut count = 0;
    while let Some(placement) = scheduler.next_placement(now, views) {
        let slot = SlotId(placement.request.id.0);
        scheduler.record_start(now, slot, &placement);
        count += 1;
        assert!(count <= 1_000, "no end of placements");
    }
    count
}

#[test]
fn longer_outputs_reduce_the_batch_size() {
    let views = [view("a", 64, 8_000)];
    let counts = [20, 600].map(|tokens| {
        let mut scheduler = Scheduler::new(Settings {
            token_gap_ms: 1_000,
            ..Settings::default()
        });
        record_outputs(&mut scheduler, tokens);
        for id in 0..60 {
            let mut queued = request(id, Millis(0));
            queued.max_tokens = 700;
            queued.prompt_tokens = 10;
            scheduler.push(Millis(0), queued).unwrap();
        }
        place_all(&mut scheduler, Millis(0), &views)
    });
    assert!(counts[0] > 2 * counts[1], "{counts:?}");
    assert!(counts[1] > 3, "{counts:?}");
}

#[test]
fn work_above_the_capacity_runs_alone() {
    let mut scheduler = scheduler(Policy::Predictive);
    scheduler.push(Millis(0), request(1, Millis(0))).unwrap();
    scheduler.push(Millis(0), request(2, Millis(0))).unwrap();
    let views = [view("a", 64, 50)];
    assert_eq!(place_all(&mut scheduler, Millis(0), &views), 1);
}

#[test]
fn load_report_of_unknown_work_blocks_placement() {
    let mut scheduler = scheduler(Policy::Predictive);
    record_outputs(&mut scheduler, 20);
    start(&mut scheduler, Millis(0), "a", request(1, Millis(0)));
    for step in 1..20 {
        let load = Load {
            taken_ms: Millis(step * 100),
            used_tokens: 7_990,
            running: 30,
            waiting: 0,
            preemptions: 0,
        };
        scheduler.record_load(Millis(step * 100 + 50), &Name::new("a"), &load);
    }
    scheduler
        .push(Millis(2_000), request(2, Millis(2_000)))
        .unwrap();
    let views = [view("a", 64, 8_000)];
    assert_eq!(place_all(&mut scheduler, Millis(2_000), &views), 0);
}

#[test]
fn cached_prefix_is_preferred_at_similar_utilisation() {
    let mut scheduler = scheduler(Policy::Predictive);
    record_outputs(&mut scheduler, 20);
    let views = [view("a", 64, 100_000), view("b", 64, 100_000)];
    let with_prefix = |id| SlotRequest {
        prefix: 9,
        prefix_tokens: 64,
        ..request(id, Millis(0))
    };
    start(&mut scheduler, Millis(0), "b", with_prefix(1));
    scheduler.push(Millis(0), with_prefix(2)).unwrap();
    let placement = scheduler.next_placement(Millis(0), &views).unwrap();
    assert_eq!(placement.target, "b");
    for id in 10..200 {
        start(&mut scheduler, Millis(0), "b", request(id, Millis(0)));
    }
    scheduler.push(Millis(0), with_prefix(3)).unwrap();
    let placement = scheduler.next_placement(Millis(0), &views).unwrap();
    assert_eq!(placement.target, "a", "affinity is bounded by load");
}

#[test]
fn request_with_unreachable_deadline_is_refused_at_once() {
    let mut scheduler = scheduler(Policy::Predictive);
    let views = [view("a", 1, 0)];
    let mut refusal = None;
    for id in 0..2_000 {
        let now = Millis(id * 20);
        if let Err(refused) = scheduler.push(now, request(id, now)) {
            refusal = Some((scheduler.queued(), refused));
            break;
        }
        if id % 10 == 0
            && let Some(placement) = scheduler.next_placement(now, &views)
        {
            scheduler.record_start(now, SlotId(id), &placement);
            scheduler.record_end(now, SlotId(id), 50, Ending::Complete);
        }
    }
    let (queued, refusal) = refusal.unwrap();
    assert_eq!(refusal.reason, Reason::Overloaded);
    assert!(refusal.retry_after_ms.is_some());
    assert!(queued > 10, "refused with only {queued} queued");
}

#[test]
fn expired_requests_are_refused_and_wakeup_is_in_time() {
    let mut scheduler = scheduler(Policy::Predictive);
    assert_eq!(scheduler.next_wake(Millis(0)), None);
    scheduler.push(Millis(0), request(1, Millis(0))).unwrap();
    assert!(scheduler.next_wake(Millis(0)).unwrap() <= Millis::from_secs(10));
    assert!(scheduler.take_refusals(Millis(9_999)).is_empty());
    let refused = scheduler.take_refusals(Millis(10_000));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].reason, Reason::Deadline);
    assert!(
        scheduler
            .next_placement(Millis(10_000), &[view("a", 1, 0)])
            .is_none()
    );
}

#[test]
fn target_that_refused_work_is_in_backoff() {
    let mut scheduler = scheduler(Policy::LeastConnections);
    let views = [view("a", 1, 0), view("b", 1, 0)];
    scheduler.push(Millis(0), request(1, Millis(0))).unwrap();
    let placement = scheduler.next_placement(Millis(0), &views).unwrap();
    assert_eq!(placement.target, "a");
    scheduler.record_start(Millis(0), SlotId(1), &placement);
    scheduler.record_end(Millis(5), SlotId(1), 0, Ending::Refused);
    scheduler.push(Millis(10), request(2, Millis(10))).unwrap();
    let placement = scheduler.next_placement(Millis(10), &views).unwrap();
    assert_eq!(placement.target, "b");
    scheduler
        .push(Millis(2_000), request(3, Millis(2_000)))
        .unwrap();
    let placement = scheduler.next_placement(Millis(2_000), &views).unwrap();
    assert_eq!(placement.target, "a");
}

/// Load pattern: a VM loses its links to all targets, and each of its requests fails to connect to
/// one after the other. The other VMs would lose the targets as well.
#[test]
fn a_vm_that_cannot_connect_puts_no_target_into_backoff_that_reports_to_the_owner() {
    for has_reported in [true, false] {
        let mut scheduler = scheduler(Policy::LeastConnections);
        let views = [view("a", 1, 0), view("b", 1, 0)];
        scheduler.push(Millis(0), request(1, Millis(0))).unwrap();
        let placement = scheduler.next_placement(Millis(0), &views).unwrap();
        assert_eq!(placement.target, "a");
        scheduler.record_start(Millis(0), SlotId(1), &placement);
        if has_reported {
            let load = Load {
                taken_ms: Millis(3),
                used_tokens: 0,
                running: 0,
                waiting: 0,
                preemptions: 0,
            };
            scheduler.record_load(Millis(3), &placement.target, &load);
        }
        scheduler.record_end(Millis(5), SlotId(1), 0, Ending::Unreached);
        scheduler.push(Millis(10), request(2, Millis(10))).unwrap();
        let placement = scheduler.next_placement(Millis(10), &views).unwrap();
        assert_eq!(placement.target == "a", has_reported);
    }
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

    /// No target gets more work than it has free slots, and each request is counted
    /// exactly once as placed, refused or queued.
    #[test]
    fn limits_hold_and_no_request_is_lost(
        policy in proptest::sample::select(Policy::VARIANTS),
        limits in proptest::collection::vec(0_u32..5, 1..5),
        capacity_tokens in proptest::sample::select(vec![0_u64, 500, 5_000, 50_000]),
        steps in proptest::collection::vec((0_u8..4, 1_u32..900, 1_u64..2_000), 1..80),
    ) {
        let mut scheduler = scheduler(policy);
        let names: Vec<_> = (0..limits.len()).map(|t| format!("target-{t}")).collect();
        let mut running: BTreeMap<u64, usize> = BTreeMap::new();
        let (mut now, mut pushed, mut placed, mut refused) = (Millis(0), 0_u64, 0, 0);
        for (kind, tokens, wait_ms) in steps {
            now = now + Millis(wait_ms);
            match kind {
                0 | 1 => {
                    pushed += 1;
                    refused += usize::from(scheduler.push(now, request(pushed, now)).is_err());
                }
                2 => {
                    if let Some((slot, _)) = running.pop_first() {
                        scheduler.record_end(now, SlotId(slot), tokens, Ending::Complete);
                    }
                }
                _ => refused += scheduler.take_refusals(now).len(),
            }
            loop {
                let views: Vec<_> = names.iter().zip(&limits).enumerate()
                    .map(|(target, (name, limit))| {
                        let used = running.values().filter(|t| **t == target).count() as u32;
                        prop_assert!(used <= *limit);
                        Ok(view(name, limit - used, capacity_tokens))
                    })
                    .collect::<Result<_, _>>()?;
                let Some(placement) = scheduler.next_placement(now, &views) else { break };
                prop_assert!(placement.request.deadline_ms > now);
                let slot = SlotId(placement.request.id.0);
                scheduler.record_start(now, slot, &placement);
                let target = names.iter().position(|name| placement.target == *name);
                prop_assert!(running.insert(slot.0, target.unwrap()).is_none());
                placed += 1;
            }
        }
        prop_assert_eq!(pushed as usize, placed + refused + scheduler.queued());
    }
}
