//! Admission of generations to the memory of the targets.
//!
//! Load pattern: more generations arrive than the targets' memory holds, or many targets
//! leave at once. Engines then preempt running generations and process their prompts again,
//! streams stall, and fewer are complete in time than at a lower load. A generation that
//! finds no room is therefore refused at once, and its caller returns when room is expected.
//!
//! It waits at its node only if none was refused there lately: under overload, many nodes
//! whose generations wait learn of new room at the same moment and all take it.

use filbertpaddle_core::clock::Millis;

use crate::configuration::Engine;
use crate::load_table::TargetLoad;
use crate::request_demand::RequestDemand;
use crate::service_pace::Pace;

/// Output tokens up to which a generation is brief: it returns its memory in about a second.
const BRIEF_OUTPUT_TOKENS: u32 = 64;
/// Longest time that a generation that has delivered events waits for room at another target.
///
/// Load pattern: a target ends, and all its streams go to the few targets that may continue them,
/// which process one prompt after another. A refusal would lose what the caller has received;
/// callers abandon a stream after a pause of two seconds.
pub const MAX_RESUME_WAIT_MS: Millis = Millis::from_secs(1);
/// Fraction of the latency goal for which a generation may wait at its node for room.
/// Running generations end all the time, so a short wait often suffices.
const WAIT_GOAL_DIVISOR: u64 = 8;
/// Part of the latency goal that prompts at a target may take, in percent. The rest is for
/// what other nodes send there meanwhile.
const PREFILL_GOAL_PERCENT: u64 = 60;
/// Time for one prompt token to assume before any is measured, in microseconds.
const INITIAL_US_PER_TOKEN: f64 = 150.0;
/// Weight of a new sample in the learned time.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Largest sample, as a multiple of the learned time.
const MAX_SAMPLE_FACTOR: f64 = 3.0;
/// Window over which refused generations count as contenders for the room that is expected.
const CONTENTION_WINDOW_MS: Millis = Millis::from_secs(2);
/// Shortest time after which a refused caller returns.
const MIN_RETURN_MS: f64 = 200.0;
/// Part of its remaining time after which a refused caller returns at the latest, so that
/// the generation can still complete.
const MAX_RETURN_DIVISOR: u64 = 3;

/// Claim of a generation on the targets' memory, from the weakest to the strongest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Claim {
    /// Its caller returns too late for its goal. What it takes would make others late as well.
    Late,
    /// Its caller sends it for the first time.
    #[default]
    New,
    /// Its caller has waited and returned after a refusal, and can still be in time.
    Returning,
    /// It has already made output, which would be lost.
    Started,
}

impl Claim {
    /// Returns the part of a target's memory up to which the generation may fill it.
    ///
    /// Generations that are further on leave room that newer ones may not take, so that
    /// they go first when room becomes free.
    fn memory_share(self) -> f64 {
        match self {
            Self::Late => 0.8,
            Self::New => 0.95,
            Self::Returning => 1.0,
            Self::Started => 1.25,
        }
    }
}

/// Part of a target's memory that brief generations may use beyond the share of their claim.
/// They seldom overlap, and make room again before a long one misses it.
const BRIEF_EXTRA_SHARE: f64 = 0.05;

/// Returns whether a target with a load has room for a request, so that its first event is
/// in time.
///
/// A target that runs nothing has room for any request: a larger one would otherwise never
/// be served.
pub fn has_room(
    load: &TargetLoad,
    engine: &Engine,
    demand: &RequestDemand,
    prefill: &PrefillRate,
) -> bool {
    if load.running == 0 {
        return true;
    }
    let ahead_tokens = load.prompt_tokens + u64::from(demand.prompt_tokens);
    if load.prompt_tokens > 0 && prefill.expected_ms(ahead_tokens) > demand.max_prefill_ms {
        return false;
    }
    let tokens = load.tokens + u64::from(demand.total_tokens);
    load.running < engine.slots
        && tokens as f64 <= f64::from(engine.memory_tokens) * memory_share(demand)
}

/// Returns the part of a target's memory up to which a generation may fill it.
pub(crate) fn memory_share(demand: &RequestDemand) -> f64 {
    let brief_share = if is_brief(demand) {
        BRIEF_EXTRA_SHARE
    } else {
        0.0
    };
    demand.claim.memory_share() + brief_share
}

/// Returns how long the prompts at a target, the generation's own included, may take.
pub fn max_prefill_ms(latency_goal_ms: Millis) -> Millis {
    Millis(latency_goal_ms.0 * PREFILL_GOAL_PERCENT / 100)
}

fn is_brief(demand: &RequestDemand) -> bool {
    output_tokens(demand) <= BRIEF_OUTPUT_TOKENS
}

fn output_tokens(demand: &RequestDemand) -> u32 {
    demand.total_tokens.saturating_sub(demand.prompt_tokens)
}

/// Time that the engines of a service take for prompts, learned from first events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    us_per_token: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            us_per_token: INITIAL_US_PER_TOKEN,
        }
    }
}

impl PrefillRate {
    /// Creates the rate to assume before any first event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a first event came after `waited_ms`, with `tokens` of prompts to process
    /// before it.
    pub fn record(&mut self, tokens: u64, waited_ms: Millis) {
        if tokens == 0 {
            return;
        }
        let sample = waited_ms.0 as f64 * 1_000.0 / tokens as f64;
        // A request may also have waited for memory, or behind prompts of other nodes.
        let sample = sample.min(self.us_per_token * MAX_SAMPLE_FACTOR);
        self.us_per_token += SAMPLE_WEIGHT * (sample - self.us_per_token);
    }

    /// Returns the rate of a target that takes `factor` times as long.
    #[must_use]
    pub fn slowed_by(self, factor: f64) -> Self {
        Self {
            us_per_token: self.us_per_token * factor,
        }
    }

    /// Returns the time for one prompt token, in microseconds.
    pub fn us_per_token(&self) -> f64 {
        self.us_per_token
    }

    /// Returns the expected time to process `tokens` of prompts.
    pub fn expected_ms(&self, tokens: u64) -> Millis {
        Millis((tokens as f64 * self.us_per_token / 1_000.0) as u64)
    }
}

/// What becomes free, and for how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Memory, in tokens, that generations hold at all targets of the service.
    pub running_tokens: u64,
    /// Number of nodes whose callers share it.
    pub nodes: usize,
    /// Pace of these generations.
    pub pace: Pace,
}

/// The generations of one service that this node has refused for want of room.
#[derive(Clone, Debug, Default)]
pub struct Contention {
    refused: Vec<RefusedGeneration>,
}

#[derive(Clone, Copy, Debug)]
struct RefusedGeneration {
    at_ms: Millis,
    tokens: u32,
}

impl RefusedGeneration {
    fn is_recent(&self, now: Millis) -> bool {
        now.since(self.at_ms) < CONTENTION_WINDOW_MS
    }
}

impl Contention {
    /// Creates a record without refusals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how long a generation may wait for room at its node: not at all if one was
    /// refused lately.
    pub fn max_wait_ms(&self, now: Millis, latency_goal_ms: Millis) -> Millis {
        if self.refused.iter().any(|refused| refused.is_recent(now)) {
            return Millis::ZERO;
        }
        Millis(latency_goal_ms.0 / WAIT_GOAL_DIVISOR)
    }

    /// Records a refused generation and returns after which time its caller should return.
    ///
    /// The memory that generations hold now becomes free over about the
    /// duration of a generation. The refused generations of all `nodes` share it. `draw`, a
    /// random number from 0 to 1, spreads the callers over that time, which ends before the
    /// caller's `remaining_ms`.
    pub fn retry_after(
        &mut self,
        now: Millis,
        demand: &RequestDemand,
        Room {
            running_tokens,
            nodes,
            pace,
        }: Room,
        remaining_ms: Millis,
        draw: f64,
    ) -> Millis {
        self.refused.retain(|refused| refused.is_recent(now));
        self.refused.push(RefusedGeneration {
            at_ms: now,
            tokens: demand.total_tokens,
        });
        let tokens = self.refused.iter().map(|refused| u64::from(refused.tokens));
        let own: u64 = tokens.sum();
        let wanted = own as f64 * nodes.max(1) as f64;
        let lifetime_ms = pace.output_ms(u64::from(output_tokens(demand))).0 as f64;
        let wait_ms = lifetime_ms * wanted / running_tokens.max(1) as f64;
        let max_ms = (remaining_ms.0 / MAX_RETURN_DIVISOR) as f64;
        // Callers return from half to one and a half of the expected wait.
        let spread_ms = wait_ms.min(max_ms / 1.5) * (0.5 + draw);
        Millis(spread_ms.max(MIN_RETURN_MS).min(max_ms) as u64)
    }
}
