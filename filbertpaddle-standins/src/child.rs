//! Asynchronous child processes of an experiment that report readiness as one line of JSON.

use std::io;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Command;

/// Longest wait for the line that a child prints when it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Reason why a child did not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The process could not be started, or its first line not read in time.
    #[error("{program} did not start or did not become ready: {source}")]
    Io {
        /// Program that was started.
        program: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The first line could not be decoded.
    #[error("cannot decode the first line of {program}, {line:?}: {source}")]
    Line {
        /// Program that was started.
        program: String,
        /// Line that was printed.
        line: String,
        /// Error of the decoder.
        source: serde_json::Error,
    },
}

/// A running child process and its decoded first line.
#[derive(Debug)]
pub struct Child<T> {
    /// Decoded first line, which the child printed when it was ready.
    pub ready: T,
    /// Process id.
    pub pid: u32,
    process: tokio::process::Child,
}

impl<T> Child<T>
where
    T: DeserializeOwned,
{
    /// Starts a program, then waits for its first line and decodes it as JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started, prints no line in
    /// time, or prints a line that cannot be decoded.
    pub async fn start(program: &Path, args: &[String]) -> Result<Self, Error> {
        let name = program.display().to_string();
        let io = |source| Error::Io {
            program: name.clone(),
            source,
        };
        let mut process = Command::new(program)
            .args(args)
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .map_err(io)?;
        let closed = || io(io::ErrorKind::BrokenPipe.into());
        let stdout = process.stdout.take().ok_or_else(closed)?;
        let mut lines = BufReader::new(stdout).lines();
        let line = tokio::time::timeout(READY_TIMEOUT, lines.next_line())
            .await
            .map_err(|_| io(io::ErrorKind::TimedOut.into()))?
            .map_err(io)?
            .ok_or_else(closed)?;
        let ready = serde_json::from_str(&line).map_err(|source| Error::Line {
            program: name.clone(),
            line,
            source,
        })?;
        Ok(Self {
            ready,
            pid: process.id().unwrap_or_default(),
            process,
        })
    }

    /// Kills the process.
    pub async fn close(mut self) {
        // Fails if the process has already exited.
        let _ = self.process.kill().await;
    }
}
