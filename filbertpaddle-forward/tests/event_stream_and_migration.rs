//! Splitting of event streams, and the steps of a migration.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::event_stream::Event;
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

/// Returns the splitter's events for a stream that arrives in the given pieces.
fn events_of(pieces: &[&[u8]]) -> Vec<Event> {
    let mut splitter = EventSplitter::new();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece).unwrap();
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    events.extend(splitter.take_blank_lines());
    assert!(!splitter.has_partial_event());
    events
}

/// Streams whose lines end in CR alone, as they may, ended as broken.
#[test]
fn lines_end_in_lf_cr_lf_or_cr() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = "id: 1|data: a||:|id: 2|data: b||data: c||".replace('|', end);
        let bytes = stream.as_bytes();
        let whole = events_of(&[bytes]);
        let ids: Vec<_> = whole.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "{end:?}");
        let pieces: Vec<_> = bytes.chunks(1).collect();
        for events in [whole, events_of(&pieces)] {
            let passed: Vec<_> = events
                .iter()
                .flat_map(|event| event.bytes.to_vec())
                .collect();
            assert_eq!(passed, bytes, "{end:?}");
        }
    }
}

#[test]
fn ends_of_lines_may_be_mixed_and_split_anywhere() {
    let stream = b"id: 1\rdata: a\n\r\nid: 2\r\ndata: b\r\rid: 3\ndata: c\r\n\rid: 4\r\n\r\n";
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rest = &stream[..];
        let mut pieces = Vec::new();
        while !rest.is_empty() {
            let (piece, remaining) = rest.split_at(rng.random_range(1..=rest.len().min(9)));
            pieces.push(piece);
            rest = remaining;
        }
        let events = events_of(&pieces);
        let ids: Vec<_> = events.iter().filter_map(|event| event.id).collect();
        assert_eq!(ids, [1, 2, 3, 4], "seed {seed}");
        let passed: Vec<_> = events
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .collect();
        assert_eq!(passed, stream, "seed {seed}");
    }
}

/// It must not wait for the LF that may or may not follow.
#[test]
fn an_event_that_ends_in_cr_is_complete_at_once() {
    let mut splitter = EventSplitter::new();
    splitter.push(b"id: 1\r\n\r").unwrap();
    assert_eq!(splitter.next_event().unwrap().id, Some(1));
    splitter.push(b"\n").unwrap();
    assert_eq!(splitter.next_event(), None);
    assert!(!splitter.has_partial_event());
    splitter.push(b"id: 2\r\n\r\n").unwrap();
    let event = splitter.next_event().unwrap();
    assert_eq!(
        (event.id, &event.bytes[..]),
        (Some(2), &b"\nid: 2\r\n\r\n"[..])
    );
}

/// Such a stream ended within an event.
#[test]
fn blank_lines_at_the_end_are_no_part_of_an_event() {
    let events = events_of(&[b"id: 1\n\n", b"\n"]);
    assert_eq!(events.len(), 2);
    assert!(events[1].is_comment() && events[1].bytes == "\n");
}

#[test]
fn a_byte_order_mark_is_no_part_of_the_first_line() {
    let stream = "\u{feff}id: 1\n\n".as_bytes();
    let pieces: Vec<_> = stream.chunks(1).collect();
    let events = events_of(&pieces);
    assert_eq!((events[0].id, &events[0].bytes[..]), (Some(1), stream));
    assert!(events_of(&["\u{feff}: comment\n\n".as_bytes()])[0].is_comment());
    // Receivers take one at the start of the whole stream alone for a mark.
    let later = events_of(&["id: 1\n\n\u{feff}id: 2\n\n".as_bytes()]);
    assert_eq!(later[1].id, None);
}

/// Within the stream of a caller it would be a part of the first line.
#[test]
fn a_byte_order_mark_of_a_further_run_is_left_out() {
    let mut splitter = EventSplitter::for_further_run();
    splitter
        .push("\u{feff}id: 4\n\n\u{feff}id: 5\n\n".as_bytes())
        .unwrap();
    let first = splitter.next_event().unwrap();
    assert_eq!((first.id, &first.bytes[..]), (Some(4), &b"id: 4\n\n"[..]));
    assert_eq!(splitter.next_event().unwrap().id, None);
}

#[test]
fn the_last_valid_id_of_an_event_counts() {
    for (event, id) in [
        ("id: 1\nid: 2\n\n", Some(2)),
        ("id:3\ndata: a\n\n", Some(3)),
        ("id: 4\nid: 5\0\n\n", Some(4)),
        ("id: 6\nid: x\n\n", None),
        ("id: 7\nid\n\n", None),
        (" id: 8\n\n", None),
        ("identity: 9\n\n", None),
    ] {
        assert_eq!(events_of(&[event.as_bytes()])[0].id, id, "{event:?}");
    }
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
