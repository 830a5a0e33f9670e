//! Token bucket: a rate with a bounded burst.

use filbertpaddle_core::clock::Millis;

/// Tolerance for rounding, far below one token.
const EPSILON_TOKENS: f64 = 1e-6;

/// Rate at which a bucket fills, and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FillRate {
    /// Tokens per second.
    pub per_sec: f64,
    /// Largest number of tokens that it holds.
    pub max_tokens: f64,
}

/// Bucket from which each request takes a token.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    filled_ms: Millis,
}

impl TokenBucket {
    /// Creates a bucket that is empty at `now`.
    pub fn empty(now: Millis) -> Self {
        Self {
            tokens: 0.0,
            filled_ms: now,
        }
    }

    /// Returns whether it holds a token.
    pub fn has_token(&self, now: Millis, rate: FillRate) -> bool {
        self.tokens_at(now, rate) + EPSILON_TOKENS >= 1.0
    }

    /// Takes a token, which may be one that it does not hold yet.
    pub fn take(&mut self, now: Millis, rate: FillRate) {
        self.tokens = self.tokens_at(now, rate) - 1.0;
        self.filled_ms = now;
    }

    /// Returns the time until it holds a token; `None` if it never will.
    pub fn until_token_ms(&self, now: Millis, rate: FillRate) -> Option<Millis> {
        let missing = 1.0 - self.tokens_at(now, rate);
        if missing <= EPSILON_TOKENS {
            return Some(Millis::ZERO);
        }
        let wait_ms = missing * 1_000.0 / rate.per_sec;
        wait_ms.is_finite().then(|| Millis(wait_ms.ceil() as u64))
    }

    fn tokens_at(&self, now: Millis, rate: FillRate) -> f64 {
        let filled = now.since(self.filled_ms).0 as f64 * rate.per_sec / 1_000.0;
        (self.tokens + filled).min(rate.max_tokens)
    }
}
