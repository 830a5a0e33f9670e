//! The live nodes, and which of them read the store for the others.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use filbertpaddle_core::relay::rank;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::platform_api::NodeList;

/// Interval at which a node renews its entry.
pub const RENEW_INTERVAL_MS: Millis = Millis::from_secs(30);
/// Age at which the node of an entry no longer counts as live.
pub const STALE_AGE_MS: Millis = Millis::from_secs(75);
/// Age at which any node that reads the entry removes it.
pub const REMOVAL_AGE_MS: Millis = Millis::from_secs(180);
/// Number of nodes of a data centre per reader.
const NODES_PER_READER: usize = 32;
/// Minimum CPU cores of a reader, relative to the largest node of its data centre.
const MIN_READER_CORES_RATIO: f64 = 0.6;
/// How long a node that did not respond is not chosen as a reader.
const UNRESPONSIVE_MS: Millis = Millis::from_secs(10);

/// A node's entry in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node.
    pub name: Name,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Listening address for other nodes.
    pub peers: SocketAddr,
    /// CPU cores that it may use.
    pub cores: f64,
    /// Time when the entry was written, by the store's clock.
    pub written_ms: Millis,
}

/// The list of nodes and the live ones among them.
#[derive(Clone, Debug, Default)]
pub struct Nodes {
    live: Vec<Node>,
    /// The list as last read from the store.
    list: NodeList,
    reads: u64,
    store_ms: Millis,
    read_ms: Millis,
    unresponsive_until: IndexMap<Name, Millis>,
}

impl Nodes {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how often the list has been read.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// Returns the list as last read, for followers.
    pub fn list(&self) -> &NodeList {
        &self.list
    }

    /// Returns the number of live nodes including this one, or `None` if no live node is
    /// known.
    pub fn count(&self) -> Option<usize> {
        Some(self.live.len()).filter(|count| *count > 0)
    }

    /// Returns the live nodes.
    pub fn live(&self) -> &[Node] {
        &self.live
    }

    /// Returns the nodes that read the store for `data_centre`, without unresponsive ones.
    ///
    /// The ranking depends on the entries alone, so nodes with the same list agree.
    pub fn readers(&self, now: Millis, data_centre: &Name) -> Vec<&Node> {
        let members: Vec<_> = self
            .live
            .iter()
            .filter(|node| {
                node.data_centre == *data_centre && !self.is_unresponsive(now, &node.name)
            })
            .collect();
        let largest = members.iter().map(|node| node.cores).fold(0.0, f64::max);
        let eligible = members
            .iter()
            .filter(|node| node.cores >= largest * MIN_READER_CORES_RATIO);
        let ranked = rank(data_centre, eligible.map(|node| &node.name));
        let count = members.len().div_ceil(NODES_PER_READER);
        ranked
            .into_iter()
            .take(count)
            .filter_map(|name| members.iter().find(|node| node.name == *name).copied())
            .collect()
    }

    /// Excludes a node from the readers for a while.
    pub fn mark_unresponsive(&mut self, now: Millis, name: &Name) {
        self.unresponsive_until
            .insert(name.clone(), now + UNRESPONSIVE_MS);
    }

    fn is_unresponsive(&self, now: Millis, name: &Name) -> bool {
        self.unresponsive_until
            .get(name)
            .is_some_and(|until| now < *until)
    }

    /// Returns the estimated time of the store's clock.
    pub fn store_ms(&self, now: Millis) -> Millis {
        self.store_ms + now.since(self.read_ms)
    }

    /// Replaces the list by the one read from the store; returns the entries to remove.
    pub fn update(&mut self, now: Millis, list: NodeList) -> Vec<Name> {
        self.store_ms = list.store_ms;
        self.read_ms = now;
        self.reads += 1;
        self.list = list.clone();
        let age = |node: &Node| list.store_ms.since(node.written_ms);
        let expired = list.nodes.iter().filter(|node| age(node) >= REMOVAL_AGE_MS);
        let dropped = expired.map(|node| node.name.clone()).collect();
        self.live = list
            .nodes
            .iter()
            .filter(|node| age(node) < STALE_AGE_MS)
            .cloned()
            .collect();
        dropped
    }
}
