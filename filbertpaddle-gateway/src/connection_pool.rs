//! Connections to targets and the store, one request at a time on each.
//!
//! Uses `hyper`'s connections directly instead of `reqwest`, because the retry rules
//! depend on whether any byte of a request may have left, and on which connection.

use std::cell::RefCell;
use std::fmt;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_http::buffer_limit::BufferLimit;
use filbertpaddle_http::buffer_limit::ExceededLimit;
use filbertpaddle_http::metered_stream::MeteredStream;
use filbertpaddle_http::metered_stream::ReadMeter;
use filbertpaddle_http::status::NotFinal;
use filbertpaddle_http::status::check_final;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::connection_headers::header_bytes;
use crate::connection_headers::keep_alive_ms;
use crate::connection_headers::requests_close;
use crate::response_body::Body;
use crate::tunnel::RelayedStream;
use crate::watched_stream::WatchedStream;

/// Far above a round trip between data centres, and short enough to try another target
/// in time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time that sent bytes may stay unacknowledged before a connection fails.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time before the first keep-alive probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle time after which a connection is not reused if its target states no limit.
const DEFAULT_IDLE_MS: Millis = Millis(400);
/// Maximum idle time of a reused connection.
const MAX_IDLE_MS: Millis = Millis::from_secs(4);
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Nothing listens at the address; no byte of the request has left.
    #[error("connection refused, request not sent")]
    Refused,
    /// No connection was accepted in time; no byte of the request has left.
    #[error("no connection within {CONNECT_TIMEOUT:?}, request not sent")]
    Unreachable,
    /// Neither this node nor any other that was asked reaches targets; no byte of the request has
    /// left.
    #[error("no node was found that reaches targets, request not sent")]
    NoPath,
    /// No byte of the request has left.
    #[error("request not sent: {0}")]
    NotSent(String),
    /// The request may have reached the target.
    #[error("no response, request may have arrived: {0}")]
    Unknown(String),
    /// The same, on a connection of another node, whose end is no sign of the state of the target.
    #[error("relayed connection lost, request may have arrived: {0}")]
    RelayLost(String),
}

impl Error {
    /// Returns the error of a response, or a part of one, that did not come in time.
    pub(crate) fn timed_out(time_limit: Duration) -> Self {
        Self::Unknown(format!("no complete response within {time_limit:?}"))
    }
}

impl From<NotFinal> for Error {
    fn from(error: NotFinal) -> Self {
        Self::Unknown(error.to_string())
    }
}

impl From<ExceededLimit> for Error {
    fn from(limit: ExceededLimit) -> Self {
        Self::Unknown(limit.to_string())
    }
}

/// A pool of idle connections by address.
pub struct ConnectionPool {
    clock: Clock,
    idle: RefCell<IndexMap<Name, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    usable_until_ms: Millis,
}

/// An open connection. Dropping it closes it.
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    pub(crate) meter: Arc<ReadMeter>,
    pub(crate) is_relayed: bool,
}

/// A new connection that carries no request yet.
#[derive(Debug)]
pub enum Transport {
    /// A connection of this node.
    Direct(WatchedStream),
    /// A connection of another node.
    Relayed(Box<RelayedStream>),
}

/// A response whose body is still to be read.
pub struct PendingResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// The body.
    pub body: Body,
}

/// Which connections a request may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection if there is one, else a new one.
    Idle,
    /// The same, but none of this node's own idle connections.
    IdleRelayed,
    /// Only a new connection, which the target cannot have closed while idle.
    New,
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions<'a> {
    /// Connections that it may use.
    pub reuse: Reuse,
    /// Limit on what is buffered of the response.
    pub buffers: &'a BufferLimit,
}

/// How a call is made whose response is read as a whole.
#[derive(Clone, Copy, Debug)]
pub struct CallOptions<'a> {
    /// Limit on the time until the response is complete, or until its head if there is a
    /// `part_limit`.
    pub time_limit: Duration,
    /// Limit on the time until each further part of the body.
    pub part_limit: Option<Duration>,
    /// Connections that it may use. One of its own is closed after it.
    pub reuse: Reuse,
    /// Limit on what is buffered of the response.
    pub buffers: &'a BufferLimit,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            idle: RefCell::default(),
        })
    }

    /// Sends a request, on a connection that `connect` opens unless an idle one may be used, and
    /// waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] proves that no byte of the request has left.
    pub async fn send_with<C>(
        self: &Rc<Self>,
        address: &Name,
        request: Request<Full<Bytes>>,
        options: SendOptions<'_>,
        connect: C,
    ) -> Result<PendingResponse, Error>
    where
        C: AsyncFnOnce() -> Result<Transport, Error>,
    {
        let mut request = request;
        let SendOptions { reuse, buffers } = options;
        while let Some(connection) = self.take_idle(address, reuse) {
            match self.send_on(address, connection, request, buffers).await {
                Ok(response) => return Ok(response),
                Err((error, None)) => return Err(error),
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let connection = open(connect().await?).await?;
        let sent = self.send_on(address, connection, request, buffers).await;
        sent.map_err(|(error, _)| error)
    }

    /// Sends a request and reads the whole response, within a time limit.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] proves that no byte of the request has left.
    pub async fn call(
        self: &Rc<Self>,
        address: &Name,
        request: Request<Full<Bytes>>,
        options: CallOptions<'_>,
    ) -> Result<(http::response::Parts, Bytes), Error> {
        let connect = async || connect_unwatched(address).await;
        self.call_with(address, request, options, connect).await
    }

    /// Does what [`Self::call`] does, on a connection that `connect` opens unless an idle one may
    /// be used.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] proves that no byte of the request has left.
    pub async fn call_with<C>(
        self: &Rc<Self>,
        address: &Name,
        request: Request<Full<Bytes>>,
        options: CallOptions<'_>,
        connect: C,
    ) -> Result<(http::response::Parts, Bytes), Error>
    where
        C: AsyncFnOnce() -> Result<Transport, Error>,
    {
        let CallOptions {
            time_limit,
            part_limit,
            reuse,
            buffers,
        } = options;
        let send_options = SendOptions { reuse, buffers };
        let sent = self.send_with(address, request, send_options, connect);
        let started = Instant::now();
        let response = timeout(time_limit, sent).await;
        let PendingResponse { head, mut body } =
            response.map_err(|_| Error::timed_out(time_limit))??;
        let bytes = match part_limit {
            Some(part_limit) => body.read_parts(part_limit).await?,
            None => {
                let rest = time_limit.saturating_sub(started.elapsed());
                let read = timeout(rest, body.read_to_end()).await;
                read.map_err(|_| Error::timed_out(time_limit))??
            }
        };
        if reuse == Reuse::Idle {
            body.recycle(&head.headers);
        }
        Ok((head, bytes))
    }

    /// Closes connections that have been idle for too long.
    pub fn close_stale(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections
                .retain(|idle| now < idle.usable_until_ms && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    async fn send_on(
        self: &Rc<Self>,
        address: &Name,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        buffers: &BufferLimit,
    ) -> Result<PendingResponse, (Error, Option<Request<Full<Bytes>>>)> {
        if let Err(error) = connection.sender.ready().await {
            return Err((Error::NotSent(describe(&error)), Some(request)));
        }
        let buffered = Arc::new(buffers.start());
        connection.meter.begin(&buffered);
        let sent = tokio::select! {
            biased;
            sent = connection.sender.try_send_request(request) => sent,
            limit = buffered.evicted() => return Err((limit.into(), None)),
        };
        match sent {
            Ok(response) => {
                connection.meter.begin_body();
                let (head, incoming) = Response::into_parts(response);
                check_final(head.status).map_err(|error| (error.into(), None))?;
                let counted = buffered.set(header_bytes(&head.headers));
                counted.map_err(|limit| (limit.into(), None))?;
                let pool = Rc::clone(self);
                let body = Body::new(incoming, connection, buffered, address.clone(), pool);
                Ok(PendingResponse { head, body })
            }
            Err(mut failed) => match failed.take_message() {
                Some(request) => Err((Error::NotSent(describe(failed.error())), Some(request))),
                None => Err((connection.lost(failed.error()), None)),
            },
        }
    }

    fn take_idle(&self, address: &Name, reuse: Reuse) -> Option<Connection> {
        if reuse == Reuse::New {
            return None;
        }
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(address)?;
        connections.retain(|idle| now < idle.usable_until_ms && idle.connection.sender.is_ready());
        let is_allowed = |idle: &IdleConnection| reuse == Reuse::Idle || idle.connection.is_relayed;
        let position = connections.iter().rposition(is_allowed)?;
        Some(connections.remove(position).connection)
    }

    /// Keeps a connection for a further request, unless the headers of the last response announce
    /// that it closes.
    pub(crate) fn return_idle(&self, address: Name, connection: Connection, headers: &HeaderMap) {
        if connection.sender.is_closed() || requests_close(headers) {
            return;
        }
        let usable_ms = keep_alive_ms(headers)
            .map_or(DEFAULT_IDLE_MS, |stated| Millis(stated.0 / 2))
            .min(MAX_IDLE_MS);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                connection,
                usable_until_ms: self.clock.now() + usable_ms,
            });
        }
    }
}

impl fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionPool").finish_non_exhaustive()
    }
}

impl Connection {
    /// Returns the error of a connection that broke after a request was sent.
    pub(crate) fn lost(&self, error: &hyper::Error) -> Error {
        let reason = describe(error);
        if self.is_relayed {
            Error::RelayLost(reason)
        } else {
            Error::Unknown(reason)
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Returns [`Error`] if it is not accepted in time.
pub(crate) async fn connect_tcp(address: &str) -> Result<TcpStream, Error> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(Error::Refused);
        }
        Ok(Err(error)) => return Err(Error::NotSent(error.to_string())),
        Err(_) => return Err(Error::Unreachable),
    };
    set_socket_options(&stream).map_err(|error| Error::NotSent(error.to_string()))?;
    Ok(stream)
}

async fn connect_unwatched(address: &str) -> Result<Transport, Error> {
    let stream = connect_tcp(address).await?;
    Ok(Transport::Direct(WatchedStream::unwatched(stream)))
}

async fn open(transport: Transport) -> Result<Connection, Error> {
    match transport {
        Transport::Direct(stream) => handshake(stream, false).await,
        Transport::Relayed(stream) => handshake(*stream, true).await,
    }
}

async fn handshake<S>(stream: S, is_relayed: bool) -> Result<Connection, Error>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let meter = ReadMeter::new();
    let stream = MeteredStream::new(stream, Arc::clone(&meter));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| Error::NotSent(describe(&error)))?;
    let driver = tokio::task::spawn_local(async move {
        // An error here also fails the request, which reports it.
        connection.await.ok();
    });
    Ok(Connection {
        sender,
        driver,
        meter,
        is_relayed,
    })
}

/// Sets the options by which a connection fails when its other end goes silent, or reads nothing.
pub(crate) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
