//! Benchmarks of the scheduling decisions that a pool's owner makes for each request.

use std::hint::black_box;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::output_length::OutputLengths;
use filbertpaddle_core::policy::Policy;
use filbertpaddle_core::policy::Settings;
use filbertpaddle_core::queue::Entry;
use filbertpaddle_core::queue::Queue;
use filbertpaddle_core::scheduler::Placement;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::Scheduler;
use filbertpaddle_core::scheduler::SlotId;
use filbertpaddle_core::scheduler::SlotRequest;
use filbertpaddle_core::scheduler::TargetView;
use filbertpaddle_core::template::Priority;

const BATCH_SIZE: u64 = 30;
const CUSTOMERS: u64 = 400;

fn request(id: u64, now: Millis) -> SlotRequest {
    SlotRequest {
        id: RequestId(id),
        customer: Name::new(format!("customer-{}", id % CUSTOMERS)),
        template: Name::new(format!("template-{}", id % CUSTOMERS)),
        priority: Priority((id % 3) as u8),
        weight: 1,
        prompt_tokens: 300,
        max_tokens: 8_192,
        prefix: id % 50 + 1,
        prefix_tokens: 256,
        digest: id + 1,
        parts: Vec::new(),
        arrived_ms: now,
        deadline_ms: now + Millis::from_secs(600),
    }
}

fn views(targets: u64, capacity_tokens: u64) -> Vec<TargetView> {
    (0..targets)
        .map(|target| TargetView {
            name: Name::new(format!("target-{target}")),
            free_slots: 10,
            capacity_tokens,
            warm: true,
        })
        .collect()
}

fn loaded_scheduler(policy: Policy, views: &[TargetView]) -> Scheduler {
    let settings = Settings {
        policy,
        ..Settings::default()
    };
    let mut scheduler = Scheduler::new(settings);
    for (index, view) in views.iter().enumerate() {
        for attempt in 0..BATCH_SIZE {
            let id = index as u64 * BATCH_SIZE + attempt;
            let placement = Placement {
                request: request(id, Millis(0)),
                target: view.name.clone(),
            };
            scheduler.record_start(Millis(0), SlotId(id), &placement);
        }
    }
    scheduler
}

/// Queues and places one request per millisecond of simulated time.
fn placement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for targets in [16, 64, 256, 1_000] {
        for policy in [Policy::LeastConnections, Policy::Predictive] {
            let views = views(targets, 10_000_000);
            let mut scheduler = loaded_scheduler(policy, &views);
            let mut now = Millis(1_000);
            let mut id = 10_000_000;
            let name = BenchmarkId::new(policy.to_string(), targets);
            group.bench_function(name, |bencher| {
                bencher.iter(|| {
                    id += 1;
                    now = now + Millis(1);
                    scheduler.push(now, request(id, now)).ok();
                    black_box(scheduler.next_placement(now, &views))
                });
            });
        }
    }
    group.finish();
}

/// Tries to place queued requests of many customers while no target has room.
fn full_pool(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("full");
    for targets in [16, 64, 256, 1_000] {
        let views = views(targets, 10_000);
        let mut scheduler = loaded_scheduler(Policy::Predictive, &views);
        let mut now = Millis(1_000);
        for id in 0..2_000 {
            scheduler.push(now, request(10_000_000 + id, now)).ok();
        }
        group.bench_function(BenchmarkId::from_parameter(targets), |bencher| {
            bencher.iter(|| {
                now = now + Millis(1);
                black_box(scheduler.next_placement(now, &views))
            });
        });
    }
    group.finish();
}

/// Queues a request behind others and takes the first one.
fn queue(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for length in [100, 1_000, 10_000] {
        let mut queue = Queue::new(5_000);
        let entry = |id| Entry {
            request: request(id, Millis(id)),
            cost_tokens: 300 + id % 500,
        };
        (0..length).for_each(|id| queue.push(entry(id)));
        let mut id = length;
        group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
            bencher.iter(|| {
                id += 1;
                queue.push(entry(id));
                let first = queue.heads(Millis(id), 1).first().map(|e| e.request.id);
                first.and_then(|first| queue.take(Millis(id), first))
            });
        });
    }
    group.finish();
}

/// Records one output length.
fn output_length(criterion: &mut Criterion) {
    let template = Name::new("template");
    criterion.bench_function("length", |bencher| {
        bencher.iter_batched_ref(
            OutputLengths::new,
            |lengths| lengths.record_complete(&template, black_box(700)),
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, placement, full_pool, queue, output_length);
criterion_main!(benches);
