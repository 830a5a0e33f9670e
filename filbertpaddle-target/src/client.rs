//! HTTP client of targets, which reuses its connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_http::client as http_client;
use filbertpaddle_http::client::Response;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::error::NotStarted;
use crate::error::UnknownOutcome;
use crate::protocol::CacheEvents;
use crate::protocol::CallAnswer;
use crate::protocol::LoadReport;
use crate::protocol::LoadedState;
use crate::protocol::Order;
use crate::protocol::OrderAnswer;
use crate::protocol::Refusal;
use crate::protocol::Submit;
use crate::stream::Tokens;

/// Maximum size of an answer that is read as a whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Maximum size of the body of a refusal.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Time limits of a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time limit for connecting.
    pub connect_timeout_ms: Millis,
    /// Time limit for the headers of an answer, and for a whole short answer.
    pub answer_timeout_ms: Millis,
    /// Time limit for the answer of a plain service.
    pub call_timeout_ms: Millis,
    /// Maximum time between two tokens of a stream.
    pub idle_timeout_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: Millis(1_000),
            answer_timeout_ms: Millis(5_000),
            call_timeout_ms: Millis(30_000),
            idle_timeout_ms: Millis(30_000),
        }
    }
}

/// Client of any number of targets; clones share their connections.
///
/// The client never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct Client {
    http: http_client::Client,
    settings: Settings,
}

impl Client {
    /// Creates a client.
    pub fn new(settings: Settings) -> Self {
        let http = http_client::Client::new(duration(settings.connect_timeout_ms));
        Self { http, settings }
    }

    /// Starts a generation and returns its token stream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotStarted`] only if the request provably had no effect.
    pub async fn submit(&self, address: SocketAddr, submit: &Submit) -> Result<Tokens, Error> {
        let request = post(address, "generations", submit)?;
        self.stream(request, submit.attempt.clone(), 0).await
    }

    /// Resumes the token stream of an attempt with the token at index `from`.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is unknown to the target or the request fails.
    pub async fn resume(
        &self,
        address: SocketAddr,
        attempt: &Name,
        from: u32,
    ) -> Result<Tokens, Error> {
        let path = format!("generations/{attempt}?from={from}");
        let request = http_client::request(Method::GET, &url(address, &path))?;
        self.stream(request, attempt.clone(), from).await
    }

    /// Cancels an attempt; has no effect if it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the attempt is unknown to the target or the request fails.
    pub async fn cancel(&self, address: SocketAddr, attempt: &Name) -> Result<(), Error> {
        let path = format!("generations/{attempt}");
        let request = http_client::request(Method::DELETE, &url(address, &path))?;
        let timeout_ms = self.settings.answer_timeout_ms;
        self.send(request, attempt, timeout_ms).await?;
        Ok(())
    }

    /// Sends a call to a plain service and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotStarted`] only if the request provably had no effect.
    pub async fn call(&self, address: SocketAddr, submit: &Submit) -> Result<CallAnswer, Error> {
        let request = post(address, "calls", submit)?;
        let timeout_ms = self.settings.call_timeout_ms;
        let called = self.request_json(request, &submit.attempt, timeout_ms);
        let answer: CallAnswer = called.await?;
        if answer.attempt != submit.attempt {
            return Err(Error::Unknown(UnknownOutcome::OtherAttempt(answer.attempt)));
        }
        Ok(answer)
    }

    /// Reads the load report of a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails.
    pub async fn load(&self, address: SocketAddr) -> Result<LoadReport, Error> {
        self.get_json(address, "load").await
    }

    /// Reads the model, version and adapters that a target has loaded.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails.
    pub async fn state(&self, address: SocketAddr) -> Result<LoadedState, Error> {
        self.get_json(address, "state").await
    }

    /// Reads the changes of a target's prefix cache after the sequence number `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the request fails.
    pub async fn cache(&self, address: SocketAddr, after: u64) -> Result<CacheEvents, Error> {
        self.get_json(address, &format!("cache?after={after}"))
            .await
    }

    /// Orders a target to load a model, version and adapters.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotStarted`] only if the request provably had no effect.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderAnswer, Error> {
        let request = post(address, "orders", order)?;
        let timeout_ms = self.settings.answer_timeout_ms;
        self.request_json(request, &order.id, timeout_ms).await
    }

    async fn get_json<T>(&self, address: SocketAddr, path: &str) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let request = http_client::request(Method::GET, &url(address, path))?;
        let timeout_ms = self.settings.answer_timeout_ms;
        // A read is never refused.
        self.request_json(request, &Name::default(), timeout_ms)
            .await
    }

    async fn stream(
        &self,
        request: Request<Full<Bytes>>,
        attempt: Name,
        from: u32,
    ) -> Result<Tokens, Error> {
        let timeout_ms = self.settings.answer_timeout_ms;
        let response = self.send(request, &attempt, timeout_ms).await?;
        let idle_timeout = duration(self.settings.idle_timeout_ms);
        Ok(Tokens::new(response, attempt, from, idle_timeout))
    }

    /// Sends the request of an attempt or order and decodes the answer.
    async fn request_json<T>(
        &self,
        request: Request<Full<Bytes>>,
        id: &Name,
        timeout_ms: Millis,
    ) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let answer = async {
            let response = self.send(request, id, timeout_ms).await?;
            let body = response.read_to_end(MAX_ANSWER_BYTES).await?;
            serde_json::from_slice(&body).map_err(|error| malformed(&error.to_string()))
        };
        match tokio::time::timeout(duration(timeout_ms), answer).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Unknown(UnknownOutcome::Timeout)),
        }
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
        id: &Name,
        timeout_ms: Millis,
    ) -> Result<Response, Error> {
        let sent = tokio::time::timeout(duration(timeout_ms), self.http.send(request)).await;
        let response = sent.map_err(|_| Error::Unknown(UnknownOutcome::Timeout))??;
        match response.status() {
            status if status.is_success() => Ok(response),
            StatusCode::CONFLICT | StatusCode::SERVICE_UNAVAILABLE | StatusCode::NOT_FOUND => {
                Err(self.read_refusal(response, id).await)
            }
            status => Err(Error::Unknown(UnknownOutcome::Status(status.as_u16()))),
        }
    }

    /// Reads the body of a refusal. Only a well-formed one that names the attempt or order
    /// proves that it did not run.
    async fn read_refusal(&self, response: Response, id: &Name) -> Error {
        let status = response.status().as_u16();
        let timeout = duration(self.settings.answer_timeout_ms);
        let read = response.read_to_end(MAX_REFUSAL_BYTES);
        let body = match tokio::time::timeout(timeout, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => return error.into(),
            Err(_) => return Error::Unknown(UnknownOutcome::Timeout),
        };
        match serde_json::from_slice::<Refusal>(&body) {
            Ok(refusal) if refusal.id == *id => refusal.cause.into(),
            Ok(refusal) => Error::Unknown(UnknownOutcome::OtherAttempt(refusal.id)),
            Err(_) => Error::Unknown(UnknownOutcome::Status(status)),
        }
    }
}

fn post<T>(address: SocketAddr, path: &str, body: &T) -> Result<Request<Full<Bytes>>, Error>
where
    T: Serialize,
{
    let body = serde_json::to_vec(body);
    let body = body.map_err(|error| NotStarted::Invalid(error.to_string()))?;
    let request = http_client::json_request(Method::POST, &url(address, path), body);
    Ok(request?)
}

fn malformed(reason: &str) -> Error {
    Error::Unknown(UnknownOutcome::Malformed(reason.to_owned()))
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}/v1/{path}")
}

fn duration(span_ms: Millis) -> Duration {
    Duration::from_millis(span_ms.0)
}
