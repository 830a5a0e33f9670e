//! Child processes of tests, controlled by signals and killed on drop.

use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::WaitOptions;
use rustix::process::kill_process;
use rustix::process::prlimit;
use rustix::process::waitpid;
use serde::de::DeserializeOwned;

/// Environment variable that, if set, shows the standard error of child processes.
const SHOW_LOG_VARIABLE: &str = "FILBERTPADDLE_TEST_LOG";

/// A running process that printed one line of JSON when it was ready.
///
/// Dropping it kills the process, so that a failed test leaves no process behind.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: String,
    /// Standard output that nobody reads after the first line.
    _unread: Option<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a program and waits for the line that it prints when it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or exits before it is ready.
    pub fn start<I, S>(program: &Path, args: I) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        Self::start_with(program, args, [], None)
    }

    /// Starts a program as [`Process::start`] does, with additional environment
    /// variables. Its later standard output is appended to the `output` file, or stays unread.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened, or if the program cannot
    /// be started or exits before it is ready.
    pub fn start_with<'a, I, S, V>(
        program: &Path,
        args: I,
        variables: V,
        output: Option<&Path>,
    ) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
        V: IntoIterator<Item = (&'a str, &'a OsStr)>,
    {
        let log = match std::env::var_os(SHOW_LOG_VARIABLE) {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        };
        let mut child = Command::new(program)
            .args(args)
            .envs(variables)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|error| {
                io::Error::other(format!("cannot start {}: {error}", program.display()))
            })?;
        let mut ready = String::new();
        let mut unread = None;
        if let Some(stdout) = child.stdout.take() {
            let mut reader = BufReader::new(stdout);
            reader.read_line(&mut ready)?;
            match output {
                Some(path) => append(reader, path)?,
                None => unread = Some(reader),
            }
        }
        let process = Self {
            child,
            ready,
            _unread: unread,
        };
        if process.ready.is_empty() {
            let path = program.display();
            return Err(io::Error::other(format!(
                "{path} exited before it printed that it was ready"
            )));
        }
        Ok(process)
    }

    /// Decodes the line that the process printed when it was ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the line cannot be decoded as `T`.
    pub fn ready<T>(&self) -> io::Result<T>
    where
        T: DeserializeOwned,
    {
        Ok(serde_json::from_str(&self.ready)?)
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the largest amount of memory that the process has used.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel does not state it, such as after the end of the process.
    pub fn peak_memory_kib(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        let memory_kib = value.and_then(|value| value.parse().ok());
        memory_kib.ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Stops the process with `SIGSTOP` and returns once all its threads have stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        // On a busy machine threads may keep running for a while after the signal.
        let pid = Pid::from_child(&self.child);
        let status = waitpid(Some(pid), WaitOptions::UNTRACED)?;
        match status {
            Some((_, status)) if status.stopped() => Ok(()),
            _ => Err(io::Error::other(
                "process exited instead of stopping on SIGSTOP",
            )),
        }
    }

    /// Resumes a paused process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends `SIGTERM`, on which a node drains and stops.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends `SIGHUP`, on which a node reloads its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Limits how many descriptors the process may have open.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited.
    pub fn limit_descriptors(&self, count: u64) -> io::Result<()> {
        let limit = Rlimit {
            current: Some(count),
            maximum: Some(count),
        };
        prlimit(Some(Pid::from_child(&self.child)), Resource::Nofile, limit)?;
        Ok(())
    }

    /// Waits until the process exits by itself, and returns its exit status.
    ///
    /// # Errors
    ///
    /// Returns an error if its state cannot be read.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Returns whether the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if its state cannot be read.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Kills the process.
    pub fn close(self) {
        drop(self);
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }
}

/// Copies everything read from `from` to the end of a file, on a separate thread.
fn append<R>(mut from: R, path: &Path) -> io::Result<()>
where
    R: io::Read + Send + 'static,
{
    let mut file = File::options().create(true).append(true).open(path)?;
    std::thread::spawn(move || {
        if let Err(error) = io::copy(&mut from, &mut file) {
            eprintln!("cannot copy the output of a child process; the rest is lost: {error}");
        }
    });
    Ok(())
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
