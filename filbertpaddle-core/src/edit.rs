//! Making one change of the configuration in the platform's table.
//!
//! Each change is one transaction conditioned on the head and on the entry.
//! A lost answer is resolved by the change's own id in the audit row of the
//! revision it tried to take, so a change never takes effect twice.

use crate::clock::Millis;
use crate::config::Change;
use crate::config::ChangeId;
use crate::config::Key;
use crate::config::Record;
use crate::config::Setting;
use crate::name::Name;
use crate::revision::Revision;

/// Most reads before an edit gives up.
pub const MAX_READS: u8 = 16;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Identity of the change, kept over every resend.
    pub id: ChangeId,
    /// Who asks.
    pub by: Name,
    /// When it was asked, in Unix time.
    pub at_ms: Millis,
    /// Revision of the entry that the change replaces; `None` if it is new.
    pub expected: Option<Revision>,
    /// The new value.
    pub setting: Setting,
}

/// A row's value with the version that a condition names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Row<T> {
    /// The decoded value.
    pub value: T,
    /// The table's own revision of the row.
    pub version: u64,
}

/// Rows read as of one revision of the table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The highest accepted revision.
    pub head: Option<Row<Revision>>,
    /// The entry's last change.
    pub entry: Option<Row<Change>>,
    /// The id in the audit row that was asked for.
    pub audit: Option<ChangeId>,
}

/// One transaction: head, entry and audit row together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Commit {
    /// Version that the head row must have; `None` means absent.
    pub head: Option<u64>,
    /// Version that the entry's row must have; `None` means absent.
    pub entry: Option<u64>,
    /// The audit row; its change is the entry's new value.
    pub record: Record,
}

/// What the table answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The rows were read.
    RowsRead(Snapshot),
    /// The transaction took effect.
    Committed,
    /// The transaction did not take effect because a condition failed.
    Conflict,
    /// No answer to the transaction; it may take effect even later.
    NoAnswer,
    /// The read failed, or the transaction was refused with nothing done.
    Refused,
    /// The operator's request has no time left.
    Expired,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the head, the entry and, if given, the audit row.
    Read {
        /// The entry.
        key: Key,
        /// Revision of the audit row.
        audit: Option<Revision>,
    },
    /// Run the transaction.
    Commit(Box<Commit>),
    /// Tell the operator.
    Finish(Answer),
}

/// What the operator is told.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The change is accepted.
    Accepted(Revision),
    /// Nothing was changed: it is so already.
    Unchanged {
        /// Revision that set the entry; `None` if it never was.
        revision: Option<Revision>,
    },
    /// Nothing was changed: the entry is not as expected.
    Conflict {
        /// The change that stands instead; `None` if there is no entry.
        current: Option<Box<Change>>,
    },
    /// Nothing was changed: the table cannot be reached.
    Unavailable,
    /// The change may have been accepted, at this revision only.
    Unknown(Revision),
}

/// One change on its way into the table.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Edit {
    request: Request,
    reads: u8,
    /// Revision of a transaction that may have taken effect.
    tried: Option<Revision>,
    /// Revision of the transaction that is running.
    running: Option<Revision>,
}

impl Edit {
    /// Starts an edit and returns its first action.
    pub fn start(request: Request) -> (Self, Action) {
        let mut edit = Self {
            request,
            reads: 0,
            tried: None,
            running: None,
        };
        let action = edit.read();
        (edit, action)
    }

    /// Takes the table's answer to the last action.
    pub fn on(&mut self, event: Event) -> Action {
        match event {
            Event::RowsRead(seen) => self.on_seen(seen),
            Event::Committed => self.on_committed(),
            // A conflict may be with an earlier send of this very transaction.
            Event::Conflict => self.read(),
            Event::NoAnswer => self.on_lost(),
            Event::Refused => self.on_refused(),
            Event::Expired => self.on_expired(),
        }
    }

    fn on_seen(&mut self, seen: Snapshot) -> Action {
        if seen.audit == Some(self.request.id)
            && let Some(revision) = self.tried
        {
            return Action::Finish(Answer::Accepted(revision));
        }
        if let Some(entry) = &seen.entry
            && entry.value.id == self.request.id
        {
            return Action::Finish(Answer::Accepted(entry.value.revision));
        }
        if seen.audit.is_some() {
            // Another change holds the revision, so the transaction that was
            // tried can never take effect.
            self.tried = None;
        }
        let current = seen.entry.as_ref().map(|entry| entry.value.revision);
        if current == self.request.expected {
            let entry = seen.entry.as_ref().map(|entry| &entry.value.setting);
            if self.tried.is_none() && self.request.setting.is_unchanged_from(entry) {
                return Action::Finish(Answer::Unchanged { revision: current });
            }
            return self.commit(seen);
        }
        if self.tried.is_some() {
            // The read is older than the transaction that was tried.
            return self.read();
        }
        Action::Finish(Answer::Conflict {
            current: seen.entry.map(|entry| Box::new(entry.value)),
        })
    }

    fn on_committed(&mut self) -> Action {
        match self.running.take() {
            Some(revision) => Action::Finish(Answer::Accepted(revision)),
            None => self.read(),
        }
    }

    fn on_lost(&mut self) -> Action {
        if let Some(revision) = self.running.take() {
            self.tried = Some(revision);
        }
        self.read()
    }

    fn on_refused(&mut self) -> Action {
        self.running = None;
        if self.tried.is_some() {
            return self.read();
        }
        Action::Finish(Answer::Unavailable)
    }

    fn on_expired(&self) -> Action {
        Action::Finish(match self.tried.or(self.running) {
            Some(revision) => Answer::Unknown(revision),
            None => Answer::Unavailable,
        })
    }

    fn read(&mut self) -> Action {
        self.running = None;
        if self.reads == MAX_READS {
            return self.on_expired();
        }
        self.reads += 1;
        Action::Read {
            key: self.request.setting.key(),
            audit: self.tried,
        }
    }

    fn commit(&mut self, seen: Snapshot) -> Action {
        let head = seen.head.as_ref().map_or(Revision::ZERO, |row| row.value);
        let revision = head.next();
        if self.tried.is_some_and(|tried| tried != revision) {
            // Only a read that shows the tried revision's audit row may give
            // it up, and this one does not.
            return self.read();
        }
        self.running = Some(revision);
        let change = Change {
            revision,
            id: self.request.id,
            by: self.request.by.clone(),
            at_ms: self.request.at_ms,
            setting: self.request.setting.clone(),
        };
        let (entry, before) = match seen.entry {
            Some(row) => (Some(row.version), Some(row.value.setting)),
            None => (None, None),
        };
        Action::Commit(Box::new(Commit {
            head: seen.head.map(|row| row.version),
            entry,
            record: Record { change, before },
        }))
    }
}
