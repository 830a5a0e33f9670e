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
const REMEMBER_MS: Millis = Millis::from_secs(3_600);
/// Age of an answer beyond which a data centre counts as not answering.
const ANSWER_MS: Millis = Millis::from_secs(5);

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
struct Seen {
    data_centre: Name,
    connected_at: Millis,
}

/// What a data centre's relay last said.
#[derive(Clone, Debug)]
struct Answer {
    at: Millis,
    nodes: Vec<NodeStatus>,
}

/// All nodes that were connected lately and what relays said of them.
#[derive(Clone, Debug, Default)]
pub struct Known {
    nodes: IndexMap<Name, Seen>,
    answers: IndexMap<Name, Answer>,
    updated_at: Millis,
}

impl Known {
    /// Takes the nodes that are connected now.
    pub fn update(&mut self, now: Millis, connected: &[Peer]) {
        self.updated_at = now;
        for peer in connected {
            let seen = Seen {
                data_centre: peer.data_centre.clone(),
                connected_at: now,
            };
            self.nodes.insert(peer.name.clone(), seen);
        }
        self.nodes
            .retain(|_, seen| now.since(seen.connected_at) <= REMEMBER_MS);
    }

    /// Takes what a relay says of its data centre.
    pub fn take(&mut self, now: Millis, from: &Name, nodes: &[NodeStatus]) {
        let Some(seen) = self.nodes.get(from) else {
            return;
        };
        let answer = Answer {
            at: now,
            nodes: nodes.to_vec(),
        };
        self.answers.insert(seen.data_centre.clone(), answer);
    }

    /// Says what is known.
    pub fn report(&self, now: Millis, own: &Peer, spread: &Replicator) -> Report {
        let head = spread.replica().head();
        let mut names: Vec<_> = self.nodes.values().map(|seen| &seen.data_centre).collect();
        names.push(&own.data_centre);
        names.sort();
        names.dedup();
        let relays =
            |name: &Name| spread.live_nodes().ranked(name).first().copied() == Some(&own.name);
        let data_centre = |name: &Name| {
            let own_answer = Answer {
                at: now,
                nodes: spread.status(now),
            };
            let answer = if relays(name) {
                Some(&own_answer)
            } else {
                self.answers.get(name)
            };
            self.data_centre(now, own, name, head, answer)
        };
        Report {
            node: own.name.clone(),
            head,
            age_ms: spread.replica().current_at().map(|at| now.since(at)),
            ready: spread.is_ready(),
            table_silent: spread.is_table_unavailable(),
            data_centres: names.into_iter().map(data_centre).collect(),
        }
    }

    fn data_centre(
        &self,
        now: Millis,
        own: &Peer,
        name: &Name,
        head: Revision,
        answer: Option<&Answer>,
    ) -> DataCentre {
        let mut nodes: IndexMap<Name, NodeStatus> = self
            .nodes
            .iter()
            .filter(|(_, seen)| seen.data_centre == *name)
            .map(|(node, _)| (node.clone(), unknown(node)))
            .collect();
        if let Some(answer) = answer {
            let old_ms = now.since(answer.at);
            let aged = answer.nodes.iter().map(|status| aged(status, old_ms));
            nodes.extend(aged.map(|status| (status.node.clone(), status)));
        }
        nodes.sort_keys();
        let is_connected = |node: &Name| {
            let seen = self.nodes.get(node);
            *node == own.name || seen.is_some_and(|seen| seen.connected_at == self.updated_at)
        };
        let node = |status: NodeStatus| Node {
            connected: is_connected(&status.node),
            up_to_date: status.head >= Some(head),
            status,
        };
        DataCentre {
            name: name.clone(),
            answers: answer.is_some_and(|answer| now.since(answer.at) <= ANSWER_MS),
            nodes: nodes.into_values().map(node).collect(),
        }
    }
}

fn unknown(node: &Name) -> NodeStatus {
    NodeStatus {
        node: node.clone(),
        head: None,
        age_ms: None,
        heard_ms: None,
    }
}

/// Adds the time since a relay said so.
fn aged(status: &NodeStatus, old_ms: Millis) -> NodeStatus {
    let add = |age_ms: Option<Millis>| age_ms.map(|age_ms| age_ms + old_ms);
    NodeStatus {
        node: status.node.clone(),
        head: status.head,
        age_ms: add(status.age_ms),
        heard_ms: add(status.heard_ms),
    }
}
