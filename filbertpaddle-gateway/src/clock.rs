//! The node's steady clock.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use tokio::time::Instant;

/// Milliseconds since the node's start.
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

    /// The time now.
    pub fn now(&self) -> Millis {
        let elapsed = self.start.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// The instant of a time, for timers.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start + duration(at)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Converts a span for timers.
pub fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.0)
}
