//! A node's share of the retries that all nodes may make towards a service.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;

/// What all nodes together may retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in a window besides.
    pub slack: f64,
    /// Length of a window.
    pub window_ms: Millis,
}

/// Part of a node's share that it uses, since its requests and its retries
/// are not counted in quite the same windows.
const USED_SHARE: f64 = 0.8;

/// The retries of one node towards one service.
///
/// Shares add up: each node takes its own requests and an equal part of the
/// slack, so the sum over all nodes holds whoever the requests come to.
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

    /// Counts a caller's request.
    pub fn record_request(&mut self, now: Millis) {
        self.requests.push_back(now);
    }

    /// Counts a retry that could not be put off.
    pub fn record_migration(&mut self, now: Millis) {
        self.retries.push_back(now);
    }

    /// Takes one retry; `false` if the node's share is used up. A node that does
    /// not know how many `nodes` there are has no part of the slack.
    pub fn try_acquire(&mut self, now: Millis, terms: &RetryLimits, nodes: Option<usize>) -> bool {
        self.expire(now, terms.window_ms);
        let requests = self.requests.len() as f64;
        let slack = nodes.map_or(0.0, |nodes| terms.slack / nodes.max(1) as f64);
        let share = terms.ratio * requests + slack;
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
