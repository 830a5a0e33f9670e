//! How fast a queue empties, and so whether a deadline can be met.

use crate::clock::Millis;

/// Length of one measurement.
const WINDOW: Millis = Millis(1_000);
/// Part of a new measurement in the rate.
const RATE_PART: f64 = 0.3;
/// Least and greatest time after which to come back.
const RETRY_RANGE: (Millis, Millis) = (Millis(200), Millis::from_secs(60));

/// The rate at which queued work is placed while there is any.
#[derive(Clone, Debug, Default)]
pub struct PlacementRate {
    window_ms: Millis,
    placed_tokens: u64,
    tokens_per_ms: Option<f64>,
}

impl PlacementRate {
    /// Records that work of `tokens` expected tokens was placed.
    ///
    /// `waiting` says whether more work waits, so that an idle pool is not
    /// taken for a slow one.
    pub fn placed(&mut self, now: Millis, tokens: u64, waiting: bool) {
        if !waiting {
            self.window_ms = now;
            self.placed_tokens = 0;
            return;
        }
        self.placed_tokens += tokens;
        let span_ms = now.since(self.window_ms);
        if span_ms < WINDOW {
            return;
        }
        let rate = self.placed_tokens as f64 / span_ms.0 as f64;
        let old = self.tokens_per_ms.unwrap_or(rate);
        self.tokens_per_ms = Some(old + RATE_PART * (rate - old));
        self.window_ms = now;
        self.placed_tokens = 0;
    }

    /// Returns how long `tokens` queued tokens take to be placed; zero if
    /// nothing is known yet.
    pub fn wait(&self, tokens: u64) -> Millis {
        match self.tokens_per_ms {
            Some(rate) if rate > 0.0 => Millis((tokens as f64 / rate) as u64),
            _ => Millis::ZERO,
        }
    }

    /// Returns when to come back, if `tokens` are queued and a request is willing
    /// to wait for `patience`.
    pub fn retry_after(&self, tokens: u64, patience: Millis) -> Millis {
        let excess = self.wait(tokens).since(patience);
        excess.clamp(RETRY_RANGE.0, RETRY_RANGE.1)
    }
}
