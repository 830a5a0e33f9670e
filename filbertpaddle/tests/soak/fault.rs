//! Injects the faults of a schedule into a cluster and removes them.

use filbertpaddle_adapter_standins::store;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::gate::Passage;
use filbertpaddle_standins::proxy::Faults;

use crate::cluster::Cluster;
use crate::cluster::RunningNode;
use crate::history::ChangeKind;
use crate::history::Component;
use crate::schedule::DATA_CENTRES;
use crate::schedule::Fault;
use crate::schedule::Restart;
use crate::target_hosts::RunningTarget;
use crate::traffic;

/// Distance by which the store's clock jumps forward.
const CLOCK_JUMP_MS: u64 = 90_000;

/// A fault that has begun, with the state needed to end it.
#[derive(Debug)]
pub(crate) struct ActiveFault {
    fault: Fault,
    /// Number of the recorded disruption.
    disruption: Option<usize>,
    /// Number of the recorded change.
    change: Option<usize>,
    /// Incarnation of the node process that was paused.
    paused_incarnation: Option<usize>,
}

/// Injects a fault and records the disruption.
pub(crate) async fn begin(cluster: &mut Cluster, fault: Fault) -> ActiveFault {
    let disruption = affected_component(cluster, fault).map(|component| {
        let is_planned = matches!(
            fault,
            Fault::NodeTerminate(_) | Fault::NodeReload(_) | Fault::TargetDrain(_)
        );
        cluster.history.begin_disruption(component, is_planned)
    });
    let mut active = ActiveFault {
        fault,
        disruption,
        change: None,
        paused_incarnation: None,
    };
    match fault {
        Fault::Store(fault) => cluster.store.set_fault(fault),
        Fault::StoreClockJump => cluster.store.advance_clock(CLOCK_JUMP_MS),
        Fault::StoreHistoryLoss => cluster.store.drop_history(),
        Fault::TargetEntriesExpiry => {
            cluster.store.set_fault(store::Fault::Unavailable);
            for host in &cluster.target_hosts {
                cluster.store.remove_target(&host.options.id);
            }
        }
        Fault::StoreLink(node, link) => cluster.vms[node].to_store.set_link(link),
        Fault::PeerLink(node, link) => with_running_node(cluster, node, |running| {
            running.peers.set_link(link);
        }),
        Fault::CallerLink(node, link) => with_running_node(cluster, node, |running| {
            running.callers.set_link(link);
        }),
        Fault::TargetLink(target, link) => {
            with_running_target(cluster, target, |running| running.way.link.set_link(link));
        }
        Fault::TargetDelay(target, delay_ms) => with_running_target(cluster, target, |running| {
            running.way.link.set_faults(Faults {
                delay_ms,
                ..Faults::default()
            });
        }),
        Fault::TargetBehaviour(target, behaviour) => {
            with_running_target(cluster, target, |running| {
                running.target.set_behaviour(behaviour)
            });
        }
        Fault::Poison => {
            let (addresses, history) = (cluster.addresses.clone(), cluster.history.clone());
            let sender = tokio::spawn(traffic::send_poison(addresses, history));
            cluster.poison_senders.push(sender);
        }
        Fault::UnframedResponses(target, seed) => {
            with_running_target(cluster, target, |running| {
                running.target.set_unframed(Some(seed))
            });
        }
        Fault::TargetCrash(target) => cluster.crash_target(target).await,
        Fault::TargetExit(target, restart) => cluster.exit_target(target, restart).await,
        Fault::TargetDrain(target) => active.change = start_drain(cluster, target),
        Fault::NodePause(node) => active.paused_incarnation = cluster.pause_node(node),
        Fault::NodeKill(node) => cluster.kill_node(node).await,
        Fault::NodeTerminate(node) => cluster.terminate_node(node),
        Fault::NodeReload(node) => reload_settings(cluster, node),
        Fault::KeyRotation => cluster.rotate_key(),
        Fault::TargetRate(target, tenths) => active.change = state_rate(cluster, target, tenths),
        Fault::TargetsCut(number, cut) => {
            let kind = ChangeKind::TargetsCut(number);
            active.change = Some(cluster.history.record_change(kind));
            cluster.set_passage(number, cut).await;
        }
        Fault::DataCentreOut(number) => {
            cluster.begin_outage(number);
            let kind = ChangeKind::DataCentreOut(DATA_CENTRES[number].to_owned());
            active.change = Some(cluster.history.record_change(kind));
        }
    }
    active
}

/// Removes a fault and records the end of the disruption.
pub(crate) async fn end(cluster: &mut Cluster, active: ActiveFault) {
    if let Some(change) = active.change {
        cluster.history.end_change(change);
    }
    match active.fault {
        Fault::Store(_) => cluster.store.set_fault(store::Fault::None),
        Fault::TargetEntriesExpiry => {
            cluster.store.set_fault(store::Fault::None);
            cluster.announce_all_targets();
        }
        Fault::StoreLink(node, _) => cluster.vms[node].to_store.heal(),
        Fault::PeerLink(node, _) => {
            with_running_node(cluster, node, |running| running.peers.heal())
        }
        Fault::CallerLink(node, _) => {
            with_running_node(cluster, node, |running| running.callers.heal())
        }
        Fault::TargetLink(target, _) | Fault::TargetDelay(target, _) => {
            with_running_target(cluster, target, |running| running.way.link.heal());
        }
        Fault::TargetBehaviour(target, _) => with_running_target(cluster, target, |running| {
            running.target.set_behaviour(Behaviour::Normal);
        }),
        Fault::TargetRate(target, _) => with_running_target(cluster, target, |running| {
            running.target.set_rate_limit(None);
        }),
        Fault::UnframedResponses(target, _) => with_running_target(cluster, target, |running| {
            running.target.set_unframed(None);
        }),
        Fault::TargetCrash(target) | Fault::TargetExit(target, Restart::OtherAddress) => {
            cluster.restart_target(target).await;
        }
        Fault::TargetExit(target, Restart::SameAddress) => {
            cluster.restart_exited_target(target).await;
        }
        Fault::TargetDrain(target) => {
            cluster
                .store
                .remove_target(&cluster.target_hosts[target].options.id);
            cluster.crash_target(target).await;
            cluster.restart_target(target).await;
        }
        Fault::NodePause(node) => {
            if let Some(incarnation) = active.paused_incarnation {
                cluster.resume_node(node, incarnation);
            }
        }
        Fault::NodeKill(node) | Fault::NodeTerminate(node) => cluster.start_node(node).await,
        Fault::DataCentreOut(number) => cluster.end_outage(number),
        Fault::TargetsCut(number, _) => cluster.set_passage(number, Passage::Open).await,
        Fault::StoreClockJump
        | Fault::StoreHistoryLoss
        | Fault::NodeReload(_)
        | Fault::KeyRotation
        | Fault::Poison => {}
    }
    if let Some(disruption) = active.disruption {
        cluster.history.end_disruption(disruption);
    }
}

/// Returns the component that a fault disrupts; `None` for faults under which all
/// invariants must hold, such as broken links between nodes.
fn affected_component(cluster: &Cluster, fault: Fault) -> Option<Component> {
    match fault {
        Fault::Store(_)
        | Fault::StoreClockJump
        | Fault::StoreHistoryLoss
        | Fault::TargetEntriesExpiry => Some(Component::Store),
        Fault::StoreLink(node, _)
        | Fault::CallerLink(node, _)
        | Fault::NodePause(node)
        | Fault::NodeKill(node)
        | Fault::NodeTerminate(node)
        | Fault::NodeReload(node) => Some(Component::Node(node)),
        Fault::TargetLink(target, _)
        | Fault::TargetDelay(target, _)
        | Fault::TargetBehaviour(target, _)
        | Fault::TargetCrash(target)
        | Fault::TargetExit(target, _)
        | Fault::UnframedResponses(target, _)
        | Fault::TargetDrain(target) => Some(Component::Target(
            cluster.target_hosts[target].options.id.clone(),
        )),
        Fault::PeerLink(..)
        | Fault::KeyRotation
        | Fault::DataCentreOut(_)
        | Fault::TargetsCut(..)
        | Fault::TargetRate(..)
        | Fault::Poison => None,
    }
}

fn with_running_node<F>(cluster: &Cluster, node: usize, act: F)
where
    F: FnOnce(&RunningNode),
{
    if let Some(running) = &cluster.vms[node].running {
        act(running);
    }
}

fn with_running_target<F>(cluster: &Cluster, target: usize, act: F)
where
    F: FnOnce(&RunningTarget),
{
    if let Some(running) = &cluster.target_hosts[target].running {
        act(running);
    }
}

/// Announces that a target drains; returns the number of the recorded change.
fn start_drain(cluster: &Cluster, number: usize) -> Option<usize> {
    let host = &cluster.target_hosts[number];
    let running = host.running.as_ref()?;
    running.target.drain();
    let entry = running.target.announce(running.way.link.address);
    cluster.store.put_target(&host.options.id, &entry);
    let kind = ChangeKind::TargetDraining(host.options.id.clone(), host.options.incarnation);
    Some(cluster.history.record_change(kind))
}

/// Lets a target state a rate; returns the number of the recorded change.
fn state_rate(cluster: &Cluster, number: usize, tenths_per_sec: u32) -> Option<usize> {
    let host = &cluster.target_hosts[number];
    let running = host.running.as_ref()?;
    let per_sec = f64::from(tenths_per_sec) / 10.0;
    running.target.set_rate_limit(Some(&per_sec.to_string()));
    let kind = ChangeKind::RateStated(host.options.id.clone(), tenths_per_sec);
    Some(cluster.history.record_change(kind))
}

fn reload_settings(cluster: &Cluster, node: usize) {
    if let Some(running) = &cluster.vms[node].running {
        running.node.process.hang_up().unwrap();
    }
}

/// Removes all faults, including those that remain after overlapping faults have ended.
pub(crate) async fn heal_all(cluster: &mut Cluster) {
    cluster.store.set_fault(store::Fault::None);
    for number in 0..DATA_CENTRES.len() {
        cluster.set_passage(number, Passage::Open).await;
    }
    for number in 0..cluster.vms.len() {
        cluster.vms[number].to_store.heal();
        cluster.start_node(number).await;
        with_running_node(cluster, number, |running| {
            running.callers.heal();
            running.peers.heal();
        });
    }
    for number in 0..cluster.target_hosts.len() {
        with_running_target(cluster, number, |running| {
            running.way.link.heal();
            running.target.set_behaviour(Behaviour::Normal);
            running.target.set_unframed(None);
        });
        cluster.restart_target(number).await;
    }
    cluster.announce_all_targets();
}

/// The start or end of the fault with this number.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Begin(usize),
    End(usize),
}

/// Returns the starts and ends of all faults in order of time.
pub(crate) fn steps(faults: &[crate::schedule::ScheduledFault]) -> Vec<(Millis, Step)> {
    let begins = faults.iter().enumerate();
    let ends = faults.iter().enumerate();
    let mut steps: Vec<_> = begins
        .map(|(number, fault)| (fault.start_ms, Step::Begin(number)))
        .chain(ends.map(|(number, fault)| (fault.end_ms, Step::End(number))))
        .collect();
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    steps
}
