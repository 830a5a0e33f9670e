//! Mode of a node: sending work under owners' grants or within its fixed shares.

use crate::clock::Millis;
use crate::timing::Timing;

/// Rule under which a node may send work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mode {
    /// Only under grants of pool owners.
    Granted,
    /// Only within its fixed share of each target.
    Share {
        /// When the node entered the mode.
        since_ms: Millis,
    },
}

/// A node's mode and its promise not to use shares.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ModeState {
    timing: Timing,
    mode: Mode,
    promised_until_ms: Millis,
    session: u32,
}

impl ModeState {
    /// Returns the state of a node that has just started.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            mode: Mode::Granted,
            promised_until_ms: Millis::ZERO,
            session: 0,
        }
    }

    /// Returns the mode.
    pub fn mode(&self) -> Mode {
        self.mode
    }

    /// Returns how often the node has entered share mode.
    pub fn session(&self) -> u32 {
        self.session
    }

    /// Promises not to use shares for [`Timing::promise_ms`]; returns the
    /// session to be sent with the promise.
    ///
    /// Returns `None` in share mode.
    pub fn promise(&mut self, now: Millis) -> Option<u32> {
        if self.mode != Mode::Granted {
            return None;
        }
        self.promised_until_ms = now + self.timing.promise_ms;
        Some(self.session)
    }

    /// Returns whether the last promise has expired, so that the node may enter
    /// share mode.
    pub fn may_share(&self, now: Millis) -> bool {
        now >= self.promised_until_ms
    }

    /// Enters share mode unless a promise forbids it; returns whether it did.
    pub fn enter_share(&mut self, now: Millis) -> bool {
        if self.mode != Mode::Granted || !self.may_share(now) {
            return false;
        }
        self.mode = Mode::Share { since_ms: now };
        self.session += 1;
        true
    }

    /// Leaves share mode.
    pub fn leave_share(&mut self) {
        self.mode = Mode::Granted;
    }
}
