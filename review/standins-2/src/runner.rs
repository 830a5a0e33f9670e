//! A target that is in need for a moment, and answers 503 with `Retry-After` meanwhile.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::http::Answer;
use filbertpaddle_adapter_standins::http::Server;
use filbertpaddle_adapter_standins::http::empty_response;
use filbertpaddle_adapter_standins::http::full_body;
use filbertpaddle_adapter_standins::http::read_body;
use filbertpaddle_standins::loopback::next_host;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(15);
const ATTEMPT_ID: &str = "filbertpaddle-attempt-id";

/// A request that arrived, and the answer to it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Attempt ID of the request.
    pub attempt: String,
    /// Time of the arrival.
    pub at: Instant,
    /// Whether it was answered 503 with `Retry-After`.
    pub is_refused: bool,
}

/// A running target.
#[derive(Debug)]
pub struct Runner {
    /// ID of the target.
    pub id: String,
    data_centre: &'static str,
    born_ms: u64,
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    id: String,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Value of the `Retry-After` header, while the target is in need.
    retry_after: Option<&'static str>,
    arrivals: Vec<Arrival>,
}

impl Runner {
    /// Starts a target of the service `app`.
    pub async fn start(id: &str, data_centre: &'static str, born_ms: u64) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            state: Mutex::default(),
        });
        let handler = Arc::clone(&shared);
        let handle = move |request| answer(Arc::clone(&handler), request);
        let address = SocketAddr::new(next_host().into(), 0);
        Ok(Self {
            id: id.to_owned(),
            data_centre,
            born_ms,
            server: Server::start_at(address, handle).await?,
            shared,
        })
    }

    /// Returns its entry in the store.
    pub fn entry(&self, sequence: u64) -> Value {
        json!({
            "service": "app", "address": self.server.address.to_string(),
            "zone": self.data_centre, "version": "v1", "slots": 6, "state": "ready",
            "cold_remaining_ms": 0, "sequence": sequence, "born": self.born_ms,
        })
    }

    /// Sets the time for which it wants no requests, as it states in its refusals; `None` while it
    /// has room.
    pub fn set_retry_after(&self, seconds: Option<&'static str>) {
        self.shared
            .state
            .lock()
            .expect("no holder panics")
            .retry_after = seconds;
    }

    /// Returns the requests that arrived so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let state = self.shared.state.lock().expect("no holder panics");
        state.arrivals.clone()
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Answer {
    let (head, body) = request.into_parts();
    read_body(body).await?;
    let text = |name| {
        head.headers
            .get(name)
            .and_then(|value: &HeaderValue| value.to_str().ok())
    };
    if text("filbertpaddle-expect-instance").is_some_and(|expected| expected != shared.id) {
        return Ok(empty_response(StatusCode::MISDIRECTED_REQUEST));
    }
    let attempt = text(ATTEMPT_ID).unwrap_or_default().to_owned();
    let retry_after = {
        let mut state = shared.state.lock().expect("no holder panics");
        let retry_after = state.retry_after;
        state.arrivals.push(Arrival {
            attempt: attempt.clone(),
            at: Instant::now(),
            is_refused: retry_after.is_some(),
        });
        retry_after
    };
    let mut response = match retry_after {
        Some(_) => empty_response(StatusCode::SERVICE_UNAVAILABLE),
        None => {
            sleep(WORK_TIME).await;
            Response::new(full_body(format!("answer to {attempt}")))
        }
    };
    let headers = response.headers_mut();
    match retry_after {
        Some(seconds) => {
            headers.insert("filbertpaddle-not-executed", HeaderValue::from_static("1"));
            headers.insert("retry-after", HeaderValue::from_static(seconds));
        }
        None => {
            headers.insert(
                "filbertpaddle-response-seal",
                HeaderValue::from_static("seal"),
            );
        }
    }
    if let Ok(attempt) = HeaderValue::from_str(&attempt) {
        headers.insert(ATTEMPT_ID, attempt);
    }
    Ok(response)
}
