//! Random output lengths of simulated generations, repeatable from a seed and the prompt.

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;
use rand_distr::Pareto;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::marker;

/// Longest output, in tokens.
const MAX_OUTPUT_TOKENS: f64 = 32_768.0;

/// Distribution of output lengths: a lognormal body with a Pareto tail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthDistribution {
    /// Median of the body, in tokens.
    pub median_tokens: f64,
    /// Standard deviation of the body's logarithm.
    pub sigma: f64,
    /// Share of outputs that come from the tail.
    pub tail_share: f64,
    /// Shortest output of the tail, in tokens.
    pub tail_tokens: f64,
    /// Exponent of the tail; a smaller one makes the tail heavier.
    pub tail_exponent: f64,
}

/// Distributions by the first word of the prompt; the last one applies to all other prompts.
pub const LENGTH_DISTRIBUTIONS: &[(&str, LengthDistribution)] = &[
    ("stock", distribution(24.0, 0.5, 0.01, 200.0, 1.5)),
    ("topics", distribution(60.0, 0.6, 0.03, 400.0, 1.4)),
    ("menu", distribution(500.0, 0.7, 0.10, 1_500.0, 1.3)),
    ("summary", distribution(220.0, 0.8, 0.08, 1_200.0, 1.2)),
    ("", distribution(120.0, 0.9, 0.05, 800.0, 1.3)),
];

const fn distribution(
    median_tokens: f64,
    sigma: f64,
    tail_share: f64,
    tail_tokens: f64,
    tail_exponent: f64,
) -> LengthDistribution {
    LengthDistribution {
        median_tokens,
        sigma,
        tail_share,
        tail_tokens,
        tail_exponent,
    }
}

/// Draws the output length of a prompt, in tokens; it is at least one.
///
/// The same seed and prompt always give the same length. If the prompt has a
/// marker, only the marker and the first word count, so that the length of a
/// request does not depend on how its prompt is assembled.
pub fn draw_output_tokens(seed: u64, prompt: &str) -> u32 {
    let word = prompt.split_whitespace().next().unwrap_or_default();
    let distribution = LENGTH_DISTRIBUTIONS
        .iter()
        .find(|(name, _)| *name == word || name.is_empty())
        .map_or(LENGTH_DISTRIBUTIONS[0].1, |(_, distribution)| *distribution);
    let identity = marker::find(prompt).unwrap_or_else(|| prompt.to_owned());
    let mut rng = SmallRng::seed_from_u64(xxh3_64_with_seed(identity.as_bytes(), seed));
    let tokens = sample(&distribution, &mut rng);
    tokens.clamp(1.0, MAX_OUTPUT_TOKENS) as u32
}

fn sample<R>(distribution: &LengthDistribution, rng: &mut R) -> f64
where
    R: Rng,
{
    if rng.random::<f64>() < distribution.tail_share {
        return Pareto::new(distribution.tail_tokens, distribution.tail_exponent)
            .map_or(distribution.tail_tokens, |tail| tail.sample(rng));
    }
    LogNormal::new(distribution.median_tokens.ln(), distribution.sigma)
        .map_or(distribution.median_tokens, |body| body.sample(rng))
}
