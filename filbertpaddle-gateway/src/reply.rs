//! Answers to callers that the node makes itself.

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

/// The answer ended before it was whole; the connection is closed on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer cut short")]
pub struct Truncated;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;
/// Answer to a caller.
pub type Reply = Response<Body>;
/// Next part of a streamed body.
pub type Part = Result<Bytes, Truncated>;

/// Why a request is refused or failed by the node itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// A header cannot be read.
    BadRequest,
    /// The key belongs to nobody.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// No configuration is known yet.
    NoConfiguration,
    /// The node stops before the request would end; it has not run.
    Stopping,
    /// No target could be given the request; it has not run.
    NoTarget,
    /// Targets refused the request; it has not run.
    TargetsFull,
    /// The request crashed the targets that ran it; this attempt has not run.
    Quarantined,
    /// A target failed the request, which may have run.
    TargetFailed,
    /// The time is up, and the request may have run.
    TimedOut,
    /// The time is up, and the request has not run.
    TimedOutUnsent,
}

impl Refusal {
    /// Status that tells the caller what is promised.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoConfiguration
            | Self::Stopping
            | Self::NoTarget
            | Self::TargetsFull
            | Self::Quarantined
            | Self::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::TargetFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Makes the answer to a refused request, with when to come back.
pub fn refuse(refusal: Refusal, retry_after_ms: Option<Millis>) -> Reply {
    let mut reply = Response::new(full_body(Bytes::from(format!("{refusal}\n"))));
    *reply.status_mut() = refusal.status();
    if let Some(span) = retry_after_ms {
        let seconds = format!("{}.{:03}", span.0 / 1_000, span.0 % 1_000);
        if let Ok(value) = HeaderValue::try_from(seconds) {
            reply.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    reply
}

/// Makes an answer of a target's status, headers and whole body.
pub fn forward(head: http::response::Parts, bytes: Bytes) -> Reply {
    let mut reply = Response::from_parts(head, full_body(bytes));
    strip_connection(reply.headers_mut());
    reply.headers_mut().remove(header::CONTENT_LENGTH);
    reply
}

/// Makes a streamed answer of a target's status and headers.
pub fn forward_stream(head: http::response::Parts, parts: mpsc::Receiver<Part>) -> Reply {
    let frames = ReceiverStream::new(parts).map(|part| part.map(Frame::data));
    let mut reply = Response::from_parts(head, StreamBody::new(frames).boxed_unsync());
    strip_connection(reply.headers_mut());
    reply.headers_mut().remove(header::CONTENT_LENGTH);
    reply
}

/// Keeps `held` until the answer has been read or its caller has gone.
pub fn hold_until_read<T>(reply: Reply, held: T) -> Reply
where
    T: Send + 'static,
{
    reply.map(move |body| {
        body.map_frame(move |frame| {
            let _held = &held;
            frame
        })
        .boxed_unsync()
    })
}

/// Makes a whole body.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Removes headers that concern one connection.
pub fn strip_connection(headers: &mut http::HeaderMap) {
    let named: Vec<_> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ] {
        headers.remove(name);
    }
}
