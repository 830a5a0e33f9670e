//! History of the platform's VM list, for answers that lag.

use std::time::Duration;
use std::time::Instant;

use filbertpaddle_platform::protocol::VmList;

/// Lists that are kept, from which an answer that lags is taken.
const MAX_LISTS: usize = 64;

/// Past and current VM lists with their times.
#[derive(Clone, Debug, Default)]
pub struct VmListHistory {
    lists: Vec<(Instant, VmList)>,
}

impl VmListHistory {
    /// Records the list that holds from `now` on.
    pub fn set(&mut self, list: VmList, now: Instant) {
        if self.lists.len() == MAX_LISTS {
            self.lists.remove(0);
        }
        self.lists.push((now, list));
    }

    /// Returns the list as it was `lag` ago, or the oldest one kept.
    pub fn get(&self, lag: Duration, now: Instant) -> VmList {
        self.lists
            .iter()
            .rev()
            .find(|(since, _)| now.duration_since(*since) >= lag)
            .or(self.lists.first())
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
