//! Revisions of the store, ordered across its rollbacks.

use serde::Deserialize;
use serde::Serialize;

/// Revision of the store.
///
/// A store that comes back from an older copy assigns revision numbers again. The era,
/// which rises with each rollback, keeps the order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Era of the store.
    pub era: u64,
    /// Number within the era.
    pub number: u64,
}

impl Revision {
    /// Creates the revision with a number in an era.
    pub fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns whether nothing was read at this revision.
    pub fn is_zero(self) -> bool {
        self.number == 0
    }
}
