//! Connections to targets, and what they show about this node's own links.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::direct_path::ConnectFailure;
use filbertpaddle_forward::direct_path::PathChange;
use filbertpaddle_forward::load_table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::target::Target;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use slog::info;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::connection_pool;
use crate::connection_pool::Error;
use crate::connection_pool::Transport;
use crate::relay;
use crate::state::State;
use crate::tunnel::Purpose;
use crate::tunnel::RelayedStream;

/// Interval at which a node that is cut off tries to reach a target.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of targets that are tried at a time.
const PROBED_TARGETS: usize = 3;

/// Opens a connection to a target: from this node, or through another if this one does not reach
/// the target.
///
/// # Errors
///
/// Returns [`Error`] if the target accepts none in time. No byte of a request has left.
pub async fn open(state: &State, target: &Target, purpose: Purpose) -> Result<Transport, Error> {
    if !state.must_relay(target) {
        match open_directly(state, target).await {
            Ok(stream) => {
                // Requests end at their deadlines, so that no other limit is needed.
                let watched = state.peer_watch.watch(stream, None);
                let watched = watched.map_err(|error| Error::NotSent(error.to_string()))?;
                return Ok(Transport::Direct(watched));
            }
            Err(error) if !state.direct_path.borrow().is_cut_off() => return Err(error),
            Err(_) => {}
        }
    }
    let relayed = open_relayed(state, target, purpose).await;
    relayed.map(|stream| Transport::Relayed(Box::new(stream)))
}

/// Opens a connection to a target through another node, and records what that shows.
async fn open_relayed(
    state: &State,
    target: &Target,
    purpose: Purpose,
) -> Result<RelayedStream, Error> {
    let relayed = relay::open(state, target, purpose).await;
    match &relayed {
        Ok(_) if state.direct_path.borrow_mut().record_relayed() => {
            // What this node saw of its targets until now were the faults of its own links.
            state.selector.borrow_mut().forget_failures();
        }
        Err(Error::Refused | Error::Unreachable) => {
            // No path to it is known, so no other request tries it for a while.
            let now = state.clock.now();
            state.selector.borrow_mut().record_failure(now, &target.id);
        }
        _ => {}
    }
    if state.is_in_service(target) {
        match &relayed {
            Ok(_) | Err(Error::Refused | Error::Unreachable) => state.record_path_found(),
            // Else other targets accept connections of this node.
            Err(Error::NoPath) if state.direct_path.borrow().is_cut_off() => state.record_no_path(),
            Err(_) => {}
        }
    }
    relayed
}

/// Opens a connection from this node to a target.
///
/// # Errors
///
/// Returns [`Error`] if the target accepts none in time. No byte of a request has left.
pub async fn open_directly(state: &State, target: &Target) -> Result<TcpStream, Error> {
    let connected = connection_pool::connect_tcp(&target.address).await;
    match &connected {
        Ok(_) => state.record_connected(target),
        Err(Error::Refused) => state.record_connect_failed(target, ConnectFailure::Refused),
        Err(Error::Unreachable) => state.record_connect_failed(target, ConnectFailure::Silent),
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
        while state.is_path_in_doubt() {
            if !probe(state, None).await {
                probe_relays(state).await;
                sleep(PROBE_INTERVAL).await;
            }
        }
    }
}

/// Returns whether a target refuses connections though others accept some: it is down. One that
/// does not respond at all may be cut off.
pub async fn is_down(state: &State, target: &Target) -> bool {
    if !state.direct_path.borrow().is_cut_off() {
        let since = state.clock.now();
        match open_directly(state, target).await {
            Err(Error::Refused) if has_path(state, target, since).await => return true,
            Err(Error::Refused) => {}
            Ok(_) | Err(_) => return false,
        }
    }
    let relayed = open_relayed(state, target, Purpose::Call).await;
    matches!(relayed, Err(Error::Refused))
}

/// Returns whether this node has reached some target since `since`, after one failed to accept
/// its connection; tries others if it has not.
pub async fn has_path(state: &State, failed: &Target, since: Millis) -> bool {
    if state.direct_path.borrow().is_connected_since(since) {
        return true;
    }
    probe(state, Some(&failed.id)).await
}

/// Returns whether this node reaches a target in the same data centre as `target`, other than it.
pub async fn reaches_near(state: &State, target: &Target) -> bool {
    let is_near = |other: &Target| other.data_centre == target.data_centre && other.id != target.id;
    probe_some(state, is_near).await
}

/// Returns whether requests of this node reach targets, `target` or others, by its own links or
/// through another node.
pub async fn has_any_path(state: &State, target: &Target) -> bool {
    let since = state.clock.now();
    match open(state, target, Purpose::Request).await {
        Ok(_) => true,
        Err(Error::NoPath) => false,
        Err(_) if has_path(state, target, since).await => true,
        Err(_) => {
            let relayed = open_relayed(state, target, Purpose::Request).await;
            !matches!(relayed, Err(Error::NoPath))
        }
    }
}

/// Tries to reach targets other than `except`; returns whether one accepted a connection.
async fn probe(state: &State, except: Option<&Name>) -> bool {
    probe_some(state, |target| Some(&target.id) != except).await
}

/// Tries to reach a target through another node if no request does: all are refused.
async fn probe_relays(state: &State) {
    if !state.is_path_lost() {
        return;
    }
    if let Some(target) = probed_targets(state, |_| true).first() {
        // What it shows is recorded.
        open_relayed(state, target, Purpose::Call).await.ok();
    }
}

/// Tries to reach some of the targets for which `is_wanted` holds; returns whether one accepted a
/// connection.
async fn probe_some<W>(state: &State, is_wanted: W) -> bool
where
    W: Fn(&Target) -> bool,
{
    let targets = probed_targets(state, is_wanted);
    let attempts = targets.iter().map(|target| open_directly(state, target));
    let mut attempts: FuturesUnordered<_> = attempts.collect();
    while let Some(connected) = attempts.next().await {
        if connected.is_ok() {
            return true;
        }
    }
    false
}

/// Returns some of the targets that are not leaving, in random order, those that have not failed
/// yet before the others. What listens at the address of an entry whose service the configuration
/// does not name shows nothing about targets. Where requests need a path to targets in service,
/// others do not count.
fn probed_targets<W>(state: &State, is_wanted: W) -> Vec<Target>
where
    W: Fn(&Target) -> bool,
{
    let directory = state.directory.borrow();
    let direct_path = state.direct_path.borrow();
    let services = directory.configuration().map(|known| &known.services);
    let is_named =
        |target: &Target| services.is_some_and(|services| services.contains_key(&target.service));
    let listed = directory.targets().map(|(target, _)| target);
    let mut targets: Vec<_> = listed
        .filter(|target| !target.is_draining)
        .filter(|target| !state.watches_path() || state.is_in_service(target))
        .filter(|target| is_wanted(target) && is_named(target))
        .cloned()
        .collect();
    targets.shuffle(&mut rand::rng());
    targets.sort_by_key(|target| direct_path.failed().contains(&target.id));
    targets.truncate(PROBED_TARGETS);
    targets
}

impl State {
    /// Returns whether a connection to a target is to be opened by another node.
    fn must_relay(&self, target: &Target) -> bool {
        let now = self.clock.now();
        self.direct_path.borrow().is_cut_off()
            || self.selector.borrow().is_unreached(now, &target.id)
    }

    /// Returns this node's load by target, and which targets refuse its connections. A node that
    /// may be cut off accuses none.
    pub fn published_load(&self) -> LoadByTarget {
        let load = self.selector.borrow().own_load(self.clock.now());
        if self.direct_path.borrow().is_in_doubt() {
            load_table::without_refusals(load)
        } else {
            load
        }
    }

    /// Returns whether the data centre of a target is in service.
    fn is_in_service(&self, target: &Target) -> bool {
        !self.directory.borrow().is_out(&target.data_centre)
    }

    /// Records that a target accepted a connection of this node.
    fn record_connected(&self, target: &Target) {
        self.selector.borrow_mut().record_reached(&target.id);
        let change = self
            .direct_path
            .borrow_mut()
            .record_connected(self.clock.now());
        self.log_path_change(change);
        if self.is_in_service(target) {
            self.record_path_found();
        }
    }

    /// Records that a target accepted no connection of this node.
    fn record_connect_failed(&self, target: &Target, failure: ConnectFailure) {
        let mut direct_path = self.direct_path.borrow_mut();
        let change = direct_path.record_failed(&target.id, failure);
        drop(direct_path);
        self.log_path_change(change);
        self.probe_due.notify_one();
    }

    /// Records that a connection to a target broke or a request failed there, and returns the end
    /// of the target's back-off. While this node is cut off, there is none: its links are at fault.
    pub fn record_target_failure(&self, target: &Target) -> Millis {
        if self.direct_path.borrow().is_cut_off() {
            return Millis::ZERO;
        }
        let now = self.clock.now();
        self.selector.borrow_mut().record_failure(now, &target.id)
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
            Some(PathChange::Restored { is_proven }) => {
                if is_proven {
                    self.selector.borrow_mut().forget_failures();
                }
                info!(self.log, "node reaches targets itself again"; "was_cut_off" => is_proven);
                self.metrics.count("targets.reached_again");
            }
            None => {}
        }
    }
}
