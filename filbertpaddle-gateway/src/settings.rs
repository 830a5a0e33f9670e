//! Settings of a gateway node, as supplied by an adapter.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::features::Features;
use filbertpaddle_forward::retry_budget;
use indexmap::IndexSet;

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
    /// CPU cores that the node may use.
    pub cores: f64,
    /// Memory that the node may use; `None` if no limit is stated.
    pub memory_bytes: Option<u64>,
    /// Settings that are reread while the node runs.
    pub reloadable: Reloadable,
}

impl Settings {
    /// Returns whether a data centre is in the node's region.
    pub fn is_in_region(&self, data_centre: &Name) -> bool {
        self.region.is_empty() || self.region.contains(data_centre)
    }

    /// Returns the names of the fields that are not reloadable and that differ in `reread`.
    pub fn changed_until_restart(&self, reread: &Self) -> Vec<&'static str> {
        let region = |settings: &Self| settings.region.iter().cloned().collect::<IndexSet<_>>();
        let fields = [
            ("node", self.node != reread.node),
            ("data_centre", self.data_centre != reread.data_centre),
            ("region", region(self) != region(reread)),
            ("callers", self.callers != reread.callers),
            ("ready", self.ready != reread.ready),
            ("peers", self.peers != reread.peers),
            ("metrics", self.metrics != reread.metrics),
            ("cores", self.cores != reread.cores),
            ("memory_bytes", self.memory_bytes != reread.memory_bytes),
        ];
        let changed = fields.into_iter().filter(|(_, is_changed)| *is_changed);
        changed.map(|(name, _)| name).collect()
    }
}

/// Settings that take effect as soon as they are reread.
#[derive(Clone, Debug, PartialEq)]
pub struct Reloadable {
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether all nodes of the system start together for the first time.
    pub is_first_start: bool,
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
    /// Optional behaviour.
    pub features: Features,
}
