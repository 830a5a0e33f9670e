//! Events of a stream, and when a generation moves.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::event_stream::EventSplitter;
use filbertpaddle_forward::event_stream::EventTooLarge;
use filbertpaddle_forward::event_stream::MAX_EVENT_BYTES;
use filbertpaddle_forward::migration::Copy;
use filbertpaddle_forward::migration::Migration;
use filbertpaddle_forward::migration::MigrationStep;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// However the bytes fall into pieces, the same events come out unchanged.
#[test]
fn events_come_out_whole_however_their_bytes_arrive() {
    let stream = b"id: 1\ndata: a\n\nweights: 4\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 3\nda";
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut splitter = EventSplitter::new();
        let mut rest = &stream[..];
        let (mut ids, mut bytes) = (Vec::new(), Vec::new());
        while !rest.is_empty() {
            let (piece, left) = rest.split_at(rng.random_range(1..=rest.len().min(9)));
            rest = left;
            splitter.push(piece).unwrap();
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
fn an_event_without_an_end_is_refused() {
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
fn a_long_generation_is_copied_at_once_and_goes_on_from_the_copy() {
    let mut migration = Migration::new();
    assert_eq!(migration.next_step(Millis(0)), MigrationStep::Wait(None));
    migration.schedule(Millis(10), 500);
    assert_eq!(migration.next_step(Millis(10)), MigrationStep::Copy);
    migration.record_copy_started();
    assert_eq!(migration.next_step(Millis(11)), MigrationStep::Wait(None));
    migration.record_copied(copy("b"));
    assert_eq!(migration.next_step(Millis(12)), MigrationStep::Switch);
    assert_eq!(migration.take_copy(), Some(copy("b")));
}

#[test]
fn a_generation_that_ends_soon_does_not_hold_up_others() {
    let mut migration = Migration::new();
    migration.schedule(Millis(10), 20);
    let MigrationStep::Wait(Some(at)) = migration.next_step(Millis(10)) else {
        panic!("it is copied at once");
    };
    assert!(at > Millis(500));
    assert_eq!(migration.next_step(at), MigrationStep::Copy);
    // A later notice does not put it off again.
    migration.schedule(at, 20);
    assert_eq!(migration.next_step(at), MigrationStep::Copy);
}

#[test]
fn a_copy_that_fails_is_tried_again_after_a_pause() {
    let mut migration = Migration::new();
    migration.schedule(Millis(10), 500);
    migration.record_copy_started();
    migration.record_copy_failed(Millis(20));
    let MigrationStep::Wait(Some(at)) = migration.next_step(Millis(20)) else {
        panic!("no pause");
    };
    assert_eq!(migration.next_step(at), MigrationStep::Copy);
}
