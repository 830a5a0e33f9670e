//! Messages about slots on targets.

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

/// A message about slots of one pool, which is named first.
///
/// The sender is the holder of what it sends to an owner, and the owner of
/// what it sends to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the owner for a slot.
    #[serde(rename = "a")]
    SlotRequest(Name, SlotRequest),
    /// The holder still waits; carries its stamp.
    #[serde(rename = "t")]
    Stamp(Name, u64),
    /// The holder has given up the request with this number.
    #[serde(rename = "w")]
    Withdraw(Name, u64),
    /// Gives the holder a slot.
    #[serde(rename = "g")]
    Grant(Name, Grant),
    /// The request with this number is not queued.
    #[serde(rename = "f")]
    Refuse(Name, u64),
    /// The request with this number gets no slot.
    #[serde(rename = "d")]
    Deny(Name, u64, Denial),
    /// Gives a slot on a target back.
    #[serde(rename = "r")]
    Release(Name, ReleasedSlot, End),
    /// What is known of the request with this digest.
    #[serde(rename = "x")]
    Suspect(Name, u64, CrashRecord),
    /// Asks what the holder holds.
    #[serde(rename = "c")]
    CollectRequest(Name, CollectRequest),
    /// Tells what the holder holds.
    #[serde(rename = "h")]
    CollectReply(Name, CollectReply),
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct SlotRequest {
    /// Number of the request.
    pub number: u64,
    /// The holder's stamp.
    pub stamp: u64,
    /// The holder's session.
    pub session: u32,
    /// What is to be run.
    pub want: WorkSpec,
}

/// What a request is to run, as far as it decides order and target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct WorkSpec {
    /// Customer and template, `customer/template`.
    pub template: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Customer's relative share.
    pub weight: u32,
    /// Estimated length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens the generation may produce.
    pub max_tokens: u32,
    /// Digest of the prompt's shared prefix; zero if it has none.
    pub prefix: u64,
    /// Length of the shared prefix.
    pub prefix_tokens: u32,
    /// Digest of the request, the same for a resend.
    pub digest: u64,
    /// How long the request may still wait.
    pub wait_ms: Millis,
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Denial {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after_ms: Option<Millis>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct End {
    /// How it ended.
    pub ending: Ending,
    /// Tokens of output.
    pub tokens: u32,
}

impl End {
    /// The slot was given back unused.
    pub const UNSENT: Self = Self {
        ending: Ending::Unsent,
        tokens: 0,
    };

    /// Nothing is known of what became of the work.
    pub const UNKNOWN: Self = Self {
        ending: Ending::Unknown,
        tokens: 0,
    };
}

/// A slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Grant {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the slot.
    pub number: u64,
    /// Target that the work may be sent to.
    pub target: Name,
    /// Request that is answered.
    pub ask: u64,
    /// Last stamp that the owner has heard.
    pub stamp: u64,
    /// Whether the target is cold.
    pub cold: bool,
}

/// A slot that its holder gives back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct ReleasedSlot {
    /// Epoch under which it was counted.
    pub epoch: u64,
    /// Who counted it.
    pub source: Source,
    /// Number of the work.
    pub number: u64,
}

/// Work of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct HeldWork {
    /// Target of the work.
    pub target: Name,
    /// Epoch under which it was counted.
    pub epoch: u64,
    /// Who counted it.
    pub source: Source,
    /// Number of the work.
    pub number: u64,
}

/// Asks what the holder holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CollectRequest {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the owner's next grant.
    pub upto: u64,
}

/// What the holder holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct CollectReply {
    /// Epoch of the owner that asked.
    pub epoch: u64,
    /// Number of the owner's next grant when it asked.
    pub upto: u64,
    /// The holder's session.
    pub session: u32,
    /// The work.
    pub works: Vec<HeldWork>,
}
