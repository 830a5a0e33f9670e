//! Removal of claims past their retention.
//!
//! All nodes share one cursor in the table. A node takes the next page by
//! advancing the cursor, so that each page is processed by one node in a pass.

use std::sync::Arc;

use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::KEY_PREFIX;
use filbertpaddle_core::claim::Row;
use filbertpaddle_core::claims::Event;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::sweep;
use filbertpaddle_core::sweep::Entry;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::error::Error;
use filbertpaddle_platform::protocol;
use filbertpaddle_platform::protocol::Condition;
use filbertpaddle_platform::protocol::Scan;
use filbertpaddle_platform::protocol::TransactAnswer;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;
use slog::Logger;
use slog::debug;
use xtra::Address;

use crate::claim_actor::ClaimActor;
use crate::claim_actor::CoreEvent;
use crate::clock;
use crate::metrics::Metrics;

/// Table key of the shared cursor.
const CURSOR_KEY: &str = "sweep/claim";

/// Task that removes expired claims.
#[derive(Debug)]
pub(crate) struct Sweep {
    pub(crate) platform: Client,
    pub(crate) actor: Address<ClaimActor>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
}

impl Sweep {
    /// Processes one page at intervals until the actor of the claims stops.
    pub(crate) async fn run(self) {
        // The random delay spreads the first steps of nodes that start together.
        let start = rand::random_range(0..sweep::MAX_START_DELAY_MS.0);
        tokio::time::sleep(clock::duration(Millis(start))).await;
        while self.actor.is_connected() {
            let interval_ms = match self.step().await {
                Ok(interval_ms) => interval_ms,
                Err(error) => {
                    debug!(
                        self.log,
                        "Page of expired claims not processed; a later step or pass repeats it.";
                        "error" => %error,
                    );
                    sweep::SLOW_INTERVAL_MS
                }
            };
            tokio::time::sleep(clock::duration(interval_ms)).await;
        }
    }

    async fn step(&self) -> Result<Millis, Error> {
        let cursor = self.platform.read(vec![CURSOR_KEY.to_owned()]).await?;
        let cursor = cursor.rows.into_iter().next();
        let after = cursor
            .as_ref()
            .map(|row| row.value.clone())
            .filter(|after| !after.is_empty());
        let scan = Scan {
            prefix: KEY_PREFIX.to_owned(),
            after,
            limit: sweep::PAGE_ROWS,
        };
        let page = self.platform.scan(&scan).await?.rows;
        let step = sweep::step(page.into_iter().map(entry).collect(), clock::unix_now());
        let revision = cursor.map(|row| row.revision);
        if self.advance(revision, step.after).await? && !step.expired.is_empty() {
            self.metrics.count("claim.swept");
            let expired = Event::Expired(step.expired);
            self.actor.send(CoreEvent(expired)).await.ok();
        }
        Ok(step.interval_ms)
    }

    /// Advances the cursor; returns `false` if another node advanced it first.
    async fn advance(&self, revision: Option<u64>, after: Option<String>) -> Result<bool, Error> {
        let transaction = Transaction {
            conditions: vec![Condition {
                key: CURSOR_KEY.to_owned(),
                revision,
            }],
            writes: vec![Write {
                key: CURSOR_KEY.to_owned(),
                value: Some(after.unwrap_or_default()),
            }],
        };
        let answer = self.platform.transact(&transaction).await?;
        Ok(matches!(answer, TransactAnswer::Committed { .. }))
    }
}

fn entry(row: protocol::Row) -> Entry {
    Entry {
        claim: claim(&row),
        row_key: row.key,
    }
}

fn claim(row: &protocol::Row) -> Option<(Id, Row)> {
    let id = Id::from_row_key(&row.key)?;
    let record = serde_json::from_str(&row.value).ok()?;
    let revision = row.revision;
    Some((id, Row { record, revision }))
}
