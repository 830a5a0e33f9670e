//! The configuration that both ends of a link know, and the changes that are sent instead of whole
//! ones.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::change::Batch;
use crate::change::Change;
use crate::change::Entry;
use crate::configuration::Configuration;
use crate::configuration::Identity;
use crate::configuration_change::ConfigurationChange;
use crate::configuration_change::Mismatch;
use crate::revision::Revision;

/// Change of the configuration that belongs to a batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentChange {
    /// Revision of the store at which the configuration changed.
    pub revision: Revision,
    /// The change.
    pub change: ConfigurationChange,
}

/// Configuration that was last sent or received on a link.
#[derive(Clone, Debug, Default)]
pub struct LinkedConfiguration {
    /// Whether the other end can apply changes.
    takes_changes: bool,
    known: Option<Arc<Configuration>>,
}

impl LinkedConfiguration {
    /// Creates the state of the end that receives, which states `known` to the other.
    pub fn receiving(known: Option<Arc<Configuration>>) -> Self {
        Self {
            takes_changes: true,
            known,
        }
    }

    /// Creates the state of the end that sends.
    ///
    /// `stated` is the configuration that the other end has in force; `None` if it cannot apply
    /// changes. `own` is the one in force at this end.
    pub fn sending(stated: Option<Identity>, own: Option<Arc<Configuration>>) -> Self {
        Self {
            takes_changes: stated.is_some(),
            known: own.filter(|own| stated == Some(own.id())),
        }
    }

    /// Returns the configuration to state to the other end.
    pub fn id(&self) -> Identity {
        let known = self.known.as_ref();
        known.map_or_else(Identity::default, |known| known.id())
    }

    /// Takes the configuration out of a batch that is to be sent if the other end knows it, or an
    /// earlier one; returns what has changed since that.
    pub fn shorten(&mut self, batch: &mut Batch) -> Option<SentChange> {
        if !self.takes_changes {
            return None;
        }
        let (at, new) = configuration_in(batch)?;
        let known = self.known.replace(Arc::clone(&new))?;
        let revision = batch.changes.remove(at).revision;
        let has_changed = known.id() != new.id();
        has_changed.then(|| SentChange {
            revision,
            change: ConfigurationChange::between(&known, &new),
        })
    }

    /// Puts the configuration to which a received change leads into its batch.
    ///
    /// # Errors
    ///
    /// Returns [`Mismatch`] if the change starts from another configuration than the known one.
    pub fn restore(
        &mut self,
        batch: &mut Batch,
        change: Option<SentChange>,
    ) -> Result<(), Mismatch> {
        if let Some(SentChange { revision, change }) = change {
            let none = Configuration::default();
            let new = change.apply(self.known.as_deref().unwrap_or(&none))?;
            let entry = Entry::Configuration(new);
            batch.changes.push(Change { revision, entry });
        }
        if let Some((_, new)) = configuration_in(batch) {
            self.known = Some(new);
        }
        Ok(())
    }
}

fn configuration_in(batch: &Batch) -> Option<(usize, Arc<Configuration>)> {
    let mut entries = batch.changes.iter().enumerate();
    entries.find_map(|(at, change)| match &change.entry {
        Entry::Configuration(configuration) => Some((at, Arc::clone(configuration))),
        _ => None,
    })
}
