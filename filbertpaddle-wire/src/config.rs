//! Messages that spread configuration.

use serde::Deserialize;
use serde::Serialize;

/// A message about configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Measures the link and keeps it alive.
    #[serde(rename = "p")]
    Ping(u64),
}
