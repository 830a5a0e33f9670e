//! Claims: table rows that keep a non-idempotent request from running twice.
//!
//! A node writes a claim on the customer's idempotency key before it sends the
//! request to a target, and records the final result in the same row.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;
use crate::outcome::Outcome;

/// Prefix of the table keys of all claims.
pub const KEY_PREFIX: &str = "claim/";
/// Largest answer stored in the row itself.
pub const MAX_INLINE_BYTES: usize = 2 * 1024;

/// Identifier of a claim: the customer and its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Customer that sent the request.
    #[serde(rename = "c")]
    pub customer: Name,
    /// Idempotency key chosen by the customer.
    #[serde(rename = "k")]
    pub key: Name,
}

/// Content of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Attempt that holds the claim; unique across all nodes.
    #[serde(rename = "a")]
    pub attempt: Name,
    /// Digest of the request's body.
    #[serde(rename = "d")]
    pub digest: Name,
    /// Node that made the attempt.
    #[serde(rename = "h")]
    pub holder: Name,
    /// Incarnation of the holder, which changes at each restart.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Unix time at which the claim was made.
    #[serde(rename = "t")]
    pub claimed_at_ms: Millis,
    /// State of the attempt.
    #[serde(flatten)]
    pub state: State,
}

/// Stored state of the attempt that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The holder may send the request or has sent it.
    Claimed,
    /// The holder did not send the request and never will.
    Released,
    /// The request has ended.
    Finished(FinalResult),
}

/// Final result of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FinalResult {
    /// Outcome reported to the caller.
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// Where the answer is stored.
    #[serde(rename = "w")]
    pub answer: StoredAnswer,
}

/// Where the answer to a finished request is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredAnswer {
    /// There is no answer, or it could not be stored.
    #[default]
    Absent,
    /// In the row; at most [`MAX_INLINE_BYTES`] long.
    Inline(Name),
    /// In the object store under this key.
    Object(Name),
}

/// A claim's row as read from the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Parsed content of the row.
    #[serde(rename = "c")]
    pub record: Record,
    /// Table revision of its last write.
    #[serde(rename = "v")]
    pub revision: u64,
}

/// Asks the holder of a claim for the status of its attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Attempt that waits for the reply.
    #[serde(rename = "f")]
    pub requester: Name,
    /// Attempt that holds the claim.
    #[serde(rename = "a")]
    pub attempt: Name,
    /// Incarnation of the holder that made the attempt.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// The holder's reply to a [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatusReply {
    /// Attempt that waits for the reply.
    #[serde(rename = "f")]
    pub requester: Name,
    /// Attempt that the query was about.
    #[serde(rename = "a")]
    pub attempt: Name,
    /// Status of that attempt.
    #[serde(rename = "s")]
    pub status: Status,
}

/// Status of an attempt, as reported by the node that made it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    /// The attempt may send the request or has sent it.
    #[serde(rename = "r")]
    Running,
    /// The attempt did not send the request and never will.
    #[serde(rename = "u")]
    Unsent,
    /// The attempt has ended; its row may not show this yet.
    #[serde(rename = "e")]
    Ended(FinalResult),
    /// The node has restarted since it made the attempt, or it did not answer.
    #[serde(rename = "g")]
    Gone,
}

impl Id {
    /// Returns the table key of the claim.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertpaddle_core::claim::Id;
    ///
    /// let id = Id { customer: "a/b".into(), key: "k/1".into() };
    /// assert_eq!(id.row_key(), "claim/a%2Fb/k/1");
    /// assert_eq!(Id::from_row_key("claim/a%2Fb/k/1"), Some(id));
    /// ```
    pub fn row_key(&self) -> String {
        // The key is the last part of the path and needs no escaping.
        let customer = self.customer.replace('%', "%25").replace('/', "%2F");
        format!("{KEY_PREFIX}{customer}/{}", self.key)
    }

    /// Parses the table key of a claim.
    pub fn from_row_key(row_key: &str) -> Option<Self> {
        let (customer, key) = row_key.strip_prefix(KEY_PREFIX)?.split_once('/')?;
        let customer = customer.replace("%2F", "/").replace("%25", "%");
        Some(Self {
            customer: customer.into(),
            key: key.into(),
        })
    }
}

impl Record {
    /// Returns a copy of the record with the given state.
    pub fn with_state(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns whether `attempt` holds the claim and has neither ended nor released it.
    pub fn is_claimed_by(&self, attempt: &Name) -> bool {
        self.attempt == *attempt && self.state == State::Claimed
    }
}
