//! HTTP server of the stand-ins, which can be closed.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::Rejection;
use warp::Reply;

/// Maximum wait for requests in progress when a server is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Connections that can wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// A running HTTP server.
#[derive(Debug)]
pub struct Server {
    /// Address that the server is bound to.
    pub address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds `address` and serves `filter`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start<F>(address: SocketAddr, filter: F) -> io::Result<Self>
    where
        F: Filter<Error = Rejection> + Clone + Send + Sync + 'static,
        F::Extract: Reply,
    {
        let listener = bind(address)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let stopped = async move {
            // A dropped sender stops the server as well.
            let _ = stopped.await;
        };
        let server = warp::serve(filter).incoming(listener).graceful(stopped);
        let task = tokio::spawn(server.run());
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Stops accepting and waits a short time for requests in progress, then aborts them.
    pub async fn close(self) {
        let _ = self.stop.send(());
        let mut task = self.task;
        if tokio::time::timeout(CLOSE_TIMEOUT, &mut task)
            .await
            .is_err()
        {
            task.abort();
        }
    }
}

/// Binds a listener whose connections have `TCP_NODELAY` set, so that small writes are sent
/// without delay.
///
/// Accepted connections inherit the option from the listener.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
