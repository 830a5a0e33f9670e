//! Optional behaviour of nodes, switched on by the settings.

use crate::rollout_record::RolloutLimits;

/// Behaviour that is in force only where the settings call for it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Features {
    /// Limits on roll-outs; `None` if operators order none.
    pub rollouts: Option<RolloutLimits>,
    /// Whether the speed of each target is measured and used.
    pub target_speeds: bool,
    /// Whether a node that reaches no target in service, by any path, is not ready.
    pub path_readiness: bool,
    /// Whether more urgent requests are admitted before less urgent ones of their service.
    pub priority_admission: bool,
}
