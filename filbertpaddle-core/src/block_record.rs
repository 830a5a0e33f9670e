//! Record in the store of what is blocked as a crash suspect, and of its probes.
//!
//! Nodes add to it what crashes targets, so that this is known when all of them have started again.
//! A node also records a probe here before the request is sent, under the condition that no other
//! node has changed the record since it was read: the probes of a fingerprint count for all nodes
//! together, whatever their messages to each other have brought so far.
//!
//! Load pattern: all nodes are killed while requests with a part that crashes targets come.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::suspect::CrashRecord;
use crate::suspect::SUSPECT_TTL_MS;

/// Largest number of fingerprints in the record. With 32 crashes each it is about 30 kB.
pub const MAX_FINGERPRINTS: usize = 32;

/// A request that is let through while it is blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Probe {
    /// Identifier, unique among all nodes.
    pub id: u64,
    /// Time of the store's clock when it was planned.
    pub at_ms: Millis,
}

/// Crashes and probes by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockRecord {
    entries: IndexMap<u64, Entry>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    /// Crashes, unless an answer has shown that others are likely to be to blame.
    #[serde(rename = "c", default)]
    crashes: BTreeSet<u64>,
    #[serde(rename = "p", default)]
    probes: BTreeSet<u64>,
    /// Time of the last change or renewal, by the store's clock.
    #[serde(rename = "t")]
    at_ms: Millis,
}

impl BlockRecord {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what is recorded of a fingerprint, to merge into what a node knows of it.
    pub fn of(&self, fingerprint: u64) -> Option<CrashRecord> {
        self.entries.get(&fingerprint).map(Entry::to_crashes)
    }

    /// Returns what is recorded of all fingerprints that were sent within the last hour.
    pub fn recent(&self, now: Millis) -> impl Iterator<Item = (u64, CrashRecord)> {
        let entries = self.entries.iter();
        let recent = entries.filter(move |(_, entry)| now.since(entry.at_ms) < SUSPECT_TTL_MS);
        recent.map(|(fingerprint, entry)| (*fingerprint, entry.to_crashes()))
    }

    /// Returns the recorded fingerprints.
    pub fn fingerprints(&self) -> impl Iterator<Item = u64> {
        self.entries.keys().copied()
    }

    /// Returns whether the crashes of a fingerprint are recorded, as of a time after `from_ms`.
    pub fn has_crashes(&self, fingerprint: u64, from_ms: Millis) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| !entry.crashes.is_empty() && entry.at_ms > from_ms)
    }

    /// Returns whether a node knows of an answer that has cleared all that is recorded of a
    /// fingerprint.
    pub fn is_cleared(&self, fingerprint: u64, known: &CrashRecord) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| {
            entry.crashes.is_subset(&known.cleared) && entry.probes.is_subset(&known.cleared)
        })
    }

    /// Records the crashes that a fingerprint is not cleared of.
    pub fn add_crashes(&mut self, now: Millis, fingerprint: u64, known: &CrashRecord) {
        let entry = self.entry(fingerprint);
        entry.crashes = known.crashes.difference(&known.cleared).copied().collect();
        entry.at_ms = now;
    }

    /// Adds a probe of a fingerprint to those that a node knows of and has not cleared.
    pub fn add_probe(&mut self, fingerprint: u64, known: &CrashRecord, probe: Probe) {
        let entry = self.entry(fingerprint);
        let uncleared = known.probes.difference(&known.cleared).copied();
        entry.probes = uncleared.chain([probe.id]).collect();
        entry.at_ms = probe.at_ms;
    }

    /// Removes a fingerprint that was cleared.
    pub fn remove(&mut self, fingerprint: u64) {
        self.entries.shift_remove(&fingerprint);
    }

    fn entry(&mut self, fingerprint: u64) -> &mut Entry {
        if self.entries.len() >= MAX_FINGERPRINTS && !self.entries.contains_key(&fingerprint) {
            self.evict_oldest();
        }
        self.entries.entry(fingerprint).or_default()
    }

    fn evict_oldest(&mut self) {
        let ages = self.entries.values().enumerate();
        let oldest = ages.min_by_key(|(_, entry)| entry.at_ms);
        if let Some((index, _)) = oldest {
            self.entries.swap_remove_index(index);
        }
    }
}

impl Entry {
    fn to_crashes(&self) -> CrashRecord {
        CrashRecord {
            crashes: self.crashes.clone(),
            probes: self.probes.clone(),
            ..CrashRecord::default()
        }
    }
}
