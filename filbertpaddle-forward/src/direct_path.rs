//! Whether this node reaches targets itself, by its connection attempts to them.
//!
//! Load pattern: a node loses its links to all targets for seconds, while callers, the store and
//! other nodes reach it. Its targets fail one after the other, and look to it as if they were down.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

/// Number of targets in a row that accept no connection before the node counts as cut off. With
/// one, a target that is down would do.
const MIN_FAILED_TARGETS: usize = 2;

/// How a connection to a target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ConnectFailure {
    /// It was refused.
    Refused,
    /// There was no response in time.
    Silent,
}

/// Change of whether the node counts as cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// It reaches no target now.
    CutOff,
    /// It reaches targets again.
    Restored {
        /// Whether another node has reached some meanwhile, so that this node's links were cut.
        is_proven: bool,
    },
}

/// This node's attempts to connect to targets since the last one that succeeded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectPath {
    /// The first targets, no two the same, that accepted no connection since.
    failed: Vec<Name>,
    last_failure: Option<ConnectFailure>,
    /// Whether another node has reached a target since.
    is_proven: bool,
    connected_ms: Option<Millis>,
}

impl DirectPath {
    /// Creates the state of a node that has tried nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a target accepted a connection.
    pub fn record_connected(&mut self, now: Millis) -> Option<PathChange> {
        let is_proven = std::mem::take(&mut self.is_proven);
        let change = self
            .is_cut_off()
            .then_some(PathChange::Restored { is_proven });
        self.connected_ms = Some(now);
        self.failed.clear();
        self.last_failure = None;
        change
    }

    /// Records that a target accepted no connection.
    pub fn record_failed(&mut self, target: &Name, failure: ConnectFailure) -> Option<PathChange> {
        let was_cut_off = self.is_cut_off();
        self.last_failure = Some(failure);
        if !was_cut_off && !self.failed.contains(target) {
            self.failed.push(target.clone());
        }
        (!was_cut_off && self.is_cut_off()).then_some(PathChange::CutOff)
    }

    /// Records that another node has reached a target; returns whether that proves for the first
    /// time that this node is cut off, and not its targets down.
    pub fn record_relayed(&mut self) -> bool {
        let is_first = self.is_cut_off() && !self.is_proven;
        self.is_proven |= is_first;
        is_first
    }

    /// Returns whether the node reaches no target.
    pub fn is_cut_off(&self) -> bool {
        self.failed.len() >= MIN_FAILED_TARGETS
    }

    /// Returns whether the last attempt failed, so that the node or only the target may be cut
    /// off.
    pub fn is_in_doubt(&self) -> bool {
        !self.failed.is_empty()
    }

    /// Returns whether connections that were open before are likely to be silent as well.
    pub fn is_silent(&self) -> bool {
        self.is_cut_off() && self.last_failure == Some(ConnectFailure::Silent)
    }

    /// Returns whether a target has accepted a connection since `since`.
    pub fn is_connected_since(&self, since: Millis) -> bool {
        self.connected_ms.is_some_and(|at_ms| at_ms >= since)
    }

    /// Returns the time of the last connection that a target accepted.
    pub fn connected_ms(&self) -> Option<Millis> {
        self.connected_ms
    }

    /// Returns the targets that accepted no connection since.
    pub fn failed(&self) -> &[Name] {
        &self.failed
    }
}
