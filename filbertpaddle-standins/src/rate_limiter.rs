//! A rate limit.

use std::time::Instant;

/// Allows a number of events a second, with a burst of one tenth of that or one event.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    allowance: f64,
    last: Instant,
}

impl RateLimiter {
    /// Makes a limiter whose burst is unused.
    pub fn new(now: Instant) -> Self {
        Self {
            allowance: f64::MAX,
            last: now,
        }
    }

    /// Returns whether one more event is allowed; `None` allows all.
    pub fn allow(&mut self, per_sec: Option<u32>, now: Instant) -> bool {
        let Some(per_sec) = per_sec.map(f64::from) else {
            return true;
        };
        if per_sec == 0.0 {
            return false;
        }
        let burst = (per_sec / 10.0).max(1.0);
        let earned = now.duration_since(self.last).as_secs_f64() * per_sec;
        self.last = now;
        self.allowance = (self.allowance + earned).min(burst);
        if self.allowance < 1.0 {
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}
