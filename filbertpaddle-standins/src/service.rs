//! Stand-in of a plain service, which counts its executions.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_target::protocol::CallAnswer;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_target::protocol::Submit;
use filbertpaddle_target::protocol::Warmth;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use warp::Filter;
use warp::Rejection;
use warp::Reply;

use crate::server::Server;

/// Limit of concurrent calls in the load report; the service itself has none.
const REPORTED_LIMIT: u32 = 256;

/// Settings of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Address to serve on; port zero picks one.
    pub listen: SocketAddr,
    /// Duration of each call.
    pub duration_ms: Millis,
}

/// Executions counted by a plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Executions by attempt.
    pub attempts: IndexMap<String, u32>,
    /// Executions by body.
    pub bodies: IndexMap<String, u32>,
}

#[derive(Debug, Default)]
struct ServiceState {
    counts: Mutex<Counts>,
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    /// Address that it serves on.
    pub address: SocketAddr,
    state: Arc<ServiceState>,
    server: Server,
}

impl Service {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let state = Arc::new(ServiceState::default());
        let server = Server::start(settings.listen, routes(&settings, &state)).await?;
        Ok(Self {
            address: server.address,
            state,
            server,
        })
    }

    /// Returns the executions so far.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Stops the service.
    pub async fn close(self) {
        self.server.close().await;
    }
}

impl ServiceState {
    fn counts(&self) -> Counts {
        let counts = self.counts.lock();
        counts.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn execute(&self, submit: &Submit) {
        let counts = self.counts.lock();
        let mut counts = counts.unwrap_or_else(PoisonError::into_inner);
        *counts
            .attempts
            .entry(submit.attempt.to_string())
            .or_default() += 1;
        *counts.bodies.entry(submit.prompt.clone()).or_default() += 1;
    }
}

fn routes(
    settings: &Settings,
    state: &Arc<ServiceState>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone + Send + Sync + 'static {
    let duration = Duration::from_millis(settings.duration_ms.0);
    let state = state.clone();
    let shared = warp::any().map(move || state.clone());
    let call = warp::post()
        .and(warp::path!("v1" / "calls"))
        .and(warp::body::json())
        .and(shared.clone())
        .then(move |submit: Submit, state: Arc<ServiceState>| async move {
            // The call counts as executed even if the caller disconnects before the answer.
            state.execute(&submit);
            tokio::time::sleep(duration).await;
            let body = format!("done: {}", submit.prompt);
            let attempt = submit.attempt;
            warp::reply::json(&CallAnswer { attempt, body })
        });
    let counts = warp::get()
        .and(warp::path!("v1" / "counts"))
        .and(shared)
        .map(|state: Arc<ServiceState>| warp::reply::json(&state.counts()));
    let load = warp::get()
        .and(warp::path!("v1" / "load"))
        .map(|| warp::reply::json(&load_report()));
    call.or(counts).or(load)
}

fn load_report() -> LoadReport {
    LoadReport {
        incarnation: 1,
        age_ms: Millis::ZERO,
        running: 0,
        waiting: 0,
        used_pages: 0,
        total_pages: 1,
        page_tokens: 1,
        preemptions: 0,
        warmth: Warmth::Warm,
        cold_limit: REPORTED_LIMIT,
        warm_limit: REPORTED_LIMIT,
        leaving: false,
        attempts: Vec::new(),
    }
}
