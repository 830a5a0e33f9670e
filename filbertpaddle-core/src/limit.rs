//! How much work a target is given at once.

use crate::clock::Millis;
use crate::report::Report;

/// Time between two steps of a warm-up.
pub const STEP_MS: Millis = Millis(1_000);

/// A target's limit, learnt from its reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Limit {
    incarnation: u64,
    taken_ms: Millis,
    step_ms: Millis,
    warm: bool,
    cold_limit: u32,
    preemptions: u64,
    current: u32,
}

impl Limit {
    /// Returns the limit after a first report.
    ///
    /// A warm target starts from what it runs already, since the reporter may
    /// have been warmed up under another owner.
    pub fn new(report: &Report) -> Self {
        let running = report.running.min(report.warm_limit);
        Self {
            incarnation: report.incarnation,
            taken_ms: report.taken_ms,
            step_ms: report.taken_ms,
            warm: report.warm,
            cold_limit: report.cold_limit,
            preemptions: report.preemptions,
            current: match report.warm {
                true => running.max(report.cold_limit),
                false => report.cold_limit,
            },
        }
    }

    /// Takes in a report; one taken before the last is ignored.
    pub fn on_report(&mut self, report: &Report) {
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
        let calm = report.preemptions == self.preemptions && report.waiting == 0;
        self.taken_ms = report.taken_ms;
        self.warm = true;
        self.cold_limit = report.cold_limit;
        self.preemptions = report.preemptions;
        self.step(report, calm);
    }

    /// Returns how much work the target is given at once.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether the limit is strict because the target is cold.
    pub fn is_cold(&self) -> bool {
        !self.warm
    }

    /// Returns when the last report was taken.
    pub fn taken_ms(&self) -> Millis {
        self.taken_ms
    }

    fn step(&mut self, report: &Report, calm: bool) {
        let due = report.taken_ms.since(self.step_ms) >= STEP_MS;
        // Only a target that bore at least half of its limit has shown that
        // it can take more.
        let borne = report.running.saturating_mul(2) >= self.current;
        if due && calm && borne {
            self.step_ms = report.taken_ms;
            self.current = self.current.saturating_mul(2).max(1);
        }
        self.current = self.current.min(report.warm_limit);
    }
}
