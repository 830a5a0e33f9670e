//! When a running generation moves to another target.
//!
//! A leaving target gives about two seconds' notice. The generation's memory is
//! copied while it goes on running, which takes the longest and shares one link
//! with every other generation of that target. As soon as the copy is complete,
//! the stream goes on from it: what was made meanwhile is few tokens, and they
//! are read again in less time than a second copy would wait for the link.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

/// Time that one output token takes at a busy target.
pub(crate) const TOKEN_MS: u64 = 12;
/// Time within which a generation that is about to end is left alone after its
/// target's notice, so that its copy does not hold up longer ones.
const SPARED_MS: Millis = Millis(900);
/// Pause after a copy that could not be made.
const RETRY_PAUSE_MS: Millis = Millis(60);

/// A copy of a generation's memory at another target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// Target that holds the copy.
    pub to: Name,
    /// Name of the copy.
    pub handle: Name,
    /// Events that had been made when the copy was complete.
    pub events: u64,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MigrationStep {
    /// Nothing before this time; `None` while nothing is planned.
    Wait(Option<Millis>),
    /// Copy the memory, or what is new of it.
    Copy,
    /// Go on from the copy.
    Switch,
}

/// The migration of one generation away from its target.
#[derive(Clone, Debug, Default)]
pub struct Migration {
    is_noticed: bool,
    copy: Option<Copy>,
    is_copying: bool,
    not_before_ms: Millis,
}

impl Migration {
    /// Nothing is planned.
    pub fn new() -> Self {
        Self::default()
    }

    /// The target leaves, and the generation is expected to make
    /// `remaining_tokens` more.
    pub fn schedule(&mut self, now: Millis, remaining_tokens: u32) {
        if self.is_noticed {
            return;
        }
        self.is_noticed = true;
        if u64::from(remaining_tokens) * TOKEN_MS < SPARED_MS.0 {
            self.not_before_ms = now + SPARED_MS;
        }
    }

    /// The copy at hand.
    pub fn copy(&self) -> Option<&Copy> {
        self.copy.as_ref()
    }

    /// Takes the copy, to go on from it or to give it up.
    pub fn take_copy(&mut self) -> Option<Copy> {
        self.copy.take()
    }

    /// A copy was begun.
    pub fn record_copy_started(&mut self) {
        self.is_copying = true;
    }

    /// A copy is complete.
    pub fn record_copied(&mut self, copy: Copy) {
        self.is_copying = false;
        self.copy = Some(copy);
    }

    /// A copy could not be made.
    pub fn record_copy_failed(&mut self, now: Millis) {
        self.is_copying = false;
        self.not_before_ms = now + RETRY_PAUSE_MS;
    }

    /// What to do now.
    pub fn next_step(&self, now: Millis) -> MigrationStep {
        if !self.is_noticed || self.is_copying {
            return MigrationStep::Wait(None);
        }
        if self.copy.is_some() {
            return MigrationStep::Switch;
        }
        if now < self.not_before_ms {
            return MigrationStep::Wait(Some(self.not_before_ms));
        }
        MigrationStep::Copy
    }
}
