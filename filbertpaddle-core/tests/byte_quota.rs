//! Quotas under many peers that send a part of something and stop.

use filbertpaddle_core::byte_quota::ByteQuota;

const KIB: usize = 1 << 10;
const MAX_BYTES: usize = 16 << 20;

/// 240 streams each held a part of an event; a node of a small VM ran out of memory.
#[test]
fn holders_that_have_stopped_are_bounded_together_and_a_growing_one_stays() {
    let mut quota = ByteQuota::new(MAX_BYTES);
    for _ in 0..800 {
        let stalled = quota.add_holder();
        for step in 1..=30 {
            quota.set(stalled, step * 8 * KIB);
            assert!(quota.used_bytes() <= MAX_BYTES);
        }
    }
    let sound = quota.add_holder();
    for step in 1..=512 {
        let evicted = quota.set(sound, step * 8 * KIB);
        assert!(!evicted.contains(&sound), "after {step} steps");
        assert!(quota.used_bytes() <= MAX_BYTES);
    }
}

#[test]
fn those_within_half_an_equal_share_stay() {
    let mut quota = ByteQuota::new(100);
    let small: Vec<_> = (0..9).map(|_| quota.add_holder()).collect();
    for id in &small {
        assert_eq!(quota.set(*id, 5), []);
    }
    let large = quota.add_holder();
    assert_eq!(quota.set(large, 55), []);
    assert_eq!(quota.set(large, 56), [large]);
    assert_eq!(quota.used_bytes(), 45);
    // Once evicted, it holds nothing any more.
    assert_eq!(quota.set(large, 1), [large]);
    assert_eq!(quota.used_bytes(), 45);
}

#[test]
fn a_holder_that_is_alone_stays() {
    let mut quota = ByteQuota::new(100);
    let [idle, alone] = [quota.add_holder(), quota.add_holder()];
    assert_eq!(quota.set(alone, 150), []);
    assert_eq!(quota.set(idle, 1), [alone]);
}

#[test]
fn what_is_released_can_be_used_again() {
    let mut quota = ByteQuota::new(100);
    for _ in 0..1_000 {
        let [first, second] = [quota.add_holder(), quota.add_holder()];
        assert_eq!(quota.set(first, 60), []);
        assert_eq!(quota.set(second, 40), []);
        quota.remove(first);
        quota.remove(second);
        assert_eq!(quota.used_bytes(), 0);
    }
}
