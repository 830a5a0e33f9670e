//! Structured logs to standard output, bounded and never blocking.

use std::io;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::OverflowStrategy;

/// Most lines that wait to be written; further ones are dropped and counted.
const QUEUE_LINES: usize = 1_024;

/// Opens the log of a node.
pub fn open(node: &str) -> Logger {
    let json = slog_json::Json::default(io::stdout()).ignore_res();
    let queue = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    Logger::root(queue.fuse(), o!("node" => node.to_owned()))
}
