//! Nodes that share targets of different speed, in simulated time.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Engine;
use filbertpaddle_forward::configuration::Service;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::placement_speed;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::speed_baseline::SpeedSample;
use filbertpaddle_forward::speed_table::SentSpeeds;
use filbertpaddle_forward::speed_table::SpeedPart;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::TargetSelector;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TICK_MS: u64 = 5;
const LOAD_INTERVAL_MS: u64 = 50;
const SPEED_INTERVAL_MS: u64 = 50;
const MAX_SENT: usize = 10;
/// Requests that a target gets until a node knows of them.
const UNKNOWN_REQUESTS: f64 = 1.5;
const STRETCH_MS: u64 = 2_000;
const PREFILL_TOKENS_PER_MS: f64 = 14.0;
const EVENT_TOKENS: u32 = 4;

/// How targets are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// By load alone.
    Equal,
    /// With the speeds that nodes find out.
    Learned,
    /// With the true speeds and loads.
    Known,
}

/// What a pool is made of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) policy: Policy,
    pub(crate) seed: u64,
    pub(crate) nodes: usize,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    pub(crate) is_engine: bool,
    /// Requests for each second and target.
    pub(crate) per_sec: f64,
    /// Mean work of a whole answer.
    pub(crate) work_ms: f64,
    /// How many times as long as usual a target takes, by its number, what part of it is full
    /// and the time.
    pub(crate) slowness: fn(usize, f64, u64) -> f64,
    /// Time that the link of node 1 adds, by the time.
    pub(crate) link_ms: fn(u64) -> u64,
}

/// Request that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Done {
    pub(crate) at_ms: u64,
    pub(crate) target: usize,
    pub(crate) took_ms: u64,
}

struct Running {
    node: usize,
    demand: RequestDemand,
    sent_ms: u64,
    prompt_left: f64,
    /// Milliseconds of work, or output tokens.
    work_left: f64,
    load: TargetLoad,
    is_started: bool,
    stretch: (u64, f64),
}

pub(crate) struct Pool {
    pub(crate) setup: Setup,
    pub(crate) now_ms: u64,
    pub(crate) directory: Directory,
    pub(crate) targets: Vec<Target>,
    pub(crate) selectors: Vec<TargetSelector>,
    pub(crate) done: Vec<Done>,
    pub(crate) chosen: Vec<usize>,
    sent: Vec<SentSpeeds>,
    sent_totals: Vec<SentSpeeds>,
    running: Vec<Vec<Running>>,
    rng: StdRng,
    due: f64,
}

impl Pool {
    pub(crate) fn new(setup: Setup) -> Self {
        let targets: Vec<Target> = (0..setup.targets)
            .map(|number| target(number, setup.slots))
            .collect();
        let directory = directory(&targets, setup);
        let names: Vec<Name> = (0..setup.nodes).map(node_name).collect();
        let selectors = names.iter().map(|name| {
            let mut selector = TargetSelector::new(name.clone(), "dc".into());
            selector.set_nodes(names.clone());
            selector.update_targets(&directory);
            let is_learned = setup.policy == Policy::Learned;
            selector.speeds_mut().set_in_force(is_learned, &directory);
            selector
        });
        Self {
            setup,
            now_ms: 0,
            selectors: selectors.collect(),
            directory,
            done: Vec::new(),
            chosen: Vec::new(),
            sent: vec![SentSpeeds::default(); setup.nodes],
            sent_totals: vec![SentSpeeds::default(); setup.nodes],
            running: targets.iter().map(|_| Vec::new()).collect(),
            targets,
            rng: StdRng::seed_from_u64(setup.seed),
            due: 0.0,
        }
    }

    /// Runs until a time.
    pub(crate) fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            if self.now_ms.is_multiple_of(LOAD_INTERVAL_MS) {
                self.exchange_load();
            }
            if self.now_ms.is_multiple_of(SPEED_INTERVAL_MS) {
                self.exchange_speeds();
            }
            (0..self.targets.len()).for_each(|number| self.work(number));
            self.due += self.setup.per_sec * self.targets.len() as f64 * TICK_MS as f64 / 1_000.0;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.send();
            }
        }
    }

    /// Replaces a target by a new incarnation, whose requests go on.
    pub(crate) fn restart(&mut self, number: usize) {
        self.targets[number].started_ms = Some(Millis(self.now_ms));
        self.directory = directory(&self.targets, self.setup);
        for selector in &mut self.selectors {
            selector.update_targets(&self.directory);
        }
    }

    /// Returns the 95th percentile of the time to be done of the requests that ended in a span.
    pub(crate) fn p95_ms(&self, from_ms: u64, to_ms: u64) -> u64 {
        let of_span = self.done.iter();
        let of_span = of_span.filter(|done| (from_ms..to_ms).contains(&done.at_ms));
        let mut took: Vec<u64> = of_span.map(|done| done.took_ms).collect();
        took.sort_unstable();
        took[took.len() * 95 / 100]
    }

    pub(crate) fn now(&self) -> Millis {
        Millis(self.now_ms)
    }

    fn send(&mut self) {
        let node = self.rng.random_range(0..self.setup.nodes);
        let spread = 0.5 * normal(&mut self.rng);
        let (prompt_tokens, work) = match self.setup.is_engine {
            true => (2_000, 150.0 * spread.exp()),
            false => (0, self.setup.work_ms * spread.exp()),
        };
        let tokens = work as u32;
        let demand = RequestDemand {
            service: "service".into(),
            prompt_tokens,
            total_tokens: if self.setup.is_engine {
                prompt_tokens + tokens
            } else {
                0
            },
            max_prefill_ms: Millis(1_000),
            ..RequestDemand::default()
        };
        let chosen = self.choose(node, &demand);
        self.chosen.push(chosen.unwrap_or(usize::MAX));
        let Some(number) = chosen else { return };
        let selector = &mut self.selectors[node];
        let mut load = selector.total_load(&self.targets[number].id);
        load.add(&TargetLoad::from(&demand));
        selector.record_sent(Millis(self.now_ms), &self.targets[number], &demand);
        self.running[number].push(Running {
            node,
            sent_ms: self.now_ms,
            prompt_left: f64::from(prompt_tokens),
            work_left: work,
            load,
            is_started: false,
            stretch: (0, 0.0),
            demand,
        });
    }

    fn choose(&mut self, node: usize, demand: &RequestDemand) -> Option<usize> {
        if self.setup.policy == Policy::Known {
            let numbers = 0..self.targets.len();
            let expected: Vec<f64> = numbers
                .map(|number| self.expected_ms(node, number))
                .collect();
            let numbers = 0..self.targets.len();
            return numbers.min_by(|a, b| expected[*a].total_cmp(&expected[*b]));
        }
        let rng = &mut self.rng;
        let now = Millis(self.now_ms);
        let chosen =
            self.selectors[node].choose(now, &self.directory, demand, &[], || rng.random());
        let id = chosen.ok()?.id.clone();
        self.targets.iter().position(|target| target.id == id)
    }

    /// Returns the time to be done by the true speed and the load that a node knows. Among equal
    /// ones, the less loaded are preferred; those that are full come last.
    fn expected_ms(&mut self, node: usize, number: usize) -> f64 {
        let load = self.selectors[node].total_load(&self.targets[number].id);
        let running = f64::from(load.running) + 1.0;
        let fill = running / f64::from(self.setup.slots);
        // Others send there before this node knows of it.
        let later_fill = (running + UNKNOWN_REQUESTS) / f64::from(self.setup.slots);
        let slowness = (self.setup.slowness)(number, later_fill, self.now_ms);
        let work_ms = match self.setup.is_engine {
            true => 150.0 * (7.0 + 0.12 * running),
            false => self.setup.work_ms,
        };
        let prompt_ms = load.prompt_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let load_ms = work_ms * (fill.max(1.0) + 0.2 * fill) + prompt_ms;
        let slowness = if fill > 1.0 { 3.0 * slowness } else { slowness };
        slowness * load_ms * (1.0 + 0.05 * self.rng.random::<f64>())
    }

    /// Lets a target work for a tick.
    fn work(&mut self, number: usize) {
        let setup = self.setup;
        let fill = self.running[number].len() as f64 / f64::from(setup.slots);
        let slowness = (setup.slowness)(number, fill, self.now_ms);
        let mut span = TICK_MS as f64 / slowness;
        let step_ms = 7.0 + 0.12 * self.running[number].len() as f64;
        let mut prefill = span * PREFILL_TOKENS_PER_MS;
        let slots = setup.slots as usize;
        let mut jobs = std::mem::take(&mut self.running[number]);
        for job in jobs.iter_mut().take(slots) {
            if setup.is_engine && job.prompt_left > 0.0 {
                let taken = job.prompt_left.min(prefill);
                job.prompt_left -= taken;
                prefill -= taken;
                if job.prompt_left <= 0.0 {
                    self.record_first_event(number, job);
                }
                continue;
            }
            if setup.is_engine {
                span = TICK_MS as f64 / slowness / step_ms;
            }
            job.work_left -= span;
            job.stretch.1 += span;
            let is_over = job.work_left <= 0.0 || self.now_ms - job.stretch.0 >= STRETCH_MS;
            if setup.is_engine && is_over {
                self.record_tokens(number, job);
            }
        }
        jobs.retain(|job| job.work_left > 0.0 || !self.end(number, job));
        self.running[number] = jobs;
    }

    fn link_ms(&self, node: usize) -> u64 {
        if node == 1 {
            (self.setup.link_ms)(self.now_ms)
        } else {
            0
        }
    }

    fn record_first_event(&mut self, number: usize, job: &mut Running) {
        job.is_started = true;
        job.stretch = (self.now_ms, 0.0);
        let waited_ms = Millis(self.now_ms - job.sent_ms + self.link_ms(job.node));
        let id = &self.targets[number].id;
        self.selectors[job.node].record_prefilled(id, &job.demand);
        let sample = SpeedSample::FirstEvent {
            tokens: job.load.prompt_tokens,
            waited_ms,
        };
        self.record(number, job.node, &job.load, &sample);
    }

    fn record_tokens(&mut self, number: usize, job: &mut Running) {
        let (start_ms, tokens) = job.stretch;
        job.stretch = (self.now_ms, 0.0);
        if tokens < f64::from(4 * EVENT_TOKENS) {
            return;
        }
        let load = self.selectors[job.node].total_load(&self.targets[number].id);
        let sample = SpeedSample::Token {
            token_us: ((self.now_ms - start_ms) as f64 * 1_000.0 / tokens) as u64,
            batch: load.running,
        };
        self.record(number, job.node, &load, &sample);
    }

    fn end(&mut self, number: usize, job: &Running) -> bool {
        let took_ms = self.now_ms - job.sent_ms + self.link_ms(job.node);
        if !self.setup.is_engine {
            let sample = SpeedSample::Whole {
                route: "route".into(),
                time_ms: Millis(took_ms),
            };
            self.record(number, job.node, &job.load, &sample);
        }
        let id = &self.targets[number].id;
        self.selectors[job.node].record_ended(id, &job.demand, job.is_started);
        self.done.push(Done {
            at_ms: self.now_ms,
            target: number,
            took_ms,
        });
        true
    }

    fn record(&mut self, number: usize, node: usize, load: &TargetLoad, sample: &SpeedSample) {
        let target = &self.targets[number];
        let engine = self.setup.is_engine.then(|| engine(self.setup.slots));
        let fill = placement_speed::fill(load, target, engine.as_ref());
        let speeds = self.selectors[node].speeds_mut();
        speeds.record(Millis(self.now_ms), target, fill, sample);
    }

    fn exchange_load(&mut self) {
        let now = Millis(self.now_ms);
        let own: Vec<LoadByTarget> = self.selectors.iter().map(|s| s.own_load(now)).collect();
        let mut total = LoadByTarget::new();
        for (id, load) in own.iter().flatten() {
            total.entry(id.clone()).or_default().add(load);
        }
        for (selector, own) in self.selectors.iter_mut().zip(&own) {
            let others = total.iter().map(|(id, load)| {
                let own = own.get(id).cloned().unwrap_or_default();
                (id.clone(), load.without(&own))
            });
            selector.set_other_load(others.collect());
        }
    }

    /// Node 0 is the reader of all others.
    fn exchange_speeds(&mut self) {
        if self.setup.policy != Policy::Learned {
            return;
        }
        let now = self.now();
        for node in 1..self.selectors.len() {
            let own = self.selectors[node]
                .speeds()
                .table()
                .part(now, SpeedPart::Own);
            let changed = self.sent[node].take_changed(now, &own, MAX_SENT);
            let reader = self.selectors[0].speeds_mut().table_mut();
            reader.update_member(now, &node_name(node), &changed);
        }
        let total = self.selectors[0]
            .speeds()
            .table()
            .part(now, SpeedPart::Total);
        for node in 1..self.selectors.len() {
            let changed = self.sent_totals[node].take_changed(now, &total, MAX_SENT);
            let table = self.selectors[node].speeds_mut().table_mut();
            table.update_followed(now, &changed);
        }
        for selector in &mut self.selectors {
            selector.speeds_mut().refresh(now, &self.directory);
        }
    }
}

pub(crate) fn node_name(node: usize) -> Name {
    format!("n{node}").into()
}

/// Returns a random number of the standard normal distribution.
fn normal(rng: &mut StdRng) -> f64 {
    let radius: f64 = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn target(number: usize, slots: u32) -> Target {
    Target {
        id: format!("t{number}").into(),
        service: "service".into(),
        address: format!("t{number}.test:1").into(),
        data_centre: "dc".into(),
        slots,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: None,
        version: "v1".into(),
    }
}

fn engine(slots: u32) -> Engine {
    Engine {
        slots,
        memory_tokens: slots * 2_400,
        can_migrate: true,
        event_tokens: EVENT_TOKENS,
    }
}

fn directory(targets: &[Target], setup: Setup) -> Directory {
    let service = Service {
        max_connections: 100,
        cold_per_sec: 0.0,
        engine: setup.is_engine.then(|| engine(setup.slots)),
    };
    let configuration = Configuration {
        version: 1,
        services: [(Name::from("service"), service)].into_iter().collect(),
        ..Configuration::default()
    };
    let mut directory = Directory::new();
    let operator = vec![Entry::Configuration(Arc::new(configuration))];
    let listed = targets.iter().cloned().map(Entry::Target).collect();
    for (table, entries) in [(Table::Operator, operator), (Table::Targets, listed)] {
        let revision = Revision::new(0, 1);
        let change = |entry| Change { revision, entry };
        let batch = Batch {
            table,
            is_whole: true,
            revision,
            changes: entries.into_iter().map(change).collect(),
        };
        directory.apply(Millis::ZERO, Millis::ZERO, &batch);
    }
    directory
}
