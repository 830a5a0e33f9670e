//! When a leaving target leaves, asked of the target itself.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::time::sleep;

use crate::follower::request;
use crate::state::State;

/// How long a target that leaves is taken to stay until it says.
const ASSUMED_MS: Millis = Millis(1_500);
/// How long a target's report may take.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before a target is asked again that did not know yet. Reports are
/// some hundred milliseconds old.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// How often a target is asked.
const MAX_ASKS: u32 = 4;

/// Returns when `target` leaves, as far as is known, and asks it once.
pub fn leaves_ms(state: &Rc<State>, target: &Target) -> Millis {
    let known = state.fleet.borrow().leaves_ms(&target.id);
    if let Some(leaves_ms) = known {
        return leaves_ms;
    }
    let assumed_ms = state.clock.now() + ASSUMED_MS;
    let mut fleet = state.fleet.borrow_mut();
    fleet.set_leaves(&target.id, assumed_ms);
    let (state, target) = (Rc::clone(state), target.clone());
    tokio::task::spawn_local(async move { ask(&state, &target).await });
    assumed_ms
}

async fn ask(state: &Rc<State>, target: &Target) {
    for _ in 0..MAX_ASKS {
        if let Some(leaves_ms) = ask_once(state, &target.id, &target.address).await {
            state.fleet.borrow_mut().set_leaves(&target.id, leaves_ms);
            state.notify();
            return;
        }
        sleep(ASK_AGAIN).await;
    }
}

async fn ask_once(state: &Rc<State>, id: &Name, address: &Name) -> Option<Millis> {
    let calls = state.dialect.engine;
    let asked_ms = state.clock.now();
    let request = request(address, &(calls.report)());
    state.metrics.count("target.reports");
    let called = state.links.call(address, request, REPORT_TIMEOUT).await;
    let (_, bytes) = match called {
        Ok(answer) => answer,
        Err(error) => {
            info!(state.log, "no report"; "target" => id.as_str(), "error" => %error);
            return None;
        }
    };
    let report = match (calls.decode_report)(&bytes) {
        Ok(report) => report,
        Err(error) => {
            info!(state.log, "unreadable report"; "target" => id.as_str(), "error" => %error);
            return None;
        }
    };
    info!(state.log, "target leaves";
        "target" => id.as_str(), "in_ms" => report.leaves_in_ms.map(|span| span.0),
        "running" => report.running, "waiting" => report.waiting);
    Some(asked_ms + report.leaves_in_ms?)
}
