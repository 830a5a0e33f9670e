//! Health checks for the load balancer and the platform.

use std::sync::Arc;

use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::request_context::RequestContext;

/// Returns the routes `GET /healthz` (the process runs) and `GET /readyz` (the node
/// accepts requests: it has a configuration and is not draining).
pub fn routes(
    context: Arc<RequestContext>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let healthz = warp::path!("healthz")
        .and(warp::get())
        .map(|| StatusCode::OK.into_response());
    let readyz = warp::path!("readyz")
        .and(warp::get())
        .map(move || readiness(&context).into_response());
    healthz.or(readyz).unify()
}

fn readiness(context: &RequestContext) -> StatusCode {
    if context.admission.is_draining() || context.config.current().is_none() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}
