//! Retry budget of a service, divided among the nodes.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;

/// Limits on the retries of all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to `ratio`.
    pub slack: f64,
    /// Length of the sliding window.
    pub window_ms: Millis,
}

/// Fraction of its share that a node uses. The margin is needed because requests and
/// retries are not counted over exactly the same windows.
const USED_SHARE: f64 = 0.8;

/// One node's share of the retry budget of one service.
///
/// A node's share is computed from its own requests and an equal part of the slack.
/// The shares of all nodes add up to the budget, however requests are spread over them.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.push_back(now);
    }

    /// Records a migration, which counts as a retry but is not subject to the limit.
    pub fn record_migration(&mut self, now: Millis) {
        self.retries.push_back(now);
    }

    /// Takes one retry, or returns `false` if the node's share is used up.
    ///
    /// If the number of `nodes` is unknown, the node has no part of the slack.
    pub fn try_acquire(&mut self, now: Millis, limits: &RetryLimits, nodes: Option<usize>) -> bool {
        self.expire(now, limits.window_ms);
        let requests = self.requests.len() as f64;
        let slack = nodes.map_or(0.0, |nodes| limits.slack / nodes.max(1) as f64);
        let share = limits.ratio * requests + slack;
        if (self.retries.len() + 1) as f64 > share * USED_SHARE {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Millis, window_ms: Millis) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.since(*at) > window_ms) {
                times.pop_front();
            }
        }
    }
}
