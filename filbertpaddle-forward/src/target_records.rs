//! What a node records of its requests at targets and of the targets' answers, for its choices.

use filbertpaddle_core::clock::Millis;

use crate::level_load::LevelLoad;
use crate::level_load::LevelLoads;
use crate::load_table::TargetLoad;
use crate::reachability::Reachability;
use crate::request_demand::RequestDemand;
use crate::target::Target;
use crate::target_selector::TargetSelector;

impl TargetSelector {
    /// Records that a request was sent to a target.
    pub fn record_sent(&mut self, now: Millis, target: &Target, demand: &RequestDemand) {
        let state = self.states.entry(target.id.clone()).or_default();
        state.own.add(&TargetLoad::from(demand));
        state.cold.record_sent(now);
        self.stated_rates
            .record_sent(now, &target.incarnation(), &self.node, &self.nodes);
    }

    /// Records that a request's first event came after `waited_ms`, with `ahead_tokens` of
    /// other prompts at its target when it was sent.
    pub fn record_first_event(
        &mut self,
        demand: &RequestDemand,
        ahead_tokens: u64,
        waited_ms: Millis,
    ) {
        let tokens = ahead_tokens + u64::from(demand.prompt_tokens);
        let rate = self.prefill.entry(demand.service.clone()).or_default();
        rate.record(tokens, waited_ms);
    }

    /// Records that a target has processed a request's prompt.
    pub fn record_prefilled(&mut self, id: &str, demand: &RequestDemand) {
        if let Some(state) = self.states.get_mut(id) {
            let prompt_tokens = u64::from(demand.prompt_tokens);
            let prefilled = TargetLoad {
                prompt_tokens,
                levels: demand.level.map_or_else(LevelLoads::default, |level| {
                    LevelLoads::from(LevelLoad {
                        level,
                        prompt_tokens,
                        ..LevelLoad::default()
                    })
                }),
                ..TargetLoad::default()
            };
            state.own = state.own.without(&prefilled);
        }
    }

    /// Records that a request has ended at a target; `was_prefilled` is whether
    /// [`Self::record_prefilled`] was called for it.
    pub fn record_ended(&mut self, id: &str, demand: &RequestDemand, was_prefilled: bool) {
        if !was_prefilled {
            self.record_prefilled(id, demand);
        }
        if let Some(state) = self.states.get_mut(id) {
            let whole = TargetLoad::from(demand);
            let ended = TargetLoad {
                prompt_tokens: 0,
                levels: whole.levels.without_prompts(),
                ..whole
            };
            state.own = state.own.without(&ended);
        }
    }

    /// Records a successful response, which ends the target's back-off.
    pub fn record_success(&mut self, id: &str) {
        if let Some(state) = self.states.get_mut(id) {
            state.health.record_success();
        }
    }

    /// Records a refused connection, and returns the end of the target's back-off.
    ///
    /// The refusal is published to the other nodes, which avoid the target if it runs no
    /// requests: failed targets stay listed and look idle while the store is unavailable.
    pub fn record_refused(&mut self, now: Millis, id: &str) -> Millis {
        self.health_mut(id).record_unreached(now, true)
    }

    /// Records that a target did not accept a connection in time, and returns the end of its
    /// back-off.
    pub fn record_unreachable(&mut self, now: Millis, target: &Target) -> Millis {
        self.reachability
            .record_timeout(now, &target.data_centre, &target.id);
        self.health_mut(&target.id).record_unreached(now, false)
    }

    /// Records that a target accepted a connection of this node.
    pub fn record_reached(&mut self, id: &str) {
        if let Some(state) = self.states.get_mut(id) {
            state.health.record_reached();
        }
    }

    /// Forgets the failures of all targets and data centres: this node is, or was, cut off from
    /// all of them.
    pub fn forget_failures(&mut self) {
        self.reachability = Reachability::new();
        self.states
            .values_mut()
            .for_each(|state| state.health.forget_failures());
    }

    /// Returns whether a target did not accept a connection of this node a short while ago.
    pub fn is_unreached(&self, now: Millis, id: &str) -> bool {
        self.health(id).is_unreached(now)
    }

    /// Records that a target has responded in some way, so that its data centre is reachable.
    pub fn record_response(&mut self, target: &Target) {
        self.reachability.record_response(&target.data_centre);
    }

    /// Records a failed request, and returns the end of the target's back-off.
    pub fn record_failure(&mut self, now: Millis, id: &str) -> Millis {
        self.health_mut(id).record_failure(now)
    }

    /// Records that a target has refused a request and wants none for `span`, and returns when
    /// this node sends to it again; `draw` is a random number from 0 to 1.
    pub fn record_retry_after(&mut self, now: Millis, id: &str, span: Millis, draw: f64) -> Millis {
        self.health_mut(id).record_retry_after(now, span, draw)
    }

    /// Records that a target refused a request for want of room, and returns the time until which
    /// this node sends it none, if it is brittle.
    pub fn record_room_refused(&mut self, now: Millis, target: &Target) -> Millis {
        self.brittle.record_refused(now, target, self.nodes.len())
    }
}
