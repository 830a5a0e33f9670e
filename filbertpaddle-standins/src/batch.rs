//! What goes into an engine's batch and what comes out of it.

use std::ops::Add;

use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use filbertpaddle_target::protocol::EndCause;
use serde::Deserialize;
use serde::Serialize;

/// One generation as the engine alone knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// Id of the attempt.
    pub attempt: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Digests of the prompt's whole blocks, shortest prefix first.
    pub blocks: Vec<u64>,
    /// Tokens after which the model stops.
    pub output_tokens: u32,
    /// Tokens after which the generation is cut.
    pub max_tokens: u32,
    /// Whether the prompt crashes the engine.
    pub poison: bool,
}

/// A generation that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedAttempt {
    /// Id of the attempt.
    pub attempt: Name,
    /// Why it ended.
    pub cause: EndCause,
}

/// What one step of the batch brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// How long the step takes.
    pub duration_us: u64,
    /// Attempts that got their next token.
    pub tokens: Vec<Name>,
    /// Attempts that ended with this step.
    pub ended: Vec<EndedAttempt>,
    /// Whether the step crashed the engine.
    pub crashed: bool,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The work waits for the batch.
    Waiting,
    /// The work was more than the cold engine could bear; the engine is lost.
    Collapsed,
}

/// Totals since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Tokens generated.
    pub tokens: u64,
    /// Attempts that lost their memory in mid-decode.
    pub preemptions: u64,
    /// Tokens that had to be computed again.
    pub recomputed_tokens: u64,
    /// Time that preempted attempts waited to run again, summed.
    pub stall_us: u64,
    /// Prompt tokens that the prefix cache saved.
    pub cached_tokens: u64,
    /// Submissions to a cold engine beyond its limit.
    pub cold_excess: u64,
    /// Those of them that came too soon after it turned cold to be avoided.
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
