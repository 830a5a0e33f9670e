//! Splits a stream of server-sent events into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event; a target that sends more has failed.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event, as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Bytes of a stream that are not a whole event yet.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
}

/// An event is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

impl EventSplitter {
    /// Creates an empty splitter.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLarge`] if no event ends within the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.pending)?;
        let bytes = self.pending.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Whether part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Returns where the first event ends: behind a blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
