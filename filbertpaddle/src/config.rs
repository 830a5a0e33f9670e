//! Follows the configuration and spreads it to other nodes.

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

use crate::availability::SharedAvailability;
use crate::clock;
use crate::clock::Clock;
use crate::config_table;
use crate::inbox::Incoming;
use crate::metrics::Metrics;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::status::Known;
use crate::status::Report;
use crate::templates::Snapshot;
use crate::templates::Templates;

/// What the follower is built from.
#[derive(Debug)]
pub struct Parts {
    /// This node.
    pub own: Peer,
    /// Links to other nodes.
    pub peers: Peers,
    /// Messages about configuration.
    pub inbox: mpsc::Receiver<Incoming<config::Message>>,
    /// The platform.
    pub platform: Client,
    /// Told of what is out.
    pub availability: SharedAvailability,
    /// The node's clock.
    pub clock: Clock,
    /// Metrics of changes.
    pub metrics: Arc<Metrics>,
    /// Log of changes.
    pub log: Logger,
}

/// The configuration on this node.
#[derive(Clone, Debug)]
pub struct Config {
    actor: Address<Follower>,
}

impl Config {
    /// Starts to follow; the templates are given out once they are recent.
    pub fn start(parts: Parts) -> (Self, Templates) {
        let (publish, current) = watch::channel(None);
        let member = Member {
            node: parts.own.name.clone(),
            data_centre: parts.own.data_centre.clone(),
        };
        let follower = Follower {
            spread: Replicator::new(member),
            known: Known::default(),
            publish,
            own: parts.own,
            peers: parts.peers,
            platform: parts.platform,
            availability: parts.availability,
            clock: parts.clock,
            metrics: parts.metrics,
            log: parts.log,
        };
        let actor = xtra::spawn_tokio(follower, Mailbox::unbounded());
        tokio::spawn(tick(actor.downgrade()));
        tokio::spawn(receive(actor.downgrade(), parts.inbox));
        (Self { actor }, Templates::new(current))
    }

    /// Spreads a change that was accepted through this node.
    pub async fn accepted(&self, change: Change) {
        self.actor.send(Input(Event::Accepted(change))).await.ok();
    }

    /// Returns the last change of each key on this node.
    pub async fn entries(&self) -> Vec<Change> {
        self.actor.send(Entries).await.unwrap_or_default()
    }

    /// Returns the last change of one key on this node.
    pub async fn entry(&self, key: Key) -> Option<Change> {
        self.actor.send(Entry(key)).await.ok().flatten()
    }

    /// Returns whether a setting fits beside all other entries.
    pub async fn has_room(&self, setting: Setting) -> bool {
        self.actor.send(HasRoom(setting)).await.unwrap_or(false)
    }

    /// Asks every data centre's relay what is in force there.
    pub async fn ask_status(&self) {
        self.actor.send(AskStatus).await.ok();
    }

    /// Returns what is known of all nodes; `None` if the node stops.
    pub async fn report(&self) -> Option<Report> {
        self.actor.send(GetReport).await.ok()
    }
}

struct Input(Event);

struct Tick;

struct Entries;

struct Entry(Key);

struct HasRoom(Setting);

struct AskStatus;

struct GetReport;

struct Follower {
    spread: Replicator,
    known: Known,
    publish: watch::Sender<Option<Arc<Snapshot>>>,
    own: Peer,
    peers: Peers,
    platform: Client,
    availability: SharedAvailability,
    clock: Clock,
    metrics: Arc<Metrics>,
    log: Logger,
}

impl Follower {
    fn on(&mut self, actor: WeakAddress<Self>, event: Event) {
        let was_ready = self.spread.is_ready();
        let actions = self.spread.on(self.clock.now(), event);
        let mut in_force = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let message = message::Message::Config(message.into());
                    self.peers.send(&to, message);
                }
                Action::Applied(key) => in_force.push(key),
                read => {
                    tokio::spawn(run_read(
                        actor.clone(),
                        self.platform.clone(),
                        read,
                        self.log.clone(),
                    ));
                }
            }
        }
        in_force.iter().for_each(|key| self.note(key));
        let is_ready = self.spread.is_ready();
        if is_ready && (!was_ready || !in_force.is_empty()) {
            self.put_in_force(&in_force);
        }
        if is_ready && !was_ready {
            info!(self.log, "Configuration known."; "revision" => %self.spread.replica().head());
        }
    }

    fn put_in_force(&self, keys: &[Key]) {
        let replica = self.spread.replica();
        let current = self.publish.borrow().clone();
        let next = match current {
            Some(current) => current.with(replica, keys),
            None => Snapshot::of(replica),
        };
        self.publish.send_replace(Some(Arc::new(next)));
        self.availability.on_config(replica);
    }

    fn note(&self, key: &Key) {
        let Some(change) = self.spread.replica().get(key) else {
            return;
        };
        let late_ms = clock::unix_now().since(change.at_ms);
        self.metrics.time("config.in_force", late_ms);
        debug!(self.log, "Change in force."; "key" => %key, "revision" => %change.revision);
    }

    fn update_members(&mut self, actor: WeakAddress<Self>) {
        let connected = self.peers.connected();
        self.known.update(self.clock.now(), &connected);
        let member = |peer: &Peer| Member {
            node: peer.name.clone(),
            data_centre: peer.data_centre.clone(),
        };
        let members = connected.iter().chain([&self.own]).map(member).collect();
        self.on(actor, Event::Members(members));
    }
}

impl xtra::Actor for Follower {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Input> for Follower {
    type Return = ();

    async fn handle(&mut self, Input(event): Input, context: &mut Context<Self>) {
        if let Event::Message {
            message: Message::StatusResponse { nodes, .. },
            from,
        } = &event
        {
            self.known.take(self.clock.now(), from, nodes);
        }
        self.on(context.mailbox().address(), event);
    }
}

impl Handler<Tick> for Follower {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        let actor = context.mailbox().address();
        self.update_members(actor.clone());
        self.on(actor, Event::Tick);
    }
}

impl Handler<Entries> for Follower {
    type Return = Vec<Change>;

    async fn handle(&mut self, _: Entries, _: &mut Context<Self>) -> Vec<Change> {
        self.spread.replica().entries().cloned().collect()
    }
}

impl Handler<Entry> for Follower {
    type Return = Option<Change>;

    async fn handle(&mut self, Entry(key): Entry, _: &mut Context<Self>) -> Option<Change> {
        self.spread.replica().get(&key).cloned()
    }
}

impl Handler<HasRoom> for Follower {
    type Return = bool;

    async fn handle(&mut self, HasRoom(setting): HasRoom, _: &mut Context<Self>) -> bool {
        self.spread.replica().has_room(&setting)
    }
}

impl Handler<AskStatus> for Follower {
    type Return = ();

    async fn handle(&mut self, _: AskStatus, _: &mut Context<Self>) {
        for data_centre in self.spread.live_nodes().data_centres() {
            let ranked = self.spread.live_nodes().ranked(&data_centre);
            let Some(relay) = ranked.first().filter(|relay| ***relay != self.own.name) else {
                continue;
            };
            let ask = Message::StatusRequest { seq: 0 };
            self.peers.send(relay, message::Message::Config(ask.into()));
        }
    }
}

impl Handler<GetReport> for Follower {
    type Return = Report;

    async fn handle(&mut self, _: GetReport, _: &mut Context<Self>) -> Report {
        self.known.report(self.clock.now(), &self.own, &self.spread)
    }
}

async fn tick(actor: WeakAddress<Follower>) {
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
    actor: WeakAddress<Follower>,
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

async fn run_read(actor: WeakAddress<Follower>, platform: Client, read: Action, log: Logger) {
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
        warn!(log, "Configuration not read."; "error" => %error);
        Event::TableFailed
    });
    actor.send(Input(event)).await.ok();
}
