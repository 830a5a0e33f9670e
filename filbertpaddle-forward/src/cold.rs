//! A node's share of what a cold target bears in a second.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;

const WINDOW_MS: Millis = Millis::from_secs(1);

/// Times of the requests that a node sent to one cold target.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    sent: VecDeque<Millis>,
}

impl Rate {
    /// Whether one more request fits this node's share of `per_sec`.
    ///
    /// A share is at least one request, so that a target never starves for
    /// there being more nodes than it bears requests.
    pub fn has_room(&self, now: Millis, per_sec: f64, nodes: usize) -> bool {
        let share = (per_sec / nodes.max(1) as f64).floor().max(1.0);
        let recent = self
            .sent
            .iter()
            .filter(|at| now.since(**at) < WINDOW_MS)
            .count();
        (recent as f64) < share
    }

    /// Counts a request.
    pub fn sent(&mut self, now: Millis) {
        while self
            .sent
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW_MS)
        {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
