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
use crate::dialect::Call;
use crate::dialect::Page;
use crate::dialect::Undecodable;
use crate::links;
use crate::nodes::Node;
use crate::nodes::RENEW_MS;
use crate::state::State;

/// How long the store holds a call back until something changes. Short, since a
/// connection may go silent without a reset, and only the timeout shows it.
const WAIT_MS: Millis = Millis(1_800);
/// The same after a failed call, to learn soon that the store is back.
const WAIT_AFTER_FAILURE_MS: Millis = Millis(300);
/// How long an answer may take beyond the time it is held back. A slow store
/// takes about 60 times its usual 4 ms.
const ANSWER_MS: Millis = Millis(600);
/// Pause after an answer, so that rows that change together come together.
const GATHER: Duration = Duration::from_millis(40);
/// Pause after a failed call.
const PAUSE_MS: Millis = Millis(150);
/// Longest pause after failed calls.
const MAX_PAUSE_MS: Millis = Millis(600);

/// Why a call to the store gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It got no answer.
    #[error(transparent)]
    Link(#[from] links::Error),
    /// It was refused.
    #[error("status {0}")]
    Status(StatusCode),
    /// Its answer cannot be read.
    #[error(transparent)]
    Undecodable(#[from] Undecodable),
    /// Changes that were not seen are no longer kept.
    #[error("history is gone")]
    HistoryGone,
}

/// Follows one table as long as the node runs.
pub async fn follow(state: Rc<State>, table: Table) {
    let mut failures = 0;
    let mut changes = state.subscribe();
    loop {
        if !state.must_read() {
            // A node that follows another has no call of its own that fails.
            state
                .directory
                .borrow_mut()
                .regained(state.clock.now(), table);
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep(duration(MAX_PAUSE_MS)) => {}
            }
            continue;
        }
        let result = step(&state, table, failures > 0).await;
        match result {
            Ok(()) => {
                if failures > 0 {
                    info!(state.log, "store regained"; "table" => %table, "failures" => failures);
                }
                failures = 0;
                sleep(GATHER).await;
            }
            Err(Error::HistoryGone) => {
                info!(state.log, "history gone, reading the whole table"; "table" => %table);
                if read(&state, table).await.is_err() {
                    failures += 1;
                }
            }
            Err(error) => {
                failures += 1;
                state.directory.borrow_mut().lost(table);
                if failures == 1 {
                    warn!(state.log, "store lost"; "table" => %table, "error" => %error);
                    state.metrics.count("store.lost");
                }
                let pause = Millis(PAUSE_MS.0 * failures.min(4)).min(MAX_PAUSE_MS);
                sleep(duration(pause)).await;
            }
        }
    }
}

/// Renews this node's entry and reads those of others as long as it runs.
pub async fn register(state: Rc<State>) {
    let mut dropped = Vec::new();
    let mut next_ms = SECOND_LOOK_MS;
    loop {
        let pause = match register_once(&state, &dropped).await {
            Ok(old) => {
                dropped = old;
                std::mem::replace(&mut next_ms, RENEW_MS)
            }
            Err(error) => {
                warn!(state.log, "node list not renewed"; "error" => %error);
                MAX_PAUSE_MS
            }
        };
        sleep(duration(pause)).await;
    }
}

/// How soon after its start a node looks for those that started with it.
const SECOND_LOOK_MS: Millis = Millis::from_secs(2);

async fn register_once(state: &Rc<State>, dropped: &[Name]) -> Result<Vec<Name>, Error> {
    let calls = state.dialect.store;
    if state.nodes.borrow().live().is_empty() {
        read_nodes(state).await?;
    }
    let settings = &state.settings;
    let now = state.clock.now();
    let node = Node {
        name: settings.node.clone(),
        data_centre: settings.data_centre.clone(),
        peers: settings.peers,
        cores: settings.cores,
        written_ms: state.nodes.borrow().store_ms(now),
    };
    ask(state, &(calls.write_node)(&node, dropped), ANSWER_MS).await?;
    read_nodes(state).await
}

async fn read_nodes(state: &Rc<State>) -> Result<Vec<Name>, Error> {
    let calls = state.dialect.store;
    let bytes = ask(state, &(calls.read_nodes)(), ANSWER_MS).await?;
    let list = (calls.decode_nodes)(&bytes)?;
    let now = state.clock.now();
    Ok(state.nodes.borrow_mut().update(now, list))
}

async fn step(state: &Rc<State>, table: Table, has_failed: bool) -> Result<(), Error> {
    let revision = state.directory.borrow().revision(table);
    if revision == 0 {
        return read(state, table).await;
    }
    let wait_ms = if has_failed {
        WAIT_AFTER_FAILURE_MS
    } else {
        WAIT_MS
    };
    let calls = state.dialect.store;
    let asked_ms = state.clock.now();
    let call = (calls.follow)(table, revision, wait_ms);
    let bytes = ask(state, &call, wait_ms + ANSWER_MS).await?;
    let page = (calls.decode)(table, false, &bytes)?;
    take(state, table, asked_ms, &page);
    Ok(())
}

/// Reads a whole table, page by page.
async fn read(state: &Rc<State>, table: Table) -> Result<(), Error> {
    let calls = state.dialect.store;
    let asked_ms = state.clock.now();
    let mut all: Option<Page> = None;
    let mut from: Option<String> = None;
    loop {
        let call = (calls.read)(table, from.as_deref());
        let bytes = ask(state, &call, ANSWER_MS).await?;
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
        take(state, table, asked_ms, &page);
    }
    Ok(())
}

fn take(state: &Rc<State>, table: Table, asked_ms: Millis, page: &Page) {
    for key in &page.unreadable {
        warn!(state.log, "unreadable entry"; "table" => %table, "key" => key.as_str());
    }
    let now = state.clock.now();
    state.directory.borrow_mut().regained(now, table);
    // A held call is answered with what the table says at its end.
    let as_of_ms = if page.batch.is_whole { asked_ms } else { now };
    state.apply("store", as_of_ms, &page.batch);
}

async fn ask(state: &Rc<State>, call: &Call, within: Millis) -> Result<Bytes, Error> {
    let address: Name = state.settings.store.to_string().into();
    let request = request(&address, call);
    state.metrics.count("store.calls");
    let within: Duration = duration(within);
    let (head, bytes) = state.links.call(&address, request, within).await?;
    match head.status {
        StatusCode::OK => Ok(bytes),
        StatusCode::GONE => Err(Error::HistoryGone),
        status => Err(Error::Status(status)),
    }
}

/// Builds the HTTP request of a call.
pub(crate) fn request(address: &str, call: &Call) -> Request<Full<Bytes>> {
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
