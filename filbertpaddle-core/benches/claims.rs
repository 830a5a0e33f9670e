//! Cost of claims: transactions for each request, and processor time.
//!
//! The first part runs the core against a platform with a fixed answer time
//! and prints transactions and waits; it is the same in every run.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use filbertpaddle_core::attempt::Decision;
use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::StoredAnswer;
use filbertpaddle_core::claims::Action;
use filbertpaddle_core::claims::Claims;
use filbertpaddle_core::claims::Event;
use filbertpaddle_core::claims::Request;
use filbertpaddle_core::claims::Settings;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::group_commit;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 4;
const SIMULATED_MS: u64 = 60_000;
const COMMIT_MS: u64 = 10;
const RUN_MS: u64 = 100;
const MS_PER_SECOND: f64 = 1_000.0;

/// One node's claims before a platform that answers after [`COMMIT_MS`].
struct Simulation {
    claims: Claims,
    events: BinaryHeap<Reverse<(u64, u64, Due)>>,
    sequence: u64,
    transactions: u64,
    rows: u64,
    largest: usize,
    waits_ms: Vec<u64>,
    started_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival(usize),
    Commit,
    Finish(usize),
    Tick,
}

impl Simulation {
    fn new(settings: Settings) -> Self {
        Self {
            claims: Claims::new("node".into(), 1, settings),
            events: BinaryHeap::new(),
            sequence: 0,
            transactions: 0,
            rows: 0,
            largest: 0,
            waits_ms: Vec::new(),
            started_ms: Vec::new(),
        }
    }

    /// Adds arrivals with exponential gaps.
    fn arrive(&mut self, per_sec: f64) {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut at_ms = 0.0;
        loop {
            let unit: f64 = rng.random();
            at_ms += -(1.0 - unit).ln() * MS_PER_SECOND / per_sec;
            if at_ms >= SIMULATED_MS as f64 {
                return;
            }
            let number = self.started_ms.len();
            self.started_ms.push(at_ms as u64);
            self.push(at_ms as u64, Due::Arrival(number));
        }
    }

    fn push(&mut self, at_ms: u64, due: Due) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, due)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now_ms, _, due))) = self.events.pop() {
            let event = match due {
                Due::Arrival(number) => Event::Claim(request(number)),
                Due::Commit => Event::TransactionDone(group_commit::TransactionResult::Committed {
                    revision: self.transactions,
                }),
                Due::Finish(number) => finish(number),
                Due::Tick => Event::Tick,
            };
            for action in self.claims.on(Millis(now_ms), event) {
                self.perform(now_ms, action);
            }
            if let Some(at) = self.claims.next_tick().filter(|at| at.0 > now_ms) {
                self.push(at.0, Due::Tick);
            }
        }
    }

    fn perform(&mut self, now_ms: u64, action: Action) {
        match action {
            Action::Transact(changes) => {
                self.transactions += 1;
                self.rows += changes.len() as u64;
                self.largest = self.largest.max(changes.len());
                self.push(now_ms + COMMIT_MS, Due::Commit);
            }
            Action::Decide {
                attempt,
                decision: Decision::Held,
            } => {
                let number: usize = attempt.parse().unwrap_or_default();
                self.waits_ms.push(now_ms - self.started_ms[number]);
                self.push(now_ms + RUN_MS, Due::Finish(number));
            }
            action => unreachable!("{action:?}"),
        }
    }
}

fn request(number: usize) -> Request {
    let name: Name = number.to_string().into();
    Request {
        id: Id {
            customer: "customer".into(),
            key: name.clone(),
        },
        attempt: name,
        digest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef".into(),
        now_unix_ms: Millis::ZERO,
    }
}

fn finish(number: usize) -> Event {
    Event::Finish {
        attempt: number.to_string().into(),
        final_result: FinalResult {
            outcome: Outcome::Complete { tokens: 1 },
            answer: StoredAnswer::Inline("done".into()),
        },
    }
}

/// Prints transactions for each request against two writes each.
fn print_transactions() {
    println!("seed {SEED}, {SIMULATED_MS} ms, commit {COMMIT_MS} ms, each request claims and ends");
    println!("requests/s | pace ms | transactions/s | of 2 each | largest | wait p50 | wait p99");
    for pace_ms in [0, 20, 100] {
        for per_sec in [1.0, 10.0, 60.0, 600.0, 3_000.0] {
            print_row(pace_ms, per_sec);
        }
    }
}

fn print_row(pace_ms: u64, per_sec: f64) {
    let mut settings = Settings::default();
    settings.group_commit.pace_ms = Millis(pace_ms);
    let mut simulation = Simulation::new(settings);
    simulation.arrive(per_sec);
    simulation.run();
    let requests = simulation.started_ms.len() as f64;
    let seconds = SIMULATED_MS as f64 / MS_PER_SECOND;
    simulation.waits_ms.sort_unstable();
    let waits = &simulation.waits_ms;
    let quantile = |q: f64| waits[((waits.len() - 1) as f64 * q) as usize];
    println!(
        "{per_sec:10} | {pace_ms:7} | {:14.1} | {:8.1}% | {:7} | {:5} ms | {:5} ms",
        simulation.transactions as f64 / seconds,
        100.0 * simulation.transactions as f64 / (2.0 * requests),
        simulation.largest,
        quantile(0.50),
        quantile(0.99),
    );
}

/// Claims and ends `count` requests in two transactions.
fn round(claims: &mut Claims, count: usize) {
    let now = Millis::ZERO;
    for number in 0..count {
        black_box(claims.on(now, Event::Claim(request(number))));
    }
    while !settle(claims) {}
    for number in 0..count {
        black_box(claims.on(now, finish(number)));
    }
    while !settle(claims) {}
}

/// Commits the transaction in flight; returns whether none followed.
fn settle(claims: &mut Claims) -> bool {
    let committed =
        Event::TransactionDone(group_commit::TransactionResult::Committed { revision: 1 });
    let actions = claims.on(Millis::ZERO, committed);
    !actions
        .iter()
        .any(|action| matches!(action, Action::Transact(_)))
}

fn time(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claim and finish");
    for count in [1, 16, 128] {
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            let mut settings = Settings::default();
            settings.group_commit.pace_ms = Millis::ZERO;
            let mut claims = Claims::new("node".into(), 1, settings);
            bencher.iter(|| round(&mut claims, count));
        });
    }
    group.finish();
}

fn main() {
    print_transactions();
    let mut criterion = Criterion::default().configure_from_args();
    time(&mut criterion);
    criterion.final_summary();
}
