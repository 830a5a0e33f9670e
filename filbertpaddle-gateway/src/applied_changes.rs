//! What follows from changes of the store's tables that took effect.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::change::AppliedChanges;
use slog::info;

use crate::state::State;

impl State {
    /// Logs changes that took effect, and updates what depends on them.
    pub(crate) fn record_applied(&self, source: &str, as_of_ms: Millis, applied: &AppliedChanges) {
        if applied.is_empty() {
            return;
        }
        let age_ms = self.clock.now().since(as_of_ms).0;
        if let Some(version) = applied.configuration {
            info!(self.log, "configuration applied";
                "version" => version, "source" => source, "age_ms" => age_ms);
        }
        for (name, is_out) in &applied.data_centres {
            info!(self.log, "data centre state changed";
                "data_centre" => name.as_str(), "is_out" => *is_out,
                "source" => source, "age_ms" => age_ms);
        }
        for id in &applied.targets {
            self.log_target(id, source, age_ms);
        }
        self.log_orders(source, age_ms, &applied.rollouts);
        let directory = self.directory.borrow();
        self.selector.borrow_mut().update_targets(&directory);
        let listed = directory
            .targets()
            .map(|(target, _)| (target.service.clone(), target.listed_version()));
        let now = self.clock.now();
        if self.version_history.borrow_mut().update(now, listed) {
            self.version_record.clear();
        }
        drop(directory);
        self.update_rollouts();
        self.notify();
    }

    fn log_target(&self, id: &str, source: &str, age_ms: u64) {
        let directory = self.directory.borrow();
        match directory.target(id) {
            Some(target) => info!(self.log, "target added or changed";
                "target" => id, "address" => target.address.as_str(),
                "version" => target.version.as_str(),
                "is_draining" => target.is_draining, "cold_ms" => target.cold_ms.0,
                "source" => source, "age_ms" => age_ms),
            None => info!(self.log, "target removed";
                "target" => id, "source" => source, "age_ms" => age_ms),
        }
    }
}
