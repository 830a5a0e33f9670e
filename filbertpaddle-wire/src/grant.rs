//! Messages between the owner of a pool and the holders of its slots.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::slot::Source;
use filbertpaddle_core::suspect::CrashRecord;
use filbertpaddle_core::template::Priority;
use serde::Deserialize;
use serde::Serialize;
use serde_tuple::Deserialize_tuple;
use serde_tuple::Serialize_tuple;

/// A message about slots of the pool named in the first field.
///
/// Requests, stamps, withdrawals, releases and collect replies go from a holder
/// to the owner; grants, refusals, denials and collect requests from the owner to a
/// holder; crash records in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a slot from the owner.
    #[serde(rename = "a")]
    SlotRequest(Name, SlotRequest),
    /// Renews the time in which a waiting holder accepts grants, with a new stamp.
    #[serde(rename = "t")]
    Stamp(Name, u64),
    /// Withdraws the request with this number.
    #[serde(rename = "w")]
    Withdraw(Name, u64),
    /// Grants a slot to the holder.
    #[serde(rename = "g")]
    Grant(Name, Grant),
    /// Reports that the request with this number is not queued; the holder
    /// requests a slot again later.
    #[serde(rename = "f")]
    Refuse(Name, u64),
    /// Refuses the request with this number, with the reason.
    #[serde(rename = "d")]
    Deny(Name, u64, Denial),
    /// Returns a slot.
    #[serde(rename = "r")]
    Release(Name, ReleasedSlot, End),
    /// Forwards the crash record of the suspect request with this digest.
    #[serde(rename = "x")]
    Suspect(Name, u64, CrashRecord),
    /// Requests the work that the holder holds.
    #[serde(rename = "c")]
    CollectRequest(Name, CollectRequest),
    /// Response to [`Message::CollectRequest`].
    #[serde(rename = "h")]
    CollectReply(Name, CollectReply),
}

impl Message {
    /// Returns the name of the pool.
    pub fn pool(&self) -> &Name {
        match self {
            Self::SlotRequest(pool, _)
            | Self::Stamp(pool, _)
            | Self::Withdraw(pool, _)
            | Self::Grant(pool, _)
            | Self::Refuse(pool, _)
            | Self::Release(pool, _, _)
            | Self::Deny(pool, _, _)
            | Self::Suspect(pool, _, _)
            | Self::CollectRequest(pool, _)
            | Self::CollectReply(pool, _) => pool,
        }
    }
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct SlotRequest {
    /// Number of the request, unique within the holder's incarnation.
    pub number: u64,
    /// The holder's stamp at the time of the request.
    pub stamp: u64,
    /// The holder's session at the time of the request.
    pub session: u32,
    /// The work to run.
    pub want: WorkSpec,
}

/// The properties of requested work that decide its queue order and its target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct WorkSpec {
    /// Customer and template, `customer/template`.
    pub template: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Weight of the customer in fair sharing of tokens.
    pub weight: u32,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens the generation may produce.
    pub max_tokens: u32,
    /// Digest of the prompt's shared prefix; zero if it has none.
    pub prefix: u64,
    /// Length of the shared prefix in tokens.
    pub prefix_tokens: u32,
    /// Digest of the whole request; a resent request has the same.
    pub digest: u64,
    /// Time for which the request may still wait.
    pub wait_ms: Millis,
}

/// A refusal of a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Denial {
    /// Why the request is refused.
    pub reason: Reason,
    /// How long to wait before a retry; `None` if retrying cannot help.
    pub retry_after_ms: Option<Millis>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct End {
    /// How the work ended.
    pub ending: Ending,
    /// Number of output tokens.
    pub tokens: u32,
}

impl End {
    /// The slot was returned without anything sent to its target.
    pub const UNSENT: Self = Self {
        ending: Ending::Unsent,
        tokens: 0,
    };

    /// The outcome of the work is unknown.
    pub const UNKNOWN: Self = Self {
        ending: Ending::Unknown,
        tokens: 0,
    };
}

/// A granted slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Grant {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the work, unique among the epoch's grants.
    pub number: u64,
    /// Target that the work may be sent to.
    pub target: Name,
    /// Number of the holder's request that the grant answers.
    pub ask: u64,
    /// Last stamp that the owner had received from the holder.
    pub stamp: u64,
    /// Whether the target is cold.
    pub cold: bool,
}

/// Identifies a slot that its holder returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ReleasedSlot {
    /// Epoch of the owner that granted the slot; for work within a share, the
    /// last epoch that the holder knows.
    pub epoch: u64,
    /// Rule under which the work was sent.
    pub source: Source,
    /// Number of the work.
    pub number: u64,
}

/// Work that the sender has accepted and that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct HeldWork {
    /// Target that the work goes to.
    pub target: Name,
    /// Epoch of the owner that granted the slot; for work within a share, the
    /// last epoch that the holder knows.
    pub epoch: u64,
    /// Rule under which the work was sent.
    pub source: Source,
    /// Number of the work.
    pub number: u64,
}

/// Asks a holder for the work that it holds.
///
/// From then on the holder refuses grants of this epoch numbered below `upto`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CollectRequest {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the owner's next grant.
    pub upto: u64,
}

/// A holder's reply to a [`CollectRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CollectReply {
    /// Epoch of the owner that sent the request.
    pub epoch: u64,
    /// Number of the owner's next grant at the time of the request.
    pub upto: u64,
    /// The holder's session.
    pub session: u32,
    /// All work that the holder has accepted and that has not ended.
    pub works: Vec<HeldWork>,
}
