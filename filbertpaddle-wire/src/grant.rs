//! Messages about slots on targets.

use filbertpaddle_core::clock::Millis;
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
    /// Gives a slot back: epoch, source and number of the work, and whether it
    /// has ended.
    #[serde(rename = "r")]
    Release(Name, u64, Source, u64, bool),
    /// Asks what the holder holds.
    #[serde(rename = "c")]
    Collect(Name, Collect),
    /// Tells what the holder holds.
    #[serde(rename = "h")]
    Holding(Name, Holding),
    /// Asks a node of another data centre for a slot: number and longest wait.
    #[serde(rename = "b")]
    Borrow(Name, u64, Millis),
    /// Answers [`Message::Borrow`] of this number; `None` refuses.
    #[serde(rename = "l")]
    Lent(Name, u64, Option<Work>),
    /// Gives a lent slot back, like [`Message::Release`].
    #[serde(rename = "v")]
    Return(Name, u64, Source, u64, bool),
}

/// A request for a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u32)", into = "(u64, u32)")]
pub struct Ask {
    /// Number of the request, which is the holder's stamp as well.
    pub number: u64,
    /// The holder's session.
    pub session: u32,
}

/// A slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "GrantFields", into = "GrantFields")]
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

/// Work of the sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "WorkFields", into = "WorkFields")]
pub struct Work {
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collect {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the owner's next grant.
    pub upto: u64,
}

/// What the holder holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Epoch of the owner that asked.
    pub epoch: u64,
    /// Number of the owner's next grant when it asked.
    pub upto: u64,
    /// The holder's session.
    pub session: u32,
    /// The work.
    pub works: Vec<Work>,
}

// Fields go by their place, as names would be a third of these messages.
type GrantFields = (u64, u64, Name, u64, u64, bool);
type WorkFields = (Name, u64, Source, u64);

impl From<(u64, u32)> for Ask {
    fn from((number, session): (u64, u32)) -> Self {
        Self { number, session }
    }
}

impl From<Ask> for (u64, u32) {
    fn from(ask: Ask) -> Self {
        (ask.number, ask.session)
    }
}

impl From<GrantFields> for Grant {
    fn from((epoch, number, target, ask, stamp, cold): GrantFields) -> Self {
        Self {
            epoch,
            number,
            target,
            ask,
            stamp,
            cold,
        }
    }
}

impl From<Grant> for GrantFields {
    fn from(grant: Grant) -> Self {
        let Grant {
            epoch,
            number,
            target,
            ask,
            stamp,
            cold,
        } = grant;
        (epoch, number, target, ask, stamp, cold)
    }
}

impl From<WorkFields> for Work {
    fn from((target, epoch, source, number): WorkFields) -> Self {
        Self {
            target,
            epoch,
            source,
            number,
        }
    }
}

impl From<Work> for WorkFields {
    fn from(work: Work) -> Self {
        (work.target, work.epoch, work.source, work.number)
    }
}
