//! Changes of the store's tables, as nodes read them and pass them on.

use std::sync::Arc;

use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::revision::Revision;
use crate::rollout_record::RolloutOrder;
use crate::target::Target;

/// Table of the store that nodes follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Table {
    /// Configuration and data centres, as set by operators.
    Operator,
    /// Entries that targets write about themselves.
    Targets,
}

/// Change of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision of the store at which the entry changed.
    pub revision: Revision,
    /// New content of the entry.
    pub entry: Entry,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The configuration.
    Configuration(Arc<Configuration>),
    /// Service state of a data centre.
    DataCentre {
        /// Name of the data centre.
        name: Name,
        /// Whether it is out of service.
        is_out: bool,
    },
    /// A listed target.
    Target(Target),
    /// ID of a target that has no valid entry.
    NoTarget(Name),
    /// Order of a roll-out.
    Rollout(RolloutOrder),
    /// Service whose order of a roll-out was withdrawn.
    NoRollout(Name),
    /// Service whose order of a roll-out cannot be decoded, which changes nothing.
    InvalidRollout(Name),
}

impl Entry {
    /// Returns the service that an order of a roll-out is for.
    pub fn rollout_service(&self) -> Option<&Name> {
        match self {
            Self::Rollout(order) => Some(&order.service),
            Self::NoRollout(service) | Self::InvalidRollout(service) => Some(service),
            _ => None,
        }
    }
}

/// Changes of a table, or its whole content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Table that changed.
    pub table: Table,
    /// Whether the batch is the whole table, so that other entries no longer exist.
    pub is_whole: bool,
    /// Revision of the table after the batch.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<Change>,
}

/// Changes that took effect, for log lines and for tasks that wait for changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AppliedChanges {
    /// Version of the new configuration in force, if it changed.
    pub configuration: Option<u64>,
    /// Data centres whose state changed, and whether each is now out of service.
    pub data_centres: Vec<(Name, bool)>,
    /// IDs of targets that were added, changed or removed.
    pub targets: Vec<Name>,
    /// Services whose order of a roll-out was given, replaced or withdrawn.
    pub rollouts: Vec<Name>,
}

impl AppliedChanges {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        let are_targets_same = self.targets.is_empty() && self.data_centres.is_empty();
        self.configuration.is_none() && are_targets_same && self.rollouts.is_empty()
    }
}
