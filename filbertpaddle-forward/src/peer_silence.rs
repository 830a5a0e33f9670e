//! Whether the other end of a connection is dead, or alive and reads slowly.
//!
//! The kernel of a peer that does not read closes the window, but answers each probe of it. A
//! dead peer answers neither these nor retransmissions.

use filbertpaddle_core::clock::Millis;

/// Silence after which a peer counts as dead. The first retransmission or probe precedes it.
const MAX_SILENCE_MS: Millis = Millis(2_250);
/// Longest time that counts between two checks. A node that was stopped itself has not listened.
const MAX_CHECK_MS: Millis = Millis(500);

/// Time that a peer has to read something while the node holds too much for all of them.
const CROWDED_UNREAD_MS: Millis = Millis(2_500);

/// State of the sending side of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendState {
    /// Bytes that are unsent or unacknowledged.
    pub queued_bytes: u32,
    /// Retransmissions or probes in a row that were not answered.
    pub unanswered: u32,
    /// Time since the last acknowledgement of any kind.
    pub acknowledged_ago_ms: Millis,
}

/// What a check of a connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// All sent bytes are acknowledged.
    Settled,
    /// Bytes are on their way, or wait for the peer to read.
    Waiting,
    /// The peer does not answer any more.
    Dead,
    /// The peer answers, but has read nothing for too long.
    Unread,
}

/// Silence of a connection's peer, from regular checks.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerSilence {
    /// Time that the node gives a peer to read something; `None` if another limit holds.
    unread_limit_ms: Option<Millis>,
    checked_at_ms: Millis,
    silent_ms: Millis,
    unread_ms: Millis,
    queued_bytes: u32,
}

impl PeerSilence {
    /// Starts to check a connection.
    pub fn new(unread_limit_ms: Option<Millis>) -> Self {
        Self {
            unread_limit_ms,
            ..Self::default()
        }
    }

    /// Records the first bytes that are sent on a settled connection.
    pub fn begin(&mut self, now: Millis) {
        *self = Self {
            checked_at_ms: now,
            ..Self::new(self.unread_limit_ms)
        };
    }

    /// Records that the kernel has taken more bytes.
    pub fn record_progress(&mut self) {
        self.unread_ms = Millis::ZERO;
    }

    /// Records the state at a check; `is_crowded` is whether the node holds too many bytes that
    /// peers have not read.
    pub fn record(&mut self, now: Millis, state: SendState, is_crowded: bool) -> Finding {
        let since_check_ms = now.since(self.checked_at_ms).min(MAX_CHECK_MS);
        self.checked_at_ms = now;
        if state.queued_bytes == 0 {
            return Finding::Settled;
        }
        let was_silent_ms = self.silent_ms + since_check_ms;
        let has_answered = state.unanswered == 0 || state.acknowledged_ago_ms < was_silent_ms;
        self.silent_ms = if has_answered {
            Millis::ZERO
        } else {
            was_silent_ms
        };
        if state.queued_bytes < self.queued_bytes {
            self.record_progress();
        }
        self.queued_bytes = state.queued_bytes;
        self.unread_ms = self.unread_ms + since_check_ms;
        if self.silent_ms >= MAX_SILENCE_MS {
            return Finding::Dead;
        }
        let crowded_ms = is_crowded.then_some(CROWDED_UNREAD_MS);
        match crowded_ms.or(self.unread_limit_ms) {
            Some(limit_ms) if self.unread_ms >= limit_ms => Finding::Unread,
            _ => Finding::Waiting,
        }
    }
}
