//! Requests for slots on targets: placements, refusals and endings.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;
use crate::outcome::Reason;
use crate::template::Priority;

/// Identifies a slot request among all requests of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// Identifies a granted slot among all slots of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotId(pub u64);

/// A request for one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotRequest {
    /// Chosen by the owner of the pool.
    pub id: RequestId,
    /// Customer whose share is charged.
    pub customer: Name,
    /// Template for which output lengths are estimated; unique across customers.
    pub template: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Weight of the customer in fair sharing of tokens, at least one.
    pub weight: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens the generation may produce.
    pub max_tokens: u32,
    /// Digest of the prompt's shared prefix; zero if it has none.
    pub prefix: u64,
    /// Length of the shared prefix, in whole blocks of the target's cache.
    pub prefix_tokens: u32,
    /// Digest of the whole request; a resent request has the same.
    pub digest: u64,
    /// Digests of the parts of the prompt, which other requests may share.
    pub parts: Vec<u64>,
    /// When the request reached the owner.
    pub arrived_ms: Millis,
    /// When the request expires in the queue.
    pub deadline_ms: Millis,
}

impl SlotRequest {
    /// Returns what the request has in common with others that may crash targets.
    pub fn fingerprints(&self) -> Vec<u64> {
        let parts = self.parts.iter().copied();
        std::iter::once(self.digest).chain(parts).collect()
    }
}

/// A target's state as the scheduler needs it for placement.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetView {
    /// Name of the target.
    pub name: Name,
    /// Slots that may be granted now; zero excludes the target.
    pub free_slots: u32,
    /// Capacity of the target's memory in tokens; zero if not known.
    pub capacity_tokens: u64,
    /// Whether the target has warmed up.
    pub warm: bool,
}

/// A target's load at the time of its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Load {
    /// When the report was taken, on the owner's clock.
    pub taken_ms: Millis,
    /// Tokens in memory.
    pub used_tokens: u64,
    /// Attempts in the running batch.
    pub running: u32,
    /// Attempts waiting to join the batch.
    pub waiting: u32,
    /// Preemptions since the target started.
    pub preemptions: u64,
}

/// A queued request and the target chosen for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    /// The request, removed from the queue.
    pub request: SlotRequest,
    /// Name of the target.
    pub target: Name,
}

/// A request that gets no slot. Nothing was sent to a target for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The refused request.
    pub id: RequestId,
    /// Why it is refused.
    pub reason: Reason,
    /// How long to wait before a retry; `None` if retrying cannot help.
    pub retry_after_ms: Option<Millis>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// The target completed the work.
    #[serde(rename = "c")]
    Complete,
    /// The work was cancelled while it ran.
    #[serde(rename = "x")]
    Cancelled,
    /// Nothing was sent to the target.
    #[serde(rename = "u")]
    Unsent,
    /// The target refused the work before it started.
    #[serde(rename = "r")]
    Refused,
    /// The VM could not connect to the target, so nothing was sent.
    #[serde(rename = "n")]
    Unreached,
    /// The target crashed or the stream broke while the work ran.
    #[serde(rename = "f")]
    Failed,
    /// The outcome is unknown; the owner reclaimed the slot.
    #[serde(rename = "q")]
    Unknown,
}

impl Ending {
    /// Returns whether the target has certainly stopped working on the attempt.
    pub const fn is_over(self) -> bool {
        matches!(
            self,
            Self::Complete | Self::Unsent | Self::Refused | Self::Unreached
        )
    }
}
