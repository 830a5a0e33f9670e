//! A node's replica of the configuration, the targets and the data centres out of service.
//!
//! Entries arrive from the change feeds of the store or from a peer that follows them.
//! Each carries the store's revision, so that they can be applied in any order: an entry
//! that is older than the known one is ignored.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::target::Target;

/// Time for which removals are deferred after the store is reachable again. Live targets
/// take about 2 s to list themselves again.
const RELIST_GRACE_MS: Millis = Millis(2_500);
/// Maximum number of removed targets whose revisions are kept, so that an outdated copy
/// of an entry does not list a target again.
const MAX_TOMBSTONES: usize = 1_024;

/// Table of the store that nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// Configuration and data centres, as set by operators.
    Operator,
    /// Entries that targets write about themselves.
    Targets,
}

/// Change of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the store at which the entry changed.
    pub revision: u64,
    /// New content of the entry.
    pub entry: Entry,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The configuration.
    Configuration(Arc<Configuration>),
    /// Service state of a data centre.
    DataCentre {
        /// Name of the data centre.
        name: Name,
        /// Whether it is out of service.
        is_out: bool,
    },
    /// A listed target.
    Target(Target),
    /// ID of a target that has no valid entry.
    NoTarget(Name),
}

/// Changes of a table, or its whole content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Table that changed.
    pub table: Table,
    /// Whether the batch is the whole table, so that other entries no longer exist.
    pub is_whole: bool,
    /// Revision of the table after the batch.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// Changes that took effect, for log lines and for tasks that wait for changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// Version of the new configuration in force, if it changed.
    pub configuration: Option<u64>,
    /// Data centres whose state changed, and whether each is now out of service.
    pub data_centres: Vec<(Name, bool)>,
    /// IDs of targets that were added, changed or removed.
    pub targets: Vec<Name>,
}

impl AppliedChanges {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none() && self.data_centres.is_empty() && self.targets.is_empty()
    }
}

/// Entry of a listed target.
#[derive(Clone, Debug)]
struct TargetEntry {
    revision: u64,
    sequence: u64,
    target: Target,
    read_ms: Millis,
    /// Removal that has not taken effect yet.
    removal: Option<DeferredRemoval>,
}

/// Removal that takes effect later, unless the target is listed again before.
#[derive(Clone, Copy, Debug)]
struct DeferredRemoval {
    revision: u64,
    effective_at_ms: Millis,
}

impl TargetEntry {
    /// Returns the revision of the last change of the entry, including a deferred removal.
    fn latest_revision(&self) -> u64 {
        let removal = self.removal.map(|removal| removal.revision);
        removal.unwrap_or(self.revision)
    }
}

/// Position of a change: the store's revision, and this node's own sequence number.
#[derive(Clone, Copy, Debug, Default)]
struct ChangeStamp {
    revision: u64,
    sequence: u64,
}

/// Replica of the store's tables at one node.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    configuration: Option<Arc<Configuration>>,
    configuration_stamp: ChangeStamp,
    data_centres: IndexMap<Name, (ChangeStamp, bool)>,
    targets: IndexMap<Name, TargetEntry>,
    tombstones: IndexMap<Name, ChangeStamp>,
    /// Sequence number of the last change that this node applied.
    sequence: u64,
    operator_revision: u64,
    targets_revision: u64,
    current_at_ms: [Millis; 2],
    is_store_lost: [bool; 2],
    defer_removals_until_ms: Millis,
    /// Last revision whose removals are deferred: that of the first batch after the outage.
    /// `None` until that batch arrives.
    last_deferred_revision: Option<u64>,
}

impl Directory {
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force, if one is known.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the last known revision of a table; 0 if it was never read.
    pub fn revision(&self, table: Table) -> u64 {
        match table {
            Table::Operator => self.operator_revision,
            Table::Targets => self.targets_revision,
        }
    }

    /// Returns when a table was last known to be up to date.
    pub fn current_at_ms(&self, table: Table) -> Millis {
        self.current_at_ms[table as usize]
    }

    /// Returns whether both tables were read at least once.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.targets_revision > 0
    }

    /// Returns whether a data centre is out of service.
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|(_, is_out)| *is_out)
    }

    /// Returns the listed targets and the time when the entry of each was read.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Millis)> {
        self.targets
            .values()
            .map(|listed| (&listed.target, listed.read_ms))
    }

    /// Returns the listed target with an ID.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.get(id).map(|listed| &listed.target)
    }

    /// Records that a table could not be read.
    pub fn record_store_lost(&mut self, table: Table) {
        self.is_store_lost[table as usize] = true;
    }

    /// Returns whether the last attempt to read any of the tables failed.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost.contains(&true)
    }

    /// Records that a table could be read.
    ///
    /// Entries of live targets expire while the store is unavailable. Removals up to the
    /// revision of the first batch after an outage are therefore deferred. Later ones, and
    /// those of draining targets, take effect at once.
    pub fn record_store_regained(&mut self, now: Millis, table: Table) {
        let was_lost = std::mem::take(&mut self.is_store_lost[table as usize]);
        if was_lost && table == Table::Targets {
            self.defer_removals_until_ms = now + RELIST_GRACE_MS;
            self.last_deferred_revision = None;
        }
    }

    /// Records that a table was up to date at `as_of_ms`.
    pub fn record_current(&mut self, table: Table, as_of_ms: Millis) {
        let current_at_ms = &mut self.current_at_ms[table as usize];
        *current_at_ms = as_of_ms.max(*current_at_ms);
    }

    /// Marks a target as draining, as it has reported itself. Returns whether it was not
    /// marked before.
    ///
    /// The entry keeps its revision, so that the next change from the store replaces it.
    pub fn mark_draining(&mut self, target: &Target) -> bool {
        let listed = self.targets.get_mut(&target.id);
        let Some(listed) = listed.filter(|listed| listed.target.is_same_incarnation(target)) else {
            return false;
        };
        !std::mem::replace(&mut listed.target.is_draining, true)
    }

    /// Applies a batch that was up to date at `as_of_ms`.
    pub fn apply(&mut self, now: Millis, as_of_ms: Millis, batch: &Batch) -> AppliedChanges {
        self.record_current(batch.table, as_of_ms);
        if batch.table == Table::Targets {
            self.last_deferred_revision.get_or_insert(batch.revision);
        }
        let mut applied = AppliedChanges::default();
        for change in &batch.changes {
            self.apply_change(now, change, &mut applied);
        }
        if batch.is_whole {
            self.remove_missing(now, batch, &mut applied);
        }
        match batch.table {
            Table::Operator => self.operator_revision = self.operator_revision.max(batch.revision),
            Table::Targets => self.targets_revision = self.targets_revision.max(batch.revision),
        }
        applied
    }

    /// Applies the deferred removals that are due.
    pub fn apply_due_removals(&mut self, now: Millis) -> AppliedChanges {
        let due: Vec<_> = self
            .targets
            .iter()
            .filter_map(|(id, listed)| Some((id.clone(), listed.removal?)))
            .filter(|(_, removal)| removal.effective_at_ms <= now)
            .map(|(id, removal)| (id, removal.revision))
            .collect();
        let mut applied = AppliedChanges::default();
        for (id, revision) in due {
            self.delete_target(&id, revision, &mut applied);
        }
        applied
    }

    /// Returns the sequence number of the last change that this node applied.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the changes of a table after the change with sequence number `sequence`, or
    /// the whole table if it is 0.
    pub fn changes_after(&self, table: Table, sequence: u64) -> Batch {
        let changes = match table {
            Table::Operator => self.operator_changes(sequence),
            Table::Targets => self.target_changes(sequence),
        };
        Batch {
            table,
            is_whole: sequence == 0,
            revision: self.revision(table),
            changes,
        }
    }

    fn operator_changes(&self, sequence: u64) -> Vec<Change> {
        let configuration = self
            .configuration
            .iter()
            .filter(|_| self.configuration_stamp.sequence > sequence)
            .map(|configuration| Change {
                revision: self.configuration_stamp.revision,
                entry: Entry::Configuration(Arc::clone(configuration)),
            });
        let data_centres = self
            .data_centres
            .iter()
            .filter(|(_, (stamp, _))| stamp.sequence > sequence)
            .map(|(name, (stamp, is_out))| Change {
                revision: stamp.revision,
                entry: Entry::DataCentre {
                    name: name.clone(),
                    is_out: *is_out,
                },
            });
        configuration.chain(data_centres).collect()
    }

    fn target_changes(&self, sequence: u64) -> Vec<Change> {
        let listed = self
            .targets
            .values()
            .filter(|listed| listed.sequence > sequence)
            .map(|listed| match listed.removal {
                // A follower that was not cut off from the store can apply it at once.
                Some(removal) if sequence > 0 => Change {
                    revision: removal.revision,
                    entry: Entry::NoTarget(listed.target.id.clone()),
                },
                _ => Change {
                    revision: listed.revision,
                    entry: Entry::Target(listed.target.clone()),
                },
            });
        let removed = self
            .tombstones
            .iter()
            .filter(|(_, stamp)| sequence > 0 && stamp.sequence > sequence)
            .map(|(id, stamp)| Change {
                revision: stamp.revision,
                entry: Entry::NoTarget(id.clone()),
            });
        listed.chain(removed).collect()
    }

    fn next_stamp(&mut self, revision: u64) -> ChangeStamp {
        self.sequence += 1;
        ChangeStamp {
            revision,
            sequence: self.sequence,
        }
    }

    fn apply_change(&mut self, now: Millis, change: &Change, applied: &mut AppliedChanges) {
        match &change.entry {
            Entry::Configuration(configuration) => {
                let known = self.configuration.as_ref().map_or(0, |known| known.version);
                if configuration.version > known {
                    applied.configuration = Some(configuration.version);
                    self.configuration = Some(Arc::clone(configuration));
                    self.configuration_stamp = self.next_stamp(change.revision);
                }
            }
            Entry::DataCentre { name, is_out } => {
                self.set_data_centre(name, change.revision, *is_out, applied);
            }
            Entry::Target(target) => self.upsert_target(now, change.revision, target, applied),
            Entry::NoTarget(id) => self.remove_target(now, change.revision, id, applied),
        }
    }

    fn set_data_centre(
        &mut self,
        name: &Name,
        revision: u64,
        is_out: bool,
        applied: &mut AppliedChanges,
    ) {
        let known = self.data_centres.get(name).copied().unwrap_or_default();
        if revision <= known.0.revision {
            return;
        }
        if known.1 != is_out {
            applied.data_centres.push((name.clone(), is_out));
        }
        let stamp = self.next_stamp(revision);
        self.data_centres.insert(name.clone(), (stamp, is_out));
    }

    fn upsert_target(
        &mut self,
        now: Millis,
        revision: u64,
        target: &Target,
        applied: &mut AppliedChanges,
    ) {
        let id = &target.id;
        let tombstone = self.tombstones.get(id);
        if tombstone.is_some_and(|tombstone| revision <= tombstone.revision) {
            return;
        }
        let known = self.targets.get(id);
        if known.is_some_and(|known| revision <= known.latest_revision()) {
            return;
        }
        if !self.evict_from_address(revision, target, applied) {
            return;
        }
        self.tombstones.shift_remove(id);
        applied.targets.push(id.clone());
        let listed = TargetEntry {
            revision,
            sequence: self.next_stamp(revision).sequence,
            target: target.clone(),
            read_ms: now,
            removal: None,
        };
        self.targets.insert(id.clone(), listed);
    }

    /// Removes older targets at a target's address. A crashed target stays listed until its
    /// entry expires, and another may have started at its address by then.
    ///
    /// Returns `false` if `target` is itself older than another one at the address.
    fn evict_from_address(
        &mut self,
        revision: u64,
        target: &Target,
        applied: &mut AppliedChanges,
    ) -> bool {
        let others: Vec<_> = self
            .targets
            .values()
            .filter(|listed| listed.target.address == target.address)
            .filter(|listed| listed.target.id != target.id)
            .map(|listed| (listed.target.id.clone(), listed.revision))
            .collect();
        if others.iter().any(|(_, other)| *other > revision) {
            return false;
        }
        for (id, other) in others {
            self.delete_target(&id, other, applied);
        }
        true
    }

    fn remove_target(
        &mut self,
        now: Millis,
        revision: u64,
        id: &Name,
        applied: &mut AppliedChanges,
    ) {
        let Some(known) = self.targets.get(id) else {
            return;
        };
        if revision <= known.latest_revision() {
            return;
        }
        let is_deferred = now < self.defer_removals_until_ms
            && self
                .last_deferred_revision
                .is_none_or(|newest| revision <= newest);
        if is_deferred && !known.target.is_draining {
            self.defer_removal(id, revision);
            return;
        }
        self.delete_target(id, revision, applied);
    }

    fn defer_removal(&mut self, id: &Name, revision: u64) {
        let sequence = self.next_stamp(revision).sequence;
        let effective_at_ms = self.defer_removals_until_ms;
        if let Some(known) = self.targets.get_mut(id) {
            let previous_ms = known.removal.map(|removal| removal.effective_at_ms);
            known.sequence = sequence;
            known.removal = Some(DeferredRemoval {
                revision,
                effective_at_ms: previous_ms.unwrap_or(effective_at_ms),
            });
        }
    }

    fn delete_target(&mut self, id: &Name, revision: u64, applied: &mut AppliedChanges) {
        self.targets.shift_remove(id);
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
        let stamp = self.next_stamp(revision);
        self.tombstones.insert(id.clone(), stamp);
        applied.targets.push(id.clone());
    }

    fn remove_missing(&mut self, now: Millis, batch: &Batch, applied: &mut AppliedChanges) {
        match batch.table {
            Table::Operator => {
                let is_in_batch = |name: &Name| {
                    batch.changes.iter().any(|change| {
                        matches!(&change.entry, Entry::DataCentre { name: n, .. } if n == name)
                    })
                };
                let missing: Vec<_> = self
                    .data_centres
                    .keys()
                    .filter(|name| !is_in_batch(name))
                    .cloned()
                    .collect();
                for name in missing {
                    self.set_data_centre(&name, batch.revision, false, applied);
                }
            }
            Table::Targets => {
                let is_in_batch = |id: &Name| {
                    batch.changes.iter().any(
                        |change| matches!(&change.entry, Entry::Target(target) if target.id == *id),
                    )
                };
                let missing: Vec<_> = self
                    .targets
                    .keys()
                    .filter(|id| !is_in_batch(id))
                    .cloned()
                    .collect();
                for id in missing {
                    self.remove_target(now, batch.revision, &id, applied);
                }
            }
        }
    }
}
