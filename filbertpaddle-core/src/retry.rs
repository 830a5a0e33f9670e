//! Budget for retries, so that failing targets are not answered by a storm.

use serde::Deserialize;
use serde::Serialize;

/// Parts of a retry in which the budget is counted.
const RETRY: u32 = 1_000;

/// How many retries are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Retries allowed for each thousand successes.
    pub per_thousand: u32,
    /// Retries allowed at once after a long run of successes.
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

/// The retries that one node may still make towards one pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    settings: Settings,
    left: u32,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            left: settings.burst.saturating_mul(RETRY),
        }
    }

    /// Records a first attempt or retry that succeeded.
    pub fn record_success(&mut self) {
        let most = self.settings.burst.saturating_mul(RETRY);
        self.left = self
            .left
            .saturating_add(self.settings.per_thousand)
            .min(most);
    }

    /// Takes one retry; `false` if the failure must be told to the caller.
    pub fn try_take(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(RETRY) else {
            return false;
        };
        self.left = left;
        true
    }
}
