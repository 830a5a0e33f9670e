//! Structured logging to standard error.

use std::io;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::settings;

/// Maximum number of log lines queued for writing.
const QUEUE_LINES: usize = 4_096;

/// Opens the log; lines below the configured level are discarded.
pub fn open(settings: settings::Log) -> Logger {
    let level = match settings.level {
        settings::LogLevel::Debug => Level::Debug,
        settings::LogLevel::Info => Level::Info,
        settings::LogLevel::Warning => Level::Warning,
    };
    match settings.format {
        settings::LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            root(slog_term::FullFormat::new(decorator).build(), level)
        }
        settings::LogFormat::Json => root(slog_json::Json::default(io::stderr()), level),
    }
}

/// Returns the logger of one component, which adds its name to each line under `part`.
pub fn component(log: &Logger, name: &'static str) -> Logger {
    log.new(o!("part" => name))
}

fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err: std::fmt::Debug> + Send + 'static,
{
    let leveled = drain.filter_level(level).ignore_res();
    let queue = slog_async::Async::new(leveled)
        .chan_size(QUEUE_LINES)
        .build();
    Logger::root(queue.fuse(), o!())
}
