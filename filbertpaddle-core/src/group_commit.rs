//! Group commit on one node: joins queued row changes into one transaction at a time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::claim::Id;
use crate::claim::Record;
use crate::claim::Row;
use crate::clock::Millis;
use crate::name::Name;

/// One row in this many of a transaction is reserved for background changes,
/// so that a steady stream of claims cannot starve them.
const BACKGROUND_RESERVE_DIVISOR: usize = 4;

/// A change whose answer was lost is retried without a pause until it has been tried
/// this often.
const MAX_UNCONFIRMED_TRIES: u32 = 2;

/// One conditional change of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Attempt that requested the change; not sent to a committer.
    #[serde(skip)]
    pub attempt: Name,
    /// Claim whose row changes.
    #[serde(rename = "i")]
    pub id: Id,
    /// Revision that the row must have; `None` if it must be absent.
    #[serde(rename = "e")]
    pub expected: Option<u64>,
    /// New content; `None` deletes the row.
    #[serde(rename = "r")]
    pub record: Option<Record>,
    /// Number of transactions that may have applied the change; not sent to a committer.
    #[serde(skip)]
    pub tries: u32,
}

/// Outcome of one change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ChangeOutcome {
    /// The change was applied.
    Committed {
        /// Table revision of the row; zero if it was deleted.
        revision: u64,
    },
    /// The change was not applied, since the row was not as expected.
    Conflict {
        /// The current row.
        row: Option<Row>,
    },
    /// The change was not applied, since the platform refused it or was unreachable.
    NotDone,
    /// The answer was lost. The read-back did not show the change, but it may still be applied.
    Pending,
    /// The answer was lost and the row could not be read back.
    Unknown,
}

/// A change with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SettledChange {
    /// The change.
    pub change: Change,
    /// Its outcome.
    pub outcome: ChangeOutcome,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransactionResult {
    /// All changes were applied.
    Committed {
        /// Table revision of the writes.
        revision: u64,
    },
    /// No change was applied, since these rows were not as expected.
    Conflict {
        /// The current rows by claim; `None` if absent.
        rows: BTreeMap<Id, Option<Row>>,
    },
    /// No change was applied.
    NotDone,
    /// The answer was lost, so the changes may or may not have been applied.
    Unknown,
}

/// Rate and size of transactions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Maximum number of rows in one transaction.
    pub max_rows: usize,
    /// Minimum time between the starts of two transactions.
    pub pace_ms: Millis,
    /// Pause after a failed transaction.
    pub backoff_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_rows: 128,
            pace_ms: Millis(20),
            backoff_ms: Millis(500),
        }
    }
}

/// State of the transaction in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Writing(Vec<Change>),
    Reading(Vec<Change>),
}

/// Queue of changes and the transaction in flight.
///
/// The next transaction starts when the previous one is settled, so its size
/// follows the load, and an idle node adds no delay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupCommit {
    settings: Settings,
    claims: VecDeque<Change>,
    background: VecDeque<Change>,
    stage: Stage,
    earliest_start_ms: Millis,
    failing: bool,
}

impl GroupCommit {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            claims: VecDeque::new(),
            background: VecDeque::new(),
            stage: Stage::Idle,
            earliest_start_ms: Millis::ZERO,
            failing: false,
        }
    }

    /// Queues a claim, which takes priority over background changes.
    pub fn push_claim(&mut self, change: Change) {
        self.claims.push_back(change);
    }

    /// Queues a change that no caller is waiting for.
    pub fn push_background(&mut self, change: Change) {
        self.background.push_back(change);
    }

    /// Removes the claim of an attempt from the queue and returns it, unless it is in flight.
    pub fn cancel_claim(&mut self, attempt: &Name) -> Option<Change> {
        let index = self
            .claims
            .iter()
            .position(|change| change.attempt == *attempt)?;
        self.claims.remove(index)
    }

    /// Removes all queued claims and returns them.
    pub fn cancel_claims(&mut self) -> Vec<Change> {
        self.claims.drain(..).collect()
    }

    /// Returns how long the caller should wait before it retries; `None` if a claim may be
    /// queued now.
    pub fn retry_after(&self, now: Millis) -> Option<Millis> {
        if !self.failing {
            return None;
        }
        // After the pause, one claim may probe whether the platform has recovered.
        let idle = self.stage == Stage::Idle && self.claims.is_empty();
        if idle && now >= self.earliest_start_ms {
            return None;
        }
        Some(
            self.earliest_start_ms
                .since(now)
                .max(self.settings.backoff_ms),
        )
    }

    /// Returns when [`GroupCommit::start`] is due next, if a change is queued and no
    /// transaction is in flight.
    pub fn next_start(&self) -> Option<Millis> {
        let waiting = !self.claims.is_empty() || !self.background.is_empty();
        (self.stage == Stage::Idle && waiting).then_some(self.earliest_start_ms)
    }

    /// Starts the next transaction if it is due and returns its changes.
    pub fn start(&mut self, now: Millis) -> Option<Vec<Change>> {
        if self.next_start()? > now {
            return None;
        }
        let mut ids = BTreeSet::new();
        let reserve =
            (self.settings.max_rows / BACKGROUND_RESERVE_DIVISOR).min(self.background.len());
        let mut changes = Vec::new();
        move_distinct(
            &mut self.claims,
            &mut changes,
            &mut ids,
            self.settings.max_rows.saturating_sub(reserve).max(1),
        );
        move_distinct(
            &mut self.background,
            &mut changes,
            &mut ids,
            self.settings.max_rows,
        );
        self.earliest_start_ms = now + self.settings.pace_ms;
        self.stage = Stage::Writing(changes.clone());
        Some(changes)
    }

    /// Handles the result of the transaction in flight.
    ///
    /// After [`TransactionResult::Unknown`] the caller must read the rows of
    /// [`GroupCommit::unsettled`] and pass them to [`GroupCommit::read_back`].
    pub fn on_transaction_done(
        &mut self,
        now: Millis,
        result: TransactionResult,
    ) -> Vec<SettledChange> {
        let Stage::Writing(changes) = std::mem::replace(&mut self.stage, Stage::Idle) else {
            return Vec::new();
        };
        match result {
            TransactionResult::Committed { .. } | TransactionResult::Conflict { .. } => {
                self.failing = false;
            }
            TransactionResult::NotDone => self.fail(now),
            // One lost answer is not yet an outage; the read-back decides.
            TransactionResult::Unknown => {}
        }
        match result {
            TransactionResult::Committed { revision } => settle(changes, |change| {
                let revision = change.record.as_ref().map_or(0, |_| revision);
                ChangeOutcome::Committed { revision }
            }),
            TransactionResult::Conflict { rows } => self.settle_conflicts(changes, &rows),
            TransactionResult::NotDone => {
                settle(without_last_try(changes), |_| ChangeOutcome::NotDone)
            }
            TransactionResult::Unknown => {
                self.stage = Stage::Reading(changes);
                Vec::new()
            }
        }
    }

    /// Returns the claims whose rows must be read back.
    pub fn unsettled(&self) -> Vec<Id> {
        match &self.stage {
            Stage::Reading(changes) => changes.iter().map(|change| change.id.clone()).collect(),
            Stage::Idle | Stage::Writing(_) => Vec::new(),
        }
    }

    /// Handles the rows read back, with absent rows left out; `None` if the read failed.
    pub fn read_back(
        &mut self,
        now: Millis,
        rows: Option<&BTreeMap<Id, Row>>,
    ) -> Vec<SettledChange> {
        let Stage::Reading(changes) = std::mem::replace(&mut self.stage, Stage::Idle) else {
            return Vec::new();
        };
        let settled = settle(changes, |change| match rows {
            Some(rows) => read_back_outcome(change, rows.get(&change.id)),
            None => ChangeOutcome::Unknown,
        });
        let committed =
            |settled: &SettledChange| matches!(settled.outcome, ChangeOutcome::Committed { .. });
        let retryable = |settled: &SettledChange| {
            settled.outcome == ChangeOutcome::Pending
                && settled.change.tries < MAX_UNCONFIRMED_TRIES
        };
        if settled.iter().any(committed) {
            // The platform commits writes; only the answer was lost.
            self.failing = false;
        } else if !settled.iter().any(retryable) {
            self.fail(now);
        }
        settled
    }

    fn fail(&mut self, now: Millis) {
        self.failing = true;
        self.earliest_start_ms = now + self.settings.backoff_ms;
    }

    /// Settles the changes whose rows were not as expected and returns the others to the
    /// head of their queues.
    fn settle_conflicts(
        &mut self,
        changes: Vec<Change>,
        rows: &BTreeMap<Id, Option<Row>>,
    ) -> Vec<SettledChange> {
        // The transaction applied nothing, so it does not count as a try.
        let (out, kept): (Vec<_>, Vec<_>) = without_last_try(changes)
            .into_iter()
            .partition(|change| rows.contains_key(&change.id));
        if out.is_empty() {
            return settle(kept, |_| ChangeOutcome::NotDone);
        }
        for change in kept.into_iter().rev() {
            if change.is_claim() {
                self.claims.push_front(change);
            } else {
                self.background.push_front(change);
            }
        }
        settle(out, |change| {
            let row = rows.get(&change.id).and_then(Option::as_ref);
            applied_outcome(change, row)
                .unwrap_or_else(|| ChangeOutcome::Conflict { row: row.cloned() })
        })
    }
}

impl Change {
    /// Returns whether the change writes a claim.
    pub fn is_claim(&self) -> bool {
        self.record
            .as_ref()
            .is_some_and(|record| record.is_claimed_by(&self.attempt))
    }
}

/// Moves changes of distinct rows from a queue to a transaction until it has `limit` rows.
fn move_distinct(
    from: &mut VecDeque<Change>,
    to: &mut Vec<Change>,
    ids: &mut BTreeSet<Id>,
    limit: usize,
) {
    let mut skipped = Vec::new();
    while to.len() < limit {
        let Some(mut change) = from.pop_front() else {
            break;
        };
        if ids.insert(change.id.clone()) {
            change.tries += 1;
            to.push(change);
        } else {
            skipped.push(change);
        }
    }
    for change in skipped.into_iter().rev() {
        from.push_front(change);
    }
}

/// Returns the outcome of a change from its row as read back.
fn read_back_outcome(change: &Change, row: Option<&Row>) -> ChangeOutcome {
    if let Some(outcome) = applied_outcome(change, row) {
        return outcome;
    }
    if row.map(|row| row.revision) == change.expected {
        return ChangeOutcome::Pending;
    }
    ChangeOutcome::Conflict { row: row.cloned() }
}

/// Returns the outcome of a change that an earlier try has applied; `None` if the row does
/// not show it.
fn applied_outcome(change: &Change, row: Option<&Row>) -> Option<ChangeOutcome> {
    if row.map(|row| &row.record) != change.record.as_ref() {
        return None;
    }
    Some(ChangeOutcome::Committed {
        revision: row.map_or(0, |row| row.revision),
    })
}

fn settle<F>(changes: Vec<Change>, outcome: F) -> Vec<SettledChange>
where
    F: Fn(&Change) -> ChangeOutcome,
{
    changes
        .into_iter()
        .map(|change| SettledChange {
            outcome: outcome(&change),
            change,
        })
        .collect()
}

fn without_last_try(mut changes: Vec<Change>) -> Vec<Change> {
    for change in &mut changes {
        change.tries -= 1;
    }
    changes
}
