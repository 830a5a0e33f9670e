//! Revision numbers: the total order of accepted configuration changes.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Position of a change in the total order of accepted changes, starting at 1.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl Revision {
    /// Revision of a configuration without any change.
    pub const ZERO: Self = Self(0);

    /// Returns the revision after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
