//! Which revision is in force where, as far as this node knows.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::gossip::NodeStatus;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::replicator::Replicator;
use filbertpaddle_core::revision::Revision;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::peers::Peer;

/// How long a node that is no longer connected is remembered.
const NODE_RETENTION_MS: Millis = Millis::from_secs(3_600);
/// Age of an answer beyond which a data centre counts as not answering.
const RELAY_STATUS_MAX_AGE_MS: Millis = Millis::from_secs(5);

/// What this node can say about the configuration everywhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Node that says so.
    pub node: Name,
    /// Every change up to here is in force on this node.
    pub head: Revision,
    /// How long ago this node was last known to miss nothing.
    pub age_ms: Option<Millis>,
    /// Whether this node's configuration was ever known to be recent.
    pub ready: bool,
    /// Whether the table failed to answer this node's last read.
    pub table_silent: bool,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
}

/// One data centre of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: Name,
    /// Whether one of its nodes answered now; else what follows is old.
    pub answers: bool,
    /// The nodes known there.
    pub nodes: Vec<Node>,
}

/// One node of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// What the node last said.
    #[serde(flatten)]
    pub status: NodeStatus,
    /// Whether this node is connected to it.
    pub connected: bool,
    /// Whether it is known to have all that is in force on this node.
    pub up_to_date: bool,
}

/// A node that is or was connected.
#[derive(Clone, Debug)]
struct KnownNode {
    data_centre: Name,
    connected_at: Millis,
}

/// What a data centre's relay last said.
#[derive(Clone, Debug)]
struct RelayStatus {
    at: Millis,
    nodes: Vec<NodeStatus>,
}

/// All nodes that were connected lately and what relays said of them.
#[derive(Clone, Debug, Default)]
pub struct StatusTracker {
    nodes: IndexMap<Name, KnownNode>,
    relay_statuses: IndexMap<Name, RelayStatus>,
    updated_at: Millis,
}

impl StatusTracker {
    /// Takes the nodes that are connected now.
    pub fn update_connected(&mut self, now: Millis, connected: &[Peer]) {
        self.updated_at = now;
        for peer in connected {
            let known = KnownNode {
                data_centre: peer.data_centre.clone(),
                connected_at: now,
            };
            self.nodes.insert(peer.name.clone(), known);
        }
        self.nodes
            .retain(|_, known| now.since(known.connected_at) <= NODE_RETENTION_MS);
    }

    /// Takes what a relay says of its data centre.
    pub fn record_status(&mut self, now: Millis, from: &Name, nodes: &[NodeStatus]) {
        let Some(known) = self.nodes.get(from) else {
            return;
        };
        let relay_status = RelayStatus {
            at: now,
            nodes: nodes.to_vec(),
        };
        self.relay_statuses
            .insert(known.data_centre.clone(), relay_status);
    }

    /// Says what is known.
    pub fn report(&self, now: Millis, own: &Peer, replicator: &Replicator) -> Report {
        let head = replicator.replica().head();
        let mut names: Vec<_> = self
            .nodes
            .values()
            .map(|known| &known.data_centre)
            .collect();
        names.push(&own.data_centre);
        names.sort();
        names.dedup();
        let is_relay_of =
            |name: &Name| replicator.live_nodes().ranked(name).first().copied() == Some(&own.name);
        let data_centre = |name: &Name| {
            let own_status = RelayStatus {
                at: now,
                nodes: replicator.status(now),
            };
            let relay_status = if is_relay_of(name) {
                Some(&own_status)
            } else {
                self.relay_statuses.get(name)
            };
            self.data_centre(now, own, name, head, relay_status)
        };
        Report {
            node: own.name.clone(),
            head,
            age_ms: replicator.replica().current_at().map(|at| now.since(at)),
            ready: replicator.is_ready(),
            table_silent: replicator.is_table_unavailable(),
            data_centres: names.into_iter().map(data_centre).collect(),
        }
    }

    fn data_centre(
        &self,
        now: Millis,
        own: &Peer,
        name: &Name,
        head: Revision,
        relay_status: Option<&RelayStatus>,
    ) -> DataCentre {
        let mut nodes: IndexMap<Name, NodeStatus> = self
            .nodes
            .iter()
            .filter(|(_, known)| known.data_centre == *name)
            .map(|(node, _)| (node.clone(), unreported(node)))
            .collect();
        if let Some(relay_status) = relay_status {
            let elapsed_ms = now.since(relay_status.at);
            let aged = relay_status
                .nodes
                .iter()
                .map(|status| aged(status, elapsed_ms));
            nodes.extend(aged.map(|status| (status.node.clone(), status)));
        }
        nodes.sort_keys();
        let is_connected = |node: &Name| {
            let known = self.nodes.get(node);
            *node == own.name || known.is_some_and(|known| known.connected_at == self.updated_at)
        };
        let node = |status: NodeStatus| Node {
            connected: is_connected(&status.node),
            up_to_date: status.head >= Some(head),
            status,
        };
        DataCentre {
            name: name.clone(),
            answers: relay_status
                .is_some_and(|relay_status| now.since(relay_status.at) <= RELAY_STATUS_MAX_AGE_MS),
            nodes: nodes.into_values().map(node).collect(),
        }
    }
}

fn unreported(node: &Name) -> NodeStatus {
    NodeStatus {
        node: node.clone(),
        head: None,
        age_ms: None,
        heard_ms: None,
    }
}

/// Adds the time since a relay said so.
fn aged(status: &NodeStatus, elapsed_ms: Millis) -> NodeStatus {
    let add = |age_ms: Option<Millis>| age_ms.map(|age_ms| age_ms + elapsed_ms);
    NodeStatus {
        node: status.node.clone(),
        head: status.head,
        age_ms: add(status.age_ms),
        heard_ms: add(status.heard_ms),
    }
}
