//! Estimate of how fast queued work is placed.
//!
//! The scheduler uses it to refuse a request whose deadline cannot be met, and to
//! give the caller a retry delay.

use crate::clock::Millis;

/// Shortest time over which the rate is measured.
const RATE_WINDOW_MS: Millis = Millis(1_000);
/// Weight of a new measurement in the moving average of the rate.
const RATE_SMOOTHING: f64 = 0.3;
/// Shortest and longest delay returned for a retry.
const RETRY_AFTER_RANGE: (Millis, Millis) = (Millis(200), Millis::from_secs(60));

/// Moving average of the tokens placed per millisecond while work is queued.
#[derive(Clone, Debug, Default)]
pub struct PlacementRate {
    window_start_ms: Millis,
    placed_tokens: u64,
    tokens_per_ms: Option<f64>,
}

impl PlacementRate {
    /// Records the placement of work with `tokens` expected tokens.
    ///
    /// `more_queued` is whether other work is still queued. The measurement
    /// restarts if not, since an idle pool would lower the rate.
    pub fn record_placement(&mut self, now: Millis, tokens: u64, more_queued: bool) {
        if !more_queued {
            self.window_start_ms = now;
            self.placed_tokens = 0;
            return;
        }
        self.placed_tokens += tokens;
        let span_ms = now.since(self.window_start_ms);
        if span_ms < RATE_WINDOW_MS {
            return;
        }
        let rate = self.placed_tokens as f64 / span_ms.0 as f64;
        let old = self.tokens_per_ms.unwrap_or(rate);
        self.tokens_per_ms = Some(old + RATE_SMOOTHING * (rate - old));
        self.window_start_ms = now;
        self.placed_tokens = 0;
    }

    /// Returns the time it takes to place `tokens` queued tokens; zero before the
    /// first measurement.
    pub fn expected_wait(&self, tokens: u64) -> Millis {
        match self.tokens_per_ms {
            Some(rate) if rate > 0.0 => Millis((tokens as f64 / rate) as u64),
            _ => Millis::ZERO,
        }
    }

    /// Returns the delay before a retry, for a request that may wait up to
    /// `max_wait` behind `tokens` queued tokens.
    pub fn retry_after(&self, tokens: u64, max_wait: Millis) -> Millis {
        let excess = self.expected_wait(tokens).since(max_wait);
        excess.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1)
    }
}
