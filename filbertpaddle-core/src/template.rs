//! Request templates: the model, delivery and limits that operators configure for a customer.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;

/// How a response is delivered to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeliveryMode {
    /// Token by token, as server-sent events.
    #[default]
    Stream,
    /// As one body once the response is complete.
    Whole,
}

/// What executes a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkKind {
    /// A generation by a model engine.
    #[default]
    Generation,
    /// A call to a service other than a model engine.
    Call,
}

/// Scheduling priority; higher values are scheduled first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// Configuration of one kind of request of a customer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Model or service that serves the template.
    pub model: Name,
    /// Model version that a target must have loaded.
    #[serde(default)]
    pub version: Name,
    /// Adapter that a target must have loaded, if any.
    #[serde(default)]
    pub adapter: Option<Name>,
    /// What executes the request.
    #[serde(default)]
    pub work: WorkKind,
    /// How the response is delivered.
    #[serde(default)]
    pub delivery: DeliveryMode,
    /// Scheduling priority.
    #[serde(default)]
    pub priority: Priority,
    /// Whether a request may be executed more than once without harm.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Text that precedes the parameters in the prompt.
    #[serde(default)]
    pub prompt: String,
    /// Names of the parameters that a request must supply.
    #[serde(default)]
    pub parameters: Vec<Name>,
    /// Maximum number of tokens of a generation.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Maximum time that a request may wait for a target.
    #[serde(default = "default_max_wait_ms")]
    pub max_wait_ms: Millis,
    /// Weight of the request when tokens are shared between customers.
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
