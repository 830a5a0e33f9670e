//! Claims: rows that keep a request with effects from running twice.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;
use crate::outcome::Outcome;

/// Start of the table keys of all claims.
pub const KEY_PREFIX: &str = "claim/";
/// Largest answer that is kept in the row itself.
pub const MAX_INLINE_BYTES: usize = 2 * 1024;

/// Names a claim: the customer and its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// Customer that sent the request.
    #[serde(rename = "c")]
    pub customer: Name,
    /// Idempotency key chosen by the customer.
    #[serde(rename = "k")]
    pub key: Name,
}

/// The content of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Attempt that holds the claim, unique among all attempts of all nodes.
    #[serde(rename = "a")]
    pub attempt: Name,
    /// Digest of the request's body.
    #[serde(rename = "d")]
    pub digest: Name,
    /// Node that made the attempt.
    #[serde(rename = "h")]
    pub holder: Name,
    /// Life of that node.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Unix time of the claim.
    #[serde(rename = "t")]
    pub claimed_at_ms: Millis,
    /// What has become of the attempt.
    #[serde(flatten)]
    pub state: State,
}

/// What has become of the attempt that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The holder may send the request, or has sent it.
    Claimed,
    /// The holder has not sent the request and never will.
    Released,
    /// The request has ended.
    Finished(FinalResult),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FinalResult {
    /// The outcome told to the caller.
    #[serde(rename = "o")]
    pub outcome: Outcome,
    /// Where its answer is kept.
    #[serde(rename = "w")]
    pub answer: StoredAnswer,
}

/// Where the answer to a finished request is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredAnswer {
    /// There is none, or it could not be kept.
    #[default]
    Absent,
    /// In the row, at most [`MAX_INLINE_BYTES`].
    Inline(Name),
    /// In the object store under this key.
    Object(Name),
}

/// A claim's row as it was read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Row {
    /// Content of the row.
    #[serde(rename = "c")]
    pub record: Record,
    /// Table revision of its last write.
    #[serde(rename = "v")]
    pub revision: u64,
}

/// Asks the holder of a claim what has become of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Attempt on whose behalf the question is asked.
    #[serde(rename = "f")]
    pub requester: Name,
    /// Attempt that holds the claim.
    #[serde(rename = "a")]
    pub attempt: Name,
    /// Life of the holder that made the attempt.
    #[serde(rename = "i")]
    pub incarnation: u64,
}

/// The holder's answer to a [`StatusQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatusReply {
    /// Attempt on whose behalf the question was asked.
    #[serde(rename = "f")]
    pub requester: Name,
    /// Attempt that the question was about.
    #[serde(rename = "a")]
    pub attempt: Name,
    /// What has become of it.
    #[serde(rename = "s")]
    pub status: Status,
}

/// What a holder knows about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It may send the request, or has sent it.
    #[serde(rename = "r")]
    Running,
    /// It has not sent the request and never will.
    #[serde(rename = "u")]
    Unsent,
    /// It has ended, and the row may not show it yet.
    #[serde(rename = "e")]
    Ended(FinalResult),
    /// The node is another life than the one that made the attempt, or did not answer.
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
        // The key comes last and needs no escape.
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
    /// Returns the record with another state.
    pub fn with_state(&self, state: State) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns whether `attempt` holds the claim and has not ended.
    pub fn is_claimed_by(&self, attempt: &Name) -> bool {
        self.attempt == *attempt && self.state == State::Claimed
    }
}
