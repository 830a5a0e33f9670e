//! Actor that replicates the configuration on this node.
//!
//! Runs the core's [`Replicator`]: reads changes from the platform's table,
//! exchanges them with other nodes and publishes the resulting snapshots.

use std::sync::Arc;

use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::Key;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::gossip::Action;
use filbertpaddle_core::gossip::Event;
use filbertpaddle_core::gossip::Message;
use filbertpaddle_core::relay::Member;
use filbertpaddle_core::replicator::Replicator;
use filbertpaddle_core::replicator::TICK_INTERVAL_MS;
use filbertpaddle_platform::client::Client;
use filbertpaddle_wire::config;
use filbertpaddle_wire::message;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::watch;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;
use xtra::WeakAddress;

use crate::clock;
use crate::clock::Clock;
use crate::config_snapshot::ConfigReader;
use crate::config_snapshot::ConfigSnapshot;
use crate::config_status::Report;
use crate::config_status::StatusTracker;
use crate::config_table;
use crate::inbox::Incoming;
use crate::metrics::Metrics;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::shared_availability::SharedAvailability;

/// Dependencies of the actor.
#[derive(Debug)]
pub struct Dependencies {
    /// This node.
    pub own: Peer,
    /// Connections to other nodes.
    pub peers: Peers,
    /// Replication messages from other nodes.
    pub inbox: mpsc::Receiver<Incoming<config::Message>>,
    /// Client of the platform, whose table stores the configuration.
    pub platform: Client,
    /// Receives the operators' decisions on VMs and data centres.
    pub availability: SharedAvailability,
    /// The node's clock.
    pub clock: Clock,
    /// Metrics of applied changes.
    pub metrics: Arc<Metrics>,
    /// Log of applied changes and failed reads.
    pub log: Logger,
}

/// Handle of the actor that holds this node's copy of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    actor: Address<ReplicatorActor>,
}

impl Config {
    /// Starts the actor.
    ///
    /// The reader returns a snapshot once the configuration is recent enough to
    /// start serving.
    pub fn start(dependencies: Dependencies) -> (Self, ConfigReader) {
        let (snapshots, current) = watch::channel(None);
        let member = Member {
            node: dependencies.own.name.clone(),
            data_centre: dependencies.own.data_centre.clone(),
        };
        let replicator_actor = ReplicatorActor {
            replicator: Replicator::new(member),
            status: StatusTracker::default(),
            snapshots,
            own: dependencies.own,
            peers: dependencies.peers,
            platform: dependencies.platform,
            availability: dependencies.availability,
            clock: dependencies.clock,
            metrics: dependencies.metrics,
            log: dependencies.log,
        };
        let actor = xtra::spawn_tokio(replicator_actor, Mailbox::unbounded());
        tokio::spawn(tick(actor.downgrade()));
        tokio::spawn(receive(actor.downgrade(), dependencies.inbox));
        (Self { actor }, ConfigReader::new(current))
    }

    /// Applies a change that was accepted through this node and sends it to other nodes.
    pub async fn publish_accepted(&self, change: Change) {
        self.actor.send(Input(Event::Accepted(change))).await.ok();
    }

    /// Returns the latest change of each entry on this node; empty if the node stops.
    pub async fn entries(&self) -> Vec<Change> {
        self.actor.send(Entries).await.unwrap_or_default()
    }

    /// Returns the latest change of one entry on this node.
    pub async fn entry(&self, key: Key) -> Option<Change> {
        self.actor.send(Entry(key)).await.ok().flatten()
    }

    /// Returns whether the configuration stays within its size limit with a setting, or the
    /// setting does not grow its entry; `false` if the node stops.
    pub async fn has_room(&self, setting: Setting) -> bool {
        self.actor.send(HasRoom(setting)).await.unwrap_or(false)
    }

    /// Requests the replication status from the relay of every data centre.
    pub async fn request_status(&self) {
        self.actor.send(RequestStatus).await.ok();
    }

    /// Returns the replication status of all known nodes; `None` if the node stops.
    pub async fn status_report(&self) -> Option<Report> {
        self.actor.send(GetStatusReport).await.ok()
    }
}

struct Input(Event);

struct Tick;

struct Entries;

struct Entry(Key);

struct HasRoom(Setting);

struct RequestStatus;

struct GetStatusReport;

struct ReplicatorActor {
    replicator: Replicator,
    status: StatusTracker,
    snapshots: watch::Sender<Option<Arc<ConfigSnapshot>>>,
    own: Peer,
    peers: Peers,
    platform: Client,
    availability: SharedAvailability,
    clock: Clock,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl ReplicatorActor {
    fn on(&mut self, actor: WeakAddress<Self>, event: Event) {
        let was_ready = self.replicator.is_ready();
        let actions = self.replicator.on(self.clock.now(), event);
        let mut applied = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let message = message::Message::Config(message.into());
                    self.peers.send(&to, message);
                }
                Action::Applied(key) => applied.push(key),
                read => {
                    tokio::spawn(read_table(
                        actor.clone(),
                        self.platform.clone(),
                        read,
                        self.log.clone(),
                    ));
                }
            }
        }
        applied.iter().for_each(|key| self.record_applied(key));
        let is_ready = self.replicator.is_ready();
        if is_ready && (!was_ready || !applied.is_empty()) {
            self.publish_snapshot(&applied);
        }
        if is_ready && !was_ready {
            info!(self.log, "Configuration recent enough to serve."; "revision" => %self.replicator.replica().head());
        }
    }

    fn publish_snapshot(&self, keys: &[Key]) {
        let replica = self.replicator.replica();
        let current = self.snapshots.borrow().clone();
        let next = match current {
            Some(current) => current.with_entries(replica, keys),
            None => ConfigSnapshot::from_replica(replica),
        };
        self.snapshots.send_replace(Some(Arc::new(next)));
        self.availability.on_config(replica);
    }

    fn record_applied(&self, key: &Key) {
        let Some(change) = self.replicator.replica().get(key) else {
            return;
        };
        let delay_ms = clock::unix_now().since(change.at_ms);
        self.metrics.time("config.in_force", delay_ms);
        debug!(self.log, "Configuration change applied."; "key" => %key, "revision" => %change.revision);
    }

    fn update_members(&mut self, actor: WeakAddress<Self>) {
        let connected = self.peers.connected();
        self.status.update_connected(self.clock.now(), &connected);
        let member = |peer: &Peer| Member {
            node: peer.name.clone(),
            data_centre: peer.data_centre.clone(),
        };
        let members = connected.iter().chain([&self.own]).map(member).collect();
        self.on(actor, Event::Members(members));
    }
}

impl xtra::Actor for ReplicatorActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Input> for ReplicatorActor {
    type Return = ();

    async fn handle(&mut self, Input(event): Input, context: &mut Context<Self>) {
        if let Event::Message {
            message: Message::StatusResponse { nodes, .. },
            from,
        } = &event
        {
            self.status.record_status(self.clock.now(), from, nodes);
        }
        self.on(context.mailbox().address(), event);
    }
}

impl Handler<Tick> for ReplicatorActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        let actor = context.mailbox().address();
        self.update_members(actor.clone());
        self.on(actor, Event::Tick);
    }
}

impl Handler<Entries> for ReplicatorActor {
    type Return = Vec<Change>;

    async fn handle(&mut self, _: Entries, _: &mut Context<Self>) -> Vec<Change> {
        self.replicator.replica().entries().cloned().collect()
    }
}

impl Handler<Entry> for ReplicatorActor {
    type Return = Option<Change>;

    async fn handle(&mut self, Entry(key): Entry, _: &mut Context<Self>) -> Option<Change> {
        self.replicator.replica().get(&key).cloned()
    }
}

impl Handler<HasRoom> for ReplicatorActor {
    type Return = bool;

    async fn handle(&mut self, HasRoom(setting): HasRoom, _: &mut Context<Self>) -> bool {
        self.replicator.replica().has_room(&setting)
    }
}

impl Handler<RequestStatus> for ReplicatorActor {
    type Return = ();

    async fn handle(&mut self, _: RequestStatus, _: &mut Context<Self>) {
        for data_centre in self.replicator.live_nodes().data_centres() {
            let ranked = self.replicator.live_nodes().ranked(&data_centre);
            let Some(relay) = ranked.first().filter(|relay| ***relay != self.own.name) else {
                continue;
            };
            let request = Message::StatusRequest { seq: 0 };
            self.peers
                .send(relay, message::Message::Config(request.into()));
        }
    }
}

impl Handler<GetStatusReport> for ReplicatorActor {
    type Return = Report;

    async fn handle(&mut self, _: GetStatusReport, _: &mut Context<Self>) -> Report {
        self.status
            .report(self.clock.now(), &self.own, &self.replicator)
    }
}

async fn tick(actor: WeakAddress<ReplicatorActor>) {
    let mut interval = tokio::time::interval(clock::duration(TICK_INTERVAL_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.send(Tick).await.is_err() {
            return;
        }
    }
}

async fn receive(
    actor: WeakAddress<ReplicatorActor>,
    mut inbox: mpsc::Receiver<Incoming<config::Message>>,
) {
    while let Some(Incoming { peer, message }) = inbox.recv().await {
        let event = Event::Message {
            from: peer.name,
            message: message.into(),
        };
        if actor.send(Input(event)).await.is_err() {
            return;
        }
    }
}

async fn read_table(
    actor: WeakAddress<ReplicatorActor>,
    platform: Client,
    read: Action,
    log: Logger,
) {
    let event = match read {
        Action::ReadHead => config_table::read_head(&platform)
            .await
            .map(Event::TableHead),
        Action::ReadLog { after } => config_table::read_log(&platform, after)
            .await
            .map(Event::TableLog),
        Action::ReadPage { head, after } => {
            config_table::read_page(&platform, head, after.as_ref())
                .await
                .map(Event::TablePage)
        }
        Action::Send { .. } | Action::Applied(_) => return,
    };
    let event = event.unwrap_or_else(|error| {
        warn!(log, "Configuration read from the platform failed; reading again later."; "error" => %error);
        Event::TableFailed
    });
    actor.send(Input(event)).await.ok();
}
