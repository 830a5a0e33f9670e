//! Pace of the targets of one service, as this node has seen it lately.
//!
//! Load pattern: nodes are stopped one after another beside sound ones. Callers still use their
//! open connections, and new ones arrive while too few nodes are left. The targets are sound, and
//! may be as slow as the routes allow. How long a generation will take is then needed ahead; a
//! fixed pace is wrong at every other one. The upper quantile is planned with, since a generation
//! that is refused runs at another node, but one that is cut is lost.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;

use crate::configuration::Route;

/// Number of samples of each kind that are kept.
const MAX_SAMPLES: usize = 256;
/// Number of samples below which the pace that the route states is assumed.
const MIN_SAMPLES: usize = 8;
/// Age from which a sample is not used.
const MAX_AGE_MS: Millis = Millis::from_secs(60);
/// Part of the samples, in percent, that are not above the planned pace.
const UPPER_PERCENT: usize = 95;
const MEDIAN_PERCENT: usize = 50;
/// Time of a stream that gives one sample. Single gaps vary too much, and sound targets are silent
/// for a second at times.
const STRETCH_MS: Millis = Millis::from_secs(2);
/// Number of gaps from which a shorter time at the end of a stream gives a sample as well.
const MIN_GAPS: u64 = 4;

/// Longest time until a caller that keeps up takes an event.
const MAX_DELIVERY_MS: Millis = Millis(50);

/// Time that a generation takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Time from the request to the first event.
    pub first_event_ms: Millis,
    /// Time for each output token, in microseconds.
    pub token_us: u64,
}

impl Pace {
    /// Returns the slowest pace at which generations of a route are still on time, for a service
    /// with up to `event_tokens` in an event.
    ///
    /// A route that states no longest gap allows any within its timeout.
    pub fn of_route(route: &Route, event_tokens: u32) -> Self {
        let gap_ms = route.gap_goal_ms.unwrap_or(route.timeout_ms);
        Self {
            first_event_ms: route.latency_goal_ms,
            token_us: token_us(gap_ms, u64::from(event_tokens)),
        }
    }

    /// Returns the pace that has the longer times of two.
    #[must_use]
    pub fn slower(self, other: Self) -> Self {
        Self {
            first_event_ms: self.first_event_ms.max(other.first_event_ms),
            token_us: self.token_us.max(other.token_us),
        }
    }

    /// Returns the time for `tokens` of output after the first event.
    pub fn output_ms(&self, tokens: u64) -> Millis {
        Millis(tokens.saturating_mul(self.token_us).div_ceil(1_000))
    }

    /// Returns the time for a generation with `tokens` of output.
    pub fn total_ms(&self, tokens: u64) -> Millis {
        self.first_event_ms + self.output_ms(tokens)
    }
}

/// Measured part of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceSample {
    /// Time from the request to the first event.
    FirstEvent(Millis),
    /// Time for each output token after it, in microseconds.
    Token(u64),
}

/// Recent samples of the generations of one service.
#[derive(Clone, Debug, Default)]
pub struct ServicePace {
    first_event_ms: RecentSamples,
    token_us: RecentSamples,
}

impl ServicePace {
    /// Creates the pace of a service that has not been seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sample.
    pub fn record(&mut self, now: Millis, sample: PaceSample) {
        match sample {
            PaceSample::FirstEvent(waited_ms) => self.first_event_ms.record(now, waited_ms.0),
            PaceSample::Token(token_us) => self.token_us.record(now, token_us),
        }
    }

    /// Returns the pace to plan with: the upper quantile of what was seen lately, or `stated`
    /// where too little was.
    pub fn planned(&self, now: Millis, stated: Pace) -> Pace {
        self.quantile(now, UPPER_PERCENT, stated)
    }

    /// Returns the median of what was seen lately, or `stated` where too little was.
    pub fn typical(&self, now: Millis, stated: Pace) -> Pace {
        self.quantile(now, MEDIAN_PERCENT, stated)
    }

    fn quantile(&self, now: Millis, percent: usize, stated: Pace) -> Pace {
        let first_event_ms = self.first_event_ms.quantile(now, percent).map(Millis);
        let token_us = self.token_us.quantile(now, percent);
        Pace {
            first_event_ms: first_event_ms.unwrap_or(stated.first_event_ms),
            token_us: token_us.unwrap_or(stated.token_us),
        }
    }
}

/// Samples in the order in which they were recorded.
#[derive(Clone, Debug, Default)]
struct RecentSamples(VecDeque<Sample>);

#[derive(Clone, Copy, Debug)]
struct Sample {
    at_ms: Millis,
    value: u64,
}

impl RecentSamples {
    fn record(&mut self, now: Millis, value: u64) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(Sample { at_ms: now, value });
    }

    /// Returns the value that `percent` of the samples do not exceed; `None` if there are too few.
    fn quantile(&self, now: Millis, percent: usize) -> Option<u64> {
        let is_recent = |sample: &&Sample| now.since(sample.at_ms) < MAX_AGE_MS;
        let recent = self.0.iter().filter(is_recent);
        let mut values: Vec<u64> = recent.map(|sample| sample.value).collect();
        if values.len() < MIN_SAMPLES {
            return None;
        }
        values.sort_unstable();
        let count = (values.len() * percent).div_ceil(100);
        values.get(count - 1).copied()
    }
}

/// Measures the pace of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamMeter {
    admitted_ms: Millis,
    stretch: Option<Stretch>,
    is_held_up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stretch {
    start_ms: Millis,
    last_ms: Millis,
    gaps: u64,
}

impl StreamMeter {
    /// Creates the meter of a stream without events, whose request was admitted at a time.
    pub fn new(admitted_ms: Millis) -> Self {
        Self {
            admitted_ms,
            stretch: None,
            is_held_up: false,
        }
    }

    /// Records an event with up to `event_tokens`; returns a sample if it completes one.
    pub fn record_event(&mut self, now: Millis, event_tokens: u32) -> Option<PaceSample> {
        if self.is_held_up {
            return None;
        }
        let Some(stretch) = &mut self.stretch else {
            self.stretch = Some(Stretch::new(now));
            return Some(PaceSample::FirstEvent(now.since(self.admitted_ms)));
        };
        stretch.gaps += 1;
        stretch.last_ms = now;
        if now.since(stretch.start_ms) < STRETCH_MS {
            return None;
        }
        let sample = stretch.sample(event_tokens);
        *stretch = Stretch::new(now);
        Some(sample)
    }

    /// Records that an event that had arrived at a time was taken by the caller at another. If the
    /// caller reads more slowly than the target sends, the times of further events show its pace.
    pub fn record_delivered(&mut self, arrived_ms: Millis, taken_ms: Millis) {
        self.is_held_up |= taken_ms.since(arrived_ms) > MAX_DELIVERY_MS;
    }

    /// Returns whether the caller reads more slowly than the target sends.
    pub fn is_held_up(&self) -> bool {
        self.is_held_up
    }

    /// Returns the sample that the end of a stream leaves, if it is long enough.
    pub fn last_sample(&self, event_tokens: u32) -> Option<PaceSample> {
        let stretch = self.stretch.filter(|stretch| stretch.gaps >= MIN_GAPS)?;
        (!self.is_held_up).then(|| stretch.sample(event_tokens))
    }
}

impl Stretch {
    fn new(now: Millis) -> Self {
        Self {
            start_ms: now,
            last_ms: now,
            gaps: 0,
        }
    }

    fn sample(&self, event_tokens: u32) -> PaceSample {
        let tokens = self.gaps.saturating_mul(u64::from(event_tokens));
        PaceSample::Token(token_us(self.last_ms.since(self.start_ms), tokens))
    }
}

/// Returns the time for each of `tokens`, in microseconds, rounded up.
fn token_us(span_ms: Millis, tokens: u64) -> u64 {
    span_ms.0.saturating_mul(1_000).div_ceil(tokens.max(1))
}
