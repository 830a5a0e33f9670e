//! Messages about slots on targets of another data centre.
//!
//! A node, the borrower, requests a slot from a member of the other data centre. That
//! member, the lender, acquires a slot in its own name and lends it to the borrower. Each
//! message starts with the request number chosen by the borrower.

use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_tuple::Deserialize_tuple;
use serde_tuple::Serialize_tuple;

use crate::grant::Denial;
use crate::grant::End;
use crate::grant::WorkSpec;

/// A message between the borrower and the lender of a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a slot on a target of the named model or plain service.
    #[serde(rename = "a")]
    SlotRequest(u64, Name, Box<WorkSpec>),
    /// Lends a slot.
    #[serde(rename = "g")]
    Grant(u64, Grant),
    /// Refuses the request; nothing was sent to a target for it.
    #[serde(rename = "f")]
    Refuse(u64, Denial),
    /// Reports that the work has reached its target or will never be sent.
    #[serde(rename = "s")]
    Sent(u64),
    /// Returns the slot, or withdraws the request.
    #[serde(rename = "r")]
    Release(u64, End),
    /// Checks whether the slot is still in use; the borrower answers with
    /// [`Message::Release`] if it is not.
    #[serde(rename = "c")]
    Check(u64),
}

/// A slot that is lent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct Grant {
    /// Name of the target.
    pub target: Name,
    /// Address of the target, `ip:port`.
    pub address: Name,
    /// Fencing number to send to the target.
    pub fence: u64,
    /// Attempt ID to send to the target; the pool's owner identifies the slot
    /// by it.
    pub attempt: Name,
}
