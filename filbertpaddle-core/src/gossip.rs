//! What spreads configuration: messages between nodes, events and actions.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::Key;
use crate::name::Name;
use crate::relay::Member;
use crate::replica::Page;
use crate::revision::Revision;

/// A message between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// A change that was new to the sender.
    Push(Change),
    /// Asks for what is newer.
    PullRequest {
        /// Chosen by the asker, and returned.
        seq: u64,
        /// The asker's head.
        head: Revision,
        /// How long ago the asker was last known to miss nothing.
        age_ms: Option<Millis>,
    },
    /// Answers [`Message::PullRequest`].
    PullResponse {
        /// From the question.
        seq: u64,
        /// The sender's head.
        head: Revision,
        /// How long ago the sender was last known to miss nothing.
        age_ms: Option<Millis>,
        /// Changes after the asker's head; empty if they are no longer kept.
        changes: Vec<Change>,
    },
    /// Asks for a page of the whole configuration.
    PageRequest {
        /// Chosen by the asker, and returned.
        seq: u64,
        /// Last key of the page before.
        after: Option<Key>,
    },
    /// Answers [`Message::PageRequest`].
    PageResponse {
        /// From the question.
        seq: u64,
        /// The page.
        page: Page,
    },
    /// Asks a relay about the nodes of its data centre.
    StatusRequest {
        /// Chosen by the asker, and returned.
        seq: u64,
    },
    /// Answers [`Message::StatusRequest`].
    StatusResponse {
        /// From the question.
        seq: u64,
        /// What the sender knows of its data centre's nodes.
        nodes: Vec<NodeStatus>,
    },
}

/// What one node says is in force there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the node.
    pub node: Name,
    /// Every change up to here is in force there; `None` if it was not heard from.
    pub head: Option<Revision>,
    /// How long ago it was last known to miss nothing.
    pub age_ms: Option<Millis>,
    /// How long ago it was heard from.
    pub heard_ms: Option<Millis>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// The live nodes, this one among them.
    Members(Vec<Member>),
    /// A change was accepted through this node.
    Accepted(Change),
    /// A message came.
    Message {
        /// The sender.
        from: Name,
        /// The message.
        message: Message,
    },
    /// The table's head was read.
    TableHead(Revision),
    /// Audit rows were read.
    TableLog(Vec<Change>),
    /// A page of entries was read.
    TablePage(Page),
    /// The table did not answer the last read.
    TableFailed,
    /// [`TICK_INTERVAL_MS`](crate::replicator::TICK_INTERVAL_MS) have passed.
    Tick,
}

/// What to do.
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
    /// Read audit rows after a revision, at most [`MAX_RECENT_CHANGES`](crate::replica::MAX_RECENT_CHANGES).
    ReadLog {
        /// The revision.
        after: Revision,
    },
    /// Read entries after a key; the page's head is this one.
    ReadPage {
        /// Head that was read before the first page.
        head: Revision,
        /// Last key of the page before.
        after: Option<Key>,
    },
    /// A change came into force here.
    Applied(Key),
}
