//! Token-bucket rate limiter.

use std::time::Instant;

/// Limits events per second, with a burst of a tenth of that number, but at least one event.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    available: f64,
    updated_at: Instant,
}

impl RateLimiter {
    /// Creates a limiter with its full burst available.
    pub fn new(now: Instant) -> Self {
        Self {
            available: f64::MAX,
            updated_at: now,
        }
    }

    /// Returns whether one more event is allowed, and counts it; a limit of `None` allows all.
    pub fn allow(&mut self, per_sec: Option<u32>, now: Instant) -> bool {
        let Some(per_sec) = per_sec.map(f64::from) else {
            return true;
        };
        if per_sec == 0.0 {
            return false;
        }
        let burst = (per_sec / 10.0).max(1.0);
        let refill = now.duration_since(self.updated_at).as_secs_f64() * per_sec;
        self.updated_at = now;
        self.available = (self.available + refill).min(burst);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
