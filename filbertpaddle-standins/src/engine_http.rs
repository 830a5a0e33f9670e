//! The engine stand-in's HTTP interface.

use std::convert::Infallible;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_target::protocol::EndCause;
use filbertpaddle_target::protocol::Event;
use filbertpaddle_target::protocol::EventBody;
use filbertpaddle_target::protocol::Order;
use filbertpaddle_target::protocol::OrderAnswer;
use filbertpaddle_target::protocol::Refusal;
use filbertpaddle_target::protocol::RefusalCause;
use filbertpaddle_target::protocol::Submit;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::engine_fault::Fault;
use crate::engine_state::SharedState;
use crate::engine_state::Subscription;

/// Chunks of lines that are buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 64;

/// Bytes of the digest of the attempt id at the start of a token's text, by which the load tool
/// recognises answers with tokens of two generations.
const TAG_BYTES: usize = 8;

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u32,
}

#[derive(Deserialize)]
struct CacheQuery {
    #[serde(default)]
    after: u64,
}

/// Returns the routes of the target protocol.
pub(crate) fn target_routes(
    state: SharedState,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let shared = warp::any().map(move || state.clone());
    let submit = warp::post()
        .and(warp::path!("v1" / "generations"))
        .and(warp::body::json())
        .and(shared.clone())
        .map(submit);
    let resume = warp::get()
        .and(warp::path!("v1" / "generations" / String))
        .and(warp::query())
        .and(shared.clone())
        .map(resume);
    let cancel = warp::delete()
        .and(warp::path!("v1" / "generations" / String))
        .and(shared.clone())
        .map(cancel);
    let load = warp::get()
        .and(warp::path!("v1" / "load"))
        .and(shared.clone())
        .and_then(|state: SharedState| async move {
            wait_while_frozen(&state).await;
            Ok::<_, Infallible>(warp::reply::json(&state.load_report()))
        });
    let cache = warp::get()
        .and(warp::path!("v1" / "cache"))
        .and(warp::query())
        .and(shared.clone())
        .map(|query: CacheQuery, state: SharedState| {
            warp::reply::json(&state.cache_events(query.after))
        });
    let orders = warp::post()
        .and(warp::path!("v1" / "orders"))
        .and(warp::body::json())
        .and(shared.clone())
        .map(order);
    let loaded = warp::get()
        .and(warp::path!("v1" / "state"))
        .and(shared)
        .map(|state: SharedState| warp::reply::json(&state.loaded()));
    submit
        .or(resume)
        .or(cancel)
        .or(load)
        .or(cache)
        .or(orders)
        .or(loaded)
}

/// Returns the routes of the control port, for tests and experiments.
pub(crate) fn control_routes(
    state: SharedState,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let shared = warp::any().map(move || state.clone());
    let faults = warp::post()
        .and(warp::path!("control" / "faults"))
        .and(warp::body::json())
        .and(shared.clone())
        .map(|fault: Fault, state: SharedState| {
            inject_fault(&state, fault);
            StatusCode::OK
        });
    let counters = warp::get()
        .and(warp::path!("control" / "counters"))
        .and(shared)
        .map(|state: SharedState| warp::reply::json(&state.counters()));
    faults.or(counters)
}

/// Injects a fault; a reclaimed engine stops when its notice has run out.
pub(crate) fn inject_fault(state: &SharedState, fault: Fault) {
    state.inject_fault(fault);
    if let Fault::Leave { notice_ms } = fault {
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration(notice_ms)).await;
            state.stop();
        });
    }
}

fn submit(submit: Submit, state: SharedState) -> Response {
    match state.submit(&submit) {
        Ok(subscription) => stream(state, submit.attempt, 0, subscription),
        Err(cause) => refuse(submit.attempt, cause),
    }
}

fn resume(attempt: String, query: ResumeQuery, state: SharedState) -> Response {
    let attempt = Name::new(attempt);
    match state.subscribe(&attempt) {
        Some(subscription) => stream(state, attempt, query.from, subscription),
        None => refuse(attempt, RefusalCause::UnknownAttempt),
    }
}

fn cancel(attempt: String, state: SharedState) -> Response {
    match state.cancel(&attempt) {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(cause) => refuse(Name::new(attempt), cause),
    }
}

fn order(order: Order, state: SharedState) -> Response {
    match state.order(&order) {
        Ok(state) => json(&OrderAnswer { state }),
        Err(cause) => refuse(order.id, cause),
    }
}

fn json<T>(value: &T) -> Response
where
    T: Serialize,
{
    warp::reply::json(value).into_response()
}

fn refuse(id: Name, cause: RefusalCause) -> Response {
    let status = match cause {
        RefusalCause::UnknownAttempt => StatusCode::NOT_FOUND,
        RefusalCause::Leaving | RefusalCause::NotLoaded => StatusCode::SERVICE_UNAVAILABLE,
        RefusalCause::StaleFence | RefusalCause::DuplicateAttempt => StatusCode::CONFLICT,
    };
    let body = warp::reply::json(&Refusal { id, cause });
    warp::reply::with_status(body, status).into_response()
}

fn stream(state: SharedState, attempt: Name, from: u32, subscription: Subscription) -> Response {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    tokio::spawn(async move {
        write_events(&state, &attempt, from, subscription, sender).await;
        tokio::time::sleep(duration(state.settings.orphan_timeout_ms)).await;
        state.cancel_if_orphaned(&attempt);
    });
    warp::reply::stream(ReceiverStream::new(receiver)).into_response()
}

/// Writes events until the attempt ends, the engine crashes or the reader disconnects.
async fn write_events(
    state: &SharedState,
    attempt: &Name,
    from: u32,
    subscription: Subscription,
    sender: mpsc::Sender<io::Result<Bytes>>,
) {
    let mut progress = subscription.progress;
    let mut next = from;
    loop {
        let current = *progress.borrow_and_update();
        let chunk = encode_events(state, attempt, next, current.tokens, current.ended);
        next = next.max(current.tokens);
        wait_while_frozen(state).await;
        tokio::time::sleep(duration(state.active_faults().write_delay_ms)).await;
        if !chunk.is_empty() && sender.send(Ok(chunk)).await.is_err() {
            return;
        }
        if current.ended.is_some() {
            return;
        }
        let changed = tokio::select! {
            changed = progress.changed() => changed,
            () = sender.closed() => return,
        };
        if changed.is_err() {
            let error = io::Error::from(io::ErrorKind::ConnectionReset);
            // The reader may have disconnected as well.
            let _ = sender.send(Err(error)).await;
            return;
        }
    }
}

fn encode_events(
    state: &SharedState,
    attempt: &Name,
    from: u32,
    to: u32,
    ended: Option<EndCause>,
) -> Bytes {
    let active_faults = state.active_faults();
    let mut chunk = Vec::new();
    for index in from..to {
        let text = token_text(attempt, index);
        let body = EventBody::Token { text };
        if is_nth(index, active_faults.cross_every) {
            let other = Name::new(format!("{attempt}-crossed"));
            push_event(&mut chunk, &other, index, body.clone());
        }
        if is_nth(index, active_faults.duplicate_every) {
            push_event(&mut chunk, attempt, index, body.clone());
        }
        push_event(&mut chunk, attempt, index, body);
    }
    if let Some(cause) = ended {
        push_event(&mut chunk, attempt, to, EventBody::End { cause });
    }
    chunk.into()
}

fn push_event(chunk: &mut Vec<u8>, attempt: &Name, index: u32, body: EventBody) {
    let event = Event {
        attempt: attempt.clone(),
        index,
        body,
    };
    // Serializing plain data to memory does not fail.
    if serde_json::to_writer(&mut *chunk, &event).is_ok() {
        chunk.push(b'\n');
    }
}

/// Returns a token's text: a digest of its attempt id and its index.
fn token_text(attempt: &Name, index: u32) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(attempt.as_bytes());
    let mut tag = format!("{digest:016x}");
    tag.truncate(TAG_BYTES);
    format!("{tag}.{index} ")
}

/// Returns whether an index is the last of a group of `every`; zero matches none.
fn is_nth(index: u32, every: u32) -> bool {
    every > 0 && index % every == every - 1
}

async fn wait_while_frozen(state: &SharedState) {
    let frozen = state.remaining_freeze();
    if !frozen.is_zero() {
        tokio::time::sleep(frozen).await;
    }
}

fn duration(span_ms: Millis) -> Duration {
    Duration::from_millis(span_ms.0)
}
