//! Health of a target as seen by one node: whether it may be sent requests now.

use filbertpaddle_core::clock::Millis;

/// Time for which a target gets no requests after its first failure; it doubles with each
/// further one.
const INITIAL_BACKOFF_MS: Millis = Millis(400);
/// Maximum back-off.
const MAX_BACKOFF_MS: Millis = Millis(3_200);
/// Time over which nodes return to a target that has asked them for no requests.
const RETURN_SPREAD_MS: Millis = Millis(500);

/// Failures of a target and the times until which it gets no requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetHealth {
    failures: u32,
    backoff_until_ms: Millis,
    /// Number of connections in a row that it did not accept from this node.
    connect_failures: u32,
    /// Time until which this node does not try to connect to it.
    unreached_until_ms: Millis,
    /// Whether its last failure was a refused connection.
    is_refusing: bool,
    /// Time until which the target has asked for no requests.
    deferred_until_ms: Millis,
}

impl TargetHealth {
    /// Records a successful response, which ends the back-off.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.backoff_until_ms = Millis::ZERO;
        self.is_refusing = false;
    }

    /// Records a failed request, and returns the end of the back-off.
    pub fn record_failure(&mut self, now: Millis) -> Millis {
        let backoff_ms = backoff_ms(self.failures);
        self.failures += 1;
        self.is_refusing = false;
        self.backoff_until_ms = now + backoff_ms;
        self.backoff_until_ms
    }

    /// Records that it did not accept a connection of this node, and returns the time until which
    /// this node does not try again. Another node may reach it meanwhile.
    pub fn record_unreached(&mut self, now: Millis, is_refusing: bool) -> Millis {
        let wait_ms = backoff_ms(self.connect_failures);
        self.connect_failures += 1;
        self.is_refusing = is_refusing;
        self.unreached_until_ms = now + wait_ms;
        self.unreached_until_ms
    }

    /// Forgets its failures, which were those of this node's links.
    pub fn forget_failures(&mut self) {
        self.record_success();
        self.record_reached();
    }

    /// Records that it accepted a connection of this node.
    pub fn record_reached(&mut self) {
        self.connect_failures = 0;
        self.unreached_until_ms = Millis::ZERO;
        self.is_refusing = false;
    }

    /// Records that the target wants no requests for `span`, and returns when this node sends
    /// to it again; `draw` is a random number from 0 to 1.
    ///
    /// Nodes that were refused together return one after the other.
    pub fn record_retry_after(&mut self, now: Millis, span: Millis, draw: f64) -> Millis {
        let spread_ms = Millis((RETURN_SPREAD_MS.0 as f64 * draw) as u64);
        self.deferred_until_ms = self.deferred_until_ms.max(now + span + spread_ms);
        self.deferred_until_ms
    }

    /// Returns whether the target failed a short while ago.
    pub fn is_in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until_ms
    }

    /// Returns whether the target did not accept a connection of this node a short while ago.
    pub fn is_unreached(&self, now: Millis) -> bool {
        now < self.unreached_until_ms
    }

    /// Returns whether the target has asked for no requests for now.
    pub fn is_deferred(&self, now: Millis) -> bool {
        now < self.deferred_until_ms
    }

    /// Returns whether the target refused a connection a short while ago.
    pub fn is_refusing(&self, now: Millis) -> bool {
        self.is_refusing && self.is_unreached(now)
    }

    /// Returns the time from which the target may be sent requests.
    pub fn available_at_ms(&self) -> Millis {
        let usable_at_ms = self.backoff_until_ms.max(self.unreached_until_ms);
        usable_at_ms.max(self.deferred_until_ms)
    }
}

/// Returns the back-off after a failure that follows `failures` others.
fn backoff_ms(failures: u32) -> Millis {
    Millis(INITIAL_BACKOFF_MS.0 << failures.min(8)).min(MAX_BACKOFF_MS)
}
