//! Listeners for callers, readiness checks and metrics.

use std::rc::Rc;

use filbertpaddle_core::clock::Millis;
use http::Response;
use http::StatusCode;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::clock::duration;
use crate::connection_pool::set_socket_options;
use crate::reply;
use crate::request;
use crate::state::State;

/// Idle timeout of callers' connections while no configuration is known.
const DEFAULT_IDLE_MS: Millis = Millis::from_secs(15);
/// How much longer than configured an idle connection is kept, so that a request sent
/// at the last moment does not cross the close.
const IDLE_SLACK_MS: Millis = Millis::from_secs(1);

/// Accepts callers' connections; idle ones close once `stopping` is true.
pub async fn serve(state: Rc<State>, listener: TcpListener, stopping: watch::Receiver<bool>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (state, stopping) = (Rc::clone(&state), stopping.clone());
                tokio::task::spawn_local(handle_connection(state, stream, stopping));
            }
            Err(error) => {
                warn!(state.log, "connection from a caller not accepted"; "error" => %error)
            }
        }
    }
}

async fn handle_connection(
    state: Rc<State>,
    stream: TcpStream,
    mut stopping: watch::Receiver<bool>,
) {
    if let Err(error) = set_socket_options(&stream) {
        debug!(state.log, "socket options not set, closing caller's connection"; "error" => %error);
        return;
    }
    let idle_ms = idle_timeout_ms(&state);
    let log = state.log.clone();
    let service = service_fn(move |request| request::serve(Rc::clone(&state), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(duration(idle_ms))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopping.wait_for(|is_stopping| *is_stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        debug!(log, "caller's connection ended with an error"; "error" => %error);
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

/// Serves the balancer's readiness checks.
pub async fn serve_ready(state: Rc<State>, listener: TcpListener) {
    serve_text(listener, move |_| {
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
    serve_text(listener, move |_| (StatusCode::OK, state.metrics.text())).await;
}

/// Serves plain-text responses made by `reply` from a request's path.
async fn serve_text<F>(listener: TcpListener, reply: F)
where
    F: Fn(&str) -> (StatusCode, String) + Clone + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let reply = reply.clone();
        let service = service_fn(move |request: http::Request<hyper::body::Incoming>| {
            let (status, text) = reply(request.uri().path());
            let mut response = Response::new(reply::full_body(text.into()));
            *response.status_mut() = status;
            async move { Ok::<_, std::convert::Infallible>(response) }
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
