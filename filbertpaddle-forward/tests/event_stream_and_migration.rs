//! Splitting of event streams, and the steps of a migration.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::event_stream::EventSplitter;
use filbertpaddle_forward::event_stream::EventTooLarge;
use filbertpaddle_forward::event_stream::MAX_EVENT_BYTES;
use filbertpaddle_forward::migration::Copy;
use filbertpaddle_forward::migration::Migration;
use filbertpaddle_forward::migration::Step;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The events must be the same, byte for byte, however the stream is split into chunks.
#[test]
fn events_do_not_depend_on_how_the_bytes_are_split() {
    let stream = b"id: 1\ndata: a\n\nweights: 4\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda";
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut splitter = EventSplitter::new();
        let mut rest = &stream[..];
        let (mut ids, mut bytes) = (Vec::new(), Vec::new());
        while !rest.is_empty() {
            let (chunk, remaining) = rest.split_at(rng.random_range(1..=rest.len().min(9)));
            rest = remaining;
            splitter.push(chunk).unwrap();
            while let Some(event) = splitter.next_event() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        assert_eq!(ids, [Some(1), Some(2), None], "seed {seed}");
        assert_eq!(bytes, &stream[..stream.len() - 8], "seed {seed}");
        assert!(splitter.has_partial_event());
    }
}

#[test]
fn only_blocks_without_fields_are_comments() {
    let is_comment = |bytes: &[u8]| {
        let mut splitter = EventSplitter::new();
        splitter.push(bytes).unwrap();
        splitter.next_event().unwrap().is_comment()
    };
    for comment in [&b":\n\n"[..], b": still here\r\n:\r\n\r\n"] {
        assert!(is_comment(comment), "{comment:?}");
    }
    for other in [&b"id: 1\n\n"[..], b":\ndata: a\n\n", b"failed\n\n"] {
        assert!(!is_comment(other), "{other:?}");
    }
}

#[test]
fn event_above_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::new();
    splitter.push(&vec![b'x'; MAX_EVENT_BYTES]).unwrap();
    assert_eq!(splitter.push(b"x"), Err(EventTooLarge));
}

fn copy(to: &str) -> Copy {
    Copy {
        to: to.into(),
        handle: "h".into(),
        events: 3,
    }
}

#[test]
fn long_generation_is_copied_at_once_and_switches_to_the_copy() {
    let mut migration = Migration::new();
    assert_eq!(migration.next_step(Millis(0)), Step::Wait(None));
    migration.schedule(Millis(10), Millis(6_000));
    assert_eq!(migration.next_step(Millis(10)), Step::Copy);
    migration.record_copy_started();
    assert_eq!(migration.next_step(Millis(11)), Step::Wait(None));
    migration.record_copied(copy("b"));
    assert_eq!(migration.next_step(Millis(12)), Step::Switch);
    assert_eq!(migration.take_copy(), Some(copy("b")));
}

#[test]
fn generation_that_ends_soon_is_copied_later() {
    let mut migration = Migration::new();
    migration.schedule(Millis(10), Millis(240));
    let Step::Wait(Some(at)) = migration.next_step(Millis(10)) else {
        panic!("a generation that ends soon is copied without a wait");
    };
    assert!(at > Millis(500));
    assert_eq!(migration.next_step(at), Step::Copy);
    // A second notice does not postpone the copy again.
    migration.schedule(at, Millis(240));
    assert_eq!(migration.next_step(at), Step::Copy);
}

#[test]
fn failed_copy_is_retried_after_a_delay() {
    let mut migration = Migration::new();
    migration.schedule(Millis(10), Millis(6_000));
    migration.record_copy_started();
    migration.record_copy_failed(Millis(20));
    let Step::Wait(Some(at)) = migration.next_step(Millis(20)) else {
        panic!("a failed copy is retried without a delay");
    };
    assert_eq!(migration.next_step(at), Step::Copy);
}
