//! Paths to targets in service.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::service_path::ServicePath;

/// Records attempts without a path at these times, and returns at which of them the loss counts
/// for the first time.
fn losses(path: &mut ServicePath, times_ms: &[u64]) -> Vec<u64> {
    let is_first = |time: &&u64| path.record_none(Millis(**time));
    times_ms.iter().filter(is_first).copied().collect()
}

/// Load: a data centre whose targets are out of service is cut off, and its callers go on.
#[test]
fn a_path_is_lost_once_after_attempts_over_some_time() {
    let mut path = ServicePath::new();
    assert_eq!(losses(&mut path, &[100, 101, 300, 499]), []);
    assert!(!path.is_lost(Millis(499)));
    assert!(path.is_in_doubt());
    assert_eq!(losses(&mut path, &[500, 700, 900]), [500]);
    assert!(path.is_lost(Millis(5_000)));
    assert_eq!(path.lost_ms(Millis(5_000)), Millis(4_900));
}

/// Load: few callers, so that one attempt is the only one for seconds.
#[test]
fn one_attempt_shows_no_loss() {
    let mut path = ServicePath::new();
    assert!(!path.record_none(Millis(100)));
    assert!(!path.is_lost(Millis(60_000)));
}

/// Failure: one link after another fails and comes back.
#[test]
fn a_target_that_is_reached_ends_the_loss_and_the_doubt() {
    let mut path = ServicePath::new();
    assert!(!path.record_found());
    assert_eq!(losses(&mut path, &[0, 300]), []);
    assert!(!path.record_found());
    assert_eq!(losses(&mut path, &[350, 500]), []);
    assert_eq!(losses(&mut path, &[750]), [750]);
    assert!(path.record_found());
    assert!(!path.is_lost(Millis(10_000)));
    assert!(!path.is_in_doubt());
    assert_eq!(path.lost_ms(Millis(10_000)), Millis::ZERO);
}
