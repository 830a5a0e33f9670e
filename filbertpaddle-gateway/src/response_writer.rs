//! Where the events of a generation go: a head first, then parts of its body.

use http::response::Parts;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::reply;
use crate::reply::Part;
use crate::reply::Reply;
use crate::reply::Truncated;

/// Events that may wait for a caller who reads slowly.
const QUEUE_EVENTS: usize = 64;

/// The caller's side of a request.
#[derive(Debug)]
pub struct ResponseWriter {
    head: Option<oneshot::Sender<Reply>>,
    parts: Option<mpsc::Sender<Part>>,
}

/// The caller has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

impl ResponseWriter {
    /// Answers to `head`.
    pub fn new(head: oneshot::Sender<Reply>) -> Self {
        Self {
            head: Some(head),
            parts: None,
        }
    }

    /// Whether a streamed answer has begun.
    pub fn is_started(&self) -> bool {
        self.parts.is_some()
    }

    /// Begins a streamed answer; events follow.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if nobody waits any more.
    pub fn start_stream(&mut self, head: Parts) -> Result<(), CallerGone> {
        let (parts, receiver) = mpsc::channel(QUEUE_EVENTS);
        self.parts = Some(parts);
        self.send_reply(reply::forward_stream(head, receiver))
    }

    /// Answers whole.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if nobody waits any more.
    pub fn send_reply(&mut self, reply: Reply) -> Result<(), CallerGone> {
        let head = self.head.take().ok_or(CallerGone)?;
        head.send(reply).map_err(|_| CallerGone)
    }

    /// Passes a part on; waits while the caller reads slowly.
    ///
    /// # Errors
    ///
    /// Returns [`CallerGone`] if nobody reads any more.
    pub async fn send_part(&self, part: Part) -> Result<(), CallerGone> {
        let parts = self.parts.as_ref().ok_or(CallerGone)?;
        parts.send(part).await.map_err(|_| CallerGone)
    }

    /// Ends a streamed answer so that it does not look whole.
    pub fn abort(self) {
        let Some(parts) = self.parts else { return };
        // The caller may still have events to read before the end.
        tokio::task::spawn_local(async move { parts.send(Err(Truncated)).await.ok() });
    }

    /// Ends a streamed answer as whole.
    pub fn finish(self) {
        drop(self.parts);
    }
}
