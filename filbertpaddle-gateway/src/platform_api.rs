//! The interface to the platform: its headers, engine calls and store calls.
//!
//! An adapter fills in plain functions. Each encodes from the project's types or
//! decodes into them; none takes decisions.

use bytes::Bytes;
use filbertpaddle_core::block_record::BlockRecord;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::migration::Copy;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_record::RolloutRecord;
use filbertpaddle_forward::target::Report;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::version_record::VersionRecord;
use http::HeaderMap;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::nodes::Node;

/// Functions that an adapter supplies.
#[derive(Clone, Copy, Debug)]
pub struct PlatformApi {
    /// Headers of callers and targets.
    pub headers: Headers,
    /// Calls to engines other than the forwarded requests.
    pub engine: EngineCalls,
    /// Calls to the store.
    pub store: StoreCalls,
}

/// Functions that read and write the headers of callers and targets.
#[derive(Clone, Copy, Debug)]
pub struct Headers {
    /// Decodes a caller's headers.
    pub decode_request: fn(&HeaderMap) -> Result<RequestMetadata, BadHeader>,
    /// Removes headers that only the system may set.
    pub remove_reserved: fn(&mut HeaderMap),
    /// Adds the headers that are meant for the target.
    pub set_for_target: fn(&mut HeaderMap, &TargetHeaders<'_>),
    /// Decodes the metadata of a target's response.
    pub decode_response: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
}

/// A missing or malformed header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("missing or malformed header `{0}`")]
pub struct BadHeader(pub &'static str);

/// Values of the headers that are added for the target.
#[derive(Clone, Copy, Debug)]
pub struct TargetHeaders<'a> {
    /// Target that the request is sent to.
    pub target: &'a Target,
    /// Time until the caller's deadline.
    pub remaining_ms: Option<Millis>,
    /// Customer that the request belongs to.
    pub customer: Option<&'a str>,
    /// Priority among the target's requests, from 0 (the highest) to 9.
    pub priority: Option<u8>,
    /// Last event that the caller has received, if a stream is resumed.
    pub last_event: Option<u64>,
    /// Copy from which the generation resumes.
    pub copy: Option<CopySource<'a>>,
}

/// Identifies the copy of a generation's KV cache.
#[derive(Clone, Copy, Debug)]
pub struct CopySource<'a> {
    /// Address of the target that ran the generation before.
    pub address: &'a str,
    /// Handle of the copy.
    pub handle: &'a str,
}

/// What a target states about its response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Attempts that the response names: of a sound target the one that it belongs to, or none
    /// in a refusal.
    pub attempts: Vec<Name>,
    /// Whether it carries the target's seal, which proves that the target made it.
    pub is_sealed: bool,
    /// Whether it proves that the request was not run.
    pub is_not_run: bool,
    /// Whether another target now listens at the address.
    pub is_other_target: bool,
    /// Whether the target has announced that it leaves.
    pub is_leaving: bool,
    /// How long the target wants no requests from this node.
    pub retry_after: RetryAfter,
    /// Rate at which the target takes requests.
    pub rate_limit: RateLimit,
    /// Rate at which a brittle target can refuse requests for want of room before it crashes.
    pub refusal_limit: RateLimit,
}

impl ResponseMetadata {
    /// Returns whether the response names `attempt` and no other.
    pub fn names_only(&self, attempt: &str) -> bool {
        !self.attempts.is_empty() && !self.names_another(attempt)
    }

    /// Returns whether the response names another attempt than `attempt`. It may be an earlier
    /// one, sent once more, and states nothing about this attempt.
    pub fn names_another(&self, attempt: &str) -> bool {
        self.attempts.iter().any(|named| &**named != attempt)
    }
}

/// Limit that a target states on the requests of all nodes together, or on its refusals.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// The target states no limit.
    #[default]
    Absent,
    /// The stated limit is no number, or is negative.
    Invalid,
    /// Requests per second.
    PerSec(f64),
}

/// Time for which a target that refused a request wants none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The target states no time.
    #[default]
    Absent,
    /// The stated time is no number of seconds, or is negative.
    Invalid,
    /// No requests for this time.
    After(Millis),
}

/// An HTTP call with a small body and a small response.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Encoded body.
    pub body: Bytes,
}

/// Calls to engines other than the forwarded requests.
#[derive(Clone, Copy, Debug)]
pub struct EngineCalls {
    /// Requests an engine's report, which states whether it drains.
    pub report: fn() -> Call,
    /// Decodes the report.
    pub decode_report: fn(&[u8]) -> Result<Report, DecodeError>,
    /// Requests a copy of a running generation's KV cache.
    pub copy: fn(&CopyRequest<'_>) -> Call,
    /// Decodes the response to a copy request.
    pub decode_copy: fn(&CopyRequest<'_>, StatusCode, &[u8]) -> CopyOutcome,
    /// Stops a running generation and copies what was added to its KV cache since the last copy.
    pub stop: fn(&CopyRequest<'_>) -> Call,
    /// Decodes the response to such a call.
    pub decode_stop: fn(&CopyRequest<'_>, StatusCode, &[u8]) -> StopOutcome,
    /// Frees a copy.
    pub release: fn(&str) -> Call,
}

/// A request to copy a generation to another target.
#[derive(Clone, Copy, Debug)]
pub struct CopyRequest<'a> {
    /// Attempt whose generation is copied.
    pub attempt: &'a str,
    /// Destination of the copy.
    pub to: &'a Target,
}

/// Result of a copy request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Copied(Copy),
    /// The generation does not run at the source.
    NotRunning,
    /// Another copy of the generation is being made.
    Busy,
    /// The destination has no room or cannot be reached.
    Refused,
}

/// Result of a call that stops a generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// It has stopped, and the copy is complete.
    Copied(Copy),
    /// It has stopped, and the copy is not complete. The source keeps its KV cache, under this
    /// handle if it gave one.
    Stopped(Option<Name>),
    /// It does not run at the source.
    NotRunning,
    /// Another copy of it is being made.
    Busy,
    /// It may have stopped.
    Unknown,
}

/// Calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreCalls {
    /// Reads a table, starting from a key if one is given.
    pub read: fn(Table, Option<&str>) -> Call,
    /// Waits for changes of a table after a revision (long poll).
    pub watch: fn(Table, Revision, Millis) -> Call,
    /// Decodes the response to `read` (if the flag is set) or to `watch`, which the store
    /// gave in an era.
    pub decode: fn(Table, bool, u64, &[u8]) -> Result<Page, DecodeError>,
    /// Decodes the era of the store from the headers of any of its responses.
    pub decode_era: fn(&HeaderMap) -> Option<u64>,
    /// Reads the list of nodes, starting with a key.
    pub read_nodes: fn(Option<&str>) -> Call,
    /// Decodes a page of the list of nodes.
    pub decode_nodes: fn(&[u8]) -> Result<NodePage, DecodeError>,
    /// Writes a node's own entry and removes the named ones.
    pub write_node: fn(&Node, &[Name]) -> Call,
    /// Reads the record of software versions.
    pub read_versions: fn() -> Call,
    /// Decodes the record of software versions.
    pub decode_versions: fn(&[u8]) -> Result<Stored<VersionRecord>, DecodeError>,
    /// Writes the record of software versions if it still has a revision, or does not exist if
    /// that is 0; refused with status 412 otherwise.
    pub write_versions: fn(&VersionRecord, u64) -> Call,
    /// Reads the record of what is blocked as a crash suspect.
    pub read_blocked: fn() -> Call,
    /// Decodes that record.
    pub decode_blocked: fn(&[u8]) -> Result<Stored<BlockRecord>, DecodeError>,
    /// Writes that record under the same condition as that of software versions.
    pub write_blocked: fn(&BlockRecord, u64) -> Call,
    /// Reads the records of roll-outs.
    pub read_rollouts: fn() -> Call,
    /// Decodes the records of roll-outs.
    pub decode_rollouts: fn(&[u8]) -> Result<StoredRollouts, DecodeError>,
    /// Writes the record of a roll-out, and the state that operators read, if the record still has
    /// a revision, or does not exist if that is 0; refused with status 412 otherwise.
    pub write_rollout: fn(&RolloutRecord, u64) -> Call,
}

/// The records of roll-outs as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRollouts {
    /// Row of each service that has one.
    pub rows: Vec<StoredRollout>,
    /// Time by the store's clock when they were read.
    pub store_ms: Millis,
}

/// The row of a roll-out's record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRollout {
    /// Service of the roll-out.
    pub service: Name,
    /// The record; `None` if it cannot be decoded.
    pub record: Option<RolloutRecord>,
    /// Revision of the row.
    pub revision: u64,
}

/// A record of which the store has one, as read from there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<T> {
    /// The record; `None` if there is none that can be decoded.
    pub record: Option<T>,
    /// Revision of its row; 0 if it does not exist.
    pub revision: u64,
    /// Time by the store's clock when it was read.
    pub store_ms: Millis,
}

/// One page of a table, or a set of its changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// Decoded changes.
    pub batch: Batch,
    /// Key at which the next page starts, if there is one.
    pub next: Option<String>,
    /// Keys of rows that could not be decoded.
    pub unreadable: Vec<Name>,
    /// Time by the store's monotonic clock when it made the response.
    pub store_ms: Millis,
}

/// The nodes that have entries in the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeList {
    /// Entries of the nodes.
    pub nodes: Vec<Node>,
    /// Time by the store's clock when the list was read.
    pub store_ms: Millis,
    /// Era of the store in which it was read.
    pub era: u64,
}

/// One page of the list of nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct NodePage {
    /// The nodes on this page.
    pub list: NodeList,
    /// Key at which the next page starts, if there is one.
    pub next: Option<String>,
}

/// A response body that does not follow the platform's protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot decode {what}: {reason}")]
pub struct DecodeError {
    /// What was expected.
    pub what: &'static str,
    /// Why it cannot be decoded.
    pub reason: String,
}
