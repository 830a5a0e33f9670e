//! Requests that were running when their target crashed.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::suspect::crash_id;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::state::State;

/// How long after a connection broke off its target is looked at. A crashed
/// target stays down for some seconds.
const CHECK_DELAY: Duration = Duration::from_millis(200);
/// How long a living target may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Makes a suspect of a request whose target broke off, if the target is down
/// and did not announce that it leaves.
pub fn record_if_crashed(state: &Rc<State>, target: &Target, digest: u64) {
    let (state, target) = (Rc::clone(state), target.clone());
    tokio::task::spawn_local(async move {
        sleep(CHECK_DELAY).await;
        if is_leaving(&state, &target) || is_up(&target).await {
            return;
        }
        let now = state.clock.now();
        let crash = crash_id(&target.id, target.started_ms.unwrap_or_default());
        let mut suspects = state.suspects.borrow_mut();
        suspects.crashed(now, digest, crash);
        info!(state.log, "request was part of a crash";
            "digest" => digest, "target" => target.id.as_str(),
            "crashes" => suspects.level(digest));
    });
}

fn is_leaving(state: &State, target: &Target) -> bool {
    let directory = state.directory.borrow();
    directory
        .target(&target.id)
        .is_some_and(|listed| listed.is_draining)
}

async fn is_up(target: &Target) -> bool {
    let connect = TcpStream::connect(target.address.as_str());
    matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
}
