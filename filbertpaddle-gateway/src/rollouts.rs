//! Roll-outs at one node: the orders and records that it holds, and what its requests add.

use std::cell::RefCell;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::allowed_targets::AllowedTargets;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::rollout_counts::CountsChange;
use filbertpaddle_forward::rollout_counts::Outcome;
use filbertpaddle_forward::rollout_counts::Side;
use filbertpaddle_forward::rollout_record::RolloutLimits;
use filbertpaddle_forward::rollout_record::RolloutOrder;
use filbertpaddle_forward::rollout_record::RolloutRecord;
use filbertpaddle_forward::rollout_split::VersionCount;
use filbertpaddle_forward::rollouts::Rollouts;
use filbertpaddle_forward::target::Target;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slog::info;
use slog::warn;

use crate::settings::Settings;
use crate::state::State;

/// Limits while the settings state none: nothing is decided then.
const NO_LIMITS: RolloutLimits = RolloutLimits {
    max_exposed_share: 0.0,
    exposed_slack: 0.0,
    rollback_ms: Millis::ZERO,
};

/// Number of nodes over which the time of reading of a record is passed on. Each adds the time of a
/// message to it; a record that went round between nodes would never be too old.
const MAX_RELAYS: u8 = 3;

/// When a record was read from the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecordReading {
    /// Time, by this node's clock.
    pub read_ms: Millis,
    /// Number of nodes that have passed it on to this one.
    pub relays: u8,
}

/// State of a node in roll-outs.
#[derive(Debug)]
pub struct RolloutView {
    /// Orders, records and counts.
    pub known: RefCell<Rollouts>,
    /// Processes whose counts this node passes on: itself and its followers.
    pub group: RefCell<IndexSet<Name>>,
    /// Latest reading of the record of each service.
    readings: RefCell<IndexMap<Name, RecordReading>>,
    /// Revision of the last order of each service that is reported to change nothing.
    ignored: RefCell<IndexMap<Name, Revision>>,
    /// Most output tokens that a request of each service was expected to need.
    output_tokens: RefCell<IndexMap<Name, u32>>,
}

impl RolloutView {
    /// Creates the roll-outs of a node without orders.
    pub fn new(settings: &Settings) -> Self {
        // No other process counts under this name.
        let source: Name = format!("{}/{:016x}", settings.node, rand::random::<u64>()).into();
        let limits = settings.reloadable.features.rollouts.unwrap_or(NO_LIMITS);
        Self {
            group: RefCell::new(IndexSet::from([source.clone()])),
            known: RefCell::new(Rollouts::new(source, limits)),
            readings: RefCell::default(),
            ignored: RefCell::default(),
            output_tokens: RefCell::default(),
        }
    }

    /// Returns the most output tokens that a request of a service was expected to need.
    pub fn output_tokens(&self, service: &Name) -> u32 {
        let known = self.output_tokens.borrow();
        known.get(service).copied().unwrap_or_default()
    }

    /// Returns the latest reading of a service's record.
    pub fn reading(&self, service: &Name) -> RecordReading {
        let readings = self.readings.borrow();
        readings.get(service).copied().unwrap_or_default()
    }

    /// Records a reading of a service's record, if it is later than the known one.
    pub fn record_reading(&self, service: &Name, reading: RecordReading) {
        let mut readings = self.readings.borrow_mut();
        let known = readings.entry(service.clone()).or_default();
        if reading.read_ms > known.read_ms {
            *known = reading;
        }
    }

    /// Records the output tokens that a request is expected to need.
    pub fn record_output_tokens(&self, service: &Name, tokens: u32) {
        let mut known = self.output_tokens.borrow_mut();
        let most = known.entry(service.clone()).or_default();
        *most = tokens.max(*most);
    }
}

impl State {
    /// Returns whether the settings call for roll-outs.
    pub fn has_rollouts(&self) -> bool {
        self.reloadable.borrow().features.rollouts.is_some()
    }

    /// Logs the services whose order of a roll-out was given, replaced or withdrawn.
    pub(crate) fn log_orders(&self, source: &str, age_ms: u64, services: &[Name]) {
        let directory = self.directory.borrow();
        for (service, order, revision) in directory.orders().entries() {
            if !services.contains(service) {
                continue;
            }
            info!(self.log, "order of a roll-out changed";
                "service" => service.as_str(), "to" => order.map(|order| order.version.as_str()),
                "is_withdrawn" => order.is_none(), "revision" => revision.number,
                "source" => source, "age_ms" => age_ms);
        }
    }

    /// Applies the listed targets and orders.
    pub fn update_rollouts(&self) {
        let Some(limits) = self.reloadable.borrow().features.rollouts else {
            return;
        };
        let now = self.clock.now();
        let directory = self.directory.borrow();
        let mut known = self.rollouts.known.borrow_mut();
        known.set_limits(limits);
        for (service, versions) in versions_by_service(&directory) {
            known.on_targets(now, &service, &versions);
        }
        for (service, order, revision) in directory.orders().entries() {
            match order {
                Some(order) => self.apply_order(&mut known, &directory, order, revision),
                None => known.on_order_removed(service, revision),
            }
        }
    }

    fn apply_order(
        &self,
        known: &mut Rollouts,
        directory: &Directory,
        order: &RolloutOrder,
        revision: Revision,
    ) {
        let service = &order.service;
        let configuration = directory.configuration();
        let is_known =
            configuration.is_some_and(|configuration| configuration.services.contains_key(service));
        match known.on_order(order, revision, is_known) {
            Ok(true) => {
                info!(self.log, "roll-out ordered";
                    "service" => service.as_str(), "to" => order.version.as_str(),
                    "duration_ms" => order.duration_ms.0,
                    "era" => revision.era, "revision" => revision.number);
                self.metrics.count("rollout.ordered");
            }
            Ok(false) => {}
            Err(error) => {
                let mut ignored = self.rollouts.ignored.borrow_mut();
                if ignored.insert(service.clone(), revision) == Some(revision) {
                    return;
                }
                warn!(self.log, "order of a roll-out changes nothing";
                    "service" => service.as_str(), "to" => order.version.as_str(),
                    "revision" => revision.number, "reason" => %error);
                self.metrics.count("rollout.order_ignored");
            }
        }
    }

    /// Chooses the side of a service's roll-out that a request goes to; `None` if there is none.
    pub fn choose_side(&self, service: &Name) -> Option<Side> {
        if !self.has_rollouts() {
            return None;
        }
        let known = self.rollouts.known.borrow();
        let now = self.clock.now();
        let is_restricted = known.restricts(now, service);
        is_restricted.then(|| known.side_for(now, service, rand::random()))
    }

    /// Returns the side that requests of a service go to which may not take part in a trial of the
    /// new version, such as those that are sent again.
    pub fn retry_side(&self, service: &Name) -> Side {
        let known = self.rollouts.known.borrow();
        known.retry_side(self.clock.now(), service)
    }

    /// Returns the targets that a request of a side may go to.
    pub fn allowed_targets(&self, demand: &RequestDemand, side: Side) -> AllowedTargets {
        if !self.has_rollouts() {
            return AllowedTargets::default();
        }
        let known = self.rollouts.known.borrow();
        let directory = self.directory.borrow();
        let now = self.clock.now();
        AllowedTargets::of(
            now,
            &known,
            &directory,
            &demand.service,
            demand.version,
            side,
        )
    }

    /// Records a request on a route that is sent to a target.
    pub fn record_rollout_sent(&self, route: &Name, target: &Target) {
        if !self.has_rollouts() {
            return;
        }
        let mut known = self.rollouts.known.borrow_mut();
        let Target {
            service,
            version,
            data_centre,
            ..
        } = target;
        known.record_sent(service, route, version, data_centre);
    }

    /// Records how a request on a route ended at a target.
    pub fn record_rollout_answer(&self, route: &Name, target: &Target, outcome: Outcome) {
        if !self.has_rollouts() {
            return;
        }
        let mut known = self.rollouts.known.borrow_mut();
        let Target {
            service,
            version,
            data_centre,
            ..
        } = target;
        let now = self.clock.now();
        known.record_answer(now, service, route, version, data_centre, outcome);
    }

    /// Returns whether a target was cold a moment ago, so that its times show nothing of its
    /// version.
    pub fn is_cold(&self, target: &Target) -> bool {
        let now = self.clock.now();
        let directory = self.directory.borrow();
        let mut listed = directory.targets();
        let found = listed.find(|(listed, _)| listed.id == target.id);
        found.is_some_and(|(listed, read_ms)| now < read_ms + listed.cold_ms)
    }

    /// Merges a record of a roll-out that `source` has read from the store, or passes on. One that
    /// was passed on too often counts, but not as read lately.
    pub fn merge_rollout_record(
        &self,
        source: &str,
        record: &RolloutRecord,
        reading: RecordReading,
    ) {
        let now = self.clock.now();
        let mut age_ms = now.since(reading.read_ms);
        if reading.relays > MAX_RELAYS {
            age_ms = now;
        } else {
            let service = &record.order.service;
            self.rollouts.record_reading(service, reading);
        }
        let mut known = self.rollouts.known.borrow_mut();
        if !known.merge_record(now, record, age_ms) {
            return;
        }
        info!(self.log, "roll-out has changed";
            "service" => record.order.service.as_str(), "to" => record.order.version.as_str(),
            "state" => %record.state, "share_per_mille" => record.share_per_mille,
            "step" => record.step, "source" => source, "age_ms" => age_ms.0);
        self.metrics.count(&format!("rollout.{}", record.state));
        drop(known);
        self.notify();
    }

    /// Merges counts of other nodes. Those that followers have sent are passed on.
    pub fn merge_rollout_counts(&self, changes: &[CountsChange], is_follower: bool) {
        if !self.has_rollouts() {
            return;
        }
        let now = self.clock.now();
        let mut known = self.rollouts.known.borrow_mut();
        for change in changes {
            if is_follower {
                let mut group = self.rollouts.group.borrow_mut();
                group.insert(change.source.clone());
            }
            known.merge_counts(now, change);
        }
    }
}

/// Returns the number of listed targets of each version that do not drain, also of services that
/// have none.
fn versions_by_service(directory: &Directory) -> IndexMap<Name, Vec<VersionCount>> {
    let configuration = directory.configuration();
    let services = configuration.iter().flat_map(|known| known.services.keys());
    let mut counts: IndexMap<Name, IndexMap<Name, usize>> = services
        .map(|service| (service.clone(), IndexMap::new()))
        .collect();
    for (target, _) in directory.targets() {
        if !target.is_draining {
            let versions = counts.entry(target.service.clone()).or_default();
            *versions.entry(target.version.clone()).or_default() += 1;
        }
    }
    let to_list = |versions: IndexMap<Name, usize>| {
        let versions = versions.into_iter();
        let counts = versions.map(|(version, targets)| VersionCount { version, targets });
        counts.collect()
    };
    let counts = counts.into_iter();
    counts
        .map(|(service, versions)| (service, to_list(versions)))
        .collect()
}
