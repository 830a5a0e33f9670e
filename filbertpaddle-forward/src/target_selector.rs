//! Load and health of targets as one node sees them, and the choice among them.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::cold_limit;
use crate::configuration::Configuration;
use crate::directory::Directory;
use crate::load_table::LoadByTarget;
use crate::load_table::TargetLoad;

use crate::target::Target;

/// How long a target is passed over after a first failure.
const SHUN_MS: Millis = Millis(400);
/// Longest time for which a failing target is passed over.
const MAX_SHUN_MS: Millis = Millis(3_200);
/// Weight of prompts still to be read against memory in use, since they
/// hold up every other stream of the target.
const PROMPT_WEIGHT: f64 = 5.0;
/// Weight of the link between data centres, as a share of a target's memory.
const FAR_WEIGHT: f64 = 0.25;
/// The same for a copy, which takes twice as long between data centres and
/// holds up the copies behind it.
const FAR_COPY_WEIGHT: f64 = 0.5;
/// Spread of a draw that keeps nodes from choosing alike.
const DRAW_WEIGHT: f64 = 0.08;
/// How far past its memory a target is filled while others have room.
const FULL_SHARE: f64 = 1.0;
/// Cost of a target whose memory is expected to overflow.
const FULL_COST: f64 = 4.0;
/// Targets among which a request's is chosen, where there are more. Nodes learn of
/// each other's choices a tenth of a second late; in a large service many would
/// choose the same.
const CANDIDATES: f64 = 16.0;
/// Cost of a target that is not drawn as a candidate: all candidates may be full.
const NOT_DRAWN_COST: f64 = 2.0;
/// Cost of a target that refuses other nodes' connections and runs nothing.
const GONE_COST: f64 = 8.0;
/// Cost of a cold target that has been given what it bears, to a generation that
/// would otherwise be lost.
const COLD_COST: f64 = 16.0;

/// What a request asks of a target.
#[derive(Clone, Debug, Default)]
pub struct RequestDemand {
    /// Service that runs it.
    pub service: Name,
    /// Tokens to be read before the first output.
    pub prompt_tokens: u32,
    /// Memory it is expected to need at its end.
    pub total_tokens: u32,
}

/// Why no target takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// The service has no target that is in service and does not leave.
    #[error("no target in service")]
    NoneInService,
    /// All targets have failed of late.
    #[error("no target answers")]
    AllFailing,
    /// All targets are cold and have been given what they bear.
    #[error("all targets are cold")]
    AllCold,
}

/// Work of this node at one target, and how it went.
#[derive(Clone, Debug, Default)]
struct Load {
    life: Option<Target>,
    own: TargetLoad,
    failures: u32,
    shunned_until_ms: Millis,
    /// Whether nothing listened there when it failed last.
    is_refusing: bool,
    cold: cold_limit::SendRate,
}

/// Load and health of all targets.
#[derive(Clone, Debug)]
pub struct TargetSelector {
    node: Name,
    data_centre: Name,
    /// The nodes that are alive, this one among them, as far as it is known.
    nodes: Vec<Name>,
    loads: IndexMap<Name, Load>,
    /// Work of other nodes.
    others: LoadByTarget,
}

impl TargetSelector {
    /// Knows of no load and no other node; `node` stands in `data_centre`.
    pub fn new(node: Name, data_centre: Name) -> Self {
        Self {
            nodes: Vec::new(),
            node,
            data_centre,
            loads: IndexMap::new(),
            others: LoadByTarget::new(),
        }
    }

    /// Takes over which nodes share the limits of targets.
    pub fn set_nodes(&mut self, nodes: Vec<Name>) {
        self.nodes = nodes;
    }

    /// Takes over which targets there are; a new life starts without a past.
    pub fn update_targets(&mut self, directory: &Directory) {
        for (target, _) in directory.targets() {
            let load = self.loads.entry(target.id.clone()).or_default();
            let is_same = load
                .life
                .as_ref()
                .is_some_and(|life| life.is_same_instance(target));
            if !is_same {
                load.failures = 0;
                load.shunned_until_ms = Millis::ZERO;
                load.is_refusing = false;
            }
            load.life = Some(target.clone());
        }
        self.loads
            .retain(|id, load| load.own.running > 0 || directory.target(id).is_some());
    }

    /// Chooses a target for a request; `draw` yields numbers from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if no target may be given the request now.
    pub fn choose<'a, D>(
        &self,
        now: Millis,
        directory: &'a Directory,
        ask: &RequestDemand,
        passed_over: &[Name],
        mut draw: D,
    ) -> Result<&'a Target, PlacementError>
    where
        D: FnMut() -> f64,
    {
        let configuration = directory
            .configuration()
            .ok_or(PlacementError::NoneInService)?;
        let mut reason = PlacementError::NoneInService;
        let mut best: Option<(f64, &Target)> = None;
        let share = candidate_share(directory, &ask.service);
        for (target, read_ms) in directory.targets() {
            if target.service != ask.service || target.is_draining {
                continue;
            }
            if directory.is_out(&target.data_centre) {
                continue;
            }
            if passed_over.contains(&target.id) || self.is_shunned(now, &target.id) {
                reason = PlacementError::AllFailing;
                continue;
            }
            if !self.bears(now, configuration, target, read_ms) {
                reason = PlacementError::AllCold;
                continue;
            }
            let is_candidate = draw() < share;
            let cost = self.cost(configuration, target, ask)
                + far(target, &self.data_centre, FAR_WEIGHT)
                + DRAW_WEIGHT * draw()
                + if is_candidate { 0.0 } else { NOT_DRAWN_COST };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, target));
            }
        }
        best.map(|(_, target)| target).ok_or(reason)
    }

    /// Chooses where a running generation of `source` is copied to.
    pub fn choose_copy_target<'a, D>(
        &self,
        now: Millis,
        directory: &'a Directory,
        source: &Target,
        ask: &RequestDemand,
        passed_over: &[Name],
        mut draw: D,
    ) -> Option<&'a Target>
    where
        D: FnMut() -> f64,
    {
        let configuration = directory.configuration()?;
        let may_take = |target: &Target| {
            target.service == source.service
                && target.id != source.id
                && !target.is_draining
                && !directory.is_out(&target.data_centre)
                && !passed_over.contains(&target.id)
                && !self.is_shunned(now, &target.id)
        };
        let share = candidate_share(directory, &source.service);
        directory
            .targets()
            .filter(|(target, _)| may_take(target))
            .map(|(target, read_ms)| {
                let is_cold = !self.bears(now, configuration, target, read_ms);
                let cost = self.cost(configuration, target, ask)
                    + far(target, &source.data_centre, FAR_COPY_WEIGHT)
                    + if is_cold { COLD_COST } else { 0.0 }
                    + if draw() < share { 0.0 } else { NOT_DRAWN_COST };
                (cost + DRAW_WEIGHT * draw(), target)
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, target)| target)
    }

    /// A request was given to a target.
    pub fn record_sent(&mut self, now: Millis, target: &Target, ask: &RequestDemand) {
        let load = self.loads.entry(target.id.clone()).or_default();
        load.own.add(&TargetLoad::from(ask));
        load.cold.record_sent(now);
    }

    /// A target has read a request's prompt.
    pub fn record_prefilled(&mut self, id: &str, ask: &RequestDemand) {
        if let Some(load) = self.loads.get_mut(id) {
            let read = TargetLoad {
                prompt_tokens: u64::from(ask.prompt_tokens),
                ..TargetLoad::default()
            };
            load.own = load.own.without(&read);
        }
    }

    /// A request has ended at a target; `was_started` as told by [`Self::record_prefilled`].
    pub fn record_ended(&mut self, id: &str, ask: &RequestDemand, was_started: bool) {
        if !was_started {
            self.record_prefilled(id, ask);
        }
        if let Some(load) = self.loads.get_mut(id) {
            let ended = TargetLoad {
                prompt_tokens: 0,
                ..TargetLoad::from(ask)
            };
            load.own = load.own.without(&ended);
        }
    }

    /// A target gave a good answer.
    pub fn record_success(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.failures = 0;
            load.shunned_until_ms = Millis::ZERO;
            load.is_refusing = false;
        }
    }

    /// A target refused a connection; returns until when it is passed over.
    ///
    /// Other nodes are told, and pass over it where nothing runs: while the store
    /// is away, lost targets stay listed and look idle.
    pub fn record_refused(&mut self, now: Millis, id: &str) -> Millis {
        let until_ms = self.record_failure(now, id);
        if let Some(load) = self.loads.get_mut(id) {
            load.is_refusing = true;
        }
        until_ms
    }

    /// A target failed a request; returns until when it is passed over.
    pub fn record_failure(&mut self, now: Millis, id: &str) -> Millis {
        let load = self.loads.entry(id.into()).or_default();
        let span = Millis(SHUN_MS.0 << load.failures.min(8)).min(MAX_SHUN_MS);
        load.failures += 1;
        load.is_refusing = false;
        load.shunned_until_ms = now + span;
        load.shunned_until_ms
    }

    /// Work of this node by target, and what refuses its connections.
    pub fn own_load(&self, now: Millis) -> LoadByTarget {
        let told = |load: &Load| TargetLoad {
            refusals: u32::from(load.is_refusing && now < load.shunned_until_ms),
            ..load.own
        };
        self.loads
            .iter()
            .map(|(id, load)| (id.clone(), told(load)))
            .filter(|(_, work)| !work.is_empty())
            .collect()
    }

    /// Takes over the work of other nodes.
    pub fn set_other_load(&mut self, others: LoadByTarget) {
        self.others = others;
    }

    /// Work of all nodes at a target.
    fn work(&self, id: &str) -> TargetLoad {
        let mut work = self
            .loads
            .get(id)
            .map_or_else(TargetLoad::default, |load| load.own);
        if let Some(others) = self.others.get(id) {
            work.add(others);
        }
        work
    }

    /// Requests of this node that run at a target.
    pub fn running(&self, id: &str) -> u32 {
        self.loads.get(id).map_or(0, |load| load.own.running)
    }

    fn is_shunned(&self, now: Millis, id: &str) -> bool {
        self.loads
            .get(id)
            .is_some_and(|load| now < load.shunned_until_ms)
    }

    fn bears(
        &self,
        now: Millis,
        configuration: &Configuration,
        target: &Target,
        read_ms: Millis,
    ) -> bool {
        if now >= read_ms + target.cold_ms {
            return true;
        }
        let Some(service) = configuration.services.get(&target.service) else {
            return true;
        };
        if service.cold_per_sec <= 0.0 {
            return true;
        }
        let share =
            cold_limit::node_share(&target.id, service.cold_per_sec, &self.node, &self.nodes);
        let load = self.loads.get(&target.id);
        load.map_or(share > 0, |load| load.cold.has_capacity(now, share))
    }

    fn cost(&self, configuration: &Configuration, target: &Target, ask: &RequestDemand) -> f64 {
        let service = configuration.services.get(&target.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let work = self.work(&target.id);
        let is_gone = work.refusals > 0 && work.running == 0;
        let gone = if is_gone { GONE_COST } else { 0.0 };
        let Some(engine) = engine else {
            return gone + f64::from(work.running) / f64::from(target.slots.max(1));
        };
        let memory = f64::from(engine.memory_tokens.max(1));
        let used = (work.tokens + u64::from(ask.total_tokens)) as f64 / memory;
        let full = if used > FULL_SHARE { FULL_COST } else { 0.0 };
        full + gone + used + PROMPT_WEIGHT * work.prompt_tokens as f64 / memory
    }
}

impl From<&RequestDemand> for TargetLoad {
    fn from(ask: &RequestDemand) -> Self {
        Self {
            running: 1,
            refusals: 0,
            tokens: u64::from(ask.total_tokens),
            prompt_tokens: u64::from(ask.prompt_tokens),
        }
    }
}

/// Share of a service's targets among which a request's is chosen.
fn candidate_share(directory: &Directory, service: &Name) -> f64 {
    let targets = directory.targets();
    let count = targets.filter(|(target, _)| target.service == *service);
    CANDIDATES / count.count().max(1) as f64
}

/// Cost of a target that stands in another data centre.
fn far(target: &Target, data_centre: &Name, weight: f64) -> f64 {
    if target.data_centre == *data_centre {
        0.0
    } else {
        weight
    }
}
