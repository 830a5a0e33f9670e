//! Limit on what a target sends of a stream without a new event.
//!
//! Load pattern: a faulty target sends comments or repeated events without end. Each is small and
//! soon passed on or dropped, and none ends the stream before its deadline.

use crate::event_stream::Event;
use crate::event_stream::MAX_EVENT_BYTES;

/// Bytes that a target may send in a row without a new event: those of the largest event.
const MAX_IDLE_BYTES: usize = MAX_EVENT_BYTES;
/// Bytes that an event counts as at least, since each takes time to pass on.
const MIN_EVENT_BYTES: usize = 64;

/// Bytes that a target has sent since its last new event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleOutput {
    bytes: usize,
}

impl IdleOutput {
    /// Creates the output of a target that has sent nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an event of a stream whose last event is `last_event`; returns whether the target
    /// has sent too much without a new one.
    pub fn record(&mut self, event: &Event, last_event: Option<u64>) -> bool {
        let is_repeated = event.id.is_some() && event.id <= last_event;
        if !is_repeated && !event.is_comment() {
            self.bytes = 0;
            return false;
        }
        self.bytes += event.bytes.len().max(MIN_EVENT_BYTES);
        self.bytes > MAX_IDLE_BYTES
    }
}
