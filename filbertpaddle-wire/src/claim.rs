//! Messages about claims on idempotency keys: status queries and group commits.

use filbertpaddle_core::claim::StatusQuery;
use filbertpaddle_core::claim::StatusReply;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::group_commit::TransactionResult;
use serde::Deserialize;
use serde::Serialize;

/// A message about a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the holder of a claim for the status of its attempt.
    #[serde(rename = "q")]
    StatusQuery(StatusQuery),
    /// Response to [`Message::StatusQuery`].
    #[serde(rename = "r")]
    StatusReply(StatusReply),
    /// Sends changes to a committer, which applies either all of them or none.
    #[serde(rename = "c")]
    Commit {
        /// Sequence number chosen by the sender; the response repeats it.
        #[serde(rename = "n")]
        sequence: u64,
        /// Changes to apply.
        #[serde(rename = "c")]
        changes: Vec<Change>,
    },
    /// Response to [`Message::Commit`].
    #[serde(rename = "d")]
    Committed {
        /// Sequence number of the request.
        #[serde(rename = "n")]
        sequence: u64,
        /// Result of the transaction.
        #[serde(rename = "a")]
        result: TransactionResult,
    },
}
