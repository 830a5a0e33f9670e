//! Requests that were running when their target crashed.
//!
//! A crash makes a suspect of every request that ran there. Suspects are run
//! apart from each other, so that a second crash tells which of them it was.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Targets that one request may crash before it is refused.
pub const CRASH_LIMIT: usize = 3;
/// Most suspects that are remembered.
pub const MAX_SUSPECTS: usize = 4_096;
/// How long a suspect is remembered after it was last seen.
const MEMORY: Millis = Millis::from_secs(3_600);

/// Returns the identity of the crash of a target that was first noticed at `at`.
pub fn crash_id(target: &str, at: Millis) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), at.0)
}

/// What is known of one suspect, as it is passed between nodes.
///
/// Both sets only grow, so records may be joined in any order and repeatedly.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Crashes that the request was part of.
    #[serde(rename = "c")]
    pub crashes: BTreeSet<u64>,
    /// Crashes that a later whole answer has cleared it of.
    #[serde(rename = "x")]
    pub cleared: BTreeSet<u64>,
}

impl CrashRecord {
    /// Number of crashes that the request is not cleared of.
    pub fn uncleared_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Joins what another node knows; returns whether anything was new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = (self.crashes.len(), self.cleared.len());
        self.crashes.extend(&other.crashes);
        self.cleared.extend(&other.cleared);
        before != (self.crashes.len(), self.cleared.len())
    }
}

/// How a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuarantineStatus {
    /// It gave a whole answer since it was last part of a crash.
    Cleared,
    /// Nothing is known of it.
    Unknown,
    /// It was part of a crash and is run apart from other suspects.
    Suspect,
    /// It has crashed too many targets and is refused.
    Blocked,
}

/// The suspects known to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    known: IndexMap<u64, Known>,
    answered: IndexSet<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Known {
    record: CrashRecord,
    changed_ms: Millis,
    seen_ms: Millis,
}

impl Suspects {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was running on a target that crashed.
    pub fn record_crash(&mut self, now: Millis, digest: u64, crash: u64) {
        if digest == 0 {
            return;
        }
        self.answered.swap_remove(&digest);
        let record = CrashRecord {
            crashes: BTreeSet::from([crash]),
            cleared: BTreeSet::new(),
        };
        self.merge(now, digest, &record);
    }

    /// Records that a request gave a whole answer.
    pub fn record_answer(&mut self, now: Millis, digest: u64) {
        if self.answered.len() >= MAX_SUSPECTS {
            self.answered.swap_remove_index(0);
        }
        self.answered.insert(digest);
        if let Some(known) = self.known.get_mut(&digest) {
            known.record.cleared = known.record.crashes.clone();
            known.changed_ms = now;
            known.seen_ms = now;
        }
    }

    /// Joins what another node knows of a request.
    pub fn merge(&mut self, now: Millis, digest: u64, record: &CrashRecord) {
        if self.known.len() >= MAX_SUSPECTS && !self.known.contains_key(&digest) {
            self.evict(now);
        }
        let known = self.known.entry(digest).or_default();
        if known.record.merge(record) {
            known.changed_ms = now;
        }
        known.seen_ms = now;
    }

    /// Returns the number of crashes that a request is not cleared of.
    pub fn uncleared_crashes(&self, digest: u64) -> usize {
        self.known
            .get(&digest)
            .map_or(0, |known| known.record.uncleared_crashes())
    }

    /// Returns how a request may be run.
    pub fn status(&self, digest: u64) -> QuarantineStatus {
        match self.uncleared_crashes(digest) {
            0 if self.answered.contains(&digest) => QuarantineStatus::Cleared,
            0 => QuarantineStatus::Unknown,
            level if level < CRASH_LIMIT => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Blocked,
        }
    }

    /// Returns how many copies of a request may run at once.
    ///
    /// Copies of one that never gave a whole answer may all crash, so they
    /// count against [`CRASH_LIMIT`] while they run.
    pub fn max_copies(&self, digest: u64) -> usize {
        match self.status(digest) {
            QuarantineStatus::Cleared => usize::MAX,
            QuarantineStatus::Unknown => CRASH_LIMIT,
            QuarantineStatus::Suspect => 1,
            QuarantineStatus::Blocked => 0,
        }
    }

    /// Keeps a suspect in memory because it was sent again.
    pub fn touch(&mut self, now: Millis, digest: u64) {
        if let Some(known) = self.known.get_mut(&digest) {
            known.seen_ms = now;
        }
    }

    /// Returns the records that changed at or after `since`, to pass them on.
    pub fn changed_since(&self, since: Millis) -> impl Iterator<Item = (u64, &CrashRecord)> {
        self.known
            .iter()
            .filter(move |(_, known)| known.changed_ms >= since)
            .map(|(digest, known)| (*digest, &known.record))
    }

    /// Number of requests that are remembered as suspects.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no suspect is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Makes room: what was not seen for long goes, else the least suspected.
    fn evict(&mut self, now: Millis) {
        self.known
            .retain(|_, known| now.since(known.seen_ms) < MEMORY);
        if self.known.len() < MAX_SUSPECTS {
            return;
        }
        let least = self
            .known
            .values()
            .enumerate()
            .min_by_key(|(_, known)| (known.record.uncleared_crashes(), known.seen_ms))
            .map(|(index, _)| index);
        if let Some(index) = least {
            self.known.swap_remove_index(index);
        }
    }
}
