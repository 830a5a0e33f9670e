//! What one run measured.

use hdrhistogram::Histogram;

use crate::traffic::Arrival;

/// Figures of one run.
pub(crate) struct Report {
    /// Generations that ended by themselves.
    pub(crate) completed: u64,
    /// Tokens of completed generations.
    pub(crate) completed_tokens: u64,
    /// Generations refused before they ran.
    pub(crate) refused: u64,
    /// Generations that lost their memory in mid-decode.
    pub(crate) preemptions: u64,
    /// Time that preempted generations waited, summed.
    pub(crate) stall_us: u64,
    /// Prompt tokens that prefix caches saved.
    pub(crate) cached_tokens: u64,
    /// Tokens computed again after preemptions.
    pub(crate) recomputed_tokens: u64,
    /// When the last work ended.
    pub(crate) end_us: u64,
    /// Sum and number of samples of the part of memory in use while asks wait.
    pub(crate) memory: (f64, u32),
    gaps_us: Histogram<u64>,
    first_us: Histogram<u64>,
    small_first_us: Histogram<u64>,
}

impl Default for Report {
    fn default() -> Self {
        Self {
            completed: 0,
            completed_tokens: 0,
            refused: 0,
            preemptions: 0,
            stall_us: 0,
            cached_tokens: 0,
            recomputed_tokens: 0,
            end_us: 0,
            memory: (0.0, 0),
            gaps_us: histogram(),
            first_us: histogram(),
            small_first_us: histogram(),
        }
    }
}

impl Report {
    /// Adds the time between two tokens.
    pub(crate) fn gap(&mut self, gap_us: u64) {
        self.gaps_us.saturating_record(gap_us);
    }

    /// Adds the time to a first token.
    pub(crate) fn first(&mut self, arrival: &Arrival, first_us: u64) {
        self.first_us.saturating_record(first_us);
        if arrival.work.priority.0 == 2 {
            self.small_first_us.saturating_record(first_us);
        }
    }

    /// Names of the columns of [`Self::row`].
    pub(crate) const COLUMNS: [&str; 14] = [
        "complete",
        "refused",
        "ktokens",
        "preempt",
        "stall_s",
        "gap50_ms",
        "gap95_ms",
        "gap99_ms",
        "first50_s",
        "first95_s",
        "stock95_s",
        "cached_kt",
        "memory_%",
        "end_s",
    ];

    /// Returns the figures in the order of [`Self::COLUMNS`].
    pub(crate) fn row(&self) -> [f64; 14] {
        let gap_ms = |quantile| self.gaps_us.value_at_quantile(quantile) as f64 / 1e3;
        let first_secs = |quantile| self.first_us.value_at_quantile(quantile) as f64 / 1e6;
        [
            self.completed as f64,
            self.refused as f64,
            self.completed_tokens as f64 / 1e3,
            self.preemptions as f64,
            self.stall_us as f64 / 1e6,
            gap_ms(0.50),
            gap_ms(0.95),
            gap_ms(0.99),
            first_secs(0.50),
            first_secs(0.95),
            self.small_first_us.value_at_quantile(0.95) as f64 / 1e6,
            self.cached_tokens as f64 / 1e3,
            100.0 * self.memory.0 / f64::from(self.memory.1.max(1)),
            self.end_us as f64 / 1e6,
        ]
    }
}

#[expect(clippy::expect_used, reason = "the bounds are constant")]
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000_000, 3).expect("three digits are allowed")
}
