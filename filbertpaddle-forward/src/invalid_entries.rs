//! Entries of the store that cannot be decoded, each of which is reported once.
//!
//! They stay in the store until their writer removes them, and are read again with their table.

use filbertpaddle_core::name::Name;
use indexmap::IndexSet;

use crate::change::Table;

/// Maximum number of entries that are reported and remembered.
const MAX_REPORTED: usize = 256;

/// Invalid entries that have been reported.
#[derive(Clone, Debug, Default)]
pub struct InvalidEntries {
    reported: IndexSet<(Table, Name)>,
}

impl InvalidEntries {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an invalid entry; returns whether it is to be reported.
    pub fn record(&mut self, table: Table, key: &Name) -> bool {
        self.reported.len() < MAX_REPORTED && self.reported.insert((table, key.clone()))
    }

    /// Records that the entry with a key is valid, so that it is reported if it is invalid again.
    pub fn record_valid(&mut self, table: Table, key: &Name) {
        self.reported.swap_remove(&(table, key.clone()));
    }
}
