//! What a caller saw of one request, and the checks on it.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Gaps beyond this span count as stalls.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// How a request ended for its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    strum::Display,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// The whole answer arrived.
    Complete,
    /// Refused, not run.
    NotRun,
    /// The effect is unknown.
    MayHaveRun,
    /// The answer broke off, and the caller was told.
    Incomplete,
    /// The answer broke off without a word.
    Broken,
    /// The request had not ended when the run was over.
    Unfinished,
}

/// A promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Violation {
    /// A token was missing, repeated or out of order.
    Order,
    /// Tokens of two generations in one answer.
    Spliced,
    /// The end told another number of tokens than were delivered.
    Count,
    /// A request said not to have run had run.
    NotRunButRan,
    /// A request that must not be repeated ran twice.
    RanTwice,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Observation {
    /// How it ended.
    pub ending: Ending,
    /// Tokens delivered.
    pub tokens: u32,
    /// Time from when the request was due to its first token or answer.
    pub first_token: Option<Duration>,
    /// Time from when the request was due to its end.
    pub duration: Duration,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Promises broken.
    pub violations: Vec<Violation>,
}

impl Observation {
    /// Returns the time by which gaps went beyond a usual one.
    pub fn stall_time(&self) -> Duration {
        self.gaps
            .iter()
            .map(|gap| gap.saturating_sub(STALL_THRESHOLD))
            .sum()
    }
}

/// Builds an observation while a request runs.
#[derive(Debug)]
pub struct Observer {
    due: Instant,
    last: Instant,
    generation: Option<String>,
    observation: Observation,
}

impl Observer {
    /// Starts observing a request that was due at a time.
    pub fn new(due: Instant) -> Self {
        let observation = Observation {
            ending: Ending::Unfinished,
            tokens: 0,
            first_token: None,
            duration: Duration::ZERO,
            gaps: Vec::new(),
            violations: Vec::new(),
        };
        Self {
            due,
            last: due,
            generation: None,
            observation,
        }
    }

    /// Returns the number of tokens so far.
    pub const fn tokens(&self) -> u32 {
        self.observation.tokens
    }

    /// Notes a token.
    pub fn record_token(&mut self, index: u32, text: &str) {
        let now = Instant::now();
        if self.observation.first_token.is_none() {
            self.observation.first_token = Some(now - self.due);
        } else {
            self.observation.gaps.push(now - self.last);
        }
        self.last = now;
        self.check_token(index, text);
        self.observation.tokens += 1;
    }

    /// Notes a whole answer of a number of tokens.
    pub fn record_answer(&mut self, tokens: u32) {
        self.observation.first_token = Some(self.due.elapsed());
        self.observation.tokens = tokens;
    }

    /// Checks the text of a token, which tells its generation and its index.
    fn check_token(&mut self, index: u32, text: &str) {
        let expected = self.observation.tokens;
        let (generation, inner) = text.trim_end().split_once('.').unwrap_or_default();
        if index != expected || inner.parse() != Ok(expected) {
            self.observation.violations.push(Violation::Order);
        }
        match &self.generation {
            None => self.generation = Some(generation.to_owned()),
            Some(known) if known != generation => {
                self.observation.violations.push(Violation::Spliced)
            }
            Some(_) => {}
        }
    }

    /// Checks the number of tokens that the end told.
    pub fn check_token_count(&mut self, tokens: u32) {
        if tokens != self.observation.tokens {
            self.observation.violations.push(Violation::Count);
        }
    }

    /// Ends the observation.
    pub fn finish(mut self, ending: Ending) -> Observation {
        self.observation.ending = ending;
        self.observation.duration = self.due.elapsed();
        self.observation
    }
}
