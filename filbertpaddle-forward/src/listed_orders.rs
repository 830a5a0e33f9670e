//! Orders of roll-outs as the operators' table lists them.

use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::change::Batch;
use crate::change::Change;
use crate::change::Entry;
use crate::revision::Revision;
use crate::rollout_record::RolloutOrder;
use crate::target_list::Sequence;

/// The latest entry of a service.
#[derive(Clone, Debug)]
struct ListedOrder {
    revision: Revision,
    sequence: u64,
    /// The order; `None` if it was withdrawn.
    order: Option<RolloutOrder>,
    /// Revision of a rolled back store that lacks the order. It is withdrawn unless the operator
    /// gives it again in time.
    missing_since: Option<Revision>,
}

/// Orders by service.
#[derive(Clone, Debug, Default)]
pub struct ListedOrders {
    orders: IndexMap<Name, ListedOrder>,
}

impl ListedOrders {
    /// Returns the orders in force, and the revision at which each was written.
    pub fn iter(&self) -> impl Iterator<Item = (&RolloutOrder, Revision)> {
        let listed = self.orders.values();
        listed.filter_map(|listed| Some((listed.order.as_ref()?, listed.revision)))
    }

    /// Returns the latest entry of each service, `None` for a withdrawn order, and the revision at
    /// which it changed.
    pub fn entries(&self) -> impl Iterator<Item = (&Name, Option<&RolloutOrder>, Revision)> {
        let listed = self.orders.iter();
        listed.map(|(service, listed)| (service, listed.order.as_ref(), listed.revision))
    }

    /// Applies the entry of a service; returns whether its order has changed. One that is older
    /// than the known entry is ignored.
    pub(crate) fn set(
        &mut self,
        sequence: &mut Sequence,
        revision: Revision,
        service: &Name,
        order: Option<&RolloutOrder>,
    ) -> bool {
        let known = self.orders.get(service);
        if known.is_some_and(|known| revision <= known.revision) {
            return false;
        }
        let was_ordered = known.is_some_and(|known| known.order.is_some());
        let listed = ListedOrder {
            revision,
            sequence: sequence.assign(),
            order: order.cloned(),
            missing_since: None,
        };
        self.orders.insert(service.clone(), listed);
        was_ordered || order.is_some()
    }

    /// Notes which orders a whole table does not list. One whose entry cannot be decoded is
    /// listed, and stays in force as it was.
    pub(crate) fn record_missing(&mut self, batch: &Batch) {
        let is_in_batch = |service: &Name| {
            let mut changes = batch.changes.iter();
            changes.any(|change| change.entry.rollout_service() == Some(service))
        };
        for (service, listed) in &mut self.orders {
            let is_later = batch.revision > listed.revision;
            if listed.order.is_some() && is_later && !is_in_batch(service) {
                listed.missing_since = Some(batch.revision);
            }
        }
    }

    /// Withdraws the missing orders; returns their services.
    pub(crate) fn withdraw_missing(&mut self, sequence: &mut Sequence) -> Vec<Name> {
        let listed = self.orders.iter();
        let missing: Vec<_> = listed
            .filter_map(|(service, listed)| Some((service.clone(), listed.missing_since?)))
            .collect();
        for (service, revision) in &missing {
            self.set(sequence, *revision, service, None);
        }
        missing.into_iter().map(|(service, _)| service).collect()
    }

    /// Returns the changes after the one with sequence number `sequence`.
    pub(crate) fn changes_after(&self, sequence: u64) -> impl Iterator<Item = Change> {
        let listed = self.orders.iter();
        let changed = listed.filter(move |(_, listed)| listed.sequence > sequence);
        changed.map(|(service, listed)| Change {
            revision: listed.revision,
            entry: match &listed.order {
                Some(order) => Entry::Rollout(order.clone()),
                None => Entry::NoRollout(service.clone()),
            },
        })
    }
}
