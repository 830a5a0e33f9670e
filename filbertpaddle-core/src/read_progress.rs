//! Limit on the bytes that a peer sends without progress.
//!
//! Load pattern: faulty peers send bytes without end that belong to no body, such as interim
//! responses or the digits of a chunk size. Nothing is held of them, so that no limit on memory
//! ends them, and the node has no time left for other peers.

/// Number of bytes that may be received before any of a body is delivered: a head, and what the
/// HTTP library reads ahead.
const MAX_OVERHEAD_BYTES: u64 = 256 << 10;
/// Number of further bytes that may be received for each byte of a body.
const MAX_FRAMING_FACTOR: u64 = 2;

/// Bytes of one message that were received, and those of its body that were delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadProgress {
    received_bytes: u64,
    delivered_bytes: u64,
}

/// A peer has sent too much without progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("peer has sent {received_bytes} bytes, of which {delivered_bytes} belong to a body")]
pub struct NoProgress {
    received_bytes: u64,
    delivered_bytes: u64,
}

impl ReadProgress {
    /// Creates the progress of a message of which nothing was received.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records bytes that were received.
    ///
    /// # Errors
    ///
    /// Returns [`NoProgress`] if too few of them have become part of a body.
    pub fn record_received(&mut self, bytes: usize) -> Result<(), NoProgress> {
        self.received_bytes += bytes as u64;
        let framed_bytes = self.delivered_bytes * (1 + MAX_FRAMING_FACTOR);
        if self.received_bytes <= MAX_OVERHEAD_BYTES + framed_bytes {
            return Ok(());
        }
        Err(NoProgress {
            received_bytes: self.received_bytes,
            delivered_bytes: self.delivered_bytes,
        })
    }

    /// Records bytes of a body that were delivered.
    pub fn record_delivered(&mut self, bytes: usize) {
        self.delivered_bytes += bytes as u64;
    }

    /// Returns the number of bytes that were received.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes
    }
}
