//! The record of a run: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// Record of one run; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record cannot be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the run, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Writes a line with the current time.
    pub fn add(&self, text: &str) {
        let mut file = self.file.lock().expect("record");
        writeln!(file, "{:>7} ms  {text}", self.now_ms()).expect("record cannot be written");
    }
}
