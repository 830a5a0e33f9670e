//! Writes the response of a request: either as a whole, or a head and then parts.

use http::response::Parts;
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
}

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

impl ResponseWriter {
    /// Creates a writer that sends the reply to `head`.
    pub fn new(head: oneshot::Sender<Reply>) -> Self {
        Self {
            head: Some(head),
            parts: None,
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
    pub async fn send_part(&self, part: Part) -> Result<(), CallerGone> {
        let parts = self.parts.as_ref().ok_or(CallerGone)?;
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
