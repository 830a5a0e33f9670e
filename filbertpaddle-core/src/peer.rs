//! What a pool's owner knows of one member.

use crate::clock::Millis;
use crate::roster::NodeId;
use crate::timing::Timing;

/// A member's word that it uses no share for a while, given while it knew no
/// newer version of the record than the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Promise {
    /// Counts how often the member has used its share.
    pub session: u32,
    /// Lower bound, on the reader's clock, of when the promise was made.
    pub made_ms: Millis,
}

/// One member as its pool's owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Which member.
    pub id: NodeId,
    /// Its latest promise.
    pub promise: Option<Promise>,
    /// Session in which it last told this owner what it holds.
    pub collected: Option<u32>,
    /// Whether it ever told this owner what it holds.
    pub has_reported: bool,
    /// Its latest stamp.
    pub stamp: u64,
}

impl Peer {
    /// Returns a member of which nothing is known.
    pub fn new(id: NodeId) -> Self {
        Self {
            id,
            promise: None,
            collected: None,
            has_reported: false,
            stamp: 0,
        }
    }

    /// Takes in a promise; one made before the last is ignored.
    pub fn on_promise(&mut self, promise: Promise) {
        let is_newer =
            |last: Promise| (promise.session, promise.made_ms) > (last.session, last.made_ms);
        if self.promise.is_none_or(is_newer) {
            self.promise = Some(promise);
        }
    }

    /// Returns whether the member's promise outlasts any grant made now.
    ///
    /// The owner may be paused between this check and its send, so the promise
    /// has to cover the whole time in which the grant can be accepted.
    pub fn promise_covers_grant(&self, now: Millis, timing: &Timing) -> bool {
        self.promise
            .is_some_and(|promise| promise.made_ms + timing.promise_ms >= now + timing.accept_ms)
    }

    /// Returns whether the owner's count of the member's work is complete.
    pub fn is_count_complete(&self, now: Millis, timing: &Timing) -> bool {
        let session = self.promise.map(|promise| promise.session);
        self.promise_covers_grant(now, timing) && self.collected == session
    }

    /// Returns whether the member should be asked what it holds.
    pub fn is_collect_due(&self) -> bool {
        self.promise
            .is_some_and(|promise| self.collected != Some(promise.session))
    }
}
