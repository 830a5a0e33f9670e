//! Slots, each for one piece of work on one target, and their fencing numbers.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::roster::NodeId;

/// Identifies one piece of work among all nodes and their incarnations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkKey {
    /// Node that sends the work.
    pub holder: NodeId,
    /// Epoch of the owner that granted the slot; for work within a share, the
    /// highest epoch of a collect request that the holder received.
    pub epoch: u64,
    /// Rule under which the work was sent.
    pub source: Source,
    /// Number of the work, unique among an epoch's grants or a holder's work
    /// within its shares.
    pub number: u64,
}

/// Rule under which work was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The owner of the pool granted the slot.
    #[serde(rename = "g")]
    Granted,
    /// The holder used its fixed share of the target.
    #[serde(rename = "s")]
    Share,
}

impl WorkKey {
    /// Returns the fencing number that a target checks.
    ///
    /// Work within a share ranks after all grants of its epoch and before the
    /// next epoch.
    pub fn fence(&self) -> u64 {
        fence(self.epoch, self.source)
    }
}

/// Returns the fencing number of an epoch's work under one rule.
pub fn fence(epoch: u64, source: Source) -> u64 {
    epoch * 2 + u64::from(source == Source::Share)
}

/// Work that a holder has accepted and that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeldWork {
    /// Identifies the work.
    pub key: WorkKey,
    /// Target that the work goes to.
    pub target: Name,
}

/// Permission to send one piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Identifies the work.
    pub key: WorkKey,
    /// Target that the work may be sent to.
    pub target: Name,
    /// Number of the holder's request that the grant answers.
    pub request: u64,
    /// Last stamp that the owner had received from the holder.
    pub stamp: u64,
    /// Whether the target is cold.
    pub cold: bool,
}
