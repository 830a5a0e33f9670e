//! Use of the targets' speed in the choice of one.
//!
//! Load pattern: targets of a service with equal slots differ in speed by a factor of two. By the
//! share of slots in use alone, slow ones get as much as fast ones, and their callers are late.

use filbertpaddle_core::clock::Millis;

use crate::admission::PrefillRate;
use crate::configuration::Engine;
use crate::load_table::TargetLoad;
use crate::request_demand::RequestDemand;
use crate::target::Target;
use crate::target_selector::TargetSelector;
use crate::target_speed::TargetSpeeds;

/// Time that a request takes at an idle target, in the unit of costs: what a target's load adds
/// until it is full.
const OWN_TIME_COST: f64 = 2.0;
/// Largest load cost that counts as time; costs above rank targets that are to be avoided.
const MAX_TIME_COST: f64 = 4.0;

/// Returns the part of a target's capacity that a load takes.
pub fn fill(load: &TargetLoad, target: &Target, engine: Option<&Engine>) -> f64 {
    let slots = engine.map_or(target.slots, |engine| engine.slots);
    let of_slots = f64::from(load.running) / f64::from(slots.max(1));
    let of_memory = engine.map_or(0.0, |engine| {
        load.tokens as f64 / f64::from(engine.memory_tokens.max(1))
    });
    of_slots.max(of_memory)
}

/// Returns what a target's speed adds to the cost of its load: the cost is the expected time to be
/// done. A target that takes `factor` times as long as a typical one gains nothing by its speed
/// once it is full.
pub fn speed_cost(load_cost: f64, factor: f64, is_full: bool) -> f64 {
    let factor = if is_full { factor.max(1.0) } else { factor };
    (factor - 1.0) * (load_cost.clamp(0.0, MAX_TIME_COST) + OWN_TIME_COST)
}

impl TargetSelector {
    /// Returns the speeds of the targets.
    pub fn speeds(&self) -> &TargetSpeeds {
        &self.speeds
    }

    /// Returns the speeds of the targets, to record samples and merge those of other nodes.
    pub fn speeds_mut(&mut self) -> &mut TargetSpeeds {
        &mut self.speeds
    }

    /// Returns the cost of a target, given that of its load, with its speed.
    pub(crate) fn cost_with_speed(
        &self,
        load_cost: f64,
        load: &TargetLoad,
        target: &Target,
        engine: Option<&Engine>,
        demand: &RequestDemand,
    ) -> f64 {
        if !self.speeds.is_in_force() {
            return load_cost;
        }
        let mut with_request = load.clone();
        with_request.add(&TargetLoad::from(demand));
        let fill = fill(&with_request, target, engine);
        let factor = self.speeds.time_factor_at(&target.incarnation(), fill);
        load_cost + speed_cost(load_cost, factor, fill > 1.0)
    }

    /// Returns the rate at which a target processes prompts, given that of its service.
    pub(crate) fn prefill_at(&self, rate: PrefillRate, target: &Target) -> PrefillRate {
        if !self.speeds.is_in_force() {
            return rate;
        }
        rate.slowed_by(self.speeds.time_factor(&target.incarnation()))
    }

    /// Returns how long a typical target would have taken for what `target` took `span_ms` for.
    pub fn typical_ms(&self, target: &Target, span_ms: Millis) -> Millis {
        let factor = self.speeds.time_factor(&target.incarnation());
        Millis((span_ms.0 as f64 / factor).round() as u64)
    }
}
