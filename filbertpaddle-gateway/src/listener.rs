//! Listeners for callers, readiness checks and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::debug;
use slog::info;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::acceptor::Acceptor;
use crate::caller_input::CallerInput;
use crate::caller_stream::CallerStream;
use crate::caller_stream::OpenResponse;
use crate::clock::duration;
use crate::reply;
use crate::request;
use crate::state::State;

/// Idle timeout of callers' connections while no configuration is known.
const DEFAULT_IDLE_MS: Millis = Millis::from_secs(15);
/// How long a caller may read nothing while no configuration is known.
const DEFAULT_UNREAD_MS: Millis = Millis::from_secs(15);
/// How much longer than configured an idle connection is kept, so that a request sent
/// at the last moment does not cross the close.
const IDLE_SLACK_MS: Millis = Millis::from_secs(1);
/// Maximum size of the head of a request, and of what is buffered of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time for which a connection is read before it is closed as idle. A node that is late may
/// not have seen yet what has arrived on it.
const LAST_READ_TIME: Duration = Duration::from_millis(20);

/// How a node treats callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Connections are kept open between requests.
    Running,
    /// Idle connections are closed; a new one serves one request.
    Draining,
    /// No connections are accepted any more.
    Closing,
}

/// Accepts callers' connections until the node closes.
pub async fn serve(state: Rc<State>, listener: TcpListener, mut phase: watch::Receiver<Phase>) {
    let mut acceptor = Acceptor::new(listener, state.log.clone(), "callers");
    loop {
        let (stream, _) = tokio::select! {
            accepted = acceptor.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        let (state, phase) = (Rc::clone(&state), phase.clone());
        tokio::task::spawn_local(async move {
            state.connected.set(state.connected.get() + 1);
            handle_connection(&state, stream, phase).await;
            state.connected.set(state.connected.get() - 1);
        });
    }
}

async fn handle_connection(
    state: &Rc<State>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
) {
    let stream = match state.peer_watch.watch(stream, Some(unread_limit_ms(state))) {
        Ok(stream) => stream,
        Err(error) => {
            debug!(state.log, "socket options not set, closing caller's connection";
                "error" => %error);
            return;
        }
    };
    let is_running = *phase.borrow() == Phase::Running;
    let end = if is_running {
        Phase::Draining
    } else {
        Phase::Closing
    };
    let response = OpenResponse::default();
    let input = Rc::new(CallerInput::new(&state.caller_buffers));
    let stream = input.meter(CallerStream::new(stream, response.clone()));
    let (served, received) = (Rc::clone(state), Rc::clone(&input));
    let service = service_fn(move |request: Request<Incoming>| {
        let (method, version) = (request.method().clone(), request.version());
        let response = response.clone();
        let reply = request::serve(Rc::clone(&served), request, Rc::clone(&received));
        async move { Ok::<_, Infallible>(response.begin(&method, version, reply.await?)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(duration(idle_timeout_ms(state)))
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(is_running)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async {
        // A closed channel means that the node exits.
        phase.wait_for(|phase| *phase >= end).await.ok();
        sleep(LAST_READ_TIME).await;
    };
    let result = tokio::select! {
        biased;
        result = connection.as_mut() => result,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        is_first_head = input.evicted() => {
            state.metrics.count("caller.evicted");
            info!(state.log, "node buffers too much of requests, closing a caller's connection";
                "is_first_head" => is_first_head);
            if is_first_head {
                return;
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(state.log, "caller's connection ended with an error"; "error" => %error);
    }
}

fn idle_timeout_ms(state: &State) -> Millis {
    let directory = state.directory.borrow();
    let configured_ms = directory
        .configuration()
        .map_or(DEFAULT_IDLE_MS, |configuration| {
            configuration.limits.idle_timeout_ms
        });
    configured_ms + IDLE_SLACK_MS
}

/// Returns how long a caller may read nothing: no response has longer on any route.
fn unread_limit_ms(state: &State) -> Millis {
    let directory = state.directory.borrow();
    let routes = directory
        .configuration()
        .map(|configuration| configuration.routes.as_slice());
    let timeouts = routes.unwrap_or_default().iter();
    let longest = timeouts.map(|route| route.timeout_ms).max();
    longest.unwrap_or(DEFAULT_UNREAD_MS)
}

/// Serves the balancer's readiness checks.
pub async fn serve_ready(state: Rc<State>, listener: TcpListener) {
    let acceptor = Acceptor::new(listener, state.log.clone(), "balancer");
    serve_text(acceptor, move |_| {
        if state.is_ready() {
            (StatusCode::OK, String::new())
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, String::new())
        }
    })
    .await;
}

/// Serves the node's metrics as text.
pub async fn serve_metrics(state: Rc<State>, listener: TcpListener) {
    let acceptor = Acceptor::new(listener, state.log.clone(), "metrics");
    serve_text(acceptor, move |_| (StatusCode::OK, state.metrics.text())).await;
}

/// Serves plain-text responses made by `reply` from a request's path.
async fn serve_text<F>(mut acceptor: Acceptor, reply: F)
where
    F: Fn(&str) -> (StatusCode, String) + Clone + 'static,
{
    loop {
        let (stream, _) = acceptor.accept().await;
        let reply = reply.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = reply(request.uri().path());
            let mut response = Response::new(reply::full_body(text.into()));
            *response.status_mut() = status;
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // The client retries, so a failed connection is not logged.
            connection.await.ok();
        });
    }
}
