//! A TCP proxy that brings about faults of a link.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use filbertpaddle_core::clock::Millis;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::proxy_connection;
use crate::server::Server;

/// What is wrong with the link at present; the default is nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether bytes pass.
    pub link: Link,
    /// Time each piece of data spends on the link, in each direction.
    pub delay_ms: Millis,
}

/// Whether bytes pass.
///
/// Forward is from the side that connects to the side that listens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// Bytes pass both ways.
    #[default]
    Open,
    /// Connections are reset, new ones as soon as they are made.
    Cut,
    /// Bytes forward are held; they arrive late once the link is open again.
    CutForward,
    /// Bytes backward are held; they arrive late once the link is open again.
    CutBackward,
    /// Connections are accepted and bytes held both ways.
    Stall,
    /// The listening side's connections are reset; the connecting side's stay
    /// open and swallow everything, until they are reset once this ends.
    HalfOpen,
}

/// What passed through a proxy since its start.
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
    /// Address that takes the place of the upstream one.
    pub address: SocketAddr,
    /// Address that serves the control requests.
    pub control: SocketAddr,
    state: SharedState,
    accept_task: tokio::task::JoinHandle<()>,
    control_server: Server,
}

/// State shared between connections.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    pub(crate) faults: Arc<watch::Sender<Faults>>,
    pub(crate) counters: Arc<TrafficCounters>,
}

/// Running counts.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounters {
    pub(crate) connections: AtomicU64,
    pub(crate) forward_bytes: AtomicU64,
    pub(crate) backward_bytes: AtomicU64,
}

impl Proxy {
    /// Starts a proxy on a free port before `upstream`.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_at(any, upstream, any).await
    }

    /// Starts a proxy at `address` before `upstream`, with its control port at `control`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_at(
        address: SocketAddr,
        upstream: SocketAddr,
        control: SocketAddr,
    ) -> io::Result<Self> {
        let state = SharedState {
            faults: Arc::new(watch::Sender::new(Faults::default())),
            counters: Arc::default(),
        };
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let control_server = Server::start(control, routes(&state)).await?;
        let accept_task = tokio::spawn(accept(listener, upstream, state.clone()));
        Ok(Self {
            address,
            control: control_server.address,
            state,
            accept_task,
            control_server,
        })
    }

    /// Replaces the faults of the link.
    pub fn set_faults(&self, faults: Faults) {
        self.state.faults.send_replace(faults);
    }

    /// Sets whether bytes pass, without a delay.
    pub fn set_link(&self, link: Link) {
        self.set_faults(Faults {
            link,
            delay_ms: Millis::ZERO,
        });
    }

    /// Takes all faults away.
    pub fn heal(&self) {
        self.set_faults(Faults::default());
    }

    /// Returns what passed since the start.
    pub fn counts(&self) -> Counts {
        self.state.counters.counts()
    }

    /// Resets all connections and stops accepting.
    pub async fn close(self) {
        self.set_link(Link::Cut);
        self.accept_task.abort();
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

async fn accept(listener: TcpListener, upstream: SocketAddr, state: SharedState) {
    // Dropping the set when this task is aborted ends all connections.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((client, _)) = accepted else { continue };
                state.counters.connections.fetch_add(1, Ordering::Relaxed);
                connections.spawn(serve(client, upstream, state.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(client: TcpStream, upstream: SocketAddr, state: SharedState) {
    // An error on either side ends both; there is nobody to report it to.
    let _ = proxy_connection::relay_connection(client, upstream, &state).await;
}

fn routes(
    state: &SharedState,
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
        .map(|state: SharedState, faults: Faults| {
            state.faults.send_replace(faults);
            StatusCode::NO_CONTENT.into_response()
        });
    let counts = warp::path!("control" / "counts")
        .and(warp::get())
        .and(with)
        .map(|state: SharedState| warp::reply::json(&state.counters.counts()).into_response());
    set.or(counts).unify()
}
