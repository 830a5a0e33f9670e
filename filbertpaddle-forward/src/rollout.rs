//! Roll-outs: operators' orders to move the traffic of a service to another software version,
//! and what the nodes have decided about them.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::revision::Revision;

/// Limits on what callers may lose to a bad version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutLimits {
    /// Part of the requests that reach the service, from the order to its deadline, that a bad
    /// version may get.
    pub max_exposed_share: f64,
    /// Requests that it may get beyond this part.
    pub exposed_slack: f64,
    /// Time after its [`MAX_BAD_ANSWERS`]th bad answer from which it must get no more requests.
    pub rollback_ms: Millis,
}

/// Number of bad answers from which a version must be rolled back.
pub const MAX_BAD_ANSWERS: u64 = 50;

/// Operator's order to move a service's traffic to the targets of another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// Service whose traffic moves.
    pub service: Name,
    /// Software version that it moves to.
    pub version: Name,
    /// Time from the order to its deadline.
    pub duration_ms: Millis,
}

/// State of a roll-out, as operators read it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum RolloutState {
    /// The new version gets a part of the traffic, or all of it while the old one drains.
    #[default]
    Running,
    /// All traffic goes to the new version; the old targets may stop.
    Completed,
    /// All traffic goes to the old version; the new targets may stop.
    RolledBack,
}

/// What the nodes have decided about an order, as kept in the store.
///
/// Records of one order are ordered by `step`: each write under a condition raises it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The order.
    pub order: RolloutOrder,
    /// Revision of the store at which the order was written; a later order has a higher one.
    pub ordered: Revision,
    /// Time by the store's clock when the order was first read.
    pub started_ms: Millis,
    /// State.
    pub state: RolloutState,
    /// Part of the service's requests that the new version gets, in thousandths.
    pub share_per_mille: u32,
    /// Number of times that the record was written.
    pub step: u32,
}
