//! Placement policies and their settings.

use serde::Deserialize;
use serde::Serialize;

/// Rule by which a target is chosen for queued work.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Each target in turn, arrivals in order.
    RoundRobin,
    /// The target with the fewest running attempts, arrivals in order.
    LeastConnections,
    /// By predicted memory, token gap and prefix affinity, with fair shares.
    #[default]
    Predictive,
}

/// Placement settings of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Rule by which a target is chosen.
    pub policy: Policy,
    /// Weight of preemptions and stall time against the tail of the token gap,
    /// from 0 (only the gap counts) to 100 (only preemptions count).
    pub stall_weight_percent: u8,
    /// Goal for the 95th percentile of the token gap.
    pub token_gap_ms: u32,
    /// Longest queue of one pool, in requests.
    pub queue_limit: u32,
    /// Time in the queue that raises a request by one priority.
    pub ageing_ms: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::Predictive,
            stall_weight_percent: 50,
            token_gap_ms: 41,
            queue_limit: 20_000,
            ageing_ms: 5_000,
        }
    }
}
