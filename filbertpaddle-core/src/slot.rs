//! Slots: one piece of work on one target.

use serde::Deserialize;
use serde::Serialize;

use crate::name::Name;
use crate::roster::NodeId;

/// Identifies one piece of work among all nodes and lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkKey {
    /// Node that sends the work.
    pub holder: NodeId,
    /// Epoch of the owner that granted it, or the last one known to a holder
    /// that uses its share.
    pub epoch: u64,
    /// Who counted the work.
    pub source: Source,
    /// Number of the work, unique for an epoch's grants or a holder's share.
    pub number: u64,
}

/// Under which rule work was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Source {
    /// The owner of the pool granted the slot.
    #[serde(rename = "g")]
    Granted,
    /// The holder used its fixed share.
    #[serde(rename = "s")]
    Share,
}

impl WorkKey {
    /// Returns the fencing number that a target checks.
    ///
    /// Work by share comes after all grants of the epoch and before the next.
    pub fn fence(&self) -> u64 {
        fence(self.epoch, self.source)
    }
}

/// Returns the fencing number of an epoch's work.
pub fn fence(epoch: u64, source: Source) -> u64 {
    epoch * 2 + u64::from(source == Source::Share)
}

/// Work that a holder has accepted and not ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeldWork {
    /// Which work.
    pub key: WorkKey,
    /// Target it goes to.
    pub target: Name,
}

/// Permission to send one piece of work.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// Which work.
    pub key: WorkKey,
    /// Target it may be sent to.
    pub target: Name,
    /// Request of the holder that is answered.
    pub request: u64,
    /// Last stamp of the holder that the owner had heard.
    pub stamp: u64,
    /// Whether the target is cold.
    pub cold: bool,
}
