//! The union of all messages that one connection carries.

use serde::Deserialize;
use serde::Serialize;

use crate::claim;
use crate::config;
use crate::grant;
use crate::member;
use crate::remote;

/// One message between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeats and the record of a data centre.
    #[serde(rename = "m")]
    Member(member::Message),
    /// Slots on targets of one data centre.
    #[serde(rename = "g")]
    Grant(grant::Message),
    /// Configuration replication.
    #[serde(rename = "c")]
    Config(config::Message),
    /// Claims on idempotency keys.
    #[serde(rename = "k")]
    Claim(claim::Message),
    /// Slots on targets of another data centre.
    #[serde(rename = "r")]
    Remote(remote::Message),
}
