//! Faults that can be injected into the platform stand-in.

use filbertpaddle_core::clock::Millis;
use serde::Deserialize;
use serde::Serialize;

/// Faults in force at the platform; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of the whole platform.
    pub outage: Outage,
    /// Delay of each answer, after the request took effect.
    pub latency_ms: Millis,
    /// Number of next transactions that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// How those answers are lost.
    pub loss: Loss,
    /// Transactions and object writes allowed per second.
    pub writes_per_sec: Option<u32>,
    /// Reads of rows or objects and scans allowed per second.
    pub reads_per_sec: Option<u32>,
    /// Weight leases granted per second.
    pub loads_per_sec: Option<u32>,
    /// Age of the VM list in answers.
    pub vm_lag_ms: Millis,
}

/// How the platform handles requests during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Requests are served; there is no outage.
    #[default]
    None,
    /// Requests are answered with status 503.
    Refuse,
    /// Requests are held without effect and answered with status 503 when the outage ends.
    Stall,
}

/// How the answer to a transaction is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// The connection is dropped.
    #[default]
    Drop,
    /// The answer is replaced by status 500.
    Status,
    /// The request never gets an answer.
    Hold,
}
