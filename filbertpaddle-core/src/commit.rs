//! Committer: joins the changes of several nodes into one transaction.
//!
//! Any number of committers may run at once without agreement between nodes,
//! since every change carries the condition that guards its row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64;

use crate::claim::Id;
use crate::clock::Millis;
use crate::group_commit::Change;
use crate::group_commit::TransactionResult;
use crate::name::Name;

/// Settings of a committer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Maximum number of rows in one transaction; a larger change set gets a transaction
    /// of its own.
    pub max_rows: usize,
    /// Minimum time between the starts of two transactions.
    pub pace_ms: Millis,
    /// Maximum number of queued change sets.
    pub max_queue: usize,
    /// Maximum time in the queue; the sender stops waiting before that.
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

/// Changes of one node, committed together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChangeSet {
    /// Node that submitted the changes.
    pub from: Name,
    /// Sequence number assigned by that node.
    pub sequence: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// Input to [`Committer`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A node submitted changes.
    Submit(ChangeSet),
    /// The transaction in flight has ended with this result.
    TransactionDone(TransactionResult),
    /// Time has passed.
    Tick,
}

/// Output of [`Committer`], for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Perform a transaction and report with [`Event::TransactionDone`].
    Transact(Vec<Change>),
    /// Report the result to the node that submitted the changes.
    Reply {
        /// The node.
        to: Name,
        /// Sequence number of its change set.
        sequence: u64,
        /// Result of the change set.
        result: TransactionResult,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct QueuedSet {
    change_set: ChangeSet,
    queued_at_ms: Millis,
}

/// Queue of change sets and the transaction in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Committer {
    settings: Settings,
    queue: VecDeque<QueuedSet>,
    in_flight: Vec<QueuedSet>,
    earliest_start_ms: Millis,
}

impl Committer {
    /// Creates an idle committer.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
            earliest_start_ms: Millis::ZERO,
        }
    }

    /// Returns when the next [`Event::Tick`] is due, if any.
    pub fn next_tick(&self) -> Option<Millis> {
        let ready = self.in_flight.is_empty() && !self.queue.is_empty();
        ready.then_some(self.earliest_start_ms)
    }

    /// Handles an event and returns the actions to perform.
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
                let conflicting: BTreeMap<Id, _> = ids
                    .filter_map(|id| Some((id.clone(), rows.get(id)?.clone())))
                    .collect();
                reply(
                    &queued.change_set,
                    TransactionResult::Conflict { rows: conflicting },
                )
            })
            .collect()
    }

    /// Refuses change sets that have waited so long that their senders already read back.
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
            // A transaction cannot hold two changes of one row.
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

/// Returns the committer for the changes of node `own`, chosen by rendezvous
/// hashing among the nodes of its data centre; `nodes` includes `own`.
///
/// Nodes whose views differ may choose different committers for a while, which
/// is harmless.
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
