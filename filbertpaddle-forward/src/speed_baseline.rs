//! What a node takes for typical times at the targets of a service.
//!
//! Each node compares its samples of a target with its own samples of the others: what its link or
//! its CPU adds is in all of them, and is no property of a target.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::token_gap::GapModel;
use indexmap::IndexMap;

/// Number of recent samples whose median is the typical time.
const MAX_RECENT: usize = 32;
/// Number of samples below which nothing is taken for typical.
const MIN_RECENT: usize = 6;
/// Number of samples from which the median counts as certain.
const CERTAIN_RECENT: usize = 16;
/// Time from a node's first sample of a service in which samples only form the typical time: the first
/// answers to end are the short ones.
const WARM_UP_MS: Millis = Millis::from_secs(2);
/// Age from which a sample is not used.
const MAX_AGE_MS: Millis = Millis::from_secs(30);
/// Part of a target's capacity from which it counts as busy.
pub const BUSY_FILL: f64 = 0.5;
/// Time that a first event takes without any prompt, in tokens.
const FIRST_EVENT_TOKENS: f64 = 100.0;
/// Largest logarithm of a ratio; a longer time may have other causes.
const MAX_LN_RATIO: f64 = 1.5;
/// Weights of samples, by how little they vary: a sample of token times is a mean of dozens.
const FIRST_EVENT_WEIGHT: f64 = 1.0;
const TOKEN_WEIGHT: f64 = 4.0;
const WHOLE_WEIGHT: f64 = 1.0;

/// Measured time at a target.
#[derive(Clone, Debug, PartialEq)]
pub enum SpeedSample {
    /// Time to the first event, with the prompt tokens to process before it.
    FirstEvent {
        /// Prompt tokens of the request and of those ahead of it.
        tokens: u64,
        /// Time from the request to the event.
        waited_ms: Millis,
    },
    /// Time for each output token, in microseconds, in a batch.
    Token {
        /// Time for a token.
        token_us: u64,
        /// Requests that ran there.
        batch: u32,
    },
    /// Time of a whole answer to a request of a route.
    Whole {
        /// Name of the route: requests of one are alike.
        route: Name,
        /// Time from the request to the end of the answer.
        time_ms: Millis,
    },
}

/// Sample in relation to the typical time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedRatio {
    /// Logarithm of the ratio; 0 is typical.
    pub ln_ratio: f64,
    /// Weight.
    pub weight: f64,
}

/// Typical times at the targets of one service, as this node has seen them.
#[derive(Clone, Debug, Default)]
pub struct SpeedBaseline {
    began_ms: Option<Millis>,
    gaps: GapModel,
    recent: IndexMap<SampleKind, RecentLns>,
}

/// Samples that are compared with each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum SampleKind {
    FirstEvent,
    Token,
    /// Of a route's requests; those at targets that are busy apart, since they take longer
    /// everywhere.
    Whole(Name, bool),
}

impl SpeedBaseline {
    /// Creates the baseline of a service without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sample of a target that takes `known_ln` (a logarithm) longer than is typical,
    /// as far as is known, and was `fill` (a part of its capacity) full. Returns the sample in
    /// relation to the typical time, if there is one.
    pub fn record(
        &mut self,
        now: Millis,
        sample: &SpeedSample,
        fill: f64,
        known_ln: f64,
    ) -> Option<SpeedRatio> {
        let ln_time = self.ln_time(sample, fill);
        let recent = self.recent.entry(kind(sample, fill)).or_default();
        let typical = recent.median(now);
        let recent_count = recent.0.len();
        recent.record(now, ln_time - known_ln);
        if let SpeedSample::Token { token_us, batch } = sample {
            let gap_ms = *token_us as f64 / 1_000.0 / known_ln.exp();
            self.gaps.observe(f64::from(*batch), gap_ms);
        }
        let began_ms = *self.began_ms.get_or_insert(now);
        if now.since(began_ms) < WARM_UP_MS {
            return None;
        }
        let ln_ratio = (ln_time - typical?).clamp(-MAX_LN_RATIO, MAX_LN_RATIO);
        // A median of few samples is uncertain itself.
        let certainty = (recent_count as f64 / CERTAIN_RECENT as f64).min(1.0);
        Some(SpeedRatio {
            ln_ratio,
            weight: weight(sample) * certainty,
        })
    }

    /// Returns the logarithm of a measured time for the work that it was taken for.
    fn ln_time(&self, sample: &SpeedSample, fill: f64) -> f64 {
        match sample {
            SpeedSample::FirstEvent { tokens, waited_ms } => {
                let work = *tokens as f64 + FIRST_EVENT_TOKENS;
                (waited_ms.0.max(1) as f64 / work).ln()
            }
            SpeedSample::Token { token_us, batch } => {
                let gap_ms = (*token_us).max(1) as f64 / 1_000.0;
                (gap_ms / self.gaps.gap_ms(f64::from(*batch))).ln()
            }
            // Beyond its slots, a request waits for as many others.
            SpeedSample::Whole { time_ms, .. } => (time_ms.0.max(1) as f64 / fill.max(1.0)).ln(),
        }
    }
}

fn kind(sample: &SpeedSample, fill: f64) -> SampleKind {
    match sample {
        SpeedSample::FirstEvent { .. } => SampleKind::FirstEvent,
        SpeedSample::Token { .. } => SampleKind::Token,
        SpeedSample::Whole { route, .. } => SampleKind::Whole(route.clone(), fill >= BUSY_FILL),
    }
}

fn weight(sample: &SpeedSample) -> f64 {
    match sample {
        SpeedSample::FirstEvent { .. } => FIRST_EVENT_WEIGHT,
        SpeedSample::Token { .. } => TOKEN_WEIGHT,
        SpeedSample::Whole { .. } => WHOLE_WEIGHT,
    }
}

/// Logarithms of the last samples, less what their targets are known to add.
#[derive(Clone, Debug, Default)]
struct RecentLns(VecDeque<(Millis, f64)>);

impl RecentLns {
    fn record(&mut self, now: Millis, ln_time: f64) {
        if self.0.len() == MAX_RECENT {
            self.0.pop_front();
        }
        self.0.push_back((now, ln_time));
    }

    /// Returns the median, which one slow target among several does not move.
    fn median(&self, now: Millis) -> Option<f64> {
        let is_recent = |(at_ms, _): &&(Millis, f64)| now.since(*at_ms) < MAX_AGE_MS;
        let recent = self.0.iter().filter(is_recent);
        let mut lns: Vec<f64> = recent.map(|(_, ln)| *ln).collect();
        if lns.len() < MIN_RECENT {
            return None;
        }
        lns.sort_unstable_by(f64::total_cmp);
        lns.get(lns.len() / 2).copied()
    }
}
