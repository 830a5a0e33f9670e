//! Limits on buffered response bodies under many bodies without end.

use filbertpaddle_http::buffer_limit::BufferLimit;
use filbertpaddle_http::buffer_limit::ExceededLimit;

const CHUNK_BYTES: usize = 16 << 10;
/// A share of the memory of the smallest VM of the users' deployments, 88 MB.
const MAX_BUFFERED_BYTES: usize = 24 << 20;

#[test]
fn one_body_without_end_is_bounded() {
    let limit = BufferLimit::new();
    let body = limit.start();
    let added = (0..).map(|_| body.add(CHUNK_BYTES));
    let first = added.take(10_000).find_map(Result::err);
    assert_eq!(first, Some(ExceededLimit::Body));
}

/// Fifty targets send without end at the same time.
#[test]
fn many_bodies_without_end_are_bounded_together_and_small_ones_pass() {
    let limit = BufferLimit::new();
    let mut endless: Vec<_> = (0..50).map(|_| (limit.start(), 0)).collect();
    let mut most = 0;
    for _ in 0..2_000 {
        endless.retain_mut(|(body, bytes)| {
            *bytes += CHUNK_BYTES;
            body.add(CHUNK_BYTES).is_ok()
        });
        let buffered: usize = endless.iter().map(|(_, bytes)| bytes).sum();
        most = most.max(buffered);
        assert_eq!(limit.start().add(800), Ok(()));
    }
    assert!(most <= MAX_BUFFERED_BYTES, "{most} bytes");
    assert!(endless.is_empty());
    // What they used is free again.
    let large = limit.start();
    for _ in 0..256 {
        assert_eq!(large.add(CHUNK_BYTES), Ok(()));
    }
}
