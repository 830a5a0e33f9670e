//! TCP proxy that injects link faults: delays, cuts, stalls and half-open connections. Datagrams
//! to its address pass while the link is open.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::proxy_connection;
use crate::server::Server;

/// Size of the largest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 2_048;
/// Time in which a proxy that closes resets its connections.
const RESET_TIMEOUT: Duration = Duration::from_secs(1);

/// Faults of the link in effect; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// State of the link.
    pub link: Link,
    /// Delay of each chunk of data on the link, in each direction.
    pub delay_ms: Millis,
    /// Bytes per second of each connection in each direction; `None` for no limit.
    pub bytes_per_sec: Option<u64>,
}

/// State of a link: whether bytes and new connections pass.
///
/// Forward means from the connecting side to the listening side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// Bytes pass both ways.
    #[default]
    Open,
    /// Connections are reset; new ones are accepted and reset at once.
    Cut,
    /// Bytes forward are held and delivered once the link is open again.
    CutForward,
    /// Bytes backward are held and delivered once the link is open again.
    CutBackward,
    /// Connections are accepted, but bytes are held both ways.
    Stall,
    /// Connections are reset on the listening side. On the connecting side they
    /// stay open and discard everything received, until they are reset when the
    /// link leaves this state.
    HalfOpen,
}

/// Traffic through a proxy since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes written forward.
    pub forward_bytes: u64,
    /// Bytes written backward.
    pub backward_bytes: u64,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    /// Address that clients connect to instead of the upstream address.
    pub address: SocketAddr,
    /// Address that serves control requests.
    pub control: SocketAddr,
    state: ProxyState,
    /// Notified when it is to stop accepting.
    stop: Arc<Notify>,
    accept_task: tokio::task::JoinHandle<()>,
    datagram_task: tokio::task::JoinHandle<()>,
    control_server: Server,
}

/// State shared between the connections of a proxy.
#[derive(Clone, Debug)]
pub(crate) struct ProxyState {
    pub(crate) faults: Arc<watch::Sender<Faults>>,
    pub(crate) counters: Arc<TrafficCounters>,
}

/// Counters behind [`Counts`].
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    pub(crate) connections: AtomicU64,
    pub(crate) forward_bytes: AtomicU64,
    pub(crate) backward_bytes: AtomicU64,
}

impl Proxy {
    /// Starts a proxy that forwards to `upstream`, on a free port of the same host.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let any_port = SocketAddr::new(upstream.ip(), 0);
        Self::start_at(any_port, upstream, any_port).await
    }

    /// Starts a proxy at `address` that forwards to `upstream` and serves control
    /// requests at `control`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(
        address: SocketAddr,
        upstream: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<Self> {
        let state = ProxyState {
            faults: Arc::new(watch::Sender::new(Faults::default())),
            counters: Arc::default(),
        };
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let control_server = Server::start(control, routes(&state)).await?;
        let stop = Arc::new(Notify::new());
        let accepting = accept(listener, upstream, state.clone(), Arc::clone(&stop));
        let accept_task = tokio::spawn(accepting);
        let datagrams = UdpSocket::bind(address).await?;
        let datagram_task = tokio::spawn(relay_datagrams(datagrams, upstream, state.clone()));
        Ok(Self {
            address,
            control: control_server.address,
            state,
            stop,
            accept_task,
            datagram_task,
            control_server,
        })
    }

    /// Replaces the faults of the link.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.send_replace(faults);
    }

    /// Sets the state of the link and removes any delay.
    pub fn set_link(&self, link: Link) {
        self.set_faults(Faults {
            link,
            ..Faults::default()
        });
    }

    /// Removes all faults.
    pub fn heal(&self) {
        self.set_faults(Faults::default());
    }

    /// Returns the traffic since the start.
    pub fn counts(&self) -> Counts {
        self.state.counters.counts()
    }

    /// Resets all connections and stops accepting.
    pub async fn close(self) {
        self.set_link(Link::Cut);
        self.stop.notify_one();
        // A connection that is dropped with its task would end in order.
        let mut accept_task = self.accept_task;
        if timeout(RESET_TIMEOUT, &mut accept_task).await.is_err() {
            accept_task.abort();
        }
        self.datagram_task.abort();
        self.control_server.close().await;
    }
}

impl TrafficCounters {
    fn counts(&self) -> Counts {
        Counts {
            connections: self.connections.load(Ordering::Relaxed),
            forward_bytes: self.forward_bytes.load(Ordering::Relaxed),
            backward_bytes: self.backward_bytes.load(Ordering::Relaxed),
        }
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, state: ProxyState, stop: Arc<Notify>) {
    // When this task is aborted, the set is dropped, which ends all connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.notified() => break,
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                state.counters.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serve(client, upstream, state.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Forwards datagrams to `upstream` while the link is open; others are lost. Replies do not come
/// back this way.
async fn relay_datagrams(socket: UdpSocket, upstream: SocketAddr, state: ProxyState) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if state.faults.borrow().link == Link::Open {
            // A datagram may be lost.
            socket.send_to(&buffer[..length], upstream).await.ok();
        }
    }
}

async fn serve(client: TcpStream, upstream: SocketAddr, state: ProxyState) {
    // An error on either side ends both connections; nothing else depends on it.
    let _ = proxy_connection::relay_connection(client, upstream, &state).await;
}

fn routes(
    state: &ProxyState,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with = {
        let state = state.clone();
        warp::any().map(move || state.clone())
    };
    let faults = warp::path!("control" / "faults");
    let set = faults
        .and(warp::post())
        .and(with.clone())
        .and(warp::body::json())
        .map(|state: ProxyState, faults: Faults| {
            state.faults.send_replace(faults);
            StatusCode::NO_CONTENT.into_response()
        });
    let counts = warp::path!("control" / "counts")
        .and(warp::get())
        .and(with)
        .map(|state: ProxyState| warp::reply::json(&state.counters.counts()).into_response());
    set.or(counts).unify()
}
