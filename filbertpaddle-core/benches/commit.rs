//! Transactions of one data centre at the target size, by nodes per committer.
//!
//! Simulates 62 nodes, their committers and a platform with a fixed commit
//! latency. The output is the same in every run.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use filbertpaddle_core::attempt::Decision;
use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::StoredAnswer;
use filbertpaddle_core::claims;
use filbertpaddle_core::claims::Claims;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::commit;
use filbertpaddle_core::commit::ChangeSet;
use filbertpaddle_core::commit::Committer;
use filbertpaddle_core::group_commit;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 4;
const NODES: usize = 62;
const DATA_CENTRES: f64 = 12.0;
/// One in twenty of 42,000 requests per second over 740 nodes, for the simulated nodes.
const CLAIMS_PER_SEC: f64 = 42_000.0 / 20.0 / 740.0 * NODES as f64;
const SIMULATED_MS: u64 = 60_000;
const COMMIT_MS: u64 = 10;
const LINK_MS: u64 = 1;
const REQUEST_MS: u64 = 100;
const MS_PER_SECOND: f64 = 1_000.0;
/// Encoded size of one change, as printed by the claim tests of `filbertpaddle-wire`.
const CHANGE_BYTES: f64 = 171.0;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Scheduled {
    Arrival(usize, usize),
    Finish(usize, usize),
    Tick(usize),
    Answer(usize, u64),
    Submit(usize, usize, u64, usize),
    Commit(usize),
    CommitterTick(usize),
}

struct Simulation {
    names: Vec<Name>,
    committer_index: Vec<usize>,
    nodes: Vec<Claims>,
    committers: Vec<Committer>,
    change_sets: Vec<Vec<Change>>,
    events: BinaryHeap<Reverse<(u64, u64, Scheduled)>>,
    sequence: u64,
    transactions: u64,
    changes_received: BTreeMap<usize, u64>,
    started_ms: Vec<u64>,
    waits_ms: Vec<u64>,
}

impl Simulation {
    fn new(nodes_per_committer: usize, pace_ms: u64) -> Self {
        let names: Vec<Name> = (0..NODES).map(|n| format!("entry-{n}").into()).collect();
        let index = |name: &Name| names.iter().position(|other| other == name).unwrap_or(0);
        let committer_index = names
            .iter()
            .map(|own| index(&commit::choose(own, &names, nodes_per_committer)))
            .collect();
        let mut settings = claims::Settings::default();
        settings.group_commit.pace_ms = Millis(pace_ms);
        let committer = Committer::new(commit::Settings {
            pace_ms: Millis(pace_ms),
            ..commit::Settings::default()
        });
        Self {
            nodes: names
                .iter()
                .map(|name| Claims::new(name.clone(), 1, settings))
                .collect(),
            committers: vec![committer; NODES],
            names,
            committer_index,
            change_sets: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            transactions: 0,
            changes_received: BTreeMap::new(),
            started_ms: Vec::new(),
            waits_ms: Vec::new(),
        }
    }

    fn schedule_arrivals(&mut self) {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut at_ms = 0.0;
        while at_ms < SIMULATED_MS as f64 {
            let unit: f64 = rng.random();
            at_ms += -(1.0 - unit).ln() * MS_PER_SECOND / CLAIMS_PER_SEC;
            let node = rng.random_range(0..NODES);
            self.schedule(
                at_ms as u64,
                Scheduled::Arrival(node, self.started_ms.len()),
            );
            self.started_ms.push(at_ms as u64);
        }
    }

    fn schedule(&mut self, at_ms: u64, scheduled: Scheduled) {
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, scheduled)));
    }

    fn run(&mut self) {
        while let Some(Reverse((now, _, scheduled))) = self.events.pop() {
            match scheduled {
                Scheduled::Arrival(node, number) => self.run_node(now, node, claim(number)),
                Scheduled::Finish(node, number) => self.run_node(now, node, finish(number)),
                Scheduled::Tick(node) => self.run_node(now, node, claims::Event::Tick),
                Scheduled::Answer(node, revision) => {
                    let result = group_commit::TransactionResult::Committed { revision };
                    self.run_node(now, node, claims::Event::TransactionDone(result));
                }
                Scheduled::Submit(committer, node, sequence, index) => {
                    let change_set = ChangeSet {
                        from: self.names[node].clone(),
                        sequence,
                        changes: std::mem::take(&mut self.change_sets[index]),
                    };
                    self.run_committer(now, committer, commit::Event::Submit(change_set));
                }
                Scheduled::Commit(committer) => {
                    let revision = self.transactions;
                    let result = group_commit::TransactionResult::Committed { revision };
                    self.run_committer(now, committer, commit::Event::TransactionDone(result));
                }
                Scheduled::CommitterTick(committer) => {
                    self.run_committer(now, committer, commit::Event::Tick);
                }
            }
        }
    }

    fn run_node(&mut self, now: u64, node: usize, event: claims::Event) {
        for action in self.nodes[node].on(Millis(now), event) {
            match action {
                claims::Action::Transact(changes) => self.submit(now, node, changes),
                claims::Action::Decide {
                    attempt,
                    decision: Decision::Held,
                } => {
                    let number: usize = attempt.parse().unwrap_or_default();
                    self.waits_ms.push(now - self.started_ms[number]);
                    self.schedule(now + REQUEST_MS, Scheduled::Finish(node, number));
                }
                action => unreachable!("{action:?}"),
            }
        }
        if let Some(at) = self.nodes[node].next_tick().filter(|at| at.0 > now) {
            self.schedule(at.0, Scheduled::Tick(node));
        }
    }

    fn submit(&mut self, now: u64, node: usize, changes: Vec<Change>) {
        let committer = self.committer_index[node];
        if committer != node {
            *self.changes_received.entry(committer).or_default() += changes.len() as u64;
        }
        self.change_sets.push(changes);
        let index = self.change_sets.len() - 1;
        let at_ms = now + link_ms(node, committer);
        self.schedule(
            at_ms,
            Scheduled::Submit(committer, node, self.sequence, index),
        );
    }

    fn run_committer(&mut self, now: u64, committer: usize, event: commit::Event) {
        for action in self.committers[committer].on(Millis(now), event) {
            match action {
                commit::Action::Transact(_) => {
                    self.transactions += 1;
                    self.schedule(now + COMMIT_MS, Scheduled::Commit(committer));
                }
                commit::Action::Reply { to, result, .. } => {
                    assert!(matches!(
                        result,
                        group_commit::TransactionResult::Committed { .. }
                    ));
                    let node = self.names.iter().position(|name| *name == to);
                    let node = node.unwrap_or_default();
                    let at_ms = now + link_ms(node, committer);
                    self.schedule(at_ms, Scheduled::Answer(node, self.transactions));
                }
            }
        }
        let next = self.committers[committer].next_tick();
        if let Some(at) = next.filter(|at| at.0 > now) {
            self.schedule(at.0, Scheduled::CommitterTick(committer));
        }
    }
}

fn link_ms(node: usize, committer: usize) -> u64 {
    if node == committer { 0 } else { LINK_MS }
}

fn claim(number: usize) -> claims::Event {
    let name: Name = number.to_string().into();
    claims::Event::Claim(claims::Request {
        id: Id {
            customer: "customer".into(),
            key: name.clone(),
        },
        attempt: name,
        digest: "digest".into(),
        now_unix_ms: Millis::ZERO,
    })
}

fn finish(number: usize) -> claims::Event {
    claims::Event::Finish {
        attempt: number.to_string().into(),
        final_result: FinalResult {
            outcome: Outcome::Complete { tokens: 1 },
            answer: StoredAnswer::Inline("done".into()),
        },
    }
}

fn print_row(nodes_per_committer: usize, pace_ms: u64) {
    let mut simulation = Simulation::new(nodes_per_committer, pace_ms);
    simulation.schedule_arrivals();
    simulation.run();
    let seconds = SIMULATED_MS as f64 / MS_PER_SECOND;
    let per_sec = simulation.transactions as f64 / seconds;
    let waits = &mut simulation.waits_ms;
    waits.sort_unstable();
    let quantile = |q: f64| waits[((waits.len() - 1) as f64 * q) as usize];
    let max_received = simulation
        .changes_received
        .values()
        .max()
        .copied()
        .unwrap_or(0);
    println!(
        "{nodes_per_committer:5} | {pace_ms:4} | {per_sec:8.1} | {:8.0} | {:6.1} | {:5} ms | {:5} ms",
        per_sec * DATA_CENTRES,
        max_received as f64 * CHANGE_BYTES / seconds / 1_000.0,
        quantile(0.50),
        quantile(0.99),
    );
}

fn main() {
    println!("seed {SEED}, {SIMULATED_MS} ms, {NODES} nodes, {CLAIMS_PER_SEC:.0} claims/s in all");
    println!("nodes | pace | one dc/s | 12 dcs/s | KB/s in | wait p50 | wait p99");
    for (nodes_per_committer, pace_ms) in [
        (1, 20),
        (8, 20),
        (8, 200),
        (8, 300),
        (16, 100),
        (16, 200),
        (62, 100),
    ] {
        print_row(nodes_per_committer, pace_ms);
    }
}
