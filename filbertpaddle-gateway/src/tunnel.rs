//! A tunnel: a connection to a target that another node has opened and relays.
//!
//! The node that has the request decides everything about it; the relaying node passes bytes on
//! and knows nothing of requests. A tunnel ends as its connection to the target does: one that the
//! target closed in order ends with a close frame, any other end is an error.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Buf;
use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use futures_util::Sink;
use futures_util::Stream;
use serde::Deserialize;
use serde::Serialize;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Error as FrameError;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

/// Maximum number of bytes in one frame.
pub const MAX_FRAME_BYTES: usize = 16 << 10;

/// Asks a node to relay a connection to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRequest {
    /// Name of the node that asks.
    pub node: Name,
    /// ID of the target.
    pub target: Name,
    /// Start time of the target, which distinguishes its incarnations.
    pub started_ms: Option<Millis>,
    /// What the connection is for.
    pub purpose: Purpose,
}

/// What a connection to a target is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Purpose {
    /// A request, which a target that leaves must not receive.
    Request,
    /// A call about the target or what runs there.
    Call,
}

/// Reason why a node relays no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RelayRefusal {
    /// It does not know the node that asks.
    #[error("the node that asks is not known")]
    UnknownNode,
    /// It reaches no target itself.
    #[error("the node reaches no target itself")]
    CutOff,
    /// It relays as many connections as it can, or stops.
    #[error("the node is stopping, or relays too many connections")]
    Busy,
    /// The target is not listed there, or leaves.
    #[error("the target is not listed or leaves")]
    NotInService,
    /// The target refuses connections, though others accept some.
    #[error("the target refuses connections")]
    Refused,
    /// The target accepts no connection in time, though others do.
    #[error("the target accepts no connection in time")]
    Unreachable,
}

/// The end of a tunnel at the node that has the request.
pub struct RelayedStream {
    socket: WebSocketStream<TcpStream>,
    received: Bytes,
    is_ended: bool,
}

impl RelayedStream {
    /// Creates the stream of a link on which the other node has opened the connection.
    pub fn new(socket: WebSocketStream<TcpStream>) -> Self {
        Self {
            socket,
            received: Bytes::new(),
            is_ended: false,
        }
    }
}

impl fmt::Debug for RelayedStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayedStream").finish_non_exhaustive()
    }
}

/// Returns the frame that ends a tunnel whose target has closed its connection in order.
pub fn orderly_end() -> Frame {
    Frame::Close(Some(CloseFrame {
        code: CloseCode::Normal,
        reason: "".into(),
    }))
}

fn is_orderly_end(close: Option<&CloseFrame>) -> bool {
    close.is_some_and(|close| close.code == CloseCode::Normal)
}

fn broken(error: FrameError) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, error)
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() && !self.is_ended {
            match ready!(Pin::new(&mut self.socket).poll_next(context)) {
                Some(Ok(Frame::Binary(bytes))) if !bytes.is_empty() => self.received = bytes,
                Some(Ok(Frame::Close(close))) if is_orderly_end(close.as_ref()) => {
                    self.is_ended = true;
                }
                // Frames without bytes could go on without end.
                Some(Ok(_)) | None => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                Some(Err(error)) => return Poll::Ready(Err(broken(error))),
            }
        }
        let length = self.received.len().min(buffer.remaining());
        buffer.put_slice(&self.received[..length]);
        self.received.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(Pin::new(&mut self.socket).poll_ready(context)).map_err(broken)?;
        let length = bytes.len().min(MAX_FRAME_BYTES);
        let frame = Frame::Binary(Bytes::copy_from_slice(&bytes[..length]));
        Pin::new(&mut self.socket)
            .start_send(frame)
            .map_err(broken)?;
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket)
            .poll_flush(context)
            .map_err(broken)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket)
            .poll_close(context)
            .map_err(broken)
    }
}
