//! Messages, events and actions of configuration replication between nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::Key;
use crate::name::Name;
use crate::relay::Member;
use crate::replica::Page;
use crate::revision::Revision;

/// A replication message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Forwards a change that was new to the sender.
    Push(Change),
    /// Requests the changes after the requesting node's head.
    PullRequest {
        /// Sequence number chosen by the requesting node; the response repeats it.
        seq: u64,
        /// Head of the requesting node's replica.
        head: Revision,
        /// Time since the requesting node's replica was last known to be complete.
        age_ms: Option<Millis>,
    },
    /// Response to [`Message::PullRequest`].
    PullResponse {
        /// Sequence number of the request.
        seq: u64,
        /// Head of the sender's replica.
        head: Revision,
        /// Time since the sender's replica was last known to be complete.
        age_ms: Option<Millis>,
        /// Changes after the requesting node's head; empty if they are no longer retained.
        changes: Vec<Change>,
    },
    /// Requests a page of the whole configuration.
    PageRequest {
        /// Sequence number chosen by the requesting node; the response repeats it.
        seq: u64,
        /// Last key of the previous page.
        after: Option<Key>,
    },
    /// Response to [`Message::PageRequest`].
    PageResponse {
        /// Sequence number of the request.
        seq: u64,
        /// The requested page.
        page: Page,
    },
    /// Requests the status of the nodes of a relay's data centre.
    StatusRequest {
        /// Sequence number chosen by the requesting node; the response repeats it.
        seq: u64,
    },
    /// Response to [`Message::StatusRequest`].
    StatusResponse {
        /// Sequence number of the request.
        seq: u64,
        /// Status of the nodes of the sender's data centre.
        nodes: Vec<NodeStatus>,
    },
}

/// Replication status of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: Name,
    /// Revision up to which the node has applied every change; `None` if the
    /// node has not reported.
    pub head: Option<Revision>,
    /// Time since the node's replica was last known to be complete.
    pub age_ms: Option<Millis>,
    /// Time since the node last reported.
    pub heard_ms: Option<Millis>,
}

/// Input to the replicator.
#[derive(Clone, Debug)]
pub enum Event {
    /// The live nodes, including this one.
    Members(Vec<Member>),
    /// A change was committed through this node.
    Accepted(Change),
    /// A message was received.
    Message {
        /// The sender.
        from: Name,
        /// The message.
        message: Message,
    },
    /// The table's head revision was read.
    TableHead(Revision),
    /// Audit rows were read.
    TableLog(Vec<Change>),
    /// A page of entries was read.
    TablePage(Page),
    /// The last read of the table failed.
    TableFailed,
    /// [`TICK_INTERVAL_MS`](crate::replicator::TICK_INTERVAL_MS) have passed.
    Tick,
}

/// Output of the replicator, to be performed by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message.
    Send {
        /// The receiver.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Read `config/head`.
    ReadHead,
    /// Read audit rows after a revision, at most
    /// [`MAX_RECENT_CHANGES`](crate::replica::MAX_RECENT_CHANGES).
    ReadLog {
        /// Revision after which rows are read.
        after: Revision,
    },
    /// Read entries after a key; the page carries `head` as its head.
    ReadPage {
        /// Head revision that was read before the first page.
        head: Revision,
        /// Last key of the previous page.
        after: Option<Key>,
    },
    /// Report that a change was applied on this node.
    Applied(Key),
}
