//! Messages about membership.

use filbertpaddle_core::membership::Answer;
use filbertpaddle_core::membership::Heartbeat;
use filbertpaddle_core::roster::Roster;
use serde::Deserialize;
use serde::Serialize;

/// A message about membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A member's heartbeat to the relay.
    #[serde(rename = "b")]
    Heartbeat(Heartbeat),
    /// The relay's answer.
    #[serde(rename = "a")]
    Answer(Answer),
    /// The record, for a member that knows an older version.
    #[serde(rename = "r")]
    Roster(Box<Roster>),
}
