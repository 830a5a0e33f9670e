//! Child processes of tests and experiments.

use std::ffi::OsStr;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::WaitOptions;
use rustix::process::kill_process;
use rustix::process::waitpid;
use serde::de::DeserializeOwned;

/// Set this variable to see what child processes write to standard error.
const SHOW_LOG: &str = "FILBERTPADDLE_TEST_LOG";

/// A process that printed one JSON line when it was ready.
///
/// Dropping it kills the process, so that a failed test leaves none behind.
#[derive(Debug)]
pub struct Process {
    child: Child,
    ready: String,
}

impl Process {
    /// Starts a program and waits for the line that says it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started or ends before that line.
    pub fn start<I, S>(program: &Path, args: I) -> io::Result<Self>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<OsStr>,
    {
        Self::start_with(program, args, [], None)
    }

    /// The same with some variables of its environment set, and with what it
    /// writes later appended to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened, or if the program cannot
    /// be started or ends before that line.
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
        let log = match std::env::var_os(SHOW_LOG) {
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
            .map_err(|error| io::Error::other(format!("{}: {error}", program.display())))?;
        let mut ready = String::new();
        if let Some(stdout) = child.stdout.take() {
            let mut reader = BufReader::new(stdout);
            reader.read_line(&mut ready)?;
            if let Some(path) = output {
                append(reader, path)?;
            }
        }
        let process = Self { child, ready };
        if process.ready.is_empty() {
            let path = program.display();
            return Err(io::Error::other(format!(
                "{path} ended before it was ready"
            )));
        }
        Ok(process)
    }

    /// Reads the line that said the process was ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the line has another form.
    pub fn ready<T>(&self) -> io::Result<T>
    where
        T: DeserializeOwned,
    {
        Ok(serde_json::from_str(&self.ready)?)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Freezes the process and returns once no thread of it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has gone.
    pub fn pause(&self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        // On a busy machine some threads run on for a while after the signal.
        let pid = Pid::from_child(&self.child);
        let status = waitpid(Some(pid), WaitOptions::UNTRACED)?;
        match status {
            Some((_, status)) if status.stopped() => Ok(()),
            _ => Err(io::Error::other("the process ended instead of stopping")),
        }
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has gone.
    pub fn resume(&self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to drain and stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has gone.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Tells the process that its settings have changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has gone.
    pub fn hang_up(&self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    ///
    /// Returns an error if its state cannot be read.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Returns whether the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if its state cannot be read.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some())
    }

    /// Kills the process at once.
    pub fn close(self) {
        drop(self);
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        kill_process(Pid::from_child(&self.child), signal)?;
        Ok(())
    }
}

/// Appends to a file what is read, on a thread of its own until it ends.
fn append<R>(mut from: R, path: &Path) -> io::Result<()>
where
    R: io::Read + Send + 'static,
{
    let mut file = File::options().create(true).append(true).open(path)?;
    std::thread::spawn(move || {
        if let Err(error) = io::copy(&mut from, &mut file) {
            eprintln!("output of a process not kept: {error}");
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
