//! State shared by all tasks of a node.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::rc::Rc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::crash_attribution::CrashAttribution;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::admission::Contention;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::direct_path::DirectPath;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::drain::Drain;
use filbertpaddle_forward::freshness::AgeLimits;
use filbertpaddle_forward::id_step::IdSteps;
use filbertpaddle_forward::invalid_entries::InvalidEntries;
use filbertpaddle_forward::load_table::LoadTable;
use filbertpaddle_forward::memory_budget::MemoryBudget;
use filbertpaddle_forward::relay_choice::RelayChoice;
use filbertpaddle_forward::remote_clock::RemoteClock;
use filbertpaddle_forward::retry_budget::RetryBudget;
use filbertpaddle_forward::service_pace::ServicePace;
use filbertpaddle_forward::service_path::ServicePath;
use filbertpaddle_forward::store_reading::FollowedPeer;
use filbertpaddle_forward::store_reading::Situation;
use filbertpaddle_forward::stream_versions::StreamVersions;
use filbertpaddle_forward::stream_versions::VersionHistory;
use filbertpaddle_forward::target::Incarnation;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::TargetSelector;
use filbertpaddle_http::buffer_limit::BufferLimit;
use indexmap::IndexMap;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::metrics::Metrics;
use crate::nodes::Nodes;
use crate::peer_message::Ages;
use crate::platform_api::NodeList;
use crate::platform_api::PlatformApi;
use crate::probe::SendTurn;
use crate::rollouts::RolloutView;
use crate::settings::Reloadable;
use crate::settings::Settings;
use crate::version_exchange::VersionExchange;
use crate::version_record::RecordCache;
use crate::watched_stream::PeerWatch;

/// Age of the data above which the store counts as lost while calls to it fail.
const STORE_LOST_AGE_MS: Millis = Millis(400);

/// State shared by all tasks of a node, which run on one thread.
#[derive(Debug)]
pub struct State {
    /// Settings as of the node's start.
    pub settings: Settings,
    /// Settings that are reread while the node runs.
    pub reloadable: watch::Sender<Reloadable>,
    /// Interface to the platform.
    pub platform: PlatformApi,
    /// Monotonic clock.
    pub clock: Clock,
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
    /// Connections to targets and the store.
    pub connections: Rc<ConnectionPool>,
    /// Distinguishes dead peers from those that read slowly.
    pub peer_watch: PeerWatch,
    /// Bounds on what the node holds of others.
    pub memory: MemoryBudget,
    /// Limit on the buffered responses of targets.
    pub target_buffers: BufferLimit,
    /// Limit on the buffered requests of callers.
    pub caller_buffers: BufferLimit,
    /// Limit on the buffered responses of the store.
    pub store_buffers: BufferLimit,
    /// Configuration, targets and data centres as read from the store.
    pub directory: RefCell<Directory>,
    /// The store's clock.
    pub store_clock: Cell<RemoteClock>,
    /// Entries of the store that cannot be decoded.
    pub invalid_entries: RefCell<InvalidEntries>,
    /// Whether this node reaches targets itself.
    pub direct_path: RefCell<DirectPath>,
    /// Whether requests of this node reach targets in service, by any path.
    pub service_path: Cell<ServicePath>,
    /// Notified when a connection to a target failed.
    pub probe_due: Notify,
    /// Which nodes are asked for connections to targets that this one does not reach.
    pub relay_choice: RefCell<RelayChoice>,
    /// Number of connections that this node relays for others.
    pub tunnels: Cell<usize>,
    /// Load and health of targets; selects the target of a request.
    pub selector: RefCell<TargetSelector>,
    /// Live nodes.
    pub nodes: RefCell<Nodes>,
    /// Status of the node that this one follows.
    pub followed_peer: Cell<FollowedPeer>,
    /// Time when the load of other nodes was last updated.
    pub other_load_ms: Cell<Millis>,
    /// Load that nodes have placed on targets.
    pub load_table: RefCell<LoadTable>,
    /// Time when the followed node was lost, or when this node could first follow one.
    pub peer_lost_ms: Cell<Millis>,
    /// Time when a node first refused this one, or had no data, while this one had none.
    turned_away_ms: Cell<Option<Millis>>,
    /// Random number from 0 to 1 that spreads the first reads of nodes that start together.
    first_read_draw: f64,
    budgets: RefCell<IndexMap<Name, RetryBudget>>,
    contention: RefCell<IndexMap<Name, Contention>>,
    /// Pace of the targets of each service.
    pub paces: RefCell<IndexMap<Name, ServicePace>>,
    /// What requests have in common that were waiting when their target crashed.
    pub suspects: RefCell<CrashAttribution>,
    /// Turn of the requests that find out whether blocked ones are sound.
    pub probe_turn: SendTurn,
    /// Steps of the event IDs of software versions.
    pub id_steps: RefCell<IdSteps>,
    /// Software versions that began streams.
    pub stream_versions: RefCell<StreamVersions>,
    /// Software versions that targets have had recently.
    pub version_history: RefCell<VersionHistory>,
    /// Whether the store was rolled back while this node ran.
    pub has_rolled_back: Cell<bool>,
    /// The store's record of versions that may have begun streams.
    pub version_record: RecordCache,
    /// Exchange of the versions that began streams, once its address is bound.
    pub version_exchange: OnceCell<VersionExchange>,
    /// Roll-outs of services.
    pub rollouts: RolloutView,
    /// Whether the node has tried to read the list of nodes.
    pub is_registered: Cell<bool>,
    /// Whether the node is about to exit and refuses all requests.
    pub is_closing: Cell<bool>,
    /// Whether the store has another address since the list of nodes was last read from it.
    pub is_store_moved: Cell<bool>,
    /// Time when the node last wrote its entry to the store.
    pub written_ms: Cell<Option<Millis>>,
    /// Notified when the node's entry is to be written again, or the list of nodes read again.
    pub registration_due: Notify,
    /// Whether the node answers by itself all requests that still wait for an answer.
    pub is_ending: watch::Sender<bool>,
    /// Drain of this node, once it has been signalled to stop.
    pub drain: Cell<Option<Drain>>,
    /// Number of callers' connections.
    pub connected: Cell<usize>,
    /// Number of requests that are being served.
    pub in_flight: Cell<usize>,
    /// Bytes of the bodies that they hold.
    pub held_bytes: Cell<usize>,
    changes: watch::Sender<u64>,
}

impl State {
    /// Creates the state of a node that has read nothing yet.
    pub fn new(settings: Settings, platform: PlatformApi, log: Logger) -> Rc<Self> {
        let clock = Clock::new();
        let memory = MemoryBudget::new(settings.memory_bytes);
        let peer_watch = PeerWatch::new(clock, log.clone(), memory.readers_bytes);
        let selector = TargetSelector::new(settings.node.clone(), settings.data_centre.clone());
        Rc::new(Self {
            reloadable: watch::Sender::new(settings.reloadable.clone()),
            rollouts: RolloutView::new(&settings),
            settings,
            platform,
            clock,
            log,
            metrics: Metrics::new(),
            connections: ConnectionPool::new(clock),
            peer_watch,
            memory,
            target_buffers: BufferLimit::of(memory.targets_bytes),
            caller_buffers: BufferLimit::of(memory.callers_bytes),
            store_buffers: BufferLimit::new(),
            directory: RefCell::new(Directory::new()),
            store_clock: Cell::default(),
            invalid_entries: RefCell::default(),
            direct_path: RefCell::new(DirectPath::new()),
            service_path: Cell::new(ServicePath::new()),
            probe_due: Notify::new(),
            relay_choice: RefCell::new(RelayChoice::new()),
            tunnels: Cell::new(0),
            selector: RefCell::new(selector),
            nodes: RefCell::new(Nodes::new()),
            followed_peer: Cell::default(),
            peer_lost_ms: Cell::default(),
            turned_away_ms: Cell::default(),
            first_read_draw: rand::random(),
            other_load_ms: Cell::default(),
            load_table: RefCell::new(LoadTable::new()),
            budgets: RefCell::default(),
            contention: RefCell::default(),
            paces: RefCell::default(),
            suspects: RefCell::new(CrashAttribution::new()),
            probe_turn: SendTurn::default(),
            id_steps: RefCell::new(IdSteps::new()),
            stream_versions: RefCell::new(StreamVersions::new()),
            version_history: RefCell::new(VersionHistory::new()),
            has_rolled_back: Cell::new(false),
            version_record: RecordCache::new(),
            version_exchange: OnceCell::new(),
            is_registered: Cell::new(false),
            is_closing: Cell::new(false),
            is_ending: watch::Sender::new(false),
            is_store_moved: Cell::new(false),
            written_ms: Cell::default(),
            registration_due: Notify::new(),
            drain: Cell::default(),
            connected: Cell::new(0),
            in_flight: Cell::new(0),
            held_bytes: Cell::new(0),
            changes: watch::Sender::new(0),
        })
    }

    /// Waits until the node answers by itself all requests that still wait for an answer.
    pub async fn ending(&self) {
        let mut is_ending = self.is_ending.subscribe();
        // The sender lives as long as `self`.
        is_ending.wait_for(|is_ending| *is_ending).await.ok();
    }

    /// Applies a batch from `source` that was up to date at `as_of_ms`.
    pub fn apply(&self, source: &str, as_of_ms: Millis, batch: &Batch) {
        self.record_era(batch.revision.era);
        let now = self.clock.now();
        let applied = self.directory.borrow_mut().apply(now, as_of_ms, batch);
        self.record_applied(source, as_of_ms, &applied);
    }

    /// Applies deferred changes whose waiting time is over.
    pub fn apply_due_changes(&self) {
        let now = self.clock.now();
        let applied = self.directory.borrow_mut().apply_due(now);
        self.record_applied("timer", now, &applied);
    }

    /// Records an era of the store. After a rollback, the tables are read again as a whole,
    /// and this node writes its own entry again.
    pub fn record_era(&self, era: u64) {
        let now = self.clock.now();
        let rewrite_ms = self.reloadable.borrow().rewrite_ms;
        let mut directory = self.directory.borrow_mut();
        let previous = directory.era();
        if !directory.record_era(now, era, rewrite_ms) {
            return;
        }
        drop(directory);
        warn!(self.log, "store was rolled back to an older copy, reading it again";
            "previous_era" => previous, "era" => era, "held_ms" => rewrite_ms.0);
        self.metrics.count("store.rolled_back");
        self.written_ms.set(None);
        self.registration_due.notify_one();
        self.has_rolled_back.set(true);
        self.version_record.clear();
    }

    /// Calls `action` with the retry budget of a service.
    pub fn with_budget<T, F>(&self, service: &Name, action: F) -> T
    where
        F: FnOnce(&mut RetryBudget) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        action(budgets.entry(service.clone()).or_default())
    }

    /// Calls `action` with the refusals of a service for want of room.
    pub fn with_contention<T, F>(&self, service: &Name, action: F) -> T
    where
        F: FnOnce(&mut Contention) -> T,
    {
        let mut contention = self.contention.borrow_mut();
        action(contention.entry(service.clone()).or_default())
    }

    /// Replaces the list of nodes; returns the entries to remove.
    pub fn update_nodes(&self, list: NodeList) -> Vec<Name> {
        let mut nodes = self.nodes.borrow_mut();
        let former = nodes.fingerprint();
        let dropped = nodes.update(self.clock.now(), list);
        let names: Vec<_> = nodes.live().iter().map(|node| node.name.clone()).collect();
        if nodes.fingerprint() != former {
            info!(self.log, "live nodes changed"; "nodes" => names.len(),
                "listed_ms" => nodes.listed_ms().0);
        }
        self.selector.borrow_mut().set_nodes(names);
        dropped
    }

    /// Records what a peer states about its data. If it knows a later list of nodes than this
    /// reader, and other nodes, the list is read again.
    pub fn record_peer_ages(&self, ages: &Ages) {
        self.record_era(ages.era);
        let nodes = self.nodes.borrow();
        let is_later = ages.listed_ms > nodes.listed_ms();
        let is_other = ages.nodes_fingerprint != nodes.fingerprint();
        drop(nodes);
        if is_later && is_other && self.is_reader() {
            self.registration_due.notify_one();
        }
    }

    /// Records that a node has opened a link. If it is not in this reader's list, the list is
    /// read again.
    pub fn record_peer(&self, node: &Name) {
        if !self.nodes.borrow().is_live(node) && self.is_reader() {
            self.registration_due.notify_one();
        }
    }

    /// Returns a receiver that is notified when targets, the configuration or the followed
    /// node's status change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Notifies all subscribers of a change.
    pub fn notify(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Marks a target as draining after it has announced itself that it leaves, to this node
    /// or to the one that `source` names.
    pub fn mark_target_draining(&self, target: &Incarnation, source: &str) {
        let is_new = self.directory.borrow_mut().mark_draining(target);
        if is_new {
            info!(self.log, "target announces that it leaves, sending no more requests";
                "target" => target.id.as_str(), "address" => target.address.as_str(),
                "source" => source);
            self.notify();
        }
    }

    /// Returns whether a target is draining or no longer listed.
    pub fn is_leaving(&self, target: &Target) -> bool {
        let directory = self.directory.borrow();
        let listed = directory.target(&target.id);
        !listed.is_some_and(|listed| listed.is_same_incarnation(target) && !listed.is_draining)
    }

    /// Returns whether a target is listed, draining or not.
    pub fn is_listed(&self, target: &Target) -> bool {
        let directory = self.directory.borrow();
        let listed = directory.target(&target.id);
        listed.is_some_and(|listed| listed.is_same_incarnation(target))
    }

    /// Returns the age of this node's data of a table.
    pub fn data_age_ms(&self, table: Table) -> Millis {
        let as_of_ms = self.directory.borrow().current_at_ms(table);
        self.clock.now().since(as_of_ms)
    }

    /// Returns the limits on the age of data that the settings in force require.
    pub fn age_limits(&self) -> AgeLimits {
        AgeLimits::within(self.reloadable.borrow().apply_ms)
    }

    /// Returns the time when this node's data becomes too old to rely on another for newer.
    fn outdated_from_ms(&self) -> Millis {
        let directory = self.directory.borrow();
        let tables = [Table::Operator, Table::Targets];
        let [operator_ms, targets_ms] = tables.map(|table| directory.current_at_ms(table));
        operator_ms.min(targets_ms) + self.age_limits().max_age_ms
    }

    /// Records the age of this node's data in the metrics.
    pub fn record_data_ages(&self) {
        let operator_ms = self.data_age_ms(Table::Operator);
        let targets_ms = self.data_age_ms(Table::Targets);
        self.metrics.time("age.operator", operator_ms);
        self.metrics.time("age.targets", targets_ms);
    }

    /// Returns what the decision to read the store depends on.
    pub fn reading_situation(&self) -> Situation {
        Situation {
            is_reader: self.is_reader(),
            has_data: self.has_data(),
            followed: self.followed_peer.get(),
            outdated_from_ms: self.outdated_from_ms(),
            peer_lost_ms: self.peer_lost_ms.get(),
            turned_away_ms: self.turned_away_ms.get(),
            nodes: self.nodes.borrow().live().len(),
            draw: self.first_read_draw,
        }
    }

    /// Returns whether this node reads the store now.
    pub fn must_read(&self) -> bool {
        let from_ms = self.reading_situation().read_from_ms();
        from_ms.is_some_and(|from_ms| self.clock.now() >= from_ms)
    }

    /// Returns whether this node has read or received all tables.
    pub fn has_data(&self) -> bool {
        self.directory.borrow().is_complete()
    }

    /// Records that the node has tried to read the list of nodes.
    pub fn record_registered(&self) {
        if self.is_registered.replace(true) {
            return;
        }
        let now = self.clock.now();
        self.peer_lost_ms.set(now);
        // The delay depends on the number of nodes, which is known only now.
        let turned_away_ms = self.turned_away_ms.get();
        self.turned_away_ms.set(turned_away_ms.map(|_| now));
    }

    /// Records that a node refused this one or has no data. If this one has none either, it does
    /// not wait for others for long, but on the first start of the whole system.
    pub fn record_turned_away(&self) {
        let is_known = self.turned_away_ms.get().is_some();
        if self.has_data() || self.reloadable.borrow().is_first_start || is_known {
            return;
        }
        self.turned_away_ms.set(Some(self.clock.now()));
        let situation = self.reading_situation();
        info!(self.log, "no node has data for this one, reading the store";
            "is_reader" => situation.is_reader, "nodes" => situation.nodes,
            "from_ms" => situation.read_from_ms().map(|from_ms| from_ms.0),
            "now_ms" => self.clock.now().0);
    }

    /// Returns whether this node reads the store for its data centre.
    pub fn is_reader(&self) -> bool {
        // Before the first read, the list of nodes may be incomplete.
        if !self.is_registered.get() {
            return false;
        }
        let now = self.clock.now();
        let nodes = self.nodes.borrow();
        let readers = nodes.readers(now, &self.settings.data_centre);
        readers.is_empty() || readers.iter().any(|node| node.name == self.settings.node)
    }

    /// Returns whether the store's current data is unavailable, judged by this node's own
    /// calls or reported by the node that it follows.
    pub fn is_store_lost(&self) -> bool {
        if self.must_read() {
            let age_ms = self
                .data_age_ms(Table::Operator)
                .max(self.data_age_ms(Table::Targets));
            self.directory.borrow().is_store_lost() && age_ms > STORE_LOST_AGE_MS
        } else {
            self.followed_peer.get().is_store_lost
        }
    }

    /// Returns whether nodes that follow this one must read the store themselves.
    pub fn lacks_data(&self) -> bool {
        self.is_store_lost() || !self.has_data()
    }

    /// Sets the status of the followed node.
    pub fn set_followed_peer(&self, status: FollowedPeer) {
        let previous = self.followed_peer.replace(status);
        if previous.is_up && !status.is_up {
            self.peer_lost_ms.set(self.clock.now());
        }
        if previous != status {
            self.notify();
        }
    }

    /// Returns whether the balancer may send callers here.
    pub fn is_ready(&self) -> bool {
        self.drain.get().is_none() && self.has_data() && !self.is_path_lost()
    }
}
