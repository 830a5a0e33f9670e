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

use crate::platform::PlatformState;
use crate::platform::Refusal;
use crate::platform_faults::Faults;
use crate::platform_faults::Loss;

/// Returns the routes of the platform's protocol.
pub(crate) fn platform_routes(
    state: &PlatformState,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let transact = warp::path!("table" / "transact")
        .and(warp::post())
        .and(with_state(state))
        .and(warp::body::json())
        .then(async |state: PlatformState, body: Transaction| {
            json_response(state.transact(body).await).await
        });
    let read = warp::path!("table" / "read")
        .and(warp::post())
        .and(with_state(state))
        .and(warp::body::json())
        .then(async |state: PlatformState, body: Read| json_response(state.read(body).await).await);
    let scan = warp::path!("table" / "scan")
        .and(warp::post())
        .and(with_state(state))
        .and(warp::body::json())
        .then(async |state: PlatformState, body: Scan| json_response(state.scan(body).await).await);
    let weights = warp::path!("weights" / "leases")
        .and(warp::post())
        .and(with_state(state))
        .and(warp::body::json())
        .then(async |state: PlatformState, _: WeightLeaseRequest| {
            json_response(state.request_weight_lease().await).await
        });
    let vms = warp::path!("vms")
        .and(warp::get())
        .and(with_state(state))
        .then(async |state: PlatformState| json_response(state.vms().await).await);
    transact
        .or(read)
        .unify()
        .or(scan)
        .unify()
        .or(weights)
        .unify()
        .or(vms)
        .unify()
        .or(object_routes(state))
        .unify()
        .boxed()
}

/// Returns the routes of the control port.
pub(crate) fn control_routes(
    state: &PlatformState,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let faults = warp::path!("control" / "faults")
        .and(warp::get())
        .and(with_state(state))
        .map(|state: PlatformState| warp::reply::json(&state.faults()).into_response());
    let set_faults = warp::path!("control" / "faults")
        .and(warp::post())
        .and(with_state(state))
        .and(warp::body::json())
        .map(|state: PlatformState, faults: Faults| {
            state.set_faults(faults);
            StatusCode::NO_CONTENT.into_response()
        });
    let set_vms = warp::path!("control" / "vms")
        .and(warp::post())
        .and(with_state(state))
        .and(warp::body::json())
        .map(|state: PlatformState, list: VmList| {
            state.set_vms(list);
            StatusCode::NO_CONTENT.into_response()
        });
    let counts = warp::path!("control" / "counts")
        .and(warp::get())
        .and(with_state(state))
        .map(|state: PlatformState| warp::reply::json(&state.counts()).into_response());
    faults
        .or(set_faults)
        .unify()
        .or(set_vms)
        .unify()
        .or(counts)
        .unify()
        .boxed()
}

fn object_routes(
    state: &PlatformState,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let get = warp::path("object")
        .and(warp::get())
        .and(with_state(state))
        .and(warp::path::tail())
        .then(
            async |state: PlatformState, key: Tail| match state.get_object(key.as_str()).await {
                Ok(Some(bytes)) => bytes.to_vec().into_response(),
                Ok(None) => StatusCode::NOT_FOUND.into_response(),
                Err(refusal) => refusal_response(refusal).await,
            },
        );
    let put = warp::path("object")
        .and(warp::put())
        .and(with_state(state))
        .and(warp::path::tail())
        .and(warp::body::bytes())
        .then(async |state: PlatformState, key: Tail, bytes: Bytes| {
            match state.put_object(key.as_str().to_owned(), bytes).await {
                Ok(()) => StatusCode::NO_CONTENT.into_response(),
                Err(refusal) => refusal_response(refusal).await,
            }
        });
    get.or(put).unify()
}

fn with_state(
    state: &PlatformState,
) -> impl Filter<Extract = (PlatformState,), Error = Infallible> + Clone + use<> {
    let state = state.clone();
    warp::any().map(move || state.clone())
}

async fn json_response<A>(answer: Result<A, Refusal>) -> Response
where
    A: Serialize,
{
    match answer {
        Ok(answer) => warp::reply::json(&answer).into_response(),
        Err(refusal) => refusal_response(refusal).await,
    }
}

async fn refusal_response(refusal: Refusal) -> Response {
    match refusal {
        Refusal::RateLimited => StatusCode::TOO_MANY_REQUESTS.into_response(),
        Refusal::Unavailable => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Refusal::AnswerLost(Loss::Status) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Refusal::AnswerLost(Loss::Hold) => std::future::pending().await,
        Refusal::AnswerLost(Loss::Drop) => {
            // An error in the body makes the server drop the connection.
            let lost =
                io::Error::other("injected fault: the answer is lost and the connection dropped");
            let body = futures_util::stream::iter([Err::<Bytes, _>(lost)]);
            warp::reply::stream(body).into_response()
        }
    }
}
