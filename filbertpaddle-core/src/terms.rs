//! Time limits that members of a data centre keep towards each other.

use crate::clock::Millis;

/// Time limits on which the safety of cold targets rests.
///
/// All are spans on one node's monotonic clock. Nodes must agree on them, and
/// their clocks may differ in rate by less than [`Terms::settle_ms`] over the
/// sum of the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a member that has promised uses no share and deposes no owner.
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

impl Default for Terms {
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

impl Terms {
    /// Returns how long a deposed owner's grants may still reach a target.
    pub fn quarantine_ms(&self) -> Millis {
        self.confirm_ms + self.accept_ms + self.settle_ms
    }
}
