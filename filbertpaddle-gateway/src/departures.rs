//! Asks targets themselves whether they leave, while the store cannot tell.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::time::sleep;

use crate::follower::request;
use crate::state::State;

/// How often targets are asked. They give about two seconds' notice, and their
/// reports are some hundred milliseconds old.
const ASK: Duration = Duration::from_millis(300);
/// How long a target's report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks the targets that run this node's generations, as long as it runs.
pub async fn watch(state: Rc<State>) {
    loop {
        sleep(ASK).await;
        if !state.is_store_lost() {
            continue;
        }
        for target in busy_engines(&state) {
            let state = Rc::clone(&state);
            tokio::task::spawn_local(async move { ask(&state, &target).await });
        }
    }
}

/// The engines at which generations of this node run.
fn busy_engines(state: &State) -> Vec<Target> {
    let directory = state.directory.borrow();
    let fleet = state.fleet.borrow();
    let Some(configuration) = directory.configuration() else {
        return Vec::new();
    };
    let is_engine = |target: &Target| {
        let service = configuration.services.get(&target.service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let targets = directory.targets().map(|(target, _)| target);
    targets
        .filter(|target| !target.is_draining && fleet.running(&target.id) > 0)
        .filter(|target| is_engine(target))
        .cloned()
        .collect()
}

async fn ask(state: &Rc<State>, target: &Target) {
    let calls = state.platform.engine;
    let request = request(&target.address, &(calls.report)());
    state.metrics.count("target.reports");
    let called = state.links.call(&target.address, request, REPORT_TIMEOUT);
    let report = match called.await {
        Ok((_, bytes)) => (calls.decode_report)(&bytes),
        Err(error) => {
            info!(state.log, "no report"; "target" => target.id.as_str(), "error" => %error);
            return;
        }
    };
    match report {
        Ok(report) if report.is_draining => state.target_leaves(target),
        Ok(_) => {}
        Err(error) => {
            info!(state.log, "unreadable report";
                "target" => target.id.as_str(), "error" => %error);
        }
    }
}
