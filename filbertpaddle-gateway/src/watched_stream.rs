//! TCP connections to peers that may read slowly: they end when the peer is dead, and not only
//! because its window stays closed.
//!
//! Linux ends a connection by `TCP_USER_TIMEOUT` in both cases, so it is not set where the kernel's
//! socket diagnostics distinguish them. These are read only while sent bytes are unacknowledged.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::peer_silence::Finding;
use filbertpaddle_forward::peer_silence::PeerSilence;
use filbertpaddle_forward::peer_silence::SendState;
use slog::Logger;
use slog::warn;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::connection_pool::set_socket_options;
use crate::socket_diagnostics::SocketDiagnostics;

/// Interval of the checks while bytes are unacknowledged.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// What is assumed while the diagnostics fail: the peer is dead unless they work again in time.
const UNKNOWN_STATE: SendState = SendState {
    queued_bytes: u32::MAX,
    unanswered: 1,
    acknowledged_ago_ms: Millis(u64::MAX),
};

/// Watches connections by the kernel's diagnostics, if there are any.
#[derive(Debug)]
pub struct PeerWatch {
    clock: Clock,
    log: Logger,
    diagnostics: Option<Rc<SocketDiagnostics>>,
    is_failure_logged: Cell<bool>,
    held_bytes: Rc<Cell<usize>>,
    max_held_bytes: usize,
}

/// A connection that ends when its peer is dead.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    checks: Option<Checks>,
}

#[derive(Debug)]
struct Checks {
    diagnostics: Rc<SocketDiagnostics>,
    clock: Clock,
    own: SocketAddr,
    peer: SocketAddr,
    silence: PeerSilence,
    /// Bytes that wait for the kernel to take them.
    held: HeldBytes,
    /// Time of the next check; `None` while all bytes are acknowledged.
    next: Option<Pin<Box<Sleep>>>,
}

/// Bytes that a connection holds, counted with those of all others.
#[derive(Debug)]
struct HeldBytes {
    all: Rc<Cell<usize>>,
    own: usize,
    max_bytes: usize,
}

impl PeerWatch {
    /// Opens the kernel's diagnostics. Peers that do not read are given up early while the node
    /// holds more than `max_held_bytes` for all of them.
    pub fn new(clock: Clock, log: Logger, max_held_bytes: usize) -> Self {
        let mut watch = Self {
            clock,
            log,
            diagnostics: None,
            is_failure_logged: Cell::new(false),
            held_bytes: Rc::default(),
            max_held_bytes,
        };
        let opened = SocketDiagnostics::open().map(Rc::new);
        let logged = opened.inspect_err(|error| watch.log_failure(error));
        watch.diagnostics = logged.ok();
        watch
    }

    /// Sets a connection's options and watches it. A peer that reads nothing for `unread_limit_ms`
    /// is given up.
    ///
    /// # Errors
    ///
    /// Returns an error if the options cannot be set.
    pub fn watch(
        &self,
        stream: TcpStream,
        unread_limit_ms: Option<Millis>,
    ) -> io::Result<WatchedStream> {
        set_socket_options(&stream)?;
        let Some(diagnostics) = &self.diagnostics else {
            return Ok(WatchedStream::unwatched(stream));
        };
        let checks = Checks {
            diagnostics: Rc::clone(diagnostics),
            clock: self.clock,
            own: stream.local_addr()?,
            peer: stream.peer_addr()?,
            silence: PeerSilence::new(unread_limit_ms),
            held: HeldBytes::new(&self.held_bytes, self.max_held_bytes),
            next: None,
        };
        if let Err(error) = checks.send_state() {
            self.log_failure(&error);
            return Ok(WatchedStream::unwatched(stream));
        }
        SockRef::from(&stream).set_tcp_user_timeout(None)?;
        Ok(WatchedStream {
            stream,
            checks: Some(checks),
        })
    }

    fn log_failure(&self, error: &io::Error) {
        if !self.is_failure_logged.replace(true) {
            warn!(self.log, "no socket diagnostics, slow readers count as dead"; "error" => %error);
        }
    }
}

impl WatchedStream {
    /// Wraps a connection whose options suffice.
    pub fn unwatched(stream: TcpStream) -> Self {
        Self {
            stream,
            checks: None,
        }
    }

    /// Sets whether the kernel resets the connection when the socket is closed, also by the end of
    /// the process, and does not send what is queued.
    ///
    /// # Errors
    ///
    /// Returns an error if the option cannot be set.
    pub fn set_reset_on_close(&self, resets: bool) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))
    }

    /// Ends with an error if the peer is dead or given up; wakes the task for further checks.
    fn poll_checks(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        let Some(checks) = &mut self.checks else {
            return Ok(());
        };
        let result = checks.poll(context);
        if result.is_err() {
            // The kernel must not go on to send what is queued.
            self.set_reset_on_close(true)?;
        }
        result
    }

    /// Records that the kernel has taken some of `bytes`, or none.
    fn record_write(
        &mut self,
        context: &mut Context<'_>,
        bytes: usize,
        written: &Poll<io::Result<usize>>,
    ) -> io::Result<()> {
        if let Some(checks) = &mut self.checks {
            match written {
                Poll::Ready(_) => checks.begin(),
                Poll::Pending => checks.held.set(bytes),
            }
        }
        self.poll_checks(context)
    }
}

impl Checks {
    fn begin(&mut self) {
        self.held.set(0);
        self.silence.record_progress();
        if self.next.is_none() {
            self.silence.begin(self.clock.now());
            self.next = Some(Box::pin(sleep(CHECK_INTERVAL)));
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while let Some(next) = &mut self.next {
            if next.as_mut().poll(context).is_pending() {
                return Ok(());
            }
            next.as_mut().reset(Instant::now() + CHECK_INTERVAL);
            let state = self.send_state().unwrap_or(UNKNOWN_STATE);
            let is_crowded = self.held.is_crowded();
            match self.silence.record(self.clock.now(), state, is_crowded) {
                Finding::Settled => self.next = None,
                Finding::Waiting => {}
                Finding::Dead => return Err(io::ErrorKind::TimedOut.into()),
                Finding::Unread => return Err(io::Error::other("the peer does not read")),
            }
        }
        Ok(())
    }

    fn send_state(&self) -> io::Result<SendState> {
        self.diagnostics.send_state(self.own, self.peer)
    }
}

impl HeldBytes {
    fn new(all: &Rc<Cell<usize>>, max_bytes: usize) -> Self {
        Self {
            all: Rc::clone(all),
            own: 0,
            max_bytes,
        }
    }

    fn set(&mut self, bytes: usize) {
        self.all.set(self.all.get() - self.own + bytes);
        self.own = bytes;
    }

    /// Returns whether the node holds too much, some of it for this peer.
    fn is_crowded(&self) -> bool {
        self.own > 0 && self.all.get() > self.max_bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.poll_checks(context)?;
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, bytes.len(), &written)?;
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        let bytes = parts.iter().map(|part| part.len()).sum();
        self.record_write(context, bytes, &written)?;
        written
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
