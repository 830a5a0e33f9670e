//! Messages of failure detection and membership within a data centre.

use filbertpaddle_core::membership::Answer;
use filbertpaddle_core::membership::Heartbeat;
use filbertpaddle_core::roster::Roster;
use serde::Deserialize;
use serde::Serialize;

/// A message between a member and the relay of its data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A member's heartbeat to the relay.
    #[serde(rename = "b")]
    Heartbeat(Heartbeat),
    /// The relay's answer to a heartbeat.
    #[serde(rename = "a")]
    Answer(Answer),
    /// The record of the data centre, sent to a member that holds an older version.
    #[serde(rename = "r")]
    Roster(Box<Roster>),
}
