//! A running transfer of the whole configuration to this node.

use crate::clock::Millis;
use crate::name::Name;
use crate::replica::TransferProgress;
use crate::revision::Revision;

/// How long a transfer may wait for its next page.
pub const PAGE_MS: Millis = Millis::from_secs(10);

/// Where the pages come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's table, whose head was read before the first page.
    Table(Revision),
    /// Another node.
    Node(Name),
}

/// A transfer of the whole configuration.
#[derive(Clone, Debug)]
pub struct Transfer {
    /// Where the pages come from.
    pub from: Source,
    /// What the pages so far prove.
    pub progress: TransferProgress,
    /// When the last page was asked for.
    pub at: Millis,
}

impl Transfer {
    /// Starts a transfer whose first page was asked for now.
    pub fn new(now: Millis, from: Source) -> Self {
        Self {
            from,
            progress: TransferProgress::default(),
            at: now,
        }
    }

    /// Returns whether the next page is overdue.
    pub fn is_late(&self, now: Millis) -> bool {
        now.since(self.at) > PAGE_MS
    }

    /// Returns whether the pages come from the platform's table.
    pub fn is_from_table(&self) -> bool {
        matches!(self.from, Source::Table(_))
    }
}
