//! Limit on the bytes of responses that are buffered before they are passed on.
//!
//! Load pattern: faulty targets send bytes without end in many responses at once. Each
//! response has a limit of its own, and those that are not small share one for the node.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of a response body that is buffered as a whole.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Size of a body up to which it does not count towards the limit of the node, so that small
/// responses arrive while large ones use it up.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Maximum number of bytes of larger bodies that a node buffers at a time.
const MAX_NODE_BYTES: usize = 16 << 20;

/// A body has exceeded a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExceededLimit {
    /// The limit of one body.
    #[error("response body is larger than {MAX_BODY_BYTES} bytes")]
    Body,
    /// The limit of the node.
    #[error("larger response bodies take more than {MAX_NODE_BYTES} bytes at this node")]
    Node,
}

/// Bytes of larger bodies that the node buffers.
#[derive(Clone, Debug, Default)]
pub struct BufferLimit {
    used: Rc<Cell<usize>>,
}

/// Bytes that one body has buffered; dropping it releases them.
#[derive(Debug)]
pub struct BufferedBody {
    limit: BufferLimit,
    bytes: usize,
    counted: usize,
}

impl BufferLimit {
    /// Creates a limit of which nothing is used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to count a body.
    pub fn start_body(&self) -> BufferedBody {
        BufferedBody {
            limit: self.clone(),
            bytes: 0,
            counted: 0,
        }
    }
}

impl BufferedBody {
    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ExceededLimit`] if they exceed a limit.
    pub fn add(&mut self, bytes: usize) -> Result<(), ExceededLimit> {
        self.bytes += bytes;
        if self.bytes > MAX_BODY_BYTES {
            return Err(ExceededLimit::Body);
        }
        if self.bytes <= SMALL_BODY_BYTES {
            return Ok(());
        }
        let used = self.limit.used.get() + self.bytes - self.counted;
        self.counted = self.bytes;
        self.limit.used.set(used);
        if used > MAX_NODE_BYTES {
            return Err(ExceededLimit::Node);
        }
        Ok(())
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        let used = self.limit.used.get();
        self.limit.used.set(used - self.counted);
    }
}
