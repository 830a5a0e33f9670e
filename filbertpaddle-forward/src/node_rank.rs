//! Rank of a node among all nodes for one target, by which limits are divided.

use filbertpaddle_core::name::Name;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rank of one node among all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRank {
    /// Number of nodes with a lower rank.
    pub rank: usize,
    /// Number of all nodes.
    pub count: usize,
}

impl NodeRank {
    /// Returns the rank of `node` among `nodes`, or `None` if it is not one of them.
    ///
    /// It depends on a hash of target and node, so that the order of the nodes differs from
    /// target to target, and all nodes with the same list agree on it.
    pub fn new(target: &str, node: &Name, nodes: &[Name]) -> Option<Self> {
        if !nodes.contains(node) {
            return None;
        }
        let seed = xxh3_64(target.as_bytes());
        let hash = |name: &Name| xxh3_64_with_seed(name.as_bytes(), seed);
        let own_hash = hash(node);
        let lower = nodes.iter().filter(|name| hash(name) < own_hash);
        Some(Self {
            rank: lower.count(),
            count: nodes.len(),
        })
    }
}
