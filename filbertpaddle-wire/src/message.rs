//! The messages of every part, gathered for one connection.

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
    /// Membership and confirmation of a data centre's record.
    #[serde(rename = "m")]
    Member(member::Message),
    /// Slots on targets.
    #[serde(rename = "g")]
    Grant(grant::Message),
    /// Configuration and its revisions.
    #[serde(rename = "c")]
    Config(config::Message),
    /// Claims on idempotency keys.
    #[serde(rename = "k")]
    Claim(claim::Message),
    /// Slots in another data centre.
    #[serde(rename = "r")]
    Remote(remote::Message),
}
