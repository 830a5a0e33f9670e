//! Queue with priorities, ageing and fair shares of tokens between customers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::name::Name;
use crate::slot_request::RequestId;
use crate::slot_request::SlotRequest;
use crate::template::Priority;

/// Parts of a token in which shares are counted.
const SHARE_SCALE: u64 = 1_000;
/// Most customers without queued asks that are remembered.
const IDLE_LANES: usize = 1_024;

/// A queued ask.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The ask.
    pub ask: SlotRequest,
    /// Tokens of prompt and output that it is expected to take.
    pub cost_tokens: u64,
}

/// The asks of one pool that wait for a slot.
#[derive(Clone, Debug)]
pub struct Queue {
    fair: bool,
    ageing_ms: u64,
    lanes: IndexMap<Name, Lane>,
    places: IndexMap<RequestId, (Name, Priority)>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    virtual_now: u64,
}

/// The asks of one customer.
#[derive(Clone, Debug, Default)]
struct Lane {
    served: u64,
    levels: BTreeMap<Priority, Level>,
}

/// The asks of one customer at one priority, in order of arrival.
#[derive(Clone, Debug, Default)]
struct Level {
    served_ms: Millis,
    queued_tokens: u64,
    entries: VecDeque<Entry>,
}

impl Queue {
    /// Creates an empty queue in which a wait of `ageing_ms` lifts an ask by
    /// one step of priority.
    pub fn new(ageing_ms: u32) -> Self {
        Self {
            fair: true,
            ageing_ms: u64::from(ageing_ms.max(1)),
            lanes: IndexMap::new(),
            places: IndexMap::new(),
            deadlines: BTreeSet::new(),
            virtual_now: 0,
        }
    }

    /// Creates an empty queue that knows only the order of arrival.
    pub fn in_order() -> Self {
        Self {
            fair: false,
            ..Self::new(1)
        }
    }

    /// Number of queued asks.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds an ask behind those of its customer and priority.
    pub fn push(&mut self, entry: Entry) {
        let ask = &entry.ask;
        let (customer, priority) = if self.fair {
            (ask.customer.clone(), ask.priority)
        } else {
            Default::default()
        };
        self.places.insert(ask.id, (customer.clone(), priority));
        self.deadlines.insert((ask.deadline_ms, ask.id));
        let virtual_now = self.virtual_now;
        let lane = self.lanes.entry(customer).or_default();
        if lane.levels.is_empty() {
            lane.served = lane.served.max(virtual_now);
        }
        let level = lane.levels.entry(priority).or_default();
        level.queued_tokens += entry.cost_tokens;
        level.entries.push_back(entry);
    }

    /// Returns up to `count` asks in the order in which to try them, each the
    /// first of its customer and priority.
    pub fn heads(&self, now: Millis, count: usize) -> Vec<&Entry> {
        let mut heads: Vec<_> = self
            .lanes
            .values()
            .flat_map(|lane| {
                lane.levels
                    .values()
                    .filter_map(move |level| Some((lane, level, level.entries.front()?)))
            })
            .map(|(lane, level, entry)| (self.rank(now, lane, level, entry), entry))
            .collect();
        if heads.len() > count && count > 0 {
            heads.select_nth_unstable_by_key(count - 1, |(rank, _)| *rank);
            heads.truncate(count);
        }
        heads.sort_unstable_by_key(|(rank, _)| *rank);
        heads.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Ranks the first ask of a level; the lowest rank goes first.
    ///
    /// Age counts from the last service of the level, so that a long backlog
    /// of one customer does not lift it above the fresh asks of others.
    fn rank(
        &self,
        now: Millis,
        lane: &Lane,
        level: &Level,
        entry: &Entry,
    ) -> (Reverse<u64>, u64, Millis, RequestId) {
        let ask = &entry.ask;
        let since = ask.arrived_ms.max(level.served_ms);
        let step = if self.fair {
            u64::from(ask.priority.0) + now.since(since).0 / self.ageing_ms
        } else {
            0
        };
        (Reverse(step), lane.served, ask.arrived_ms, ask.id)
    }

    /// Takes an ask to run it and charges its customer.
    pub fn take(&mut self, now: Millis, id: RequestId) -> Option<Entry> {
        let (customer, priority) = self.places.get(&id)?.clone();
        let entry = self.remove(id)?;
        let lane = self.lanes.get_mut(&customer)?;
        self.virtual_now = self.virtual_now.max(lane.served);
        lane.served += share(entry.cost_tokens, entry.ask.weight);
        if let Some(level) = lane.levels.get_mut(&priority) {
            level.served_ms = now;
        }
        self.prune();
        Some(entry)
    }

    /// Removes an ask without charge.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let (customer, priority) = self.places.swap_remove(&id)?;
        let lane = self.lanes.get_mut(&customer)?;
        let level = lane.levels.get_mut(&priority)?;
        let place = level.entries.iter().position(|entry| entry.ask.id == id)?;
        let entry = level.entries.remove(place)?;
        level.queued_tokens -= entry.cost_tokens;
        self.deadlines.remove(&(entry.ask.deadline_ms, id));
        if level.entries.is_empty() {
            lane.levels.remove(&priority);
        }
        Some(entry)
    }

    /// Charges a customer for work that did not come from this queue.
    pub fn charge(&mut self, customer: &Name, weight: u32, tokens: u64) {
        self.settle(customer, weight, 0, tokens);
    }

    /// Corrects a customer's charge once the tokens it took are known.
    pub fn settle(&mut self, customer: &Name, weight: u32, charged_tokens: u64, tokens: u64) {
        if let Some(lane) = self.lanes.get_mut(customer) {
            lane.served =
                (lane.served + share(tokens, weight)).saturating_sub(share(charged_tokens, weight));
        }
    }

    /// Removes and returns the asks whose deadline has come.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry> {
        let late: Vec<RequestId> = self
            .deadlines
            .iter()
            .take_while(|(deadline_ms, _)| *deadline_ms <= now)
            .map(|(_, id)| *id)
            .collect();
        late.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    /// Returns the earliest deadline.
    pub fn first_deadline_ms(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline_ms, _)| *deadline_ms)
    }

    /// Returns the tokens that go before a new ask of this customer and
    /// priority: the whole queue's, or fewer where its fair share comes first.
    pub fn ahead_tokens(&self, customer: &Name, priority: Priority, weight: u32) -> u64 {
        let all: u64 = self.lanes.values().map(|lane| lane.tokens(priority)).sum();
        let own = self
            .lanes
            .get(customer)
            .map_or(0, |lane| lane.tokens(priority));
        let own_weight = u64::from(weight.max(1));
        let others: u64 = self
            .lanes
            .iter()
            .filter(|(name, _)| *name != customer)
            .filter_map(|(_, lane)| lane.weight(priority))
            .sum();
        let fair = own.saturating_mul(own_weight + others) / own_weight;
        all.min(fair)
    }

    fn prune(&mut self) {
        if self.lanes.len() <= IDLE_LANES {
            return;
        }
        let virtual_now = self.virtual_now;
        self.lanes
            .retain(|_, lane| !lane.levels.is_empty() || lane.served > virtual_now);
    }
}

impl Lane {
    fn tokens(&self, priority: Priority) -> u64 {
        self.levels
            .range(priority..)
            .map(|(_, level)| level.queued_tokens)
            .sum()
    }

    fn weight(&self, priority: Priority) -> Option<u64> {
        self.levels
            .range(priority..)
            .find_map(|(_, level)| level.entries.front())
            .map(|entry| u64::from(entry.ask.weight.max(1)))
    }
}

fn share(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(SHARE_SCALE) / u64::from(weight.max(1))
}
