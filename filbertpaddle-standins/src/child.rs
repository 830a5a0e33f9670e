//! Child processes of an experiment.

use std::io;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::process::Command;

/// Longest wait for a child's ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a child did not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The process could not be started or read.
    #[error("cannot run {program}: {source}")]
    Io {
        /// Program that was started.
        program: String,
        /// What the system said.
        source: io::Error,
    },
    /// The first line is not what was expected.
    #[error("{program} printed {line:?}: {source}")]
    Line {
        /// Program that was started.
        program: String,
        /// The line.
        line: String,
        /// Why it cannot be decoded.
        source: serde_json::Error,
    },
}

/// A child process and what its first line said.
#[derive(Debug)]
pub struct Child<T> {
    /// What the first line said.
    pub ready: T,
    /// Id of the process.
    pub pid: u32,
    process: tokio::process::Child,
}

impl<T> Child<T>
where
    T: DeserializeOwned,
{
    /// Starts a program and waits for its first line of JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started or its line decoded.
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

    /// Ends the process at once.
    pub async fn close(mut self) {
        // It may have ended by itself.
        let _ = self.process.kill().await;
    }
}
