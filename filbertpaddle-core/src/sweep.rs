//! Retention of claims and removal of expired ones, one page at a time.

use crate::claim::Id;
use crate::claim::Row;
use crate::claim::State;
use crate::clock::Millis;

/// How long a claim guards its key.
pub const RETENTION_MS: Millis = Millis::from_secs(24 * 60 * 60);
/// How long a released row is kept, so that a late write of its claim still fails.
pub const RELEASED_RETENTION_MS: Millis = Millis::from_secs(60 * 60);
/// Number of rows scanned in one step.
pub const PAGE_ROWS: u32 = 500;
/// Maximum of the random delay before a new node's first step, which spreads the load
/// of nodes that start together.
pub const MAX_START_DELAY_MS: Millis = Millis::from_secs(10);
/// Interval between the steps of one node when a page has few expired rows.
pub const SLOW_INTERVAL_MS: Millis = Millis::from_secs(120);
/// Interval between the steps of one node when half a page or more has expired.
pub const FAST_INTERVAL_MS: Millis = Millis::from_secs(10);

/// One scanned row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Table key of the row.
    pub row_key: String,
    /// The claim; `None` if the row could not be parsed.
    pub claim: Option<(Id, Row)>,
}

/// Result of one step of the removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Rows to delete, each on condition that it has not changed since.
    pub expired: Vec<(Id, Row)>,
    /// Key after which the next page starts; `None` to start again at the first claim.
    pub after: Option<String>,
    /// Time until this node's next step.
    pub interval_ms: Millis,
}

/// Selects the expired rows of one page of claims in key order.
pub fn step(page: Vec<Entry>, now_unix_ms: Millis) -> Step {
    let is_full = page.len() >= PAGE_ROWS as usize;
    let after = page.last().map(|entry| entry.row_key.clone());
    let expired: Vec<_> = page
        .into_iter()
        .filter_map(|entry| entry.claim)
        .filter(|(_, row)| is_expired(row, now_unix_ms))
        .collect();
    let many_expired = expired.len() >= PAGE_ROWS as usize / 2;
    Step {
        expired,
        after: after.filter(|_| is_full),
        interval_ms: if many_expired {
            FAST_INTERVAL_MS
        } else {
            SLOW_INTERVAL_MS
        },
    }
}

/// Returns whether a claim is past its retention.
pub fn is_expired(row: &Row, now_unix_ms: Millis) -> bool {
    let age_ms = now_unix_ms.since(row.record.claimed_at_ms);
    match row.record.state {
        State::Released => age_ms > RELEASED_RETENTION_MS,
        State::Claimed | State::Finished(_) => age_ms > RETENTION_MS,
    }
}
