//! Replication status of the configuration on all known nodes.
//!
//! Each data centre's relay reports the status of its nodes; a [`Report`] combines
//! these with the nodes that this node is or recently was connected to.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::gossip::NodeStatus;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::replicator::Replicator;
use filbertpaddle_core::revision::Revision;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::peers::Peer;

/// How long a node stays in reports after it was last connected.
const NODE_RETENTION_MS: Millis = Millis::from_secs(3_600);
/// Maximum age of a relay's status for its data centre to count as answering.
const RELAY_STATUS_MAX_AGE_MS: Millis = Millis::from_secs(5);

/// Replication status of the configuration, as one node knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Node that made the report.
    pub node: Name,
    /// Revision up to which every change is applied on this node.
    pub head: Revision,
    /// Time since this node's configuration was last known to be complete.
    pub age_ms: Option<Millis>,
    /// Whether this node's configuration was ever recent enough to serve.
    pub ready: bool,
    /// Whether this node's last read of the platform's table failed.
    pub table_silent: bool,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
}

/// One data centre of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: Name,
    /// Whether its relay sent a recent status; otherwise `nodes` is out of date.
    pub answers: bool,
    /// The known nodes of the data centre.
    pub nodes: Vec<Node>,
}

/// One node of a [`Report`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Latest known status of the node.
    #[serde(flatten)]
    pub status: NodeStatus,
    /// Whether the reporting node is connected to it.
    pub connected: bool,
    /// Whether it is known to have applied every change that the reporting node has.
    pub up_to_date: bool,
}

/// A node that is or recently was connected.
#[derive(Clone, Debug)]
struct KnownNode {
    data_centre: Name,
    connected_at: Millis,
}

/// The latest status that a data centre's relay sent.
#[derive(Clone, Debug)]
struct RelayStatus {
    at: Millis,
    nodes: Vec<NodeStatus>,
}

/// Tracks recently connected nodes and the status that relays report for them.
#[derive(Clone, Debug, Default)]
pub struct StatusTracker {
    nodes: IndexMap<Name, KnownNode>,
    relay_statuses: IndexMap<Name, RelayStatus>,
    updated_at: Millis,
}

impl StatusTracker {
    /// Records the connected nodes and drops those gone for an hour.
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

    /// Records the status that a relay sent for its data centre; ignores unknown relays.
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

    /// Returns the report of this node.
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

/// Returns a status with the time since the relay sent it added to its ages.
fn aged(status: &NodeStatus, elapsed_ms: Millis) -> NodeStatus {
    let add = |age_ms: Option<Millis>| age_ms.map(|age_ms| age_ms + elapsed_ms);
    NodeStatus {
        node: status.node.clone(),
        head: status.head,
        age_ms: add(status.age_ms),
        heard_ms: add(status.heard_ms),
    }
}
