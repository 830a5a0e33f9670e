//! Targets that send comments or repeated events without end.

use bytes::Bytes;
use filbertpaddle_forward::event_stream::Event;
use filbertpaddle_forward::idle_output::IdleOutput;

fn event(id: Option<u64>, text: &'static str) -> Event {
    Event {
        id,
        bytes: Bytes::from_static(text.as_bytes()),
    }
}

/// Streams went on until their deadline, however much of nothing their targets sent.
#[test]
fn comments_and_repeated_events_without_end_are_given_up() {
    let repeated = event(Some(3), "id: 3\ndata: a\n\n");
    for idle in [event(None, ":\n\n"), event(None, "\n\n"), repeated] {
        let mut output = IdleOutput::new();
        let sent = (0..1_000_000).take_while(|_| !output.record(&idle, Some(3)));
        let bytes = sent.count() * idle.bytes.len();
        assert!(bytes < 1 << 20, "{bytes} bytes of {idle:?}");
    }
}

#[test]
fn a_new_event_lets_the_stream_go_on() {
    let mut output = IdleOutput::new();
    for id in 1..1_000 {
        for _ in 0..1_000 {
            assert!(!output.record(&event(None, ":\n\n"), Some(id)));
        }
        let next = event(Some(id + 1), "id: 1\n\n");
        assert!(!output.record(&next, Some(id)));
    }
    // Events of streams without IDs are new as well.
    for _ in 0..1_000_000 {
        assert!(!output.record(&event(None, "data: a\n\n"), None));
    }
}
