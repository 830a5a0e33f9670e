//! Pace of a stream: the gaps between its events, against the goal of its route.

use filbertpaddle_core::clock::Millis;

/// Gaps between the events of one stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamPace {
    last_event_ms: Option<Millis>,
    events: u64,
    late_gaps: u64,
    longest_gap_ms: Millis,
}

impl StreamPace {
    /// Creates the pace of a stream without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an event; returns the gap before it unless it is the first.
    pub fn record_event(&mut self, now: Millis, goal_ms: Option<Millis>) -> Option<Millis> {
        self.events += 1;
        let gap_ms = now.since(self.last_event_ms.replace(now)?);
        self.longest_gap_ms = self.longest_gap_ms.max(gap_ms);
        if goal_ms.is_some_and(|goal_ms| gap_ms > goal_ms) {
            self.late_gaps += 1;
        }
        Some(gap_ms)
    }

    /// Returns the number of events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the number of gaps above the goal.
    pub fn late_gaps(&self) -> u64 {
        self.late_gaps
    }

    /// Returns the longest gap.
    pub fn longest_gap_ms(&self) -> Millis {
        self.longest_gap_ms
    }
}
