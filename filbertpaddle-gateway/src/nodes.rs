//! The nodes that are alive, and which of them read the store for the others.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use filbertpaddle_core::relay::rank;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::platform_api::NodeList;

/// How often a node renews its entry.
pub const RENEW_INTERVAL_MS: Millis = Millis::from_secs(30);
/// Age at which an entry no longer counts.
pub const STALE_AGE_MS: Millis = Millis::from_secs(75);
/// Age at which an entry is dropped by whoever sees it.
pub const REMOVAL_AGE_MS: Millis = Millis::from_secs(180);
/// Nodes of a data centre for which one reads the store.
const NODES_PER_READER: usize = 32;
/// Part of the largest node's processor that a reader has at least.
const MIN_READER_CORES_RATIO: f64 = 0.6;
/// How long a node that did not answer is passed over as a reader.
const UNRESPONSIVE_MS: Millis = Millis::from_secs(10);

/// A node's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the node.
    pub name: Name,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Processor that it may use, in cores.
    pub cores: f64,
    /// When the entry was written, by the store's clock.
    pub written_ms: Millis,
}

/// The nodes that are taken to be alive.
#[derive(Clone, Debug, Default)]
pub struct Nodes {
    live: Vec<Node>,
    /// What the store's list said when it was last read; counts the readings.
    list: NodeList,
    reads: u64,
    store_ms: Millis,
    read_ms: Millis,
    unresponsive_until: IndexMap<Name, Millis>,
}

impl Nodes {
    /// Knows of no other node.
    pub fn new() -> Self {
        Self::default()
    }

    /// How often the list has been read.
    pub fn reads(&self) -> u64 {
        self.reads
    }

    /// The list as it was last read, to pass it on.
    pub fn list(&self) -> &NodeList {
        &self.list
    }

    /// Number of nodes that are alive, this one among them; `None` if no list
    /// tells.
    pub fn count(&self) -> Option<usize> {
        Some(self.live.len()).filter(|count| *count > 0)
    }

    /// The nodes that are alive.
    pub fn live(&self) -> &[Node] {
        &self.live
    }

    /// The nodes that read the store for `data_centre`, as far as they answer.
    ///
    /// The order depends on the entries alone, so nodes with the same list agree.
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

    /// Passes a node over as a reader for a while.
    pub fn mark_unresponsive(&mut self, now: Millis, name: &Name) {
        self.unresponsive_until
            .insert(name.clone(), now + UNRESPONSIVE_MS);
    }

    fn is_unresponsive(&self, now: Millis, name: &Name) -> bool {
        self.unresponsive_until
            .get(name)
            .is_some_and(|until| now < *until)
    }

    /// The store's clock, as far as it is known.
    pub fn store_ms(&self, now: Millis) -> Millis {
        self.store_ms + now.since(self.read_ms)
    }

    /// Takes the list as the store has it; returns the entries to drop.
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
