//! Replies to callers: forwarded responses of targets, and refusals by the node.

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Version;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as _;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;

/// The response ended before it was complete; the caller's connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response truncated, closing the connection")]
pub struct Truncated;

/// Body of a reply.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;
/// Response to a caller.
pub type Reply = Response<Body>;
/// Next part of a streamed body.
pub type Part = Result<Bytes, Truncated>;

/// Reason why the node refuses or fails a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// A header is missing or malformed.
    BadRequest,
    /// The API key belongs to no customer.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
    /// The body is larger than the configuration allows.
    TooLarge,
    /// The body did not arrive in time.
    TooSlow,
    /// The node has no memory left for the body.
    NoMemory,
    /// No configuration is known yet.
    NoConfiguration,
    /// The node will stop before the request could end; it has not run.
    Stopping,
    /// No target can take the request; it has not run.
    NoTarget,
    /// Targets refused the request; it has not run.
    TargetsFull,
    /// The targets have no memory left for the request; it has not run.
    Overloaded,
    /// Earlier attempts crashed the targets that ran them; this attempt has not run.
    Quarantined,
    /// No target has the software version that began the stream, or that version is not known.
    /// This attempt has not run; without the last event's ID it would begin a new stream.
    #[strum(serialize = "stream_not_resumable")]
    NotResumable,
    /// A target failed; the request may have run.
    TargetFailed,
    /// The node stops before a target has answered; the request may have run.
    StoppedUnanswered,
    /// The deadline has passed; the request may have run.
    TimedOut,
    /// The deadline has passed; the request has not run.
    TimedOutUnsent,
}

impl Refusal {
    /// Returns the status. 503 promises that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory
            | Self::NoConfiguration
            | Self::Stopping
            | Self::NoTarget
            | Self::TargetsFull
            | Self::Overloaded
            | Self::Quarantined
            | Self::NotResumable
            | Self::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::TargetFailed | Self::StoppedUnanswered => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Builds the reply to a refused request, with a `Retry-After` header if a time is given.
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

/// Builds a reply from a target's status, headers and whole body.
pub fn forward(head: http::response::Parts, bytes: Bytes) -> Reply {
    with_body(head, full_body(bytes))
}

/// Builds a streamed reply from a target's status and headers.
pub fn forward_stream(head: http::response::Parts, parts: mpsc::Receiver<Part>) -> Reply {
    let frames = ReceiverStream::new(parts).map(|part| part.map(Frame::data));
    with_body(head, StreamBody::new(frames).boxed_unsync())
}

/// Builds a reply from a target's status and headers, without what concerns the target's own
/// connection: its version of HTTP, framing and connection headers.
fn with_body(head: http::response::Parts, body: Body) -> Reply {
    let mut reply = Response::from_parts(head, body);
    *reply.version_mut() = Version::HTTP_11;
    strip_connection(reply.headers_mut());
    reply.headers_mut().remove(header::CONTENT_LENGTH);
    reply
}

/// Returns whether only the end of its connection ends a response: it has a body without a length,
/// and the version of its request has no chunks.
pub fn ends_with_connection(method: &Method, version: Version, reply: &Reply) -> bool {
    let has_body = method != Method::HEAD
        && !matches!(
            reply.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    version < Version::HTTP_11 && has_body && reply.body().size_hint().exact().is_none()
}

/// Drops `held` only when the reply has been read or its caller is gone.
pub fn hold_until_read<T>(reply: Reply, held: T) -> Reply
where
    T: Send + 'static,
{
    reply.map(move |body| {
        // Unlike a body whose frames are mapped, one whose errors are mapped keeps its length.
        body.map_err(move |error| {
            let _held = &held;
            error
        })
        .boxed_unsync()
    })
}

/// Builds a body from `bytes`.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Removes hop-by-hop headers.
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
