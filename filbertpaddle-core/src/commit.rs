//! A committer: joins the changes of many nodes into one transaction.
//!
//! Any number of committers may run at once, and none needs to be agreed on:
//! every change carries the condition that guards its row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::Id;
use crate::clock::Millis;
use crate::group_commit::Change;
use crate::group_commit::TransactionResult;
use crate::name::Name;

/// How a committer works.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Most rows in one transaction, unless one node sends more.
    pub max_rows: usize,
    /// Shortest time between the starts of two transactions.
    pub pace_ms: Millis,
    /// Most nodes' changes that wait.
    pub max_queue: usize,
    /// Longest time that a node's changes wait; their sender has given up by then.
    pub max_wait_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_rows: 256,
            pace_ms: Millis(20),
            max_queue: 1_024,
            max_wait_ms: Millis(2_000),
        }
    }
}

/// The changes of one node, which are made together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeSet {
    /// Node that wants the changes.
    pub from: Name,
    /// Number that the node gave them.
    pub sequence: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// What happens to a committer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A node hands its changes in.
    Submit(ChangeSet),
    /// The platform answered the transaction in flight, or failed to.
    TransactionDone(TransactionResult),
    /// Time has passed.
    Tick,
}

/// What a committer does.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Perform a transaction and report with [`Event::TransactionDone`].
    Transact(Vec<Change>),
    /// Tell a node what became of its changes.
    Reply {
        /// The node.
        to: Name,
        /// Number that it gave its changes.
        sequence: u64,
        /// What became of them.
        result: TransactionResult,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueuedSet {
    change_set: ChangeSet,
    queued_at_ms: Millis,
}

/// Changes of many nodes that wait for a transaction, and those in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Committer {
    settings: Settings,
    queue: VecDeque<QueuedSet>,
    in_flight: Vec<QueuedSet>,
    earliest_start_ms: Millis,
}

impl Committer {
    /// Makes a committer that has nothing to do.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
            earliest_start_ms: Millis::ZERO,
        }
    }

    /// Returns when [`Event::Tick`] is needed next, if at all.
    pub fn next_tick(&self) -> Option<Millis> {
        let ready = self.in_flight.is_empty() && !self.queue.is_empty();
        ready.then_some(self.earliest_start_ms)
    }

    /// Takes in an event and returns what must be done.
    pub fn on(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = match event {
            Event::Submit(change_set) => self.submit(now, change_set),
            Event::TransactionDone(result) => self.on_transaction_done(&result),
            Event::Tick => Vec::new(),
        };
        actions.extend(self.expire(now));
        actions.extend(self.start(now).map(Action::Transact));
        actions
    }

    fn submit(&mut self, now: Millis, change_set: ChangeSet) -> Vec<Action> {
        if self.queue.len() >= self.settings.max_queue {
            return vec![reply(&change_set, TransactionResult::NotDone)];
        }
        let queued_at_ms = now;
        self.queue.push_back(QueuedSet {
            change_set,
            queued_at_ms,
        });
        Vec::new()
    }

    fn on_transaction_done(&mut self, result: &TransactionResult) -> Vec<Action> {
        let sets = std::mem::take(&mut self.in_flight);
        let TransactionResult::Conflict { rows } = result else {
            return sets
                .iter()
                .map(|queued| reply(&queued.change_set, result.clone()))
                .collect();
        };
        let (out, kept): (Vec<_>, Vec<_>) = sets.into_iter().partition(|queued| {
            let mut changes = queued.change_set.changes.iter();
            changes.any(|change| rows.contains_key(&change.id))
        });
        if out.is_empty() {
            let refuse = |queued: &QueuedSet| reply(&queued.change_set, TransactionResult::NotDone);
            return kept.iter().map(refuse).collect();
        }
        for queued in kept.into_iter().rev() {
            self.queue.push_front(queued);
        }
        out.iter()
            .map(|queued| {
                let ids = queued.change_set.changes.iter().map(|change| &change.id);
                let own: BTreeMap<Id, _> = ids
                    .filter_map(|id| Some((id.clone(), rows.get(id)?.clone())))
                    .collect();
                reply(
                    &queued.change_set,
                    TransactionResult::Conflict { rows: own },
                )
            })
            .collect()
    }

    /// Refuses what has waited so long that its sender reads back already.
    fn expire(&mut self, now: Millis) -> Vec<Action> {
        let max_wait_ms = self.settings.max_wait_ms;
        let is_expired = |queued: &QueuedSet| now.since(queued.queued_at_ms) > max_wait_ms;
        let (expired, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.queue)
            .into_iter()
            .partition(is_expired);
        self.queue = kept;
        expired
            .iter()
            .map(|queued| reply(&queued.change_set, TransactionResult::NotDone))
            .collect()
    }

    fn start(&mut self, now: Millis) -> Option<Vec<Change>> {
        if self.next_tick()? > now {
            return None;
        }
        self.earliest_start_ms = now + self.settings.pace_ms;
        let mut ids = BTreeSet::new();
        let mut rows = 0;
        for queued in std::mem::take(&mut self.queue) {
            let changes = &queued.change_set.changes;
            let fits = rows == 0 || rows + changes.len() <= self.settings.max_rows;
            // Two changes of one row cannot be in one transaction.
            let distinct = changes.iter().all(|change| !ids.contains(&change.id));
            if fits && distinct {
                rows += changes.len();
                ids.extend(changes.iter().map(|change| change.id.clone()));
                self.in_flight.push(queued);
            } else {
                self.queue.push_back(queued);
            }
        }
        let sets = self.in_flight.iter();
        Some(
            sets.flat_map(|queued| queued.change_set.changes.clone())
                .collect(),
        )
    }
}

/// Returns the committer that `own` hands its changes to, among the nodes of
/// its data centre; `nodes` includes `own`.
///
/// Nodes whose views differ choose differently for a while, which is harmless.
pub fn choose(own: &Name, nodes: &[Name], nodes_per_committer: usize) -> Name {
    let count = nodes.len().div_ceil(nodes_per_committer.max(1));
    let mut ranked: Vec<&Name> = nodes.iter().collect();
    ranked.sort_by_cached_key(|node| (xxh3_64(node.as_bytes()), (*node).clone()));
    ranked.truncate(count);
    if nodes_per_committer <= 1 || ranked.contains(&own) {
        return own.clone();
    }
    ranked
        .into_iter()
        .max_by_key(|node| xxh3_64(format!("{node}/{own}").as_bytes()))
        .unwrap_or(own)
        .clone()
}

fn reply(change_set: &ChangeSet, result: TransactionResult) -> Action {
    Action::Reply {
        to: change_set.from.clone(),
        sequence: change_set.sequence,
        result,
    }
}
