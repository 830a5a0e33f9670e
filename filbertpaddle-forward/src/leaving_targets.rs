//! Targets that have announced that they leave.
//!
//! A target that leaves never comes back as the same incarnation. Neither an older entry of
//! the store nor another node's older state makes it available again.

use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::target::Incarnation;

/// Maximum number of recorded targets.
const MAX_LEAVING: usize = 1_024;

/// Incarnations of targets that leave.
#[derive(Clone, Debug, Default)]
pub struct LeavingTargets {
    entries: IndexMap<Name, Entry>,
    /// Sequence number of the last record that is passed on to other nodes.
    sequence: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    incarnation: Incarnation,
    /// 0 if all nodes learn of it from the store.
    sequence: u64,
}

impl LeavingTargets {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether an incarnation leaves.
    pub fn contains(&self, incarnation: &Incarnation) -> bool {
        self.entries
            .get(&incarnation.id)
            .is_some_and(|entry| entry.incarnation == *incarnation)
    }

    /// Records an incarnation that the store lists as draining.
    pub fn record_listed(&mut self, incarnation: &Incarnation) {
        let known = self.entries.get(&incarnation.id);
        let is_known = |entry: &Entry| {
            entry.incarnation == *incarnation || incarnation.is_before(&entry.incarnation)
        };
        if !known.is_some_and(is_known) {
            self.insert(incarnation, 0);
        }
    }

    /// Records an incarnation that has announced itself that it leaves, so that it is passed
    /// on; returns whether it was not recorded so before.
    pub fn record_reported(&mut self, incarnation: &Incarnation) -> bool {
        let known = self.entries.get(&incarnation.id);
        let is_known = |entry: &Entry| {
            let is_reported = entry.incarnation == *incarnation && entry.sequence > 0;
            is_reported || incarnation.is_before(&entry.incarnation)
        };
        if known.is_some_and(is_known) {
            return false;
        }
        self.sequence += 1;
        self.insert(incarnation, self.sequence);
        true
    }

    /// Returns the sequence number of the last record, for [`Self::reported_after`].
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the incarnations to pass on that were recorded after the one with number
    /// `sequence`; all of them if it is 0.
    pub fn reported_after(&self, sequence: u64) -> impl Iterator<Item = &Incarnation> {
        let is_later = move |entry: &&Entry| entry.sequence > sequence;
        let later = self.entries.values().filter(is_later);
        later.map(|entry| &entry.incarnation)
    }

    fn insert(&mut self, incarnation: &Incarnation, sequence: u64) {
        // Removed first, so that the oldest record comes first.
        self.entries.shift_remove(&incarnation.id);
        if self.entries.len() >= MAX_LEAVING {
            self.entries.shift_remove_index(0);
        }
        let incarnation = incarnation.clone();
        let entry = Entry {
            incarnation: incarnation.clone(),
            sequence,
        };
        self.entries.insert(incarnation.id, entry);
    }
}
