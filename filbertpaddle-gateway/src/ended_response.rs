//! Asks targets that have ended a response together with its connection whether they go on.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::ended_response::Finding;
use filbertpaddle_forward::target::Target;
use http::StatusCode;
use slog::info;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection_pool::Reuse;
use crate::connection_pool::SendOptions;
use crate::connection_pool::Transport;
use crate::state::State;
use crate::store_sync::http_request;
use crate::target_connection;
use crate::tunnel::Purpose;

/// Time in which a process that exits stops listening after it has closed its connections.
const EXIT_TIME: Duration = Duration::from_millis(30);
/// Time for a target to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether a target goes on after it has ended a response together with its connection.
pub(crate) async fn goes_on(state: &State, target: &Target) -> bool {
    if state.is_leaving(target) {
        sleep(EXIT_TIME).await;
    }
    let finding = find(state, target).await;
    let goes_on = finding.shows_sound(target);
    info!(state.log, "looked for a target that ended a response with its connection";
        "target" => target.id.as_str(), "finding" => ?finding, "goes_on" => goes_on);
    goes_on
}

/// Returns the start time of a target in Unix time, if it is known to have started again under its
/// ID since its entry was written.
pub(crate) async fn restarted_ms(state: &State, target: &Target) -> Option<Millis> {
    let finding = find(state, target).await;
    finding.restarted_ms(target)
}

/// Asks engines for a report. Services without an engine offer only a health check, which takes
/// a slot and states no start time, so that a connection has to do.
async fn find(state: &State, target: &Target) -> Finding {
    match target_connection::open(state, target, Purpose::Call).await {
        Ok(transport) if is_engine(state, target) => query_report(state, target, transport).await,
        Ok(_) => Finding::Accepted,
        Err(_) => Finding::Unreached,
    }
}

fn is_engine(state: &State, target: &Target) -> bool {
    let directory = state.directory.borrow();
    let configuration = directory.configuration();
    configuration.is_some_and(|configuration| configuration.is_engine(&target.service))
}

/// Asks a target for its report.
async fn query_report(state: &State, target: &Target, transport: Transport) -> Finding {
    state.metrics.count("target.reports");
    let report = read_report(state, target, transport);
    timeout(REPORT_TIMEOUT, report)
        .await
        .unwrap_or(Finding::Silent)
}

async fn read_report(state: &State, target: &Target, transport: Transport) -> Finding {
    let calls = state.platform.engine;
    let request = http_request(&target.address, &(calls.report)());
    let connect = async || Ok(transport);
    let connections = &state.connections;
    let options = SendOptions {
        reuse: Reuse::New,
        buffers: &state.target_buffers,
    };
    let sent = connections.send_with(&target.address, request, options, connect);
    let Ok(mut response) = sent.await else {
        return Finding::Closed;
    };
    let status = response.head.status;
    if status.is_server_error() || status == StatusCode::MISDIRECTED_REQUEST {
        return Finding::Failed;
    }
    // It may also be this node that has no room for the body.
    let Ok(bytes) = response.body.read_to_end().await else {
        return Finding::Unknown;
    };
    match (calls.decode_report)(&bytes) {
        Ok(report) => Finding::Report(report),
        Err(_) => Finding::Unknown,
    }
}
