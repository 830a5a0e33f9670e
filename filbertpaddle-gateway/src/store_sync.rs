//! Watches the store's tables and keeps this node registered in the store.
//!
//! Only the readers of a data centre watch the tables all the time. The other nodes
//! receive them from a reader, and read the store themselves while no reader responds.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::freshness::READER_PAUSE_MS;
use filbertpaddle_forward::freshness::RESPONSE_TIMEOUT_MS;
use filbertpaddle_forward::revision::Revision;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use slog::info;
use slog::warn;
use tokio::time::sleep;

use crate::clock::duration;
use crate::connection_pool;
use crate::connection_pool::CallOptions;
use crate::connection_pool::Reuse;
use crate::nodes::Node;
use crate::nodes::RENEW_INTERVAL_MS;
use crate::page_limit::PageLimit;
use crate::page_limit::TooManyPages;
use crate::platform_api::Call;
use crate::platform_api::DecodeError;
use crate::platform_api::NodePage;
use crate::platform_api::Page;
use crate::state::State;

/// Time that the store may hold back its response after a failed call, to detect early
/// that it is back.
const LONG_POLL_AFTER_FAILURE_MS: Millis = Millis(300);
/// Pause between calls of a node that reads for itself only.
const SOLO_PAUSE_MS: Millis = Millis(600);
/// Interval at which tasks check whether the node has read the list of nodes.
pub(crate) const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time after which a node that relies on another checks again whether it must read.
const READING_CHECK_MS: Millis = Millis(600);
/// Delay after a failed refresh of the registration; random, so that not all nodes retry at once.
const REFRESH_RETRY_DELAY_MS: std::ops::Range<u64> = 1_500..3_500;

/// Time that a large response may take on a narrow link.
const MAX_TRANSFER_MS: Millis = Millis::from_secs(3);

/// Delay before a node of a first start reads the list of nodes. All nodes start
/// within 0.3 s of each other and write their entries in this time.
const FIRST_READ_DELAY: Duration = Duration::from_millis(500);
/// Delay before a node writes its entry or reads the list of nodes again; random, so that not
/// all nodes call the store at once.
const REFRESH_DELAY_MS: std::ops::Range<u64> = 100..600;
/// Delay before the second read, which finds the nodes that started with this one.
const SECOND_READ_DELAY_MS: Millis = Millis::from_secs(2);

/// Reason why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call got no response.
    #[error(transparent)]
    Connection(#[from] connection_pool::Error),
    /// The store refused the call.
    #[error("store answered with status {0}")]
    Status(StatusCode),
    /// The store states further pages without end.
    #[error(transparent)]
    Pages(#[from] TooManyPages),
    /// The response cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The store no longer keeps the changes after this node's revision.
    #[error("the store no longer keeps the changes after this revision")]
    HistoryGone,
    /// The store was rolled back since the revision at which the call continues.
    #[error("the store was rolled back, so that the table must be read again")]
    RolledBack,
    /// The response is from before the store was rolled back.
    #[error("response of the store from before it was rolled back")]
    EarlierEra,
    /// The store at its new address does not have all that this node knows.
    #[error(
        "the store at its new address is behind: revision {}, known {}",
        .stated.number, .known.number
    )]
    Behind {
        /// Revision that it states.
        stated: Revision,
        /// Latest revision that was known before.
        known: Revision,
    },
    /// The address of the store has changed during the call.
    #[error("the address of the store has changed")]
    Moved,
}

/// Records that the store has another address: this node writes its own entry there.
pub fn record_moved(state: &State, previous: SocketAddr, address: SocketAddr) {
    warn!(state.log, "address of the store changed, reading the store there";
        "previous" => %previous, "address" => %address);
    let now = state.clock.now();
    state.nodes.borrow_mut().record_store_moved(now);
    state.is_store_moved.set(true);
    state.written_ms.set(None);
    state.registration_due.notify_one();
    state.notify();
}

/// Watches one table for as long as the node runs.
pub async fn watch_table(state: Rc<State>, table: Table) {
    let mut failures = 0;
    let mut changes = state.subscribe();
    let mut address = state.reloadable.borrow().store;
    while !state.is_registered.get() {
        sleep(REGISTRATION_CHECK_INTERVAL).await;
    }
    loop {
        if !state.must_read() {
            // A node that receives the table from a peer makes no calls, so none has failed.
            state
                .directory
                .borrow_mut()
                .record_store_regained(state.clock.now(), table);
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep(duration(time_until_read_ms(&state))) => {}
            }
            continue;
        }
        let called_ms = state.clock.now();
        let current = state.reloadable.borrow().store;
        let mut result = if address == current {
            read_or_watch(&state, table, failures > 0).await
        } else {
            read_moved(&state, table).await
        };
        if let Err(error @ (Error::HistoryGone | Error::RolledBack)) = &result {
            info!(state.log, "reading the whole table"; "table" => %table, "reason" => %error);
            result = read_table(&state, table).await;
        }
        match result {
            Err(Error::Moved) => {}
            Ok(()) => {
                address = current;
                if failures > 0 {
                    info!(state.log, "store answers again";
                        "table" => %table, "failures" => failures);
                }
                failures = 0;
                let is_reader = state.is_reader();
                sleep(duration(if is_reader {
                    READER_PAUSE_MS
                } else {
                    SOLO_PAUSE_MS
                }))
                .await;
            }
            Err(error) => {
                failures += 1;
                let now = state.clock.now();
                state.directory.borrow_mut().record_store_lost(now, table);
                if failures == 1 {
                    warn!(state.log, "call to the store failed, retrying";
                        "table" => %table, "error" => %error,
                        "waited_ms" => state.clock.now().since(called_ms).0,
                        "age_ms" => state.data_age_ms(table).0);
                    state.metrics.count("store.lost");
                    state.notify();
                }
                let situation = state.reading_situation();
                let delay_ms = situation.retry_delay_ms(failures, rand::random());
                sleep(duration(delay_ms)).await;
            }
        }
    }
}

/// Returns the time until this node reads the store, or checks again whether it must.
fn time_until_read_ms(state: &State) -> Millis {
    let from_ms = state.reading_situation().read_from_ms();
    let until_ms = from_ms.map(|from_ms| from_ms.since(state.clock.now()));
    until_ms.map_or(READING_CHECK_MS, |until_ms| until_ms.min(READING_CHECK_MS))
}

/// Renews this node's entry for as long as the node runs, and reads the list of nodes
/// if no reader sends it.
pub async fn maintain_registration(state: Rc<State>) {
    if let Err(error) = write_node(&state, &[]).await {
        warn!(state.log, "node's entry in the store not written, retrying"; "error" => %error);
    }
    if state.reloadable.borrow().is_first_start {
        sleep(FIRST_READ_DELAY).await;
    }
    let mut delay = duration(SECOND_READ_DELAY_MS);
    loop {
        let result = refresh_registration(&state).await;
        state.record_registered();
        let pause = match result {
            Ok(()) => std::mem::replace(&mut delay, duration(RENEW_INTERVAL_MS)),
            Err(error) => {
                warn!(state.log, "node list or own entry not refreshed, retrying";
                    "error" => %error);
                duration(Millis(rand::random_range(REFRESH_RETRY_DELAY_MS)))
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            () = state.registration_due.notified() => {
                if state.written_ms.get().is_none() {
                    // A second read finds the entries that the other nodes write now.
                    delay = duration(SECOND_READ_DELAY_MS);
                }
                sleep(duration(Millis(rand::random_range(REFRESH_DELAY_MS)))).await;
            }
        }
    }
}

/// Reads the list if no reader sends it, removes expired entries and renews this node's
/// entry before it counts as stale.
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
    if state.nodes.borrow().reads() == 0 || state.is_store_moved.get() {
        // The entry is stamped with the store's clock, which is not known yet.
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

/// Reads the whole list of nodes; returns the entries to remove.
async fn read_nodes(state: &Rc<State>) -> Result<Vec<Name>, Error> {
    let address = state.reloadable.borrow().store;
    let mut limit = PageLimit::new();
    let NodePage { mut list, mut next } = read_nodes_page(state, None, &mut limit).await?;
    while let Some(from) = next {
        let page = read_nodes_page(state, Some(&from), &mut limit).await?;
        if page.list.era != list.era {
            return Err(Error::RolledBack);
        }
        // The time of the first page stays: entries that have been written since are not old.
        list.nodes.extend(page.list.nodes);
        next = page.next;
    }
    if address == state.reloadable.borrow().store {
        state.is_store_moved.set(false);
    }
    Ok(state.update_nodes(list))
}

async fn read_nodes_page(
    state: &Rc<State>,
    from: Option<&str>,
    limit: &mut PageLimit,
) -> Result<NodePage, Error> {
    let calls = state.platform.store;
    let call = (calls.read_nodes)(from);
    let (era, bytes) = call_store(state, &call, RESPONSE_TIMEOUT_MS).await?;
    limit.add(bytes.len())?;
    let mut page = (calls.decode_nodes)(&bytes)?;
    page.list.era = era;
    Ok(page)
}

async fn read_or_watch(state: &Rc<State>, table: Table, has_failed: bool) -> Result<(), Error> {
    let (revision, era) = {
        let directory = state.directory.borrow();
        (directory.revision(table), directory.era())
    };
    if revision.is_zero() || revision.era != era {
        return read_table(state, table).await;
    }
    let wait_ms = if has_failed {
        LONG_POLL_AFTER_FAILURE_MS
    } else {
        state.age_limits().long_poll_ms
    };
    let calls = state.platform.store;
    let requested_ms = state.clock.now();
    let call = (calls.watch)(table, revision, wait_ms);
    let (era, bytes) = call_store(state, &call, wait_ms + RESPONSE_TIMEOUT_MS).await?;
    if era != revision.era {
        return Err(Error::RolledBack);
    }
    let page = (calls.decode)(table, false, era, &bytes)?;
    apply_page(state, table, requested_ms, &page);
    Ok(())
}

/// Reads a whole table and applies it as one batch.
async fn read_table(state: &Rc<State>, table: Table) -> Result<(), Error> {
    let requested_ms = state.clock.now();
    let page = read_pages(state, table).await?;
    apply_page(state, table, requested_ms, &page);
    Ok(())
}

/// Does the same at a new address of the store, unless the store there lacks what this node knows.
async fn read_moved(state: &Rc<State>, table: Table) -> Result<(), Error> {
    let requested_ms = state.clock.now();
    let known = state.directory.borrow().latest_revision();
    let page = read_pages(state, table).await?;
    let stated = page.batch.revision;
    if stated < known {
        return Err(Error::Behind { stated, known });
    }
    apply_page(state, table, requested_ms, &page);
    Ok(())
}

/// Reads a whole table page by page.
async fn read_pages(state: &Rc<State>, table: Table) -> Result<Page, Error> {
    let mut limit = PageLimit::new();
    let mut all = read_page(state, table, None, &mut limit).await?;
    while let Some(from) = all.next.take() {
        let page = read_page(state, table, Some(&from), &mut limit).await?;
        if page.batch.revision.era != all.batch.revision.era {
            return Err(Error::RolledBack);
        }
        // Keep the first page's revision, so that changes made since are read again.
        all.batch.changes.extend(page.batch.changes);
        all.unreadable.extend(page.unreadable);
        all.next = page.next;
    }
    Ok(all)
}

async fn read_page(
    state: &Rc<State>,
    table: Table,
    from: Option<&str>,
    limit: &mut PageLimit,
) -> Result<Page, Error> {
    let calls = state.platform.store;
    let requested_ms = state.clock.now();
    let call = (calls.read)(table, from);
    let (era, bytes) = call_store(state, &call, RESPONSE_TIMEOUT_MS).await?;
    limit.add(bytes.len())?;
    let page = (calls.decode)(table, true, era, &bytes)?;
    // Short calls give the best bounds for the long polls that follow.
    store_time_ms(state, requested_ms, page.store_ms);
    Ok(page)
}

fn apply_page(state: &Rc<State>, table: Table, requested_ms: Millis, page: &Page) {
    report_invalid_entries(state, page);
    let now = state.clock.now();
    state
        .directory
        .borrow_mut()
        .record_store_regained(now, table);
    // A long poll returns the changes as of its end, a read those as of its start.
    let as_of_ms = if page.batch.is_whole {
        requested_ms
    } else {
        store_time_ms(state, requested_ms, page.store_ms)
    };
    state.apply("store", as_of_ms, &page.batch);
    // Followers receive the new age of the table.
    state.notify();
}

/// Returns the latest time at which the store has made a response for certain.
fn store_time_ms(state: &State, requested_ms: Millis, store_ms: Millis) -> Millis {
    let now = state.clock.now();
    let mut clock = state.store_clock.get();
    clock.record(requested_ms, now, store_ms);
    state.store_clock.set(clock);
    clock.local_ms(store_ms).clamp(requested_ms, now)
}

/// Logs the entries that cannot be decoded, each once for as long as it stays invalid.
fn report_invalid_entries(state: &State, page: &Page) {
    let table = page.batch.table;
    let mut known = state.invalid_entries.borrow_mut();
    for key in &page.unreadable {
        if !known.record(table, key) {
            continue;
        }
        let effect = match table {
            Table::Operator => "what is in force stays so",
            Table::Targets => "it names no target",
        };
        warn!(state.log, "entry cannot be decoded";
            "table" => %table, "key" => key.as_str(), "effect" => effect);
        state.metrics.count("store.invalid_entries");
    }
    for change in &page.batch.changes {
        if let Entry::Target(target) = &change.entry {
            known.record_valid(table, &target.id);
        }
    }
}

/// Makes a call to the store; returns its era and the response.
pub(crate) async fn call_store(
    state: &Rc<State>,
    call: &Call,
    timeout: Millis,
) -> Result<(u64, Bytes), Error> {
    let mut reloads = state.reloadable.subscribe();
    let store = reloads.borrow_and_update().store;
    let address: Name = store.to_string().into();
    let request = http_request(&address, call);
    state.metrics.count("store.calls");
    let options = CallOptions {
        time_limit: duration(timeout),
        part_limit: Some(duration(RESPONSE_TIMEOUT_MS)),
        reuse: Reuse::Idle,
        buffers: &state.store_buffers,
    };
    let (head, bytes) = tokio::select! {
        // A response that came from the former address at the same time must not count.
        biased;
        _ = reloads.wait_for(|reloadable| reloadable.store != store) => return Err(Error::Moved),
        called = state.connections.call(&address, request, options) => called?,
        () = sleep(duration(timeout + MAX_TRANSFER_MS)) => {
            return Err(connection_pool::Error::timed_out(duration(timeout + MAX_TRANSFER_MS)).into());
        }
    };
    let known_era = state.directory.borrow().era();
    let era = (state.platform.store.decode_era)(&head.headers).unwrap_or(known_era);
    if era < known_era {
        return Err(Error::EarlierEra);
    }
    state.record_era(era);
    match head.status {
        StatusCode::OK => Ok((era, bytes)),
        StatusCode::GONE => Err(Error::HistoryGone),
        status => Err(Error::Status(status)),
    }
}

/// Builds the HTTP request for a call.
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
