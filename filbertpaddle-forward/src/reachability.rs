//! Data centres whose targets do not accept connections from this node.
//!
//! Load pattern: a data centre is cut off without a sign. Its targets look idle, as nobody
//! reaches them, and each request would wait for a connection to one after the other.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

/// Number of targets in a row that do not accept a connection in time before their data
/// centre counts as unreachable.
const MIN_TIMEOUTS: usize = 2;
/// How long it counts so; doubled with each further timeout.
const INITIAL_AVOID_MS: Millis = Millis(500);
/// Longest time for which a data centre is avoided before it is tried again.
const MAX_AVOID_MS: Millis = Millis(2_000);

/// Reachability of the data centres, as one node sees it.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    data_centres: IndexMap<Name, Timeouts>,
}

#[derive(Clone, Debug, Default)]
struct Timeouts {
    /// Targets that did not accept a connection since the last one that did.
    targets: Vec<Name>,
    avoided_until_ms: Millis,
    avoid_ms: Millis,
}

impl Reachability {
    /// Creates the state of a node that has tried nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target did not accept a connection in time.
    pub fn record_timeout(&mut self, now: Millis, data_centre: &Name, target: &Name) {
        let timeouts = self.data_centres.entry(data_centre.clone()).or_default();
        if !timeouts.targets.contains(target) && timeouts.targets.len() < MIN_TIMEOUTS {
            timeouts.targets.push(target.clone());
        }
        if timeouts.targets.len() >= MIN_TIMEOUTS && now >= timeouts.avoided_until_ms {
            let doubled_ms = Millis(timeouts.avoid_ms.0 * 2);
            timeouts.avoid_ms = doubled_ms.clamp(INITIAL_AVOID_MS, MAX_AVOID_MS);
            timeouts.avoided_until_ms = now + timeouts.avoid_ms;
        }
    }

    /// Records that a target of a data centre has responded.
    pub fn record_response(&mut self, data_centre: &str) {
        self.data_centres.shift_remove(data_centre);
    }

    /// Returns whether targets of a data centre are to be avoided.
    pub fn is_avoided(&self, now: Millis, data_centre: &str) -> bool {
        self.data_centres
            .get(data_centre)
            .is_some_and(|timeouts| now < timeouts.avoided_until_ms)
    }
}
