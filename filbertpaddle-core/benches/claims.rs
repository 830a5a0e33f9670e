//! Cost of claims: transactions per request, and CPU time.
//!
//! The first part simulates one node and a platform with a fixed commit latency,
//! and prints transactions and waits. Its output is the same in every run.

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
const REQUEST_MS: u64 = 100;
const MS_PER_SECOND: f64 = 1_000.0;

/// Simulates the claims of one node and a platform that commits after [`COMMIT_MS`].
struct Simulation {
    claims: Claims,
    events: BinaryHeap<Reverse<(u64, u64, Scheduled)>>,
    sequence: u64,
    transactions: u64,
    rows: u64,
    max_transaction_rows: usize,
    waits_ms: Vec<u64>,
    started_ms: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
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
            max_transaction_rows: 0,
            waits_ms: Vec::new(),
            started_ms: Vec::new(),
        }
    }

    /// Schedules arrivals with exponentially distributed gaps.
    fn schedule_arrivals(&mut self, per_sec: f64) {
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
            self.schedule(at_ms as u64, Scheduled::Arrival(number));
        }
    }

    fn schedule(&mut self, at_ms: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, scheduled)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now_ms, _, scheduled))) = self.events.pop() {
            let event = match scheduled {
                Scheduled::Arrival(number) => Event::Claim(request(number)),
                Scheduled::Commit => {
                    Event::TransactionDone(group_commit::TransactionResult::Committed {
                        revision: self.transactions,
                    })
                }
                Scheduled::Finish(number) => finish(number),
                Scheduled::Tick => Event::Tick,
            };
            for action in self.claims.on(Millis(now_ms), event) {
                self.perform(now_ms, action);
            }
            if let Some(at) = self.claims.next_tick().filter(|at| at.0 > now_ms) {
                self.schedule(at.0, Scheduled::Tick);
            }
        }
    }

    fn perform(&mut self, now_ms: u64, action: Action) {
        match action {
            Action::Transact(changes) => {
                self.transactions += 1;
                self.rows += changes.len() as u64;
                self.max_transaction_rows = self.max_transaction_rows.max(changes.len());
                self.schedule(now_ms + COMMIT_MS, Scheduled::Commit);
            }
            Action::Decide {
                attempt,
                decision: Decision::Held,
            } => {
                let number: usize = attempt.parse().unwrap_or_default();
                self.waits_ms.push(now_ms - self.started_ms[number]);
                self.schedule(now_ms + REQUEST_MS, Scheduled::Finish(number));
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

/// Prints the number of transactions and its ratio to two writes per request.
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
    simulation.schedule_arrivals(per_sec);
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
        simulation.max_transaction_rows,
        quantile(0.50),
        quantile(0.99),
    );
}

/// Claims and finishes `count` requests in two transactions.
fn claim_and_finish(claims: &mut Claims, count: usize) {
    let now = Millis::ZERO;
    for number in 0..count {
        black_box(claims.on(now, Event::Claim(request(number))));
    }
    while !commit(claims) {}
    for number in 0..count {
        black_box(claims.on(now, finish(number)));
    }
    while !commit(claims) {}
}

/// Commits the transaction in flight; returns whether no other one starts.
fn commit(claims: &mut Claims) -> bool {
    let committed =
        Event::TransactionDone(group_commit::TransactionResult::Committed { revision: 1 });
    let actions = claims.on(Millis::ZERO, committed);
    !actions
        .iter()
        .any(|action| matches!(action, Action::Transact(_)))
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claim and finish");
    for count in [1, 16, 128] {
        group.throughput(Throughput::Elements(count as u64));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            let mut settings = Settings::default();
            settings.group_commit.pace_ms = Millis::ZERO;
            let mut claims = Claims::new("node".into(), 1, settings);
            bencher.iter(|| claim_and_finish(&mut claims, count));
        });
    }
    group.finish();
}

fn main() {
    print_transactions();
    let mut criterion = Criterion::default().configure_from_args();
    bench(&mut criterion);
    criterion.final_summary();
}
