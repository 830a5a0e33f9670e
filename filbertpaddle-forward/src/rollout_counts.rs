//! Counts of requests and answers of both sides of a roll-out, which add up over all nodes.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;
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

/// Time for which a stream runs after its first event before its time per token is recorded,
/// unless it ends sooner. A slow one is thus known before it ends.
pub const TOKEN_SAMPLE_MS: Millis = Millis(1_000);

/// What became of a request at a target. Each request has one of `Failed` and `Began`; the
/// others may follow `Began`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Server error, broken response or wrong bytes, before the first event.
    Failed,
    /// The first event came, or the whole answer if it is no stream.
    Began {
        /// Time from the request to it.
        first_ms: Millis,
        /// Whether the target was cold, so that its times show nothing.
        is_cold: bool,
    },
    /// The stream has run for [`TOKEN_SAMPLE_MS`], or has ended sooner.
    Paced {
        /// Mean time per token after the first event.
        token_us: u64,
    },
    /// The stream broke or had wrong bytes after its first event.
    Broken,
}

/// What a counter counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Event {
    /// Requests sent to the side.
    Sent,
    /// Requests that failed before their first event.
    Failed,
    /// Requests whose first event came.
    Began,
    /// Streams that broke after it.
    Broken,
    /// Requests whose time to the first event, in milliseconds, is in this [`bucket`].
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

/// Sums over all sources. Counters keep their order, and new ones come last.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    counts: IndexMap<Counter, u32>,
    places: Vec<Place>,
    routes: IndexSet<Name>,
    data_centres: IndexSet<Name>,
}

/// Numbers of a counter's route and data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of the route.
    pub route: usize,
    /// Number of the data centre.
    pub data_centre: usize,
}

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
    by_source: IndexMap<Name, SourceCounts>,
    totals: Totals,
    has_new_answers: bool,
    sequence: u64,
}

#[derive(Clone, Debug, Default)]
struct SourceCounts {
    counts: IndexMap<Counter, Entry>,
    changed: u64,
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
        match outcome {
            Outcome::Failed => add(Event::Failed),
            Outcome::Broken => add(Event::Broken),
            Outcome::Paced { token_us } => add(Event::Token(bucket(token_us))),
            Outcome::Began { first_ms, is_cold } => {
                add(Event::Began);
                if !is_cold {
                    add(Event::First(bucket(first_ms.0)));
                }
            }
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
    pub fn totals(&self) -> &Totals {
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
        let changed = |source: &SourceCounts| {
            let entries = source.counts.iter();
            entries
                .filter(|(_, entry)| entry.changed > sequence)
                .map(|(counter, entry)| (counter.clone(), entry.count))
                .collect::<Vec<_>>()
        };
        let sources = self.by_source.iter();
        sources
            .filter(|(_, source)| source.changed > sequence)
            .map(|(name, source)| (name.clone(), changed(source)))
            .collect()
    }

    /// Returns the number of requests sent to a side.
    pub fn sent(&self, side: Side) -> u64 {
        self.totals.sum(side, |event| event == Event::Sent)
    }

    /// Returns whether there are answers of the new side.
    pub fn has_new_answers(&self) -> bool {
        self.has_new_answers
    }

    /// Returns the number of answers of a side.
    pub fn answers(&self, side: Side) -> u64 {
        let is_answer = |event| matches!(event, Event::Failed | Event::Began);
        self.totals.sum(side, is_answer)
    }

    fn count(&self, source: &Name, counter: &Counter) -> u32 {
        let source = self.by_source.get(source);
        let entry = source.and_then(|source| source.counts.get(counter));
        entry.map_or(0, |entry| entry.count)
    }

    fn raise(&mut self, source: &Name, counter: Counter, count: u32) {
        let source = self.by_source.entry(source.clone()).or_default();
        let counts = &mut source.counts;
        if counts.len() >= MAX_COUNTERS && !counts.contains_key(&counter) {
            return;
        }
        self.sequence += 1;
        source.changed = self.sequence;
        let entry = counts.entry(counter.clone()).or_default();
        let added = count.saturating_sub(entry.count);
        *entry = Entry {
            count,
            changed: self.sequence,
        };
        self.has_new_answers |= counter.side == Side::New && counter.event != Event::Sent;
        self.totals.add(counter, added);
    }
}

impl Totals {
    /// Returns the counters with their places and counts.
    pub fn iter(&self) -> impl Iterator<Item = (&Counter, Place, u32)> {
        let counts = self.counts.iter().zip(&self.places);
        counts.map(|((counter, count), place)| (counter, *place, *count))
    }

    /// Returns the counts alone, in the order of the counters.
    pub fn counts(&self) -> Vec<u32> {
        self.counts.values().copied().collect()
    }

    /// Returns the routes by number.
    pub fn routes(&self) -> &IndexSet<Name> {
        &self.routes
    }

    /// Returns the number of data centres.
    pub fn data_centres(&self) -> usize {
        self.data_centres.len()
    }

    fn sum<F>(&self, side: Side, is_summed: F) -> u64
    where
        F: Fn(Event) -> bool,
    {
        let counts = self.counts.iter();
        counts
            .filter(|(counter, _)| counter.side == side && is_summed(counter.event))
            .map(|(_, count)| u64::from(*count))
            .sum()
    }

    fn add(&mut self, counter: Counter, added: u32) {
        if let Some(count) = self.counts.get_mut(&counter) {
            *count = count.saturating_add(added);
            return;
        }
        let (route, _) = self.routes.insert_full(counter.route.clone());
        let (data_centre, _) = self.data_centres.insert_full(counter.data_centre.clone());
        self.places.push(Place { route, data_centre });
        self.counts.insert(counter, added);
    }
}

/// Returns the bucket of a time: two for each doubling.
pub fn bucket(time: u64) -> u8 {
    let time = time.max(1);
    let octave = time.ilog2();
    let is_upper = octave > 0 && time & (1 << (octave - 1)) != 0;
    (2 * octave) as u8 + u8::from(is_upper)
}
