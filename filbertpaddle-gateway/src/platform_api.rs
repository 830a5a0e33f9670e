//! What an adapter tells the gateway of the platform's headers, calls and rows.
//!
//! Plain functions, filled in by an adapter. Each decodes into the project's
//! types or encodes from them; none decides anything.

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::directory::Batch;
use filbertpaddle_forward::directory::Table;
use filbertpaddle_forward::migration::Copy;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::target::Report;
use filbertpaddle_forward::target::Target;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::nodes::Node;

/// What an adapter translates.
#[derive(Clone, Copy, Debug)]
pub struct PlatformApi {
    /// Headers of callers and targets.
    pub headers: Headers,
    /// Calls to engines beside their requests.
    pub engine: EngineCalls,
    /// Calls to the store.
    pub store: StoreCalls,
}

/// Headers of callers and targets.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// Decodes a caller's headers.
    pub decode_request: fn(&HeaderMap) -> Result<RequestMetadata, BadHeader>,
    /// Removes headers that are the system's own to set.
    pub strip_internal: fn(&mut HeaderMap),
    /// Adds what a target is told.
    pub apply: fn(&mut HeaderMap, &TargetHeaders<'_>),
    /// Decodes what a target's answer says of itself.
    pub decode_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
}

/// A header that cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot read header `{0}`")]
pub struct BadHeader(pub &'static str);

/// What a target is told beside the caller's own headers.
#[derive(Clone, Copy, Debug)]
pub struct TargetHeaders<'a> {
    /// The target that is meant.
    pub target: &'a Target,
    /// How long the caller still waits.
    pub remaining_ms: Option<Millis>,
    /// Customer that the request belongs to.
    pub customer: Option<&'a str>,
    /// Urgency among the target's requests, from 0, the most urgent, to 9.
    pub urgency: Option<u8>,
    /// Last event that the caller has, if the stream goes on.
    pub last_event: Option<u64>,
    /// Copy that the generation goes on from.
    pub copy: Option<CopySource<'a>>,
}

/// Where a copy of a generation's memory came from.
#[derive(Clone, Copy, Debug)]
pub struct CopySource<'a> {
    /// Address of the target at which the generation ran.
    pub address: &'a str,
    /// Name of the copy.
    pub handle: &'a str,
}

/// What a target's answer says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Attempt that the answer belongs to.
    pub attempt: Option<Name>,
    /// Whether it carries the target's seal.
    pub is_sealed: bool,
    /// Whether it proves that the request was not run.
    pub is_not_run: bool,
    /// Whether another target stands at the address.
    pub is_other_target: bool,
}

/// A call whose body and answer are small.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, encoded.
    pub body: Bytes,
}

/// Calls to engines beside their requests.
#[derive(Clone, Copy, Debug)]
pub struct EngineCalls {
    /// Asks an engine for its report.
    pub report: fn() -> Call,
    /// Decodes the report.
    pub decode_report: fn(&[u8]) -> Result<Report, DecodeError>,
    /// Asks for a copy of a running generation.
    pub copy: fn(&CopyRequest<'_>) -> Call,
    /// Decodes the answer to such a call.
    pub decode_copy: fn(&CopyRequest<'_>, StatusCode, &[u8]) -> CopyOutcome,
    /// Frees a copy.
    pub release: fn(&str) -> Call,
}

/// A copy to be made.
#[derive(Clone, Copy, Debug)]
pub struct CopyRequest<'a> {
    /// Attempt whose generation is copied.
    pub attempt: &'a str,
    /// Target that takes the copy.
    pub to: &'a Target,
}

/// How a copy went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// It is complete.
    Copied(Copy),
    /// No such generation runs there.
    NotRunning,
    /// Another copy of the generation is being made.
    Busy,
    /// There is no room, or the destination cannot be reached.
    Refused,
}

/// Calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreCalls {
    /// Reads a table from a key on.
    pub read: fn(Table, Option<&str>) -> Call,
    /// Waits for changes of a table after a revision.
    pub watch: fn(Table, u64, Millis) -> Call,
    /// Decodes the answer to either; the flag says whether the table was read.
    pub decode: fn(Table, bool, &[u8]) -> Result<Page, DecodeError>,
    /// Reads the list of nodes.
    pub read_nodes: fn() -> Call,
    /// Decodes the list of nodes.
    pub decode_nodes: fn(&[u8]) -> Result<NodeList, DecodeError>,
    /// Writes a node's own entry and drops others.
    pub write_node: fn(&Node, &[Name]) -> Call,
}

/// Part of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// What it says.
    pub batch: Batch,
    /// Key from which to read on, if the table is longer.
    pub next: Option<String>,
    /// Rows that could not be read, by key.
    pub unreadable: Vec<Name>,
}

/// The nodes that have entries in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeList {
    /// The entries.
    pub nodes: Vec<Node>,
    /// The store's clock.
    pub store_ms: Millis,
}

/// Bytes that are not what the platform's protocol says.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot decode {what}: {reason}")]
pub struct DecodeError {
    /// What was expected.
    pub what: &'static str,
    /// Why it is not that.
    pub reason: String,
}
