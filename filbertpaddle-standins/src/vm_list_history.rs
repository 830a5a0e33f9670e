//! The platform's list of VMs, which lags.

use std::time::Duration;
use std::time::Instant;

use filbertpaddle_platform::protocol::VmList;

/// Past lists that are kept for answers that lag.
const MAX_LISTS: usize = 64;

/// The list of VMs as it changed over time.
#[derive(Clone, Debug, Default)]
pub struct VmListHistory {
    lists: Vec<(Instant, VmList)>,
}

impl VmListHistory {
    /// Sets the list as of now.
    pub fn set(&mut self, list: VmList, now: Instant) {
        if self.lists.len() == MAX_LISTS {
            self.lists.remove(0);
        }
        self.lists.push((now, list));
    }

    /// Returns the list as it was `lag` ago, or the oldest that is kept.
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
