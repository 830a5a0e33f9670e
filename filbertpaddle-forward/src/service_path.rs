//! Whether requests of this node reach targets in service, by its own links or through others.
//!
//! Load pattern: a data centre is cut off from the others while its own targets are out of
//! service. Its callers still reach its nodes, which can serve none of them, though the nodes of
//! other data centres could.

use filbertpaddle_core::clock::Millis;

/// Number of attempts in a row that must have found no path.
const MIN_FAILURES: u32 = 2;
/// Time that must have passed since the first of them. Nodes that are asked to relay a connection
/// may have to find out first that they are cut off themselves.
const MIN_LOST_MS: Millis = Millis(400);

/// Attempts to reach targets in service since the last that succeeded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServicePath {
    failures: u32,
    first_failure_ms: Millis,
    /// Whether [`Self::record_none`] has returned that the path is lost.
    is_reported: bool,
}

impl ServicePath {
    /// Creates the state of a node that has tried nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target in service accepted a connection, or that another node was found that
    /// reaches some; returns whether the path counted as lost.
    pub fn record_found(&mut self) -> bool {
        std::mem::take(self).is_reported
    }

    /// Records that neither this node nor another that was asked reaches targets; returns whether
    /// the path counts as lost from now on.
    pub fn record_none(&mut self, now: Millis) -> bool {
        if self.failures == 0 {
            self.first_failure_ms = now;
        }
        self.failures = self.failures.saturating_add(1);
        let is_lost = self.is_lost(now);
        is_lost && !std::mem::replace(&mut self.is_reported, is_lost)
    }

    /// Returns whether the last attempts found no path, so that callers are better served by other
    /// nodes.
    pub fn is_lost(&self, now: Millis) -> bool {
        self.failures >= MIN_FAILURES && now.since(self.first_failure_ms) >= MIN_LOST_MS
    }

    /// Returns the time since the first of the attempts in a row that found no path.
    pub fn lost_ms(&self, now: Millis) -> Millis {
        match self.failures {
            0 => Millis::ZERO,
            _ => now.since(self.first_failure_ms),
        }
    }

    /// Returns whether the last attempt found no path.
    pub fn is_in_doubt(&self) -> bool {
        self.failures > 0
    }
}
