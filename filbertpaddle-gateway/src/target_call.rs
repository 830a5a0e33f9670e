//! Calls to targets, and what their responses state about the targets themselves.

use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::stated_rate::RateStatement;
use filbertpaddle_forward::target::Target;
use http::StatusCode;
use http::response::Parts;
use slog::info;
use slog::warn;

use crate::connection_pool::CallOptions;
use crate::connection_pool::Error;
use crate::connection_pool::Reuse;
use crate::platform_api::Call;
use crate::platform_api::RateLimit;
use crate::platform_api::ResponseMetadata;
use crate::platform_api::RetryAfter;
use crate::state::State;
use crate::store_sync::http_request;
use crate::target_connection;
use crate::tunnel::Purpose;

/// What was sent to a target.
#[derive(Clone, Copy, Debug)]
pub struct Sent<'a> {
    /// Attempt of the request; `None` for other calls, whose responses name none.
    pub attempt: Option<&'a str>,
    /// Time when it was sent.
    pub at_ms: Millis,
}

impl Sent<'_> {
    /// Returns whether a response belongs to the attempt that was sent.
    fn is_answered_by(self, response: &ResponseMetadata) -> bool {
        self.attempt
            .is_some_and(|attempt| response.names_only(attempt))
    }

    /// Returns whether a response belongs to something else that was sent: it may be an old one.
    fn is_unrelated_to(self, response: &ResponseMetadata) -> bool {
        match self.attempt {
            Some(attempt) => response.names_another(attempt),
            None => !response.attempts.is_empty(),
        }
    }
}

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
    let sent = Sent {
        attempt: None,
        at_ms: state.clock.now(),
    };
    let options = CallOptions {
        time_limit,
        part_limit: None,
        // Responses carry no ID of their call. On a reused connection, a late second response
        // to an earlier call would be taken for this one's, such as the handle of another copy.
        reuse: Reuse::New,
        buffers: &state.target_buffers,
    };
    let connect = async || target_connection::open(state, target, Purpose::Call).await;
    let called = state
        .connections
        .call_with(address, request, options, connect);
    let (head, bytes) = called.await?;
    record_response(state, target, sent, &head);
    Ok((head, bytes))
}

/// Decodes the metadata of a target's response, and records whether the target leaves, wants
/// no requests for a while, or states a limit on their rate.
pub fn record_response(
    state: &State,
    target: &Target,
    sent: Sent<'_>,
    head: &Parts,
) -> ResponseMetadata {
    let metadata = (state.platform.headers.decode_response)(head.status, &head.headers);
    state.selector.borrow_mut().record_response(target);
    if metadata.is_other_target {
        return metadata;
    }
    if metadata.is_leaving {
        state.mark_target_draining(&target.incarnation(), "response");
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE && !sent.is_unrelated_to(&metadata) {
        record_retry_after(state, target, metadata.retry_after);
    }
    record_rate_limit(state, target, sent, &metadata);
    record_refusal_limit(state, target, sent, &metadata);
    metadata
}

/// Records that a target states how many requests it can refuse, or that it states nothing.
fn record_refusal_limit(
    state: &State,
    target: &Target,
    sent: Sent<'_>,
    metadata: &ResponseMetadata,
) {
    let service = &target.service;
    let mut selector = state.selector.borrow_mut();
    let is_changed = match metadata.refusal_limit {
        RateLimit::PerSec(per_sec) => {
            let now = state.clock.now();
            selector.brittle_mut().record_stated(now, service, per_sec)
        }
        RateLimit::Invalid => {
            warn!(state.log, "target states an invalid limit on refusals, ignored";
                "target" => target.id.as_str());
            false
        }
        RateLimit::Absent if sent.is_answered_by(metadata) => {
            selector.brittle_mut().record_none(service, sent.at_ms)
        }
        RateLimit::Absent => false,
    };
    if is_changed {
        info!(state.log, "limit on refusals of a service's targets changed";
            "service" => service.as_str(), "target" => target.id.as_str(),
            "per_sec" => selector.brittle_mut().per_sec(service));
        state.metrics.count("target.refusal_limit_changed");
    }
}

/// Records the rate that a response states, or that it states none. A response to another
/// attempt may be an old one, and only one to this attempt can end a rate.
fn record_rate_limit(state: &State, target: &Target, sent: Sent<'_>, metadata: &ResponseMetadata) {
    if sent.is_unrelated_to(metadata) {
        return;
    }
    match metadata.rate_limit {
        RateLimit::PerSec(per_sec) => {
            let statement = RateStatement {
                incarnation: target.incarnation(),
                per_sec,
                at_ms: state.clock.now(),
            };
            state.record_stated_rate(&statement);
        }
        RateLimit::Invalid => {
            warn!(state.log, "target states an invalid rate limit, ignored";
                "target" => target.id.as_str());
        }
        RateLimit::Absent if sent.is_answered_by(metadata) => {
            state.record_no_stated_rate(target, sent.at_ms);
        }
        RateLimit::Absent => {}
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
