//! Polls engines for their drain state while the store is unreachable.
//!
//! Draining is normally announced through the store's table of targets. While that
//! cannot be read, the engines that run this node's generations are asked directly.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::time::sleep;

use crate::state::State;
use crate::target_call;

/// Targets announce a drain about two seconds ahead, and their reports are some
/// hundred milliseconds old.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Polls the engines in use for as long as the node runs.
pub async fn run(state: Rc<State>) {
    loop {
        sleep(POLL_INTERVAL).await;
        if !state.is_store_lost() {
            continue;
        }
        for target in engines_in_use(&state) {
            let state = Rc::clone(&state);
            tokio::task::spawn_local(async move { poll(&state, &target).await });
        }
    }
}

/// Returns the engines that run generations of this node and are not draining.
fn engines_in_use(state: &State) -> Vec<Target> {
    let directory = state.directory.borrow();
    let selector = state.selector.borrow();
    let Some(configuration) = directory.configuration() else {
        return Vec::new();
    };
    let targets = directory.targets().map(|(target, _)| target);
    targets
        .filter(|target| !target.is_draining && selector.running(&target.id) > 0)
        .filter(|target| configuration.is_engine(&target.service))
        .cloned()
        .collect()
}

async fn poll(state: &Rc<State>, target: &Target) {
    let calls = state.platform.engine;
    state.metrics.count("target.reports");
    let call = (calls.report)();
    let report = match target_call::call(state, target, &call, REPORT_TIMEOUT).await {
        Ok((_, bytes)) => (calls.decode_report)(&bytes),
        Err(error) => {
            info!(state.log, "no report from target, polling it again";
                "target" => target.id.as_str(), "error" => %error);
            return;
        }
    };
    match report {
        Ok(report) if report.is_draining => {
            state.mark_target_draining(&target.incarnation(), "report")
        }
        Ok(_) => {}
        Err(error) => {
            info!(state.log, "report of target ignored: cannot be decoded";
                "target" => target.id.as_str(), "error" => %error);
        }
    }
}
