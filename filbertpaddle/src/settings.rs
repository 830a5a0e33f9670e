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

/// Error of loading settings.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The settings are invalid; the message contains the line and the reason.
    #[error("{0}")]
    Invalid(String),
}

/// All settings of a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the node.
    pub node: Node,
    /// Addresses on which the node listens.
    pub listen: Listen,
    /// Addresses of some other nodes, `ip:port`; the rest are discovered at run time.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Access to the platform.
    pub platform: Platform,
    /// Secrets shared by all nodes.
    pub secrets: Secrets,
    /// Operators and the digests of their tokens.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Properties of targets that cannot be discovered.
    #[serde(default)]
    pub targets: Targets,
    /// Ordering and placement of queued work.
    #[serde(default)]
    pub placement: policy::Settings,
    /// Retry budgets.
    #[serde(default)]
    pub retries: retry::Settings,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: Limits,
    /// Commits of claims on idempotency keys.
    #[serde(default)]
    pub claims: Claims,
    /// Format and level of the log.
    #[serde(default)]
    pub log: Log,
    /// Destination of metrics.
    #[serde(default)]
    pub metrics: Metrics,
}

/// Identity of a node.
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

/// Addresses on which a node listens; port 0 selects a free port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and health checks.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// Address that other nodes connect to, if it differs from `peers`.
    #[serde(default)]
    pub advertise_peers: Option<SocketAddr>,
}

/// Access to the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address, `ip:port`.
    pub address: SocketAddr,
    /// Timeout of a request.
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
    /// Authenticates nodes to each other.
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

/// Properties of targets that cannot be discovered.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Targets {
    /// For each model, whether its targets reject stale fencing numbers.
    pub checks_fence: IndexMap<Name, bool>,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request body.
    #[serde(deserialize_with = "bounds::body_bytes")]
    pub body_bytes: u64,
    /// Maximum time to receive a request.
    #[serde(deserialize_with = "bounds::timeout_ms")]
    pub send_timeout_ms: Millis,
    /// Maximum number of concurrent requests on this node.
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

/// Commits of claims on idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Claims {
    /// Number of nodes of a data centre that share one committer; with 1, each node
    /// commits its own claims.
    pub nodes_per_committer: NonZeroUsize,
    /// Minimum time between the starts of two transactions of a committer.
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

/// Settings of the log, which goes to standard error.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of a line.
    pub format: LogFormat,
    /// Minimum severity of the lines written.
    pub level: LogLevel,
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Terminal,
    /// One JSON object per line.
    Json,
}

/// Minimum severity of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Everything, including single decisions.
    Debug,
    /// Changes of state that an operator on call needs, and warnings.
    #[default]
    Info,
    /// Failures only.
    Warning,
}

/// Destination of metrics.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Metrics {
    /// Address of a statsd server; without one, metrics are dropped.
    pub statsd: Option<SocketAddr>,
}

/// Reads and validates a settings file.
///
/// # Errors
///
/// Returns [`Error`] if the file cannot be read or its settings are invalid.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.display().to_string(),
        source,
    })?;
    parse(&text)
}

/// Parses and validates the text of a settings file.
///
/// # Errors
///
/// Returns [`Error::Invalid`] with the line and the reason.
pub fn parse(text: &str) -> Result<Settings, Error> {
    serde_saphyr::from_str(text).map_err(|error| Error::Invalid(describe(text, &error)))
}

/// Formats an error without the library's snippet of neighbouring lines, which may
/// contain secrets.
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

/// Returns the line of an unknown key, which the library reports at the start of the
/// mapping that contains it.
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
