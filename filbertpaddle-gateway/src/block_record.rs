//! Keeps the store's record of what is blocked as a crash suspect.
//!
//! A node that starts reads it, so that what crashes targets stays blocked when all nodes have
//! started again. The readers of the data centres add to it what the nodes have found out.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::block_record::BlockRecord;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::freshness::RESPONSE_TIMEOUT_MS;
use http::StatusCode;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use crate::platform_api::Stored;
use crate::state::State;
use crate::store_sync;
use crate::store_sync::Error;

/// Interval at which a reader checks whether the record has to be changed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed attempt to read the record at the start.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The record as this node has last read it.
struct KnownRecord {
    stored: Stored<BlockRecord>,
    /// Time when it was read, by the node's clock.
    read_ms: Millis,
}

impl KnownRecord {
    /// Returns the record as it should be now; `None` if it is so already.
    fn updated(&self, state: &State) -> Option<BlockRecord> {
        let now = state.clock.now();
        let store_ms = self.stored.store_ms + now.since(self.read_ms);
        let mut record = self.stored.record.clone().unwrap_or_default();
        let suspects = state.suspects.borrow();
        let has_changed = suspects.update_record(now, store_ms, &mut record);
        has_changed.then_some(record)
    }
}

/// Reads the record, and adds to it for as long as the node runs, while it is a reader.
pub async fn run(state: Rc<State>) {
    let mut known = read_first(&state).await;
    let mut has_failed = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        if !state.is_reader() || known.updated(&state).is_none() {
            continue;
        }
        match maintain(&state).await {
            Ok(current) => {
                known = current;
                has_failed = false;
            }
            Err(error) => {
                if !has_failed {
                    warn!(state.log, "record of crash suspects not kept, retrying";
                        "error" => %error);
                }
                has_failed = true;
            }
        }
    }
}

/// Reads the record and merges it into what this node knows. Retries until the store answers.
async fn read_first(state: &Rc<State>) -> KnownRecord {
    let stored = loop {
        match read(state).await {
            Ok(stored) => break stored,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    };
    let now = state.clock.now();
    let mut suspects = state.suspects.borrow_mut();
    let mut fingerprints = Vec::new();
    for (fingerprint, crashes) in stored
        .record
        .iter()
        .flat_map(|all| all.recent(stored.store_ms))
    {
        suspects.merge(now, fingerprint, &crashes);
        fingerprints.push(fingerprint);
    }
    if !fingerprints.is_empty() {
        info!(state.log, "record of crash suspects read"; "fingerprints" => ?fingerprints,
            "uptime_ms" => now.0);
    }
    KnownRecord {
        stored,
        read_ms: now,
    }
}

/// Reads the record again and changes it if it has to be.
async fn maintain(state: &Rc<State>) -> Result<KnownRecord, Error> {
    let stored = read(state).await?;
    let read_ms = state.clock.now();
    let mut known = KnownRecord { stored, read_ms };
    let Some(record) = known.updated(state) else {
        return Ok(known);
    };
    if write(state, &record, known.stored.revision).await? {
        info!(state.log, "crash suspects recorded";
            "fingerprints" => ?record.fingerprints().collect::<Vec<_>>());
        known.stored.record = Some(record);
    }
    Ok(known)
}

/// Reads the record.
///
/// # Errors
///
/// Returns an error if the store does not answer.
pub(crate) async fn read(state: &Rc<State>) -> Result<Stored<BlockRecord>, Error> {
    let calls = state.platform.store;
    let call = (calls.read_blocked)();
    let (_, bytes) = store_sync::call_store(state, &call, RESPONSE_TIMEOUT_MS).await?;
    Ok((calls.decode_blocked)(&bytes)?)
}

/// Writes the record if it still has a revision, or does not exist if that is 0; returns whether
/// it had.
///
/// # Errors
///
/// Returns an error if it is not known whether the record has changed.
pub(crate) async fn write(
    state: &Rc<State>,
    record: &BlockRecord,
    revision: u64,
) -> Result<bool, Error> {
    let call = (state.platform.store.write_blocked)(record, revision);
    match store_sync::call_store(state, &call, RESPONSE_TIMEOUT_MS).await {
        Ok(_) => Ok(true),
        Err(Error::Status(StatusCode::PRECONDITION_FAILED)) => Ok(false),
        Err(error) => Err(error),
    }
}
