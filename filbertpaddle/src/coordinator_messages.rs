//! Messages to the coordinator actor and their handlers.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::grant_mode::Mode;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::report::Report;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_target::protocol::Warmth;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::member as wire;
use slog::warn;
use tokio::sync::oneshot;
use xtra::Context;
use xtra::Handler;

use crate::attempt_id;
use crate::coordinator::Coordinator;
use crate::coordinator::node_id;
use crate::inbox::Incoming;
use crate::pools::Grant;
use crate::pools::Refusal;
use crate::pools::Slot;
use crate::pools::SlotRequest;
use crate::record::Record;
use crate::record_edit;

/// Time after which a refused caller may retry.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Requests a slot; the result is sent to `reply`.
pub(crate) struct Acquire {
    pub(crate) request: SlotRequest,
    pub(crate) reply: oneshot::Sender<Result<Grant, Refusal>>,
}

/// Releases a slot.
pub(crate) struct Release {
    pub(crate) slot: Slot,
    pub(crate) end: grant::End,
}

/// What a leaving node needs to remove itself from the record.
pub(crate) struct LeaveContext {
    pub(crate) platform: Client,
    pub(crate) data_centre: Name,
    pub(crate) id: NodeId,
}

/// Stops edits of the record, since the node holds no work and is shutting down.
pub(crate) struct Leave;

/// Records that the work of a slot has reached its target or never will.
pub(crate) struct WorkSent(pub(crate) Slot);

/// Runs the periodic work of the coordinator.
pub(crate) struct Tick;

/// The platform's list of VMs was read.
pub(crate) struct VmsListed(pub(crate) Vec<Vm>);

/// Asks whether this node reads the record from the platform.
pub(crate) struct IsRecordReader;

/// A read of the record ended; `None` if it failed.
pub(crate) struct RecordRead {
    pub(crate) requested_ms: Millis,
    pub(crate) record: Option<Record>,
}

/// A write of the record ended, with or without success.
pub(crate) struct RecordWritten;

/// A poll of a target's load report ended; `None` if it failed.
pub(crate) struct TargetPolled {
    pub(crate) pool: Name,
    pub(crate) target: Name,
    pub(crate) requested_ms: Millis,
    pub(crate) load: Option<LoadReport>,
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
        let Some(pool) = self.pools.get_mut(&acquire.request.model) else {
            refuse(acquire.reply, Reason::NoTarget);
            return;
        };
        let is_open = |name: &Name| !self.availability.vm_share(name).is_none();
        if !pool.targets.keys().any(is_open) {
            refuse(acquire.reply, Reason::NoTarget);
            return;
        }
        pool.add_waiter(now, &acquire.request, acquire.reply);
        if self.mode_state.mode() == Mode::Granted {
            pool.request_slots(now);
        }
        self.send_outgoing(now);
    }
}

impl Handler<Release> for Coordinator {
    type Return = ();

    async fn handle(&mut self, release: Release, _: &mut Context<Self>) {
        let now = self.clock.now();
        if let Some(pool) = self.pools.get_mut(&release.slot.pool) {
            pool.release(now, &release.slot, release.end);
        }
        self.send_outgoing(now);
    }
}

impl Handler<Leave> for Coordinator {
    type Return = LeaveContext;

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) -> LeaveContext {
        self.is_leaving = true;
        LeaveContext {
            platform: self.platform.clone(),
            data_centre: self.own.data_centre.clone(),
            id: self.id.clone(),
        }
    }
}

impl Handler<WorkSent> for Coordinator {
    type Return = ();

    async fn handle(&mut self, sent: WorkSent, _: &mut Context<Self>) {
        if let Some(pool) = self.pools.get_mut(&sent.0.pool) {
            pool.member.on_sent(&sent.0.key);
        }
    }
}

impl Handler<VmsListed> for Coordinator {
    type Return = ();

    async fn handle(&mut self, list: VmsListed, _: &mut Context<Self>) {
        let now = self.clock.now();
        self.on_vms(now, &list.0);
    }
}

impl Handler<IsRecordReader> for Coordinator {
    type Return = bool;

    /// The relay reads the record for all members. A node that is not a member yet,
    /// or that no relay answers, reads it for itself.
    async fn handle(&mut self, _: IsRecordReader, _: &mut Context<Self>) -> bool {
        let now = self.clock.now();
        let is_member = record_edit::is_member(&self.id, &self.record.roster);
        let is_relay = self.heartbeats.relay() == Some(&self.id);
        is_relay || !is_member || self.heartbeats.is_lost(now)
    }
}

impl Handler<RecordRead> for Coordinator {
    type Return = ();

    async fn handle(&mut self, read: RecordRead, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(record) = read.record else {
            warn!(
                self.log,
                "Cannot read the data centre's record; keeping the last roster."
            );
            return;
        };
        // A read that is older than the roster applied here confirms no ownership.
        if record.roster.version < self.record.roster.version {
            return;
        }
        self.record_read_ms = Some(read.requested_ms);
        self.relay.on_roster_read(read.requested_ms);
        self.on_record(now, record);
    }
}

impl Handler<RecordWritten> for Coordinator {
    type Return = ();

    async fn handle(&mut self, _: RecordWritten, _: &mut Context<Self>) {
        self.is_writing = false;
        // Only a new read shows whether the write succeeded.
        self.record_read_ms = None;
    }
}

impl Handler<TargetPolled> for Coordinator {
    type Return = ();

    async fn handle(&mut self, polled: TargetPolled, _: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(pool) = self.pools.get_mut(&polled.pool) else {
            return;
        };
        if let Some(target) = pool.targets.get_mut(&polled.target) {
            target.has_open_poll = false;
        }
        let Some(load) = polled.load else {
            return;
        };
        if load.leaving {
            self.availability.on_reclaim(&polled.target);
        }
        pool.on_report(
            now,
            &polled.target,
            report(polled.requested_ms, &load),
            &load,
        );
        pool.run_owner(now);
        self.send_outgoing(now);
    }
}

impl Handler<Incoming<wire::Message>> for Coordinator {
    type Return = ();

    async fn handle(&mut self, from: Incoming<wire::Message>, _: &mut Context<Self>) {
        let now = self.clock.now();
        if from.peer.data_centre == self.own.data_centre {
            self.on_member(now, &node_id(&from.peer), from.message);
        }
    }
}

impl Handler<Incoming<grant::Message>> for Coordinator {
    type Return = ();

    async fn handle(&mut self, from: Incoming<grant::Message>, _: &mut Context<Self>) {
        let now = self.clock.now();
        if from.peer.data_centre == self.own.data_centre {
            self.on_grant_message(now, &node_id(&from.peer), from.message);
            self.send_outgoing(now);
        }
    }
}

fn report(requested_ms: Millis, load: &LoadReport) -> Report {
    Report {
        taken_ms: Millis(requested_ms.0.saturating_sub(load.age_ms.0)),
        incarnation: load.incarnation,
        warm: load.warmth == Warmth::Warm,
        cold_limit: load.cold_limit,
        warm_limit: load.warm_limit,
        running: load.running,
        waiting: load.waiting,
        preemptions: load.preemptions,
        fence: None,
        works: load.attempts.iter().map(attempt_id::slot).collect(),
    }
}

fn refuse(reply: oneshot::Sender<Result<Grant, Refusal>>, reason: Reason) {
    let refusal = Refusal {
        reason,
        retry_after_ms: Some(RETRY_AFTER_MS),
    };
    reply.send(Err(refusal)).ok();
}
