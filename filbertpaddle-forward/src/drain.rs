//! What a node that was told to stop still takes.
//!
//! The balancer sends callers on for some seconds, and kept connections bring
//! requests as long as they stand. One that would not end in time is better
//! refused at once, unrun, than cut: its caller comes back to another node.

use filbertpaddle_core::clock::Millis;

use crate::migration::TOKEN_MS;
use crate::request_metadata::GenerationSize;

/// Time that a generation may take to begin.
const BEGIN_MS: Millis = Millis(1_000);
/// How much longer than its caller's estimate an output may be, in percent.
const ESTIMATE_MARGIN_PERCENT: u64 = 150;
/// Part of the grace, at its end, that is kept free, in percent.
const SPARE_PERCENT: u64 = 10;

/// Time after which a request counts on being answered whole: the balancer no
/// longer sends callers here by then, and a caller's estimate is not enough.
const LATE_MS: Millis = Millis(2_500);

/// How long a request may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationEstimate {
    /// By its caller's estimate.
    pub expected_ms: Millis,
    /// At the most.
    pub max_ms: Millis,
}

/// A stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// When the node was told to stop.
    pub began_ms: Millis,
    /// How long it may take.
    pub grace_ms: Millis,
}

impl Drain {
    /// Whether a request that comes now ends in time.
    pub fn admits(&self, now: Millis, span: DurationEstimate) -> bool {
        let is_late = now.since(self.began_ms) >= LATE_MS;
        let expected_ms = if is_late {
            span.max_ms
        } else {
            span.expected_ms
        };
        let spare_ms = Millis(self.grace_ms.0 * SPARE_PERCENT / 100);
        now + expected_ms + spare_ms < self.began_ms + self.grace_ms
    }
}

/// How long a generation may take.
pub fn estimate_duration(generation: &GenerationSize) -> DurationEstimate {
    let expected = u64::from(generation.expected_output_tokens());
    let most = u64::from(generation.max_output_tokens);
    let max_ms = BEGIN_MS + Millis(most * TOKEN_MS);
    let estimate_ms = BEGIN_MS + Millis(expected * TOKEN_MS * ESTIMATE_MARGIN_PERCENT / 100);
    DurationEstimate {
        expected_ms: estimate_ms.min(max_ms),
        max_ms,
    }
}
