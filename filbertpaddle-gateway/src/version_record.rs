//! Keeps the store's record of software versions that may have begun streams.
//!
//! The readers of the data centres record which versions are listed. Any node records a version
//! itself before it delivers the first event of a stream from it, if no reader has yet, and reads
//! the record when a caller resumes a stream that no node knows.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::freshness::RESPONSE_TIMEOUT_MS;
use filbertpaddle_forward::route_hashes::Group;
use filbertpaddle_forward::route_hashes::RouteHashes;
use filbertpaddle_forward::version_record::ServiceVersion;
use filbertpaddle_forward::version_record::StoreTime;
use filbertpaddle_forward::version_record::VersionRecord;
use http::StatusCode;
use slog::info;
use slog::warn;
use tokio::sync::Mutex;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::duration;
use crate::platform_api::Stored;
use crate::state::State;
use crate::store_sync;
use crate::store_sync::Error;

/// Interval at which a reader checks whether the record has to be changed.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Age at which a reader reads the record again: another node may have written it as of an older
/// list. Shorter than the time after which a version counts as gone.
const MAX_AGE_MS: Millis = Millis::from_secs(30);
/// Longest time that the first event of a stream waits until its version is recorded.
const RECORD_TIMEOUT_MS: Millis = RESPONSE_TIMEOUT_MS;
/// Longest time that a caller who resumes a stream waits for the record, after other nodes have
/// been asked in vain: one that is refused is to come back while it has time left.
const READ_TIMEOUT_MS: Millis = Millis(300);
/// Time for which first events do not wait for the record after it could not be written.
const FAILURE_PAUSE_MS: Millis = Millis::from_secs(2);
/// Pause after a failed attempt to record a version.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The record as this node has last read or written it.
#[derive(Clone, Debug)]
pub struct KnownRecord {
    record: VersionRecord,
    /// Revision of the row, which the next write requires; `None` after a write.
    revision: Option<u64>,
    /// Era and time of the store when it was read.
    time: StoreTime,
    /// Time before it was read, by the node's clock.
    requested_ms: Millis,
}

impl KnownRecord {
    /// Returns the record and the time of the store when it was read.
    pub fn as_of(&self) -> (&VersionRecord, StoreTime) {
        (&self.record, self.time)
    }

    /// Returns whether the streams that can still be resumed began on the routes in force, as far
    /// as they are in some groups.
    pub fn has_had_routes(&self, state: &State, groups: &[Group]) -> bool {
        let routes = resumable_routes(state);
        routes.is_some_and(|routes| self.record.has_had_routes(self.time, &routes, groups))
    }
}

/// What a node knows of the record.
#[derive(Debug, Default)]
pub struct RecordCache {
    known: RefCell<Option<KnownRecord>>,
    /// Time until which first events do not wait for the record, after the store did not answer.
    failed_until_ms: Cell<Millis>,
    /// Held during calls, so that requests that need the record at once share a call.
    turn: Mutex<()>,
}

impl RecordCache {
    /// Creates an empty cache.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops what is known after the listed versions have changed, or the store was rolled back.
    pub fn clear(&self) {
        self.known.replace(None);
    }

    fn has(&self, (service, version): &ServiceVersion) -> bool {
        let known = self.known.borrow();
        let record = known.as_ref().map(|known| &known.record);
        record.is_some_and(|record| record.has(service, *version))
    }
}

/// Records the listed versions for as long as the node runs, while it is a reader.
pub async fn run(state: Rc<State>) {
    let mut changes = state.subscribe();
    let mut has_failed = false;
    loop {
        tokio::select! {
            _ = changes.changed() => {}
            () = sleep(CHECK_INTERVAL) => {}
        }
        if !state.is_reader() || !state.has_data() {
            continue;
        }
        let result = maintain(&state).await;
        if let Err(error) = &result
            && !has_failed
        {
            warn!(state.log, "record of software versions not kept, retrying"; "error" => %error);
        }
        has_failed = result.is_err();
        if has_failed {
            sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Records what this reader lists, and which versions are gone.
async fn maintain(state: &Rc<State>) -> Result<(), Error> {
    let cache = &state.version_record;
    let _turn = cache.turn.lock().await;
    let known = cache.known.borrow().clone();
    let now = state.clock.now();
    let known = match known.filter(|known| now.since(known.requested_ms) < MAX_AGE_MS) {
        Some(known) => known,
        None => read(state).await?,
    };
    let listed = state.version_history.borrow().listed().to_vec();
    let now = state.clock.now();
    let time = StoreTime {
        now_ms: known.time.now_ms + now.since(known.requested_ms),
        ..known.time
    };
    let mut updated = known.record.with_listed(time, &listed);
    // An older list may lack versions that others have recorded since.
    let listed_at_ms = state.directory.borrow().current_at_ms(Table::Targets);
    if listed_at_ms > known.requested_ms {
        updated = updated.with_others_gone(time, &listed);
    }
    let routes = resumable_routes(state);
    if let Some(routes) = routes {
        updated = updated.with_routes(time, &routes);
    }
    if known.revision.is_none() && updated != known.record {
        cache.clear();
        return Ok(());
    }
    write(state, known, updated).await
}

fn resumable_routes(state: &State) -> Option<RouteHashes> {
    let directory = state.directory.borrow();
    let configuration = directory.configuration();
    configuration.map(|configuration| configuration.resumable_routes())
}

/// Waits until a version is recorded, so that any node that a caller comes to later knows that it
/// may have begun streams. Returns whether it is.
pub async fn ensure_recorded(state: &Rc<State>, version: &ServiceVersion) -> bool {
    let cache = &state.version_record;
    if cache.has(version) {
        return true;
    }
    // One stream after the other would wait in vain while the store does not answer.
    if state.clock.now() < cache.failed_until_ms.get() {
        return false;
    }
    let recorded = timeout(duration(RECORD_TIMEOUT_MS), record(state, version));
    let is_recorded = recorded.await.is_ok();
    if !is_recorded {
        let until_ms = state.clock.now() + FAILURE_PAUSE_MS;
        cache.failed_until_ms.set(until_ms);
        warn!(state.log, "delivering streams of a software version that could not be recorded";
            "service" => version.0.as_str(), "paused_ms" => FAILURE_PAUSE_MS.0);
        state.metrics.count("version.unrecorded");
    }
    is_recorded
}

async fn record(state: &Rc<State>, version: &ServiceVersion) {
    let cache = &state.version_record;
    let _turn = cache.turn.lock().await;
    while !cache.has(version) {
        let recorded = async {
            let known = read(state).await?;
            let listed = std::slice::from_ref(version);
            let updated = known.record.with_listed(known.time, listed);
            write(state, known, updated).await
        };
        if recorded.await.is_err() {
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// Returns the record as of a time after `after_ms`; `None` if it cannot be read in time.
pub async fn read_after(state: &Rc<State>, after_ms: Millis) -> Option<KnownRecord> {
    let result = timeout(duration(READ_TIMEOUT_MS), async {
        let _turn = state.version_record.turn.lock().await;
        let known = state.version_record.known.borrow().clone();
        match known.filter(|known| known.requested_ms > after_ms) {
            Some(known) => Ok(known),
            None => read(state).await,
        }
    })
    .await;
    let reason = match result {
        Ok(Ok(known)) => return Some(known),
        Ok(Err(error)) => error.to_string(),
        Err(elapsed) => elapsed.to_string(),
    };
    warn!(state.log, "record of software versions not read"; "reason" => reason);
    None
}

/// Reads the record. One that is missing or cannot be decoded starts anew.
async fn read(state: &Rc<State>) -> Result<KnownRecord, Error> {
    let calls = state.platform.store;
    let requested_ms = state.clock.now();
    let call = (calls.read_versions)();
    let (era, bytes) = store_sync::call_store(state, &call, RESPONSE_TIMEOUT_MS).await?;
    let Stored {
        record,
        revision,
        store_ms,
    } = (calls.decode_versions)(&bytes)?;
    let time = StoreTime {
        era,
        now_ms: store_ms,
    };
    // A missing row may have been lost.
    let is_lost = revision != 0 || state.has_rolled_back.get();
    let is_first_start = state.reloadable.borrow().is_first_start && !is_lost;
    let known = KnownRecord {
        record: record.unwrap_or_else(|| VersionRecord::new(time, is_first_start)),
        revision: Some(revision),
        time,
        requested_ms,
    };
    state.version_record.known.replace(Some(known.clone()));
    Ok(known)
}

/// Writes the record if it has changed and nobody else has written it since it was read.
async fn write(state: &Rc<State>, known: KnownRecord, updated: VersionRecord) -> Result<(), Error> {
    let is_stored = known.revision != Some(0);
    let cache = &state.version_record;
    if is_stored && updated == known.record {
        return Ok(());
    }
    // If the answer is lost, it is not known whether the record has changed.
    cache.clear();
    let call = (state.platform.store.write_versions)(&updated, known.revision.unwrap_or(0));
    match store_sync::call_store(state, &call, RESPONSE_TIMEOUT_MS).await {
        Ok(_) => {}
        // Another node was first; the record is read again.
        Err(Error::Status(StatusCode::PRECONDITION_FAILED)) => return Ok(()),
        Err(error) => return Err(error),
    }
    let (listed, gone) = updated.counts();
    info!(state.log, "software versions recorded"; "listed" => listed, "gone" => gone);
    cache.known.replace(Some(KnownRecord {
        record: updated,
        revision: None,
        ..known
    }));
    Ok(())
}
