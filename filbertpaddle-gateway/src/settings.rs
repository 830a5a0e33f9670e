//! Settings of a gateway node, as supplied by an adapter.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::retry_budget;

/// Settings of a gateway node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the node.
    pub node: Name,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Data centres of the node's region, to which callers' requests may be passed; empty if
    /// there is only one region.
    pub region: Vec<Name>,
    /// Listening address for callers.
    pub callers: SocketAddr,
    /// Listening address for the balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listening address for other nodes.
    pub peers: SocketAddr,
    /// Listening address for metrics.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether all nodes of the system start together for the first time.
    pub is_first_start: bool,
    /// CPU cores that the node may use.
    pub cores: f64,
    /// Settings that are reread while the node runs.
    pub reloadable: Reloadable,
}

impl Settings {
    /// Returns whether a data centre is in the node's region.
    pub fn is_in_region(&self, data_centre: &Name) -> bool {
        self.region.is_empty() || self.region.contains(data_centre)
    }
}

/// Settings that take effect as soon as they are reread.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloadable {
    /// Peer addresses of some nodes, used before any node is known from the store.
    pub seeds: Vec<SocketAddr>,
    /// Limits on the retries of all nodes together.
    pub retries: retry_budget::RetryLimits,
    /// Time that a stopping node has to finish its requests.
    pub grace_ms: Millis,
    /// Time within which a change that the store has acknowledged must be in force.
    pub apply_ms: Millis,
    /// Time in which operators and targets write their entries again after the store was
    /// rolled back to an older copy.
    pub rewrite_ms: Millis,
}
