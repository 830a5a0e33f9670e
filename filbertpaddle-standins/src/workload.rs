//! Open-loop workloads drawn from a seed: the customer, kind and time of each request.
//!
//! Arrivals are a Poisson process whose rate alternates at random between calm
//! phases and bursts.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::marker;

/// Customers and their shares of the requests; the first three are large and send most of them.
pub const CUSTOMERS: &[(&str, f64)] = &[
    ("c0", 0.30),
    ("c1", 0.20),
    ("c2", 0.14),
    ("c3", 0.08),
    ("c4", 0.07),
    ("c5", 0.06),
    ("c6", 0.05),
    ("c7", 0.04),
    ("c8", 0.03),
    ("c9", 0.03),
];

/// Time slice within which the arrival rate is constant.
const SLICE_MS: u64 = 10;

/// Mean length of a calm phase, in slices.
const MEAN_CALM_SLICES: f64 = 400.0;

/// Mean length of a burst, in slices.
const MEAN_BURST_SLICES: f64 = 100.0;

/// Rate within calm phases, relative to the mean.
const CALM_RATE_FACTOR: f64 = 0.7;

/// Rate within bursts, relative to the mean.
const BURST_RATE_FACTOR: f64 = 2.2;

/// Kind of request: a template and its share of the workload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// Name of the template and first word of the prompt.
    pub name: &'static str,
    /// Share of the requests.
    pub share: f64,
    /// Scheduling priority.
    pub priority: u8,
    /// Minimum length of the prompt prefix that requests of this kind by a customer share.
    pub prefix_bytes: usize,
    /// Most tokens to generate; zero for calls of a plain service.
    pub max_tokens: u32,
    /// Whether a request may run more than once without harm.
    pub idempotent: bool,
}

/// Kinds of requests in most scenarios.
pub const STANDARD_KINDS: &[RequestKind] = &[
    kind("stock", 0.35, 5, 1_100, 400, true),
    kind("topics", 0.18, 4, 1_100, 1_500, true),
    kind("menu", 0.12, 3, 2_100, 3_000, true),
    kind("summary", 0.20, 2, 2_100, 3_000, true),
    kind("letter", 0.05, 3, 0, 1_000, false),
    kind("booking", 0.10, 6, 0, 0, false),
];

/// Kinds of requests with mostly long outputs, which fill the engines' memory.
pub const LONG_OUTPUT_KINDS: &[RequestKind] = &[
    kind("stock", 0.10, 5, 1_100, 400, true),
    kind("menu", 0.40, 3, 2_100, 3_000, true),
    kind("summary", 0.40, 2, 2_100, 3_000, true),
    kind("letter", 0.05, 3, 0, 1_000, false),
    kind("booking", 0.05, 6, 0, 0, false),
];

const fn kind(
    name: &'static str,
    share: f64,
    priority: u8,
    prefix_bytes: usize,
    max_tokens: u32,
    idempotent: bool,
) -> RequestKind {
    RequestKind {
        name,
        share,
        priority,
        prefix_bytes,
        max_tokens,
        idempotent,
    }
}

impl RequestKind {
    /// Returns the prompt prefix that all requests of this kind by a customer share.
    pub fn prefix(&self, customer: &str) -> String {
        let mut text = format!("{} {customer} ", self.name);
        while text.len() < self.prefix_bytes {
            text.push_str("as agreed with ");
            text.push_str(customer);
            text.push(' ');
        }
        text
    }

    /// Returns whether requests of this kind are calls of a plain service.
    pub const fn is_call(&self) -> bool {
        self.max_tokens == 0
    }
}

/// One request of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Time at which it is due, from the start of the run.
    pub at_ms: Millis,
    /// Customer that sends it.
    pub customer: Name,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Unique marker under which targets count executions of the request.
    pub marker: String,
    /// Part of the prompt that is not shared with other requests.
    pub parameter: String,
}

impl Request {
    /// Returns the whole prompt.
    pub fn prompt(&self) -> String {
        self.kind.prefix(&self.customer) + &self.parameter
    }

    /// Returns the scheduling priority.
    pub const fn priority(&self) -> Priority {
        Priority(self.kind.priority)
    }
}

/// Settings that a workload is drawn from.
pub struct Settings<F>
where
    F: Fn(f64) -> f64,
{
    /// Seed of all random draws.
    pub seed: u64,
    /// Length of the run.
    pub duration_ms: Millis,
    /// Mean requests per second.
    pub rate: f64,
    /// Rate relative to the mean, as a function of the elapsed fraction of the run.
    pub rate_profile: F,
    /// Kinds of requests.
    pub kinds: &'static [RequestKind],
    /// Additional requests of the first customer, if any.
    pub burst: Option<BurstSettings>,
}

/// Additional requests of the first customer during part of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BurstSettings {
    /// Start, as a fraction of the run.
    pub from: f64,
    /// End, as a fraction of the run.
    pub to: f64,
    /// Rate of additional requests, relative to the mean rate of all customers.
    pub rate: f64,
}

/// Draws the requests of a run, ordered by time slice.
pub fn draw_requests<F>(settings: &Settings<F>) -> Vec<Request>
where
    F: Fn(f64) -> f64,
{
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let mut requests = Vec::new();
    let mut in_burst = false;
    for at_ms in (0..settings.duration_ms.0).step_by(SLICE_MS as usize) {
        let mean_phase_slices = if in_burst {
            MEAN_BURST_SLICES
        } else {
            MEAN_CALM_SLICES
        };
        in_burst ^= rng.random::<f64>() < 1.0 / mean_phase_slices;
        let progress = at_ms as f64 / settings.duration_ms.0 as f64;
        let rate_factor = if in_burst {
            BURST_RATE_FACTOR
        } else {
            CALM_RATE_FACTOR
        };
        let per_slice = settings.rate * SLICE_MS as f64 / 1_000.0;
        let mean_arrivals = per_slice * rate_factor * (settings.rate_profile)(progress);
        for _ in 0..draw_arrivals(&mut rng, mean_arrivals) {
            let customer = pick_weighted(&mut rng, CUSTOMERS, |(_, share)| *share).0;
            requests.push(draw_request(
                settings,
                &mut rng,
                at_ms,
                customer,
                requests.len(),
            ));
        }
        let Some(burst) = settings.burst else {
            continue;
        };
        if (burst.from..burst.to).contains(&progress) {
            for _ in 0..draw_arrivals(&mut rng, per_slice * burst.rate) {
                requests.push(draw_request(
                    settings,
                    &mut rng,
                    at_ms,
                    CUSTOMERS[0].0,
                    requests.len(),
                ));
            }
        }
    }
    requests
}

fn draw_request<F, R>(
    settings: &Settings<F>,
    rng: &mut R,
    at_ms: u64,
    customer: &str,
    number: usize,
) -> Request
where
    F: Fn(f64) -> f64,
    R: Rng,
{
    let marker = format!("{}-{number}", settings.seed);
    let filler = "x".repeat(rng.random_range(0..400));
    Request {
        at_ms: Millis(at_ms + rng.random_range(0..SLICE_MS)),
        customer: customer.into(),
        kind: *pick_weighted(rng, settings.kinds, |kind| kind.share),
        parameter: format!("{}{marker}; {filler}", marker::MARKER_PREFIX),
        marker,
    }
}

/// Draws a Poisson number by Knuth's method, which is fast enough for small means.
fn draw_arrivals<R>(rng: &mut R, mean: f64) -> u32
where
    R: Rng,
{
    let limit = (-mean).exp();
    let mut product = rng.random::<f64>();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

fn pick_weighted<'a, T, F, R>(rng: &mut R, items: &'a [T], share: F) -> &'a T
where
    F: Fn(&T) -> f64,
    R: Rng,
{
    let total: f64 = items.iter().map(&share).sum();
    let mut point = rng.random::<f64>() * total;
    for item in items {
        point -= share(item);
        if point < 0.0 {
            return item;
        }
    }
    &items[items.len() - 1]
}
