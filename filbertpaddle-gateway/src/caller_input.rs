//! What is read from a caller's connection, and what of it the node buffers.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use filbertpaddle_http::buffer_limit::BufferLimit;
use filbertpaddle_http::buffer_limit::BufferedBytes;
use filbertpaddle_http::metered_stream::MeteredStream;
use filbertpaddle_http::metered_stream::ReadMeter;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::select;
use tokio::time::timeout;

/// Time for which the body of a request that is refused is read on.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Number of bytes that are read of it.
const MAX_DISCARDED_BYTES: usize = 8 << 20;

/// Bytes of the request that a caller's connection is receiving.
#[derive(Debug)]
pub struct CallerInput {
    meter: Arc<ReadMeter>,
    buffered: Arc<BufferedBytes>,
    /// Whether the connection has brought the head of a request.
    has_request: Cell<bool>,
}

/// Reason why a body was not received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is larger than the configuration allows.
    #[error("body is larger than configured")]
    TooLarge,
    /// It broke off, or is malformed.
    #[error("body cannot be read: {0}")]
    Broken(String),
    /// The node had to give it up for others.
    #[error("node buffers too much of the requests of callers")]
    Evicted,
}

impl CallerInput {
    /// Starts to count the first request of a connection.
    pub fn new(limit: &BufferLimit) -> Self {
        let input = Self {
            meter: ReadMeter::new(),
            buffered: Arc::new(limit.start()),
            has_request: Cell::new(false),
        };
        input.meter.begin(&input.buffered);
        input
    }

    /// Counts what is read from `stream`.
    pub fn meter<S>(&self, stream: S) -> MeteredStream<S> {
        MeteredStream::new(stream, Arc::clone(&self.meter))
    }

    /// Records that the head of a request is complete.
    pub fn begin_body(&self) {
        self.has_request.set(true);
        self.meter.begin_body();
    }

    /// Reads the body of a request; what follows on the connection is the next one.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError`] if it was not received as a whole.
    pub async fn read_body(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError> {
        let bytes = self.read_parts(body, max_bytes).await?;
        self.buffered.set(0).map_err(|_| BodyError::Evicted)?;
        self.meter.begin(&self.buffered);
        Ok(bytes)
    }

    /// Reads what is left of the body of a request that is refused, if it is not too much and comes
    /// in time, and keeps nothing of it.
    pub async fn discard_body(&self, body: &mut Incoming) {
        let discarded = async {
            let mut left_bytes = MAX_DISCARDED_BYTES;
            while left_bytes > 0
                && let Some(Ok(frame)) = body.frame().await
            {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.meter.record_delivered(bytes);
                left_bytes = left_bytes.saturating_sub(bytes);
            }
        };
        // A caller that sends for longer loses the answer.
        timeout(DISCARD_TIME, discarded).await.ok();
    }

    async fn read_parts(&self, body: &mut Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut all = BytesMut::new();
        loop {
            let frame = select! {
                biased;
                frame = body.frame() => frame,
                _ = self.buffered.evicted() => return Err(BodyError::Evicted),
            };
            let Some(frame) = frame else {
                return Ok(all.freeze());
            };
            let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            self.meter.record_delivered(bytes.len());
            if all.len() + bytes.len() > max_bytes {
                return Err(BodyError::TooLarge);
            }
            all.extend_from_slice(&bytes);
            let counted = self.buffered.set(all.len());
            counted.map_err(|_| BodyError::Evicted)?;
        }
    }

    /// Waits until the request has to be given up for others; returns whether the connection has
    /// brought no head yet, so that there is nothing to answer. Cancel-safe.
    pub async fn evicted(&self) -> bool {
        self.buffered.evicted().await;
        !self.has_request.get()
    }
}
