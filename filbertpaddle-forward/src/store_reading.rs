//! When a node reads the store's tables itself, and when it waits for those of another node.
//!
//! Load pattern: nodes start one by one beside sound ones, whose reader may just be down, or
//! hundreds start at once after a loss of power, with a store that accepts a limited rate of
//! calls. A node without data serves nobody, so it waits for no node that refuses it or has no
//! data either; of many such nodes a few read first, and the others receive it from these.

use filbertpaddle_core::clock::Millis;

/// How long a node that follows nobody, but has data, waits for a node to follow.
const RELINK_WAIT_MS: Millis = Millis(500);
/// How long a node without data waits for one that responds, but has none either, if no caller
/// needs it yet: all nodes of a system that starts for the first time call the store anyway.
const FIRST_START_WAIT_MS: Millis = Millis::from_secs(2);
/// Rate at which nodes that start together read the store. Each needs about four calls, and a
/// store of the usual size accepts 2,000 reads per second.
const FIRST_READS_PER_SEC: u64 = 400;
/// Delay after the first failed call; grows with each further failure.
const RETRY_DELAY_MS: Millis = Millis(150);
const MAX_RETRY_DELAY_MS: Millis = Millis(600);
/// Bounds of the delay of a node whose reader cannot read either; random, so that not all
/// nodes retry at once.
const PROBE_DELAY_MS: [Millis; 2] = [Millis(1_500), Millis(3_500)];

/// Status of the followed node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowedPeer {
    /// Whether this node follows another that responds.
    pub is_up: bool,
    /// Whether that node has lost the store, or has no data or old data.
    pub is_store_lost: bool,
}

/// What a node's decision to read the store depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Situation {
    /// Whether the node reads for others.
    pub is_reader: bool,
    /// Whether the node has all tables.
    pub has_data: bool,
    /// Status of the followed node.
    pub followed: FollowedPeer,
    /// Time when the node's data becomes too old to rely on another node for newer.
    pub outdated_from_ms: Millis,
    /// Time when the followed node was lost, or when this node could first follow one.
    pub peer_lost_ms: Millis,
    /// Time when a node first refused this one, or turned out to have no data, while this one had
    /// none; `None` on the first start of the whole system.
    pub turned_away_ms: Option<Millis>,
    /// Number of live nodes; 0 while the list of nodes is not known.
    pub nodes: usize,
    /// Random number from 0 to 1, drawn when the node started.
    pub draw: f64,
}

impl Situation {
    /// Returns the time from which the node reads the store; `None` while it waits for its first
    /// data from another.
    ///
    /// Whatever keeps newer data from arriving, the node does not wait for it beyond the age at
    /// which it can still read the store in time.
    pub fn read_from_ms(&self) -> Option<Millis> {
        if self.is_reader {
            return Some(Millis::ZERO);
        }
        if self.followed.is_up && !self.followed.is_store_lost {
            return self.has_data.then_some(self.outdated_from_ms);
        }
        match (self.has_data, self.turned_away_ms) {
            (true, _) if self.followed.is_up => Some(Millis::ZERO),
            (false, Some(at_ms)) => Some(at_ms + self.first_read_delay_ms()),
            (false, None) if self.followed.is_up => Some(self.peer_lost_ms + FIRST_START_WAIT_MS),
            (true, _) => Some(
                self.outdated_from_ms
                    .min(self.peer_lost_ms + RELINK_WAIT_MS),
            ),
            _ => Some(self.peer_lost_ms + RELINK_WAIT_MS),
        }
    }

    /// Returns the delay after failed calls; `draw` is a random number from 0 to 1.
    ///
    /// Readers retry often, for all nodes, and so does a node without data or whose reader gives
    /// no reason to expect a failure. The others retry rarely, in case only their readers cannot
    /// reach the store; but one failed call may be due to chance.
    pub fn retry_delay_ms(&self, failures: u64, draw: f64) -> Millis {
        let is_lost_to_reader = self.followed.is_up && self.followed.is_store_lost;
        if self.is_reader || !self.has_data || !is_lost_to_reader {
            return Millis(RETRY_DELAY_MS.0 * failures.min(4)).min(MAX_RETRY_DELAY_MS);
        }
        let [shortest_ms, longest_ms] = match failures {
            1 => [RETRY_DELAY_MS, MAX_RETRY_DELAY_MS],
            _ => PROBE_DELAY_MS,
        };
        shortest_ms + scaled(longest_ms.since(shortest_ms), draw)
    }

    /// Returns this node's delay before its first read among all nodes that may start with it.
    fn first_read_delay_ms(&self) -> Millis {
        if self.nodes == 0 {
            // Any number of nodes may start, and the store did not give the list to this one.
            return RELINK_WAIT_MS;
        }
        let span_ms = Millis(self.nodes as u64 * 1_000 / FIRST_READS_PER_SEC);
        scaled(span_ms, self.draw)
    }
}

fn scaled(span_ms: Millis, share: f64) -> Millis {
    Millis((span_ms.0 as f64 * share) as u64)
}
