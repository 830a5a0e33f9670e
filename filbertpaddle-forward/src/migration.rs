//! When a running generation moves to another target.
//!
//! A leaving target gives about two seconds' notice. The generation's memory is
//! copied while it goes on running, which takes the longest and shares one link
//! with every other generation of that target. Shortly before the target leaves,
//! what is new is copied, and the stream goes on from the copy.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

/// How long before a target leaves its streams have gone on elsewhere.
const SWITCH_LEAD_MS: Millis = Millis(250);
/// How long before the switch the copy is brought up to date.
const REFRESH_LEAD_MS: Millis = Millis(120);
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
pub enum Step {
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
    leaves_ms: Option<Millis>,
    copy: Option<Copy>,
    is_copying: bool,
    is_fresh: bool,
    not_before_ms: Millis,
}

impl Migration {
    /// Nothing is planned.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether the target is known to leave.
    pub fn is_noticed(&self) -> bool {
        self.leaves_ms.is_some()
    }

    /// The target leaves at `leaves_ms`; a later word replaces an earlier.
    pub fn noticed(&mut self, leaves_ms: Millis) {
        self.leaves_ms = Some(leaves_ms);
    }

    /// The copy at hand.
    pub fn copy(&self) -> Option<&Copy> {
        self.copy.as_ref()
    }

    /// Takes the copy, to go on from it.
    pub fn take_copy(&mut self) -> Option<Copy> {
        self.copy.take()
    }

    /// A copy was begun.
    pub fn copying(&mut self, now: Millis) {
        self.is_copying = true;
        self.is_fresh = self
            .switch_at()
            .is_some_and(|at| now + REFRESH_LEAD_MS >= at);
    }

    /// A copy is complete; returns the one that it replaces.
    pub fn copied(&mut self, copy: Copy) -> Option<Copy> {
        self.is_copying = false;
        self.copy.replace(copy)
    }

    /// A copy could not be made.
    pub fn copy_failed(&mut self, now: Millis) {
        self.is_copying = false;
        self.is_fresh = false;
        self.not_before_ms = now + RETRY_PAUSE_MS;
    }

    /// What to do now.
    pub fn next(&self, now: Millis) -> Step {
        let Some(switch_at) = self.switch_at() else {
            return Step::Wait(None);
        };
        if self.is_copying {
            return Step::Wait(None);
        }
        if self.copy.is_none() {
            return self.copy_from(now, self.not_before_ms);
        }
        if now >= switch_at {
            return Step::Switch;
        }
        if self.is_fresh {
            return Step::Wait(Some(switch_at));
        }
        let refresh_at = Millis(switch_at.0.saturating_sub(REFRESH_LEAD_MS.0));
        self.copy_from(now, refresh_at.max(self.not_before_ms))
    }

    fn copy_from(&self, now: Millis, at: Millis) -> Step {
        if now >= at {
            Step::Copy
        } else {
            Step::Wait(Some(at))
        }
    }

    fn switch_at(&self) -> Option<Millis> {
        let leaves_ms = self.leaves_ms?;
        Some(Millis(leaves_ms.0.saturating_sub(SWITCH_LEAD_MS.0)))
    }
}
