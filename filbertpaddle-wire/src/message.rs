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
    #[serde(rename = "M")]
    Member(member::Message),
    /// Configuration replication.
    #[serde(rename = "C")]
    Config(config::Message),
    /// Claims on idempotency keys.
    #[serde(rename = "K")]
    Claim(claim::Message),
    /// Slots on targets of another data centre.
    #[serde(rename = "R")]
    Remote(remote::Message),
    /// Slots on targets of one data centre; the most frequent messages, which carry only
    /// their own tag. It differs from the tags above.
    #[serde(untagged)]
    Grant(grant::Message),
}
