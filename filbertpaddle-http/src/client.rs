//! HTTP client that gives up peers which send without progress.
//!
//! `reqwest` hides its connections, so that what they receive could not be bounded.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

use crate::connector::Connector;
use crate::connector::MeterHandle;
use crate::status::check_final;

/// Maximum size of the head of a response, and of what a connection buffers.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Client whose clones share their connections. It never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<Connector, Full<Bytes>>,
}

/// Reason why a request has no response, or only a part of one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request is malformed and was not sent.
    #[error("cannot build request: {0}")]
    Invalid(String),
    /// No connection was established; the request was not sent.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection failed, or brought what is no response; the request may have arrived.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The body of the response is too large.
    #[error("response body is larger than {0} bytes")]
    TooLarge(usize),
}

/// Response whose body is still to be read.
#[derive(Debug)]
pub struct Response {
    status: StatusCode,
    body: Incoming,
    meter: Option<MeterHandle>,
}

impl Client {
    /// Creates a client that takes at most `connect_timeout` for a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        let mut builder = legacy::Client::builder(TokioExecutor::new());
        builder
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new());
        Self {
            inner: builder.build(Connector::new(connect_timeout)),
        }
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// [`Error::Invalid`] and [`Error::Connect`] prove that the request was not sent.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response, Error> {
        let answered = self.inner.request(request).await;
        let (head, body) = answered.map_err(|error| client_error(&error))?.into_parts();
        check_final(head.status).map_err(|error| Error::Lost(error.to_string()))?;
        let meter = head.extensions.get::<MeterHandle>().cloned();
        if let Some(MeterHandle(meter)) = &meter {
            meter.begin_body();
        }
        Ok(Response {
            status: head.status,
            body,
            meter,
        })
    }
}

impl Response {
    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Waits for the next bytes of the body; returns `None` at its end. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Lost`] if the response breaks off, or has no progress.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Error> {
        while let Some(frame) = self.body.frame().await {
            let frame = frame.map_err(|error| Error::Lost(describe(&error)))?;
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if let Some(MeterHandle(meter)) = &self.meter {
                meter.record_delivered(bytes.len());
            }
            return Ok(Some(bytes));
        }
        Ok(None)
    }

    /// Reads the rest of the body, of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the response breaks off or is too large.
    pub async fn read_to_end(mut self, max_bytes: usize) -> Result<Bytes, Error> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(Error::TooLarge(max_bytes));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }
}

/// Builds a request without a body.
///
/// # Errors
///
/// Returns [`Error::Invalid`] if `url` is none.
pub fn request(method: Method, url: &str) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = Request::new(Full::default());
    *request.method_mut() = method;
    *request.uri_mut() = url
        .parse()
        .map_err(|error: http::uri::InvalidUri| Error::Invalid(error.to_string()))?;
    Ok(request)
}

/// Builds a request with a JSON body.
///
/// # Errors
///
/// Returns [`Error::Invalid`] if `url` is none.
pub fn json_request(
    method: Method,
    url: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, Error> {
    let mut request = request(method, url)?;
    *request.body_mut() = Full::from(body);
    let json = HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(request)
}

fn client_error(error: &legacy::Error) -> Error {
    if error.is_connect() {
        Error::Connect(describe(error))
    } else {
        Error::Lost(describe(error))
    }
}

/// Formats an error with its sources, since its own message omits the cause.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
