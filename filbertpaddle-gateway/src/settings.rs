//! Settings of a gateway node, as an adapter gives them.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::retry_budget;

/// Settings of a gateway node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub node: Name,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether the node is ready.
    pub ready: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address of the node's metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Processor that the node may use, in cores.
    pub cores: f64,
    /// What may change while the node runs.
    pub reloadable: Reloadable,
}

/// Settings that are in force as soon as they are read again.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloadable {
    /// Peer addresses of some nodes, for when the store cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// What all nodes together may retry.
    pub retries: retry_budget::RetryLimits,
    /// How long a node that was told to stop may finish its requests.
    pub grace_ms: Millis,
}
