//! Demand of a request on its target.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use crate::admission::Claim;
use crate::allowed_targets::AllowedTargets;
use crate::level_load::LevelLoad;
use crate::level_load::LevelLoads;
use crate::load_table::TargetLoad;
use crate::priority_admission::KeptRoom;
use crate::rollout_counts::Side;
use crate::software_version::VersionBinding;

/// Resources that a request needs at a target.
#[derive(Clone, Debug, Default)]
pub struct RequestDemand {
    /// Service that runs the request.
    pub service: Name,
    /// Prompt tokens that are processed before the first output.
    pub prompt_tokens: u32,
    /// Memory, in tokens, that the request is expected to need when it ends.
    pub total_tokens: u32,
    /// Claim on the targets' memory.
    pub claim: Claim,
    /// How long prompts, its own included, may take before its first output.
    pub max_prefill_ms: Millis,
    /// Software versions of the targets that may run it.
    pub version: VersionBinding,
    /// Priority level, 0 the highest; `None` if requests are admitted without regard to it.
    pub level: Option<u8>,
    /// Room that it leaves to requests of other levels.
    pub kept: KeptRoom,
    /// Side of its service's roll-out that it goes to; `None` if there was none at its admission.
    pub side: Option<Side>,
    /// Targets that may run it while its service is rolled out.
    pub allowed: AllowedTargets,
}

impl From<&RequestDemand> for TargetLoad {
    fn from(demand: &RequestDemand) -> Self {
        Self {
            running: 1,
            refusals: 0,
            tokens: u64::from(demand.total_tokens),
            prompt_tokens: u64::from(demand.prompt_tokens),
            levels: demand.level.map_or_else(LevelLoads::default, |level| {
                LevelLoads::from(LevelLoad {
                    level,
                    requests: 1,
                    tokens: u64::from(demand.total_tokens),
                    prompt_tokens: u64::from(demand.prompt_tokens),
                })
            }),
        }
    }
}
