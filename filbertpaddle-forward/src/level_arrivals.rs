//! Recent arrivals of a service's requests by priority level.
//!
//! Nodes exchange them with the load of the targets, as an entry of the service.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::level_load::LevelLoad;
use crate::level_load::LevelLoads;
use crate::load_table::LoadByTarget;
use crate::load_table::TargetLoad;
use crate::request_demand::RequestDemand;

/// Time over which arrivals count as recent.
pub const ARRIVAL_WINDOW_MS: Millis = Millis::from_secs(4);
/// Length of the intervals by which arrivals are counted. What is published changes once in
/// each.
const INTERVAL_MS: Millis = Millis(500);

/// Returns the key of a service's entry in the exchanged load. No target has an ID with a
/// control character.
pub fn service_key(service: &str) -> Name {
    format!("\u{1}{service}").into()
}

/// Arrivals at one node, by service.
#[derive(Clone, Debug, Default)]
pub struct LevelArrivals {
    services: IndexMap<Name, ServiceArrivals>,
}

#[derive(Clone, Debug, Default)]
struct ServiceArrivals {
    /// Arrivals of each interval that has any, the oldest first.
    intervals: VecDeque<(u64, LevelLoads)>,
}

impl LevelArrivals {
    /// Creates a record without arrivals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request has arrived, if it has a level.
    pub fn record(&mut self, now: Millis, demand: &RequestDemand) {
        let Some(level) = demand.level else {
            return;
        };
        let tokens = u64::from(demand.total_tokens);
        let load = LevelLoad {
            level,
            requests: 1,
            tokens,
            prompt_tokens: u64::from(demand.prompt_tokens),
        };
        let service = self.services.entry(demand.service.clone()).or_default();
        service.discard_old(now);
        let number = interval(now);
        match service.intervals.back_mut() {
            Some((last, loads)) if *last == number => loads.add_level(&load),
            _ => service.intervals.push_back((number, load.into())),
        }
    }

    /// Returns this node's part of a service's entry.
    pub fn service(&self, now: Millis, service: &str) -> LevelLoads {
        let service = self.services.get(service);
        service.map_or_else(LevelLoads::default, |service| service.total(now))
    }

    /// Adds the entry of each service to the load that this node publishes.
    pub fn add_to(&self, now: Millis, load: &mut LoadByTarget) {
        for (name, service) in &self.services {
            let levels = service.total(now);
            if levels.is_empty() {
                continue;
            }
            let entry = TargetLoad {
                levels,
                ..TargetLoad::default()
            };
            load.insert(service_key(name), entry);
        }
    }
}

impl ServiceArrivals {
    fn discard_old(&mut self, now: Millis) {
        let is_old = |number: u64| number < first_interval(now);
        while self.intervals.front().is_some_and(|(n, _)| is_old(*n)) {
            self.intervals.pop_front();
        }
    }

    /// Returns the arrivals of the intervals that are over.
    fn total(&self, now: Millis) -> LevelLoads {
        let mut total = LevelLoads::default();
        let recent = first_interval(now)..interval(now);
        let intervals = self.intervals.iter();
        intervals
            .filter(|(number, _)| recent.contains(number))
            .for_each(|(_, loads)| total.add(loads));
        total
    }
}

fn interval(now: Millis) -> u64 {
    now.0 / INTERVAL_MS.0
}

fn first_interval(now: Millis) -> u64 {
    interval(now).saturating_sub(ARRIVAL_WINDOW_MS.0 / INTERVAL_MS.0)
}
