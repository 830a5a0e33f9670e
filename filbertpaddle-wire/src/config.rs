//! Messages of configuration replication.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::gossip;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::replica;
use filbertpaddle_core::revision::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::setting::Change;
use crate::setting::Key;

/// A replication message; the encoded form of [`gossip::Message`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Forwards a change that was new to the sender.
    #[serde(rename = "p")]
    Push(Box<Change>),
    /// Requests the changes after the requesting node's head.
    #[serde(rename = "q")]
    PullRequest {
        /// Sequence number chosen by the requesting node; the response repeats it.
        #[serde(rename = "s")]
        seq: u64,
        /// Head of the requesting node's replica.
        #[serde(rename = "h")]
        head: u64,
        /// Time since the requesting node's replica was last known to be complete, in milliseconds.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
    },
    /// Response to [`Message::PullRequest`].
    #[serde(rename = "a")]
    PullResponse {
        /// Sequence number of the request.
        #[serde(rename = "s")]
        seq: u64,
        /// Head of the sender's replica.
        #[serde(rename = "h")]
        head: u64,
        /// Time since the sender's replica was last known to be complete, in milliseconds.
        #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
        age_ms: Option<u64>,
        /// Changes after the requesting node's head; empty if they are no longer retained.
        #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
        changes: Vec<Change>,
    },
    /// Requests a page of the whole configuration.
    #[serde(rename = "x")]
    PageRequest {
        /// Sequence number chosen by the requesting node; the response repeats it.
        #[serde(rename = "s")]
        seq: u64,
        /// Last key of the previous page.
        #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
        after: Option<Key>,
    },
    /// Response to [`Message::PageRequest`].
    #[serde(rename = "y")]
    PageResponse {
        /// Sequence number of the request.
        #[serde(rename = "s")]
        seq: u64,
        /// Revision up to which the sender's replica has every change.
        #[serde(rename = "h")]
        head: u64,
        /// The latest change of each key.
        #[serde(rename = "c")]
        changes: Vec<Change>,
        /// Whether this is the last page.
        #[serde(rename = "l")]
        last: bool,
    },
    /// Requests the status of the nodes of a relay's data centre.
    #[serde(rename = "u")]
    StatusRequest {
        /// Sequence number chosen by the requesting node; the response repeats it.
        #[serde(rename = "s")]
        seq: u64,
    },
    /// Response to [`Message::StatusRequest`].
    #[serde(rename = "v")]
    StatusResponse {
        /// Sequence number of the request.
        #[serde(rename = "s")]
        seq: u64,
        /// Status of the nodes of the sender's data centre.
        #[serde(rename = "n")]
        nodes: Vec<NodeStatus>,
    },
}

/// Replication status of one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    #[serde(rename = "n")]
    pub node: Name,
    /// Revision up to which the node has applied every change; `None` if it has
    /// not reported.
    #[serde(rename = "h")]
    pub head: Option<u64>,
    /// Time since the node's replica was last known to be complete, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: Option<u64>,
    /// Time since the node last reported, in milliseconds.
    #[serde(rename = "t")]
    pub heard_ms: Option<u64>,
}

impl From<gossip::NodeStatus> for NodeStatus {
    fn from(status: gossip::NodeStatus) -> Self {
        Self {
            node: status.node,
            head: status.head.map(|head| head.0),
            age_ms: status.age_ms.map(|age_ms| age_ms.0),
            heard_ms: status.heard_ms.map(|heard_ms| heard_ms.0),
        }
    }
}

impl From<NodeStatus> for gossip::NodeStatus {
    fn from(status: NodeStatus) -> Self {
        Self {
            node: status.node,
            head: status.head.map(Revision),
            age_ms: status.age_ms.map(Millis),
            heard_ms: status.heard_ms.map(Millis),
        }
    }
}

impl From<gossip::Message> for Message {
    fn from(message: gossip::Message) -> Self {
        use gossip::Message as Core;
        match message {
            Core::Push(change) => Self::Push(Box::new(change.into())),
            Core::PullRequest { seq, head, age_ms } => Self::PullRequest {
                seq,
                head: head.0,
                age_ms: age_ms.map(|age_ms| age_ms.0),
            },
            Core::PullResponse {
                seq,
                head,
                age_ms,
                changes,
            } => Self::PullResponse {
                seq,
                head: head.0,
                age_ms: age_ms.map(|age_ms| age_ms.0),
                changes: convert(changes),
            },
            Core::PageRequest { seq, after } => Self::PageRequest {
                seq,
                after: after.map(Key::from),
            },
            Core::PageResponse { seq, page } => Self::PageResponse {
                seq,
                head: page.head.0,
                changes: convert(page.changes),
                last: page.last,
            },
            Core::StatusRequest { seq } => Self::StatusRequest { seq },
            Core::StatusResponse { seq, nodes } => Self::StatusResponse {
                seq,
                nodes: convert(nodes),
            },
        }
    }
}

impl From<Message> for gossip::Message {
    fn from(message: Message) -> Self {
        match message {
            Message::Push(change) => Self::Push((*change).into()),
            Message::PullRequest { seq, head, age_ms } => Self::PullRequest {
                seq,
                head: Revision(head),
                age_ms: age_ms.map(Millis),
            },
            Message::PullResponse {
                seq,
                head,
                age_ms,
                changes,
            } => Self::PullResponse {
                seq,
                head: Revision(head),
                age_ms: age_ms.map(Millis),
                changes: convert(changes),
            },
            Message::PageRequest { seq, after } => Self::PageRequest {
                seq,
                after: after.map(Into::into),
            },
            Message::PageResponse {
                seq,
                head,
                changes,
                last,
            } => Self::PageResponse {
                seq,
                page: replica::Page {
                    head: Revision(head),
                    changes: convert(changes),
                    last,
                },
            },
            Message::StatusRequest { seq } => Self::StatusRequest { seq },
            Message::StatusResponse { seq, nodes } => Self::StatusResponse {
                seq,
                nodes: convert(nodes),
            },
        }
    }
}

fn convert<T, U>(items: Vec<T>) -> Vec<U>
where
    U: From<T>,
{
    items.into_iter().map(U::from).collect()
}
