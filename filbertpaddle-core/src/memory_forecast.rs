//! Forecast of the KV-cache memory of a batch whose output lengths are unknown.

use crate::output_length::SurvivalCurve;

/// Numbers of generated tokens ahead at which the memory of a batch is predicted.
const HORIZONS_TOKENS: [u32; 12] = [
    0, 32, 64, 128, 256, 512, 1_024, 2_048, 4_096, 8_192, 16_384, 32_768,
];
/// Expected unused tokens in the partly filled last page of each attempt.
const PAGE_SLACK_TOKENS: f32 = 8.0;

/// Memory of one attempt and its possible growth.
#[derive(Clone, Copy, Debug)]
pub struct AttemptMemory<'a> {
    /// Prompt tokens that are not in a shared prefix.
    pub prompt_tokens: u32,
    /// Tokens generated so far.
    pub out_tokens: u32,
    /// Limit of the generated tokens.
    pub max_tokens: u32,
    /// Output lengths of the template.
    pub curve: &'a SurvivalCurve,
}

/// Mean and variance of the memory of a batch at each horizon.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryForecast {
    mean: [f32; HORIZONS_TOKENS.len()],
    variance: [f32; HORIZONS_TOKENS.len()],
}

impl MemoryForecast {
    /// Adds an attempt to the batch.
    pub fn add(&mut self, attempt: &AttemptMemory<'_>) {
        let current_tokens =
            (attempt.prompt_tokens + attempt.out_tokens) as f32 + PAGE_SLACK_TOKENS;
        for (horizon, ahead) in HORIZONS_TOKENS.iter().enumerate() {
            let length = attempt.out_tokens + ahead;
            let probability = if length > attempt.max_tokens {
                0.0
            } else {
                attempt.curve.survival(attempt.out_tokens, length)
            };
            let tokens = current_tokens + *ahead as f32;
            self.mean[horizon] += probability * tokens;
            self.variance[horizon] += probability * (1.0 - probability) * tokens * tokens;
        }
    }

    /// Returns the forecast of both batches together.
    pub fn combined_with(&self, other: &Self) -> Self {
        let mut combined = *self;
        for horizon in 0..HORIZONS_TOKENS.len() {
            combined.mean[horizon] += other.mean[horizon];
            combined.variance[horizon] += other.variance[horizon];
        }
        combined
    }

    /// Returns the largest memory over all horizons, in tokens, at `deviations`
    /// standard deviations above the mean.
    pub fn peak_tokens(&self, deviations: f32) -> f32 {
        self.mean
            .iter()
            .zip(self.variance)
            .map(|(mean, variance)| mean + deviations * variance.sqrt())
            .fold(0.0, f32::max)
    }

    /// Returns the expected memory at present, in tokens.
    pub fn tokens_now(&self) -> f32 {
        self.mean[0]
    }
}
