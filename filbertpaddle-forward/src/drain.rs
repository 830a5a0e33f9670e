//! Admission of requests at a node that is draining, and their sends to targets.
//!
//! After a stop begins, the load balancer still sends callers for some seconds, and
//! requests arrive on kept-alive connections. A request that is unlikely to end within the
//! grace period is refused before it runs rather than cut off, and its caller retries it
//! at another node. A request may wait for long after its admission, for room or for a target
//! that then refuses it, so the same is decided again at each send.

use filbertpaddle_core::clock::Millis;

use crate::request_metadata::GenerationSize;
use crate::service_pace::Pace;

/// Output length to plan for, as a percentage of the caller's estimate: an output may be
/// longer than estimated.
const PLANNED_OUTPUT_PERCENT: u64 = 150;
/// Reserve at the end of the grace period, as a percentage of it.
const GRACE_RESERVE_PERCENT: u64 = 10;

/// Time after which a request is admitted only if its maximum duration fits, not just its
/// caller's estimate. The load balancer no longer sends callers to the node by then.
const STRICT_AFTER_MS: Millis = Millis(2_500);

/// Time before the end of the grace period at which the node exits by itself.
const EXIT_MARGIN_MS: Millis = Millis(150);
/// Time before the exit in which the answers to requests that still wait are written.
const ANSWER_TIME_MS: Millis = Millis(150);

/// Estimated and maximum duration of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationEstimate {
    /// Duration according to the caller's estimate.
    pub expected_ms: Millis,
    /// Maximum duration.
    pub max_ms: Millis,
}

impl DurationEstimate {
    /// Returns the estimate for a request whose deadline is at the end of `remaining_ms`.
    #[must_use]
    pub fn within(self, remaining_ms: Millis) -> Self {
        Self {
            expected_ms: self.expected_ms.min(remaining_ms),
            max_ms: self.max_ms.min(remaining_ms),
        }
    }
}

/// How far a request is that is to be sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendStage {
    /// It has not run.
    Unrun,
    /// It may have run, and its answer is sent as a whole.
    RepeatedWhole,
    /// It may have run, and its answer is a stream that has not begun.
    RepeatedStream,
    /// Its caller has received a part of its answer.
    Begun,
}

/// Graceful stop in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time when the stop was requested.
    pub began_ms: Millis,
    /// Grace period until the node exits.
    pub grace_ms: Millis,
}

impl Drain {
    /// Returns the time left of the grace period.
    pub fn remaining_ms(&self, now: Millis) -> Millis {
        (self.began_ms + self.grace_ms).since(now)
    }

    /// Returns the time at which requests without an answer are answered by the node itself,
    /// since no target's answer could still be passed on.
    pub fn answer_at_ms(&self) -> Millis {
        self.before_end_ms(EXIT_MARGIN_MS + ANSWER_TIME_MS)
    }

    /// Returns the time at which the node exits, whatever is still running.
    pub fn exit_at_ms(&self) -> Millis {
        self.before_end_ms(EXIT_MARGIN_MS)
    }

    fn before_end_ms(&self, margin_ms: Millis) -> Millis {
        self.began_ms + self.grace_ms.since(margin_ms)
    }

    /// Returns whether a request that arrives at `now` is expected to end within the grace
    /// period.
    pub fn admits(&self, now: Millis, estimate: DurationEstimate) -> bool {
        let is_strict = now.since(self.began_ms) >= STRICT_AFTER_MS;
        let expected_ms = if is_strict {
            estimate.max_ms
        } else {
            estimate.expected_ms
        };
        let reserve_ms = Millis(self.grace_ms.0 * GRACE_RESERVE_PERCENT / 100);
        let end_ms = self.before_end_ms(reserve_ms).min(self.answer_at_ms());
        now + expected_ms < end_ms
    }

    /// Returns whether a request may be sent to a target at `now`, as far as the stop goes.
    pub fn allows_send(&self, now: Millis, stage: SendStage, estimate: DurationEstimate) -> bool {
        match stage {
            // Once it runs, it can only be cut or fail; unrun, it is safe at another node.
            SendStage::Unrun | SendStage::RepeatedStream => self.admits(now, estimate),
            // If it does not end, its caller still gets the answer that it would get now.
            SendStage::RepeatedWhole => true,
            // It would be broken off otherwise.
            SendStage::Begun => true,
        }
    }
}

/// Returns the estimated and the maximum duration of a generation at a pace.
pub fn estimate_duration(generation: &GenerationSize, pace: &Pace) -> DurationEstimate {
    let expected = u64::from(generation.expected_output_tokens());
    let max_ms = pace.total_ms(u64::from(generation.max_output_tokens));
    let expected_ms = pace.total_ms(expected * PLANNED_OUTPUT_PERCENT / 100);
    DurationEstimate {
        expected_ms: expected_ms.min(max_ms),
        max_ms,
    }
}
