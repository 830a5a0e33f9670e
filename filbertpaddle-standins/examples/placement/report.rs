//! Figures measured in one run of the simulation.

use hdrhistogram::Histogram;

use crate::traffic::Arrival;

/// Figures of one run.
pub(crate) struct Report {
    /// Generations that ran to their end.
    pub(crate) completed: u64,
    /// Tokens of completed generations.
    pub(crate) completed_tokens: u64,
    /// Generations refused before they ran.
    pub(crate) refused: u64,
    /// Times that a generation lost its memory pages during decoding.
    pub(crate) preemptions: u64,
    /// Total time that preempted generations waited to run again.
    pub(crate) stall_us: u64,
    /// Tokens that were not computed because a prefix cache held them.
    pub(crate) cached_tokens: u64,
    /// Tokens computed again after preemptions.
    pub(crate) recomputed_tokens: u64,
    /// Simulated time at the end of the run.
    pub(crate) end_us: u64,
    /// Sum and number of samples of the fraction of memory in use while requests are queued.
    pub(crate) memory_samples: (f64, u32),
    gaps_us: Histogram<u64>,
    first_token_us: Histogram<u64>,
    stock_first_token_us: Histogram<u64>,
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
            memory_samples: (0.0, 0),
            gaps_us: histogram(),
            first_token_us: histogram(),
            stock_first_token_us: histogram(),
        }
    }
}

impl Report {
    /// Records the time between two tokens of a generation.
    pub(crate) fn record_gap(&mut self, gap_us: u64) {
        self.gaps_us.saturating_record(gap_us);
    }

    /// Records the time from arrival to first token.
    pub(crate) fn record_first_token(&mut self, arrival: &Arrival, first_token_us: u64) {
        self.first_token_us.saturating_record(first_token_us);
        if arrival.request.priority.0 == 2 {
            self.stock_first_token_us.saturating_record(first_token_us);
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
        let first_token_secs =
            |quantile| self.first_token_us.value_at_quantile(quantile) as f64 / 1e6;
        [
            self.completed as f64,
            self.refused as f64,
            self.completed_tokens as f64 / 1e3,
            self.preemptions as f64,
            self.stall_us as f64 / 1e6,
            gap_ms(0.50),
            gap_ms(0.95),
            gap_ms(0.99),
            first_token_secs(0.50),
            first_token_secs(0.95),
            self.stock_first_token_us.value_at_quantile(0.95) as f64 / 1e6,
            self.cached_tokens as f64 / 1e3,
            100.0 * self.memory_samples.0 / f64::from(self.memory_samples.1.max(1)),
            self.end_us as f64 / 1e6,
        ]
    }
}

#[expect(clippy::expect_used, reason = "the bounds are constant")]
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000_000, 3).expect("three digits are allowed")
}
