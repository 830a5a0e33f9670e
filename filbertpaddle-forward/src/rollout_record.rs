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

/// Why an order changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The service has no targets and is not configured.
    #[error("no such service")]
    UnknownService,
    /// The order leaves no time.
    #[error("the duration is zero")]
    NoDuration,
    /// No version is named.
    #[error("the version is empty")]
    NoVersion,
    /// All targets of the service have the version already.
    #[error("all targets have version {0}")]
    AlreadyThere(Name),
}

impl RolloutOrder {
    /// Checks the order against the versions that the targets of its service have now, `None`
    /// if the service is unknown. A version that no target has yet is no error.
    ///
    /// # Errors
    ///
    /// Returns why the order changes nothing.
    pub fn check(&self, versions: Option<&[Name]>) -> Result<(), OrderError> {
        let versions = versions.ok_or(OrderError::UnknownService)?;
        if self.version.is_empty() {
            return Err(OrderError::NoVersion);
        }
        if self.duration_ms == Millis::ZERO {
            return Err(OrderError::NoDuration);
        }
        let is_there = !versions.is_empty() && versions.iter().all(|name| *name == self.version);
        if is_there {
            return Err(OrderError::AlreadyThere(self.version.clone()));
        }
        Ok(())
    }
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

impl RolloutRecord {
    /// Returns whether this record replaces `other` of the same service.
    pub fn is_after(&self, other: &Self) -> bool {
        (self.ordered, self.step) > (other.ordered, other.step)
    }

    /// Returns the record that follows this one.
    pub fn next(&self, state: RolloutState, share_per_mille: u32) -> Self {
        Self {
            state,
            share_per_mille,
            step: self.step + 1,
            ..self.clone()
        }
    }
}
