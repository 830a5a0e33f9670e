//! Input and results of the batch scheduler of a simulated engine.

use std::ops::Add;

use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use filbertpaddle_target::protocol::EndCause;
use serde::Deserialize;
use serde::Serialize;

/// A generation request as submitted to an engine, with its output length, which nodes do not know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// Id of the attempt.
    pub attempt: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Digests of the prompt's prefixes that end with a full block, shortest first.
    pub blocks: Vec<u64>,
    /// Output tokens after which the model stops by itself.
    pub output_tokens: u32,
    /// Output tokens after which the generation is cut off.
    pub max_tokens: u32,
    /// Whether the prompt crashes the engine.
    pub poison: bool,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Id of the attempt.
    pub attempt: Name,
    /// Why it ended.
    pub cause: EndCause,
}

/// Result of one step of the batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Simulated duration of the step.
    pub duration_us: u64,
    /// Attempts that produced their next token.
    pub tokens: Vec<Name>,
    /// Attempts that ended in this step.
    pub ended: Vec<EndedAttempt>,
    /// Whether the step crashed the engine.
    pub crashed: bool,
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The request is queued for the batch.
    Waiting,
    /// The request exceeded the limit of the cold engine, which crashes.
    Collapsed,
}

/// Totals since the start of the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Tokens generated.
    pub tokens: u64,
    /// Times that an attempt lost its memory pages during decoding.
    pub preemptions: u64,
    /// Tokens that were computed again after preemptions.
    pub recomputed_tokens: u64,
    /// Total time that preempted attempts waited to run again.
    pub stall_us: u64,
    /// Tokens that were not computed because the prefix cache held them.
    pub cached_tokens: u64,
    /// Submissions to a cold engine above its limit.
    pub cold_excess: u64,
    /// Submissions of `cold_excess` within the grace period after the engine turned cold, which
    /// nodes cannot avoid because no load report shows the change yet.
    pub cold_excess_in_grace: u64,
}

impl Add for Totals {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            tokens: self.tokens + other.tokens,
            preemptions: self.preemptions + other.preemptions,
            recomputed_tokens: self.recomputed_tokens + other.recomputed_tokens,
            stall_us: self.stall_us + other.stall_us,
            cached_tokens: self.cached_tokens + other.cached_tokens,
            cold_excess: self.cold_excess + other.cold_excess,
            cold_excess_in_grace: self.cold_excess_in_grace + other.cold_excess_in_grace,
        }
    }
}
