//! Messages about claims on idempotency keys.

use filbertpaddle_core::claim::StatusQuery;
use filbertpaddle_core::claim::StatusReply;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::group_commit::TransactionResult;
use serde::Deserialize;
use serde::Serialize;

/// A message about a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the holder of a claim what has become of it.
    #[serde(rename = "q")]
    StatusQuery(StatusQuery),
    /// Answers such a question.
    #[serde(rename = "r")]
    StatusReply(StatusReply),
    /// Hands changes to a committer, to be made together or not at all.
    #[serde(rename = "c")]
    Commit {
        /// Number that the sender gives them.
        #[serde(rename = "n")]
        sequence: u64,
        /// The changes.
        #[serde(rename = "c")]
        changes: Vec<Change>,
    },
    /// Says what became of such changes.
    #[serde(rename = "d")]
    Committed {
        /// Number that their sender gave them.
        #[serde(rename = "n")]
        sequence: u64,
        /// What became of them.
        #[serde(rename = "a")]
        result: TransactionResult,
    },
}
