//! HTTP routes of the platform stand-in.

use std::convert::Infallible;
use std::io;

use bytes::Bytes;
use filbertpaddle_platform::protocol::Read;
use filbertpaddle_platform::protocol::Scan;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::VmList;
use filbertpaddle_platform::protocol::WeightLeaseRequest;
use serde::Serialize;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;
use warp::path::Tail;
use warp::reply::Response;

use crate::platform::Refusal;
use crate::platform::State;
use crate::platform_faults::Faults;
use crate::platform_faults::Loss;

/// Routes of the platform's protocol.
pub(crate) fn platform(
    state: &State,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let transact = warp::path!("table" / "transact")
        .and(warp::post())
        .and(with(state))
        .and(warp::body::json())
        .then(async |state: State, body: Transaction| json(state.transact(body).await).await);
    let read = warp::path!("table" / "read")
        .and(warp::post())
        .and(with(state))
        .and(warp::body::json())
        .then(async |state: State, body: Read| json(state.read(body).await).await);
    let scan = warp::path!("table" / "scan")
        .and(warp::post())
        .and(with(state))
        .and(warp::body::json())
        .then(async |state: State, body: Scan| json(state.scan(body).await).await);
    let weights = warp::path!("weights" / "leases")
        .and(warp::post())
        .and(with(state))
        .and(warp::body::json())
        .then(async |state: State, _: WeightLeaseRequest| json(state.ask_weights().await).await);
    let vms = warp::path!("vms")
        .and(warp::get())
        .and(with(state))
        .then(async |state: State| json(state.vms().await).await);
    transact
        .or(read)
        .unify()
        .or(scan)
        .unify()
        .or(weights)
        .unify()
        .or(vms)
        .unify()
        .or(objects(state))
        .unify()
        .boxed()
}

/// Routes of the control port.
pub(crate) fn control(
    state: &State,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let faults = warp::path!("control" / "faults")
        .and(warp::get())
        .and(with(state))
        .map(|state: State| warp::reply::json(&state.faults()).into_response());
    let set_faults = warp::path!("control" / "faults")
        .and(warp::post())
        .and(with(state))
        .and(warp::body::json())
        .map(|state: State, faults: Faults| {
            state.set_faults(faults);
            StatusCode::NO_CONTENT.into_response()
        });
    let set_vms = warp::path!("control" / "vms")
        .and(warp::post())
        .and(with(state))
        .and(warp::body::json())
        .map(|state: State, list: VmList| {
            state.set_vms(list);
            StatusCode::NO_CONTENT.into_response()
        });
    let counts = warp::path!("control" / "counts")
        .and(warp::get())
        .and(with(state))
        .map(|state: State| warp::reply::json(&state.counts()).into_response());
    faults
        .or(set_faults)
        .unify()
        .or(set_vms)
        .unify()
        .or(counts)
        .unify()
        .boxed()
}

fn objects(state: &State) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let get = warp::path("object")
        .and(warp::get())
        .and(with(state))
        .and(warp::path::tail())
        .then(
            async |state: State, key: Tail| match state.get_object(key.as_str()).await {
                Ok(Some(bytes)) => bytes.to_vec().into_response(),
                Ok(None) => StatusCode::NOT_FOUND.into_response(),
                Err(refusal) => refuse(refusal).await,
            },
        );
    let put = warp::path("object")
        .and(warp::put())
        .and(with(state))
        .and(warp::path::tail())
        .and(warp::body::bytes())
        .then(async |state: State, key: Tail, bytes: Bytes| {
            match state.put_object(key.as_str().to_owned(), bytes).await {
                Ok(()) => StatusCode::NO_CONTENT.into_response(),
                Err(refusal) => refuse(refusal).await,
            }
        });
    get.or(put).unify()
}

fn with(state: &State) -> impl Filter<Extract = (State,), Error = Infallible> + Clone + use<> {
    let state = state.clone();
    warp::any().map(move || state.clone())
}

async fn json<A>(answer: Result<A, Refusal>) -> Response
where
    A: Serialize,
{
    match answer {
        Ok(answer) => warp::reply::json(&answer).into_response(),
        Err(refusal) => refuse(refusal).await,
    }
}

async fn refuse(refusal: Refusal) -> Response {
    match refusal {
        Refusal::Limited => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Refusal::Down => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Refusal::Lost(Loss::Status) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Refusal::Lost(Loss::Hold) => std::future::pending().await,
        Refusal::Lost(Loss::Drop) => {
            // An error in the body makes the server drop the connection.
            let lost = io::Error::other("answer lost");
            let body = futures_util::stream::iter([Err::<Bytes, _>(lost)]);
            warp::reply::stream(body).into_response()
        }
    }
}
