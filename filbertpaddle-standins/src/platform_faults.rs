//! Faults of the platform stand-in that can be switched on.

use filbertpaddle_core::clock::Millis;
use serde::Deserialize;
use serde::Serialize;

/// What is wrong with the platform at present; the default is nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether requests are served.
    pub outage: Outage,
    /// Delay before each answer, after its effect.
    pub latency_ms: Millis,
    /// Number of coming transactions whose answer is lost after they took effect.
    pub lose_answers: u32,
    /// How those answers are lost.
    pub loss: Loss,
    /// Transactions and object writes allowed a second.
    pub writes_per_sec: Option<u32>,
    /// Reads allowed a second.
    pub reads_per_sec: Option<u32>,
    /// Weight loads allowed a second.
    pub loads_per_sec: Option<u32>,
    /// Age of the VM list that is answered.
    pub vm_lag_ms: Millis,
}

/// How the platform treats all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// They are served.
    #[default]
    None,
    /// They are answered with status 503.
    Refuse,
    /// They are held without effect and answered with status 503 when the outage ends.
    Stall,
}

/// How the answer to a transaction is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The connection is dropped.
    #[default]
    Drop,
    /// Status 500 is answered.
    Status,
    /// No answer is ever given.
    Hold,
}
