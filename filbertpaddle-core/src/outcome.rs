//! Final outcomes of requests, as reported to callers.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// The final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The complete answer was delivered.
    Complete {
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// The request was not sent to any target.
    NotRun {
        /// Why the request was refused.
        reason: Reason,
        /// Time after which the caller may retry; `None` if a retry cannot succeed.
        retry_after_ms: Option<Millis>,
    },
    /// A target may have started the request, so its effects are unknown.
    MayHaveRun {
        /// Why the result is unknown.
        reason: Reason,
    },
    /// The generation ended before its last token.
    Incomplete {
        /// Number of tokens that were delivered.
        tokens: u32,
        /// Why the generation ended.
        reason: Reason,
    },
}

/// Why a request did not end with a complete answer.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The request is malformed or names an unknown object.
    BadRequest,
    /// The caller's key or the operator's token is missing or wrong.
    Unauthorized,
    /// The template is non-idempotent and no idempotency key was given.
    KeyRequired,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The idempotency key is held by a request that has not ended.
    KeyInUse,
    /// The caller's deadline has passed or cannot be met.
    Deadline,
    /// No capacity is expected before the deadline.
    Overloaded,
    /// No target that serves the model is in service.
    NoTarget,
    /// The platform's table cannot be reached.
    PlatformUnavailable,
    /// This VM is draining.
    Draining,
    /// Too many targets crashed while they ran the request.
    Quarantined,
    /// The target failed while running the request.
    TargetFailed,
    /// The caller cancelled the request.
    Cancelled,
    /// The node that ran the request has restarted or does not answer.
    HolderGone,
}
