//! Settings of one node, from a YAML file.

use std::fs;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::Path;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::policy;
use filbertpaddle_core::retry;
use indexmap::IndexMap;
use serde::Deserialize;

use crate::bounds;

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not valid settings; the message names line and reason.
    #[error("{0}")]
    Invalid(String),
}

/// All settings of a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Who the node is.
    pub node: Node,
    /// Where the node listens.
    pub listen: Listen,
    /// Addresses of some other nodes, `ip:port`.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The platform's service.
    pub platform: Platform,
    /// Secrets shared by all nodes.
    pub secrets: Secrets,
    /// Operators and the digests of their tokens.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// What the system knows about targets beforehand.
    #[serde(default)]
    pub targets: Targets,
    /// How queued work is ordered and placed.
    #[serde(default)]
    pub placement: policy::Settings,
    /// How many retries are allowed.
    #[serde(default)]
    pub retries: retry::Settings,
    /// Limits on what callers may send.
    #[serde(default)]
    pub limits: Limits,
    /// How claims on idempotency keys are committed.
    #[serde(default)]
    pub claims: Claims,
    /// Logs.
    #[serde(default)]
    pub log: Log,
    /// Metrics.
    #[serde(default)]
    pub metrics: Metrics,
}

/// Who a node is.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Name of the VM, unique among all nodes.
    #[serde(deserialize_with = "bounds::name")]
    pub name: Name,
    /// Data centre of the VM.
    #[serde(deserialize_with = "bounds::name")]
    pub data_centre: Name,
}

/// Where a node listens; port 0 takes a free port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and health checks.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// Where other nodes dial, if not the address that is listened on.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
}

/// The platform's service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address, `ip:port`.
    pub address: SocketAddr,
    /// Longest wait for an answer.
    #[serde(
        default = "default_platform_timeout_ms",
        deserialize_with = "bounds::timeout_ms"
    )]
    pub timeout_ms: Millis,
}

/// Secrets shared by all nodes.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// Proves a node to its peers.
    #[serde(deserialize_with = "bounds::secret")]
    pub peer: String,
    /// Signs resume tickets.
    #[serde(deserialize_with = "bounds::secret")]
    pub ticket: String,
}

impl std::fmt::Debug for Secrets {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secrets")
    }
}

/// One operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Name that the audit trail shows.
    #[serde(deserialize_with = "bounds::name")]
    pub name: Name,
    /// SHA-256 of the token, in hexadecimal.
    #[serde(deserialize_with = "bounds::sha256_hex")]
    pub token_sha256: String,
}

/// What the system knows about targets beforehand.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Targets {
    /// For each model, whether its targets refuse old fencing numbers.
    pub checks_fence: IndexMap<Name, bool>,
}

/// Limits on what callers may send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body.
    #[serde(deserialize_with = "bounds::body_bytes")]
    pub body_bytes: u64,
    /// Longest time a caller may take to send its request.
    #[serde(deserialize_with = "bounds::timeout_ms")]
    pub send_timeout_ms: Millis,
    /// Most requests at once on this node.
    #[serde(deserialize_with = "bounds::requests")]
    pub requests: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            send_timeout_ms: Millis::from_secs(10),
            requests: 4_096,
        }
    }
}

/// How claims on idempotency keys are committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Nodes of a data centre that share one committer; 1 means that each
    /// commits for itself.
    pub nodes_per_committer: NonZeroUsize,
    /// Shortest time between the starts of two transactions of a committer.
    #[serde(deserialize_with = "bounds::timeout_ms")]
    pub pace_ms: Millis,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            nodes_per_committer: NonZeroUsize::MIN,
            pace_ms: Millis(20),
        }
    }
}

/// Logs go to standard error.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Form of a line.
    pub format: LogFormat,
    /// Least severity shown.
    pub level: LogLevel,
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Every decision.
    Debug,
    /// What an operator on call wants to read.
    #[default]
    Info,
    /// Only what is wrong.
    Warning,
}

/// Where metrics go.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// Address of a statsd server; without one, metrics are dropped.
    pub statsd: Option<SocketAddr>,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or is not valid settings.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.display().to_string(),
        source,
    })?;
    parse(&text)
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// Returns [`Error::Invalid`] with line and reason.
pub fn parse(text: &str) -> Result<Settings, Error> {
    serde_saphyr::from_str(text).map_err(|error| Error::Invalid(describe(text, &error)))
}

// The library's own rendering shows neighbouring lines, which may hold secrets.
fn describe(text: &str, error: &serde_saphyr::Error) -> String {
    let plain = error.without_snippet().to_string();
    let reason = plain
        .rsplit_once(" at line ")
        .map_or(plain.as_str(), |(reason, _)| reason);
    if reason.starts_with("line ") {
        return reason.to_owned();
    }
    let from = error.location().map_or(1, |location| location.line());
    format!("line {}: {reason}", line_of_key(text, reason, from))
}

// An unknown key is reported at the start of the mapping that holds it.
fn line_of_key(text: &str, reason: &str, from: u64) -> u64 {
    let Some(key) = reason
        .strip_prefix("unknown field `")
        .and_then(|rest| rest.split('`').next())
    else {
        return from;
    };
    (1..)
        .zip(text.lines())
        .filter(|(line, _)| *line >= from)
        .find(|(_, content)| content.trim_start().starts_with(&format!("{key}:")))
        .map_or(from, |(line, _)| line)
}

fn default_platform_timeout_ms() -> Millis {
    Millis::from_secs(2)
}
