//! Connections to targets, and what they show about this node's own links.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::direct_path::ConnectFailure;
use filbertpaddle_forward::direct_path::PathChange;
use filbertpaddle_forward::target::Target;
use rand::seq::SliceRandom;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::connection_pool;
use crate::connection_pool::Error;
use crate::state::State;

/// Interval at which a node that is cut off tries to reach a target.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of targets that are tried at a time.
const PROBED_TARGETS: usize = 3;

/// Opens a connection from this node to a target.
///
/// # Errors
///
/// Returns [`Error`] if the target accepts none in time. No byte of a request has left.
pub async fn open_directly(state: &State, target: &Target) -> Result<TcpStream, Error> {
    let connected = connection_pool::connect_tcp(&target.address).await;
    match &connected {
        Ok(_) => state.record_connected(),
        Err(Error::Refused) => state.record_connect_failed(&target.id, ConnectFailure::Refused),
        Err(Error::Unreachable) => state.record_connect_failed(&target.id, ConnectFailure::Silent),
        Err(_) => {}
    }
    connected
}

/// Probes targets for as long as the node runs, while it is in doubt whether it reaches any.
///
/// Probes are connections without a request, so that no request waits to find out that a cut
/// has ended.
pub async fn run_probes(state: &State) {
    loop {
        state.probe_due.notified().await;
        while state.direct_path.borrow().is_in_doubt() {
            if !probe(state, None).await {
                sleep(PROBE_INTERVAL).await;
            }
        }
    }
}

/// Tries to reach targets other than `except`; returns whether one accepted a connection.
pub async fn probe(state: &State, except: Option<&Name>) -> bool {
    for target in probed_targets(state, except) {
        if open_directly(state, &target).await.is_ok() {
            return true;
        }
    }
    false
}

/// Returns some of the targets that are not leaving, in random order, those that have not failed
/// yet before the others.
fn probed_targets(state: &State, except: Option<&Name>) -> Vec<Target> {
    let directory = state.directory.borrow();
    let direct_path = state.direct_path.borrow();
    let listed = directory.targets().map(|(target, _)| target);
    let mut targets: Vec<_> = listed
        .filter(|target| !target.is_draining && Some(&target.id) != except)
        .cloned()
        .collect();
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|target| direct_path.failed().contains(&target.id));
    targets.truncate(PROBED_TARGETS);
    targets
}

impl State {
    /// Records that a target accepted a connection of this node.
    fn record_connected(&self) {
        let change = self
            .direct_path
            .borrow_mut()
            .record_connected(self.clock.now());
        self.log_path_change(change);
    }

    /// Records that a target accepted no connection of this node.
    fn record_connect_failed(&self, target: &Name, failure: ConnectFailure) {
        let mut direct_path = self.direct_path.borrow_mut();
        let change = direct_path.record_failed(target, failure);
        drop(direct_path);
        self.log_path_change(change);
        self.probe_due.notify_one();
    }

    fn log_path_change(&self, change: Option<PathChange>) {
        let direct_path = self.direct_path.borrow();
        match change {
            Some(PathChange::CutOff) => {
                let connected_ms = direct_path.connected_ms().unwrap_or(Millis::ZERO);
                info!(self.log, "node reaches no target itself";
                    "failed" => ?direct_path.failed(), "is_silent" => direct_path.is_silent(),
                    "connected_age_ms" => self.clock.now().since(connected_ms).0);
                self.metrics.count("targets.cut_off");
            }
            Some(PathChange::Restored) => {
                info!(self.log, "node reaches targets itself again");
                self.metrics.count("targets.reached_again");
            }
            None => {}
        }
    }
}
