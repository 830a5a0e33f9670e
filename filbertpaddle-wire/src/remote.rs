//! Messages about slots in another data centre.
//!
//! A node asks a member of the other data centre, which takes the slot as its
//! own and passes it on. The number is the asking node's.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::template::Priority;
use serde::Deserialize;
use serde::Serialize;

/// A message about a slot in another data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a slot.
    #[serde(rename = "a")]
    Ask(u64, Box<Ask>),
    /// Passes a slot on.
    #[serde(rename = "g")]
    Grant(u64, Grant),
    /// There is no slot; nothing was sent to any target.
    #[serde(rename = "f")]
    Refuse(u64, Refusal),
    /// The work has reached its target or never will.
    #[serde(rename = "s")]
    Sent(u64),
    /// Gives the slot back, or gives the ask up; the flag tells whether the
    /// work has certainly ended.
    #[serde(rename = "r")]
    Release(u64, bool),
    /// Asks whether the slot is still in use; answered by a release if not.
    #[serde(rename = "c")]
    Check(u64),
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Model or plain service.
    #[serde(rename = "m")]
    pub model: Name,
    /// Customer that sent the request.
    #[serde(rename = "c")]
    pub customer: Name,
    /// Customer and template.
    #[serde(rename = "t")]
    pub template: Name,
    /// Scheduling priority.
    #[serde(rename = "y")]
    pub priority: Priority,
    /// Customer's relative share.
    #[serde(rename = "w")]
    pub weight: u32,
    /// Estimated length of the prompt.
    #[serde(rename = "p")]
    pub prompt_tokens: u32,
    /// Most tokens the generation may produce.
    #[serde(rename = "x")]
    pub max_tokens: u32,
    /// Digest of the prompt's fixed part.
    #[serde(rename = "f")]
    pub prefix: u64,
    /// Digest of the request, the same for a resend.
    #[serde(rename = "d")]
    pub digest: u64,
    /// How long the ask may wait.
    #[serde(rename = "u")]
    pub wait_ms: Millis,
}

/// A slot that is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the target.
    #[serde(rename = "t")]
    pub target: Name,
    /// Address of the target, `ip:port`.
    #[serde(rename = "a")]
    pub address: Name,
    /// Fencing number that the target is sent.
    #[serde(rename = "f")]
    pub fence: u64,
    /// Name for the attempt, by which the target's owner knows the slot.
    #[serde(rename = "n")]
    pub attempt: Name,
}

/// Why no slot is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    #[serde(rename = "r")]
    pub reason: Reason,
    /// When to come back.
    #[serde(rename = "a")]
    pub retry_after_ms: Option<Millis>,
}
