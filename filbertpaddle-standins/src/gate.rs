//! TCP gate before a listening address, which can refuse or ignore new connections: what a node
//! sees of targets that it is cut off from.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::proxy::Faults;
use crate::proxy::Link;
use crate::proxy::ProxyState;
use crate::proxy_connection;

/// Length of the queue of connections that an open gate has not accepted yet.
const BACKLOG: i32 = 1_024;
/// Time after which a connection that is not established shows that the queue is full.
const FULL_QUEUE_TIME: Duration = Duration::from_millis(20);

/// What passes a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passage {
    /// All connections pass.
    #[default]
    Open,
    /// New connections get no response, and bytes on open ones are held.
    Silent,
    /// New connections are refused, and open ones are reset.
    Reset,
    /// New connections are refused, and open ones live on.
    RefuseNew,
}

impl Passage {
    /// Returns the state of the link of connections that were open before.
    fn link(self) -> Link {
        match self {
            Self::Open | Self::RefuseNew => Link::Open,
            Self::Silent => Link::Stall,
            Self::Reset => Link::Cut,
        }
    }
}

/// A running gate.
#[derive(Debug)]
pub struct Gate {
    /// Address that clients connect to.
    pub address: SocketAddr,
    upstream: SocketAddr,
    state: ProxyState,
    /// Keeps the port while nothing listens there, so that connections are refused.
    _holder: Socket,
    entrance: Entrance,
    shutter: Shutter,
}

/// Lets a gate refuse new connections at once, as the port of a process does that ends; open
/// connections live on.
#[derive(Clone, Debug, Default)]
pub struct Shutter(Arc<Mutex<ShutterState>>);

#[derive(Debug, Default)]
struct ShutterState {
    /// Second handle of the listener, while there is one.
    listener: Option<Socket>,
    is_shut: bool,
}

impl Shutter {
    /// Refuses new connections until the gate is reopened, whatever is set to pass.
    pub fn shut(&self) {
        self.state().is_shut = true;
        self.end_listener();
    }

    fn end_listener(&self) {
        if let Some(listener) = self.state().listener.take() {
            stop_listening(&listener);
        }
    }

    fn state(&self) -> MutexGuard<'_, ShutterState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What happens to new connections.
#[derive(Debug)]
enum Entrance {
    Accepting(JoinHandle<()>),
    Refusing,
    /// A listener whose queue these connections fill: the system ignores further ones.
    Ignoring {
        listener: Socket,
        _queued: Vec<TcpStream>,
    },
}

impl Entrance {
    /// Closes the listener, if there is one, and waits until it is closed.
    async fn close(self) {
        match self {
            Self::Accepting(task) => {
                task.abort();
                task.await.ok();
            }
            Self::Ignoring { listener, .. } => stop_listening(&listener),
            Self::Refusing => {}
        }
    }
}

impl Gate {
    /// Starts an open gate that forwards to `upstream`, on a free port of the same host.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let holder = bind(SocketAddr::new(upstream.ip(), 0))?;
        let local = holder.local_addr()?;
        let address = local.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let state = ProxyState {
            faults: Arc::new(watch::Sender::new(Faults::default())),
            counters: Arc::default(),
        };
        let shutter = Shutter::default();
        let entrance = accept(address, upstream, &state, &shutter)?;
        Ok(Self {
            address,
            upstream,
            state,
            _holder: holder,
            entrance,
            shutter,
        })
    }

    /// Returns what lets it refuse new connections at once.
    pub fn shutter(&self) -> Shutter {
        self.shutter.clone()
    }

    /// Ends what its shutter did, and sets what passes.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound again.
    pub async fn reopen(&mut self, passage: Passage) -> io::Result<()> {
        self.shutter.state().is_shut = false;
        self.set(passage).await
    }

    /// Sets what passes.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound again.
    pub async fn set(&mut self, passage: Passage) -> io::Result<()> {
        let former = std::mem::replace(&mut self.entrance, Entrance::Refusing);
        self.shutter.end_listener();
        former.close().await;
        self.state.faults.send_replace(Faults {
            link: passage.link(),
            ..Faults::default()
        });
        self.entrance = match passage {
            Passage::Open => accept(self.address, self.upstream, &self.state, &self.shutter)?,
            Passage::Silent => ignore(self.address).await?,
            Passage::Reset | Passage::RefuseNew => Entrance::Refusing,
        };
        Ok(())
    }

    /// Resets all connections and refuses new ones.
    pub async fn close(self) {
        self.shutter.end_listener();
        self.entrance.close().await;
        self.state.faults.send_replace(Faults {
            link: Link::Cut,
            ..Faults::default()
        });
    }
}

/// Ends a listener together with its copies: a process that starts holds them until it executes.
fn stop_listening(listener: &Socket) {
    // One that does not listen refuses connections already.
    listener.shutdown(Shutdown::Both).ok();
}

fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn accept(
    address: SocketAddr,
    upstream: SocketAddr,
    state: &ProxyState,
    shutter: &Shutter,
) -> io::Result<Entrance> {
    let mut shutter = shutter.state();
    if shutter.is_shut {
        return Ok(Entrance::Refusing);
    }
    let socket = bind(address)?;
    socket.listen(BACKLOG)?;
    shutter.listener = Some(socket.try_clone()?);
    let listener = TcpListener::from_std(socket.into())?;
    let state = state.clone();
    let task = tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let state = state.clone();
            // Not ended with the listener: connections may outlive it.
            tokio::spawn(async move {
                // An error on either side ends both connections; nothing else depends on it.
                let _ = proxy_connection::relay_connection(client, upstream, &state).await;
            });
        }
    });
    Ok(Entrance::Accepting(task))
}

async fn ignore(address: SocketAddr) -> io::Result<Entrance> {
    let listener = bind(address)?;
    listener.listen(0)?;
    let mut queued = Vec::new();
    while let Ok(connected) = timeout(FULL_QUEUE_TIME, TcpStream::connect(address)).await {
        queued.push(connected?);
    }
    Ok(Entrance::Ignoring {
        listener,
        _queued: queued,
    })
}
