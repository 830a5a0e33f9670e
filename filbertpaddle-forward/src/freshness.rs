//! Time limits on the way of a change from the store to every node.
//!
//! If a reader's path to the store goes silent, only the timeout of a call shows it, and until
//! then its followers cannot distinguish that from a time without changes. So the limits are
//! derived from the time within which a change must be in force: even a change that is made
//! just after the path went silent has to reach the followers in that time.

use filbertpaddle_core::clock::Millis;

/// Pause of a reader between calls, so that rows that change together arrive in one batch.
pub const READER_PAUSE_MS: Millis = Millis(200);
/// Time that a response of the store may take beyond the time it is held back. A slow store
/// takes about 75 times its usual 4 ms.
pub const RESPONSE_TIMEOUT_MS: Millis = Millis(500);
/// Time for the followers to be notified that their reader has lost the store, and to read
/// it themselves.
pub const HANDOVER_MS: Millis = Millis(500);
/// Longer long polls save few calls, and a connection may go silent without a reset.
const MAX_LONG_POLL_MS: Millis = Millis(1_800);
/// Shorter long polls could exhaust the store's rate of calls.
const MIN_LONG_POLL_MS: Millis = Millis(200);

/// Time limits for reading the store's tables and for following a node that reads them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// Time that the store may hold back its response until something changes.
    pub long_poll_ms: Millis,
    /// Age of a node's data above which others do not rely on it.
    pub max_age_ms: Millis,
}

impl AgeLimits {
    /// Derives the limits from the time within which an acknowledged change must be in force
    /// at every node.
    pub fn within(apply_ms: Millis) -> Self {
        let reserved_ms = READER_PAUSE_MS + RESPONSE_TIMEOUT_MS + HANDOVER_MS;
        let available_ms = apply_ms.since(reserved_ms);
        let long_poll_ms = available_ms.clamp(MIN_LONG_POLL_MS, MAX_LONG_POLL_MS);
        Self {
            long_poll_ms,
            max_age_ms: READER_PAUSE_MS + long_poll_ms + RESPONSE_TIMEOUT_MS,
        }
    }
}
