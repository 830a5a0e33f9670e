//! Random arrivals of generations, determined by a seed.

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

/// Time between two peaks of the arrival rate.
const RATE_PERIOD_SECS: f64 = 40.0;
/// Amplitude of the arrival rate relative to its mean.
const RATE_AMPLITUDE: f64 = 0.5;
/// Maximum output tokens of a generation.
const MAX_TOKENS: u32 = 16_384;

/// Customers with their share of arrivals, their template and its priority.
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

/// Arrival of one generation.
pub(crate) struct Arrival {
    /// Simulated time of the arrival.
    pub(crate) at_us: u64,
    /// Customer that sends it.
    pub(crate) customer: Name,
    /// Template of the customer.
    pub(crate) template: Name,
    /// Digest of the prefix that all requests of the template share.
    pub(crate) prefix: u64,
    /// The request as submitted to the simulated engine.
    pub(crate) request: EngineRequest,
}

/// Returns the arrivals of `secs` seconds at a mean of `rate` per second.
pub(crate) fn arrivals(seed: u64, rate: f64, secs: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at_secs = 0.0;
    let mut arrivals = Vec::new();
    let peak = rate * (1.0 + RATE_AMPLITUDE);
    loop {
        at_secs += Exp::new(peak).map_or(1.0, |gap| gap.sample(&mut rng));
        if at_secs >= secs as f64 {
            return arrivals;
        }
        let current_rate = rate * (1.0 + RATE_AMPLITUDE * (TAU * at_secs / RATE_PERIOD_SECS).sin());
        if rng.random::<f64>() * peak < current_rate {
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
    let mut remaining_share = rng.random_range(0..total);
    let customer = CUSTOMERS
        .iter()
        .position(|(_, share, ..)| {
            let found = remaining_share < *share;
            remaining_share = remaining_share.saturating_sub(*share);
            found
        })
        .unwrap_or(0);
    let (name, _, template, priority) = CUSTOMERS[customer];
    let blocks = vec![customer as u64 * 2 + 1, customer as u64 * 2 + 2];
    Arrival {
        at_us: (at_secs * 1e6) as u64,
        customer: Name::new(name),
        template: Name::new(format!("{name}/{template}")),
        prefix: blocks[1],
        request: EngineRequest {
            attempt: Name::new(format!("{index}")),
            priority: Priority(priority),
            prompt_tokens: 2 * BLOCK_TOKENS + rng.random_range(20..500),
            blocks,
            output_tokens: lengths::draw_output_tokens(seed, &format!("{template} {index}")),
            max_tokens: MAX_TOKENS,
            poison: false,
        },
    }
}
