//! Concurrency limit of a target, adapted to its load reports.

use crate::clock::Millis;
use crate::report::Report;

/// Minimum time between two increases of a warm target's limit.
pub const STEP_INTERVAL_MS: Millis = Millis(1_000);

/// A target's concurrency limit.
///
/// It doubles while a warm target copes with its load, and falls back to the
/// cold limit at once when the target is cold or has restarted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limit {
    incarnation: u64,
    taken_ms: Millis,
    last_step_ms: Millis,
    warm: bool,
    cold_limit: u32,
    preemptions: u64,
    current: u32,
}

impl Limit {
    /// Returns the limit after a first report.
    ///
    /// A warm target starts from the load that it already runs, since it may
    /// have been warmed up under another owner.
    pub fn new(report: &Report) -> Self {
        let running = report.running.min(report.warm_limit);
        Self {
            incarnation: report.incarnation,
            taken_ms: report.taken_ms,
            last_step_ms: report.taken_ms,
            warm: report.warm,
            cold_limit: report.cold_limit,
            preemptions: report.preemptions,
            current: match report.warm {
                true => running.max(report.cold_limit),
                false => report.cold_limit,
            },
        }
    }

    /// Updates the limit from a report; one taken before the last is ignored.
    pub fn apply_report(&mut self, report: &Report) {
        if report.taken_ms < self.taken_ms {
            return;
        }
        if !report.warm || report.incarnation != self.incarnation {
            let warm = report.warm;
            *self = Self::new(report);
            self.warm = warm;
            self.current = report.cold_limit;
            return;
        }
        let is_coping = report.preemptions == self.preemptions && report.waiting == 0;
        self.taken_ms = report.taken_ms;
        self.warm = true;
        self.cold_limit = report.cold_limit;
        self.preemptions = report.preemptions;
        self.adjust(report, is_coping);
    }

    /// Returns how much work the target may have at once.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether the target is cold, so that its limit must never be exceeded.
    pub fn is_cold(&self) -> bool {
        !self.warm
    }

    /// Returns when the last report was taken.
    pub fn taken_ms(&self) -> Millis {
        self.taken_ms
    }

    fn adjust(&mut self, report: &Report, is_coping: bool) {
        let is_due = report.taken_ms.since(self.last_step_ms) >= STEP_INTERVAL_MS;
        // Only a target that runs at least half of its limit gives evidence
        // that it can take more.
        let is_half_used = report.running.saturating_mul(2) >= self.current;
        if is_due && is_coping && is_half_used {
            self.last_step_ms = report.taken_ms;
            self.current = self.current.saturating_mul(2).max(1);
        }
        self.current = self.current.min(report.warm_limit);
    }
}
