//! Messages about slots on targets.

use filbertpaddle_core::name::Name;
use filbertpaddle_core::slot::Source;
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
    /// Gives a slot on a target back; the flag tells whether the work has ended.
    #[serde(rename = "r")]
    Release(Name, Work, bool),
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
