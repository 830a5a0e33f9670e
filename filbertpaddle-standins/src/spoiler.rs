//! TCP relay before a server that spoils some of its responses, while the server works on.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::select;
use tokio::task::JoinHandle;

use crate::proxy_connection::CHUNK_BYTES;
use crate::proxy_connection::connect;

/// Sent in the place of a chunk of a response.
const GARBAGE: &[u8] = b"this is no chunk\r\n\r\n";

/// How a response is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// Bytes that are none of the protocol come in the place of the rest.
    Garbage,
    /// The connection ends.
    End,
    /// The connection is reset.
    Reset,
}

/// Where and how a response is spoilt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpoilPoint {
    /// Number of writes of the server that pass before.
    pub writes: usize,
    /// How it is spoilt then.
    pub spoil: Spoil,
}

/// A running relay.
#[derive(Debug)]
pub struct Spoiler {
    /// Address that clients connect to.
    pub address: SocketAddr,
    accept_task: JoinHandle<()>,
}

impl Spoiler {
    /// Starts a relay to `upstream`, on a free port of the same host. `draw` is given the text of
    /// each request and returns where its response is spoilt, if it is.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start<D>(upstream: SocketAddr, draw: D) -> io::Result<Self>
    where
        D: FnMut(&str) -> Option<SpoilPoint> + Send + 'static,
    {
        let listener = TcpListener::bind(SocketAddr::new(upstream.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let draw = Arc::new(Mutex::new(draw));
        let accept_task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let draw = Arc::clone(&draw);
                tokio::spawn(async move {
                    // An error on either side ends both connections; nothing else depends on it.
                    let _ = relay(client, upstream, &draw).await;
                });
            }
        });
        Ok(Self {
            address,
            accept_task,
        })
    }

    /// Accepts no further connections; open ones live on.
    pub fn close(self) {
        self.accept_task.abort();
    }
}

async fn relay<D>(mut client: TcpStream, upstream: SocketAddr, draw: &Mutex<D>) -> io::Result<()>
where
    D: FnMut(&str) -> Option<SpoilPoint>,
{
    let mut server = connect(client.peer_addr()?.ip(), upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let mut request = vec![0; CHUNK_BYTES];
    let mut response = vec![0; CHUNK_BYTES];
    let mut due: Option<SpoilPoint> = None;
    loop {
        select! {
            read = client.read(&mut request) => {
                let bytes = &request[..read?];
                if bytes.is_empty() {
                    return Ok(());
                }
                due = drawn(draw, bytes).or(due);
                server.write_all(bytes).await?;
            }
            read = server.read(&mut response) => {
                let bytes = &response[..read?];
                if bytes.is_empty() {
                    return Ok(());
                }
                match &mut due {
                    Some(point) if point.writes == 0 => return end(client, point.spoil).await,
                    Some(point) => point.writes -= 1,
                    None => {}
                }
                client.write_all(bytes).await?;
            }
        }
    }
}

fn drawn<D>(draw: &Mutex<D>, request: &[u8]) -> Option<SpoilPoint>
where
    D: FnMut(&str) -> Option<SpoilPoint>,
{
    let mut draw = draw.lock().unwrap_or_else(PoisonError::into_inner);
    draw(&String::from_utf8_lossy(request))
}

/// Ends a response that is spoilt; after garbage only once the client has left.
async fn end(mut client: TcpStream, spoil: Spoil) -> io::Result<()> {
    match spoil {
        Spoil::End => Ok(()),
        Spoil::Reset => client.set_zero_linger(),
        Spoil::Garbage => {
            client.write_all(GARBAGE).await?;
            let mut ignored = [0; 64];
            while client.read(&mut ignored).await? > 0 {}
            Ok(())
        }
    }
}
