//! JSON log to standard output; writing never blocks the node.

use std::io;

use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::OverflowStrategy;

/// Maximum number of queued lines; further ones are dropped and counted.
const QUEUE_LINES: usize = 1_024;

/// Creates the logger of a node.
pub fn open(node: &str) -> Logger {
    let json = slog_json::Json::default(io::stdout()).ignore_res();
    let queue = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    Logger::root(queue.fuse(), o!("node" => node.to_owned()))
}
