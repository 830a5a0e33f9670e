//! Records and checks the answer to one request as its caller receives it.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Gap between tokens beyond which the excess counts as stall time.
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
    /// The request was refused and not run.
    NotRun,
    /// It is unknown whether the request ran.
    MayHaveRun,
    /// The answer broke off, and the caller was notified.
    Incomplete,
    /// The answer broke off without an end event or an outcome.
    Broken,
    /// The request had not ended when its timeout expired.
    Unfinished,
}

/// A guarantee that was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Violation {
    /// A token was missing, repeated or out of order.
    Order,
    /// An answer contained tokens of two generations.
    Spliced,
    /// The number of tokens in the end event differed from the tokens delivered.
    Count,
    /// A request reported as not run had run.
    NotRunButRan,
    /// A request that must not be repeated ran more than once.
    RanTwice,
}

/// One request as observed by its caller.
#[derive(Clone, Debug)]
pub struct Observation {
    /// How the request ended.
    pub ending: Ending,
    /// Tokens delivered.
    pub tokens: u32,
    /// Time from when the request was due to its first token or answer.
    pub first_token: Option<Duration>,
    /// Time from when the request was due to its end.
    pub duration: Duration,
    /// Times between consecutive tokens.
    pub gaps: Vec<Duration>,
    /// Guarantees that were violated.
    pub violations: Vec<Violation>,
}

impl Observation {
    /// Returns the time by which gaps exceeded [`STALL_THRESHOLD`], summed.
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
    /// Starts observing a request that is due at the given time.
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

    /// Returns the number of tokens received so far.
    pub const fn tokens(&self) -> u32 {
        self.observation.tokens
    }

    /// Records a token of a stream and checks it.
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

    /// Records an answer that arrived whole, with its number of tokens.
    pub fn record_answer(&mut self, tokens: u32) {
        self.observation.first_token = Some(self.due.elapsed());
        self.observation.tokens = tokens;
    }

    /// Checks the index of a token and its text, which names its generation and
    /// repeats its index.
    fn check_token(&mut self, index: u32, text: &str) {
        let expected = self.observation.tokens;
        let (generation, text_index) = text.trim_end().split_once('.').unwrap_or_default();
        if index != expected || text_index.parse() != Ok(expected) {
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

    /// Checks the number of tokens given in the end event.
    pub fn check_token_count(&mut self, tokens: u32) {
        if tokens != self.observation.tokens {
            self.observation.violations.push(Violation::Count);
        }
    }

    /// Returns the finished observation.
    pub fn finish(mut self, ending: Ending) -> Observation {
        self.observation.ending = ending;
        self.observation.duration = self.due.elapsed();
        self.observation
    }
}
