//! How long claims are kept, and the removal of older ones.

use crate::claim::Id;
use crate::claim::Row;
use crate::claim::State;
use crate::clock::Millis;

/// How long a key is guarded, counted from its claim.
pub const RETENTION_MS: Millis = Millis::from_secs(24 * 60 * 60);
/// How long a row marked released stays, to stop a claim that is still on its way.
pub const RELEASED_RETENTION_MS: Millis = Millis::from_secs(60 * 60);
/// Rows looked at in one step.
pub const PAGE_ROWS: u32 = 500;
/// Longest wait of a new node before its first step.
pub const MAX_START_DELAY_MS: Millis = Millis::from_secs(10);
/// Time between two steps of one node when little is found.
pub const SLOW_INTERVAL_MS: Millis = Millis::from_secs(120);
/// Time between two steps of one node when much is found.
pub const FAST_INTERVAL_MS: Millis = Millis::from_secs(10);

/// One row of a page; `None` stands for a row that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Table key of the row.
    pub row_key: String,
    /// The claim.
    pub claim: Option<(Id, Row)>,
}

/// What one step of the removal does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Rows to delete, each if it has not changed since.
    pub expired: Vec<(Id, Row)>,
    /// Where the next page starts; `None` means at the first claim.
    pub after: Option<String>,
    /// When this node takes its next step.
    pub interval_ms: Millis,
}

/// Decides about one page of claims in key order.
pub fn step(page: Vec<Entry>, now_unix_ms: Millis) -> Step {
    let full = page.len() >= PAGE_ROWS as usize;
    let after = page.last().map(|entry| entry.row_key.clone());
    let expired: Vec<_> = page
        .into_iter()
        .filter_map(|entry| entry.claim)
        .filter(|(_, row)| is_expired(row, now_unix_ms))
        .collect();
    let much = expired.len() >= PAGE_ROWS as usize / 2;
    Step {
        expired,
        after: after.filter(|_| full),
        interval_ms: if much {
            FAST_INTERVAL_MS
        } else {
            SLOW_INTERVAL_MS
        },
    }
}

/// Returns whether a claim need not be kept any longer.
pub fn is_expired(row: &Row, now_unix_ms: Millis) -> bool {
    let age_ms = now_unix_ms.since(row.record.claimed_at_ms);
    match row.record.state {
        State::Released => age_ms > RELEASED_RETENTION_MS,
        State::Claimed | State::Finished(_) => age_ms > RETENTION_MS,
    }
}
