//! Monotonic and wall-clock time of the node.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertpaddle_core::clock::Millis;

/// Monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    pub fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Returns the wall-clock time since the Unix epoch.
pub fn unix_now() -> Millis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Millis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Converts milliseconds to the standard library's duration.
pub fn duration(ms: Millis) -> std::time::Duration {
    std::time::Duration::from_millis(ms.0)
}
