//! Brings faults about and takes them away.

use filbertpaddle_adapter_standins::store;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::proxy::Faults;
use filbertpaddle_standins::proxy::Link;

use crate::cluster::Cluster;
use crate::cluster::LiveTarget;
use crate::cluster::Running;
use crate::history::Place;
use crate::history::What;
use crate::schedule::DATA_CENTRES;
use crate::schedule::Fault;
use crate::traffic;

/// How far the store's clock jumps.
const JUMP_MS: u64 = 90_000;

/// A fault that has begun, with what its end needs to know.
#[derive(Debug)]
pub(crate) struct Begun {
    fault: Fault,
    disruption: Option<usize>,
    change: Option<usize>,
    /// Life of a process that was frozen.
    frozen: Option<usize>,
}

/// Begins a fault.
pub(crate) async fn begin(cluster: &mut Cluster, fault: Fault) -> Begun {
    let disruption = place(cluster, fault).map(|place| {
        let is_planned = matches!(
            fault,
            Fault::Terminate(_) | Fault::Reload(_) | Fault::TargetLeaves(_)
        );
        cluster.history.disrupt(place, is_planned)
    });
    let mut begun = Begun {
        fault,
        disruption,
        change: None,
        frozen: None,
    };
    match fault {
        Fault::Store(fault) => cluster.store.set_fault(fault),
        Fault::StoreClock => cluster.store.advance_clock(JUMP_MS),
        Fault::HistoryGone => cluster.store.drop_history(),
        Fault::EntriesLapse => {
            cluster.store.set_fault(store::Fault::Unavailable);
            for slot in &cluster.target_slots {
                cluster.store.remove_target(&slot.options.id);
            }
        }
        Fault::StoreLink(node, link) => cluster.vms[node].to_store.set_link(link),
        Fault::PeerLink(node, link) => on_running(cluster, node, |running| {
            running.peers.set_link(link);
        }),
        Fault::CallerLink(node, link) => on_running(cluster, node, |running| {
            running.callers.set_link(link);
        }),
        Fault::TargetLink(target, link) => {
            on_target(cluster, target, |life| life.link.set_link(link));
        }
        Fault::TargetDelay(target, delay_ms) => on_target(cluster, target, |life| {
            life.link.set_faults(Faults {
                link: Link::Open,
                delay_ms,
            });
        }),
        Fault::Behaviour(target, behaviour) => {
            on_target(cluster, target, |life| life.target.set_behaviour(behaviour));
        }
        Fault::Poison => {
            let (addresses, history) = (cluster.addresses.clone(), cluster.history.clone());
            let sender = tokio::spawn(traffic::poison(addresses, history));
            cluster.senders.push(sender);
        }
        Fault::TargetCrash(target) => cluster.crash_target(target).await,
        Fault::TargetLeaves(target) => begun.change = leave(cluster, target),
        Fault::Pause(node) => begun.frozen = cluster.freeze(node),
        Fault::Kill(node) => cluster.kill_node(node).await,
        Fault::Terminate(node) => cluster.terminate_node(node),
        Fault::Reload(node) => reload(cluster, node),
        Fault::NewKey => cluster.replace_key(),
        Fault::DataCentreOut(number) => {
            let name = DATA_CENTRES[number];
            cluster.store.set_data_centre(name, true);
            begun.change = Some(cluster.history.change(What::Out(name.to_owned())));
        }
    }
    begun
}

/// Ends a fault.
pub(crate) async fn end(cluster: &mut Cluster, begun: Begun) {
    if let Some(change) = begun.change {
        cluster.history.take_back(change);
    }
    match begun.fault {
        Fault::Store(_) => cluster.store.set_fault(store::Fault::None),
        Fault::EntriesLapse => {
            cluster.store.set_fault(store::Fault::None);
            cluster.announce_all();
        }
        Fault::StoreLink(node, _) => cluster.vms[node].to_store.heal(),
        Fault::PeerLink(node, _) => on_running(cluster, node, |running| running.peers.heal()),
        Fault::CallerLink(node, _) => on_running(cluster, node, |running| running.callers.heal()),
        Fault::TargetLink(target, _) | Fault::TargetDelay(target, _) => {
            on_target(cluster, target, |life| life.link.heal());
        }
        Fault::Behaviour(target, _) => on_target(cluster, target, |life| {
            life.target.set_behaviour(Behaviour::Normal);
        }),
        Fault::TargetCrash(target) => cluster.revive_target(target).await,
        Fault::TargetLeaves(target) => {
            cluster
                .store
                .remove_target(&cluster.target_slots[target].options.id);
            cluster.crash_target(target).await;
            cluster.revive_target(target).await;
        }
        Fault::Pause(node) => {
            if let Some(life) = begun.frozen {
                cluster.wake(node, life);
            }
        }
        Fault::Kill(node) | Fault::Terminate(node) => cluster.start_node(node).await,
        Fault::DataCentreOut(number) => cluster.store.set_data_centre(DATA_CENTRES[number], false),
        Fault::StoreClock
        | Fault::HistoryGone
        | Fault::Reload(_)
        | Fault::NewKey
        | Fault::Poison => {}
    }
    if let Some(disruption) = begun.disruption {
        cluster.history.calm(disruption);
    }
}

/// What a fault disrupts; links between nodes excuse nothing.
fn place(cluster: &Cluster, fault: Fault) -> Option<Place> {
    match fault {
        Fault::Store(_) | Fault::StoreClock | Fault::HistoryGone | Fault::EntriesLapse => {
            Some(Place::Store)
        }
        Fault::StoreLink(node, _)
        | Fault::CallerLink(node, _)
        | Fault::Pause(node)
        | Fault::Kill(node)
        | Fault::Terminate(node)
        | Fault::Reload(node) => Some(Place::Node(node)),
        Fault::TargetLink(target, _)
        | Fault::TargetDelay(target, _)
        | Fault::Behaviour(target, _)
        | Fault::TargetCrash(target)
        | Fault::TargetLeaves(target) => Some(Place::Target(
            cluster.target_slots[target].options.id.clone(),
        )),
        Fault::PeerLink(..) | Fault::NewKey | Fault::DataCentreOut(_) | Fault::Poison => None,
    }
}

fn on_running<F>(cluster: &Cluster, node: usize, act: F)
where
    F: FnOnce(&Running),
{
    if let Some(running) = &cluster.vms[node].running {
        act(running);
    }
}

fn on_target<F>(cluster: &Cluster, target: usize, act: F)
where
    F: FnOnce(&LiveTarget),
{
    if let Some(life) = &cluster.target_slots[target].life {
        act(life);
    }
}

/// Announces that a target leaves.
fn leave(cluster: &Cluster, number: usize) -> Option<usize> {
    let slot = &cluster.target_slots[number];
    let life = slot.life.as_ref()?;
    life.target.drain();
    let entry = life.target.announce(life.link.address);
    cluster.store.put_target(&slot.options.id, &entry);
    let what = What::Leaves(slot.options.id.clone(), slot.options.incarnation);
    Some(cluster.history.change(what))
}

fn reload(cluster: &Cluster, node: usize) {
    if let Some(running) = &cluster.vms[node].running {
        running.node.process.hang_up().unwrap();
    }
}

/// Takes away what the ends of overlapping faults may have left.
pub(crate) async fn heal_all(cluster: &mut Cluster) {
    cluster.store.set_fault(store::Fault::None);
    for number in 0..cluster.vms.len() {
        cluster.vms[number].to_store.heal();
        cluster.start_node(number).await;
        on_running(cluster, number, |running| {
            running.callers.heal();
            running.peers.heal();
        });
    }
    for number in 0..cluster.target_slots.len() {
        on_target(cluster, number, |life| {
            life.link.heal();
            life.target.set_behaviour(Behaviour::Normal);
        });
        cluster.revive_target(number).await;
    }
    cluster.announce_all();
}

/// When a fault begins or ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Begin(usize),
    End(usize),
}

/// Beginnings and ends in order of time.
pub(crate) fn steps(events: &[crate::schedule::Event]) -> Vec<(Millis, Step)> {
    let begins = events.iter().enumerate();
    let ends = events.iter().enumerate();
    let mut steps: Vec<_> = begins
        .map(|(number, event)| (event.at_ms, Step::Begin(number)))
        .chain(ends.map(|(number, event)| (event.until_ms, Step::End(number))))
        .collect();
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    steps
}
