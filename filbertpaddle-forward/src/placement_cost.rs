//! Cost of sending a request to a target, relative to the other targets of its service.
//!
//! The unit is the memory of one target.

use filbertpaddle_core::name::Name;

use crate::configuration::Engine;
use crate::load_table::TargetLoad;
use crate::target::Target;

/// Weight of unprocessed prompt tokens relative to memory in use, since prompt processing
/// delays every other stream of the target.
const PREFILL_WEIGHT: f64 = 5.0;
/// Cost of a target in another data centre.
pub const CROSS_DATA_CENTRE_COST: f64 = 0.25;
/// Cost of a copy to another data centre, which takes twice as long as one within a data
/// centre and delays the copies queued behind it.
pub const CROSS_DATA_CENTRE_COPY_COST: f64 = 0.5;
/// Upper bound of a random cost that keeps nodes from all choosing the same target.
pub const JITTER_COST: f64 = 0.08;
/// Expected memory use, as a fraction of a target's memory, above which
/// [`OVERCOMMIT_COST`] applies.
const MAX_MEMORY_SHARE: f64 = 1.0;
/// Cost of a target whose memory is expected to be overcommitted.
const OVERCOMMIT_COST: f64 = 4.0;
/// Expected number of candidates that are drawn for a request if the service has more
/// targets. Nodes learn of each other's choices with a delay of about 100 ms; without the
/// draw, many nodes would choose the same target of a large service.
const EXPECTED_CANDIDATES: f64 = 16.0;
/// Cost of a target that is not drawn as a candidate. It can still be chosen, because all
/// candidates may be full.
const NON_CANDIDATE_COST: f64 = 2.0;
/// Cost of a target that refuses connections of other nodes and runs no requests, or whose
/// data centre this node does not reach.
pub const UNREACHABLE_COST: f64 = 8.0;

/// Returns the cost of a request that needs `total_tokens` of memory at a target with `load`;
/// `engine` is `None` if the target is no engine.
pub fn load_cost(
    load: &TargetLoad,
    engine: Option<&Engine>,
    target: &Target,
    total_tokens: u32,
) -> f64 {
    let is_unreachable = load.refusals > 0 && load.running == 0;
    let unreachable_cost = cost_if(is_unreachable, UNREACHABLE_COST);
    let Some(engine) = engine else {
        return unreachable_cost + f64::from(load.running) / f64::from(target.slots.max(1));
    };
    let memory = f64::from(engine.memory_tokens.max(1));
    let used = (load.tokens + u64::from(total_tokens)) as f64 / memory;
    cost_if(used > MAX_MEMORY_SHARE, OVERCOMMIT_COST)
        + unreachable_cost
        + used
        + PREFILL_WEIGHT * load.prompt_tokens as f64 / memory
}

/// Returns the probability with which each of `targets` of a service is drawn as a candidate;
/// 1 or more if all are.
pub fn candidate_share(targets: usize) -> f64 {
    EXPECTED_CANDIDATES / targets.max(1) as f64
}

/// Returns the cost of a target for which `draw` was drawn from 0 to 1.
pub fn candidate_cost(draw: f64, share: f64) -> f64 {
    cost_if(draw >= share, NON_CANDIDATE_COST)
}

/// Returns `cost` if a target is in another data centre than `data_centre`, else 0.
pub fn cross_data_centre_cost(target: &Target, data_centre: &Name, cost: f64) -> f64 {
    cost_if(target.data_centre != *data_centre, cost)
}

/// Returns `cost` if it applies, else 0.
pub fn cost_if(applies: bool, cost: f64) -> f64 {
    if applies { cost } else { 0.0 }
}
