//! Time limits that members of a data centre keep towards each other.

use crate::clock::Millis;

/// Time limits on which the safety of cold targets rests.
///
/// All are spans on one node's monotonic clock. Nodes must agree on them, and
/// their clocks may differ in rate by less than [`Timing::settle_ms`] over the
/// sum of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a member that has promised uses no share.
    pub promise_ms: Millis,
    /// How long after its request was sent a grant may be accepted.
    pub accept_ms: Millis,
    /// How long after acceptance work may take to reach its target.
    pub settle_ms: Millis,
    /// How long after it was asked for a reading of the record counts.
    pub confirm_ms: Millis,
    /// How long a report of a target counts.
    pub report_ms: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            promise_ms: Millis(8_000),
            accept_ms: Millis(1_500),
            settle_ms: Millis(2_000),
            confirm_ms: Millis(4_000),
            report_ms: Millis(5_000),
        }
    }
}

impl Timing {
    /// Returns how long a deposed owner's grants may still reach a target
    /// after its successor has learnt of the change.
    ///
    /// The deposed owner may count on a reading asked for just before the
    /// change, or on a promise that its successor made just before it learnt.
    pub fn quarantine_ms(&self) -> Millis {
        let by_reading_ms = self.confirm_ms + self.accept_ms;
        by_reading_ms.max(self.promise_ms) + self.settle_ms
    }
}
