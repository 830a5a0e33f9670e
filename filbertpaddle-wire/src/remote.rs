//! Messages about slots in another data centre.
//!
//! A node asks a member of the other data centre, which takes the slot as its
//! own and passes it on. The number is the asking node's.

use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_tuple::Deserialize_tuple;
use serde_tuple::Serialize_tuple;

use crate::grant::Denial;
use crate::grant::End;
use crate::grant::WorkSpec;

/// A message about a slot in another data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a slot on a target of the model or plain service.
    #[serde(rename = "a")]
    SlotRequest(u64, Name, Box<WorkSpec>),
    /// Passes a slot on.
    #[serde(rename = "g")]
    Grant(u64, Grant),
    /// There is no slot; nothing was sent to any target.
    #[serde(rename = "f")]
    Refuse(u64, Denial),
    /// The work has reached its target or never will.
    #[serde(rename = "s")]
    Sent(u64),
    /// Gives the slot back, or gives the ask up.
    #[serde(rename = "r")]
    Release(u64, End),
    /// Asks whether the slot is still in use; answered by a release if not.
    #[serde(rename = "c")]
    Check(u64),
}

/// A slot that is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Grant {
    /// Name of the target.
    pub target: Name,
    /// Address of the target, `ip:port`.
    pub address: Name,
    /// Fencing number that the target is sent.
    pub fence: u64,
    /// Name for the attempt, by which the target's owner knows the slot.
    pub attempt: Name,
}
