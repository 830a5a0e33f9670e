//! Arrivals of generations from a seed.

use std::f64::consts::TAU;

use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use filbertpaddle_standins::batch::EngineRequest;
use filbertpaddle_standins::batch_scheduler::BLOCK_TOKENS;
use filbertpaddle_standins::lengths;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::Distribution;
use rand_distr::Exp;

/// Time between two peaks of the arrivals.
const SWING_SECS: f64 = 40.0;
/// How far the rate swings around its mean.
const SWING_PART: f64 = 0.5;
/// Most tokens that a generation may produce.
const MAX_TOKENS: u32 = 16_384;

/// Customers, their share of arrivals and their template.
const CUSTOMERS: &[(&str, u32, &str, u8)] = &[
    ("district-north", 30, "summary", 0),
    ("camp-central", 25, "menu", 1),
    ("school-a", 8, "topics", 1),
    ("school-b", 8, "summary", 0),
    ("school-c", 6, "topics", 1),
    ("camp-east", 6, "menu", 1),
    ("camp-west", 5, "stock", 2),
    ("camp-south", 5, "stock", 2),
    ("school-d", 4, "topics", 1),
    ("school-e", 3, "summary", 0),
];

/// One generation that arrives.
pub(crate) struct Arrival {
    /// When it arrives.
    pub(crate) at_us: u64,
    /// Who sends it.
    pub(crate) customer: Name,
    /// Its customer's template.
    pub(crate) template: Name,
    /// Digest of the shared prefix.
    pub(crate) prefix: u64,
    /// The work as the engine knows it.
    pub(crate) work: EngineRequest,
}

/// Returns the arrivals of `secs` seconds at a mean of `rate` in a second.
pub(crate) fn arrivals(seed: u64, rate: f64, secs: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at_secs = 0.0;
    let mut arrivals = Vec::new();
    let peak = rate * (1.0 + SWING_PART);
    loop {
        at_secs += Exp::new(peak).map_or(1.0, |gap| gap.sample(&mut rng));
        if at_secs >= secs as f64 {
            return arrivals;
        }
        let now_rate = rate * (1.0 + SWING_PART * (TAU * at_secs / SWING_SECS).sin());
        if rng.random::<f64>() * peak < now_rate {
            let index = arrivals.len();
            arrivals.push(arrival(seed, index, at_secs, &mut rng));
        }
    }
}

fn arrival<R>(seed: u64, index: usize, at_secs: f64, rng: &mut R) -> Arrival
where
    R: Rng,
{
    let total: u32 = CUSTOMERS.iter().map(|(_, share, ..)| share).sum();
    let mut place = rng.random_range(0..total);
    let customer = CUSTOMERS
        .iter()
        .position(|(_, share, ..)| {
            let found = place < *share;
            place = place.saturating_sub(*share);
            found
        })
        .unwrap_or(0);
    let (name, _, word, priority) = CUSTOMERS[customer];
    let blocks = vec![customer as u64 * 2 + 1, customer as u64 * 2 + 2];
    Arrival {
        at_us: (at_secs * 1e6) as u64,
        customer: Name::new(name),
        template: Name::new(format!("{name}/{word}")),
        prefix: blocks[1],
        work: EngineRequest {
            attempt: Name::new(format!("{index}")),
            priority: Priority(priority),
            prompt_tokens: 2 * BLOCK_TOKENS + rng.random_range(20..500),
            blocks,
            output_tokens: lengths::draw(seed, &format!("{word} {index}")),
            max_tokens: MAX_TOKENS,
            poison: false,
        },
    }
}
