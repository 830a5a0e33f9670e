//! What a node knows of configuration, targets and data centres out of service.
//!
//! Entries arrive from the store's feeds or from a peer that follows them. Each
//! has the store's revision, so that only newer ones are taken, in any order.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::target::Target;

/// How long after the store's return living targets take to be listed again:
/// about two seconds, by the users' word.
const RELIST_MS: Millis = Millis(2_500);
/// Most removed entries whose revisions are kept against stale copies.
const REMOVED_KEPT: usize = 1_024;

/// A table that nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// What operators decide.
    Operator,
    /// The targets' own entries.
    Targets,
}

/// One entry that changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the store at which it changed.
    pub revision: u64,
    /// What it says now.
    pub entry: Entry,
}

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The configuration.
    Configuration(Arc<Configuration>),
    /// A data centre is out of service, or in.
    DataCentre {
        /// The data centre.
        name: Name,
        /// Whether it is out of service.
        is_out: bool,
    },
    /// A target's entry.
    Target(Target),
    /// A target has no usable entry.
    NoTarget(Name),
}

/// All changes of a table, or some.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The table.
    pub table: Table,
    /// Whether what the batch does not name does not exist.
    pub is_whole: bool,
    /// Revision up to which the table is known after the batch.
    pub revision: u64,
    /// The changes.
    pub changes: Vec<Change>,
}

/// What changed by a batch; for logs and those who wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// Version of a configuration that came into force.
    pub configuration: Option<u64>,
    /// Data centres that went out of service or came back, with the new state.
    pub data_centres: Vec<(Name, bool)>,
    /// Targets that are new, changed or gone.
    pub targets: Vec<Name>,
}

impl AppliedChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none() && self.data_centres.is_empty() && self.targets.is_empty()
    }
}

/// A listed target with the revision of its entry.
#[derive(Clone, Debug)]
struct Listed {
    revision: u64,
    sequence: u64,
    target: Target,
    read_ms: Millis,
    /// A removal that is doubted.
    removal: Option<Removal>,
}

/// A removal that is doubted for a while.
#[derive(Clone, Copy, Debug)]
struct Removal {
    revision: u64,
    believed_at_ms: Millis,
}

impl Listed {
    /// Revision of the last word on the target.
    fn newest(&self) -> u64 {
        let removal = self.removal.map(|removal| removal.revision);
        removal.unwrap_or(self.revision)
    }
}

/// When something changed: by the store, and in the order of this node.
#[derive(Clone, Copy, Debug, Default)]
struct At {
    revision: u64,
    sequence: u64,
}

/// What one node knows.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    configuration: Option<Arc<Configuration>>,
    configuration_at: At,
    data_centres: IndexMap<Name, (At, bool)>,
    targets: IndexMap<Name, Listed>,
    removed: IndexMap<Name, At>,
    /// Number of the last change that this node took.
    sequence: u64,
    operator_revision: u64,
    targets_revision: u64,
    heard_ms: [Millis; 2],
    is_store_lost: [bool; 2],
    doubt_until_ms: Millis,
    /// Newest revision whose removals are doubted; the next batch says it.
    doubt_revision: Option<u64>,
}

impl Directory {
    /// Knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force, if one is known.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Revision up to which a table is known; 0 if it was never read.
    pub fn revision(&self, table: Table) -> u64 {
        match table {
            Table::Operator => self.operator_revision,
            Table::Targets => self.targets_revision,
        }
    }

    /// When a table was last known to be up to date.
    pub fn current_at_ms(&self, table: Table) -> Millis {
        self.heard_ms[table as usize]
    }

    /// Whether both tables were read at least once.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.targets_revision > 0
    }

    /// Whether a data centre is out of service.
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|(_, is_out)| *is_out)
    }

    /// The listed targets, with when the entry of each was read.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Millis)> {
        self.targets
            .values()
            .map(|listed| (&listed.target, listed.read_ms))
    }

    /// Returns a listed target.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.get(id).map(|listed| &listed.target)
    }

    /// Notes that a table could not be read.
    pub fn record_store_lost(&mut self, table: Table) {
        self.is_store_lost[table as usize] = true;
    }

    /// Whether a table could not be read when it was last tried.
    pub fn is_store_lost(&self) -> bool {
        self.is_store_lost.contains(&true)
    }

    /// Notes that a table could be read. Entries of living targets lapse while
    /// the store is away, so what it then says to be gone is doubted for a while.
    /// What goes later is believed at once.
    pub fn record_store_regained(&mut self, now: Millis, table: Table) {
        let was_lost = std::mem::take(&mut self.is_store_lost[table as usize]);
        if was_lost && table == Table::Targets {
            self.doubt_until_ms = now + RELIST_MS;
            self.doubt_revision = None;
        }
    }

    /// A table was known to be up to date at `as_of_ms`.
    pub fn record_current(&mut self, table: Table, as_of_ms: Millis) {
        let heard_ms = &mut self.heard_ms[table as usize];
        *heard_ms = as_of_ms.max(*heard_ms);
    }

    /// Takes a target's own word that it leaves; returns whether that is news.
    ///
    /// The entry stays as it is until the store says the same or more.
    pub fn mark_draining(&mut self, target: &Target) -> bool {
        let listed = self.targets.get_mut(&target.id);
        let Some(listed) = listed.filter(|listed| listed.target.is_same_instance(target)) else {
            return false;
        };
        !std::mem::replace(&mut listed.target.is_draining, true)
    }

    /// Takes a batch that was up to date at `as_of_ms`.
    pub fn apply(&mut self, now: Millis, as_of_ms: Millis, batch: &Batch) -> AppliedChanges {
        self.record_current(batch.table, as_of_ms);
        if batch.table == Table::Targets {
            self.doubt_revision.get_or_insert(batch.revision);
        }
        let mut effect = AppliedChanges::default();
        for change in &batch.changes {
            self.change(now, change, &mut effect);
        }
        if batch.is_whole {
            self.drop_missing(now, batch, &mut effect);
        }
        match batch.table {
            Table::Operator => self.operator_revision = self.operator_revision.max(batch.revision),
            Table::Targets => self.targets_revision = self.targets_revision.max(batch.revision),
        }
        effect
    }

    /// Believes the removals whose doubt has passed.
    pub fn apply_due_removals(&mut self, now: Millis) -> AppliedChanges {
        let due: Vec<_> = self
            .targets
            .iter()
            .filter_map(|(id, listed)| Some((id.clone(), listed.removal?)))
            .filter(|(_, removal)| removal.believed_at_ms <= now)
            .map(|(id, removal)| (id, removal.revision))
            .collect();
        let mut effect = AppliedChanges::default();
        for (id, revision) in due {
            self.forget(&id, revision, &mut effect);
        }
        effect
    }

    /// Number of the last change that this node took.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns what of a table changed here after the change numbered `sequence`.
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
            .filter(|_| self.configuration_at.sequence > sequence)
            .map(|configuration| Change {
                revision: self.configuration_at.revision,
                entry: Entry::Configuration(Arc::clone(configuration)),
            });
        let data_centres = self
            .data_centres
            .iter()
            .filter(|(_, (at, _))| at.sequence > sequence)
            .map(|(name, (at, is_out))| Change {
                revision: at.revision,
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
                // Whoever has not lost the store need not doubt.
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
            .removed
            .iter()
            .filter(|(_, at)| sequence > 0 && at.sequence > sequence)
            .map(|(id, at)| Change {
                revision: at.revision,
                entry: Entry::NoTarget(id.clone()),
            });
        listed.chain(removed).collect()
    }

    fn next_at(&mut self, revision: u64) -> At {
        self.sequence += 1;
        At {
            revision,
            sequence: self.sequence,
        }
    }

    fn change(&mut self, now: Millis, change: &Change, effect: &mut AppliedChanges) {
        match &change.entry {
            Entry::Configuration(configuration) => {
                let known = self.configuration.as_ref().map_or(0, |known| known.version);
                if configuration.version > known {
                    effect.configuration = Some(configuration.version);
                    self.configuration = Some(Arc::clone(configuration));
                    self.configuration_at = self.next_at(change.revision);
                }
            }
            Entry::DataCentre { name, is_out } => {
                self.set_data_centre(name, change.revision, *is_out, effect);
            }
            Entry::Target(target) => self.list(now, change.revision, target, effect),
            Entry::NoTarget(id) => self.remove(now, change.revision, id, effect),
        }
    }

    fn set_data_centre(
        &mut self,
        name: &Name,
        revision: u64,
        is_out: bool,
        effect: &mut AppliedChanges,
    ) {
        let known = self.data_centres.get(name).copied().unwrap_or_default();
        if revision <= known.0.revision {
            return;
        }
        if known.1 != is_out {
            effect.data_centres.push((name.clone(), is_out));
        }
        let at = self.next_at(revision);
        self.data_centres.insert(name.clone(), (at, is_out));
    }

    fn list(&mut self, now: Millis, revision: u64, target: &Target, effect: &mut AppliedChanges) {
        let id = &target.id;
        let removed = self.removed.get(id);
        if removed.is_some_and(|removed| revision <= removed.revision) {
            return;
        }
        let known = self.targets.get(id);
        if known.is_some_and(|known| revision <= known.newest()) {
            return;
        }
        if !self.take_address(revision, target, effect) {
            return;
        }
        self.removed.shift_remove(id);
        effect.targets.push(id.clone());
        let listed = Listed {
            revision,
            sequence: self.next_at(revision).sequence,
            target: target.clone(),
            read_ms: now,
            removal: None,
        };
        self.targets.insert(id.clone(), listed);
    }

    /// Forgets older targets at a target's address: a crashed one stays listed
    /// until its entry lapses, while another may have started in its place.
    /// Returns `false` if the target is itself the older one.
    fn take_address(
        &mut self,
        revision: u64,
        target: &Target,
        effect: &mut AppliedChanges,
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
            self.forget(&id, other, effect);
        }
        true
    }

    fn remove(&mut self, now: Millis, revision: u64, id: &Name, effect: &mut AppliedChanges) {
        let Some(known) = self.targets.get(id) else {
            return;
        };
        if revision <= known.newest() {
            return;
        }
        let is_doubted = now < self.doubt_until_ms
            && self.doubt_revision.is_none_or(|newest| revision <= newest);
        if is_doubted && !known.target.is_draining {
            self.doubt(id, revision);
            return;
        }
        self.forget(id, revision, effect);
    }

    fn doubt(&mut self, id: &Name, revision: u64) {
        let sequence = self.next_at(revision).sequence;
        let believed_at_ms = self.doubt_until_ms;
        if let Some(known) = self.targets.get_mut(id) {
            let before = known.removal.map(|removal| removal.believed_at_ms);
            known.sequence = sequence;
            known.removal = Some(Removal {
                revision,
                believed_at_ms: before.unwrap_or(believed_at_ms),
            });
        }
    }

    fn forget(&mut self, id: &Name, revision: u64, effect: &mut AppliedChanges) {
        self.targets.shift_remove(id);
        if self.removed.len() >= REMOVED_KEPT {
            self.removed.shift_remove_index(0);
        }
        let at = self.next_at(revision);
        self.removed.insert(id.clone(), at);
        effect.targets.push(id.clone());
    }

    fn drop_missing(&mut self, now: Millis, batch: &Batch, effect: &mut AppliedChanges) {
        match batch.table {
            Table::Operator => {
                let named = |name: &Name| {
                    batch.changes.iter().any(|change| {
                        matches!(&change.entry, Entry::DataCentre { name: n, .. } if n == name)
                    })
                };
                let gone: Vec<_> = self
                    .data_centres
                    .keys()
                    .filter(|name| !named(name))
                    .cloned()
                    .collect();
                for name in gone {
                    self.set_data_centre(&name, batch.revision, false, effect);
                }
            }
            Table::Targets => {
                let named = |id: &Name| {
                    batch.changes.iter().any(
                        |change| matches!(&change.entry, Entry::Target(target) if target.id == *id),
                    )
                };
                let gone: Vec<_> = self
                    .targets
                    .keys()
                    .filter(|id| !named(id))
                    .cloned()
                    .collect();
                for id in gone {
                    self.remove(now, batch.revision, &id, effect);
                }
            }
        }
    }
}
