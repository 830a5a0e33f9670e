//! Queue of slot requests with priorities, ageing and weighted fair sharing of
//! tokens between customers.

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

/// Units of service per token at weight one, so that integer division by a weight
/// keeps its precision.
const UNITS_PER_TOKEN: u64 = 1_000;
/// Number of customers above which idle ones are dropped, unless their service is ahead of
/// the virtual time: the others' next requests start at the virtual time anyway.
const PRUNE_THRESHOLD_CUSTOMERS: usize = 1_024;

/// A queued request.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The queued request.
    pub request: SlotRequest,
    /// Expected prompt and output tokens.
    pub cost_tokens: u64,
}

/// Requests of one pool that wait for a slot.
#[derive(Clone, Debug)]
pub struct Queue {
    fair: bool,
    ageing_ms: u64,
    customers: IndexMap<Name, CustomerQueue>,
    locations: IndexMap<RequestId, (Name, Priority)>,
    deadlines: BTreeSet<(Millis, RequestId)>,
    virtual_time: u64,
}

/// Requests of one customer, and the service that the customer has received.
#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    weighted_service: u64,
    levels: BTreeMap<Priority, PriorityLevel>,
}

/// Requests of one customer at one priority, in order of arrival.
#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    last_taken_ms: Millis,
    queued_tokens: u64,
    entries: VecDeque<Entry>,
}

impl Queue {
    /// Creates an empty queue in which each `ageing_ms` of waiting raises a request
    /// by one priority.
    pub fn new(ageing_ms: u32) -> Self {
        Self {
            fair: true,
            ageing_ms: u64::from(ageing_ms.max(1)),
            customers: IndexMap::new(),
            locations: IndexMap::new(),
            deadlines: BTreeSet::new(),
            virtual_time: 0,
        }
    }

    /// Creates an empty first-in, first-out queue, without priorities or fair shares.
    pub fn fifo() -> Self {
        Self {
            fair: false,
            ..Self::new(1)
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Adds a request after those of the same customer and priority.
    pub fn push(&mut self, entry: Entry) {
        let request = &entry.request;
        let (customer, priority) = if self.fair {
            (request.customer.clone(), request.priority)
        } else {
            Default::default()
        };
        self.locations
            .insert(request.id, (customer.clone(), priority));
        self.deadlines.insert((request.deadline_ms, request.id));
        let virtual_time = self.virtual_time;
        let customer_queue = self.customers.entry(customer).or_default();
        if customer_queue.levels.is_empty() {
            customer_queue.weighted_service = customer_queue.weighted_service.max(virtual_time);
        }
        let level = customer_queue.levels.entry(priority).or_default();
        level.queued_tokens += entry.cost_tokens;
        level.entries.push_back(entry);
    }

    /// Returns up to `count` requests in the order in which to try them.
    ///
    /// Each is the first of its customer and priority.
    pub fn heads(&self, now: Millis, count: usize) -> Vec<&Entry> {
        let mut heads: Vec<_> =
            self.customers
                .values()
                .flat_map(|customer_queue| {
                    customer_queue.levels.values().filter_map(move |level| {
                        Some((customer_queue, level, level.entries.front()?))
                    })
                })
                .map(|(customer_queue, level, entry)| {
                    (self.rank(now, customer_queue, level, entry), entry)
                })
                .collect();
        if heads.len() > count && count > 0 {
            heads.select_nth_unstable_by_key(count - 1, |(rank, _)| *rank);
            heads.truncate(count);
        }
        heads.sort_unstable_by_key(|(rank, _)| *rank);
        heads.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns the rank of the first request of a level; the lowest goes first.
    ///
    /// Ageing starts no earlier than the last time a request was taken from the
    /// level. Otherwise the long backlog of one customer would rank above recent
    /// requests of the others.
    fn rank(
        &self,
        now: Millis,
        customer_queue: &CustomerQueue,
        level: &PriorityLevel,
        entry: &Entry,
    ) -> (Reverse<u64>, u64, Millis, RequestId) {
        let request = &entry.request;
        let ageing_start_ms = request.arrived_ms.max(level.last_taken_ms);
        let effective_priority = if self.fair {
            u64::from(request.priority.0) + now.since(ageing_start_ms).0 / self.ageing_ms
        } else {
            0
        };
        (
            Reverse(effective_priority),
            customer_queue.weighted_service,
            request.arrived_ms,
            request.id,
        )
    }

    /// Removes a request to run it and charges its customer.
    pub fn take(&mut self, now: Millis, id: RequestId) -> Option<Entry> {
        let (customer, priority) = self.locations.get(&id)?.clone();
        let entry = self.remove(id)?;
        let customer_queue = self.customers.get_mut(&customer)?;
        self.virtual_time = self.virtual_time.max(customer_queue.weighted_service);
        customer_queue.weighted_service += weighted_units(entry.cost_tokens, entry.request.weight);
        if let Some(level) = customer_queue.levels.get_mut(&priority) {
            level.last_taken_ms = now;
        }
        self.prune_idle();
        Some(entry)
    }

    /// Removes a request without a charge to its customer.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        let (customer, priority) = self.locations.swap_remove(&id)?;
        let customer_queue = self.customers.get_mut(&customer)?;
        let level = customer_queue.levels.get_mut(&priority)?;
        let index = level
            .entries
            .iter()
            .position(|entry| entry.request.id == id)?;
        let entry = level.entries.remove(index)?;
        level.queued_tokens -= entry.cost_tokens;
        self.deadlines.remove(&(entry.request.deadline_ms, id));
        if level.entries.is_empty() {
            customer_queue.levels.remove(&priority);
        }
        Some(entry)
    }

    /// Charges a customer for work that was not taken from this queue.
    pub fn charge(&mut self, customer: &Name, weight: u32, tokens: u64) {
        self.settle(customer, weight, 0, tokens);
    }

    /// Replaces an expected charge by the tokens that the work actually used.
    pub fn settle(&mut self, customer: &Name, weight: u32, charged_tokens: u64, tokens: u64) {
        if let Some(customer_queue) = self.customers.get_mut(customer) {
            customer_queue.weighted_service = (customer_queue.weighted_service
                + weighted_units(tokens, weight))
            .saturating_sub(weighted_units(charged_tokens, weight));
        }
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry> {
        let expired_ids: Vec<RequestId> = self
            .deadlines
            .iter()
            .take_while(|(deadline_ms, _)| *deadline_ms <= now)
            .map(|(_, id)| *id)
            .collect();
        expired_ids
            .into_iter()
            .filter_map(|id| self.remove(id))
            .collect()
    }

    /// Returns the earliest deadline.
    pub fn earliest_deadline_ms(&self) -> Option<Millis> {
        self.deadlines.first().map(|(deadline_ms, _)| *deadline_ms)
    }

    /// Returns the queued tokens that are placed before a new request.
    ///
    /// Counts requests of the same or a higher priority: all of them, or those
    /// that the customer's fair share lets go first if that is fewer tokens.
    pub fn tokens_ahead(&self, customer: &Name, priority: Priority, weight: u32) -> u64 {
        let all: u64 = self
            .customers
            .values()
            .map(|customer_queue| customer_queue.tokens(priority))
            .sum();
        let own = self
            .customers
            .get(customer)
            .map_or(0, |customer_queue| customer_queue.tokens(priority));
        let own_weight = u64::from(weight.max(1));
        let others: u64 = self
            .customers
            .iter()
            .filter(|(name, _)| *name != customer)
            .filter_map(|(_, customer_queue)| customer_queue.weight(priority))
            .sum();
        let fair = own.saturating_mul(own_weight + others) / own_weight;
        all.min(fair)
    }

    fn prune_idle(&mut self) {
        if self.customers.len() <= PRUNE_THRESHOLD_CUSTOMERS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.customers.retain(|_, customer_queue| {
            !customer_queue.levels.is_empty() || customer_queue.weighted_service > virtual_time
        });
    }
}

impl CustomerQueue {
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
            .map(|entry| u64::from(entry.request.weight.max(1)))
    }
}

fn weighted_units(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
