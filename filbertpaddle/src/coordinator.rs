//! Ties a node's pools to its data centre: record, relay, heartbeats, targets.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::membership;
use filbertpaddle_core::membership::Confirmation;
use filbertpaddle_core::membership::Relay;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::policy;
use filbertpaddle_core::report::Report;
use filbertpaddle_core::roster::Id;
use filbertpaddle_core::standing::Mode;
use filbertpaddle_core::standing::Standing;
use filbertpaddle_core::terms::Terms;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_platform::protocol::VmRole;
use filbertpaddle_target::client as target;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_target::protocol::Warmth;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::member as wire;
use filbertpaddle_wire::message::Message;
use indexmap::IndexMap;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xtra::Address;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;
use xtra::WeakAddress;

use crate::attempt;
use crate::clock;
use crate::clock::Clock;
use crate::heart::Heart;
use crate::inbox::From;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::pool::Out;
use crate::pool::Pool;
use crate::pool::Target;
use crate::pools::Ask;
use crate::pools::Grant;
use crate::pools::Refusal;
use crate::pools::Slot;
use crate::record;
use crate::record::Record;
use crate::registrar;
use crate::service::Service;

const TICK: Duration = Duration::from_millis(50);
/// Time between two reads of the VM list, and of the record.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reports of one target.
const POLL_INTERVAL_MS: Millis = Millis(250);
/// When a refused caller may come back.
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Age up to which a reading of the record is acted upon.
const ACT_MS: Millis = Millis(2_000);

/// What a coordinator is built from.
#[derive(Debug)]
pub struct Parts {
    /// This node.
    pub own: Peer,
    /// Links to other nodes.
    pub peers: Peers,
    /// Messages about membership.
    pub member: mpsc::Receiver<From<wire::Message>>,
    /// Messages about slots.
    pub grant: mpsc::Receiver<From<grant::Message>>,
    /// The platform.
    pub platform: Client,
    /// Targets, for their reports.
    pub targets: target::Client,
    /// What may get new work.
    pub service: Service,
    /// The node's clock.
    pub clock: Clock,
    /// How queued work is ordered and placed.
    pub placement: policy::Settings,
    /// Log of ownership.
    pub log: Logger,
}

/// Starts a coordinator.
pub(crate) fn start(parts: Parts) -> Address<Coordinator> {
    let now = parts.clock.now();
    let terms = Terms::default();
    let state = Coordinator {
        id: id(&parts.own),
        own: parts.own,
        peers: parts.peers,
        platform: parts.platform,
        targets: parts.targets,
        service: parts.service,
        clock: parts.clock,
        log: parts.log,
        terms,
        placement: parts.placement,
        standing: Standing::new(terms),
        record: Record::default(),
        read_ms: None,
        is_writing: false,
        is_leaving: false,
        listed: Vec::new(),
        relay: Relay::new(now),
        heart: Heart::new(now),
        pools: IndexMap::new(),
    };
    let clock = state.clock;
    let platform = state.platform.clone();
    let data_centre = state.own.data_centre.clone();
    let actor = xtra::spawn_tokio(state, Mailbox::unbounded());
    tokio::spawn(tick(actor.downgrade()));
    tokio::spawn(pass(actor.downgrade(), parts.member));
    tokio::spawn(pass(actor.downgrade(), parts.grant));
    tokio::spawn(follow_vms(actor.downgrade(), platform.clone()));
    tokio::spawn(follow_record(
        actor.downgrade(),
        platform,
        data_centre,
        clock,
    ));
    actor
}

/// Asks for a slot; the answer goes to `reply`.
pub(crate) struct Acquire {
    pub(crate) ask: Ask,
    pub(crate) reply: oneshot::Sender<Result<Grant, Refusal>>,
}

/// Gives a slot back.
pub(crate) struct Release {
    pub(crate) slot: Slot,
    pub(crate) target: Name,
    pub(crate) end: grant::End,
}

/// What a leaving node needs to take itself out of the record.
pub(crate) struct Leaving {
    pub(crate) platform: Client,
    pub(crate) data_centre: Name,
    pub(crate) id: Id,
}

/// The node holds no work and stops for good.
pub(crate) struct Leave;

/// The work of a slot has reached its target.
pub(crate) struct Sent(pub(crate) Slot);

struct Tick;

struct Listed(Vec<Vm>);

struct IsReader;

struct ReadRecord {
    asked_ms: Millis,
    record: Option<Record>,
}

struct Written;

struct Polled {
    pool: Name,
    target: Name,
    asked_ms: Millis,
    load: Option<LoadReport>,
}

pub(crate) struct Coordinator {
    id: Id,
    own: Peer,
    peers: Peers,
    platform: Client,
    targets: target::Client,
    service: Service,
    clock: Clock,
    log: Logger,
    terms: Terms,
    placement: policy::Settings,
    standing: Standing,
    record: Record,
    read_ms: Option<Millis>,
    is_writing: bool,
    is_leaving: bool,
    listed: Vec<Name>,
    relay: Relay,
    heart: Heart,
    pools: IndexMap<Name, Pool>,
}

impl xtra::Actor for Coordinator {
    type Stop = ();

    async fn stopped(self) {}
}

impl Coordinator {
    fn on_tick(&mut self, now: Millis, address: &WeakAddress<Self>) {
        self.beat(now);
        self.choose_mode(now);
        self.register(now, address);
        let sharing = self.standing.mode() != Mode::Granted;
        let roster = &self.record.roster;
        for pool in self.pools.values_mut() {
            for (name, target) in &mut pool.targets {
                target.per_mille = self.service.vm_share(name).per_mille();
            }
            pool.add_targets();
            match sharing {
                true => pool.share(now, roster),
                false => pool.ask(now),
            }
            pool.sweep(now);
            pool.own(now);
        }
        self.poll(now, address);
        self.flush(now);
    }

    fn beat(&mut self, now: Millis) {
        let must_share = self.must_share(now);
        let beat = self.heart.beat(
            now,
            &self.record.roster,
            &self.own.data_centre,
            &mut self.standing,
            !must_share,
        );
        if let Some((relay, beat)) = beat {
            self.send_member(now, &relay.id, wire::Message::Beat(beat));
        }
    }

    fn must_share(&self, now: Millis) -> bool {
        let confirmation = self.heart.confirmation(now);
        confirmation
            .is_some_and(|confirmation| membership::must_share(now, confirmation, &self.terms))
    }

    fn choose_mode(&mut self, now: Millis) {
        let alone = self.heart.is_lost(now) || self.must_share(now);
        let changed = match self.standing.mode() {
            Mode::Granted => alone && self.standing.enter_share(now),
            Mode::Share { .. } if !alone => {
                self.standing.leave_share();
                true
            }
            Mode::Share { .. } => false,
        };
        if !changed {
            return;
        }
        let mode = self.standing.mode();
        info!(self.log, "Mode changed."; "mode" => ?mode);
        let session = self.standing.session();
        let pools = self.pools.values_mut();
        pools.for_each(|pool| pool.member.on_mode(mode, session));
    }

    /// Changes the record if that is for this node to do.
    fn register(&mut self, now: Millis, address: &WeakAddress<Self>) {
        let recent = |read_ms: Millis| now.since(read_ms) < ACT_MS;
        if self.is_leaving || self.is_writing || !self.read_ms.is_some_and(recent) {
            return;
        }
        let is_relay = self.heart.relay() == Some(&self.id);
        let pools: Vec<Name> = self.pools.keys().cloned().collect();
        let edit = registrar::edit(
            now,
            &self.own,
            &self.record.roster,
            &self.relay,
            &pools,
            &self.listed,
            is_relay,
        );
        let Some(edit) = edit else {
            return;
        };
        info!(self.log, "Record changed."; "change" => edit.what, "version" => edit.roster.version);
        self.is_writing = true;
        let platform = self.platform.clone();
        let data_centre = self.own.data_centre.clone();
        let revision = self.record.revision;
        let address = address.clone();
        tokio::spawn(async move {
            record::write(&platform, &data_centre, &edit.roster, revision).await;
            address.send(Written).await.ok();
        });
    }

    fn poll(&mut self, now: Millis, address: &WeakAddress<Self>) {
        let sharing = self.standing.mode() != Mode::Granted;
        let own = &self.id;
        let roster = &self.record.roster;
        for (pool_name, pool) in &mut self.pools {
            let owns = pool.owner.is_some();
            for (name, target) in &mut pool.targets {
                let limit = target
                    .report
                    .as_ref()
                    .map_or(u32::MAX, |report| report.cold_limit);
                let shares = sharing && roster.share(name, limit, own) > 0;
                let due = now.since(target.polled_ms) >= POLL_INTERVAL_MS;
                if target.is_polled || !due || !(owns || shares) {
                    continue;
                }
                target.is_polled = true;
                target.polled_ms = now;
                let client = self.targets.clone();
                let at = target.address;
                let address = address.clone();
                let polled = Polled {
                    pool: pool_name.clone(),
                    target: name.clone(),
                    asked_ms: now,
                    load: None,
                };
                tokio::spawn(async move {
                    let load = client.load(at).await.ok();
                    address.send(Polled { load, ..polled }).await.ok();
                });
            }
        }
    }

    fn on_record(&mut self, now: Millis, record: Record) {
        let newer = record.roster.version > self.record.roster.version;
        if record.roster.version < self.record.roster.version {
            return;
        }
        self.record = record;
        if newer {
            self.on_roster(now);
        }
    }

    fn on_roster(&mut self, now: Millis) {
        let roster = &self.record.roster;
        let addresses = roster.members.iter().map(|member| &member.address);
        addresses
            .filter_map(|address| address.parse().ok())
            .for_each(|address| self.peers.learn(address));
        for pool in self.pools.values_mut() {
            pool.on_roster(now, &self.id, roster);
        }
        info!(self.log, "Record known."; "version" => roster.version);
    }

    fn on_vms(&mut self, now: Millis, vms: &[Vm]) {
        self.service.on_list(vms);
        for pool in self.pools.values_mut() {
            pool.targets.retain(|name, target| {
                vms.iter()
                    .any(|vm| vm.name == *name && vm.address == target.address.to_string())
            });
        }
        let local = |vm: &&Vm| vm.data_centre == self.own.data_centre;
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        self.listed = entries.filter(local).map(|vm| vm.name.clone()).collect();
        let targets = vms.iter().filter(|vm| vm.role == VmRole::Target);
        for vm in targets.filter(local) {
            let Ok(address) = vm.address.parse() else {
                continue;
            };
            let pool = self.pools.entry(vm.model.clone()).or_insert_with(|| {
                let mut pool = Pool::new(
                    vm.model.clone(),
                    self.terms,
                    self.id.clone(),
                    self.placement,
                );
                pool.member
                    .on_mode(self.standing.mode(), self.standing.session());
                pool.on_roster(now, &self.id, &self.record.roster);
                pool
            });
            pool.targets.entry(vm.name.clone()).or_insert(Target {
                address,
                per_mille: 0,
                report: None,
                is_polled: false,
                polled_ms: Millis::ZERO,
            });
        }
    }

    fn on_member(&mut self, now: Millis, from: &Id, message: wire::Message) {
        match message {
            wire::Message::Beat(beat) => {
                let roster = &self.record.roster;
                let answer = self.relay.on_beat(now, from, &beat, roster);
                if beat.version < roster.version {
                    let roster = Box::new(roster.clone());
                    self.send_member(now, from, wire::Message::Roster(roster));
                }
                self.send_member(now, from, wire::Message::Answer(answer));
            }
            wire::Message::Answer(answer) => {
                self.heart
                    .on_answer(now, from, &answer, &self.record.roster);
                if let Some(confirmation) = self.heart.confirmation(now).cloned() {
                    self.on_confirmation(&confirmation);
                }
            }
            wire::Message::Roster(roster) => {
                if roster.version > self.record.roster.version {
                    let record = Record {
                        roster: *roster,
                        revision: None,
                    };
                    // Without the table's revision nothing can be written.
                    self.read_ms = None;
                    self.on_record(now, record);
                }
            }
        }
    }

    fn on_confirmation(&mut self, confirmation: &Confirmation) {
        let owners = self
            .pools
            .values_mut()
            .filter_map(|pool| pool.owner.as_mut());
        for owner in owners {
            if let Some(reading_ms) = confirmation.reading_ms {
                owner.on_confirm(reading_ms);
            }
            for (id, promise) in &confirmation.promises {
                owner.on_promise(id, *promise);
            }
        }
    }

    fn on_grant_message(&mut self, now: Millis, from: &Id, message: grant::Message) {
        let name = match &message {
            grant::Message::Ask(name, _)
            | grant::Message::Stamp(name, _)
            | grant::Message::Withdraw(name, _)
            | grant::Message::Grant(name, _)
            | grant::Message::Refuse(name, _)
            | grant::Message::Release(name, _, _)
            | grant::Message::Deny(name, _, _)
            | grant::Message::Suspect(name, _, _)
            | grant::Message::Collect(name, _)
            | grant::Message::Holding(name, _) => name.clone(),
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.on_message(now, from, message);
            pool.own(now);
        }
    }

    /// Sends what the pools have to say; what is for this node is handled at once.
    fn flush(&mut self, now: Millis) {
        loop {
            let pools = self.pools.values_mut();
            let out: Vec<Out> = pools
                .flat_map(|pool| std::mem::take(&mut pool.out))
                .collect();
            if out.is_empty() {
                return;
            }
            for Out { to, message } in out {
                if to == self.id {
                    self.on_grant_message(now, &to, message);
                } else {
                    self.peers.send(&to.name, Message::Grant(message));
                }
            }
        }
    }

    fn send_member(&mut self, now: Millis, to: &Id, message: wire::Message) {
        if *to == self.id {
            let id = self.id.clone();
            self.on_member(now, &id, message);
        } else {
            self.peers.send(&to.name, Message::Member(message));
        }
    }

    fn refuse(reply: oneshot::Sender<Result<Grant, Refusal>>, reason: Reason) {
        let refusal = Refusal {
            reason,
            retry_after_ms: Some(RETRY_AFTER_MS),
        };
        reply.send(Err(refusal)).ok();
    }
}

impl Handler<Tick> for Coordinator {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        let now = self.clock.now();
        let address = context.mailbox().address();
        self.on_tick(now, &address);
    }
}

impl Handler<Acquire> for Coordinator {
    type Return = ();

    async fn handle(&mut self, acquire: Acquire, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(pool) = self.pools.get_mut(&acquire.ask.model) else {
            Self::refuse(acquire.reply, Reason::NoTarget);
            return;
        };
        let is_open = |name: &Name| !self.service.vm_share(name).is_none();
        if !pool.targets.keys().any(is_open) {
            Self::refuse(acquire.reply, Reason::NoTarget);
            return;
        }
        pool.wait(now, &acquire.ask, acquire.reply);
        if self.standing.mode() == Mode::Granted {
            pool.ask(now);
        }
        self.flush(now);
    }
}

impl Handler<Release> for Coordinator {
    type Return = ();

    async fn handle(&mut self, release: Release, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(pool) = self.pools.get_mut(&release.slot.pool) {
            pool.release(now, &release.slot, &release.target, release.end);
        }
        self.flush(now);
    }
}

impl Handler<Leave> for Coordinator {
    type Return = Leaving;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> Leaving {
        self.is_leaving = true;
        Leaving {
            platform: self.platform.clone(),
            data_centre: self.own.data_centre.clone(),
            id: self.id.clone(),
        }
    }
}

impl Handler<Sent> for Coordinator {
    type Return = ();

    async fn handle(&mut self, sent: Sent, _: &mut Context<Self>) {
        if let Some(pool) = self.pools.get_mut(&sent.0.pool) {
            pool.member.on_sent(&sent.0.key);
        }
    }
}

impl Handler<Listed> for Coordinator {
    type Return = ();

    async fn handle(&mut self, listed: Listed, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.on_vms(now, &listed.0);
    }
}

impl Handler<IsReader> for Coordinator {
    type Return = bool;

    /// The relay reads the record for all, and a node that is no member yet
    /// or knows no relay for itself.
    async fn handle(&mut self, _: IsReader, _: &mut Context<Self>) -> bool {
        let now = self.clock.now();
        let is_member = registrar::is_member(&self.id, &self.record.roster);
        let is_relay = self.heart.relay() == Some(&self.id);
        is_relay || !is_member || self.heart.is_lost(now)
    }
}

impl Handler<ReadRecord> for Coordinator {
    type Return = ();

    async fn handle(&mut self, read: ReadRecord, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(record) = read.record else {
            warn!(self.log, "Record not read.");
            return;
        };
        // An older record than is known here does not confirm anything.
        if record.roster.version < self.record.roster.version {
            return;
        }
        self.read_ms = Some(read.asked_ms);
        self.relay.on_reading(read.asked_ms);
        self.on_record(now, record);
    }
}

impl Handler<Written> for Coordinator {
    type Return = ();

    async fn handle(&mut self, _: Written, _: &mut Context<Self>) {
        self.is_writing = false;
        // Only a new reading tells what came of it.
        self.read_ms = None;
    }
}

impl Handler<Polled> for Coordinator {
    type Return = ();

    async fn handle(&mut self, polled: Polled, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(pool) = self.pools.get_mut(&polled.pool) else {
            return;
        };
        if let Some(target) = pool.targets.get_mut(&polled.target) {
            target.is_polled = false;
        }
        let Some(load) = polled.load else {
            return;
        };
        if load.leaving {
            self.service.on_reclaim(&polled.target);
        }
        pool.on_report(now, &polled.target, report(polled.asked_ms, &load), &load);
        pool.own(now);
        self.flush(now);
    }
}

impl Handler<From<wire::Message>> for Coordinator {
    type Return = ();

    async fn handle(&mut self, from: From<wire::Message>, _: &mut Context<Self>) {
        let now = self.clock.now();
        if from.peer.data_centre == self.own.data_centre {
            self.on_member(now, &id(&from.peer), from.message);
        }
    }
}

impl Handler<From<grant::Message>> for Coordinator {
    type Return = ();

    async fn handle(&mut self, from: From<grant::Message>, _: &mut Context<Self>) {
        let now = self.clock.now();
        if from.peer.data_centre == self.own.data_centre {
            self.on_grant_message(now, &id(&from.peer), from.message);
            self.flush(now);
        }
    }
}

fn id(peer: &Peer) -> Id {
    Id {
        name: peer.name.clone(),
        incarnation: peer.incarnation,
    }
}

fn report(asked_ms: Millis, load: &LoadReport) -> Report {
    Report {
        taken_ms: Millis(asked_ms.0.saturating_sub(load.age_ms.0)),
        incarnation: load.incarnation,
        warm: load.warmth == Warmth::Warm,
        cold_limit: load.cold_limit,
        warm_limit: load.warm_limit,
        running: load.running,
        waiting: load.waiting,
        preemptions: load.preemptions,
        fence: None,
        works: load.attempts.iter().map(attempt::slot).collect(),
    }
}

async fn tick(actor: WeakAddress<Coordinator>) {
    while actor.send(Tick).await.is_ok() {
        tokio::time::sleep(TICK).await;
    }
}

async fn pass<M>(actor: WeakAddress<Coordinator>, mut inbox: mpsc::Receiver<From<M>>)
where
    M: Send + 'static,
    Coordinator: Handler<From<M>, Return = ()>,
{
    while let Some(from) = inbox.recv().await {
        if actor.send(from).await.is_err() {
            return;
        }
    }
}

// The last good list is kept while the platform is out.
async fn follow_vms(actor: WeakAddress<Coordinator>, platform: Client) {
    while actor.is_connected() {
        if let Ok(list) = platform.vms().await {
            actor.send(Listed(list.vms)).await.ok();
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}

async fn follow_record(
    actor: WeakAddress<Coordinator>,
    platform: Client,
    data_centre: Name,
    clock: Clock,
) {
    while let Ok(is_reader) = actor.send(IsReader).await {
        if is_reader {
            let asked_ms = clock.now();
            let record = record::read(&platform, &data_centre).await.ok();
            actor.send(ReadRecord { asked_ms, record }).await.ok();
        }
        tokio::time::sleep(clock::duration(Millis(500))).await;
    }
}
