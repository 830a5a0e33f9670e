//! Time between tokens as it grows with the batch, and progress by it.

use crate::clock::Millis;

/// Weight that older samples keep when one is added.
const DECAY: f64 = 0.995;
/// Token gaps assumed before any is seen, as batch size and milliseconds.
const PRIOR: [(f64, f64); 2] = [(1.0, 12.0), (48.0, 30.0)];
/// Part of a new sample in the factor of one target.
const FACTOR_PART: f64 = 0.05;
/// Bounds of the factor of one target.
const FACTOR_RANGE: (f64, f64) = (0.5, 4.0);

/// Token gap of a pool's targets as a line over the batch size.
#[derive(Clone, Debug)]
pub struct GapModel {
    weight: f64,
    batch: f64,
    gap: f64,
    batch_batch: f64,
    batch_gap: f64,
}

impl Default for GapModel {
    fn default() -> Self {
        Self::new()
    }
}

impl GapModel {
    /// Creates a line through the assumed gaps.
    pub fn new() -> Self {
        let mut line = Self {
            weight: 0.0,
            batch: 0.0,
            gap: 0.0,
            batch_batch: 0.0,
            batch_gap: 0.0,
        };
        PRIOR
            .iter()
            .for_each(|(batch, gap_ms)| line.observe(*batch, *gap_ms));
        line
    }

    /// Learns the mean gap of one output and the mean batch it ran in.
    pub fn observe(&mut self, batch: f64, gap_ms: f64) {
        self.weight = self.weight * DECAY + 1.0;
        self.batch = self.batch * DECAY + batch;
        self.gap = self.gap * DECAY + gap_ms;
        self.batch_batch = self.batch_batch * DECAY + batch * batch;
        self.batch_gap = self.batch_gap * DECAY + batch * gap_ms;
    }

    /// Returns the gap to expect in a batch of `batch` attempts, in milliseconds.
    pub fn gap_ms(&self, batch: f64) -> f64 {
        let mean_batch = self.batch / self.weight;
        let mean_gap = self.gap / self.weight;
        (mean_gap + self.slope() * (batch - mean_batch)).max(1.0)
    }

    fn slope(&self) -> f64 {
        let mean_batch = self.batch / self.weight;
        let variance = self.batch_batch / self.weight - mean_batch * mean_batch;
        if variance < 0.25 {
            return 0.0;
        }
        let shared = self.batch_gap / self.weight - mean_batch * self.gap / self.weight;
        (shared / variance).max(0.0)
    }
}

/// Tokens that each attempt of one target has gained since the target was known.
#[derive(Clone, Debug)]
pub struct TokenProgress {
    now_ms: Millis,
    tokens: f64,
    batch_ms: f64,
    factor: f64,
}

/// A reading of a target's progress.
#[derive(Clone, Copy, Debug)]
pub struct ProgressSnapshot {
    /// When it was read.
    pub at_ms: Millis,
    tokens: f64,
    batch_ms: f64,
}

impl TokenProgress {
    /// Creates the progress of a target first seen at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            now_ms: now,
            tokens: 0.0,
            batch_ms: 0.0,
            factor: 1.0,
        }
    }

    /// Moves to `now`, with `batch` attempts running since the last call.
    pub fn advance(&mut self, now: Millis, batch: usize, line: &GapModel) {
        let span_ms = now.since(self.now_ms).0 as f64;
        if span_ms <= 0.0 {
            return;
        }
        self.now_ms = now;
        self.batch_ms += span_ms * batch as f64;
        self.tokens += span_ms / (self.factor * line.gap_ms(batch as f64));
    }

    /// Reads the progress as of the last call of [`Self::advance`].
    pub fn mark(&self) -> ProgressSnapshot {
        ProgressSnapshot {
            at_ms: self.now_ms,
            tokens: self.tokens,
            batch_ms: self.batch_ms,
        }
    }

    /// Returns the tokens that an attempt gained since `start`.
    pub fn tokens_since(&self, start: &ProgressSnapshot) -> u32 {
        (self.tokens - start.tokens).max(0.0) as u32
    }

    /// Returns the gap to expect in a batch of `batch` attempts, in milliseconds.
    pub fn gap_ms(&self, batch: usize, line: &GapModel) -> f64 {
        self.factor * line.gap_ms(batch as f64)
    }

    /// Learns from an output of `tokens` tokens that ran since `start`.
    pub fn learn(&mut self, start: &ProgressSnapshot, tokens: u32, line: &mut GapModel) {
        let span_ms = self.now_ms.since(start.at_ms).0 as f64;
        if tokens < 8 || span_ms <= 0.0 {
            return;
        }
        let batch = (self.batch_ms - start.batch_ms) / span_ms;
        let gap_ms = span_ms / f64::from(tokens);
        let ratio = gap_ms / line.gap_ms(batch);
        self.factor += FACTOR_PART * (ratio - self.factor);
        self.factor = self.factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1);
        line.observe(batch, gap_ms);
    }
}
