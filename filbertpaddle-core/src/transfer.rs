//! An ongoing transfer of the whole configuration to this node, page by page.

use crate::clock::Millis;
use crate::name::Name;
use crate::replica::TransferProgress;
use crate::revision::Revision;

/// Maximum time that a transfer waits for its next page.
pub const PAGE_TIMEOUT_MS: Millis = Millis::from_secs(10);

/// Source of the pages of a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's table, with the head revision read before the first page.
    Table(Revision),
    /// Another node.
    Node(Name),
}

/// State of a transfer of the whole configuration.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Source of the pages.
    pub source: Source,
    /// Lowest head of the pages received so far.
    pub progress: TransferProgress,
    /// Time at which the last page was requested.
    pub requested_at: Millis,
}

impl Transfer {
    /// Creates a transfer whose first page was requested at `now`.
    pub fn new(now: Millis, source: Source) -> Self {
        Self {
            source,
            progress: TransferProgress::default(),
            requested_at: now,
        }
    }

    /// Returns whether the next page is overdue.
    pub fn is_overdue(&self, now: Millis) -> bool {
        now.since(self.requested_at) > PAGE_TIMEOUT_MS
    }

    /// Returns whether the pages come from the platform's table.
    pub fn is_from_table(&self) -> bool {
        matches!(self.source, Source::Table(_))
    }
}
