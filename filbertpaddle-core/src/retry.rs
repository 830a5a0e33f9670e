//! Budget for retries, which prevents a retry storm towards failing targets.

use serde::Deserialize;
use serde::Serialize;

/// Units of the budget per retry.
const UNITS_PER_RETRY: u32 = 1_000;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Retries allowed per thousand successes.
    pub per_thousand: u32,
    /// Largest number of retries that the budget accumulates.
    pub burst: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            per_thousand: 100,
            burst: 20,
        }
    }
}

/// Retries that one node may still make towards one pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    settings: Settings,
    remaining_units: u32,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            remaining_units: settings.burst.saturating_mul(UNITS_PER_RETRY),
        }
    }

    /// Records a successful first attempt or retry.
    pub fn record_success(&mut self) {
        let max_units = self.settings.burst.saturating_mul(UNITS_PER_RETRY);
        self.remaining_units = self
            .remaining_units
            .saturating_add(self.settings.per_thousand)
            .min(max_units);
    }

    /// Takes one retry from the budget; `false` if it is exhausted and the failure must
    /// be reported to the caller.
    pub fn try_take(&mut self) -> bool {
        let Some(remaining_units) = self.remaining_units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.remaining_units = remaining_units;
        true
    }
}
