//! State that a pool's owner keeps of one member: promise, session and stamp.

use crate::clock::Millis;
use crate::roster::NodeId;
use crate::timing::Timing;

/// A member's promise not to use its shares for [`Timing::promise_ms`], made
/// while it held no newer version of the roster than the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Promise {
    /// Number of times that the member has entered share mode.
    pub session: u32,
    /// Lower bound, on the reader's clock, of when the promise was made.
    pub made_ms: Millis,
}

/// A pool owner's state of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Identifies the member.
    pub id: NodeId,
    /// Latest promise.
    pub promise: Option<Promise>,
    /// Session of its last reply to this owner's collect requests.
    pub collected: Option<u32>,
    /// Whether it ever replied to this owner's collect requests.
    pub has_replied: bool,
    /// Latest stamp.
    pub stamp: u64,
}

impl Peer {
    /// Returns the state of a member that has sent nothing yet.
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            promise: None,
            collected: None,
            has_replied: false,
            stamp: 0,
        }
    }

    /// Records a promise; one made before the last is ignored.
    pub fn on_promise(&mut self, promise: Promise) {
        let is_newer =
            |last: Promise| (promise.session, promise.made_ms) > (last.session, last.made_ms);
        if self.promise.is_none_or(is_newer) {
            self.promise = Some(promise);
        }
    }

    /// Returns whether the member's promise outlasts any grant made now.
    ///
    /// The owner may be paused between this check and sending the grant, so the
    /// promise has to cover the whole time in which the grant can be accepted.
    pub fn promise_covers_grant(&self, now: Millis, timing: &Timing) -> bool {
        self.promise
            .is_some_and(|promise| promise.made_ms + timing.promise_ms >= now + timing.accept_ms)
    }

    /// Returns whether the owner's count of the member's work is complete.
    pub fn is_count_complete(&self, now: Millis, timing: &Timing) -> bool {
        let session = self.promise.map(|promise| promise.session);
        self.promise_covers_grant(now, timing) && self.collected == session
    }

    /// Returns whether the member has not yet replied in its current session.
    pub fn is_collect_due(&self) -> bool {
        self.promise
            .is_some_and(|promise| self.collected != Some(promise.session))
    }
}
