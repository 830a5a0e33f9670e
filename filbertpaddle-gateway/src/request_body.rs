//! Receives the body of a caller's request, if the node has memory for it.

use std::rc::Rc;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::memory_budget::Work;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::caller_input::BodyError;
use crate::caller_input::CallerInput;
use crate::clock::duration;
use crate::held_body::HeldBody;
use crate::reply::Refusal;
use crate::state::State;

/// Time limit for receiving a body if the caller states no deadline.
const BODY_TIMEOUT_MS: Millis = Millis::from_secs(10);

/// Receives and holds the body of a request, if the node has memory for it.
///
/// # Errors
///
/// Returns the refusal and its reason.
pub(crate) async fn receive(
    state: &Rc<State>,
    metadata: &RequestMetadata,
    body: &mut Incoming,
    input: &CallerInput,
) -> Result<HeldBody, (Refusal, String)> {
    let without_memory = |reason| (Refusal::NoMemory, reason);
    check_memory(state, stated_bytes(state, body)).map_err(without_memory)?;
    let bytes = read_body(state, metadata, body, input)
        .await
        .map_err(|refusal| (refusal, String::new()))?;
    check_memory(state, bytes.len()).map_err(without_memory)?;
    Ok(HeldBody::new(state, bytes))
}

/// Returns the length that the head of a request states for its body; 0 if it states none, or a
/// larger one than is received.
fn stated_bytes(state: &State, body: &Incoming) -> usize {
    let stated = body.size_hint().exact().unwrap_or(0);
    let stated = usize::try_from(stated).unwrap_or(usize::MAX);
    match stated <= max_body_bytes(state) {
        true => stated,
        false => 0,
    }
}

fn max_body_bytes(state: &State) -> usize {
    let directory = state.directory.borrow();
    let limits = directory
        .configuration()
        .map(|configuration| configuration.limits.clone());
    limits.unwrap_or_default().max_body_bytes
}

/// Checks whether the node has memory for one more request whose body has so many bytes.
///
/// # Errors
///
/// Returns the reason if it has none.
fn check_memory(state: &State, body_bytes: usize) -> Result<(), String> {
    let others = Work {
        // This request is one of those in flight.
        requests: state.in_flight.get().saturating_sub(1),
        body_bytes: state.held_bytes.get(),
        buffered_bytes: state.caller_buffers.used_bytes() + state.target_buffers.used_bytes(),
    };
    if !state.memory.refuses(others, body_bytes) {
        return Ok(());
    }
    state.metrics.count("memory.refused");
    Err(format!(
        "{} requests in flight with bodies of {} bytes and {} buffered, the memory of the node \
         allows no more",
        others.requests, others.body_bytes, others.buffered_bytes
    ))
}

async fn read_body(
    state: &State,
    metadata: &RequestMetadata,
    body: &mut Incoming,
    input: &CallerInput,
) -> Result<Bytes, Refusal> {
    let max_bytes = max_body_bytes(state);
    let timeout_ms = metadata.deadline_ms.unwrap_or(BODY_TIMEOUT_MS);
    let read = timeout(duration(timeout_ms), input.read_body(body, max_bytes));
    match read.await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(BodyError::TooLarge)) => Err(Refusal::TooLarge),
        Ok(Err(BodyError::Broken(_))) => Err(Refusal::BadRequest),
        Ok(Err(BodyError::Evicted)) => Err(Refusal::NoMemory),
        Err(_) => Err(Refusal::TooSlow),
    }
}
