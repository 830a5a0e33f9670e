//! Time limits of the protocol between the members of a data centre.

use crate::clock::Millis;

/// Time limits that keep the nodes' combined work within the limit of a cold target.
///
/// All are spans on one node's monotonic clock. All nodes must use the same
/// values. Over the sum of the other limits, their clocks may drift apart by
/// less than [`Timing::settle_ms`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a promise not to use shares binds a member.
    pub promise_ms: Millis,
    /// How long a grant may be accepted, counted from when its request or stamp was sent.
    pub accept_ms: Millis,
    /// How long accepted work may take to reach its target.
    pub settle_ms: Millis,
    /// How long a read of the roster stays valid, counted from when it was requested.
    pub confirm_ms: Millis,
    /// How long a target's report stays valid.
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
    /// Returns how long grants of a replaced owner may still reach a target
    /// after its successor has read the change.
    ///
    /// The replaced owner may rely on a read requested just before the change,
    /// or on a promise that its successor made just before it read the change.
    pub fn quarantine_ms(&self) -> Millis {
        let by_read_ms = self.confirm_ms + self.accept_ms;
        by_read_ms.max(self.promise_ms) + self.settle_ms
    }
}
