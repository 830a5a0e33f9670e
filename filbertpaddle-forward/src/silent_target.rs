//! Whether a target that gave no answer to a request has gone down with it.
//!
//! Load pattern: one request comes again and again, and each time its target's VM goes silent. No
//! connection is refused, so that the target looks cut off; but it does not renew its entry either,
//! and the store removes that after some heartbeats.

use filbertpaddle_core::clock::Millis;

/// Time for which a silent target is watched: that of its heartbeats, and of the list's age.
const WATCH_TIME_MS: Millis = Millis::from_secs(8);

/// What the list of targets shows about an incarnation of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It is listed.
    Listed,
    /// It has announced that it leaves.
    Leaving,
    /// It is not listed any more, or as a later incarnation.
    Gone,
}

/// What follows from that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing yet.
    Wait,
    /// The target may be down: it must accept no connection, while others near it do.
    MayBeDown,
    /// Nothing shows that it went down.
    Unclear,
}

/// Decides at `now` about a target that a request has waited for, which ended at `ended_ms`.
pub fn finding(now: Millis, ended_ms: Millis, listing: Listing) -> Finding {
    match listing {
        Listing::Leaving => Finding::Unclear,
        Listing::Gone => Finding::MayBeDown,
        Listing::Listed if now.since(ended_ms) >= WATCH_TIME_MS => Finding::Unclear,
        Listing::Listed => Finding::Wait,
    }
}

/// Returns whether a target that may be down is down. If none near it accepts a connection, its
/// data centre is cut off or without power, and no request is to blame.
pub fn is_down(accepts_connections: bool, is_other_reached: bool) -> bool {
    !accepts_connections && is_other_reached
}
