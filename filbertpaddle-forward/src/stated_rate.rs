//! Request rates that targets state as their limit, and this node's share of each.
//!
//! A target in need states in its responses how many requests a second it takes from all
//! nodes together. The rate holds until a response of the target comes without one. Rates are
//! passed on between nodes; the end of a rate is not, each node finds it by its own requests.
//!
//! Load pattern: the target's nearest nodes alone send it several times what it takes, while
//! others send little. The rate is divided equally; what is left over goes to other targets.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::node_rank::NodeRank;
use crate::target::Incarnation;
use crate::token_bucket::FillRate;
use crate::token_bucket::TokenBucket;

/// Time whose requests all nodes together may send at once. Over four seconds, it adds half of
/// the rate, which is the overshoot that targets tolerate.
const BURST_SECS: f64 = 2.0;
/// Age of a statement at which it is passed on once more, well before it is stale.
const REFRESH_MS: Millis = Millis::from_secs(4);
/// Difference in time from which a peer's statement is later than the known one. Its age is
/// known only up to the delay of the links on its way.
const MIN_LATER_MS: Millis = Millis(500);
/// Age of a statement from which nodes without a share may ask again with one request each.
const STALE_MS: Millis = Millis::from_secs(10);
/// Time between the turns of two nodes to ask again.
const TURN_MS: Millis = Millis::from_secs(1);

/// A target's statement about its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct RateStatement {
    /// Incarnation that made it.
    pub incarnation: Incarnation,
    /// Requests per second that it takes from all nodes together.
    pub per_sec: f64,
    /// Time of the response that stated it.
    pub at_ms: Millis,
}

/// A statement to pass on to other nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct NumberedStatement {
    /// Number of the statement at this node.
    pub sequence: u64,
    /// The statement.
    pub statement: RateStatement,
}

/// What is known about the rate of one target.
#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    /// `None` once a response has come without a rate.
    per_sec: Option<f64>,
    at_ms: Millis,
    bucket: TokenBucket,
    /// Time when this node last sent a request to the target while it stated a rate.
    sent_ms: Option<Millis>,
    /// Sequence number of the statement that is passed on, and its time.
    sequence: u64,
    passed_on_ms: Millis,
}

/// Rates that targets state, by target.
#[derive(Clone, Debug, Default)]
pub struct StatedRates {
    entries: IndexMap<Name, Entry>,
    /// Sequence number of the last statement that is passed on.
    sequence: u64,
}

impl StatedRates {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the rate that a response states; returns whether it has changed.
    pub fn record_stated(&mut self, statement: &RateStatement) -> bool {
        let id = &statement.incarnation.id;
        let known = self.entry(&statement.incarnation);
        let is_changed = known.is_none_or(|known| known.per_sec != Some(statement.per_sec));
        let is_due =
            known.is_none_or(|known| statement.at_ms.since(known.passed_on_ms) >= REFRESH_MS);
        if is_changed || is_due {
            self.insert_to_pass_on(statement);
        } else if let Some(known) = self.entries.get_mut(id) {
            known.at_ms = statement.at_ms;
        }
        is_changed
    }

    /// Records a rate that another node has learned; returns whether it has changed. One that
    /// may be older than what this node knows is ignored.
    pub fn merge(&mut self, statement: &RateStatement) -> bool {
        let known = self.entries.get(&statement.incarnation.id);
        let is_ignored = known.is_some_and(|known| {
            let is_later = statement.at_ms >= known.at_ms + MIN_LATER_MS;
            let is_restarted = known.incarnation.is_before(&statement.incarnation);
            !is_restarted && (known.incarnation != statement.incarnation || !is_later)
        });
        if is_ignored {
            return false;
        }
        let known = self.entry(&statement.incarnation);
        let is_changed = known.is_none_or(|known| known.per_sec != Some(statement.per_sec));
        self.insert_to_pass_on(statement);
        is_changed
    }

    /// Records that the response to a request that was sent at `sent_ms` states no rate;
    /// returns whether that ends a rate.
    ///
    /// A request that was sent before the last statement arrived proves nothing: its response
    /// may have been overtaken.
    pub fn record_none(&mut self, now: Millis, incarnation: &Incarnation, sent_ms: Millis) -> bool {
        let Some(known) = self.entries.get_mut(&incarnation.id) else {
            return false;
        };
        if known.incarnation != *incarnation || sent_ms < known.at_ms {
            return false;
        }
        known.at_ms = now;
        known.per_sec.take().is_some()
    }

    /// Returns the rate that an incarnation states, if it states one.
    pub fn per_sec(&self, incarnation: &Incarnation) -> Option<f64> {
        self.entry(incarnation)?.per_sec
    }

    /// Returns whether a node may send one more request to a target.
    pub fn has_capacity(
        &self,
        now: Millis,
        incarnation: &Incarnation,
        node: &Name,
        nodes: &[Name],
    ) -> bool {
        let Some((entry, per_sec)) = self.limited(incarnation) else {
            return true;
        };
        let Some(rank) = NodeRank::new(&incarnation.id, node, nodes) else {
            return false;
        };
        let has_token = |share| entry.bucket.has_token(now, share);
        share(per_sec, rank).is_some_and(has_token) || entry.may_ask_again(now, rank)
    }

    /// Returns the time until a node may send one more request to a target.
    pub fn until_capacity_ms(
        &self,
        now: Millis,
        incarnation: &Incarnation,
        node: &Name,
        nodes: &[Name],
    ) -> Millis {
        let Some((entry, per_sec)) = self.limited(incarnation) else {
            return Millis::ZERO;
        };
        NodeRank::new(&incarnation.id, node, nodes)
            .and_then(|rank| share(per_sec, rank))
            .and_then(|share| entry.bucket.until_token_ms(now, share))
            .unwrap_or(STALE_MS)
    }

    /// Records that a node has sent a request to a target.
    pub fn record_sent(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        node: &Name,
        nodes: &[Name],
    ) {
        let Some((_, per_sec)) = self.limited(incarnation) else {
            return;
        };
        let rank = NodeRank::new(&incarnation.id, node, nodes);
        let share = rank.and_then(|rank| share(per_sec, rank));
        if let Some(entry) = self.entries.get_mut(&incarnation.id) {
            entry.sent_ms = Some(now);
            if let Some(share) = share {
                entry.bucket.take(now, share);
            }
        }
    }

    /// Drops the statements of targets that are not listed.
    pub fn retain_listed<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.entries.retain(|id, _| is_listed(id));
    }

    /// Returns the first `max` statements to pass on after the one with number `sequence`,
    /// in the order of their numbers; from the first one on if it is 0.
    pub fn stated_after(&self, sequence: u64, max: usize) -> Vec<NumberedStatement> {
        let later = self.entries.values();
        let later = later.filter(|entry| entry.sequence > sequence);
        let mut stated: Vec<_> = later.filter_map(Entry::to_statement).collect();
        stated.sort_unstable_by_key(|statement| statement.sequence);
        stated.truncate(max);
        stated
    }

    fn entry(&self, incarnation: &Incarnation) -> Option<&Entry> {
        let known = self.entries.get(&incarnation.id);
        known.filter(|known| known.incarnation == *incarnation)
    }

    /// Returns the entry and the rate of an incarnation that states one.
    fn limited(&self, incarnation: &Incarnation) -> Option<(&Entry, f64)> {
        let entry = self.entry(incarnation)?;
        Some((entry, entry.per_sec?))
    }

    fn insert_to_pass_on(&mut self, statement: &RateStatement) {
        self.sequence += 1;
        let known = self.entry(&statement.incarnation);
        let limited = known.filter(|known| known.per_sec.is_some());
        let entry = Entry {
            incarnation: statement.incarnation.clone(),
            per_sec: Some(statement.per_sec),
            at_ms: statement.at_ms,
            // What a node has sent before it knew the rate counts as its share.
            bucket: limited
                .map_or_else(|| TokenBucket::empty(statement.at_ms), |known| known.bucket),
            sent_ms: known.and_then(|known| known.sent_ms),
            sequence: self.sequence,
            passed_on_ms: statement.at_ms,
        };
        self.entries.insert(statement.incarnation.id.clone(), entry);
    }
}

impl Entry {
    /// Returns the statement to pass on, if the rate has not ended.
    fn to_statement(&self) -> Option<NumberedStatement> {
        Some(NumberedStatement {
            sequence: self.sequence,
            statement: RateStatement {
                incarnation: self.incarnation.clone(),
                per_sec: self.per_sec?,
                at_ms: self.at_ms,
            },
        })
    }

    /// Returns whether a node that has no token may send one request, because nobody has
    /// received a statement for long.
    fn may_ask_again(&self, now: Millis, NodeRank { rank, count }: NodeRank) -> bool {
        let turns_ms = |turns: usize| Millis(TURN_MS.0 * turns as u64);
        let stale_at_ms = self.at_ms + STALE_MS;
        let round_at_ms = self.sent_ms.map(|sent_ms| sent_ms + turns_ms(count));
        now >= stale_at_ms.max(round_at_ms.unwrap_or_default()) + turns_ms(rank)
    }
}

/// Returns the part of a rate that a node may send, if it has one.
///
/// The rate is divided among as many nodes as can each send at least one request at once
/// without exceeding the burst of all.
fn share(per_sec: f64, NodeRank { rank, count }: NodeRank) -> Option<FillRate> {
    let burst = per_sec * BURST_SECS;
    let sharers = (burst as usize).clamp(1, count.max(1));
    (rank < sharers).then(|| FillRate {
        per_sec: per_sec / sharers as f64,
        max_tokens: (burst / sharers as f64).max(1.0),
    })
}
