//! State machine that commits one configuration change to the platform's table.
//!
//! Each change is one transaction conditioned on the versions of the head and
//! the entry. If the answer to a transaction is lost, the edit reads the audit
//! row of the attempted revision and compares its change id with its own, so a
//! change never takes effect twice.

use crate::clock::Millis;
use crate::config::Change;
use crate::config::ChangeId;
use crate::config::Key;
use crate::config::Record;
use crate::config::Setting;
use crate::name::Name;
use crate::revision::Revision;

/// Maximum number of reads, after which an edit ends as unavailable or unknown.
pub const MAX_READS: u8 = 16;

/// An operator's request to change one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Identity of the change, kept when it is resent.
    pub id: ChangeId,
    /// Operator who requests the change.
    pub by: Name,
    /// Time of the request, in Unix time.
    pub at_ms: Millis,
    /// Current revision of the entry to replace; `None` if the entry must be new.
    pub expected: Option<Revision>,
    /// The new value.
    pub setting: Setting,
}

/// A row's value with its version for use in a condition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Row<T> {
    /// The decoded value.
    pub value: T,
    /// Revision that the table assigned to the row.
    pub version: u64,
}

/// Rows read consistently at one revision of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The highest accepted revision.
    pub head: Option<Row<Revision>>,
    /// The latest change of the entry.
    pub entry: Option<Row<Change>>,
    /// Change id in the requested audit row, if the row exists.
    pub audit: Option<ChangeId>,
}

/// One transaction that writes head, entry and audit row together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Commit {
    /// Required version of the head row; `None` requires that it is absent.
    pub head: Option<u64>,
    /// Required version of the entry's row; `None` requires that it is absent.
    pub entry: Option<u64>,
    /// Audit row to write; its change becomes the entry's new value.
    pub record: Record,
}

/// Result of the last read or transaction, or the end of the time limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The rows were read.
    RowsRead(Snapshot),
    /// The transaction was committed.
    Committed,
    /// The transaction was rejected because a condition failed.
    Conflict,
    /// The transaction got no answer; it may have taken effect or may still do so.
    NoAnswer,
    /// The read failed, or the transaction was refused without any effect.
    Refused,
    /// The time limit of the operator's request has passed.
    Expired,
}

/// Next step for the caller to perform.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the head, the entry and, if given, the audit row.
    Read {
        /// Key of the entry.
        key: Key,
        /// Revision whose audit row is read.
        audit: Option<Revision>,
    },
    /// Run the transaction.
    Commit(Box<Commit>),
    /// Return the final answer to the operator.
    Finish(Answer),
}

/// Final answer to the operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The change was accepted at this revision.
    Accepted(Revision),
    /// Nothing was changed: the entry already has the requested value.
    Unchanged {
        /// Revision that set the entry; `None` if the entry was never set.
        revision: Option<Revision>,
    },
    /// Nothing was changed: the entry is not at the expected revision.
    Conflict {
        /// The latest change of the entry; `None` if there is no entry.
        current: Option<Box<Change>>,
    },
    /// Nothing was changed: the table is unavailable.
    Unavailable,
    /// The change may have been accepted, but at no other revision than this one.
    Unknown(Revision),
}

/// State of one change that is being committed to the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Edit {
    request: Request,
    reads: u8,
    /// Revision of a transaction whose answer was lost and which may have taken effect.
    unresolved: Option<Revision>,
    /// Revision of the transaction that awaits its answer.
    in_flight: Option<Revision>,
}

impl Edit {
    /// Starts an edit and returns its first action.
    pub fn start(request: Request) -> (Self, Action) {
        let mut edit = Self {
            request,
            reads: 0,
            unresolved: None,
            in_flight: None,
        };
        let action = edit.read();
        (edit, action)
    }

    /// Handles the result of the last action and returns the next one.
    pub fn on(&mut self, event: Event) -> Action {
        match event {
            Event::RowsRead(snapshot) => self.on_rows_read(snapshot),
            Event::Committed => self.on_committed(),
            // The conflict may be with an earlier attempt of the same transaction.
            Event::Conflict => self.read(),
            Event::NoAnswer => self.on_no_answer(),
            Event::Refused => self.on_refused(),
            Event::Expired => self.on_expired(),
        }
    }

    fn on_rows_read(&mut self, snapshot: Snapshot) -> Action {
        if snapshot.audit == Some(self.request.id)
            && let Some(revision) = self.unresolved
        {
            return Action::Finish(Answer::Accepted(revision));
        }
        if let Some(entry) = &snapshot.entry
            && entry.value.id == self.request.id
        {
            return Action::Finish(Answer::Accepted(entry.value.revision));
        }
        if snapshot.audit.is_some() {
            // Another change holds the revision, so the unresolved transaction
            // can never take effect.
            self.unresolved = None;
        }
        let current = snapshot.entry.as_ref().map(|entry| entry.value.revision);
        if current == self.request.expected {
            let entry = snapshot.entry.as_ref().map(|entry| &entry.value.setting);
            if self.unresolved.is_none() && self.request.setting.is_unchanged_from(entry) {
                return Action::Finish(Answer::Unchanged { revision: current });
            }
            return self.commit(snapshot);
        }
        if self.unresolved.is_some() {
            // The read is stale: it predates the unresolved transaction.
            return self.read();
        }
        Action::Finish(Answer::Conflict {
            current: snapshot.entry.map(|entry| Box::new(entry.value)),
        })
    }

    fn on_committed(&mut self) -> Action {
        match self.in_flight.take() {
            Some(revision) => Action::Finish(Answer::Accepted(revision)),
            None => self.read(),
        }
    }

    fn on_no_answer(&mut self) -> Action {
        if let Some(revision) = self.in_flight.take() {
            self.unresolved = Some(revision);
        }
        self.read()
    }

    fn on_refused(&mut self) -> Action {
        self.in_flight = None;
        if self.unresolved.is_some() {
            return self.read();
        }
        Action::Finish(Answer::Unavailable)
    }

    fn on_expired(&self) -> Action {
        Action::Finish(match self.unresolved.or(self.in_flight) {
            Some(revision) => Answer::Unknown(revision),
            None => Answer::Unavailable,
        })
    }

    fn read(&mut self) -> Action {
        self.in_flight = None;
        if self.reads == MAX_READS {
            return self.on_expired();
        }
        self.reads += 1;
        Action::Read {
            key: self.request.setting.key(),
            audit: self.unresolved,
        }
    }

    fn commit(&mut self, snapshot: Snapshot) -> Action {
        let head = snapshot
            .head
            .as_ref()
            .map_or(Revision::ZERO, |row| row.value);
        let revision = head.next();
        if self
            .unresolved
            .is_some_and(|unresolved| unresolved != revision)
        {
            // The unresolved transaction is ruled out only by a read of its
            // audit row, which this snapshot does not contain.
            return self.read();
        }
        self.in_flight = Some(revision);
        let change = Change {
            revision,
            id: self.request.id,
            by: self.request.by.clone(),
            at_ms: self.request.at_ms,
            setting: self.request.setting.clone(),
        };
        let (entry, before) = match snapshot.entry {
            Some(row) => (Some(row.version), Some(row.value.setting)),
            None => (None, None),
        };
        Action::Commit(Box::new(Commit {
            head: snapshot.head.map(|row| row.version),
            entry,
            record: Record { change, before },
        }))
    }
}
