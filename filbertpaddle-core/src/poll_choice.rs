//! Which nodes a node pulls the configuration from.
//!
//! Load pattern: relays, or the table of the platform, stop answering. Nodes then pull from more of
//! the others, in turn, and not from all at once.

use crate::name::Name;
use crate::relay;
use crate::relay::LiveNodes;

/// Number of remote relays that a node pulls from at once when its replica is
/// stale or the table is unavailable.
const REMOTE_RELAYS_PER_POLL: usize = 4;

/// State of a node on which its choice depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// Whether it has had a configuration that is recent enough to serve.
    pub is_ready: bool,
    /// Whether its replica is too old.
    pub is_stale: bool,
    /// Whether the last read of the table failed.
    pub is_table_lost: bool,
}

/// Choice of the nodes to pull from, which goes on to others each time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollChoice {
    standby_rank: usize,
    remote_offset: usize,
}

impl PollChoice {
    /// Returns the nodes to pull from now, without those that have not answered yet.
    pub fn next(&mut self, nodes: &LiveNodes, situation: Situation) -> Vec<Name> {
        let mut chosen = self.local_relays(nodes, situation);
        if nodes.local_rank() == 0 || !situation.is_ready {
            chosen.extend(self.remote_relays(nodes, situation));
        }
        chosen.retain(|node| *node != nodes.local().node && !nodes.is_pending(node));
        chosen
    }

    /// Returns the relay, and one standby relay in turn if the replica is stale.
    ///
    /// Until the node is ready, all relay candidates are returned.
    fn local_relays(&mut self, nodes: &LiveNodes, situation: Situation) -> Vec<Name> {
        let ranked = nodes.ranked(&nodes.local().data_centre);
        let candidates = ranked.into_iter().take(relay::RELAY_CANDIDATES).cloned();
        if !situation.is_ready {
            return candidates.collect();
        }
        if !situation.is_stale {
            return candidates.take(1).collect();
        }
        self.standby_rank = self.standby_rank % (relay::RELAY_CANDIDATES - 1) + 1;
        let standby_rank = self.standby_rank;
        let is_polled = |index: usize| index == 0 || index == standby_rank;
        candidates
            .enumerate()
            .filter_map(|(index, node)| is_polled(index).then_some(node))
            .collect()
    }

    fn remote_relays(&mut self, nodes: &LiveNodes, situation: Situation) -> Vec<Name> {
        let mut remote = nodes.data_centres();
        remote.retain(|data_centre| *data_centre != nodes.local().data_centre);
        if remote.is_empty() {
            return Vec::new();
        }
        let count = match situation.is_table_lost || situation.is_stale {
            true => REMOTE_RELAYS_PER_POLL,
            false => 1,
        };
        let first = self.remote_offset % remote.len();
        self.remote_offset = first + count;
        remote.rotate_left(first);
        remote
            .iter()
            .take(count)
            .filter_map(|data_centre| nodes.relay_of(data_centre))
            .collect()
    }
}
