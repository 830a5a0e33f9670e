//! The nodes that are alive, as their entries in the store say.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use crate::dialect::NodeList;

/// How often a node renews its entry.
pub const RENEW_MS: Millis = Millis::from_secs(12);
/// Age at which an entry no longer counts.
pub const STALE_MS: Millis = Millis::from_secs(30);
/// Age at which an entry is dropped by whoever sees it.
pub const DROP_MS: Millis = Millis::from_secs(90);

/// A node's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Name of the node.
    pub name: Name,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// When the entry was written, by the store's clock.
    pub written_ms: Millis,
}

/// The nodes that are taken to be alive.
#[derive(Clone, Debug, Default)]
pub struct Nodes {
    live: Vec<Node>,
    store_ms: Millis,
    read_ms: Millis,
}

impl Nodes {
    /// Knows of no other node.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of nodes that are alive, this one among them.
    pub fn count(&self) -> usize {
        self.live.len().max(1)
    }

    /// The nodes that are alive.
    pub fn live(&self) -> &[Node] {
        &self.live
    }

    /// The store's clock, as far as it is known.
    pub fn store_ms(&self, now: Millis) -> Millis {
        self.store_ms + now.since(self.read_ms)
    }

    /// Takes the list as the store has it; returns the entries to drop.
    pub fn update(&mut self, now: Millis, list: NodeList) -> Vec<Name> {
        self.store_ms = list.store_ms;
        self.read_ms = now;
        let age = |node: &Node| list.store_ms.since(node.written_ms);
        let old = list.nodes.iter().filter(|node| age(node) >= DROP_MS);
        let dropped = old.map(|node| node.name.clone()).collect();
        self.live = list
            .nodes
            .iter()
            .filter(|node| age(node) < STALE_MS)
            .cloned()
            .collect();
        dropped
    }
}
