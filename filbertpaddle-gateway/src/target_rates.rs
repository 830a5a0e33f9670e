//! Request rates that targets state as their limits.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::stated_rate::RateStatement;
use filbertpaddle_forward::stated_rate::StatedRates;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::state::State;

impl State {
    /// Records the request rate that a target states as its limit in a response to this node.
    pub fn record_stated_rate(&self, statement: &RateStatement) {
        let id = &statement.incarnation.id;
        let record = |rates: &mut StatedRates| rates.record_stated(statement);
        self.update_stated_rates(id, Some(statement), "response", record);
    }

    /// Records a request rate that another node has learned.
    pub fn merge_stated_rate(&self, statement: &RateStatement) {
        let id = &statement.incarnation.id;
        let merge = |rates: &mut StatedRates| rates.merge(statement);
        self.update_stated_rates(id, Some(statement), "peer", merge);
    }

    /// Records that the response to a request that was sent at `sent_ms` states no rate.
    pub fn record_no_stated_rate(&self, target: &Target, sent_ms: Millis) {
        let now = self.clock.now();
        let incarnation = target.incarnation();
        let end = |rates: &mut StatedRates| rates.record_none(now, &incarnation, sent_ms);
        self.update_stated_rates(&target.id, None, "response", end);
    }

    /// Calls `update`, and logs the rate that it has changed for a target.
    fn update_stated_rates<F>(
        &self,
        target: &str,
        statement: Option<&RateStatement>,
        source: &str,
        update: F,
    ) where
        F: FnOnce(&mut StatedRates) -> bool,
    {
        let is_changed = update(self.selector.borrow_mut().stated_rates_mut());
        if is_changed {
            self.log_stated_rate(target, statement, source);
        }
    }

    fn log_stated_rate(&self, target: &str, statement: Option<&RateStatement>, source: &str) {
        let now = self.clock.now();
        info!(self.log, "rate limit of target changed";
            "target" => target, "source" => source,
            "per_sec" => statement.map(|statement| statement.per_sec),
            "age_ms" => statement.map(|statement| now.since(statement.at_ms).0),
            "nodes" => self.nodes.borrow().count());
        self.metrics.count("target.rate_limit_changed");
    }
}
