//! Nodes, targets and a store around the decisions, in a loop with constant delays.

use std::collections::BTreeMap;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_counts::CountsChange;
use filbertpaddle_forward::rollout_counts::Outcome;
use filbertpaddle_forward::rollout_record::RolloutLimits;
use filbertpaddle_forward::rollout_record::RolloutOrder;
use filbertpaddle_forward::rollout_record::RolloutRecord;
use filbertpaddle_forward::rollout_record::RolloutState;
use filbertpaddle_forward::rollout_split::NewTarget;
use filbertpaddle_forward::rollout_split::VersionCount;
use filbertpaddle_forward::rollout_stage::StepInputs;
use filbertpaddle_forward::rollouts::CountsCursor;
use filbertpaddle_forward::rollouts::Rollouts;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub(crate) const SERVICE: &str = "engine";
pub(crate) const LIMITS: RolloutLimits = RolloutLimits {
    max_exposed_share: 0.1,
    exposed_slack: 50.0,
    rollback_ms: Millis(5_000),
};

const TICK_MS: u64 = 50;
const LINK_MS: u64 = 100;
const EXCHANGE_MS: u64 = 250;
const READ_MS: u64 = 1_000;
const STORE_MS: u64 = 30;
const LIST_MS: u64 = 1_500;
const SITES: usize = 3;
const TOKENS: f64 = 400.0;

/// One request as its target gets it.
pub(crate) struct Attempt {
    pub(crate) at: u64,
    pub(crate) is_new: bool,
    pub(crate) is_draft: bool,
    /// Requests running at the target, with this one.
    pub(crate) running: u32,
    pub(crate) site: usize,
    pub(crate) target: usize,
}

/// What a fault does to a request.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Effect {
    Good,
    Failed,
    /// The answer takes this many times as long.
    Slow(f64),
}

type Fault = Box<dyn Fn(&Attempt, f64) -> Effect>;

type Stops = Box<dyn Fn(u64, &Option<RolloutRecord>) -> usize>;

/// Load, deployment and faults of one run.
pub(crate) struct Scenario {
    pub(crate) nodes: usize,
    pub(crate) old_targets: usize,
    pub(crate) new_targets: usize,
    pub(crate) duration_ms: u64,
    pub(crate) longest_stream_ms: u64,
    /// Part of the requests that fail on either side.
    pub(crate) base_failures: f64,
    pub(crate) per_sec: Box<dyn Fn(u64) -> f64>,
    /// Effect on a request; the number is random from 0 to 1.
    pub(crate) fault: Fault,
    pub(crate) is_store_up: Box<dyn Fn(u64) -> bool>,
    /// Number of nodes that have stopped, the readers first.
    pub(crate) stopped: Stops,
    /// Nodes from this number on get no messages and read nothing.
    pub(crate) cut_from: usize,
    /// Targets of the new version that are left.
    pub(crate) new_left: Box<dyn Fn(u64) -> usize>,
    /// Time at which the order is withdrawn.
    pub(crate) withdrawn_ms: Option<u64>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 90,
            old_targets: 60,
            new_targets: 60,
            duration_ms: 30_000,
            longest_stream_ms: 10_000,
            base_failures: 0.0,
            per_sec: Box::new(|_| 73.0),
            fault: Box::new(|_, _| Effect::Good),
            is_store_up: Box::new(|_| true),
            stopped: Box::new(|_, _| 0),
            cut_from: usize::MAX,
            new_left: Box::new(|_| usize::MAX),
            withdrawn_ms: None,
        }
    }
}

/// What came of a run.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) state: RolloutState,
    /// Time of the last change of the state.
    pub(crate) ended_ms: u64,
    /// Requests from the order to its deadline.
    pub(crate) requests: u64,
    /// Those of them that the new version got.
    pub(crate) exposed: u64,
    /// Requests that it got later than the limit after too many bad answers.
    pub(crate) late: u64,
    pub(crate) fiftieth_bad_ms: Option<u64>,
    /// Requests that were sent to, or still ran at, the old targets after their end.
    pub(crate) cut: u64,
    /// Requests that the new version got after the order was withdrawn.
    pub(crate) after_withdrawal: u64,
    /// Most requests that ran at one new target.
    pub(crate) most_running: u32,
    /// Greatest share that was in force.
    pub(crate) largest_share: u32,
}

impl Report {
    pub(crate) fn is_within_limits(&self) -> bool {
        self.exposed as f64 <= 0.1 * self.requests as f64 + 50.0 && self.late == 0
    }
}

enum Message {
    Counts(usize, CountsChange),
    Record(usize, RolloutRecord, Millis),
    Write(usize, RolloutRecord),
    Written(usize, RolloutRecord),
    Conflict(usize, RolloutRecord),
    Targets(usize),
    Outcome {
        node: usize,
        is_new: bool,
        is_draft: bool,
        site: usize,
        outcome: Outcome,
    },
    End {
        is_new: bool,
        target: usize,
    },
}

pub(crate) struct Fleet {
    scenario: Scenario,
    random: StdRng,
    nodes: Vec<Rollouts>,
    cursors: Vec<CountsCursor>,
    row: Option<RolloutRecord>,
    messages: BTreeMap<u64, Vec<Message>>,
    running: [Vec<u32>; 2],
    old_running_before: u32,
    new_ids: Vec<Name>,
    used: (u32, Vec<usize>),
    names: [Name; 2],
    routes: [Name; 2],
    sites: Vec<Name>,
    bad: u64,
    fraction: f64,
    old_gone: bool,
    report: Report,
}

fn order(duration_ms: u64) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.into(),
        version: "v2".into(),
        duration_ms: Millis(duration_ms),
    }
}

fn ordered() -> Revision {
    Revision::new(0, 10)
}

/// Runs a scenario until the roll-out has ended or 20 s after the deadline.
pub(crate) fn run(scenario: Scenario, seed: u64) -> Report {
    let mut fleet = Fleet::new(scenario, seed);
    let end = fleet.scenario.duration_ms + 20_000;
    let mut now = 0;
    while now < end && !fleet.is_over(now) {
        fleet.tick(now);
        now += TICK_MS;
    }
    fleet.report
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let nodes =
            (0..scenario.nodes).map(|node| Rollouts::new(format!("n{node}").into(), LIMITS));
        let new_ids = (0..scenario.new_targets).map(|target| format!("new-{target}").into());
        let mut fleet = Self {
            random: StdRng::seed_from_u64(seed),
            nodes: nodes.collect(),
            cursors: vec![CountsCursor::default(); scenario.nodes],
            row: None,
            messages: BTreeMap::new(),
            running: [vec![0; scenario.old_targets], vec![0; scenario.new_targets]],
            old_running_before: 0,
            new_ids: new_ids.collect(),
            used: (0, Vec::new()),
            names: ["v1".into(), "v2".into()],
            routes: ["sort".into(), "draft".into()],
            sites: (0..SITES).map(|site| format!("dc-{site}").into()).collect(),
            bad: 0,
            fraction: 0.0,
            old_gone: false,
            report: Report::default(),
            scenario,
        };
        for node in 0..fleet.scenario.nodes {
            let count = [version("v1", fleet.scenario.old_targets)];
            fleet.nodes[node].on_targets(Millis::ZERO, &SERVICE.into(), &count);
            fleet.list_targets(0, node);
        }
        fleet
    }

    fn is_over(&self, now: u64) -> bool {
        let has_ended = self.report.state != RolloutState::Running;
        has_ended && now > self.scenario.duration_ms.max(self.report.ended_ms + 8_000)
    }

    fn tick(&mut self, now: u64) {
        while let Some(due) = self.messages.first_entry().filter(|due| *due.key() <= now) {
            for message in due.remove() {
                self.deliver(now, message);
            }
        }
        if now.is_multiple_of(EXCHANGE_MS) {
            self.exchange(now);
        }
        if now.is_multiple_of(READ_MS) {
            self.read(now);
        }
        if now.is_multiple_of(EXCHANGE_MS) {
            self.step(now);
        }
        self.arrive(now);
    }

    fn stopped(&self, now: u64) -> usize {
        (self.scenario.stopped)(now, &self.row)
    }

    /// Returns the nodes that read the store: the first ones that run, one for each data centre.
    fn readers(&self, now: u64) -> std::ops::Range<usize> {
        let first = self.stopped(now);
        first..first + SITES
    }

    fn post(&mut self, due: u64, message: Message) {
        self.messages.entry(due).or_default().push(message);
    }

    fn list_targets(&mut self, now: u64, node: usize) {
        let due = now + self.random.random_range(0..LIST_MS);
        self.post(due, Message::Targets(node));
    }

    fn exchange(&mut self, now: u64) {
        let readers = self.readers(now);
        for node in readers.start..self.scenario.nodes.min(self.scenario.cut_from) {
            let (changes, cursor) = self.nodes[node].counts_since(&self.cursors[node]);
            self.cursors[node] = cursor;
            let to = readers.start + node % SITES;
            for change in changes {
                if !readers.contains(&node) {
                    self.post(now + LINK_MS, Message::Counts(to, change));
                    continue;
                }
                for other in readers.clone().filter(|other| *other != node) {
                    self.post(now + LINK_MS, Message::Counts(other, change.clone()));
                }
            }
            let reader = if readers.contains(&node) {
                readers.start
            } else {
                to
            };
            for (record, age_ms) in self.nodes[reader].records(Millis(now)) {
                let age_ms = age_ms + Millis(LINK_MS);
                self.post(now + LINK_MS, Message::Record(node, record, age_ms));
            }
        }
    }

    fn read(&mut self, now: u64) {
        if !(self.scenario.is_store_up)(now) {
            return;
        }
        for reader in self.readers(now) {
            let node = &mut self.nodes[reader];
            if self.scenario.withdrawn_ms.is_some_and(|at| now >= at) {
                node.on_order_removed(&SERVICE.into(), Revision::new(0, 90));
                continue;
            }
            let order = order(self.scenario.duration_ms);
            let applied = node.on_order(&order, ordered(), true);
            assert!(applied.is_ok(), "{applied:?}");
            if let Some(row) = &self.row {
                node.merge_record(Millis(now), row, Millis::ZERO);
            }
        }
    }

    fn step(&mut self, now: u64) {
        let readers = self.readers(now);
        let inputs = StepInputs {
            store_ms: Millis(now),
            new_targets: self.scenario.new_targets.min((self.scenario.new_left)(now)),
            old_targets: if self.old_gone {
                0
            } else {
                self.scenario.old_targets
            },
            old_running: self.old_running_before.into(),
            stream_ms: Millis(self.scenario.longest_stream_ms),
            rank: 0,
        };
        self.old_running_before = self.running[0].iter().sum();
        for reader in readers.clone() {
            let rank = reader - readers.start;
            let inputs = StepInputs { rank, ..inputs };
            let step = self.nodes[reader].next_step(Millis(now), &SERVICE.into(), &inputs);
            if let Some(record) = step {
                self.post(now + STORE_MS, Message::Write(reader, record));
            }
        }
    }

    fn write(&mut self, now: u64, node: usize, record: RolloutRecord) {
        if !(self.scenario.is_store_up)(now) || node < self.stopped(now) {
            return;
        }
        let step = self.row.as_ref().map_or(0, |row| row.step);
        if record.step != step + 1 {
            let conflicts = self.row.clone().into_iter();
            let conflicts = conflicts.map(|row| Message::Conflict(node, row));
            conflicts.for_each(|conflict| self.post(now + STORE_MS, conflict));
            return;
        }
        self.row = Some(record.clone());
        self.report.largest_share = self.report.largest_share.max(record.share_per_mille);
        if self.report.state != record.state {
            self.report.state = record.state;
            self.report.ended_ms = now;
        }
        if record.state == RolloutState::Completed {
            self.old_gone = true;
            self.report.cut += u64::from(self.running[0].iter().sum::<u32>());
            for node in 0..self.scenario.nodes {
                self.list_targets(now, node);
            }
        }
        self.post(now + STORE_MS, Message::Written(node, record));
    }

    fn deliver(&mut self, now: u64, message: Message) {
        let at = Millis(now);
        match message {
            Message::Counts(to, change) => self.nodes[to].merge_counts(at, &change),
            Message::Record(to, record, age_ms) => {
                self.nodes[to].merge_record(at, &record, age_ms);
            }
            Message::Write(node, record) => self.write(now, node, record),
            Message::Written(node, record) => {
                self.nodes[node].on_written(at, &record, Millis::ZERO);
            }
            Message::Conflict(node, row) => {
                self.nodes[node].on_conflict(at, &SERVICE.into(), Some(&row));
            }
            Message::Targets(node) => {
                let old = if self.old_gone {
                    0
                } else {
                    self.scenario.old_targets
                };
                let new = self.scenario.new_targets.min((self.scenario.new_left)(now));
                let counts = [version("v1", old), version("v2", new)];
                let listed: Vec<_> = counts
                    .into_iter()
                    .filter(|count| count.targets > 0)
                    .collect();
                self.nodes[node].on_targets(at, &SERVICE.into(), &listed);
                self.post(now + LIST_MS, Message::Targets(node));
            }
            Message::Outcome {
                node,
                is_new,
                is_draft,
                site,
                outcome,
            } => {
                let route = &self.routes[usize::from(is_draft)];
                let name = &self.names[usize::from(is_new)];
                let site = &self.sites[site];
                self.nodes[node].record_answer(at, &SERVICE.into(), route, name, site, outcome);
            }
            Message::End { is_new, target } => self.running[usize::from(is_new)][target] -= 1,
        }
    }

    fn arrive(&mut self, now: u64) {
        self.fraction += (self.scenario.per_sec)(now) * TICK_MS as f64 / 1_000.0;
        // Uneven arrivals: each part of a second has up to twice the mean.
        let count = (self.fraction * self.random.random_range(0.0..2.0)) as u32;
        self.fraction -= f64::from(count);
        let stopped = self.stopped(now);
        for _ in 0..count {
            let node = self.random.random_range(stopped..self.scenario.nodes);
            self.send(now, node);
        }
    }

    fn send(&mut self, now: u64, node: usize) {
        let draw = self.random.random();
        let side = self.nodes[node].side_for(Millis(now), SERVICE, draw);
        // Without a running order the old side has the targets of any version.
        let is_new = !self.nodes[node].allows(Millis(now), SERVICE, side, &self.names[0]);
        let is_draft = self.random.random_bool(0.34);
        let target = self.target(node, is_new);
        self.count_request(now, is_new);
        if !is_new && self.old_gone {
            self.report.cut += 1;
            return;
        }
        let load = &mut self.running[usize::from(is_new)][target];
        *load += 1;
        let attempt = Attempt {
            at: now,
            is_new,
            is_draft,
            running: *load,
            site: target % SITES,
            target,
        };
        if is_new {
            self.report.most_running = self.report.most_running.max(*load);
        }
        let (route, name) = (
            &self.routes[usize::from(is_draft)],
            &self.names[usize::from(is_new)],
        );
        let site = &self.sites[attempt.site];
        self.nodes[node].record_sent(&SERVICE.into(), route, name, site);
        self.answer(node, &attempt);
    }

    fn target(&mut self, node: usize, is_new: bool) -> usize {
        if !is_new {
            return self.random.random_range(0..self.scenario.old_targets);
        }
        let share = self.row.as_ref().map_or(0, |row| row.share_per_mille);
        if self.used.0 != share || share == 0 {
            let ids = self.new_ids.iter().enumerate();
            let targets: Vec<_> = ids
                .map(|(index, id)| NewTarget {
                    id,
                    data_centre: &self.sites[index % SITES],
                })
                .collect();
            let used = self.nodes[node].new_targets(SERVICE, &targets);
            let index = |id| self.new_ids.iter().position(|other| other == id);
            self.used = (share, used.iter().filter_map(index).collect());
        }
        let used = &self.used.1;
        used[self.random.random_range(0..used.len())]
    }

    fn count_request(&mut self, now: u64, is_new: bool) {
        if now < self.scenario.duration_ms {
            self.report.requests += 1;
            self.report.exposed += u64::from(is_new);
        }
        let limit = |at| now > at + LIMITS.rollback_ms.0;
        if is_new && self.report.fiftieth_bad_ms.is_some_and(limit) {
            self.report.late += 1;
        }
        let is_withdrawn = |at| now > at + 5_000;
        if is_new && self.scenario.withdrawn_ms.is_some_and(is_withdrawn) {
            self.report.after_withdrawal += 1;
        }
    }

    fn answer(&mut self, node: usize, attempt: &Attempt) {
        let Attempt {
            at,
            is_new,
            is_draft,
            site,
            target,
            ..
        } = *attempt;
        let fails = self.random.random_bool(self.scenario.base_failures);
        let effect = (self.scenario.fault)(attempt, self.random.random());
        let factor = if let Effect::Slow(factor) = effect {
            factor
        } else {
            1.0
        };
        let usual = if is_draft { 600.0 } else { 250.0 };
        let first_ms = (usual * self.random.random_range(0.6..1.6) * factor) as u64;
        let longest = if is_draft {
            self.scenario.longest_stream_ms - 1_000
        } else {
            800
        };
        let stream_ms = self.random.random_range(0.4..1.0) * longest as f64;
        let stream_ms = (stream_ms * factor) as u64;
        let mut post = |due: u64, outcome| {
            let message = Message::Outcome {
                node,
                is_new,
                is_draft,
                site,
                outcome,
            };
            self.messages.entry(at + due).or_default().push(message);
        };
        let is_failed = fails || effect == Effect::Failed;
        if is_new && (is_failed || effect != Effect::Good) {
            self.bad += 1;
            if self.bad == 50 {
                self.report.fiftieth_bad_ms = Some(at + first_ms);
            }
        }
        let mut end = first_ms;
        if is_failed {
            post(first_ms, Outcome::Failed);
        } else {
            let first = Millis(first_ms);
            post(
                first_ms,
                Outcome::Began {
                    first_ms: first,
                    is_cold: false,
                },
            );
            let token_us = (stream_ms as f64 * 1_000.0 / TOKENS) as u64;
            post(first_ms + stream_ms.min(1_000), Outcome::Paced { token_us });
            end += stream_ms;
        }
        self.post(at + end, Message::End { is_new, target });
    }
}

fn version(name: &str, targets: usize) -> VersionCount {
    VersionCount {
        version: name.into(),
        targets,
    }
}
