//! Request rates that targets state as their limit, as known to one node.
//!
//! A target in need states in its responses how many requests a second it takes from all
//! nodes together. The rate holds until a response of the target comes without one.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::target::Incarnation;

/// Latest statement of a target about its rate.
#[derive(Clone, Debug, PartialEq)]
pub struct StatedRate {
    /// Incarnation that made the statement.
    pub incarnation: Incarnation,
    /// Requests per second that it takes from all nodes together; `None` if it states no limit
    /// any more.
    pub per_sec: Option<f64>,
    /// Time of the response with the statement.
    pub at_ms: Millis,
}

/// Rates that targets state, by target.
#[derive(Clone, Debug, Default)]
pub struct StatedRates {
    entries: IndexMap<Name, StatedRate>,
}

impl StatedRates {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what a response states; returns whether the rate has changed.
    pub fn record_response(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        per_sec: Option<f64>,
    ) -> bool {
        let known = self.entries.get(&incarnation.id);
        let known = known.filter(|known| known.incarnation == *incarnation);
        if known.is_none() && per_sec.is_none() {
            return false;
        }
        let is_changed = known.is_none_or(|known| known.per_sec != per_sec);
        let statement = StatedRate {
            incarnation: incarnation.clone(),
            per_sec,
            at_ms: now,
        };
        self.entries.insert(incarnation.id.clone(), statement);
        is_changed
    }

    /// Returns the rate that an incarnation states, if it states one.
    pub fn per_sec(&self, incarnation: &Incarnation) -> Option<f64> {
        let known = self.entries.get(&incarnation.id)?;
        known.per_sec.filter(|_| known.incarnation == *incarnation)
    }

    /// Drops the statements of targets that are not `listed`.
    pub fn retain<F>(&mut self, is_listed: F)
    where
        F: Fn(&str) -> bool,
    {
        self.entries.retain(|id, _| is_listed(id));
    }
}
