//! Rate limit on requests to a cold target, divided among the nodes.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use crate::node_rank::NodeRank;

const WINDOW_MS: Millis = Millis::from_secs(1);

/// Returns how many requests per second `node` may send to a cold target that accepts
/// `per_sec` requests per second from all `nodes` together.
///
/// If there are more nodes than requests, each of `per_sec` nodes may send one request,
/// and the others none. A hash of target and node selects them, so that the nodes differ
/// from target to target. At least one node may send, so that no target is left without
/// requests. A node that is not in `nodes` may send none.
pub fn node_share(target: &str, per_sec: f64, node: &Name, nodes: &[Name]) -> usize {
    let limit = (per_sec as usize).max(1);
    let Some(NodeRank { rank, count }) = NodeRank::new(target, node, nodes) else {
        return 0;
    };
    if count <= limit {
        return limit / count;
    }
    usize::from(rank < limit)
}

/// Sliding window over the requests that a node has sent to one cold target.
#[derive(Clone, Debug, Default)]
pub struct SendRate {
    sent_at_ms: VecDeque<Millis>,
}

impl SendRate {
    /// Returns whether one more request is within this node's `share`.
    pub fn has_capacity(&self, now: Millis, share: usize) -> bool {
        let recent = self
            .sent_at_ms
            .iter()
            .filter(|at| now.since(**at) < WINDOW_MS)
            .count();
        recent < share
    }

    /// Records a sent request.
    pub fn record_sent(&mut self, now: Millis) {
        while self
            .sent_at_ms
            .front()
            .is_some_and(|at| now.since(*at) >= WINDOW_MS)
        {
            self.sent_at_ms.pop_front();
        }
        self.sent_at_ms.push_back(now);
    }
}
