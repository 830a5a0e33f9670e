//! Group commit: many row changes in one transaction, one transaction at a time.

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

/// Part of a transaction kept for changes that are not claims, so that a
/// stream of claims cannot hold them up for ever.
const BACKGROUND_RESERVE_DIVISOR: usize = 4;

/// A change that was lost fewer times than this is tried again at once.
const MAX_UNCONFIRMED_TRIES: u32 = 2;

/// One conditional change of a claim's row.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Attempt that wants the change; not told to a committer.
    #[serde(skip)]
    pub attempt: Name,
    /// Row to change.
    #[serde(rename = "i")]
    pub id: Id,
    /// Revision that the row must have; `None` means absent.
    #[serde(rename = "e")]
    pub expected: Option<u64>,
    /// New content; `None` deletes the row.
    #[serde(rename = "r")]
    pub record: Option<Record>,
    /// Transactions so far that may have made the change; not told to a committer.
    #[serde(skip)]
    pub tries: u32,
}

/// What became of one change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ChangeOutcome {
    /// The change was made.
    Committed {
        /// Table revision of the row, zero if it was deleted.
        revision: u64,
    },
    /// The change was not made, since the row was otherwise.
    Conflict {
        /// The row as it is.
        row: Option<Row>,
    },
    /// The change was not made, since the platform refused or was not reached.
    NotDone,
    /// The answer was lost; the change was not there when read back, but may come.
    Pending,
    /// The answer was lost and nothing could be read back.
    Unknown,
}

/// A change with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SettledChange {
    /// The change.
    pub change: Change,
    /// What became of it.
    pub outcome: ChangeOutcome,
}

/// What the platform said about the transaction in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TransactionResult {
    /// All changes were made.
    Committed {
        /// Table revision of the writes.
        revision: u64,
    },
    /// No change was made, since these rows were not as expected.
    Conflict {
        /// The rows as they are, by claim.
        rows: BTreeMap<Id, Option<Row>>,
    },
    /// No change was made.
    NotDone,
    /// Nothing is known.
    Unknown,
}

/// How often and how large transactions are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Most rows in one transaction.
    pub max_rows: usize,
    /// Shortest time between the starts of two transactions.
    pub pace_ms: Millis,
    /// Pause after a transaction that failed.
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

/// What the batch is waiting for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Idle,
    Writing(Vec<Change>),
    Reading(Vec<Change>),
}

/// Changes that wait for a transaction, and the one in flight.
///
/// The next transaction starts when the one before is settled, so its size
/// follows the load and an idle node adds no delay.
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

    /// Adds a claim, which goes before other changes.
    pub fn push_claim(&mut self, change: Change) {
        self.claims.push_back(change);
    }

    /// Adds a change that no caller waits for.
    pub fn push_background(&mut self, change: Change) {
        self.background.push_back(change);
    }

    /// Takes back the claim of an attempt unless it is in flight.
    pub fn cancel_claim(&mut self, attempt: &Name) -> Option<Change> {
        let index = self
            .claims
            .iter()
            .position(|change| change.attempt == *attempt)?;
        self.claims.remove(index)
    }

    /// Takes back all claims that are not in flight.
    pub fn cancel_claims(&mut self) -> Vec<Change> {
        self.claims.drain(..).collect()
    }

    /// Returns how long a new claim would better wait, `None` if the platform answers.
    pub fn retry_after(&self, now: Millis) -> Option<Millis> {
        if !self.failing {
            return None;
        }
        // One claim may go ahead and probe once the pause is over.
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

    /// Returns when [`GroupCommit::start`] should be called next, if anything waits.
    pub fn next_start(&self) -> Option<Millis> {
        let waiting = !self.claims.is_empty() || !self.background.is_empty();
        (self.stage == Stage::Idle && waiting).then_some(self.earliest_start_ms)
    }

    /// Returns the changes of the next transaction if it may start now.
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

    /// Takes in the platform's answer to the transaction in flight.
    ///
    /// After [`TransactionResult::Unknown`] the rows must be read back: the caller reads
    /// [`GroupCommit::unsettled`] and passes what it found to [`GroupCommit::read_back`].
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
            // One lost answer is no outage: what is read back decides.
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

    /// Takes in the rows read back, absent ones left out; `None` if they could not be read.
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
            // The platform writes; it was only the answer that got lost.
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

    /// Settles the changes whose row was not as expected and puts the others back in front.
    fn settle_conflicts(
        &mut self,
        changes: Vec<Change>,
        rows: &BTreeMap<Id, Option<Row>>,
    ) -> Vec<SettledChange> {
        // The transaction did nothing, so it does not count as a try.
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
    /// Returns whether the change makes a claim.
    pub fn is_claim(&self) -> bool {
        self.record
            .as_ref()
            .is_some_and(|record| record.is_claimed_by(&self.attempt))
    }
}

/// Moves changes of distinct rows until there are `limit`.
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

/// Returns the fate of a change whose row was read back.
fn read_back_outcome(change: &Change, row: Option<&Row>) -> ChangeOutcome {
    if let Some(outcome) = applied_outcome(change, row) {
        return outcome;
    }
    if row.map(|row| row.revision) == change.expected {
        return ChangeOutcome::Pending;
    }
    ChangeOutcome::Conflict { row: row.cloned() }
}

/// Returns the fate of a change that an earlier try is seen to have made.
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
