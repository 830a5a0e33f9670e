//! A node's replica of the configuration, the targets and the data centres out of service.
//!
//! Entries arrive from the change feeds of the store or from a peer that follows them.
//! Each carries the store's revision, so that they can be applied in any order: an entry
//! that is older than the known one is ignored.
//!
//! If the store is rolled back to an older copy, what this node knows stays in force until
//! operators and targets have had time to write their entries again: the configuration
//! never reverts, data centres stay out of service, orders of roll-outs stay in force, and
//! targets stay listed or removed.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::change::AppliedChanges;
use crate::change::Batch;
use crate::change::Change;
use crate::change::Entry;
use crate::change::Table;
use crate::configuration::Configuration;
use crate::leaving_targets::LeavingTargets;
use crate::listed_orders::ListedOrders;
use crate::revision::Revision;
use crate::rollout_record::RolloutOrder;
use crate::target::Incarnation;
use crate::target::Target;
use crate::target_list::Sequence;
use crate::target_list::TargetList;

/// Time for which removals are deferred after the store is reachable again. Live targets
/// take about 2 s to list themselves again.
const RELIST_GRACE_MS: Millis = Millis(2_500);

/// Time for which neither this node nor a peer may have read the store while no entry of a
/// live target has expired: half of the three intervals of 1.2 s after which one does.
const MAX_UNREAD_MS: Millis = Millis(1_800);

/// Position of a change: the store's revision, and this node's own sequence number.
#[derive(Clone, Copy, Debug, Default)]
struct ChangeStamp {
    revision: Revision,
    sequence: u64,
}

/// Service state of a data centre.
#[derive(Clone, Copy, Debug, Default)]
struct DataCentreState {
    stamp: ChangeStamp,
    is_out: bool,
    /// Revision of a rolled back store that lacks the order to take it out of service. It is
    /// back in service unless the operator gives the order again in time.
    missing_since: Option<Revision>,
}

/// Replica of the store's tables at one node.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    configuration: Option<Arc<Configuration>>,
    configuration_stamp: ChangeStamp,
    data_centres: IndexMap<Name, DataCentreState>,
    targets: TargetList,
    orders: ListedOrders,
    sequence: Sequence,
    operator_revision: Revision,
    targets_revision: Revision,
    current_at_ms: [Millis; 2],
    /// Time since which the reads of each table fail.
    store_lost_at_ms: [Option<Millis>; 2],
    /// Latest known era of the store.
    era: u64,
    /// End of the time in which operators write their entries again after a rollback.
    rewrite_until_ms: Millis,
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

    /// Returns the last known revision of a table; zero if it was never read.
    pub fn revision(&self, table: Table) -> Revision {
        match table {
            Table::Operator => self.operator_revision,
            Table::Targets => self.targets_revision,
        }
    }

    /// Returns the latest known revision of any table.
    pub fn latest_revision(&self) -> Revision {
        self.operator_revision.max(self.targets_revision)
    }

    /// Returns the latest known era of the store.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Records an era of the store; returns whether the store was rolled back since the
    /// latest known one. Operators and targets are given `rewrite_ms` to write their entries
    /// again.
    pub fn record_era(&mut self, now: Millis, era: u64, rewrite_ms: Millis) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        if !self.is_complete() {
            return false;
        }
        self.rewrite_until_ms = now + rewrite_ms;
        self.targets.begin_rewrite(self.rewrite_until_ms);
        true
    }

    /// Returns when a table was last known to be up to date.
    pub fn current_at_ms(&self, table: Table) -> Millis {
        self.current_at_ms[table as usize]
    }

    /// Returns whether both tables were read at least once.
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && !self.targets_revision.is_zero()
    }

    /// Returns whether a data centre is out of service.
    pub fn is_out(&self, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|state| state.is_out)
    }

    /// Returns the listed targets and the time when the entry of each was read.
    pub fn targets(&self) -> impl Iterator<Item = (&Target, Millis)> {
        self.targets.iter()
    }

    /// Returns the listed target with an ID.
    pub fn target(&self, id: &str) -> Option<&Target> {
        self.targets.get(id)
    }

    /// Returns the targets that have announced that they leave.
    pub fn leaving(&self) -> &LeavingTargets {
        self.targets.leaving()
    }

    /// Returns the orders of roll-outs.
    pub fn orders(&self) -> &ListedOrders {
        &self.orders
    }

    /// Records that a table could not be read.
    pub fn record_store_lost(&mut self, now: Millis, table: Table) {
        self.store_lost_at_ms[table as usize].get_or_insert(now);
    }

    /// Returns whether the last attempt to read any of the tables failed.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost_at_ms.iter().any(Option::is_some)
    }

    /// Records that a table could be read.
    ///
    /// Entries of live targets expire while the store is unavailable. Removals up to the
    /// revision of the first batch after an outage are therefore deferred. Later ones, those
    /// of draining targets, and those after a failure of this node's path alone take effect at
    /// once.
    pub fn record_store_regained(&mut self, now: Millis, table: Table) {
        let lost_at_ms = self.store_lost_at_ms[table as usize].take();
        let is_outage = |lost_at_ms: Millis| !self.has_peer_read_store(now, lost_at_ms);
        if table == Table::Targets && lost_at_ms.is_some_and(is_outage) {
            let until_ms = (now + RELIST_GRACE_MS).max(self.rewrite_until_ms);
            self.targets.defer_removals(until_ms);
        }
    }

    /// Returns whether a peer has read the targets from the store since this node's own reads
    /// began to fail: then only this node's path has failed, and no entry has expired.
    fn has_peer_read_store(&self, now: Millis, lost_at_ms: Millis) -> bool {
        let current_at_ms = self.current_at_ms(Table::Targets);
        current_at_ms > lost_at_ms && now.since(current_at_ms) <= MAX_UNREAD_MS
    }

    /// Records that a table was up to date at `as_of_ms`.
    pub fn record_current(&mut self, table: Table, as_of_ms: Millis) {
        let current_at_ms = &mut self.current_at_ms[table as usize];
        *current_at_ms = as_of_ms.max(*current_at_ms);
    }

    /// Records that a target has announced itself that it leaves; returns whether it was not
    /// known to leave. It gets no more requests until it is started anew.
    pub fn mark_draining(&mut self, incarnation: &Incarnation) -> bool {
        self.targets.mark_draining(incarnation)
    }

    /// Applies a batch that was up to date at `as_of_ms`. One from an earlier era than the
    /// latest known is ignored.
    pub fn apply(&mut self, now: Millis, as_of_ms: Millis, batch: &Batch) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        if batch.revision.era < self.era {
            return applied;
        }
        self.record_current(batch.table, as_of_ms);
        if batch.table == Table::Targets {
            self.targets.begin_batch(batch.revision);
        }
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

    /// Applies the deferred changes that are due.
    pub fn apply_due(&mut self, now: Millis) -> AppliedChanges {
        let mut applied = AppliedChanges::default();
        self.targets
            .apply_due(now, &mut self.sequence, &mut applied.targets);
        if now >= self.rewrite_until_ms {
            self.return_data_centres(&mut applied);
            self.withdraw_missing_orders(&mut applied);
        }
        applied
    }

    /// Returns the sequence number of the last change that this node applied.
    pub fn sequence(&self) -> u64 {
        self.sequence.last()
    }

    /// Returns the changes of a table after the change with sequence number `sequence`, or
    /// the whole table if it is 0.
    pub fn changes_after(&self, table: Table, sequence: u64) -> Batch {
        let changes = match table {
            Table::Operator => self.operator_changes(sequence),
            Table::Targets => self.targets.changes_after(sequence),
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
            .filter(|(_, state)| state.stamp.sequence > sequence)
            .map(|(name, state)| Change {
                revision: state.stamp.revision,
                entry: Entry::DataCentre {
                    name: name.clone(),
                    is_out: state.is_out,
                },
            });
        let orders = self.orders.changes_after(sequence);
        configuration.chain(data_centres).chain(orders).collect()
    }

    fn next_stamp(&mut self, revision: Revision) -> ChangeStamp {
        ChangeStamp {
            revision,
            sequence: self.sequence.assign(),
        }
    }

    fn apply_change(&mut self, now: Millis, change: &Change, applied: &mut AppliedChanges) {
        let revision = change.revision;
        match &change.entry {
            Entry::Configuration(configuration) => {
                let known = self.configuration.as_ref().map_or(0, |known| known.version);
                if configuration.version > known {
                    applied.configuration = Some(configuration.version);
                    self.configuration = Some(Arc::clone(configuration));
                    let services = configuration.services.keys().cloned().collect();
                    self.targets.set_services(services);
                    self.configuration_stamp = self.next_stamp(revision);
                }
            }
            Entry::DataCentre { name, is_out } => {
                self.set_data_centre(name, revision, *is_out, applied);
            }
            Entry::Target(target) => {
                let changed = &mut applied.targets;
                self.targets
                    .upsert(now, &mut self.sequence, revision, target, changed);
            }
            Entry::NoTarget(id) => {
                let changed = &mut applied.targets;
                self.targets
                    .remove(now, &mut self.sequence, revision, id, changed);
            }
            Entry::Rollout(order) => {
                self.set_order(revision, &order.service, Some(order), applied);
            }
            Entry::NoRollout(service) => self.set_order(revision, service, None, applied),
            Entry::InvalidRollout(_) => {}
        }
    }

    fn set_order(
        &mut self,
        revision: Revision,
        service: &Name,
        order: Option<&RolloutOrder>,
        applied: &mut AppliedChanges,
    ) {
        let sequence = &mut self.sequence;
        if self.orders.set(sequence, revision, service, order) {
            applied.rollouts.push(service.clone());
        }
    }

    /// Withdraws the orders that a whole table lacks.
    fn withdraw_missing_orders(&mut self, applied: &mut AppliedChanges) {
        let withdrawn = self.orders.withdraw_missing(&mut self.sequence);
        applied.rollouts.extend(withdrawn);
    }

    fn set_data_centre(
        &mut self,
        name: &Name,
        revision: Revision,
        is_out: bool,
        applied: &mut AppliedChanges,
    ) {
        let known = self.data_centres.get(name).copied().unwrap_or_default();
        if revision <= known.stamp.revision {
            return;
        }
        if known.is_out != is_out {
            applied.data_centres.push((name.clone(), is_out));
        }
        let state = DataCentreState {
            stamp: self.next_stamp(revision),
            is_out,
            missing_since: None,
        };
        self.data_centres.insert(name.clone(), state);
    }

    fn remove_missing(&mut self, now: Millis, batch: &Batch, applied: &mut AppliedChanges) {
        match batch.table {
            Table::Operator => self.return_missing_data_centres(now, batch, applied),
            Table::Targets => {
                let changed = &mut applied.targets;
                self.targets
                    .remove_missing(now, &mut self.sequence, batch, changed);
            }
        }
    }

    /// Takes the data centres back into service that a whole table does not list as out of
    /// service, or notes that they are missing if the store was just rolled back.
    fn return_missing_data_centres(
        &mut self,
        now: Millis,
        batch: &Batch,
        applied: &mut AppliedChanges,
    ) {
        let is_in_batch = |name: &Name| {
            batch.changes.iter().any(
                |change| matches!(&change.entry, Entry::DataCentre { name: n, .. } if n == name),
            )
        };
        let known = self.data_centres.iter_mut();
        for (_, state) in known.filter(|(name, state)| state.is_out && !is_in_batch(name)) {
            if batch.revision > state.stamp.revision {
                state.missing_since = Some(batch.revision);
            }
        }
        self.orders.record_missing(batch);
        if now >= self.rewrite_until_ms {
            self.return_data_centres(applied);
            self.withdraw_missing_orders(applied);
        }
    }

    fn return_data_centres(&mut self, applied: &mut AppliedChanges) {
        let missing: Vec<_> = self
            .data_centres
            .iter()
            .filter_map(|(name, state)| Some((name.clone(), state.missing_since?)))
            .collect();
        for (name, revision) in missing {
            self.set_data_centre(&name, revision, false, applied);
        }
    }
}
