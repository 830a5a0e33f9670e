//! Follows the store's tables and keeps this node's entry in it.
//!
//! Only the readers of a data centre follow them all the time; the other nodes
//! follow a reader, and the store while none answers.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::directory::Table;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use crate::clock::duration;
use crate::connection_pool;
use crate::nodes::Node;
use crate::nodes::RENEW_INTERVAL_MS;
use crate::platform_api::Call;
use crate::platform_api::DecodeError;
use crate::platform_api::Page;
use crate::state::State;

/// How long the store holds a call back until something changes. Short, since a
/// connection may go silent without a reset, and only the timeout shows it.
const LONG_POLL_MS: Millis = Millis(1_800);
/// The same after a failed call, to learn soon that the store is back.
const LONG_POLL_AFTER_FAILURE_MS: Millis = Millis(300);
/// How long an answer may take beyond the time it is held back. A slow store
/// takes about 60 times its usual 4 ms.
const RESPONSE_TIMEOUT_MS: Millis = Millis(600);
/// Pause after an answer, so that rows that change together come together.
const READER_BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// The same of a node that reads for itself alone.
const SOLO_BATCH_INTERVAL: Duration = Duration::from_millis(600);
/// Pause of a node whose reader cannot read either; drawn, so that not all
/// nodes try at once.
const PROBE_INTERVAL_MS: std::ops::Range<u64> = 1_500..3_500;
/// How often a node looks whether it knows the others, at its start.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a failed call.
const RETRY_DELAY_MS: Millis = Millis(150);
/// Longest pause after failed calls.
const MAX_RETRY_DELAY_MS: Millis = Millis(600);

/// How long the nodes of a first start take to write their entries: they start
/// within 0.3 s of each other.
const FIRST_READ_DELAY: Duration = Duration::from_millis(500);
/// How soon after its start a node looks for those that started with it.
const SECOND_READ_DELAY_MS: Millis = Millis::from_secs(2);

/// Why a call to the store gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It got no answer.
    #[error(transparent)]
    Link(#[from] connection_pool::Error),
    /// It was refused.
    #[error("status {0}")]
    Status(StatusCode),
    /// Its answer cannot be read.
    #[error(transparent)]
    DecodeError(#[from] DecodeError),
    /// Changes that were not seen are no longer kept.
    #[error("history is gone")]
    HistoryGone,
}

/// Follows one table as long as the node runs.
pub async fn watch_table(state: Rc<State>, table: Table) {
    let mut failures = 0;
    let mut changes = state.subscribe();
    while !state.is_registered.get() {
        sleep(REGISTRATION_CHECK_INTERVAL).await;
    }
    loop {
        if !state.must_read() {
            // A node that follows another has no call of its own that fails.
            state
                .directory
                .borrow_mut()
                .record_store_regained(state.clock.now(), table);
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep(duration(MAX_RETRY_DELAY_MS)) => {}
            }
            continue;
        }
        let mut result = read_or_watch(&state, table, failures > 0).await;
        if matches!(result, Err(Error::HistoryGone)) {
            info!(state.log, "history gone, reading the whole table"; "table" => %table);
            result = read_table(&state, table).await;
        }
        match result {
            Ok(()) => {
                if failures > 0 {
                    info!(state.log, "store regained"; "table" => %table, "failures" => failures);
                }
                failures = 0;
                let is_reader = state.is_reader();
                sleep(if is_reader {
                    READER_BATCH_INTERVAL
                } else {
                    SOLO_BATCH_INTERVAL
                })
                .await;
            }
            Err(error) => {
                failures += 1;
                state.directory.borrow_mut().record_store_lost(table);
                if failures == 1 {
                    warn!(state.log, "store lost"; "table" => %table, "error" => %error);
                    state.metrics.count("store.lost");
                }
                sleep(duration(retry_delay_ms(&state, failures))).await;
            }
        }
    }
}

/// Pause after failed calls. Readers try for all; the others try seldom, in
/// case the store turns away their readers alone.
fn retry_delay_ms(state: &State, failures: u64) -> Millis {
    if !state.is_reader() && state.followed_peer.get().is_up {
        return Millis(rand::random_range(PROBE_INTERVAL_MS));
    }
    Millis(RETRY_DELAY_MS.0 * failures.min(4)).min(MAX_RETRY_DELAY_MS)
}

/// Renews this node's entry as long as it runs, and reads the list of nodes
/// where no reader passes it on.
pub async fn maintain_registration(state: Rc<State>) {
    if let Err(error) = write_node(&state, &[]).await {
        warn!(state.log, "entry not written"; "error" => %error);
    }
    if state.settings.is_first_start {
        sleep(FIRST_READ_DELAY).await;
    }
    let mut delay = duration(SECOND_READ_DELAY_MS);
    loop {
        let result = refresh_registration(&state).await;
        if !state.is_registered.replace(true) {
            state.peer_lost_ms.set(state.clock.now());
        }
        match result {
            Ok(()) => sleep(std::mem::replace(&mut delay, duration(RENEW_INTERVAL_MS))).await,
            Err(error) => {
                warn!(state.log, "node list not read"; "error" => %error);
                sleep(duration(Millis(rand::random_range(PROBE_INTERVAL_MS)))).await;
            }
        }
    }
}

/// Reads the list if nobody passes it on, drops old entries and renews its own
/// before it would count as stale.
async fn refresh_registration(state: &Rc<State>) -> Result<(), Error> {
    let has_no_peer = !state.is_registered.get() && !state.followed_peer.get().is_up;
    let dropped = if has_no_peer || state.must_read() {
        read_nodes(state).await?
    } else {
        Vec::new()
    };
    let now = state.clock.now();
    let is_fresh = |written: Millis| now < written + RENEW_INTERVAL_MS;
    if !state.written_ms.get().is_some_and(is_fresh) || !dropped.is_empty() {
        write_node(state, &dropped).await?;
    }
    Ok(())
}

async fn write_node(state: &Rc<State>, dropped: &[Name]) -> Result<(), Error> {
    let settings = &state.settings;
    let now = state.clock.now();
    if state.nodes.borrow().reads() == 0 {
        // The store's clock is not known yet.
        read_nodes(state).await?;
    }
    let node = Node {
        name: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        peers: settings.peers,
        cores: settings.cores,
        written_ms: state.nodes.borrow().store_ms(now),
    };
    let call = (state.platform.store.write_node)(&node, dropped);
    call_store(state, &call, RESPONSE_TIMEOUT_MS).await?;
    state.written_ms.set(Some(now));
    Ok(())
}

async fn read_nodes(state: &Rc<State>) -> Result<Vec<Name>, Error> {
    let calls = state.platform.store;
    let bytes = call_store(state, &(calls.read_nodes)(), RESPONSE_TIMEOUT_MS).await?;
    let list = (calls.decode_nodes)(&bytes)?;
    Ok(state.update_nodes(list))
}

async fn read_or_watch(state: &Rc<State>, table: Table, has_failed: bool) -> Result<(), Error> {
    let revision = state.directory.borrow().revision(table);
    if revision == 0 {
        return read_table(state, table).await;
    }
    let wait_ms = if has_failed {
        LONG_POLL_AFTER_FAILURE_MS
    } else {
        LONG_POLL_MS
    };
    let calls = state.platform.store;
    let requested_ms = state.clock.now();
    let call = (calls.watch)(table, revision, wait_ms);
    let bytes = call_store(state, &call, wait_ms + RESPONSE_TIMEOUT_MS).await?;
    let page = (calls.decode)(table, false, &bytes)?;
    apply_page(state, table, requested_ms, &page);
    Ok(())
}

/// Reads a whole table, page by page.
async fn read_table(state: &Rc<State>, table: Table) -> Result<(), Error> {
    let calls = state.platform.store;
    let requested_ms = state.clock.now();
    let mut all: Option<Page> = None;
    let mut from: Option<String> = None;
    loop {
        let call = (calls.read)(table, from.as_deref());
        let bytes = call_store(state, &call, RESPONSE_TIMEOUT_MS).await?;
        let page = (calls.decode)(table, true, &bytes)?;
        from = page.next.clone();
        match &mut all {
            None => all = Some(page),
            Some(all) => {
                // The first page's revision stands: later changes follow it.
                all.batch.changes.extend(page.batch.changes);
                all.unreadable.extend(page.unreadable);
            }
        }
        if from.is_none() {
            break;
        }
    }
    if let Some(page) = all {
        apply_page(state, table, requested_ms, &page);
    }
    Ok(())
}

fn apply_page(state: &Rc<State>, table: Table, requested_ms: Millis, page: &Page) {
    for key in &page.unreadable {
        warn!(state.log, "unreadable entry"; "table" => %table, "key" => key.as_str());
    }
    let now = state.clock.now();
    state
        .directory
        .borrow_mut()
        .record_store_regained(now, table);
    // A held call is answered with what the table says at its end.
    let as_of_ms = if page.batch.is_whole {
        requested_ms
    } else {
        now
    };
    state.apply("store", as_of_ms, &page.batch);
}

async fn call_store(state: &Rc<State>, call: &Call, timeout: Millis) -> Result<Bytes, Error> {
    let address: Name = state.settings.store.to_string().into();
    let request = http_request(&address, call);
    state.metrics.count("store.calls");
    let timeout: Duration = duration(timeout);
    let (head, bytes) = state.connections.call(&address, request, timeout).await?;
    match head.status {
        StatusCode::OK => Ok(bytes),
        StatusCode::GONE => Err(Error::HistoryGone),
        status => Err(Error::Status(status)),
    }
}

/// Builds the HTTP request of a call.
pub(crate) fn http_request(address: &str, call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    if let Ok(host) = address.parse() {
        headers.insert(http::header::HOST, host);
    }
    if !call.body.is_empty() {
        let json = http::HeaderValue::from_static("application/json");
        headers.insert(http::header::CONTENT_TYPE, json);
    }
    request
}
