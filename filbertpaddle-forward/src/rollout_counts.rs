//! Counts of requests and answers of both sides of a roll-out, which add up over all nodes.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::revision::Revision;

/// Largest number of counters of one source; beyond it no new ones are added.
const MAX_COUNTERS: usize = 512;

/// Side of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Side {
    /// Targets of all other versions.
    Old,
    /// Targets of the version that the order names.
    New,
}

/// How a request ended at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Server error, broken response or wrong bytes.
    Failed,
    /// Whole answer.
    Served {
        /// Time to the first event, or to the whole answer if it is no stream.
        first_ms: Millis,
        /// Time per token after the first event of a stream.
        token_us: Option<u64>,
        /// Whether the target was cold, so that its times show nothing.
        is_cold: bool,
    },
    /// Stretch of a stream that was served or is still being sent.
    Paced {
        /// Time per token.
        token_us: u64,
        /// Whether the target was cold, so that its times show nothing.
        is_cold: bool,
    },
}

/// What a counter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// Requests sent to the side.
    Sent,
    /// Answers that failed.
    Failed,
    /// Whole answers.
    Served,
    /// Answers whose time to the first event, in milliseconds, is in this [`bucket`].
    First(u8),
    /// Streams whose time per token, in microseconds, is in this [`bucket`].
    Token(u8),
}

/// Name of a counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Counter {
    /// Route, the template of the request.
    pub route: Name,
    /// Side of the target.
    pub side: Side,
    /// Data centre of the target.
    pub data_centre: Name,
    /// What is counted.
    pub event: Event,
}

/// Counts by counter.
pub type Counts = IndexMap<Counter, u32>;

/// Changed counts of one source, as sent to other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CountsChange {
    /// Service of the roll-out.
    pub service: Name,
    /// Revision of the order.
    pub ordered: Revision,
    /// Process that counted: node and incarnation.
    pub source: Name,
    /// Counts since the order; each is final or grows.
    pub counts: Vec<(Counter, u32)>,
}

/// Counts of one order by the process that counted them.
///
/// A count only grows, so the larger of two is the later: messages may be late, repeated or
/// go round. Those of a process that has ended remain.
#[derive(Clone, Debug, Default)]
pub struct RolloutCounts {
    by_source: IndexMap<Name, IndexMap<Counter, Entry>>,
    totals: Counts,
    sequence: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    count: u32,
    changed: u64,
}

impl RolloutCounts {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one to a counter of `source`.
    pub fn add(&mut self, source: &Name, counter: Counter) {
        let count = self.count(source, &counter);
        self.raise(source, counter, count.saturating_add(1));
    }

    /// Adds an answer to the counters of `source`.
    pub fn add_answer(
        &mut self,
        source: &Name,
        route: &Name,
        side: Side,
        data_centre: &Name,
        outcome: Outcome,
    ) {
        let mut add = |event| {
            let counter = Counter {
                route: route.clone(),
                side,
                data_centre: data_centre.clone(),
                event,
            };
            self.add(source, counter);
        };
        let (first_ms, token_us, is_cold) = match outcome {
            Outcome::Failed => {
                add(Event::Failed);
                return;
            }
            Outcome::Served {
                first_ms,
                token_us,
                is_cold,
            } => {
                add(Event::Served);
                (Some(first_ms), token_us, is_cold)
            }
            Outcome::Paced { token_us, is_cold } => (None, Some(token_us), is_cold),
        };
        if is_cold {
            return;
        }
        if let Some(first_ms) = first_ms {
            add(Event::First(bucket(first_ms.0)));
        }
        if let Some(token_us) = token_us {
            add(Event::Token(bucket(token_us)));
        }
    }

    /// Merges counts from another node.
    pub fn merge(&mut self, source: &Name, counts: &[(Counter, u32)]) {
        for (counter, count) in counts {
            if *count > self.count(source, counter) {
                self.raise(source, counter.clone(), *count);
            }
        }
    }

    /// Returns the sums over all sources.
    pub fn totals(&self) -> &Counts {
        &self.totals
    }

    /// Returns the number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns by source what has changed after the change of number `sequence`.
    pub fn changes_since(&self, sequence: u64) -> Vec<(Name, Vec<(Counter, u32)>)> {
        if sequence >= self.sequence {
            return Vec::new();
        }
        let changed = |counts: &IndexMap<Counter, Entry>| {
            counts
                .iter()
                .filter(|(_, entry)| entry.changed > sequence)
                .map(|(counter, entry)| (counter.clone(), entry.count))
                .collect::<Vec<_>>()
        };
        self.by_source
            .iter()
            .map(|(source, counts)| (source.clone(), changed(counts)))
            .filter(|(_, counts)| !counts.is_empty())
            .collect()
    }

    /// Returns the number of requests sent to a side.
    pub fn sent(&self, side: Side) -> u64 {
        self.totals
            .iter()
            .filter(|(counter, _)| counter.side == side && counter.event == Event::Sent)
            .map(|(_, count)| u64::from(*count))
            .sum()
    }

    /// Returns the number of answers of a side.
    pub fn answers(&self, side: Side) -> u64 {
        let is_answer = |event| matches!(event, Event::Failed | Event::Served);
        self.totals
            .iter()
            .filter(|(counter, _)| counter.side == side && is_answer(counter.event))
            .map(|(_, count)| u64::from(*count))
            .sum()
    }

    fn count(&self, source: &Name, counter: &Counter) -> u32 {
        let counts = self.by_source.get(source);
        let entry = counts.and_then(|counts| counts.get(counter));
        entry.map_or(0, |entry| entry.count)
    }

    fn raise(&mut self, source: &Name, counter: Counter, count: u32) {
        let counts = self.by_source.entry(source.clone()).or_default();
        if counts.len() >= MAX_COUNTERS && !counts.contains_key(&counter) {
            return;
        }
        self.sequence += 1;
        let entry = counts.entry(counter.clone()).or_default();
        let added = count.saturating_sub(entry.count);
        *entry = Entry {
            count,
            changed: self.sequence,
        };
        *self.totals.entry(counter).or_default() += added;
    }
}

/// Returns the bucket of a time: two for each doubling.
pub fn bucket(time: u64) -> u8 {
    let time = time.max(1);
    let octave = time.ilog2();
    let is_upper = octave > 0 && time & (1 << (octave - 1)) != 0;
    (2 * octave) as u8 + u8::from(is_upper)
}
