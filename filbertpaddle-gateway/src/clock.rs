//! The node's monotonic clock.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use tokio::time::Instant;

/// Counts milliseconds since the node's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Converts a time to an [`Instant`] for timers.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + duration(at)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Converts a span to a [`Duration`] for timers.
pub fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}
