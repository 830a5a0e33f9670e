//! Record of what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A file with one line for each event; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Adds a line with the time since the start of the case.
    pub fn add(&self, text: impl AsRef<str>) {
        self.add_at(Instant::now(), text);
    }

    /// Adds a line with the time of an event.
    pub fn add_at(&self, at: Instant, text: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{seconds:8.3} s  {}", text.as_ref()).expect("the record can be written");
    }
}
