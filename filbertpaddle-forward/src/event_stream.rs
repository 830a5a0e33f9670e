//! Splitter of a byte stream into server-sent events.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event. A larger one counts as a failure of the target.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Complete event, byte for byte as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event ID, if the event has a numeric one.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line at its end.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether it consists of comments alone, which receivers ignore.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| line.is_empty() || line == b"\r" || line.starts_with(b":"))
    }
}

/// Buffer that splits received bytes into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Number of pending bytes that are known to contain no end of an event.
    searched: usize,
    /// Start of the line at which the search goes on.
    line_start: usize,
}

/// Error for an event that is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "server-sent event is larger than {MAX_EVENT_BYTES} bytes; stream of the target counts as broken"
)]
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
    /// Returns [`EventTooLarge`] if more than [`MAX_EVENT_BYTES`] bytes are buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(())
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_event_end()?;
        let bytes = self.pending.split_to(end).freeze();
        self.searched = 0;
        self.line_start = 0;
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the index just after the blank line that ends the first event. Goes on where
    /// the last search ended, as a faulty target may send a long event byte by byte.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.pending.get(self.searched) {
            let index = self.searched;
            self.searched += 1;
            if *byte != b'\n' {
                continue;
            }
            let line = &self.pending[self.line_start..index];
            if self.line_start > 0 && (line.is_empty() || line == b"\r") {
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
