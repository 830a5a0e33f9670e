//! One connection through the proxy.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::proxy::Faults;
use crate::proxy::Link;
use crate::proxy::State;

/// Most bytes read at once.
const PIECE_BYTES: usize = 16 * 1024;
/// Pieces of data that may be on the link at once, in each direction.
const MAX_PIECES: usize = 64;

/// Data on its way.
struct Piece {
    due: Instant,
    bytes: Bytes,
}

/// Direction of bytes.
#[derive(Clone, Copy)]
enum Direction {
    Forward,
    Backward,
}

/// How a connection ends.
enum End {
    /// Both sides have closed it.
    Closed,
    /// The link is cut.
    Cut,
    /// The link is half open.
    HalfOpen,
}

/// Carries bytes between `client` and `upstream` until both have closed or a fault ends it.
pub(crate) async fn connection(
    mut client: TcpStream,
    upstream: SocketAddr,
    state: &State,
) -> io::Result<()> {
    let faults = state.faults.subscribe();
    let link = faults.borrow().link;
    if link == Link::Cut {
        return client.set_zero_linger();
    }
    if link == Link::HalfOpen {
        return swallow(&mut client, faults).await;
    }
    let mut server = match TcpStream::connect(upstream).await {
        Ok(server) => server,
        Err(_) => return client.set_zero_linger(),
    };
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let end = tokio::select! {
        end = carry(&mut client, &mut server, state) => end,
        end = broken(faults.clone()) => end,
    };
    match end {
        End::Closed => Ok(()),
        End::Cut => {
            server.set_zero_linger()?;
            client.set_zero_linger()
        }
        End::HalfOpen => {
            server.set_zero_linger()?;
            drop(server);
            swallow(&mut client, faults).await
        }
    }
}

async fn carry(client: &mut TcpStream, server: &mut TcpStream, state: &State) -> End {
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let faults = state.faults.subscribe();
    let forward = Pump {
        direction: Direction::Forward,
        faults: faults.clone(),
        meter: &state.meters.forward_bytes,
    };
    let backward = Pump {
        direction: Direction::Backward,
        faults,
        meter: &state.meters.backward_bytes,
    };
    let ends = tokio::try_join!(
        forward.run(client_read, server_write),
        backward.run(server_read, client_write),
    );
    // An error on one side is passed on to the other as a reset.
    ends.map_or(End::Cut, |_| End::Closed)
}

async fn broken(mut faults: watch::Receiver<Faults>) -> End {
    let broken = |faults: &Faults| matches!(faults.link, Link::Cut | Link::HalfOpen);
    match faults.wait_for(broken).await.map(|faults| faults.link) {
        Ok(Link::HalfOpen) => End::HalfOpen,
        _ => End::Cut,
    }
}

/// Reads and discards until the link is no longer half open, then resets.
async fn swallow(client: &mut TcpStream, mut faults: watch::Receiver<Faults>) -> io::Result<()> {
    let mut buffer = vec![0; PIECE_BYTES];
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

/// Carries bytes in one direction.
struct Pump<'a> {
    direction: Direction,
    faults: watch::Receiver<Faults>,
    meter: &'a AtomicU64,
}

impl Pump<'_> {
    async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(MAX_PIECES);
        let read = read(from, sender, self.faults.clone());
        let write = self.write(to, receiver);
        tokio::try_join!(read, write)?;
        Ok(())
    }

    async fn write(
        mut self,
        mut to: WriteHalf<'_>,
        mut pieces: mpsc::Receiver<Piece>,
    ) -> io::Result<()> {
        while let Some(piece) = pieces.recv().await {
            tokio::time::sleep_until(piece.due).await;
            self.wait_until_passable().await;
            let len = piece.bytes.len() as u64;
            // Counted first, so that whoever has the bytes sees them counted.
            self.meter.fetch_add(len, Ordering::Relaxed);
            to.write_all(&piece.bytes).await?;
        }
        self.wait_until_passable().await;
        to.shutdown().await
    }

    async fn wait_until_passable(&mut self) {
        let direction = self.direction;
        // The sender outlives the connection, so the wait ends only by the condition.
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

async fn read(
    mut from: ReadHalf<'_>,
    pieces: mpsc::Sender<Piece>,
    faults: watch::Receiver<Faults>,
) -> io::Result<()> {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let delay = Duration::from_millis(faults.borrow().delay_ms.0);
        let piece = Piece {
            due: Instant::now() + delay,
            bytes: Bytes::copy_from_slice(&buffer[..len]),
        };
        if pieces.send(piece).await.is_err() {
            return Ok(());
        }
    }
}
