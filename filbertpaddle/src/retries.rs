//! Retry budgets of a node, one per pool.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use filbertpaddle_core::name::Name;
use filbertpaddle_core::retry::Budget;
use filbertpaddle_core::retry::Settings;
use indexmap::IndexMap;

/// Retries that this node may still make towards each pool.
#[derive(Debug, Default)]
pub struct Retries {
    settings: Settings,
    budgets: Mutex<IndexMap<Name, Budget>>,
}

impl Retries {
    /// Creates budgets that start full.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            budgets: Mutex::default(),
        }
    }

    /// Records a complete answer from a pool.
    pub fn record_success(&self, pool: &Name) {
        if let Some(budget) = self.lock().get_mut(pool) {
            budget.record_success();
        }
    }

    /// Takes one retry from a pool's budget; `false` if it is exhausted and the failure must
    /// be reported to the caller.
    pub fn try_take(&self, pool: &Name) -> bool {
        self.lock()
            .entry(pool.clone())
            .or_insert_with(|| Budget::new(self.settings))
            .try_take()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<Name, Budget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
