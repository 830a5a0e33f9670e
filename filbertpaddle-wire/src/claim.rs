//! Messages about claims on idempotency keys.

use filbertpaddle_core::claim::Question;
use filbertpaddle_core::claim::Reply;
use serde::Deserialize;
use serde::Serialize;

/// A message about a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the holder of a claim what has become of it.
    #[serde(rename = "q")]
    Ask(Question),
    /// Answers such a question.
    #[serde(rename = "r")]
    Tell(Reply),
}
