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
use crate::engine_state::Admission;
use crate::engine_state::Shared;

/// Lines buffered for a slow reader.
const BUFFERED_CHUNKS: usize = 64;

/// Bytes of the text that tells generations apart.
const TAG_BYTES: usize = 8;

#[derive(Deserialize)]
struct From {
    #[serde(default)]
    from: u32,
}

#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

/// Returns the interface for nodes.
pub(crate) fn target(
    state: Shared,
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
        .and_then(|state: Shared| async move {
            thaw(&state).await;
            Ok::<_, Infallible>(warp::reply::json(&state.load()))
        });
    let cache = warp::get()
        .and(warp::path!("v1" / "cache"))
        .and(warp::query())
        .and(shared.clone())
        .map(|query: After, state: Shared| warp::reply::json(&state.cache(query.after)));
    let orders = warp::post()
        .and(warp::path!("v1" / "orders"))
        .and(warp::body::json())
        .and(shared.clone())
        .map(order);
    let loaded = warp::get()
        .and(warp::path!("v1" / "state"))
        .and(shared)
        .map(|state: Shared| warp::reply::json(&state.loaded()));
    submit
        .or(resume)
        .or(cancel)
        .or(load)
        .or(cache)
        .or(orders)
        .or(loaded)
}

/// Returns the interface for tests and experiments.
pub(crate) fn control(
    state: Shared,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let shared = warp::any().map(move || state.clone());
    let faults = warp::post()
        .and(warp::path!("control" / "faults"))
        .and(warp::body::json())
        .and(shared.clone())
        .map(|fault: Fault, state: Shared| {
            apply(&state, fault);
            StatusCode::OK
        });
    let counters = warp::get()
        .and(warp::path!("control" / "counters"))
        .and(shared)
        .map(|state: Shared| warp::reply::json(&state.counters()));
    faults.or(counters)
}

/// Brings about a fault; a reclaimed engine goes when its notice is over.
pub(crate) fn apply(state: &Shared, fault: Fault) {
    state.fault(fault);
    if let Fault::Leave { notice_ms } = fault {
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration(notice_ms)).await;
            state.stop();
        });
    }
}

fn submit(submit: Submit, state: Shared) -> Response {
    match state.submit(&submit) {
        Ok(admission) => stream(state, submit.attempt, 0, admission),
        Err(cause) => refuse(cause),
    }
}

fn resume(attempt: String, query: From, state: Shared) -> Response {
    match state.attach(&attempt) {
        Some(admission) => stream(state, Name::new(attempt), query.from, admission),
        None => refuse(RefusalCause::UnknownAttempt),
    }
}

fn cancel(attempt: String, state: Shared) -> Response {
    match state.cancel(&attempt) {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(cause) => refuse(cause),
    }
}

fn order(order: Order, state: Shared) -> Response {
    match state.order(&order) {
        Ok(state) => json(&OrderAnswer { state }),
        Err(cause) => refuse(cause),
    }
}

fn json<T>(value: &T) -> Response
where
    T: Serialize,
{
    warp::reply::json(value).into_response()
}

fn refuse(cause: RefusalCause) -> Response {
    let status = match cause {
        RefusalCause::UnknownAttempt => StatusCode::NOT_FOUND,
        RefusalCause::Leaving | RefusalCause::NotLoaded => StatusCode::SERVICE_UNAVAILABLE,
        RefusalCause::StaleFence | RefusalCause::DuplicateAttempt => StatusCode::CONFLICT,
    };
    let body = warp::reply::json(&Refusal { cause });
    warp::reply::with_status(body, status).into_response()
}

fn stream(state: Shared, attempt: Name, from: u32, admission: Admission) -> Response {
    let (sender, receiver) = mpsc::channel(BUFFERED_CHUNKS);
    tokio::spawn(async move {
        write(&state, &attempt, from, admission, sender).await;
        tokio::time::sleep(duration(state.settings.orphan_ms)).await;
        state.cancel_orphan(&attempt);
    });
    warp::reply::stream(ReceiverStream::new(receiver)).into_response()
}

/// Writes lines until the attempt ends, the engine dies or the reader goes.
async fn write(
    state: &Shared,
    attempt: &Name,
    from: u32,
    admission: Admission,
    sender: mpsc::Sender<io::Result<Bytes>>,
) {
    let mut progress = admission.progress;
    let mut next = from;
    loop {
        let seen = *progress.borrow_and_update();
        let chunk = lines(state, attempt, next, seen.tokens, seen.ended);
        next = next.max(seen.tokens);
        thaw(state).await;
        tokio::time::sleep(duration(state.disturbance().late_ms)).await;
        if !chunk.is_empty() && sender.send(Ok(chunk)).await.is_err() {
            return;
        }
        if seen.ended.is_some() {
            return;
        }
        let changed = tokio::select! {
            changed = progress.changed() => changed,
            () = sender.closed() => return,
        };
        if changed.is_err() {
            let error = io::Error::from(io::ErrorKind::ConnectionReset);
            // The reader may have gone as well.
            let _ = sender.send(Err(error)).await;
            return;
        }
    }
}

fn lines(state: &Shared, attempt: &Name, from: u32, to: u32, ended: Option<EndCause>) -> Bytes {
    let disturbance = state.disturbance();
    let mut chunk = Vec::new();
    for index in from..to {
        let text = text(attempt, index);
        let body = EventBody::Token { text };
        if hits(index, disturbance.cross_every) {
            let other = Name::new(format!("{attempt}-crossed"));
            push(&mut chunk, &other, index, body.clone());
        }
        if hits(index, disturbance.duplicate_every) {
            push(&mut chunk, attempt, index, body.clone());
        }
        push(&mut chunk, attempt, index, body);
    }
    if let Some(cause) = ended {
        push(&mut chunk, attempt, to, EventBody::End { cause });
    }
    chunk.into()
}

fn push(chunk: &mut Vec<u8>, attempt: &Name, index: u32, body: EventBody) {
    let event = Event {
        attempt: attempt.clone(),
        index,
        body,
    };
    // Writing plain data to memory cannot fail.
    if serde_json::to_writer(&mut *chunk, &event).is_ok() {
        chunk.push(b'\n');
    }
}

/// Returns a token's text, which tells its generation and its index.
fn text(attempt: &Name, index: u32) -> String {
    let digest = xxhash_rust::xxh3::xxh3_64(attempt.as_bytes());
    let mut tag = format!("{digest:016x}");
    tag.truncate(TAG_BYTES);
    format!("{tag}.{index} ")
}

fn hits(index: u32, every: u32) -> bool {
    every > 0 && index % every == every - 1
}

async fn thaw(state: &Shared) {
    let frozen = state.frozen_for();
    if !frozen.is_zero() {
        tokio::time::sleep(frozen).await;
    }
}

fn duration(span_ms: Millis) -> Duration {
    Duration::from_millis(span_ms.0)
}
