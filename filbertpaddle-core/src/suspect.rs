//! Quarantine of requests that may have crashed their targets.
//!
//! A crash makes every request that was running on the target a suspect. No two
//! suspects run on the same target, so that a second crash identifies its cause.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;

/// Number of crashes after which a request is refused.
pub const CRASH_LIMIT: usize = 3;
/// Largest number of recorded suspects.
pub const MAX_SUSPECTS: usize = 4_096;
/// Number of answered requests at which the older half of them is forgotten.
const MAX_ANSWERED: usize = 4_096;
/// Time for which a suspect is recorded after it was last seen.
pub const SUSPECT_TTL_MS: Millis = Millis::from_secs(3_600);
/// Interval at which the record of a suspect that is sent again and again is passed on, so that
/// no node forgets it.
pub const RENEW_INTERVAL_MS: Millis = Millis(SUSPECT_TTL_MS.0 / 4);

/// Returns the identifier of a target's crash that was first noticed at `at`.
pub fn crash_id(target: &str, at: Millis) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), at.0)
}

/// Crashes of one suspect, replicated between nodes.
///
/// All sets only grow, so records may be merged in any order and repeatedly.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Crashes during which the request was running.
    #[serde(rename = "c")]
    pub crashes: BTreeSet<u64>,
    /// Crashes and probes that a later complete answer has cleared the request of.
    #[serde(rename = "x")]
    pub cleared: BTreeSet<u64>,
    /// Probes: requests that were let through while it was blocked.
    #[serde(rename = "p", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub probes: BTreeSet<u64>,
}

impl CrashRecord {
    /// Returns the number of crashes that the request is not cleared of.
    pub fn uncleared_crashes(&self) -> usize {
        self.crashes.difference(&self.cleared).count()
    }

    /// Returns the number of probes since the last answer.
    pub fn uncleared_probes(&self) -> usize {
        self.probes.difference(&self.cleared).count()
    }

    /// Returns the part of the record that concerns the crashes of `other`.
    pub fn restricted_to(&self, other: &Self) -> Self {
        let known = |crash: &&u64| other.crashes.contains(*crash);
        Self {
            crashes: self.crashes.iter().filter(known).copied().collect(),
            cleared: self.cleared.iter().filter(known).copied().collect(),
            probes: self.probes.clone(),
        }
    }

    /// Returns whether the record has a crash and is not cleared of it.
    pub fn is_accused_of(&self, crash: u64) -> bool {
        self.crashes.contains(&crash) && !self.cleared.contains(&crash)
    }

    /// Returns whether the record has all crashes that `other` is not cleared of, and is not
    /// cleared of them either.
    pub fn is_superset_of(&self, other: &Self) -> bool {
        let mut uncleared = other.crashes.difference(&other.cleared);
        uncleared.all(|crash| self.is_accused_of(*crash))
    }

    /// Merges another node's record; returns whether it added anything.
    pub fn merge(&mut self, other: &Self) -> bool {
        let before = self.len();
        self.crashes.extend(&other.crashes);
        self.cleared.extend(&other.cleared);
        self.probes.extend(&other.probes);
        before != self.len()
    }

    fn len(&self) -> usize {
        self.crashes.len() + self.cleared.len() + self.probes.len()
    }

    /// Clears the request of all crashes and probes; returns whether any was uncleared.
    fn clear(&mut self) -> bool {
        let before = self.cleared.len();
        self.cleared.extend(self.crashes.iter().chain(&self.probes));
        before != self.cleared.len()
    }
}

/// A record to pass on to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedRecord {
    /// Sequence number of the record's last change at this node.
    pub sequence: u64,
    /// Digest of the suspect.
    pub digest: u64,
    /// The record.
    pub record: CrashRecord,
}

/// Restriction on running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum QuarantineStatus {
    /// The request gave a complete answer after its last crash.
    Cleared,
    /// The request has no recorded crash or answer.
    Unknown,
    /// The request was running during a crash and may not share a target with other
    /// suspects.
    Suspect,
    /// The request was running during too many crashes and is refused.
    Blocked,
}

/// Suspects recorded by one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Suspects {
    entries: IndexMap<u64, Entry>,
    /// Time of the last complete answer, by digest.
    answered_ms: IndexMap<u64, Millis>,
    /// Sequence number of the last change of any record.
    sequence: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Entry {
    record: CrashRecord,
    /// Sequence number of the record's last change.
    sequence: u64,
    seen_ms: Millis,
    /// Time when this node last learned something new about its crashes.
    learned_ms: Millis,
    /// Time when the record last changed or was renewed, so that it is passed on.
    passed_on_ms: Millis,
}

impl Suspects {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was running on a target when it crashed.
    pub fn record_crash(&mut self, now: Millis, digest: u64, crash: u64) {
        if digest == 0 {
            return;
        }
        self.answered_ms.swap_remove(&digest);
        let record = CrashRecord {
            crashes: BTreeSet::from([crash]),
            ..CrashRecord::default()
        };
        self.merge(now, digest, &record);
    }

    /// Records that a request was let through while it was blocked.
    pub fn record_probe(&mut self, now: Millis, digest: u64, probe: u64) {
        let record = CrashRecord {
            probes: BTreeSet::from([probe]),
            ..CrashRecord::default()
        };
        self.merge(now, digest, &record);
    }

    /// Records that a request gave a complete answer.
    pub fn record_answer(&mut self, now: Millis, digest: u64) {
        if self.answered_ms.len() >= MAX_ANSWERED {
            self.answered_ms.drain(..MAX_ANSWERED / 2);
        }
        self.answered_ms.insert(digest, now);
        self.clear(now, digest);
    }

    /// Clears a request of its crashes.
    pub fn clear(&mut self, now: Millis, digest: u64) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.seen_ms = now;
            if entry.record.clear() {
                self.sequence += 1;
                entry.sequence = self.sequence;
            }
        }
    }

    /// Returns the time of the last complete answer to a request since its last crash.
    pub fn answered_at_ms(&self, digest: u64) -> Option<Millis> {
        self.answered_ms.get(&digest).copied()
    }

    /// Merges another node's record of a request.
    pub fn merge(&mut self, now: Millis, digest: u64, record: &CrashRecord) {
        if self.entries.len() >= MAX_SUSPECTS && !self.entries.contains_key(&digest) {
            self.evict_one(now);
        }
        let entry = self.entries.entry(digest).or_default();
        if entry.record.merge(record) {
            self.sequence += 1;
            entry.sequence = self.sequence;
            entry.learned_ms = now;
            entry.passed_on_ms = now;
        }
        self.touch(now, digest);
    }

    /// Returns the number of crashes that a request is not cleared of.
    pub fn uncleared_crashes(&self, digest: u64) -> usize {
        self.entries
            .get(&digest)
            .map_or(0, |entry| entry.record.uncleared_crashes())
    }

    /// Returns the restriction on running a request.
    pub fn status(&self, digest: u64) -> QuarantineStatus {
        match self.uncleared_crashes(digest) {
            0 if self.answered_ms.contains_key(&digest) => QuarantineStatus::Cleared,
            0 => QuarantineStatus::Unknown,
            crashes if crashes < CRASH_LIMIT => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Blocked,
        }
    }

    /// Returns how many copies of a request may run at the same time.
    ///
    /// Any running copy of a request without a complete answer may crash its target,
    /// so the number of copies is limited to [`CRASH_LIMIT`].
    pub fn max_copies(&self, digest: u64) -> usize {
        match self.status(digest) {
            QuarantineStatus::Cleared => usize::MAX,
            QuarantineStatus::Unknown => CRASH_LIMIT,
            QuarantineStatus::Suspect => 1,
            QuarantineStatus::Blocked => 0,
        }
    }

    /// Renews the retention of a suspect that was sent again; from time to time at all nodes.
    pub fn touch(&mut self, now: Millis, digest: u64) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            entry.seen_ms = now;
            if now.since(entry.passed_on_ms) >= RENEW_INTERVAL_MS {
                self.sequence += 1;
                entry.sequence = self.sequence;
                entry.passed_on_ms = now;
            }
        }
    }

    /// Returns the sequence number of the last change, for [`Self::changed_after`].
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the records that changed after the change with number `sequence`, for
    /// replication; all records if it is 0.
    pub fn changed_after(&self, sequence: u64) -> impl Iterator<Item = (u64, &CrashRecord)> {
        self.entries
            .iter()
            .filter(move |(_, entry)| entry.sequence > sequence)
            .map(|(digest, entry)| (*digest, &entry.record))
    }

    /// Returns the first `max` records that changed after the change with number `sequence`, in
    /// the order of their changes.
    pub fn numbered_after(&self, sequence: u64, max: usize) -> Vec<NumberedRecord> {
        let changed = self.entries.iter();
        let mut changed: Vec<_> = changed
            .filter(|(_, entry)| entry.sequence > sequence)
            .collect();
        changed.sort_unstable_by_key(|(_, entry)| entry.sequence);
        changed.truncate(max);
        let numbered = changed.into_iter().map(|(digest, entry)| NumberedRecord {
            sequence: entry.sequence,
            digest: *digest,
            record: entry.record.clone(),
        });
        numbered.collect()
    }

    /// Returns the record of a suspect.
    pub fn record(&self, digest: u64) -> Option<&CrashRecord> {
        self.entries.get(&digest).map(|entry| &entry.record)
    }

    /// Returns when a suspect was last sent or learned of.
    pub fn seen_at_ms(&self, digest: u64) -> Option<Millis> {
        self.entries.get(&digest).map(|entry| entry.seen_ms)
    }

    /// Returns when this node last learned something new about the crashes of a suspect.
    pub fn learned_at_ms(&self, digest: u64) -> Option<Millis> {
        self.entries.get(&digest).map(|entry| entry.learned_ms)
    }

    /// Drops the crashes and probes that a suspect is cleared of.
    pub fn prune_cleared(&mut self, digest: u64) {
        if let Some(entry) = self.entries.get_mut(&digest) {
            let cleared = std::mem::take(&mut entry.record.cleared);
            let record = &mut entry.record;
            record.crashes.retain(|crash| !cleared.contains(crash));
            record.probes.retain(|probe| !cleared.contains(probe));
        }
    }

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Evicts the records not seen for [`SUSPECT_TTL_MS`], or else the one with the fewest
    /// uncleared crashes.
    fn evict_one(&mut self, now: Millis) {
        self.entries
            .retain(|_, entry| now.since(entry.seen_ms) < SUSPECT_TTL_MS);
        if self.entries.len() < MAX_SUSPECTS {
            return;
        }
        let least = self
            .entries
            .values()
            .enumerate()
            .min_by_key(|(_, entry)| (entry.record.uncleared_crashes(), entry.seen_ms))
            .map(|(index, _)| index);
        if let Some(index) = least {
            self.entries.swap_remove_index(index);
        }
    }
}
