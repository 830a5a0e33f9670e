//! Splitter of a byte stream into server-sent events.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event. A larger one counts as a failure of the target.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Size of the buffer that a stream keeps between events.
const KEPT_BUFFER_BYTES: usize = 16 << 10;

/// Byte order mark, which receivers ignore at the start of a stream.
const MARK: &[u8] = "\u{feff}".as_bytes();

/// Complete event, byte for byte as received.
///
/// It includes the blank line at its end, but for the LF of a final CR LF that had not arrived yet.
/// That LF is then at the start of the next event, where it ends no line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Event ID, if the event has a numeric one.
    pub id: Option<u64>,
    /// Bytes of the event.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether it consists of comments alone, which receivers ignore.
    pub fn is_comment(&self) -> bool {
        let mut lines = lines(without_mark(&self.bytes));
        lines.all(|line| line.is_empty() || line.starts_with(b":"))
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
    /// Whether an event has been returned.
    has_begun: bool,
    /// Whether the stream goes on with that of another run.
    is_further_run: bool,
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

    /// Creates an empty splitter of a stream that goes on with that of another run, whose byte
    /// order mark is left out: receivers would take it for a part of the first line.
    pub fn for_further_run() -> Self {
        Self {
            is_further_run: true,
            ..Self::default()
        }
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
        let mut bytes = self.take_pending(end);
        self.searched = 0;
        self.line_start = 0;
        let is_first = !std::mem::replace(&mut self.has_begun, true);
        if is_first && self.is_further_run && bytes.starts_with(MARK) {
            bytes.advance(MARK.len());
        }
        let content = if is_first {
            without_mark(&bytes)
        } else {
            &bytes[..]
        };
        Some(Event {
            id: event_id(content),
            bytes,
        })
    }

    /// Removes and returns the first pending bytes. They are copied, so that a small event that waits
    /// for its receiver does not keep the whole buffer.
    fn take_pending(&mut self, length: usize) -> Bytes {
        let bytes = Bytes::copy_from_slice(&self.pending[..length]);
        self.pending.advance(length);
        if self.pending.is_empty() && self.pending.capacity() > KEPT_BUFFER_BYTES {
            self.pending = BytesMut::new();
        }
        bytes
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        self.pending.iter().any(|byte| !is_line_end(*byte))
    }

    /// Removes and returns blank lines that follow the last event of a stream that has ended.
    pub fn take_blank_lines(&mut self) -> Option<Event> {
        if self.pending.is_empty() || self.has_partial_event() {
            return None;
        }
        let bytes = self.pending.split().freeze();
        Some(Event { id: None, bytes })
    }

    /// Returns the index just after the blank line that ends the first event. Goes on where
    /// the last search ended, as a faulty target may send a long event byte by byte.
    fn find_event_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.pending.get(self.searched) {
            let byte = *byte;
            let index = self.searched;
            self.searched += 1;
            if !is_line_end(byte) {
                continue;
            }
            let is_blank = self.line_start == index;
            self.line_start = index + 1;
            if index == 0 || self.is_within_line_end(index) {
                continue;
            }
            if is_blank {
                let has_line_feed = byte == b'\r' && self.pending.get(index + 1) == Some(&b'\n');
                return Some(index + 1 + usize::from(has_line_feed));
            }
        }
        None
    }

    /// Returns whether the byte at `index` is the LF of a CR LF.
    fn is_within_line_end(&self, index: usize) -> bool {
        self.pending[index - 1..=index] == *b"\r\n"
    }
}

fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}

/// Returns the lines of an event, with further blank ones between CR and LF.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event.split(|byte| is_line_end(*byte))
}

fn without_mark(bytes: &[u8]) -> &[u8] {
    bytes.strip_prefix(MARK).unwrap_or(bytes)
}

/// Returns the event ID, if it is numeric: the last one that contains no NUL counts.
fn event_id(event: &[u8]) -> Option<u64> {
    let values = lines(event).filter_map(|line| match line {
        b"id" => Some(&[][..]),
        _ => line.strip_prefix(b"id:"),
    });
    let last = values.filter(|value| !value.contains(&0)).last()?;
    str::from_utf8(last).ok()?.trim().parse().ok()
}
