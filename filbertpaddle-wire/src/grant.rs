//! Messages about slots on targets.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::slot::Source;
use filbertpaddle_core::suspect::Record;
use filbertpaddle_core::template::Priority;
use serde::Deserialize;
use serde::Serialize;

/// A message about slots of one pool, which is named first.
///
/// The sender is the holder of what it sends to an owner, and the owner of
/// what it sends to a holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the owner for a slot.
    #[serde(rename = "a")]
    Ask(Name, Ask),
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
    Release(Name, Work, End),
    /// What is known of the request with this digest.
    #[serde(rename = "x")]
    Suspect(Name, u64, Record),
    /// Asks what the holder holds.
    #[serde(rename = "c")]
    Collect(Name, Collect),
    /// Tells what the holder holds.
    #[serde(rename = "h")]
    Holding(Name, Holding),
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the request.
    #[serde(rename = "n")]
    pub number: u64,
    /// The holder's stamp.
    #[serde(rename = "t")]
    pub stamp: u64,
    /// The holder's session.
    #[serde(rename = "s")]
    pub session: u32,
    /// What is to be run.
    #[serde(rename = "w")]
    pub want: Want,
}

/// What a request is to run, as far as it decides order and target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// Customer and template, `customer/template`.
    #[serde(rename = "t")]
    pub template: Name,
    /// Scheduling priority.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Customer's relative share.
    #[serde(rename = "w")]
    pub weight: u32,
    /// Estimated length of the prompt.
    #[serde(rename = "n")]
    pub prompt_tokens: u32,
    /// Most tokens the generation may produce.
    #[serde(rename = "m")]
    pub max_tokens: u32,
    /// Digest of the prompt's shared prefix; zero if it has none.
    #[serde(rename = "x")]
    pub prefix: u64,
    /// Length of the shared prefix.
    #[serde(rename = "y")]
    pub prefix_tokens: u32,
    /// Digest of the request, the same for a resend.
    #[serde(rename = "d")]
    pub digest: u64,
    /// How long the request may still wait.
    #[serde(rename = "u")]
    pub wait_ms: Millis,
}

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Denial {
    /// Why.
    #[serde(rename = "r")]
    pub reason: Reason,
    /// When to come back.
    #[serde(rename = "a")]
    pub retry_after_ms: Option<Millis>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// How it ended.
    #[serde(rename = "e")]
    pub ending: Ending,
    /// Tokens of output.
    #[serde(rename = "n")]
    pub tokens: u32,
}

impl End {
    /// The slot was given back unused.
    pub const UNSENT: Self = Self {
        ending: Ending::Unsent,
        tokens: 0,
    };

    /// Returns whether the target certainly no longer runs the work.
    pub const fn is_certain(&self) -> bool {
        matches!(
            self.ending,
            Ending::Complete | Ending::Unsent | Ending::Refused
        )
    }
}

/// A slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Epoch of the owner.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of the slot.
    #[serde(rename = "n")]
    pub number: u64,
    /// Target that the work may be sent to.
    #[serde(rename = "v")]
    pub target: Name,
    /// Request that is answered.
    #[serde(rename = "a")]
    pub ask: u64,
    /// Last stamp that the owner has heard.
    #[serde(rename = "t")]
    pub stamp: u64,
    /// Whether the target is cold.
    #[serde(rename = "c")]
    pub cold: bool,
}

/// Work of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Target of the work.
    #[serde(rename = "v")]
    pub target: Name,
    /// Epoch under which it was counted.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Who counted it.
    #[serde(rename = "s")]
    pub source: Source,
    /// Number of the work.
    #[serde(rename = "n")]
    pub number: u64,
}

/// Asks what the holder holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collect {
    /// Epoch of the owner.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of the owner's next grant.
    #[serde(rename = "u")]
    pub upto: u64,
}

/// What the holder holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Epoch of the owner that asked.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Number of the owner's next grant when it asked.
    #[serde(rename = "u")]
    pub upto: u64,
    /// The holder's session.
    #[serde(rename = "s")]
    pub session: u32,
    /// The work.
    #[serde(rename = "w")]
    pub works: Vec<Work>,
}
