//! What became of a request.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Complete {
        /// Number of tokens in the answer.
        tokens: u32,
    },
    /// Nothing was sent to any target.
    NotRun {
        /// Why the request was refused.
        reason: Reason,
        /// When the caller may come back; `None` if repeating cannot help.
        retry_after_ms: Option<Millis>,
    },
    /// A target may have started the request and its effects are unknown.
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

/// Why a request did not end with its whole answer.
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
    /// The request itself is malformed or names something unknown.
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
    /// No capacity is expected in time.
    Overloaded,
    /// No target for the model is in service.
    NoTarget,
    /// The platform's table cannot be reached.
    PlatformUnavailable,
    /// This VM is draining.
    Draining,
    /// The request has crashed too many targets.
    Quarantined,
    /// The target failed while it ran the request.
    TargetFailed,
    /// The caller cancelled the request.
    Cancelled,
    /// The node that ran the request has gone.
    HolderGone,
}
