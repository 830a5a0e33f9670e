//! Keeps refused operator actions in the platform's table.
//!
//! Whoever is refused must not be able to fill the table or use up its
//! writes, so each node writes at most once a second into a fixed number of
//! rows.

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

const PREFIX: &str = "refusal/";
/// Rows that each node writes in turn.
const ROWS_PER_NODE: u64 = 16;
/// Most refusals in one row.
const MAX_REFUSALS_PER_ROW: usize = 32;
/// Most rows read at once.
const MAX_SCAN_ROWS: u32 = 200;
/// Longest action that is kept.
const MAX_ACTION_CHARS: usize = 200;
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// Takes refusals to keep.
#[derive(Clone, Debug)]
pub struct RefusalLog {
    queue: mpsc::Sender<Refusal>,
    dropped: Arc<AtomicU64>,
}

impl RefusalLog {
    /// Starts to keep refusals of this node.
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

    /// Keeps a refusal, or counts it if there are too many.
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
        // Writing the same row again is harmless, so any error is repeated.
        if let Err(error) = self.platform.transact(&transaction).await {
            warn!(self.log, "Refusals not kept."; "error" => %error);
            return false;
        }
        self.next_row = (self.next_row + 1) % ROWS_PER_NODE;
        true
    }
}

/// Reads the refusals that nodes kept.
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
        let more: Refusals = config_table::decode(row)?;
        all.refusals.extend(more.refusals);
        all.dropped = all.dropped.max(more.dropped);
    }
    all.refusals.sort_by_key(|refusal| refusal.at_ms);
    Ok(all)
}
