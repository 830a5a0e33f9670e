//! Detects target crashes and records the requests that were running there as suspects.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::suspect::crash_id;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::job::Job;
use crate::state::State;

/// Delay between a broken connection and the check of its target. A crashed target
/// stays down for some seconds.
const CHECK_DELAY: Duration = Duration::from_millis(200);
/// Time within which a live target accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Records a request as a crash suspect after its connection broke, if the target is
/// down and is not listed as draining.
pub fn record_if_crashed(job: &Job, target: &Target) {
    let (state, target) = (Rc::clone(&job.state), target.clone());
    let (attempt, digest) = (job.metadata.attempt.clone(), job.digest);
    let parts = job.metadata.part_ids();
    tokio::task::spawn_local(async move {
        sleep(CHECK_DELAY).await;
        if is_listed_as_draining(&state, &target) || is_up(&target).await {
            return;
        }
        let now = state.clock.now();
        let crash = crash_id(&target.id, target.started_ms.unwrap_or_default());
        let mut suspects = state.suspects.borrow_mut();
        suspects.record_crash(now, digest, crash);
        info!(state.log, "request recorded as crash suspect: its target went down";
            "id" => attempt.as_str(), "digest" => digest, "prompt_parts" => parts,
            "target" => target.id.as_str(),
            "crashes" => suspects.uncleared_crashes(digest));
    });
}

fn is_listed_as_draining(state: &State, target: &Target) -> bool {
    let directory = state.directory.borrow();
    directory
        .target(&target.id)
        .is_some_and(|listed| listed.is_draining)
}

async fn is_up(target: &Target) -> bool {
    let connect = TcpStream::connect(target.address.as_str());
    matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
}
