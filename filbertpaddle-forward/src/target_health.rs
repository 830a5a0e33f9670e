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
        let backoff_ms = Millis(INITIAL_BACKOFF_MS.0 << self.failures.min(8)).min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.is_refusing = false;
        self.backoff_until_ms = now + backoff_ms;
        self.backoff_until_ms
    }

    /// Records a refused connection, and returns the end of the back-off.
    pub fn record_refused(&mut self, now: Millis) -> Millis {
        let until_ms = self.record_failure(now);
        self.is_refusing = true;
        until_ms
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

    /// Returns whether the target has asked for no requests for now.
    pub fn is_deferred(&self, now: Millis) -> bool {
        now < self.deferred_until_ms
    }

    /// Returns whether the target refused a connection a short while ago.
    pub fn is_refusing(&self, now: Millis) -> bool {
        self.is_refusing && self.is_in_backoff(now)
    }

    /// Returns the time from which the target may be sent requests.
    pub fn available_at_ms(&self) -> Millis {
        self.backoff_until_ms.max(self.deferred_until_ms)
    }
}
