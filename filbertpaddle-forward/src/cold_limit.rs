//! A node's share of what a cold target bears in a second.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const WINDOW_MS: Millis = Millis::from_secs(1);

/// Requests that a node may send in a second to a cold target that bears
/// `per_sec` from all `nodes` together.
///
/// Where there are more nodes than requests, as many nodes have a share as there
/// are requests, others for each target; one at least, so that no target starves.
/// A node that no list names has none.
pub fn node_share(target: &str, per_sec: f64, node: &Name, nodes: &[Name]) -> usize {
    let most = (per_sec as usize).max(1);
    if !nodes.contains(node) {
        return 0;
    }
    if nodes.len() <= most {
        return most / nodes.len();
    }
    let seed = xxh3_64(target.as_bytes());
    let place = |name: &Name| xxh3_64_with_seed(name.as_bytes(), seed);
    let own = place(node);
    let before = nodes.iter().filter(|name| place(name) < own).count();
    usize::from(before < most)
}

/// Times of the requests that a node sent to one cold target.
#[derive(Clone, Debug, Default)]
pub struct SendRate {
    sent: VecDeque<Millis>,
}

impl SendRate {
    /// Whether one more request fits this node's share.
    pub fn has_capacity(&self, now: Millis, share: usize) -> bool {
        let recent = self
            .sent
            .iter()
            .filter(|at| now.since(**at) < WINDOW_MS)
            .count();
        recent < share
    }

    /// Counts a request.
    pub fn record_sent(&mut self, now: Millis) {
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
