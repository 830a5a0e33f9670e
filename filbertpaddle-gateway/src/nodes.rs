//! The live nodes, and which of them read the store for the others.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use filbertpaddle_core::relay::rank;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::platform_api::NodeList;

/// Interval at which a node renews its entry.
pub const RENEW_INTERVAL_MS: Millis = Millis::from_secs(30);
/// Age at which the node of an entry no longer counts as live.
pub const STALE_AGE_MS: Millis = Millis::from_secs(75);
/// Age at which any node that reads the entry removes it.
pub const REMOVAL_AGE_MS: Millis = Millis::from_secs(180);
/// Time from which an entry that is ahead of the store's clock is invalid: a day. The clock goes
/// back with a rollback, so that entries are ahead for a while.
const MAX_AHEAD_MS: Millis = Millis::from_secs(86_400);
/// Time between two lists from which the entries of live nodes may be stale.
const MAX_LIST_GAP_MS: Millis = Millis(STALE_AGE_MS.0 - RENEW_INTERVAL_MS.0);
/// Number of nodes of a data centre per reader.
const NODES_PER_READER: usize = 32;
/// Minimum CPU cores of a reader, relative to the largest node of its data centre.
const MIN_READER_CORES_RATIO: f64 = 0.6;
/// Time in which live nodes write their entries again after the store was rolled back or
/// unavailable. Fewer known nodes would each take larger shares of limits.
const REWRITE_MS: Millis = Millis::from_secs(5);
/// Time in which all nodes reread their settings and write their entries to the store at its new
/// address.
const MOVE_MS: Millis = Millis::from_secs(12);
/// How long a node whose data is old is not followed.
const OUTDATED_MS: Millis = Millis::from_secs(1);
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

/// Nodes that were live when the store was rolled back, became unavailable or got another address.
/// They count as live for a while though they have not written their entries again.
#[derive(Clone, Debug, Default)]
struct CarriedNodes {
    nodes: Vec<Node>,
    until_ms: Millis,
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
    carried: CarriedNodes,
    /// End of the time in which some nodes still read the store at its former address, where it
    /// may have another clock.
    moving_until_ms: Millis,
    /// Computed with each new list, since it is sent on all links several times a second.
    fingerprint: u64,
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

    /// Returns the time by the store's clock when the list was read.
    pub fn listed_ms(&self) -> Millis {
        self.list.store_ms
    }

    /// Returns whether a node is live.
    pub fn is_live(&self, name: &str) -> bool {
        self.live.iter().any(|node| node.name == name)
    }

    /// Returns the address at which a live node listens for others.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let mut live = self.live.iter();
        live.find(|node| node.name == name).map(|node| node.peers)
    }

    /// Returns a hash of the live nodes. Nodes with the same hash agree on the readers.
    pub fn fingerprint(&self) -> u64 {
        self.fingerprint
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
        self.ranked_readers(data_centre, 0, |node| {
            !self.is_unresponsive(now, &node.name)
        })
    }

    /// Returns the readers of `data_centre` that this node currently excludes as unresponsive.
    pub fn excluded_readers(&self, now: Millis, data_centre: &Name) -> Vec<&Node> {
        let mut readers = self.ranked_readers(data_centre, 0, |_| true);
        readers.retain(|node| self.is_unresponsive(now, &node.name));
        readers
    }

    /// Returns the readers of `data_centre` and the node that would be the next one.
    ///
    /// The next one was a reader until now if this node has just started. Both learn of each
    /// other by their link before they have read the same list.
    pub fn readers_and_standby(&self, now: Millis, data_centre: &Name) -> Vec<&Node> {
        self.ranked_readers(data_centre, 1, |node| {
            !self.is_unresponsive(now, &node.name)
        })
    }

    /// Returns the readers of `data_centre` among the included nodes, and up to `standbys`
    /// nodes that are next in rank.
    fn ranked_readers<F>(&self, data_centre: &Name, standbys: usize, is_included: F) -> Vec<&Node>
    where
        F: Fn(&Node) -> bool,
    {
        let members: Vec<_> = self
            .live
            .iter()
            .filter(|node| node.data_centre == *data_centre && is_included(node))
            .collect();
        let largest = members.iter().map(|node| node.cores).fold(0.0, f64::max);
        let eligible = members
            .iter()
            .filter(|node| node.cores >= largest * MIN_READER_CORES_RATIO);
        let ranked = rank(data_centre, eligible.map(|node| &node.name));
        let count = members.len().div_ceil(NODES_PER_READER);
        ranked
            .into_iter()
            .take(count + standbys)
            .filter_map(|name| members.iter().find(|node| node.name == *name).copied())
            .collect()
    }

    /// Records that the store has another address, where its list and clock may differ: for a
    /// while the last list counts that was read, the live nodes stay live, and no entry is removed.
    pub fn record_store_moved(&mut self, now: Millis) {
        self.moving_until_ms = now + MOVE_MS;
        self.carry(self.moving_until_ms);
    }

    fn carry(&mut self, until_ms: Millis) {
        let nodes = self.live.clone();
        self.carried = CarriedNodes { nodes, until_ms };
    }

    fn add_carried(&mut self, now: Millis) {
        if now >= self.carried.until_ms {
            return;
        }
        let is_missing = |node: &&Node| !self.is_live(&node.name);
        let carried = self.carried.nodes.iter();
        let missing: Vec<_> = carried.filter(is_missing).cloned().collect();
        self.live.extend(missing);
    }

    /// Excludes a node from the readers for a while.
    pub fn mark_unresponsive(&mut self, now: Millis, name: &Name) {
        self.unresponsive_until
            .insert(name.clone(), now + UNRESPONSIVE_MS);
    }

    /// Excludes a node whose data is old for a moment: it may reach the store again soon.
    pub fn mark_outdated(&mut self, now: Millis, name: &Name) {
        self.unresponsive_until
            .insert(name.clone(), now + OUTDATED_MS);
    }

    /// Ends the exclusion of a node that responds again.
    pub fn mark_responsive(&mut self, name: &Name) {
        self.unresponsive_until.shift_remove(name);
    }

    /// Returns whether a node is excluded.
    pub fn is_unresponsive(&self, now: Millis, name: &Name) -> bool {
        self.unresponsive_until
            .get(name)
            .is_some_and(|until| now < *until)
    }

    /// Returns the estimated time of the store's clock.
    pub fn store_ms(&self, now: Millis) -> Millis {
        self.store_ms + now.since(self.read_ms)
    }

    /// Replaces the list by one read from the store; returns the entries to remove.
    ///
    /// A list that was read before the known one is ignored: a peer's list may lack nodes
    /// that have started since.
    pub fn update(&mut self, now: Millis, list: NodeList) -> Vec<Name> {
        let is_moving = now < self.moving_until_ms;
        let is_older = (list.era, list.store_ms) < (self.list.era, self.list.store_ms);
        if is_older && !is_moving {
            return Vec::new();
        }
        // Without the store for so long, nodes could not renew their entries.
        let is_gap = list.store_ms.since(self.list.store_ms) >= MAX_LIST_GAP_MS;
        if (list.era > self.list.era || is_gap && !is_moving) && !self.live.is_empty() {
            self.carry(now + REWRITE_MS);
        }
        self.store_ms = list.store_ms;
        self.read_ms = now;
        self.reads += 1;
        self.list = list.clone();
        let age = |node: &Node| list.store_ms.since(node.written_ms);
        let is_valid = |node: &Node| node.written_ms <= list.store_ms + MAX_AHEAD_MS;
        let is_expired =
            |node: &&Node| !is_moving && (age(node) >= REMOVAL_AGE_MS || !is_valid(node));
        let expired = list.nodes.iter().filter(is_expired);
        let dropped = expired.map(|node| node.name.clone()).collect();
        self.live = list
            .nodes
            .iter()
            .filter(|node| age(node) < STALE_AGE_MS && is_valid(node))
            .cloned()
            .collect();
        self.add_carried(now);
        self.fingerprint = fingerprint(&self.live);
        dropped
    }
}

/// Returns a hash of nodes that does not depend on their order.
fn fingerprint(nodes: &[Node]) -> u64 {
    let hash = |node: &Node| {
        let seed = xxh3_64(node.data_centre.as_bytes());
        let seed = xxh3_64_with_seed(node.peers.to_string().as_bytes(), seed);
        xxh3_64_with_seed(node.name.as_bytes(), seed)
    };
    nodes.iter().map(hash).fold(0, u64::wrapping_add)
}
