//! The node's clocks.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertpaddle_core::clock::Millis;

/// Monotonic time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the time since the Unix epoch.
pub fn unix_now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Turns a span into the runtime's type.
pub fn duration(span: Millis) -> std::time::Duration {
    std::time::Duration::from_millis(span.0)
}
