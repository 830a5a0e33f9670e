//! Relays one TCP connection through the proxy and applies the faults of the link to it.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::proxy::Faults;
use crate::proxy::Link;
use crate::proxy::ProxyState;

/// Most bytes read at once.
pub(crate) const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks that may be on the link at once, in each direction.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;

/// Data in transit on the link.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Direction in which bytes pass.
#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

/// Reason why relaying a connection ended.
enum ConnectionEnd {
    /// Both sides have closed the connection.
    Closed,
    /// The link is cut, or one side failed.
    Cut,
    /// The link is half open.
    HalfOpen,
}

/// Connects to `upstream` from the host of the client, so that the proxy is not seen there.
pub(crate) async fn connect(from: IpAddr, upstream: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    // The system chooses the usual address by itself.
    if from != Ipv4Addr::LOCALHOST {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    socket.connect(upstream).await
}

/// Relays bytes between `client` and `upstream` until both have closed or a fault
/// ends the connection.
pub(crate) async fn relay_connection(
    mut client: TcpStream,
    upstream: SocketAddr,
    state: &ProxyState,
) -> io::Result<()> {
    let faults = state.faults.subscribe();
    let link = faults.borrow().link;
    if link == Link::Cut {
        return client.set_zero_linger();
    }
    if link == Link::HalfOpen {
        return discard_until_healed(&mut client, faults).await;
    }
    let mut server = match connect(client.peer_addr()?.ip(), upstream).await {
        Ok(server) => server,
        Err(_) => return client.set_zero_linger(),
    };
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let end = tokio::select! {
        end = relay(&mut client, &mut server, state) => end,
        end = wait_until_broken(faults.clone()) => end,
    };
    match end {
        ConnectionEnd::Closed => Ok(()),
        ConnectionEnd::Cut => {
            server.set_zero_linger()?;
            client.set_zero_linger()
        }
        ConnectionEnd::HalfOpen => {
            server.set_zero_linger()?;
            drop(server);
            discard_until_healed(&mut client, faults).await
        }
    }
}

async fn relay(
    client: &mut TcpStream,
    server: &mut TcpStream,
    state: &ProxyState,
) -> ConnectionEnd {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let faults = state.faults.subscribe();
    let forward = DirectionRelay {
        direction: Direction::Forward,
        faults: faults.clone(),
        byte_counter: &state.counters.forward_bytes,
    };
    let backward = DirectionRelay {
        direction: Direction::Backward,
        faults,
        byte_counter: &state.counters.backward_bytes,
    };
    let ends = tokio::try_join!(
        forward.run(client_read, server_write),
        backward.run(server_read, client_write),
    );
    // An error on one side is propagated to the other as a reset.
    ends.map_or(ConnectionEnd::Cut, |_| ConnectionEnd::Closed)
}

async fn wait_until_broken(mut faults: watch::Receiver<Faults>) -> ConnectionEnd {
    let is_broken = |faults: &Faults| matches!(faults.link, Link::Cut | Link::HalfOpen);
    match faults.wait_for(is_broken).await.map(|faults| faults.link) {
        Ok(Link::HalfOpen) => ConnectionEnd::HalfOpen,
        _ => ConnectionEnd::Cut,
    }
}

/// Discards everything received until the link is no longer half open, then resets the connection.
async fn discard_until_healed(
    client: &mut TcpStream,
    mut faults: watch::Receiver<Faults>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    let healed = faults.wait_for(|faults| faults.link != Link::HalfOpen);
    tokio::pin!(healed);
    loop {
        tokio::select! {
            _ = &mut healed => break,
            read = client.read(&mut buffer) => {
                if read? == 0 {
                    break;
                }
            }
        }
    }
    client.set_zero_linger()
}

/// Relays the bytes of one direction.
struct DirectionRelay<'a> {
    direction: Direction,
    faults: watch::Receiver<Faults>,
    byte_counter: &'a AtomicU64,
}

impl DirectionRelay<'_> {
    async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        let read = read(from, sender, self.faults.clone());
        let write = self.write(to, receiver);
        tokio::try_join!(read, write)?;
        Ok(())
    }

    async fn write(
        mut self,
        mut to: WriteHalf<'_>,
        mut chunks: mpsc::Receiver<Chunk>,
    ) -> io::Result<()> {
        while let Some(chunk) = chunks.recv().await {
            tokio::time::sleep_until(chunk.due).await;
            self.wait_until_passable().await;
            let len = chunk.bytes.len() as u64;
            // Bytes are counted before they are written, so that a receiver that reads the
            // counts finds the bytes it has already received in them.
            self.byte_counter.fetch_add(len, Ordering::Relaxed);
            to.write_all(&chunk.bytes).await?;
        }
        self.wait_until_passable().await;
        to.shutdown().await
    }

    async fn wait_until_passable(&mut self) {
        let direction = self.direction;
        // The sender outlives the connection, so the wait ends only when the condition holds.
        let _ = self
            .faults
            .wait_for(|faults| direction.is_passable(faults.link))
            .await;
    }
}

impl Direction {
    fn is_passable(self, link: Link) -> bool {
        match self {
            Self::Forward => matches!(link, Link::Open | Link::CutBackward),
            Self::Backward => matches!(link, Link::Open | Link::CutForward),
        }
    }
}

/// Returns how long a link with this rate takes to accept bytes.
fn transmission_time(len: usize, bytes_per_sec: Option<u64>) -> Duration {
    bytes_per_sec.map_or(Duration::ZERO, |rate| {
        Duration::from_secs_f64(len as f64 / rate as f64)
    })
}

async fn read(
    mut from: ReadHalf<'_>,
    chunks: mpsc::Sender<Chunk>,
    faults: watch::Receiver<Faults>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    // Time when the bytes read so far have left the sender.
    let mut sent = Instant::now();
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let Faults {
            delay_ms,
            bytes_per_sec,
            ..
        } = *faults.borrow();
        sent = sent.max(Instant::now()) + transmission_time(len, bytes_per_sec);
        let chunk = Chunk {
            due: sent + Duration::from_millis(delay_ms.0),
            bytes: Bytes::copy_from_slice(&buffer[..len]),
        };
        if chunks.send(chunk).await.is_err() {
            return Ok(());
        }
    }
}
