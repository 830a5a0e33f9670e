//! Stores refused operator actions in the platform's table.
//!
//! Refused requests must not fill the table or use up its write capacity, so each
//! node writes at most once a second and only to a fixed number of rows.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertpaddle_core::name::Name;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Scan;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;

use crate::config_table;
use crate::operator_api::Refusal;
use crate::operator_api::Refusals;

/// Prefix of the keys of rows.
const PREFIX: &str = "refusal/";
/// Number of rows that each node overwrites in turn.
const ROWS_PER_NODE: u64 = 16;
/// Maximum number of refusals in one row, and in the queue of the writer.
const MAX_REFUSALS_PER_ROW: usize = 32;
/// Maximum number of rows that are read.
const MAX_SCAN_ROWS: u32 = 200;
/// Length to which a stored action is truncated.
const MAX_ACTION_CHARS: usize = 200;
/// Minimum time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Queues refusals for the task that writes them; clones share one task.
#[derive(Clone, Debug)]
pub struct RefusalLog {
    queue: mpsc::Sender<Refusal>,
    dropped: Arc<AtomicU64>,
}

impl RefusalLog {
    /// Starts the task that writes the refusals of this node.
    pub fn start(node: Name, platform: Client, log: Logger) -> Self {
        let (queue, refusals) = mpsc::channel(MAX_REFUSALS_PER_ROW);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = Writer {
            node,
            platform,
            dropped: Arc::clone(&dropped),
            log,
            next_row: rand::random::<u64>() % ROWS_PER_NODE,
        };
        tokio::spawn(writer.run(refusals));
        Self { queue, dropped }
    }

    /// Queues a refusal to be written; counts it as dropped if the queue is full.
    pub fn record(&self, mut refusal: Refusal) {
        refusal.action = refusal.action.chars().take(MAX_ACTION_CHARS).collect();
        if self.queue.try_send(refusal).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

struct Writer {
    node: Name,
    platform: Client,
    dropped: Arc<AtomicU64>,
    log: Logger,
    next_row: u64,
}

impl Writer {
    async fn run(mut self, mut queue: mpsc::Receiver<Refusal>) {
        let mut waiting = VecDeque::new();
        while let Some(refusal) = queue.recv().await {
            waiting.push_back(refusal);
            while !waiting.is_empty() {
                tokio::time::sleep(WRITE_INTERVAL).await;
                while let Ok(refusal) = queue.try_recv() {
                    waiting.push_back(refusal);
                }
                self.drop_oldest(&mut waiting);
                if self.write(&waiting).await {
                    waiting.clear();
                }
            }
        }
    }

    fn drop_oldest(&self, waiting: &mut VecDeque<Refusal>) {
        while waiting.len() > MAX_REFUSALS_PER_ROW {
            waiting.pop_front();
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn write(&mut self, waiting: &VecDeque<Refusal>) -> bool {
        let row = Refusals {
            refusals: waiting.iter().cloned().collect(),
            dropped: self.dropped.load(Ordering::Relaxed),
        };
        let write = Write {
            key: format!("{PREFIX}{}/{:02}", self.node, self.next_row),
            value: serde_json::to_string(&row).ok(),
        };
        let transaction = Transaction {
            conditions: Vec::new(),
            writes: vec![write],
        };
        // The write is idempotent, so it can be retried after any error.
        if let Err(error) = self.platform.transact(&transaction).await {
            warn!(self.log, "Refused operator actions not written to the platform; retrying."; "error" => %error);
            return false;
        }
        self.next_row = (self.next_row + 1) % ROWS_PER_NODE;
        true
    }
}

/// Reads the stored refusals of all nodes, ordered by time.
///
/// # Errors
///
/// Returns [`config_table::Error`] if a row cannot be read.
pub async fn read(platform: &Client) -> Result<Refusals, config_table::Error> {
    let scan = Scan {
        prefix: PREFIX.to_owned(),
        after: None,
        limit: MAX_SCAN_ROWS,
    };
    let rows = platform.scan(&scan).await?.rows;
    let mut all = Refusals {
        refusals: Vec::new(),
        dropped: 0,
    };
    for row in &rows {
        let stored: Refusals = config_table::decode(row)?;
        all.refusals.extend(stored.refusals);
        all.dropped = all.dropped.max(stored.dropped);
    }
    all.refusals.sort_by_key(|refusal| refusal.at_ms);
    Ok(all)
}
