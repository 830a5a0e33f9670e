//! JSON bodies exchanged with the platform.
//!
//! - `POST /table/transact` with [`Transaction`] returns a [`TransactAnswer`].
//! - `POST /table/read` with [`Read`] returns [`Rows`].
//! - `POST /table/scan` with [`Scan`] returns [`Rows`].
//! - `GET` and `PUT /object/{key}` read and write the bytes of an object.
//! - `POST /weights/leases` with [`WeightLeaseRequest`] returns a
//!   [`WeightLeaseAnswer`].
//! - `GET /vms` returns a [`VmList`], which may be outdated.
//!
//! Status 429 means that the rate limit was exceeded, and 503 that the service is
//! unavailable; in both cases the request had no effect. After any other failure it is
//! unknown whether a transaction took effect.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde_json::value::RawValue;

/// Atomic transaction: all writes take effect if all conditions hold, otherwise none does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must hold for the writes to take effect.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// Condition that a row has a given revision or is absent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Required table revision of the row's last write; `None` if the row must be absent.
    pub revision: Option<u64>,
}

/// Write or deletion of a row.
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
    /// A condition failed, and no write took effect.
    Conflict {
        /// Current rows whose condition failed; absent rows are left out.
        rows: Vec<Row>,
        /// Keys of all rows whose condition failed.
        keys: Vec<String>,
    },
}

/// Request to read rows by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Request to read the rows with a key prefix, in key order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scan {
    /// Prefix of the keys.
    pub prefix: String,
    /// Key after which to start; `None` to start with the first.
    #[serde(default)]
    pub after: Option<String>,
    /// Maximum number of rows to return.
    pub limit: u32,
}

/// Rows in key order, all as of one table revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows; absent ones are left out.
    pub rows: Vec<Row>,
    /// Table revision at which they were read.
    pub revision: u64,
}

/// Row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: String,
    /// Table revision of the last write.
    pub revision: u64,
}

/// Request for a lease, which permits loading a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLeaseRequest {
    /// Model to load.
    pub model: Name,
    /// Version to load.
    pub version: Name,
}

/// Answer of the weight store to a request for a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightLeaseAnswer {
    /// Whether the load may start now.
    pub granted: bool,
    /// Time after which to retry if not granted.
    pub retry_after_ms: Millis,
}

/// List of VMs, as known to the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// VMs, each identified by its name. Those that cannot be decoded are left out.
    #[serde(deserialize_with = "decodable_vms")]
    pub vms: Vec<Vm>,
}

/// VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Role of the VM.
    pub role: VmRole,
    /// Address of its service, as `IP:PORT`.
    pub address: Name,
    /// Name of the model or plain service of a target; empty for entry VMs.
    pub model: Name,
    /// Whether the VM is about to be reclaimed.
    pub leaving: bool,
}

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs a node of this system.
    Entry,
    /// Runs a model engine or a plain service.
    Target,
}

/// Decodes each VM from its own text, so that an odd one leaves the others.
fn decodable_vms<'de, D>(deserializer: D) -> Result<Vec<Vm>, D::Error>
where
    D: Deserializer<'de>,
{
    let texts = Vec::<Box<RawValue>>::deserialize(deserializer)?;
    let decoded = texts.iter();
    let decoded = decoded.filter_map(|text| serde_json::from_str(text.get()).ok());
    Ok(decoded.collect())
}
