//! JSON log to standard output; writing never blocks the node.

use std::fmt;
use std::io;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::AsyncGuard;
use slog_async::OverflowStrategy;

/// Maximum number of queued lines; further ones are dropped and counted.
const QUEUE_LINES: usize = 1_024;
/// Time in which the queued lines are written at the end; nobody may read them.
const FLUSH_TIME: Duration = Duration::from_secs(1);

/// Writes the queued lines.
pub struct QueueWriter {
    guard: AsyncGuard,
}

/// Creates the logger of a node, and what writes its lines.
pub fn open(node: &str) -> (Logger, QueueWriter) {
    let json = slog_json::Json::default(io::stdout()).ignore_res();
    let (queue, guard) = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    let log = Logger::root(queue.fuse(), o!("node" => node.to_owned()));
    (log, QueueWriter { guard })
}

impl QueueWriter {
    /// Writes the lines that are still queued, as far as somebody reads them.
    pub fn close(self) {
        let (written, waiting) = mpsc::channel();
        let guard = self.guard;
        thread::spawn(move || {
            // Waits for the last line.
            drop(guard);
            written.send(()).ok();
        });
        // What is not written in time is lost with the process.
        waiting.recv_timeout(FLUSH_TIME).ok();
    }
}

impl fmt::Debug for QueueWriter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("QueueWriter").finish_non_exhaustive()
    }
}
