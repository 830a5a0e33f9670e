//! Callers: plain requests, and streams that are read until the caller's connection ends.

use std::net::SocketAddr;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::caller::send_unread;
use http::Method;
use http::Version;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::fleet::KEY;

/// Time that callers wait for a response, as long as the site's deadline for generations.
const DEADLINE_MS: u64 = 39_000;

/// Builds a request without tokens.
pub fn request(attempt: &str, method: Method, path: &str) -> SentRequest {
    SentRequest {
        attempt: attempt.to_owned(),
        method,
        path: path.to_owned(),
        key: Some(KEY.to_owned()),
        deadline_ms: DEADLINE_MS,
        content: None,
        tokens: None,
        shared_parts: Vec::new(),
        resume: None,
        version: Version::HTTP_11,
    }
}

/// Builds a request for a stream.
pub fn generation(attempt: &str, path: &str, output_tokens: u32) -> SentRequest {
    SentRequest {
        tokens: Some((1_000, output_tokens)),
        ..request(attempt, Method::POST, path)
    }
}

/// A stream as its caller sees it, on a connection of its own.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    text: String,
}

impl CallerStream {
    /// Sends a request; returns `None` if the node accepts no connection.
    pub async fn open(node: SocketAddr, request: &SentRequest) -> Option<Self> {
        let stream = send_unread(node, request).await.ok()?;
        Some(Self {
            stream,
            text: String::new(),
        })
    }

    /// Reads until `is_done` holds, the connection ends, or the time is over. Returns whether the
    /// connection is still open.
    pub async fn read_until<D>(&mut self, time_limit: Duration, is_done: D) -> bool
    where
        D: Fn(&Self) -> bool,
    {
        let read = async {
            let mut buffer = [0; 4_096];
            while !is_done(self) {
                match self.stream.read(&mut buffer).await {
                    Ok(length) if length > 0 => {
                        self.text += &String::from_utf8_lossy(&buffer[..length]);
                    }
                    _ => return false,
                }
            }
            true
        };
        timeout(time_limit, read).await.unwrap_or(true)
    }

    /// Returns the status; `None` if none has arrived.
    pub fn status(&self) -> Option<u16> {
        self.text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }

    /// Returns the value of the `Retry-After` header.
    pub fn retry_after(&self) -> Option<Duration> {
        let mut lines = self.text.lines();
        let line = lines.find(|line| line.to_ascii_lowercase().starts_with("retry-after:"))?;
        let seconds = line.split_once(':')?.1.trim().parse().ok()?;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Returns the IDs of the complete events.
    pub fn events(&self) -> Vec<u64> {
        // The stand-in of a target ends each event with a `data` line and an empty one.
        let complete = self.text.rsplit_once("\n\n").map_or("", |(text, _)| text);
        let lines = complete.lines();
        let ids = lines.filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}
