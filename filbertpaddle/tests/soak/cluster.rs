//! Nodes as processes, with a proxy on each link, a store and targets.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::configuration::APP_SERVICE;
use filbertpaddle_adapter_standins::configuration::Configuration;
use filbertpaddle_adapter_standins::configuration::ENGINE_SERVICE;
use filbertpaddle_adapter_standins::node;
use filbertpaddle_adapter_standins::node::Node;
use filbertpaddle_adapter_standins::run_log::RunLog;
use filbertpaddle_adapter_standins::store::Store;
use filbertpaddle_adapter_standins::target;
use filbertpaddle_adapter_standins::target::Copies;
use filbertpaddle_adapter_standins::target::Target;
use filbertpaddle_standins::proxy::Proxy;
use tokio::task::JoinHandle;
use tokio::task::block_in_place;

use crate::history::History;
use crate::history::Life;
use crate::history::Place;
use crate::history::What;
use crate::promises;
use crate::promises::GRACE_SEC;
use crate::schedule::DATA_CENTRES;
use crate::schedule::Size;

const PROGRAM: &str = env!("CARGO_BIN_EXE_filbertpaddle");
const EVENT_MS: u64 = 20;
const WORK_MS: u64 = 15;
const COLD: Duration = Duration::from_secs(1);
/// How long a target is down that a request has crashed.
const DOWN: Duration = Duration::from_secs(1);
/// How much longer than its grace a stopping node may live.
const STOP_SLACK: Duration = Duration::from_secs(1);

/// Where callers reach the nodes, and the key that they send.
#[derive(Clone, Debug)]
pub(crate) struct Addresses {
    addresses: Arc<Vec<Mutex<SocketAddr>>>,
    key: Arc<AtomicU64>,
}

impl Addresses {
    pub(crate) fn address(&self, node: usize) -> SocketAddr {
        *self.addresses[node].lock().unwrap()
    }

    pub(crate) fn count(&self) -> usize {
        self.addresses.len()
    }

    pub(crate) fn key(&self) -> u64 {
        self.key.load(Ordering::Relaxed)
    }
}

/// A process and the links to it.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) node: Node,
    pub(crate) life: usize,
    is_frozen: bool,
    pub(crate) callers: Proxy,
    pub(crate) peers: Proxy,
}

/// A VM, on which one process runs after another.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) to_store: Proxy,
    pub(crate) running: Option<Running>,
    lives: usize,
}

/// A process that was told to stop.
#[derive(Debug)]
struct Stopping {
    vm: usize,
    since: Instant,
    running: Running,
}

/// Where one life of a target follows another.
#[derive(Debug)]
pub(crate) struct TargetSlot {
    pub(crate) options: target::Options,
    pub(crate) life: Option<LiveTarget>,
    /// When a target that a request crashed comes back, and the disruption.
    revival: Option<(Instant, usize)>,
}

/// A target and the link to it.
#[derive(Debug)]
pub(crate) struct LiveTarget {
    pub(crate) target: Target,
    pub(crate) link: Proxy,
}

/// All of it.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) store: Store,
    pub(crate) ledger: RunLog,
    pub(crate) history: History,
    pub(crate) addresses: Addresses,
    pub(crate) vms: Vec<Vm>,
    pub(crate) target_slots: Vec<TargetSlot>,
    /// Callers that resend what crashes targets.
    pub(crate) senders: Vec<JoinHandle<()>>,
    stopping: Vec<Stopping>,
    copies: Copies,
    folder: PathBuf,
}

impl Cluster {
    pub(crate) async fn start(name: &str, size: &Size) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        // Logs of an earlier run of the seed; there may be none.
        std::fs::remove_dir_all(&folder).ok();
        std::fs::create_dir_all(&folder).unwrap();
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let addresses = (0..size.nodes).map(|_| Mutex::new(unset)).collect();
        let mut cluster = Self {
            store: Store::start().await.unwrap(),
            ledger: RunLog::new(),
            history: History::default(),
            addresses: Addresses {
                addresses: Arc::new(addresses),
                key: Arc::default(),
            },
            vms: Vec::new(),
            target_slots: Vec::new(),
            senders: Vec::new(),
            stopping: Vec::new(),
            copies: Copies::default(),
            folder,
        };
        cluster.replace_key();
        for number in 0..2 * size.targets {
            cluster.add_target_slot(number).await;
        }
        for number in 0..size.nodes {
            let to_store = Proxy::start(cluster.store.address).await.unwrap();
            cluster.vms.push(Vm {
                to_store,
                running: None,
                lives: 0,
            });
            cluster.start_node(number).await;
        }
        cluster
    }

    /// Replaces the customer's key.
    pub(crate) fn replace_key(&mut self) {
        let version = self.addresses.key() + 1;
        let configuration = Configuration {
            version,
            keys: vec![promises::key(version)],
            stream_timeout_ms: promises::STREAM_TIMEOUT_MS,
            plain_timeout_ms: promises::PLAIN_TIMEOUT_MS,
            cold_per_sec: promises::COLD_PER_SEC,
        };
        self.store.put_configuration(&configuration.to_json());
        self.history.change(What::Key(version));
        self.addresses.key.store(version, Ordering::Relaxed);
    }

    async fn add_target_slot(&mut self, number: usize) {
        let service = if number.is_multiple_of(2) {
            ENGINE_SERVICE
        } else {
            APP_SERVICE
        };
        let options = target::Options {
            id: format!("target-{number}"),
            service: service.to_owned(),
            data_centre: DATA_CENTRES[number / 2 % DATA_CENTRES.len()].to_owned(),
            event_ms: EVENT_MS,
            work_ms: WORK_MS,
            cold_ms: 0,
            incarnation: 1,
        };
        let slot = self.start_target(options).await;
        self.target_slots.push(slot);
    }

    async fn start_target(&self, options: target::Options) -> TargetSlot {
        let (ledger, copies) = (self.ledger.clone(), self.copies.clone());
        let target = Target::start(options.clone(), ledger, copies)
            .await
            .unwrap();
        let link = Proxy::start(target.address).await.unwrap();
        self.history.events().lives.push(Life {
            id: options.id.clone(),
            data_centre: options.data_centre.clone(),
            number: options.incarnation,
            from: Instant::now(),
            cold: Duration::from_millis(options.cold_ms),
        });
        let entry = target.announce(link.address);
        self.store.put_target(&options.id, &entry);
        TargetSlot {
            options,
            life: Some(LiveTarget { target, link }),
            revival: None,
        }
    }

    /// Writes the entries of all targets again.
    pub(crate) fn announce_all(&self) {
        for slot in &self.target_slots {
            if let Some(life) = &slot.life {
                let entry = life.target.announce(life.link.address);
                self.store.put_target(&slot.options.id, &entry);
            }
        }
    }

    /// Closes a target, if it runs.
    pub(crate) async fn crash_target(&mut self, number: usize) {
        if let Some(life) = self.target_slots[number].life.take() {
            life.target.close();
            life.link.close().await;
        }
    }

    /// Starts another life of a target that was closed, on another address.
    pub(crate) async fn revive_target(&mut self, number: usize) {
        if self.target_slots[number].life.is_some() {
            return;
        }
        let mut options = self.target_slots[number].options.clone();
        options.incarnation += 1;
        options.cold_ms = u64::try_from(COLD.as_millis()).unwrap();
        self.target_slots[number] = self.start_target(options).await;
    }

    /// Takes down targets that a request has crashed, and brings them back.
    async fn watch_targets(&mut self) {
        for number in 0..self.target_slots.len() {
            let slot = &mut self.target_slots[number];
            let crashed_at = slot.life.as_ref().and_then(|life| life.target.crashed_at());
            if let Some(at) = crashed_at {
                let place = Place::Target(slot.options.id.clone());
                let disruption = self.history.disrupt_since(at, place);
                slot.revival = Some((at + DOWN, disruption));
                self.crash_target(number).await;
            } else if let Some((at, disruption)) = slot.revival
                && at <= Instant::now()
            {
                slot.revival = None;
                self.revive_target(number).await;
                self.history.calm(disruption);
            }
        }
    }

    /// Starts a process on a VM that has none.
    pub(crate) async fn start_node(&mut self, number: usize) {
        let vm = &mut self.vms[number];
        if vm.running.is_some() {
            return;
        }
        vm.lives += 1;
        let life = vm.lives;
        let options = self.node_options(number);
        let node = block_in_place(|| Node::start(Path::new(PROGRAM), &self.folder, &options));
        let node = node.unwrap();
        let callers = Proxy::start(node.addresses.callers).await.unwrap();
        let peers = Proxy::start(node.addresses.peers).await.unwrap();
        self.store
            .replace_address(node.addresses.peers, peers.address);
        *self.addresses.addresses[number].lock().unwrap() = callers.address;
        self.vms[number].running = Some(Running {
            node,
            life,
            is_frozen: false,
            callers,
            peers,
        });
    }

    pub(crate) fn node_options(&self, number: usize) -> node::Options {
        let vm = &self.vms[number];
        let running = self.vms.iter().filter_map(|vm| vm.running.as_ref());
        node::Options {
            name: format!("node-{number}-{}", vm.lives),
            data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].to_owned(),
            store: vm.to_store.address,
            seeds: running.map(|running| running.peers.address).collect(),
            grace_s: GRACE_SEC,
        }
    }

    pub(crate) async fn kill_node(&mut self, number: usize) {
        if let Some(running) = self.vms[number].running.take() {
            running.close().await;
        }
    }

    /// Tells the process of a VM to stop.
    pub(crate) fn terminate_node(&mut self, number: usize) {
        if let Some(running) = self.vms[number].running.take() {
            running.node.process.terminate().unwrap();
            self.stopping.push(Stopping {
                vm: number,
                since: Instant::now(),
                running,
            });
        }
    }

    /// Freezes the process of a VM; returns its life unless it is frozen already.
    pub(crate) fn freeze(&mut self, number: usize) -> Option<usize> {
        let running = self.vms[number].running.as_mut()?;
        if running.is_frozen {
            return None;
        }
        running.node.process.pause().unwrap();
        running.is_frozen = true;
        Some(running.life)
    }

    /// Wakes a frozen process, if it still lives.
    pub(crate) fn wake(&mut self, number: usize, life: usize) {
        let running = self.vms[number].running.iter_mut();
        let stopping = self
            .stopping
            .iter_mut()
            .filter(|stopping| stopping.vm == number);
        let all = running.chain(stopping.map(|stopping| &mut stopping.running));
        for running in all.filter(|running| running.life == life) {
            running.node.process.resume().unwrap();
            running.is_frozen = false;
        }
    }

    /// Looks at the processes: none ends unless told, all that are told do.
    pub(crate) async fn watch(&mut self) {
        self.watch_targets().await;
        for (number, vm) in self.vms.iter_mut().enumerate() {
            if let Some(running) = &mut vm.running
                && running.node.process.has_ended().unwrap()
            {
                self.history
                    .broken(format!("node {number} ended by itself"));
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

    /// Whether a process has not ended though its grace is over.
    fn is_overdue(&self, stopping: &Stopping) -> bool {
        let grace = Duration::from_secs(GRACE_SEC.into());
        let place = Place::Node(stopping.vm);
        let events = self.history.events();
        stopping.since.elapsed() > grace + STOP_SLACK
            && events.is_calm(stopping.since, Instant::now(), |disruption| {
                disruption.place == place && !disruption.is_planned
            })
    }

    /// Whether all processes that were told to stop have ended, and all senders.
    pub(crate) fn is_settled(&self) -> bool {
        self.stopping.is_empty() && self.senders.iter().all(JoinHandle::is_finished)
    }

    /// Whether no target runs a generation.
    pub(crate) fn is_idle(&self) -> bool {
        let mut lives = self
            .target_slots
            .iter()
            .filter_map(|slot| slot.life.as_ref());
        lives.all(|life| life.target.running().is_empty())
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
        for life in self.target_slots.into_iter().filter_map(|slot| slot.life) {
            life.target.close();
            life.link.close().await;
        }
        self.store.close();
    }
}

impl Stopping {
    async fn close(mut self, history: &History) {
        let vm = self.vm;
        let process = &mut self.running.node.process;
        if !process.has_ended().unwrap() {
            history.broken(format!("node {vm} outlived its grace"));
        } else {
            let status = process.wait().unwrap();
            if !status.success() {
                history.broken(format!("node {vm} stopped with {status}"));
            }
        }
        self.running.close().await;
    }
}

impl Running {
    async fn close(self) {
        self.node.close().unwrap();
        self.callers.close().await;
        self.peers.close().await;
    }
}
