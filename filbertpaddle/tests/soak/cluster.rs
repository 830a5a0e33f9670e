//! The cluster under test: node processes, a proxy on each link, and stand-ins for
//! the store and the targets.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::configuration::Configuration;
use filbertpaddle_adapter_standins::node;
use filbertpaddle_adapter_standins::node::Node;
use filbertpaddle_adapter_standins::run_log::RunLog;
use filbertpaddle_adapter_standins::store::Store;
use filbertpaddle_adapter_standins::store::View;
use filbertpaddle_adapter_standins::target::Copies;
use filbertpaddle_standins::gate::Passage;
use filbertpaddle_standins::loopback::next_host;
use filbertpaddle_standins::proxy::Proxy;
use tokio::task::JoinHandle;
use tokio::task::block_in_place;

use crate::history::ChangeKind;
use crate::history::Component;
use crate::history::History;
use crate::invariants;
use crate::invariants::GRACE_SEC;
use crate::schedule::DATA_CENTRES;
use crate::schedule::Size;
use crate::target_hosts::TargetHost;

const NODE_PROGRAM: &str = env!("CARGO_BIN_EXE_filbertpaddle");
/// Time beyond its grace period that a stopping node may run.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// Addresses at which callers reach the nodes, and the version of the current API key.
#[derive(Clone, Debug)]
pub(crate) struct Addresses {
    addresses: Arc<Vec<Mutex<SocketAddr>>>,
    key_version: Arc<AtomicU64>,
}

impl Addresses {
    pub(crate) fn address(&self, node: usize) -> SocketAddr {
        *self.addresses[node].lock().unwrap()
    }

    pub(crate) fn count(&self) -> usize {
        self.addresses.len()
    }

    pub(crate) fn key_version(&self) -> u64 {
        self.key_version.load(Ordering::Relaxed)
    }
}

/// A running node process and the links to it.
#[derive(Debug)]
pub(crate) struct RunningNode {
    pub(crate) node: Node,
    pub(crate) incarnation: usize,
    is_paused: bool,
    pub(crate) callers: Proxy,
    pub(crate) peers: Proxy,
}

/// A VM, on which successive node processes run.
#[derive(Debug)]
pub(crate) struct Vm {
    ip: Ipv4Addr,
    pub(crate) to_store: Proxy,
    pub(crate) running: Option<RunningNode>,
    incarnations: usize,
}

/// A node process that was signalled to stop.
#[derive(Debug)]
struct StoppingNode {
    vm: usize,
    since: Instant,
    running: RunningNode,
}

/// A cluster of nodes and targets with its store, and the record of the run.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) store: Store,
    pub(crate) run_log: RunLog,
    pub(crate) history: History,
    pub(crate) addresses: Addresses,
    pub(crate) vms: Vec<Vm>,
    pub(crate) target_hosts: Vec<TargetHost>,
    /// Views of the store for the nodes of each data centre.
    pub(crate) views: Vec<View>,
    /// What passes from the nodes of each data centre to targets.
    pub(crate) passages: [Passage; DATA_CENTRES.len()],
    /// Number of faults that keep each data centre out of service now.
    outages: [usize; DATA_CENTRES.len()],
    /// Tasks that resend requests that crash targets.
    pub(crate) poison_senders: Vec<JoinHandle<()>>,
    stopping: Vec<StoppingNode>,
    pub(crate) copies: Copies,
    folder: PathBuf,
}

impl Cluster {
    pub(crate) async fn start(name: &str, size: &Size) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        // Removes the logs of an earlier run of the seed, if any.
        std::fs::remove_dir_all(&folder).ok();
        std::fs::create_dir_all(&folder).unwrap();
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let addresses = (0..size.nodes).map(|_| Mutex::new(unset)).collect();
        let mut store = Store::start().await.unwrap();
        let mut views = Vec::new();
        for _ in DATA_CENTRES {
            views.push(store.add_view().await.unwrap());
        }
        let mut cluster = Self {
            store,
            views,
            passages: Default::default(),
            run_log: RunLog::new(),
            history: History::default(),
            addresses: Addresses {
                addresses: Arc::new(addresses),
                key_version: Arc::default(),
            },
            vms: Vec::new(),
            target_hosts: Vec::new(),
            outages: Default::default(),
            poison_senders: Vec::new(),
            stopping: Vec::new(),
            copies: Copies::default(),
            folder,
        };
        cluster.rotate_key();
        for number in 0..2 * size.targets {
            cluster.add_target_host(number).await;
        }
        for number in 0..size.nodes {
            let view = cluster.views[number % DATA_CENTRES.len()];
            let to_store = Proxy::start(view.address).await.unwrap();
            cluster.vms.push(Vm {
                ip: next_host(),
                to_store,
                running: None,
                incarnations: 0,
            });
            cluster.start_node(number).await;
        }
        cluster
    }

    /// Replaces the customer's API key.
    pub(crate) fn rotate_key(&mut self) {
        let version = self.addresses.key_version() + 1;
        let configuration = Configuration {
            version,
            keys: vec![invariants::api_key(version)],
            stream_timeout_ms: invariants::STREAM_TIMEOUT_MS,
            plain_timeout_ms: invariants::PLAIN_TIMEOUT_MS,
            cold_per_sec: invariants::COLD_PER_SEC,
        };
        self.store.put_configuration(&configuration.to_json());
        self.history.record_change(ChangeKind::KeyRotated(version));
        self.addresses.key_version.store(version, Ordering::Relaxed);
    }

    /// Takes a data centre out of service.
    pub(crate) fn begin_outage(&mut self, number: usize) {
        self.outages[number] += 1;
        self.store.set_data_centre(DATA_CENTRES[number], true);
    }

    /// Takes a data centre back into service, unless another fault still keeps it out.
    pub(crate) fn end_outage(&mut self, number: usize) {
        self.outages[number] -= 1;
        if self.outages[number] == 0 {
            self.store.set_data_centre(DATA_CENTRES[number], false);
        }
    }

    /// Starts a node process on a VM that runs none.
    pub(crate) async fn start_node(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if vm.running.is_some() {
            return;
        }
        vm.incarnations += 1;
        let incarnation = vm.incarnations;
        let options = self.node_options(number);
        let node = block_in_place(|| Node::start(Path::new(NODE_PROGRAM), &self.folder, &options));
        let node = node.unwrap();
        let callers = Proxy::start(node.addresses.callers).await.unwrap();
        let peers = Proxy::start(node.addresses.peers).await.unwrap();
        self.store
            .replace_address(node.addresses.peers, peers.address);
        *self.addresses.addresses[number].lock().unwrap() = callers.address;
        self.vms[number].running = Some(RunningNode {
            node,
            incarnation,
            is_paused: false,
            callers,
            peers,
        });
    }

    pub(crate) fn node_options(&self, number: usize) -> node::Options {
        let vm = &self.vms[number];
        let running = self.vms.iter().filter_map(|vm| vm.running.as_ref());
        node::Options {
            name: format!("node-{number}-{}", vm.incarnations),
            ip: vm.ip,
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
            store: vm.to_store.address,
            seeds: running.map(|running| running.peers.address).collect(),
            grace_s: GRACE_SEC,
            // VMs do not start together here, as on a first start.
            is_first_start: false,
            has_rollouts: false,
            memory_mb: None,
        }
    }

    pub(crate) async fn kill_node(&mut self, number: usize) {
        if let Some(running) = self.vms[number].running.take() {
            running.close().await;
        }
    }

    /// Signals the node process of a VM to stop.
    pub(crate) fn terminate_node(&mut self, number: usize) {
        if let Some(running) = self.vms[number].running.take() {
            running.node.process.terminate().unwrap();
            self.stopping.push(StoppingNode {
                vm: number,
                since: Instant::now(),
                running,
            });
        }
    }

    /// Pauses the node process of a VM; returns its incarnation, or `None` if none runs
    /// or it is paused already.
    pub(crate) fn pause_node(&mut self, number: usize) -> Option<usize> {
        let running = self.vms[number].running.as_mut()?;
        if running.is_paused {
            return None;
        }
        running.node.process.pause().unwrap();
        running.is_paused = true;
        Some(running.incarnation)
    }

    /// Resumes a paused node process, if it has not ended.
    pub(crate) fn resume_node(&mut self, number: usize, incarnation: usize) {
        let running = self.vms[number].running.iter_mut();
        let stopping = self
            .stopping
            .iter_mut()
            .filter(|stopping| stopping.vm == number);
        let all = running.chain(stopping.map(|stopping| &mut stopping.running));
        for running in all.filter(|running| running.incarnation == incarnation) {
            running.node.process.resume().unwrap();
            running.is_paused = false;
        }
    }

    /// Checks that node processes end if, and only if, they were signalled to; restarts
    /// crashed targets.
    pub(crate) async fn check_processes(&mut self) {
        self.restart_crashed_targets().await;
        for (number, vm) in self.vms.iter_mut().enumerate() {
            if let Some(running) = &mut vm.running
                && running.node.process.has_ended().unwrap()
            {
                self.history
                    .record_violation(format!("node {number} ended without being told to stop"));
                vm.running = None;
            }
        }
        for mut stopping in std::mem::take(&mut self.stopping) {
            if !stopping.running.node.process.has_ended().unwrap() && !self.is_overdue(&stopping) {
                self.stopping.push(stopping);
                continue;
            }
            stopping.close(&self.history).await;
        }
    }

    /// Returns whether a process still runs though its grace period is over and nothing
    /// has disrupted it since it was signalled to stop.
    fn is_overdue(&self, stopping: &StoppingNode) -> bool {
        let grace = Duration::from_secs(GRACE_SEC.into());
        let component = Component::Node(stopping.vm);
        let events = self.history.events();
        stopping.since.elapsed() > grace + STOP_SLACK
            && events.is_undisrupted(stopping.since, Instant::now(), |disruption| {
                disruption.component == component && !disruption.is_planned
            })
    }

    /// Returns whether all processes that were signalled to stop and all poison senders have
    /// ended.
    pub(crate) fn is_settled(&self) -> bool {
        self.stopping.is_empty() && self.poison_senders.iter().all(JoinHandle::is_finished)
    }

    /// Returns whether no target runs a generation.
    pub(crate) fn is_idle(&self) -> bool {
        let mut running_targets = self
            .target_hosts
            .iter()
            .filter_map(|host| host.running.as_ref());
        running_targets.all(|running| running.target.running().is_empty())
    }

    pub(crate) async fn close(self) {
        for vm in self.vms {
            if let Some(running) = vm.running {
                running.close().await;
            }
            vm.to_store.close().await;
        }
        for stopping in self.stopping {
            stopping.running.close().await;
        }
        for running in self
            .target_hosts
            .into_iter()
            .filter_map(|host| host.running)
        {
            running.close().await;
        }
        self.store.close();
    }
}

impl StoppingNode {
    async fn close(mut self, history: &History) {
        let vm = self.vm;
        let process = &mut self.running.node.process;
        if !process.has_ended().unwrap() {
            history.record_violation(format!(
                "node {vm} still runs {STOP_SLACK:?} after its grace period of {GRACE_SEC} s"
            ));
        } else {
            let status = process.wait().unwrap();
            if !status.success() {
                history.record_violation(format!(
                    "node {vm} was told to stop and ended with {status}"
                ));
            }
        }
        self.running.close().await;
    }
}

impl RunningNode {
    async fn close(self) {
        self.node.close().unwrap();
        self.callers.close().await;
        self.peers.close().await;
    }
}
