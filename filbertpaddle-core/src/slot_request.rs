//! Asks for slots, and what becomes of them.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;
use crate::outcome::Reason;
use crate::template::Priority;

/// Identifies an ask among all asks of one pool.
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
    /// Template whose output lengths are learned; unique among customers.
    pub template: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Relative share of tokens of the customer, at least one.
    pub weight: u32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens the generation may produce.
    pub max_tokens: u32,
    /// Digest of the prompt's shared prefix; zero if it has none.
    pub prefix: u64,
    /// Length of the shared prefix, in whole blocks of the target's cache.
    pub prefix_tokens: u32,
    /// Digest of the whole request, equal for a resend.
    pub digest: u64,
    /// When the ask reached the owner.
    pub arrived_ms: Millis,
    /// When a slot is of no use any more.
    pub deadline_ms: Millis,
}

/// What the owner knows of one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetView {
    /// Name of the target.
    pub name: Name,
    /// Slots that may be granted now; zero keeps the target out.
    pub free_slots: u32,
    /// Tokens that the target's memory holds; zero if not known.
    pub capacity_tokens: u64,
    /// Whether the target has warmed up.
    pub warm: bool,
}

/// A target's report of its load, as of the time it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Load {
    /// When the numbers were taken, on the owner's clock.
    pub taken_ms: Millis,
    /// Tokens in memory.
    pub used_tokens: u64,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts waiting for the batch.
    pub waiting: u32,
    /// Preemptions since the target started.
    pub preemptions: u64,
}

/// A queued ask and the target chosen for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    /// The ask, removed from the queue.
    pub request: SlotRequest,
    /// Name of the target.
    pub target: Name,
}

/// An ask that gets no slot. Nothing was sent to a target for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The refused ask.
    pub id: RequestId,
    /// Why it is refused.
    pub reason: Reason,
    /// How long to wait before asking again; `None` if repeating cannot help.
    pub retry_after_ms: Option<Millis>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ending {
    /// The target ended the work by itself.
    #[serde(rename = "c")]
    Complete,
    /// The work was cancelled while it ran.
    #[serde(rename = "x")]
    Cancelled,
    /// Nothing was sent to the target.
    #[serde(rename = "u")]
    Unsent,
    /// The target refused the work before starting it.
    #[serde(rename = "r")]
    Refused,
    /// The target died or broke the stream while it ran the work.
    #[serde(rename = "f")]
    Failed,
    /// Nothing is known of the work; the slot was taken back.
    #[serde(rename = "q")]
    Unknown,
}

impl Ending {
    /// Returns whether the target certainly does not work on the attempt any more.
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Complete | Self::Unsent | Self::Refused)
    }
}
