//! Whether requests of this node reach targets in service, and what it does while none does.

use filbertpaddle_core::clock::Millis;
use slog::info;
use slog::warn;

use crate::state::State;

/// Time from the loss of all paths after which the balancer sends callers to other data centres:
/// two checks, one second apart, and the way of the next connection.
const REBALANCING_MS: Millis = Millis(2_500);

impl State {
    /// Returns whether this node serves no caller because it reaches no target in service, by any
    /// path.
    pub fn is_path_lost(&self) -> bool {
        self.watches_path() && self.service_path.get().is_lost(self.clock.now())
    }

    /// Returns whether it is in doubt whether this node reaches any target.
    pub(crate) fn is_path_in_doubt(&self) -> bool {
        let is_watched = self.watches_path();
        self.direct_path.borrow().is_in_doubt()
            || is_watched && self.service_path.get().is_in_doubt()
    }

    /// Returns whether the node is not ready while it reaches no target in service.
    pub(crate) fn watches_path(&self) -> bool {
        self.reloadable.borrow().features.path_readiness
    }

    /// Returns the time until callers that come back are likely to reach another data centre.
    pub(crate) fn until_rebalanced_ms(&self) -> Millis {
        if !self.is_path_lost() {
            return Millis::ZERO;
        }
        let lost_ms = self.service_path.get().lost_ms(self.clock.now());
        Millis(REBALANCING_MS.0.saturating_sub(lost_ms.0))
    }

    /// Records that this node, or another that it has asked, reaches targets in service.
    pub(crate) fn record_path_found(&self) {
        if !self.watches_path() {
            self.service_path.take();
            return;
        }
        let now = self.clock.now();
        let mut path = self.service_path.get();
        let lost_ms = path.lost_ms(now);
        if path.record_found() {
            info!(self.log, "node reaches targets in service again"; "lost_ms" => lost_ms.0);
            self.metrics.count("targets.path_found");
        }
        self.service_path.set(path);
    }

    /// Records that neither this node nor any that it has asked reaches targets.
    pub(crate) fn record_no_path(&self) {
        if !self.watches_path() {
            return;
        }
        let now = self.clock.now();
        let mut path = self.service_path.get();
        if path.record_none(now) {
            warn!(self.log, "no path to any target in service, refusing callers";
                "lost_ms" => path.lost_ms(now).0);
            self.metrics.count("targets.path_lost");
        }
        self.service_path.set(path);
        self.probe_due.notify_one();
    }
}
