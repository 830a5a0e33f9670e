//! Limits on the age of data, against the time within which a change must be in force.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::freshness::AgeLimits;
use filbertpaddle_forward::freshness::HANDOVER_MS;
use filbertpaddle_forward::freshness::READER_PAUSE_MS;
use filbertpaddle_forward::freshness::RESPONSE_TIMEOUT_MS;

/// Bounds that the users' deployments state.
const STATED_BOUNDS_MS: [Millis; 3] = [Millis(2_000), Millis(3_000), Millis(4_000)];

/// Time from a change until the followers have it, if the reader's path to the store goes
/// silent just before the change.
fn longest_delay_ms(limits: AgeLimits) -> Millis {
    READER_PAUSE_MS + limits.long_poll_ms + RESPONSE_TIMEOUT_MS + HANDOVER_MS
}

#[test]
fn a_change_is_in_force_in_time_though_the_path_of_the_reader_has_just_gone_silent() {
    for bound_ms in STATED_BOUNDS_MS {
        let limits = AgeLimits::within(bound_ms);
        assert!(longest_delay_ms(limits) <= bound_ms, "bound {bound_ms:?}");
    }
}

#[test]
fn data_that_followers_rely_on_leaves_them_time_to_read_the_store() {
    for bound_ms in STATED_BOUNDS_MS {
        let limits = AgeLimits::within(bound_ms);
        assert!(
            limits.max_age_ms + HANDOVER_MS <= bound_ms,
            "bound {bound_ms:?}"
        );
    }
}

#[test]
fn data_of_a_sound_reader_without_changes_is_relied_upon() {
    for bound_ms in (1_000..6_000).step_by(100).map(Millis) {
        let limits = AgeLimits::within(bound_ms);
        let oldest_ms = READER_PAUSE_MS + limits.long_poll_ms;
        assert!(oldest_ms < limits.max_age_ms, "bound {bound_ms:?}");
    }
}

/// Each reader makes one call for each table and long poll.
#[test]
fn a_tight_bound_does_not_exhaust_the_rate_of_calls_of_the_store() {
    let limits = AgeLimits::within(Millis::ZERO);
    assert!(READER_PAUSE_MS + limits.long_poll_ms >= Millis(400));
}
