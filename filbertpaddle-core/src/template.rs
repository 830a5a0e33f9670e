//! Templates: what an operator promises a customer.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;

/// How an answer is delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeliveryMode {
    /// Token by token, as server-sent events.
    #[default]
    Stream,
    /// As one body once the answer is whole.
    Whole,
}

/// What runs the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// A generation by a model engine.
    #[default]
    Generation,
    /// A call to a plain service.
    Call,
}

/// Scheduling priority; a higher value goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// One customer's template.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Model or plain service that serves the template.
    pub model: Name,
    /// Model version that targets must have loaded.
    #[serde(default)]
    pub version: Name,
    /// Adapter that targets must have loaded, if any.
    #[serde(default)]
    pub adapter: Option<Name>,
    /// What runs the request.
    #[serde(default)]
    pub work: WorkKind,
    /// How the answer is delivered.
    #[serde(default)]
    pub delivery: DeliveryMode,
    /// Scheduling priority.
    #[serde(default)]
    pub priority: Priority,
    /// Whether running a request twice is harmless.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Text placed before the parameters.
    #[serde(default)]
    pub prompt: String,
    /// Names of the parameters a request must give.
    #[serde(default)]
    pub parameters: Vec<Name>,
    /// Most tokens a generation may produce.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Longest time a request may wait for a target.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: Millis,
    /// Relative share of tokens between customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_idempotent() -> bool {
    true
}

fn default_max_tokens() -> u32 {
    32_768
}

fn default_max_wait_ms() -> Millis {
    Millis::from_secs(30)
}

fn default_weight() -> u32 {
    1
}
