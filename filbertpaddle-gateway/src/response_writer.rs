//! Writes the response of a request: either as a whole, or a head and then parts.

use std::sync::Arc;

use bytes::Bytes;
use http::response::Parts;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::reply;
use crate::reply::Part;
use crate::reply::Reply;
use crate::reply::Truncated;

/// Maximum number of events queued for a slow caller.
const QUEUE_EVENTS: usize = 64;

/// Writes the response to one caller.
#[derive(Debug)]
pub struct ResponseWriter {
    head: Option<oneshot::Sender<Reply>>,
    parts: Option<mpsc::Sender<Part>>,
    /// Bytes that may be queued.
    room: Arc<Semaphore>,
    queue_bytes: u32,
}

/// Bytes that count as queued until they are written.
struct QueuedBytes {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for QueuedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

impl ResponseWriter {
    /// Creates a writer that sends the reply to `head`, and holds up to `queue_bytes` for a slow
    /// caller, unless they are one event.
    pub fn new(head: oneshot::Sender<Reply>, queue_bytes: u32) -> Self {
        Self {
            head: Some(head),
            parts: None,
            room: Arc::new(Semaphore::new(queue_bytes as usize)),
            queue_bytes,
        }
    }

    /// Returns whether a streamed response has started.
    pub fn is_started(&self) -> bool {
        self.parts.is_some()
    }

    /// Starts a streamed response; parts follow.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if the caller no longer waits.
    pub fn start_stream(&mut self, head: Parts) -> Result<(), CallerGone> {
        let (parts, receiver) = mpsc::channel(QUEUE_EVENTS);
        self.parts = Some(parts);
        self.send_reply(reply::forward_stream(head, receiver))
    }

    /// Sends a whole reply.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if the caller no longer waits.
    pub fn send_reply(&mut self, reply: Reply) -> Result<(), CallerGone> {
        let head = self.head.take().ok_or(CallerGone)?;
        head.send(reply).map_err(|_| CallerGone)
    }

    /// Sends a part of the body; waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if the caller no longer reads.
    pub async fn send_part(&self, bytes: Bytes) -> Result<(), CallerGone> {
        let parts = self.parts.as_ref().ok_or(CallerGone)?;
        let length = u32::try_from(bytes.len()).unwrap_or(self.queue_bytes);
        let room = Arc::clone(&self.room).acquire_many_owned(length.min(self.queue_bytes));
        let queued = QueuedBytes {
            bytes,
            _room: room.await.map_err(|_| CallerGone)?,
        };
        let part = Ok(Bytes::from_owner(queued));
        parts.send(part).await.map_err(|_| CallerGone)
    }

    /// Ends a streamed response with an error, so that the caller sees it as incomplete.
    pub fn abort(self) {
        let Some(parts) = self.parts else { return };
        // The queue may be full, so this may have to wait for the caller to read.
        tokio::task::spawn_local(async move { parts.send(Err(Truncated)).await.ok() });
    }

    /// Ends a streamed response as complete.
    pub fn finish(self) {
        drop(self.parts);
    }
}
