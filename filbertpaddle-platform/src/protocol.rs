//! The JSON bodies exchanged with the platform.
//!
//! - `POST /table/transact` with [`Transaction`] answers [`TransactAnswer`].
//! - `POST /table/read` with [`Read`] answers [`Rows`].
//! - `POST /table/scan` with [`Scan`] answers [`Rows`].
//! - `GET` and `PUT /object/{key}` carry bytes.
//! - `POST /weights/leases` with [`WeightLeaseRequest`] answers [`WeightLeaseAnswer`].
//! - `GET /vms` answers [`VmList`], which may lag.
//!
//! Status 429 means that the rate limit was hit and nothing was done; 503
//! that the service is down and nothing was done. Any other failure leaves
//! the effect of a transaction unknown.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// What must hold for the writes to take effect.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The row must be at the revision, or absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Table revision of the row's last write; `None` means absent.
    pub revision: Option<u64>,
}

/// Sets or deletes a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<String>,
}

/// Answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum TransactAnswer {
    /// All writes took effect.
    Committed {
        /// Table revision of the writes.
        revision: u64,
    },
    /// Nothing took effect.
    Conflict {
        /// The rows whose condition failed, as they are; absent rows are left out.
        rows: Vec<Row>,
        /// Keys whose condition failed.
        keys: Vec<String>,
    },
}

/// Asks for rows by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Asks for rows in key order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Start of the keys.
    pub prefix: String,
    /// Only keys greater than this one.
    #[serde(default)]
    pub after: Option<String>,
    /// Most rows to answer.
    pub limit: u32,
}

/// Rows found, in key order, all as of one table revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows; absent ones are left out.
    pub rows: Vec<Row>,
    /// Table revision as of which they were read.
    pub revision: u64,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: String,
    /// Table revision of the last write.
    pub revision: u64,
}

/// Asks for permission to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLeaseRequest {
    /// Model to load.
    pub model: Name,
    /// Version to load.
    pub version: Name,
}

/// Permission of the weight store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLeaseAnswer {
    /// Whether the load may start now.
    pub granted: bool,
    /// When to ask again if not granted.
    pub retry_after_ms: Millis,
}

/// The platform's view of the VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs, by name.
    pub vms: Vec<Vm>,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// What the VM is for.
    pub role: VmRole,
    /// Address of its service, `ip:port`.
    pub address: Name,
    /// Model or plain service of a target; empty for entry VMs.
    pub model: Name,
    /// Whether the VM is about to leave.
    pub leaving: bool,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs a node of this system.
    Entry,
    /// Runs a model engine or a plain service.
    Target,
}
