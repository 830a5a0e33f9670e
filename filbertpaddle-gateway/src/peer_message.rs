//! Messages between nodes.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::suspect::CrashRecord;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::configuration::Identity;
use filbertpaddle_forward::linked_configuration::SentChange;
use filbertpaddle_forward::load_table::LoadChanges;
use filbertpaddle_forward::rollout_counts::CountsChange;
use filbertpaddle_forward::speed_table::SentSpeed;
use filbertpaddle_forward::target::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::peer_link::Error;
use crate::platform_api::NodeList;
use crate::rollout_exchange::SentRecord;
use crate::tunnel::OpenRequest;
use crate::tunnel::RelayRefusal;

/// A message between nodes, encoded as CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message on a link; identifies the node that opened it.
    Hello {
        /// Name of the node.
        node: Name,
        /// Whether it reads the store itself and wants only the load of the other's group.
        is_reader: bool,
        /// Configuration that it has. Absent if it takes no changes of configurations, as nodes
        /// of earlier builds.
        #[serde(default)]
        configuration: Option<Identity>,
    },
    /// First message on a link that becomes a tunnel.
    Open(OpenRequest),
    /// Answer to [`Message::Open`]. If the connection is open, its bytes follow.
    Opened(Result<(), RelayRefusal>),
    /// The list of nodes as last read from the store.
    Nodes(NodeList),
    /// Changed load: of the node that opened the link, or the sum that the other node
    /// publishes.
    Work(LoadChanges),
    /// New or changed crash suspects by fingerprint.
    Suspects(Vec<(u64, CrashRecord)>),
    /// Targets that have announced to some node that they leave.
    Leaving(Vec<Incarnation>),
    /// Request rates that targets have stated to some node.
    Rates(Vec<SentRate>),
    /// Changed sums of the samples of targets' speed: those that the receiver adds to others.
    Speeds(Vec<SentSpeed>),
    /// Records of roll-outs.
    Rollouts(Vec<SentRecord>),
    /// Changed counts of requests and answers during roll-outs.
    RolloutCounts(Vec<CountsChange>),
    /// Changes of a table.
    Table {
        /// Age of the sender's data.
        age_ms: Millis,
        /// Time by the sender's clock; absent from nodes of earlier builds.
        #[serde(default)]
        clock_ms: Option<Millis>,
        /// The changes.
        batch: Batch,
        /// A further change, which leads from the last configuration on this link to the next.
        #[serde(default)]
        configuration_change: Option<SentChange>,
    },
    /// Age of the sender's data.
    Ages(Ages),
    /// Asks a node that states its clock for [`Message::Clock`].
    ClockRequest {
        /// Time by the sender's clock, which the response repeats.
        sent_ms: Millis,
    },
    /// Response to [`Message::ClockRequest`].
    Clock {
        /// Time that the request stated.
        requested_ms: Millis,
        /// Time by the sender's clock.
        clock_ms: Millis,
    },
}

/// Request rate that a target states as its limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentRate {
    /// Incarnation that states it.
    pub incarnation: Incarnation,
    /// Requests per second that it takes from all nodes together.
    pub per_sec: f64,
    /// Age of the statement.
    pub age_ms: Millis,
}

/// Age and version of a node's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Age of the operators' table.
    pub operator_ms: Millis,
    /// Age of the targets' table.
    pub targets_ms: Millis,
    /// Time by the sender's clock at which these are the ages; absent from nodes of earlier
    /// builds.
    #[serde(default)]
    pub clock_ms: Option<Millis>,
    /// Whether the node cannot get current data from the store.
    pub is_store_lost: bool,
    /// Latest era of the store that it knows.
    pub era: u64,
    /// Hash of the live nodes that it knows.
    pub nodes_fingerprint: u64,
    /// Time by the store's clock when it read the list of nodes.
    pub listed_ms: Millis,
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error if the bytes are no message.
pub fn decode(bytes: &[u8]) -> Result<Message, Error> {
    // The decoder refuses texts that do not fit into its buffer, which none of a message exceeds.
    let mut buffer = vec![0; bytes.len()];
    ciborium::de::from_reader_with_buffer(bytes, &mut buffer)
        .map_err(|error| Error::Unreadable(error.to_string()))
}
