//! Limit on the bytes that a node buffers before they are passed on.
//!
//! Load pattern: faulty targets send bytes without end, or a part of something and no more, in many
//! responses at once. Each response has a limit of its own, and all share one for the node.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use filbertpaddle_core::byte_quota::ByteQuota;
use filbertpaddle_core::byte_quota::HolderId;
use indexmap::IndexMap;
use tokio::sync::Notify;

/// Maximum size of a body that is buffered as a whole.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Maximum number of bytes that a node buffers at a time, unless it is given another.
const MAX_NODE_BYTES: usize = 16 << 20;

/// What is buffered has exceeded a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExceededLimit {
    /// The limit of one body.
    #[error("body is larger than {MAX_BODY_BYTES} bytes")]
    Body,
    /// The limit of the node.
    #[error("this node buffers too many bytes, giving up some of the largest")]
    Node,
}

/// Bytes that the node buffers.
#[derive(Clone, Debug)]
pub struct BufferLimit(Arc<Mutex<Shared>>);

#[derive(Debug)]
struct Shared {
    quota: ByteQuota,
    /// Notified when the holder is evicted.
    evictions: IndexMap<HolderId, Arc<Notify>>,
}

/// Bytes that one message has buffered; dropping it releases them.
#[derive(Debug)]
pub struct BufferedBytes {
    limit: BufferLimit,
    id: HolderId,
    bytes: AtomicUsize,
    evicted: Arc<Notify>,
}

impl BufferLimit {
    /// Creates a limit of which nothing is used.
    pub fn new() -> Self {
        Self::of(MAX_NODE_BYTES)
    }

    /// Creates a limit of a number of bytes.
    pub fn of(max_bytes: usize) -> Self {
        Self(Arc::new(Mutex::new(Shared {
            quota: ByteQuota::new(max_bytes),
            evictions: IndexMap::new(),
        })))
    }

    /// Starts to count the bytes of a message.
    pub fn start(&self) -> BufferedBytes {
        let mut shared = self.lock();
        let id = shared.quota.add_holder();
        let evicted = Arc::new(Notify::new());
        shared.evictions.insert(id, Arc::clone(&evicted));
        BufferedBytes {
            limit: self.clone(),
            id,
            bytes: AtomicUsize::new(0),
            evicted,
        }
    }

    /// Returns the number of bytes that all messages have buffered.
    pub fn used_bytes(&self) -> usize {
        self.lock().quota.used_bytes()
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for BufferLimit {
    fn default() -> Self {
        Self::new()
    }
}

impl BufferedBytes {
    /// Adds received bytes of a body.
    ///
    /// # Errors
    ///
    /// Returns [`ExceededLimit`] if they exceed a limit.
    pub fn add(&self, bytes: usize) -> Result<(), ExceededLimit> {
        let bytes = self.bytes.load(Ordering::Relaxed) + bytes;
        if bytes > MAX_BODY_BYTES {
            return Err(ExceededLimit::Body);
        }
        self.set(bytes)
    }

    /// Sets the number of buffered bytes.
    ///
    /// # Errors
    ///
    /// Returns [`ExceededLimit::Node`] if this message has to be given up.
    pub fn set(&self, bytes: usize) -> Result<(), ExceededLimit> {
        if bytes == self.bytes.swap(bytes, Ordering::Relaxed) && !self.is_evicted() {
            return Ok(());
        }
        let mut shared = self.limit.lock();
        for id in shared.quota.set(self.id, bytes) {
            if let Some(evicted) = shared.evictions.swap_remove(&id) {
                evicted.notify_waiters();
            }
        }
        drop(shared);
        match self.is_evicted() {
            true => Err(ExceededLimit::Node),
            false => Ok(()),
        }
    }

    /// Waits until this message has to be given up for others. Cancel-safe.
    pub async fn evicted(&self) -> ExceededLimit {
        let evicted = self.evicted.notified();
        if !self.is_evicted() {
            evicted.await;
        }
        ExceededLimit::Node
    }

    /// Returns whether this message has to be given up for others.
    pub fn is_evicted(&self) -> bool {
        !self.limit.lock().evictions.contains_key(&self.id)
    }
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        let mut shared = self.limit.lock();
        shared.quota.remove(self.id);
        shared.evictions.swap_remove(&self.id);
    }
}
