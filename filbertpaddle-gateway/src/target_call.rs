//! Calls to targets, and what their responses state about the targets themselves.

use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_forward::target::Target;
use http::StatusCode;
use http::response::Parts;
use slog::info;
use slog::warn;

use crate::connection_pool::Error;
use crate::platform_api::Call;
use crate::platform_api::RateLimit;
use crate::platform_api::ResponseMetadata;
use crate::platform_api::RetryAfter;
use crate::state::State;
use crate::store_sync::http_request;

/// Makes a call to a target other than a request and reads the whole response.
///
/// # Errors
///
/// Returns [`Error`] if there is no complete response within the time limit.
pub async fn call(
    state: &State,
    target: &Target,
    call: &Call,
    time_limit: Duration,
) -> Result<(Parts, Bytes), Error> {
    let address = &target.address;
    let request = http_request(address, call);
    let called = state.connections.call(address, request, time_limit);
    let (head, bytes) = called.await?;
    record_response(state, target, &head);
    Ok((head, bytes))
}

/// Decodes the metadata of a target's response, and records whether the target leaves, wants
/// no requests for a while, or states a limit on their rate.
pub fn record_response(state: &State, target: &Target, head: &Parts) -> ResponseMetadata {
    let metadata = (state.platform.headers.decode_response)(head.status, &head.headers);
    state.selector.borrow_mut().record_response(target);
    if metadata.is_other_target {
        return metadata;
    }
    if metadata.is_leaving {
        state.mark_target_draining(&target.incarnation(), "response");
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE {
        record_retry_after(state, target, metadata.retry_after);
    }
    record_rate_limit(state, target, metadata.rate_limit);
    metadata
}

fn record_rate_limit(state: &State, target: &Target, rate_limit: RateLimit) {
    let per_sec = match rate_limit {
        RateLimit::Absent => None,
        RateLimit::PerSec(per_sec) => Some(per_sec),
        RateLimit::Invalid => {
            warn!(state.log, "target states an invalid rate limit, ignored";
                "target" => target.id.as_str());
            return;
        }
    };
    let now = state.clock.now();
    let mut selector = state.selector.borrow_mut();
    let previous = selector.stated_rate(target);
    if selector.record_stated_rate(now, target, per_sec) {
        info!(state.log, "rate limit of target changed";
            "target" => target.id.as_str(), "per_sec" => per_sec, "previous" => previous,
            "source" => "response");
        state.metrics.count("target.rate_limit_changed");
    }
}

fn record_retry_after(state: &State, target: &Target, retry_after: RetryAfter) {
    match retry_after {
        RetryAfter::Absent => {}
        RetryAfter::Invalid => {
            warn!(state.log, "target states an invalid time to retry after, ignored";
                "target" => target.id.as_str());
        }
        RetryAfter::After(span) => {
            let now = state.clock.now();
            let mut selector = state.selector.borrow_mut();
            let until_ms = selector.record_retry_after(now, &target.id, span, rand::random());
            info!(state.log, "target refused a request, sending it none for a while";
                "target" => target.id.as_str(), "asked_ms" => span.0,
                "passed_over_ms" => until_ms.since(now).0);
            state.metrics.count("target.retry_after");
        }
    }
}
