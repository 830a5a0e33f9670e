//! TCP connections to callers, which are reset rather than closed within a response that only the
//! connection's end ends.
//!
//! Callers before HTTP/1.1 get streams without chunks. Closing the connection in order states that
//! such a stream is complete, and the kernel does so too if the process ends. So the socket is set
//! to reset when it is closed from before the head until all bytes of the response are written.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use http::Method;
use http::Version;
use http_body_util::BodyExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::reply;
use crate::reply::Reply;
use crate::watched_stream::WatchedStream;

/// Whether the response that is on its way on a connection would be ended by its close.
#[derive(Clone, Debug, Default)]
pub struct OpenResponse(Arc<AtomicBool>);

/// A connection to a caller.
#[derive(Debug)]
pub struct CallerStream {
    stream: WatchedStream,
    response: OpenResponse,
    /// Whether the kernel resets the connection when the socket is closed.
    resets_on_close: bool,
}

impl OpenResponse {
    /// Begins the response to a request with this method and version of HTTP, and observes its end.
    pub fn begin(&self, method: &Method, version: Version, reply: Reply) -> Reply {
        if !reply::ends_with_connection(method, version, &reply) {
            return reply;
        }
        self.0.store(true, Ordering::Relaxed);
        let response = self.clone();
        reply.map(|body| {
            // Runs only after the last part, not after an error.
            let end = async move {
                response.0.store(false, Ordering::Relaxed);
                None
            };
            body.with_trailers(end).boxed_unsync()
        })
    }

    fn is_on_its_way(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl CallerStream {
    /// Wraps a connection, the responses on which begin at `response`.
    pub fn new(stream: WatchedStream, response: OpenResponse) -> Self {
        Self {
            stream,
            response,
            resets_on_close: false,
        }
    }

    /// Prepares for a write, which may be the first of a response.
    fn prepare_write(&mut self) -> io::Result<()> {
        if self.response.is_on_its_way() && !self.resets_on_close {
            self.stream.set_reset_on_close(true)?;
            self.resets_on_close = true;
        }
        Ok(())
    }

    /// Prepares for the end of the connection in order, after all bytes were written.
    fn prepare_shutdown(&mut self) -> io::Result<()> {
        if self.response.is_on_its_way() {
            return Err(io::Error::other("the response is not complete"));
        }
        if self.resets_on_close {
            self.stream.set_reset_on_close(false)?;
            self.resets_on_close = false;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.prepare_shutdown()?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
