//! Benchmarks of the configuration replica: changes, page transfers and pull requests.

use std::hint::black_box;

use criterion::BatchSize;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::gossip::Event;
use filbertpaddle_core::gossip::Message;
use filbertpaddle_core::relay::Member;
use filbertpaddle_core::replica::Replica;
use filbertpaddle_core::replica::TransferProgress;
use filbertpaddle_core::replicator::Replicator;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template::Template;

/// Number of templates in the replica.
const TEMPLATES: u64 = 10_000;
/// Number of members of the data centre.
const MEMBERS: usize = 62;
/// Number of changes per iteration.
const CHANGES: u64 = 100;

fn template() -> Template {
    Template {
        model: "drafting-large".into(),
        version: "2026-11".into(),
        adapter: None,
        work: Default::default(),
        delivery: Default::default(),
        priority: Default::default(),
        idempotent: true,
        prompt: "Draft an end-of-term summary for this pupil.".to_owned(),
        parameters: vec!["pupil".into(), "term".into()],
        max_tokens: 4_096,
        max_wait_ms: Millis::from_secs(30),
        weight: 1,
    }
}

fn change(revision: u64) -> Change {
    Change {
        revision: Revision(revision),
        id: ChangeId(revision),
        by: "operator".into(),
        at_ms: Millis(revision),
        setting: Setting::Template {
            customer: format!("school-{}", revision % 100).into(),
            name: format!("template-{}", revision % TEMPLATES).into(),
            template: Box::new(template()),
        },
    }
}

fn full_replica() -> Replica {
    let mut replica = Replica::default();
    (1..=TEMPLATES).for_each(|revision| {
        replica.apply(&change(revision));
    });
    replica
}

fn replicator() -> Replicator {
    let member = |index: usize| Member {
        node: format!("entry-{index}").into(),
        data_centre: "north".into(),
    };
    let mut replicator = Replicator::new(member(0));
    let members = (0..MEMBERS).map(member).collect();
    replicator.on(Millis::ZERO, Event::Members(members));
    replicator
}

fn changes(c: &mut Criterion) {
    let replica = full_replica();
    let next: Vec<_> = (1..=CHANGES)
        .map(|offset| change(TEMPLATES + offset))
        .collect();
    let mut group = c.benchmark_group("changes");
    group.throughput(Throughput::Elements(CHANGES));
    group.bench_function("apply", |b| {
        b.iter_batched_ref(
            || replica.clone(),
            |replica| next.iter().filter(|change| replica.apply(change)).count(),
            BatchSize::LargeInput,
        );
    });
    let pushes: Vec<_> = (1..=CHANGES).map(change).collect();
    group.bench_function("push", |b| {
        b.iter_batched_ref(
            replicator,
            |replicator| {
                for change in &pushes {
                    let message = Message::Push(change.clone());
                    let from = "entry-1".into();
                    let event = Event::Message { from, message };
                    black_box(replicator.on(Millis(1), event));
                }
            },
            BatchSize::LargeInput,
        );
    });
    group.finish();
}

fn transfer(c: &mut Criterion) {
    let replica = full_replica();
    let mut group = c.benchmark_group("transfer");
    group.throughput(Throughput::Elements(TEMPLATES));
    group.sample_size(10);
    group.bench_function("pages", |b| {
        b.iter(|| {
            let mut receiver = Replica::default();
            let mut progress = TransferProgress::default();
            let mut after = None;
            loop {
                let page = replica.page(after.as_ref());
                receiver.apply_page(&mut progress, &page);
                if page.last {
                    return receiver.head();
                }
                after = page.changes.last().map(|change| change.setting.key());
            }
        });
    });
    group.finish();
}

fn pull(c: &mut Criterion) {
    let mut replicator = replicator();
    (1..=TEMPLATES).for_each(|revision| {
        let event = Event::Accepted(change(revision));
        replicator.on(Millis(1), event);
    });
    c.bench_function("ask", |b| {
        b.iter(|| {
            let message = Message::PullRequest {
                seq: 1,
                head: Revision(TEMPLATES),
                age_ms: Some(Millis(1)),
            };
            let from = "entry-1".into();
            black_box(replicator.on(Millis(2), Event::Message { from, message }))
        });
    });
}

criterion_group!(benches, changes, transfer, pull);
criterion_main!(benches);
