//! Roll-outs as held by one node: orders, records, counts and what follows for requests.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::revision::Revision;
use crate::rollout_counts::CountsChange;
use crate::rollout_counts::Outcome;
use crate::rollout_counts::Side;
use crate::rollout_judge::Verdict;
use crate::rollout_record::OrderError;
use crate::rollout_record::RolloutLimits;
use crate::rollout_record::RolloutOrder;
use crate::rollout_record::RolloutRecord;
use crate::rollout_split::NewTarget;
use crate::rollout_split::VersionCount;
use crate::rollout_stage::StepInputs;
use crate::service_rollout::ServiceRollout;

/// All roll-outs, as held by one node. `now` is the node's own clock throughout.
#[derive(Clone, Debug)]
pub struct Rollouts {
    source: Name,
    limits: RolloutLimits,
    services: IndexMap<Name, ServiceRollout>,
}

/// Where a link stands in sending counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CountsCursor {
    sent: IndexMap<Name, (Revision, u64)>,
}

impl Rollouts {
    /// Creates the roll-outs of a node without orders. `source` names its process: node and
    /// incarnation, so that no other process ever counts under this name.
    pub fn new(source: Name, limits: RolloutLimits) -> Self {
        Self {
            source,
            limits,
            services: IndexMap::new(),
        }
    }

    /// Applies changed limits.
    pub fn set_limits(&mut self, limits: RolloutLimits) {
        self.limits = limits;
    }

    /// Applies the versions that the listed targets of a service have, with the number of targets
    /// of each. To be called whenever the list changes, also when a service has no targets left.
    pub fn on_targets(&mut self, now: Millis, service: &Name, versions: &[VersionCount]) {
        if versions.is_empty() && !self.services.contains_key(service) {
            return;
        }
        let rollout = self.services.entry(service.clone()).or_default();
        rollout.on_targets(now, versions);
    }

    /// Applies an order of the store, written at revision `ordered`; returns whether it is new.
    /// `is_known` states whether the service is configured.
    ///
    /// # Errors
    ///
    /// Returns why the order changes nothing; the caller logs it once per revision.
    pub fn on_order(
        &mut self,
        order: &RolloutOrder,
        ordered: Revision,
        is_known: bool,
    ) -> Result<bool, OrderError> {
        let known = self.services.get(&order.service);
        if known.is_some_and(|rollout| rollout.last_order() >= ordered) {
            return Ok(false);
        }
        if known.is_some_and(|rollout| rollout.was_ignored(ordered)) {
            return Err(OrderError::AlreadyThere(order.version.clone()));
        }
        let versions = known.map(ServiceRollout::versions).unwrap_or_default();
        let checked = order.check(is_known.then_some(versions.as_slice()));
        if let Err(OrderError::AlreadyThere(_)) = checked
            && let Some(rollout) = self.services.get_mut(&order.service)
        {
            rollout.ignore(ordered);
        }
        checked?;
        let rollout = self.services.entry(order.service.clone()).or_default();
        rollout.set_order(order.clone(), ordered);
        Ok(true)
    }

    /// Applies the removal of a service's order, at `revision`.
    pub fn on_order_removed(&mut self, service: &Name, revision: Revision) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.withdraw(revision);
        }
    }

    /// Applies a record that was read from the store `age_ms` ago, by this node or by a peer;
    /// returns whether it is later than the known one.
    pub fn merge_record(&mut self, now: Millis, record: &RolloutRecord, age_ms: Millis) -> bool {
        let service = record.order.service.clone();
        let rollout = self.services.entry(service).or_default();
        rollout.merge_record(now, record, age_ms)
    }

    /// Returns the latest records with the time since each was read, to be sent to peers.
    pub fn records(&self, now: Millis) -> Vec<(RolloutRecord, Millis)> {
        let records = self.services.values();
        records.filter_map(|rollout| rollout.record(now)).collect()
    }

    /// Returns the services that have an order that is neither completed nor rolled back.
    pub fn running(&self) -> impl Iterator<Item = &Name> {
        let services = self.services.iter();
        services
            .filter(|(_, rollout)| rollout.is_running())
            .map(|(service, _)| service)
    }

    /// Records a request sent to a target of `version` in a data centre.
    pub fn record_sent(
        &mut self,
        service: &Name,
        route: &Name,
        version: &Name,
        data_centre: &Name,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.record_sent(&self.source, route, version, data_centre);
        }
    }

    /// Records what became of a request at a target of `version`. Requests that the caller gave up,
    /// and those that the target refused without running them, are not recorded.
    pub fn record_answer(
        &mut self,
        now: Millis,
        service: &Name,
        route: &Name,
        version: &Name,
        data_centre: &Name,
        outcome: Outcome,
    ) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.record_answer(&self.source, route, version, data_centre, outcome);
            rollout.judge(now);
        }
    }

    /// Merges counts from another node. Counts of an order that has not arrived yet are kept
    /// for it.
    pub fn merge_counts(&mut self, now: Millis, change: &CountsChange) {
        let rollout = self.services.entry(change.service.clone()).or_default();
        rollout.merge_counts(change);
        rollout.judge(now);
    }

    /// Returns the counts, of this node and those merged, that have changed since `cursor`, and
    /// the cursor for the next call. Each link has its own; a new link starts with the default.
    pub fn counts_since(&self, cursor: &CountsCursor) -> (Vec<CountsChange>, CountsCursor) {
        let mut changes = Vec::new();
        let mut next = CountsCursor::default();
        for (service, rollout) in &self.services {
            let sent = cursor.sent.get(service).copied().unwrap_or_default();
            let (ordered, sequence) = rollout.counts_position();
            let from = if sent.0 == ordered { sent.1 } else { 0 };
            changes.extend(rollout.counts_since(service, from));
            next.sent.insert(service.clone(), (ordered, sequence));
        }
        (changes, next)
    }

    /// Returns the side that a caller's request goes to; `draw` is a random number from 0 to 1.
    /// Its attempts go only to targets that [`Self::allows`] it.
    pub fn side_for(&self, now: Millis, service: &str, draw: f64) -> Side {
        let rollout = self.services.get(service);
        rollout.map_or(Side::Old, |rollout| {
            rollout.side_for(now, &self.limits, draw)
        })
    }

    /// Returns the side that a request is sent to again, before it had a first event.
    pub fn retry_side(&self, now: Millis, service: &str) -> Side {
        // Only a record that gives all requests to the new version gives it this one.
        self.side_for(now, service, 1.0)
    }

    /// Returns whether a request of a side may go to targets of `version`.
    pub fn allows(&self, now: Millis, service: &str, side: Side, version: &str) -> bool {
        let rollout = self.services.get(service);
        rollout.is_none_or(|rollout| rollout.allows(now, side, version))
    }

    /// Returns whether requests of this service are split or some of its targets held back now;
    /// if not, [`Self::allows`] allows all targets.
    pub fn restricts(&self, now: Millis, service: &str) -> bool {
        let rollout = self.services.get(service);
        rollout.is_some_and(|rollout| rollout.restricts(now))
    }

    /// Returns which of the new version's `targets` take its requests now.
    pub fn new_targets(&self, service: &str, targets: &[NewTarget<'_>]) -> Vec<Name> {
        let rollout = self.services.get(service);
        rollout.map_or_else(Vec::new, |rollout| rollout.new_targets(targets))
    }

    /// Returns the record that this node should write now, under the condition that the row is
    /// unchanged since it was read. The outcome goes to [`Self::on_written`],
    /// [`Self::on_conflict`] or [`Self::on_write_failed`].
    pub fn next_step(
        &mut self,
        now: Millis,
        service: &Name,
        inputs: &StepInputs,
    ) -> Option<RolloutRecord> {
        let rollout = self.services.get_mut(service)?;
        rollout.judge(now);
        rollout.next_step(now, &self.limits, inputs)
    }

    /// Records that the store has accepted a record of this node, whose write began `age_ms` ago.
    pub fn on_written(&mut self, now: Millis, record: &RolloutRecord, age_ms: Millis) {
        self.on_write_failed(&record.order.service);
        self.merge_record(now, record, age_ms);
    }

    /// Records that another node was first; `current` is the row, if it was read.
    pub fn on_conflict(&mut self, now: Millis, service: &Name, current: Option<&RolloutRecord>) {
        self.on_write_failed(service);
        if let Some(record) = current {
            self.merge_record(now, record, Millis::ZERO);
        }
    }

    /// Records that a write failed, or that its outcome is unknown: the node tries again.
    pub fn on_write_failed(&mut self, service: &Name) {
        if let Some(rollout) = self.services.get_mut(service) {
            rollout.clear_pending();
        }
    }

    /// Returns the verdict on the new version of a service.
    pub fn verdict(&self, service: &str) -> Option<&Verdict> {
        self.services.get(service).map(ServiceRollout::verdict)
    }

    /// Returns the number of requests sent to a side of a service since the order, as known here.
    pub fn sent(&self, service: &str, side: Side) -> u64 {
        let rollout = self.services.get(service);
        rollout.map_or(0, |rollout| rollout.sent(side))
    }
}
