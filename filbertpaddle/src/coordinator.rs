//! Actor that keeps a node's pools in step with its data centre: it sends heartbeats,
//! acts as the relay if chosen, reads and edits the record, and polls the targets.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::grant_mode::Mode;
use filbertpaddle_core::grant_mode::ModeState;
use filbertpaddle_core::membership;
use filbertpaddle_core::membership::Confirmation;
use filbertpaddle_core::membership::Relay;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::policy;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::timing::Timing;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_platform::protocol::VmRole;
use filbertpaddle_target::client as target;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::member as wire;
use filbertpaddle_wire::message::Message;
use indexmap::IndexMap;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use xtra::Address;
use xtra::Mailbox;
use xtra::WeakAddress;

use crate::clock::Clock;
use crate::coordinator_messages::RecordWritten;
use crate::coordinator_messages::TargetPolled;
use crate::coordinator_tasks::forward;
use crate::coordinator_tasks::poll_record;
use crate::coordinator_tasks::poll_vms;
use crate::coordinator_tasks::tick;
use crate::heartbeat::RelayClient;
use crate::inbox::Incoming;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::pool::Outgoing;
use crate::pool::Pool;
use crate::pool::Target;
use crate::record;
use crate::record::Record;
use crate::record_edit;
use crate::shared_availability::SharedAvailability;

/// Interval between two polls of one target's load report.
const POLL_INTERVAL_MS: Millis = Millis(250);
/// Maximum age of a read of the record for this node to edit it.
const MAX_RECORD_AGE_MS: Millis = Millis(2_000);

/// What a coordinator needs to start.
#[derive(Debug)]
pub struct Dependencies {
    /// This node.
    pub own: Peer,
    /// Links to other nodes.
    pub peers: Peers,
    /// Inbox of membership messages.
    pub member: mpsc::Receiver<Incoming<wire::Message>>,
    /// Inbox of slot messages.
    pub grant: mpsc::Receiver<Incoming<grant::Message>>,
    /// Client of the platform.
    pub platform: Client,
    /// Client of the targets, for their load reports.
    pub targets: target::Client,
    /// VMs and data centres that may get new work.
    pub availability: SharedAvailability,
    /// The node's clock.
    pub clock: Clock,
    /// Policy for the order and placement of queued requests.
    pub placement: policy::Settings,
    /// Log of membership and ownership.
    pub log: Logger,
}

/// Starts a coordinator and its background tasks.
pub(crate) fn start(dependencies: Dependencies) -> Address<Coordinator> {
    let now = dependencies.clock.now();
    let timing = Timing::default();
    let state = Coordinator {
        id: node_id(&dependencies.own),
        own: dependencies.own,
        peers: dependencies.peers,
        platform: dependencies.platform,
        targets: dependencies.targets,
        availability: dependencies.availability,
        clock: dependencies.clock,
        log: dependencies.log,
        timing,
        placement: dependencies.placement,
        mode_state: ModeState::new(timing),
        record: Record::default(),
        record_read_ms: None,
        is_writing: false,
        is_leaving: false,
        entry_vms: Vec::new(),
        relay: Relay::new(now),
        heartbeats: RelayClient::new(now),
        pools: IndexMap::new(),
    };
    let clock = state.clock;
    let platform = state.platform.clone();
    let data_centre = state.own.data_centre.clone();
    let actor = xtra::spawn_tokio(state, Mailbox::unbounded());
    tokio::spawn(tick(actor.downgrade()));
    tokio::spawn(forward(actor.downgrade(), dependencies.member));
    tokio::spawn(forward(actor.downgrade(), dependencies.grant));
    tokio::spawn(poll_vms(actor.downgrade(), platform.clone()));
    tokio::spawn(poll_record(actor.downgrade(), platform, data_centre, clock));
    actor
}

pub(crate) struct Coordinator {
    pub(crate) id: NodeId,
    pub(crate) own: Peer,
    pub(crate) peers: Peers,
    pub(crate) platform: Client,
    pub(crate) targets: target::Client,
    pub(crate) availability: SharedAvailability,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) timing: Timing,
    pub(crate) placement: policy::Settings,
    pub(crate) mode_state: ModeState,
    pub(crate) record: Record,
    pub(crate) record_read_ms: Option<Millis>,
    pub(crate) is_writing: bool,
    pub(crate) is_leaving: bool,
    pub(crate) entry_vms: Vec<Name>,
    pub(crate) relay: Relay,
    pub(crate) heartbeats: RelayClient,
    pub(crate) pools: IndexMap<Name, Pool>,
}

impl xtra::Actor for Coordinator {
    type Stop = ();

    async fn stopped(self) {}
}

impl Coordinator {
    pub(crate) fn on_tick(&mut self, now: Millis, address: &WeakAddress<Self>) {
        self.send_heartbeat(now);
        self.update_mode(now);
        self.edit_record(now, address);
        let uses_shares = self.mode_state.mode() != Mode::Granted;
        let roster = &self.record.roster;
        let connected = self.peers.connected();
        for pool in self.pools.values_mut() {
            if !pool.is_owner_reachable(&connected) {
                pool.on_owner_unreachable(now);
            }
            for (name, target) in &mut pool.targets {
                target.per_mille = self.availability.vm_share(name).per_mille();
            }
            pool.update_owner_targets();
            match uses_shares {
                true => pool.take_shares(now, roster),
                false => pool.request_slots(now),
            }
            pool.expire_waiters(now);
            pool.run_owner(now);
        }
        self.poll_targets(now, address);
        self.send_outgoing(now);
    }

    fn send_heartbeat(&mut self, now: Millis) {
        let must_use_shares = self.must_use_shares(now);
        let heartbeat = self.heartbeats.next_heartbeat(
            now,
            &self.record.roster,
            &self.own.data_centre,
            &mut self.mode_state,
            !must_use_shares,
        );
        if let Some((relay, heartbeat)) = heartbeat {
            self.send_member(now, &relay.id, wire::Message::Heartbeat(heartbeat));
        }
    }

    fn must_use_shares(&self, now: Millis) -> bool {
        let confirmation = self.heartbeats.confirmation(now);
        confirmation.is_some_and(|confirmation| {
            membership::must_enter_share_mode(now, confirmation, &self.timing)
        })
    }

    fn update_mode(&mut self, now: Millis) {
        let must_share = self.heartbeats.is_lost(now) || self.must_use_shares(now);
        let changed = match self.mode_state.mode() {
            Mode::Granted => must_share && self.mode_state.enter_share(now),
            Mode::Share { .. } if !must_share => {
                self.mode_state.leave_share();
                true
            }
            Mode::Share { .. } => false,
        };
        if !changed {
            return;
        }
        let mode = self.mode_state.mode();
        info!(self.log, "Grant mode changed."; "mode" => ?mode);
        let session = self.mode_state.session();
        let pools = self.pools.values_mut();
        pools.for_each(|pool| pool.member.on_mode(mode, session));
    }

    /// Starts to write the edit of the record that is due, if this node has to make it.
    fn edit_record(&mut self, now: Millis, address: &WeakAddress<Self>) {
        let recent = |read_ms: Millis| now.since(read_ms) < MAX_RECORD_AGE_MS;
        if self.is_leaving || self.is_writing || !self.record_read_ms.is_some_and(recent) {
            return;
        }
        let is_relay = self.heartbeats.relay() == Some(&self.id);
        let pools: Vec<Name> = self.pools.keys().cloned().collect();
        let edit = record_edit::due_edit(
            now,
            &self.own,
            &self.record.roster,
            &self.relay,
            &pools,
            &self.entry_vms,
            is_relay,
        );
        let Some(edit) = edit else {
            return;
        };
        info!(self.log, "Writing an edit of the data centre's record.";
            "change" => edit.description, "version" => edit.roster.version);
        self.is_writing = true;
        let platform = self.platform.clone();
        let data_centre = self.own.data_centre.clone();
        let revision = self.record.revision;
        let address = address.clone();
        tokio::spawn(async move {
            record::write(&platform, &data_centre, &edit.roster, revision).await;
            address.send(RecordWritten).await.ok();
        });
    }

    fn poll_targets(&mut self, now: Millis, address: &WeakAddress<Self>) {
        let uses_shares = self.mode_state.mode() != Mode::Granted;
        let own = &self.id;
        let roster = &self.record.roster;
        for (pool_name, pool) in &mut self.pools {
            let owns = pool.owner.is_some();
            for (name, target) in &mut pool.targets {
                let limit = target
                    .report
                    .as_ref()
                    .map_or(u32::MAX, |report| report.cold_limit);
                let shares = uses_shares && roster.share(name, limit, own) > 0;
                let due = now.since(target.last_poll_ms) >= POLL_INTERVAL_MS;
                if target.has_open_poll || !due || !(owns || shares) {
                    continue;
                }
                target.has_open_poll = true;
                target.last_poll_ms = now;
                let client = self.targets.clone();
                let at = target.address;
                let address = address.clone();
                let polled = TargetPolled {
                    pool: pool_name.clone(),
                    target: name.clone(),
                    requested_ms: now,
                    load: None,
                };
                tokio::spawn(async move {
                    let load = client.load(at).await.ok();
                    address.send(TargetPolled { load, ..polled }).await.ok();
                });
            }
        }
    }

    pub(crate) fn on_record(&mut self, now: Millis, record: Record) {
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
            .for_each(|address| self.peers.add(address));
        for pool in self.pools.values_mut() {
            pool.on_roster(now, &self.id, roster);
        }
        info!(self.log, "Newer version of the roster applied.";
            "version" => roster.version);
    }

    pub(crate) fn on_vms(&mut self, now: Millis, vms: &[Vm]) {
        self.availability.on_list(vms);
        for pool in self.pools.values_mut() {
            pool.targets.retain(|name, target| {
                vms.iter()
                    .any(|vm| vm.name == *name && vm.address == target.address.to_string())
            });
        }
        let local = |vm: &&Vm| vm.data_centre == self.own.data_centre;
        let entries = vms.iter().filter(|vm| vm.role == VmRole::Entry);
        self.entry_vms = entries.filter(local).map(|vm| vm.name.clone()).collect();
        let targets = vms.iter().filter(|vm| vm.role == VmRole::Target);
        for vm in targets.filter(local) {
            let Ok(address) = vm.address.parse() else {
                continue;
            };
            let pool = self.pools.entry(vm.model.clone()).or_insert_with(|| {
                let mut pool = Pool::new(
                    vm.model.clone(),
                    self.timing,
                    self.id.clone(),
                    self.placement,
                );
                pool.member
                    .on_mode(self.mode_state.mode(), self.mode_state.session());
                pool.on_roster(now, &self.id, &self.record.roster);
                pool
            });
            pool.targets.entry(vm.name.clone()).or_insert(Target {
                address,
                per_mille: 0,
                report: None,
                has_open_poll: false,
                last_poll_ms: Millis::ZERO,
            });
        }
    }

    pub(crate) fn on_member(&mut self, now: Millis, from: &NodeId, message: wire::Message) {
        match message {
            wire::Message::Heartbeat(heartbeat) => {
                let roster = &self.record.roster;
                let answer = self.relay.on_heartbeat(now, from, &heartbeat, roster);
                if heartbeat.version < roster.version {
                    let roster = Box::new(roster.clone());
                    self.send_member(now, from, wire::Message::Roster(roster));
                }
                self.send_member(now, from, wire::Message::Answer(answer));
            }
            wire::Message::Answer(answer) => {
                self.heartbeats
                    .on_answer(now, from, &answer, &self.record.roster);
                if let Some(confirmation) = self.heartbeats.confirmation(now).cloned() {
                    self.on_confirmation(&confirmation);
                }
            }
            wire::Message::Roster(roster) => {
                if roster.version > self.record.roster.version {
                    let record = Record {
                        roster: *roster,
                        revision: None,
                    };
                    // A roster sent by the relay comes without the table revision of the record,
                    // so this node cannot edit the record until it reads it.
                    self.record_read_ms = None;
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
            if let Some(read_ms) = confirmation.read_ms {
                owner.on_confirm(read_ms);
            }
            for (id, promise) in &confirmation.promises {
                owner.on_promise(id, *promise);
            }
        }
    }

    pub(crate) fn on_grant_message(&mut self, now: Millis, from: &NodeId, message: grant::Message) {
        let name = message.pool().clone();
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.on_message(now, from, message);
            pool.run_owner(now);
        }
    }

    /// Sends the pools' outgoing messages; those to this node are handled at once.
    pub(crate) fn send_outgoing(&mut self, now: Millis) {
        loop {
            let pools = self.pools.values_mut();
            let outgoing: Vec<Outgoing> = pools
                .flat_map(|pool| std::mem::take(&mut pool.outgoing))
                .collect();
            if outgoing.is_empty() {
                return;
            }
            for outgoing in outgoing {
                self.send_slot_message(now, outgoing);
            }
        }
    }

    fn send_slot_message(&mut self, now: Millis, outgoing: Outgoing) {
        if outgoing.to == self.id {
            self.on_grant_message(now, &outgoing.to, outgoing.message);
            return;
        }
        let message = Message::Grant(outgoing.message.clone());
        if !self.peers.send(&outgoing.to.name, message)
            && let Some(pool) = self.pools.get_mut(outgoing.message.pool())
        {
            pool.on_unsent(&outgoing);
        }
    }

    fn send_member(&mut self, now: Millis, to: &NodeId, message: wire::Message) {
        if *to == self.id {
            let id = self.id.clone();
            self.on_member(now, &id, message);
        } else {
            self.peers.send(&to.name, Message::Member(message));
        }
    }
}

pub(crate) fn node_id(peer: &Peer) -> NodeId {
    NodeId {
        name: peer.name.clone(),
        incarnation: peer.incarnation,
    }
}
