//! Predicted memory of a batch whose output lengths are unknown.

use crate::output_length::SurvivalCurve;

/// Tokens ahead of now at which the memory of a batch is predicted.
const STEPS: [u32; 12] = [
    0, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768,
];
/// Tokens lost by each attempt to a last page that is not full.
const PAGE_SLACK_TOKENS: f32 = 8.0;

/// One attempt's memory now and how it may grow.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMemory<'a> {
    /// Tokens of the prompt that are not shared with others.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub out_tokens: u32,
    /// Most tokens it may generate.
    pub max_tokens: u32,
    /// OutputLengths to expect of its template.
    pub curve: &'a SurvivalCurve,
}

/// Mean and variance of a batch's memory at several steps ahead.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryForecast {
    mean: [f32; STEPS.len()],
    variance: [f32; STEPS.len()],
}

impl MemoryForecast {
    /// Adds an attempt to the batch.
    pub fn add(&mut self, attempt: &AttemptMemory<'_>) {
        let held = (attempt.prompt_tokens + attempt.out_tokens) as f32 + PAGE_SLACK_TOKENS;
        for (step, ahead) in STEPS.iter().enumerate() {
            let length = attempt.out_tokens + ahead;
            let chance = if length > attempt.max_tokens {
                0.0
            } else {
                attempt.curve.reach(attempt.out_tokens, length)
            };
            let tokens = held + *ahead as f32;
            self.mean[step] += chance * tokens;
            self.variance[step] += chance * (1.0 - chance) * tokens * tokens;
        }
    }

    /// Returns the batch of both.
    pub fn with(&self, other: &Self) -> Self {
        let mut both = *self;
        for step in 0..STEPS.len() {
            both.mean[step] += other.mean[step];
            both.variance[step] += other.variance[step];
        }
        both
    }

    /// Returns the highest memory over all steps, in tokens, at `deviations`
    /// standard deviations above the mean.
    pub fn peak_tokens(&self, deviations: f32) -> f32 {
        self.mean
            .iter()
            .zip(self.variance)
            .map(|(mean, variance)| mean + deviations * variance.sqrt())
            .fold(0.0, f32::max)
    }

    /// Returns the memory expected now, in tokens.
    pub fn now_tokens(&self) -> f32 {
        self.mean[0]
    }
}
