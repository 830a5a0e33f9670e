//! Peers that send bytes which belong to no body.

use filbertpaddle_core::read_progress::ReadProgress;

const READ_BYTES: usize = 8 << 10;
/// Largest head that is accepted, and what the HTTP library reads ahead of a body.
const HEAD_BYTES: usize = 64 << 10;

/// The digits of a chunk size without end kept the thread of a node busy.
#[test]
fn bytes_without_a_body_end_soon() {
    let mut progress = ReadProgress::new();
    let reads = (1..10_000).take_while(|_| progress.record_received(READ_BYTES).is_ok());
    let received = reads.count() * READ_BYTES;
    assert!(received >= 2 * HEAD_BYTES, "{received} bytes");
    assert!(received <= 1 << 20, "{received} bytes");
}

#[test]
fn bodies_go_on_for_as_long_as_they_are_delivered() {
    // Chunks of `length` bytes, each with a size of one or two digits and two ends of lines.
    for length in [3, 4, 40, 250] {
        let mut progress = ReadProgress::new();
        assert_eq!(progress.record_received(HEAD_BYTES), Ok(()));
        for _ in 0..1_000_000 {
            let framing = 4 + if length < 16 { 1 } else { 2 };
            let recorded = progress.record_received(framing + length);
            assert_eq!(recorded, Ok(()), "chunks of {length} bytes");
            progress.record_delivered(length);
        }
    }
}

/// A target that pauses its body to send framing alone is given up as well.
#[test]
fn a_body_that_was_delivered_allows_little_framing_later() {
    let mut progress = ReadProgress::new();
    assert_eq!(progress.record_received(1_000), Ok(()));
    progress.record_delivered(1_000);
    let reads = (1..10_000).take_while(|_| progress.record_received(READ_BYTES).is_ok());
    assert!(reads.count() * READ_BYTES <= 1 << 20);
}
