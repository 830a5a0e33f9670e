//! Connections whose received bytes are counted, against peers that send without progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use filbertpaddle_core::read_progress::ReadProgress;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::buffer_limit::BufferedBytes;

/// Maximum number of bytes that are read at once, so that the HTTP library does not enlarge its
/// buffers.
const MAX_READ_BYTES: usize = 8 << 10;

/// Counts what a connection receives, and how much of it is delivered.
#[derive(Debug, Default)]
pub struct ReadMeter(Mutex<Message>);

/// The message that is being received.
#[derive(Debug, Default)]
struct Message {
    progress: ReadProgress,
    /// What is buffered of a head that is not complete.
    head: Option<Arc<BufferedBytes>>,
}

/// A connection whose reads are counted by a [`ReadMeter`].
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    meter: Arc<ReadMeter>,
}

impl ReadMeter {
    /// Creates a meter that has counted nothing.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Starts to count a message, whose head is buffered as part of `buffered`.
    pub fn begin(&self, buffered: &Arc<BufferedBytes>) {
        *self.lock() = Message {
            progress: ReadProgress::new(),
            head: Some(Arc::clone(buffered)),
        };
    }

    /// Starts to count the body of a message whose head is complete.
    pub fn begin_body(&self) {
        *self.lock() = Message::default();
    }

    /// Records bytes of a body that were delivered.
    pub fn record_delivered(&self, bytes: usize) {
        self.lock().progress.record_delivered(bytes);
    }

    fn record_received(&self, bytes: usize) -> io::Result<()> {
        let mut message = self.lock();
        let recorded = message.progress.record_received(bytes);
        recorded.map_err(io::Error::other)?;
        match &message.head {
            Some(buffered) => buffered.add(bytes).map_err(io::Error::other),
            None => Ok(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Message> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S> MeteredStream<S> {
    /// Wraps a connection.
    pub fn new(stream: S, meter: Arc<ReadMeter>) -> Self {
        Self { stream, meter }
    }

    /// Returns the meter that counts its reads.
    pub fn meter(&self) -> &Arc<ReadMeter> {
        &self.meter
    }
}

impl<S> AsyncRead for MeteredStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        Poll::Ready(self.meter.record_received(received))
    }
}

impl<S> AsyncWrite for MeteredStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
