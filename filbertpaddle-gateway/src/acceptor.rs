//! Accepts connections, and goes on after failures such as a lack of descriptors.

use std::io::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use slog::Logger;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

/// Pause after a failure, in which connections may end.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Minimum time between two log lines about failures.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Accepts connections at one address.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    log: Logger,
    /// Who connects here.
    peers: &'static str,
    /// Failures that were not logged yet.
    failures: u64,
    logged_at: Option<Instant>,
}

impl Acceptor {
    /// Accepts the connections of `peers`, as the log names them.
    pub fn new(listener: TcpListener, log: Logger, peers: &'static str) -> Self {
        Self {
            listener,
            log,
            peers,
            failures: 0,
            logged_at: None,
        }
    }

    /// Waits for the next connection. Cancel-safe.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok(accepted) => return accepted,
                Err(error) => self.record_failure(&error).await,
            }
        }
    }

    async fn record_failure(&mut self, error: &Error) {
        self.failures += 1;
        let is_due = |at: Instant| at.elapsed() >= LOG_INTERVAL;
        if self.logged_at.is_none_or(is_due) {
            warn!(self.log, "connections not accepted, going on to try";
                "from" => self.peers, "failures" => self.failures, "error" => %error);
            self.failures = 0;
            self.logged_at = Some(Instant::now());
        }
        // The others concern one connection, which has ended.
        if !matches!(
            error.kind(),
            ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset
        ) {
            sleep(FAILURE_PAUSE).await;
        }
    }
}
