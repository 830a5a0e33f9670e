//! Selection of the target for a request, by the load and health of the targets as seen
//! by one node.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::admission;
use crate::admission::PrefillRate;
use crate::cold_limit;
use crate::configuration::Configuration;
use crate::directory::Directory;
use crate::level_arrivals::LevelArrivals;
use crate::load_table::LoadByTarget;
use crate::load_table::TargetLoad;
use crate::placement_cost::CROSS_DATA_CENTRE_COST;
use crate::placement_cost::JITTER_COST;
use crate::placement_cost::UNREACHABLE_COST;
use crate::placement_cost::candidate_cost;
use crate::placement_cost::candidate_share;
use crate::placement_cost::cost_if;
use crate::placement_cost::cross_data_centre_cost;
use crate::placement_cost::load_cost;
use crate::priority_admission;
use crate::reachability::Reachability;
use crate::refusal_limit::BrittleTargets;
use crate::request_demand::RequestDemand;
use crate::stated_rate::StatedRates;
use crate::target::Target;
use crate::target_health::TargetHealth;
use crate::target_speed::TargetSpeeds;

/// Reason why no target can be given a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlacementError {
    /// The service has no target that is in service and not draining.
    #[error("service has no target that is in service and not draining")]
    NoneInService,
    /// No target that is in service and not draining may continue the stream.
    #[error("no target in service has the software version that began the stream")]
    NoneOfVersion,
    /// No target in service may be given the request while its service is rolled out.
    #[error("roll-out of the service allows no target in service")]
    NoneOnSide,
    /// The targets failed recently, or are excluded for this request.
    #[error("targets of the service failed recently or are excluded for this request")]
    AllFailing,
    /// The available targets are cold and have reached their rate limit.
    #[error("available targets of the service are cold and at their rate limit")]
    AllCold,
    /// The available targets have reached the rates that they state as their limits.
    #[error("available targets of the service have reached the request rates that they state")]
    AllAtStatedRate,
    /// The available targets have asked this node for no requests for now.
    #[error("available targets of the service want no requests for now")]
    AllDeferred,
    /// The available targets have no memory left for the request.
    #[error("available targets of the service have no memory left for the request")]
    AllFull,
}

/// This node's load on one target, and the target's health.
#[derive(Clone, Debug, Default)]
pub(crate) struct TargetState {
    incarnation: Option<Target>,
    pub(crate) own: TargetLoad,
    pub(crate) health: TargetHealth,
    pub(crate) cold: cold_limit::SendRate,
}

/// Targets among which one is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Paths {
    /// Those that this node is likely to reach itself.
    Direct,
    /// Also those that it does not reach.
    Any,
}

/// Load and health of all targets, as seen by one node.
#[derive(Clone, Debug)]
pub struct TargetSelector {
    pub(crate) node: Name,
    data_centre: Name,
    /// Nodes known to be alive, including this one.
    pub(crate) nodes: Vec<Name>,
    pub(crate) states: IndexMap<Name, TargetState>,
    /// Load of the other nodes.
    pub(crate) others: LoadByTarget,
    /// Time that the engines of each service take for prompts.
    pub(crate) prefill: IndexMap<Name, PrefillRate>,
    pub(crate) reachability: Reachability,
    pub(crate) stated_rates: StatedRates,
    pub(crate) brittle: BrittleTargets,
    pub(crate) speeds: TargetSpeeds,
    /// Arrivals by priority level at this node.
    pub level_arrivals: LevelArrivals,
}

impl TargetSelector {
    /// Creates the selector of `node` in `data_centre`, without load or other nodes.
    pub fn new(node: Name, data_centre: Name) -> Self {
        Self {
            nodes: Vec::new(),
            node,
            data_centre,
            states: IndexMap::new(),
            others: LoadByTarget::new(),
            prefill: IndexMap::new(),
            reachability: Reachability::new(),
            stated_rates: StatedRates::new(),
            brittle: BrittleTargets::new(),
            speeds: TargetSpeeds::new(),
            level_arrivals: LevelArrivals::new(),
        }
    }

    /// Sets the nodes that share the rate limits of cold targets.
    pub fn set_nodes(&mut self, nodes: Vec<Name>) {
        self.nodes = nodes;
    }

    /// Updates the targets from the directory. The failures of a target's former incarnation
    /// are discarded.
    pub fn update_targets(&mut self, directory: &Directory) {
        for (target, _) in directory.targets() {
            let state = self.states.entry(target.id.clone()).or_default();
            let is_same = state
                .incarnation
                .as_ref()
                .is_some_and(|incarnation| incarnation.is_same_incarnation(target));
            if !is_same {
                state.health = TargetHealth::default();
            }
            state.incarnation = Some(target.clone());
        }
        self.states
            .retain(|id, state| state.own.running > 0 || directory.target(id).is_some());
        self.stated_rates
            .retain_listed(|id| directory.target(id).is_some());
        self.brittle
            .retain_listed(|id| directory.target(id).is_some());
        self.speeds.update_targets(directory);
    }

    /// Chooses the target with the lowest cost for a request; `draw` returns random numbers
    /// from 0 to 1.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if no target can be given the request now.
    pub fn choose<'a, D>(
        &self,
        now: Millis,
        directory: &'a Directory,
        demand: &RequestDemand,
        excluded: &[Name],
        draw: D,
    ) -> Result<&'a Target, PlacementError>
    where
        D: FnMut() -> f64,
    {
        self.choose_by(Paths::Direct, now, directory, demand, excluded, draw)
    }

    /// Does what [`Self::choose`] does, also among targets that did not accept a connection of
    /// this node: another node may reach them.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError`] if no target can be given the request now.
    pub fn choose_relayed<'a, D>(
        &self,
        now: Millis,
        directory: &'a Directory,
        demand: &RequestDemand,
        excluded: &[Name],
        draw: D,
    ) -> Result<&'a Target, PlacementError>
    where
        D: FnMut() -> f64,
    {
        self.choose_by(Paths::Any, now, directory, demand, excluded, draw)
    }

    fn choose_by<'a, D>(
        &self,
        paths: Paths,
        now: Millis,
        directory: &'a Directory,
        demand: &RequestDemand,
        excluded: &[Name],
        mut draw: D,
    ) -> Result<&'a Target, PlacementError>
    where
        D: FnMut() -> f64,
    {
        let configuration = directory
            .configuration()
            .ok_or(PlacementError::NoneInService)?;
        let mut reason = PlacementError::NoneInService;
        let mut is_full = false;
        let mut best: Option<(f64, &Target)> = None;
        let share = candidate_share(count_targets(directory, &demand.service));
        for (target, read_ms) in directory.targets() {
            if target.service != demand.service || target.is_draining {
                continue;
            }
            if directory.is_out(&target.data_centre) {
                continue;
            }
            if !demand.version.allows(target) {
                if reason == PlacementError::NoneInService {
                    reason = PlacementError::NoneOfVersion;
                }
                continue;
            }
            if !demand.allowed.allows(target) {
                if reason == PlacementError::NoneInService {
                    reason = PlacementError::NoneOnSide;
                }
                continue;
            }
            if paths == Paths::Direct && self.is_unreached(now, &target.id) {
                reason = PlacementError::AllFailing;
                continue;
            }
            if let Err(error) = self.check_available(now, configuration, target, read_ms, excluded)
            {
                reason = error;
                continue;
            }
            if !self.has_room(configuration, target, demand) || !self.has_place(now, target) {
                is_full = true;
                continue;
            }
            let candidate_cost = candidate_cost(draw(), share);
            let cost = self.cost(configuration, target, demand)
                + self.unreachable_cost(now, target)
                + cross_data_centre_cost(target, &self.data_centre, CROSS_DATA_CENTRE_COST)
                + JITTER_COST * draw()
                + candidate_cost;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, target));
            }
        }
        // Room is expected soon, whatever the other targets lack.
        if is_full {
            reason = PlacementError::AllFull;
        }
        best.map(|(_, target)| target).ok_or(reason)
    }

    /// Returns what targets state about refusals, to record statements.
    pub fn brittle_mut(&mut self) -> &mut BrittleTargets {
        &mut self.brittle
    }

    /// Returns the request rates that targets state, as known to this node.
    pub fn stated_rates(&self) -> &StatedRates {
        &self.stated_rates
    }

    /// Returns the request rates that targets state, to record statements.
    pub fn stated_rates_mut(&mut self) -> &mut StatedRates {
        &mut self.stated_rates
    }

    /// Returns the time until one of a service's targets, all of which fail, have asked for no
    /// requests or have reached the rates that they state, may be sent one; `None` if it has
    /// none in service.
    pub fn until_available_ms(
        &self,
        now: Millis,
        directory: &Directory,
        service: &str,
    ) -> Option<Millis> {
        let is_usable = |target: &Target| {
            target.service == service
                && !target.is_draining
                && !directory.is_out(&target.data_centre)
        };
        directory
            .targets()
            .filter(|(target, _)| is_usable(target))
            .map(|(target, _)| {
                let available_ms = self.health(&target.id).available_at_ms().since(now);
                available_ms.max(self.until_stated_rate_ms(now, target))
            })
            .min()
    }

    /// Returns the memory, in tokens, that all nodes' requests need at a service's targets.
    pub fn running_tokens(&self, directory: &Directory, service: &str) -> u64 {
        directory
            .targets()
            .filter(|(target, _)| target.service == service)
            .map(|(target, _)| self.total_load(&target.id).tokens)
            .sum()
    }

    /// Returns this node's load by target, and which targets refuse its connections.
    pub fn own_load(&self, now: Millis) -> LoadByTarget {
        let reported = |state: &TargetState| TargetLoad {
            refusals: u32::from(state.health.is_refusing(now)),
            ..state.own.clone()
        };
        let mut load: LoadByTarget = self
            .states
            .iter()
            .map(|(id, state)| (id.clone(), reported(state)))
            .filter(|(_, load)| !load.is_empty())
            .collect();
        self.level_arrivals.add_to(now, &mut load);
        load
    }

    /// Sets the load of the other nodes.
    pub fn set_other_load(&mut self, others: LoadByTarget) {
        self.others = others;
    }

    /// Returns the load of all nodes on a target.
    pub fn total_load(&self, id: &str) -> TargetLoad {
        let mut load = self
            .states
            .get(id)
            .map_or_else(TargetLoad::default, |state| state.own.clone());
        if let Some(others) = self.others.get(id) {
            load.add(others);
        }
        load
    }

    /// Returns the number of this node's requests that run at a target.
    pub fn running(&self, id: &str) -> u32 {
        self.states.get(id).map_or(0, |state| state.own.running)
    }

    /// Returns the health of a target; that of an unknown one is good.
    pub(crate) fn health(&self, id: &str) -> TargetHealth {
        self.states
            .get(id)
            .map_or_else(TargetHealth::default, |state| state.health)
    }

    pub(crate) fn health_mut(&mut self, id: &str) -> &mut TargetHealth {
        &mut self.states.entry(id.into()).or_default().health
    }

    /// Checks that a target in service may be sent a request now.
    pub(crate) fn check_available(
        &self,
        now: Millis,
        configuration: &Configuration,
        target: &Target,
        read_ms: Millis,
        excluded: &[Name],
    ) -> Result<(), PlacementError> {
        let health = self.health(&target.id);
        if excluded.contains(&target.id) || health.is_in_backoff(now) {
            return Err(PlacementError::AllFailing);
        }
        if health.is_deferred(now) {
            return Err(PlacementError::AllDeferred);
        }
        if !self.is_within_cold_limit(now, configuration, target, read_ms) {
            return Err(PlacementError::AllCold);
        }
        if !self.is_within_stated_rate(now, target) {
            return Err(PlacementError::AllAtStatedRate);
        }
        Ok(())
    }

    /// Returns the cost of a target in a data centre that this node does not reach.
    pub(crate) fn unreachable_cost(&self, now: Millis, target: &Target) -> f64 {
        let is_avoided = self.reachability.is_avoided(now, &target.data_centre);
        cost_if(is_avoided, UNREACHABLE_COST)
    }

    pub(crate) fn has_room(
        &self,
        configuration: &Configuration,
        target: &Target,
        demand: &RequestDemand,
    ) -> bool {
        let service = configuration.services.get(&target.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return true;
        };
        let prefill = self.prefill.get(&target.service).copied();
        let prefill = self.prefill_at(prefill.unwrap_or_default(), target);
        let load = self.total_load(&target.id);
        match demand.level {
            Some(level) => {
                priority_admission::has_room(&target.id, &load, engine, level, demand, &prefill)
            }
            None => admission::has_room(&load, engine, demand, &prefill),
        }
    }

    pub(crate) fn has_place(&self, now: Millis, target: &Target) -> bool {
        let own = self.running(&target.id);
        self.brittle
            .has_place(now, target, own, &self.node, &self.nodes)
    }

    fn is_within_cold_limit(
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
        let state = self.states.get(&target.id);
        state.map_or(share > 0, |state| state.cold.has_capacity(now, share))
    }

    fn is_within_stated_rate(&self, now: Millis, target: &Target) -> bool {
        let incarnation = target.incarnation();
        self.stated_rates
            .has_capacity(now, &incarnation, &self.node, &self.nodes)
    }

    fn until_stated_rate_ms(&self, now: Millis, target: &Target) -> Millis {
        let incarnation = target.incarnation();
        self.stated_rates
            .until_capacity_ms(now, &incarnation, &self.node, &self.nodes)
    }

    pub(crate) fn cost(
        &self,
        configuration: &Configuration,
        target: &Target,
        demand: &RequestDemand,
    ) -> f64 {
        let service = configuration.services.get(&target.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        let load = self.total_load(&target.id);
        let cost = load_cost(&load, engine, target, demand.total_tokens);
        self.cost_with_speed(cost, &load, target, engine, demand)
    }
}

pub(crate) fn count_targets(directory: &Directory, service: &Name) -> usize {
    let targets = directory.targets();
    targets
        .filter(|(target, _)| target.service == *service)
        .count()
}
