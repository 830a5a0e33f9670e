//! Messages about membership.

use serde::Deserialize;
use serde::Serialize;

/// A message about membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Measures the link and keeps it alive.
    #[serde(rename = "p")]
    Ping(u64),
}
