//! Targets that fall silent with a request.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::silent_target::Finding;
use filbertpaddle_forward::silent_target::Listing;
use filbertpaddle_forward::silent_target::finding;
use filbertpaddle_forward::silent_target::is_down;

const ENDED_MS: Millis = Millis(10_000);

/// Heartbeats every 1.2 s, the entry removed after three, and a list that is up to 2 s old.
#[test]
fn an_entry_that_is_removed_after_its_last_heartbeats_may_be_of_a_target_that_is_down() {
    for after_ms in (0..3 * 1_200 + 2_000).step_by(100) {
        let now = ENDED_MS + Millis(after_ms);
        assert_eq!(finding(now, ENDED_MS, Listing::Listed), Finding::Wait);
        assert_eq!(finding(now, ENDED_MS, Listing::Gone), Finding::MayBeDown);
        assert_eq!(finding(now, ENDED_MS, Listing::Leaving), Finding::Unclear);
    }
}

#[test]
fn a_target_that_stays_listed_is_not_watched_for_ever() {
    let now = ENDED_MS + Millis::from_secs(60);
    assert_eq!(finding(now, ENDED_MS, Listing::Listed), Finding::Unclear);
}

/// A target that lost the store alone still accepts connections, and in a data centre without power
/// no other does.
#[test]
fn only_a_target_that_is_silent_beside_others_is_down() {
    assert!(is_down(false, true));
    for (accepts_connections, is_other_reached) in [(true, true), (true, false), (false, false)] {
        assert!(!is_down(accepts_connections, is_other_reached));
    }
}
