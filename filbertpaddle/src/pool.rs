//! State of one pool of targets on this node: its membership, its waiting
//! requests and, if this node owns the pool, the owner.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::member::Member;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::owner;
use filbertpaddle_core::owner::Owner;
use filbertpaddle_core::policy;
use filbertpaddle_core::report::Report;
use filbertpaddle_core::roster;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;
use filbertpaddle_core::slot;
use filbertpaddle_core::slot::HeldWork;
use filbertpaddle_core::slot::Source;
use filbertpaddle_core::timing::Timing;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::grant::Denial;
use filbertpaddle_wire::grant::End;
use filbertpaddle_wire::grant::Message;
use filbertpaddle_wire::grant::WorkSpec;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::peers::Peer;
use crate::pool_scheduler;
use crate::pool_scheduler::PoolScheduler;
use crate::pools::Grant;
use crate::pools::Refusal;
use crate::pools::Slot;
use crate::pools::SlotRequest;
use crate::slot_message;

/// Time after which a refused caller may retry.
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Delay before a slot request that the owner did not queue is sent again, and
/// interval between two rounds of collect requests.
pub(crate) const RETRY_INTERVAL_MS: Millis = Millis(200);

/// A target in the platform's VM list.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) address: SocketAddr,
    /// Portion of its limit that may be used, in thousandths.
    pub(crate) per_mille: u16,
    /// Last load report.
    pub(crate) report: Option<Report>,
    /// Whether a poll of its load report is in progress.
    pub(crate) has_open_poll: bool,
    /// When the last poll was started.
    pub(crate) last_poll_ms: Millis,
}

/// A request on this node that waits for a slot.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) deadline_ms: Millis,
    pub(crate) reply: oneshot::Sender<Result<Grant, Refusal>>,
    want: WorkSpec,
    /// Number of the slot request that is pending at the owner.
    request_number: Option<u64>,
    next_request_ms: Millis,
}

/// A message to a member, which may be this node.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: NodeId,
    pub(crate) message: Message,
}

/// One pool of targets.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) name: Name,
    pub(crate) timing: Timing,
    pub(crate) member: Member,
    pub(crate) owner: Option<Owner>,
    pub(crate) scheduler: PoolScheduler,
    pub(crate) named_owner: Option<roster::Owner>,
    pub(crate) targets: IndexMap<Name, Target>,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) last_stamp_ms: Millis,
    pub(crate) last_collect_ms: Millis,
    pub(crate) last_recount_ms: Millis,
    /// Epoch of the last owner that this node has sent its crash records to.
    suspects_epoch: u64,
    pub(crate) outgoing: Vec<Outgoing>,
}

impl Pool {
    pub(crate) fn new(name: Name, timing: Timing, id: NodeId, placement: policy::Settings) -> Self {
        Self {
            name,
            timing,
            member: Member::new(timing, id),
            owner: None,
            scheduler: PoolScheduler::new(placement),
            named_owner: None,
            targets: IndexMap::new(),
            waiters: Vec::new(),
            last_stamp_ms: Millis::ZERO,
            last_collect_ms: Millis::ZERO,
            last_recount_ms: Millis::ZERO,
            suspects_epoch: 0,
            outgoing: Vec::new(),
        }
    }

    /// Applies a new version of the roster: starts or ends this node's ownership, and
    /// marks all slot requests to be sent again if the epoch changed.
    pub(crate) fn on_roster(&mut self, now: Millis, own: &NodeId, roster: &Roster) {
        let named = roster.owner(&self.name).cloned();
        let epoch = named.as_ref().map(|owner| owner.epoch);
        if self.named_owner.as_ref().map(|owner| owner.epoch) != epoch {
            self.waiters
                .iter_mut()
                .for_each(|waiter| waiter.request_number = None);
        }
        let is_own = named.as_ref().is_some_and(|owner| owner.member == *own);
        self.named_owner = named;
        match (&mut self.owner, epoch.filter(|_| is_own)) {
            (Some(owner), Some(epoch)) if owner.epoch() == epoch => {
                owner.on_roster(now, roster.clone());
            }
            (owner_state, Some(epoch)) => {
                *owner_state = Some(Owner::new(self.timing, epoch, now, roster.clone()));
                self.scheduler.reset(now);
                self.update_owner_targets();
            }
            (owner_state, None) => *owner_state = None,
        }
    }

    /// Adds a request that waits for a slot.
    pub(crate) fn add_waiter(
        &mut self,
        now: Millis,
        request: &SlotRequest,
        reply: oneshot::Sender<Result<Grant, Refusal>>,
    ) {
        self.waiters.push(Waiter {
            deadline_ms: now + request.want.wait_ms,
            reply,
            want: request.want.clone(),
            request_number: None,
            next_request_ms: now,
        });
    }

    /// Sends the owner a slot request for each waiter that has none pending.
    pub(crate) fn request_slots(&mut self, now: Millis) {
        let Some(owner) = self.named_owner.clone() else {
            return;
        };
        for waiter in &mut self.waiters {
            if waiter.request_number.is_some() || now < waiter.next_request_ms {
                continue;
            }
            let request = self.member.request_slot(now);
            waiter.request_number = Some(request.number);
            self.last_stamp_ms = now;
            let request = grant::SlotRequest {
                number: request.number,
                stamp: request.stamp,
                session: request.session,
                want: WorkSpec {
                    wait_ms: waiter.deadline_ms.since(now),
                    ..waiter.want.clone()
                },
            };
            let message = Message::SlotRequest(self.name.clone(), request);
            let to = owner.member.clone();
            self.outgoing.push(Outgoing { to, message });
        }
    }

    /// Returns whether the owner is this node or a connected peer; true for a pool
    /// without an owner.
    pub(crate) fn is_owner_reachable(&self, connected: &[Peer]) -> bool {
        let Some(owner) = &self.named_owner else {
            return true;
        };
        let is_owner = |peer: &Peer| {
            peer.name == owner.member.name && peer.incarnation == owner.member.incarnation
        };
        self.owner.is_some() || connected.iter().any(is_owner)
    }

    /// Marks all slot requests to be sent again, since those sent to the
    /// unreachable owner may be lost.
    pub(crate) fn on_owner_unreachable(&mut self, now: Millis) {
        for waiter in &mut self.waiters {
            waiter.request_number = None;
            waiter.next_request_ms = now + RETRY_INTERVAL_MS;
        }
    }

    /// Removes waiters that are past their deadline or whose caller has gone, and
    /// withdraws their slot requests, so that the owner grants them nothing.
    ///
    /// For the remaining ones a new stamp is sent to the owner in time, since a grant is
    /// accepted only within `accept_ms` of the stamp that it names.
    pub(crate) fn expire_waiters(&mut self, now: Millis) {
        let (expired, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|waiter| now >= waiter.deadline_ms || waiter.reply.is_closed());
        self.waiters = waiting;
        for waiter in expired {
            if let Some(number) = waiter.request_number {
                self.send_to_owner(Message::Withdraw(self.name.clone(), number));
            }
            waiter.reply.send(Err(overloaded_refusal())).ok();
        }
        let due = now.since(self.last_stamp_ms).0 * 3 >= self.timing.accept_ms.0;
        if due
            && self
                .waiters
                .iter()
                .any(|waiter| waiter.request_number.is_some())
        {
            self.last_stamp_ms = now;
            let stamp = self.member.stamp(now);
            self.send_to_owner(Message::Stamp(self.name.clone(), stamp));
        }
    }

    /// Grants waiters slots within this node's shares of the targets, and refuses those whose
    /// request is quarantined.
    pub(crate) fn take_shares(&mut self, now: Millis, roster: &Roster) {
        while let Some(waiter) = self.waiters.first() {
            if self.scheduler.is_blocked(now, &waiter.want) {
                let waiter = self.waiters.remove(0);
                waiter
                    .reply
                    .send(Err(pool_scheduler::quarantined_refusal()))
                    .ok();
                continue;
            }
            let targets = self
                .targets
                .iter()
                .filter(|(_, target)| target.per_mille > 0);
            let held = targets
                .filter_map(|(name, target)| Some((name.clone(), target.report.clone()?)))
                .find_map(|(name, report)| {
                    self.member.take_share(now, &name, &report, roster).ok()
                });
            let Some(held) = held else {
                return;
            };
            let waiter = self.waiters.remove(0);
            self.scheduler
                .record_local_start(now, &held.key, &held.target, &waiter.want);
            self.deliver_grant(now, waiter, held);
        }
    }

    /// Handles a message from a member, which may be this node.
    pub(crate) fn on_message(&mut self, now: Millis, from: &NodeId, message: Message) {
        match message {
            Message::SlotRequest(_, request) => self.on_slot_request(now, from, &request),
            Message::Stamp(_, stamp) => {
                if let Some(owner) = &mut self.owner {
                    owner.on_stamp(from, stamp);
                }
            }
            Message::Withdraw(_, number) => {
                if let Some(owner) = &mut self.owner {
                    owner.on_withdraw(from, number);
                    self.scheduler.withdraw(from, number);
                }
            }
            Message::Deny(_, number, denial) => self.on_deny(number, denial),
            Message::Suspect(_, digest, record) => {
                self.scheduler.merge_crash_record(now, digest, &record)
            }
            Message::Grant(_, grant) => self.on_grant(now, from, grant),
            Message::Refuse(_, number) => self.on_refuse(now, number),
            Message::Release(_, released, end) => {
                if let Some(owner) = &mut self.owner {
                    let key = slot_message::key_of_released(from, released);
                    owner.on_release(now, &key, end.ending.is_over());
                    self.scheduler.record_end(now, &key, end);
                }
            }
            Message::CollectRequest(_, collect) => self.on_collect(from, &collect),
            Message::CollectReply(_, reply) => {
                if let Some(owner) = &mut self.owner {
                    let reply = slot_message::to_collect_reply(from, &reply);
                    if owner.has_collected(from, reply.session) {
                        owner.on_recount_reply(now, &reply);
                    } else {
                        owner.on_collect_reply(&reply);
                    }
                }
            }
        }
    }

    /// Releases a slot that this node holds.
    pub(crate) fn release(&mut self, now: Millis, slot: &Slot, end: End) {
        if !self.member.on_end(&slot.key) {
            return;
        }
        if slot.key.source == Source::Share {
            self.scheduler.record_end(now, &slot.key, end);
        }
        let released = slot_message::to_released_slot(&slot.key);
        self.send_to_owner(Message::Release(self.name.clone(), released, end));
    }

    fn on_deny(&mut self, number: u64, denial: Denial) {
        let is_denied = |waiter: &Waiter| waiter.request_number == Some(number);
        let Some(index) = self.waiters.iter().position(is_denied) else {
            return;
        };
        let waiter = self.waiters.remove(index);
        let refusal = Refusal {
            reason: denial.reason,
            retry_after_ms: denial.retry_after_ms,
        };
        waiter.reply.send(Err(refusal)).ok();
    }

    fn on_refuse(&mut self, now: Millis, number: u64) {
        let mut waiters = self.waiters.iter_mut();
        if let Some(waiter) = waiters.find(|waiter| waiter.request_number == Some(number)) {
            waiter.request_number = None;
            waiter.next_request_ms = now + RETRY_INTERVAL_MS;
        }
    }

    fn on_collect(&mut self, from: &NodeId, collect: &grant::CollectRequest) {
        let collect = owner::CollectRequest {
            holder: from.clone(),
            epoch: collect.epoch,
            upto: collect.upto,
        };
        let Some(reply) = self.member.on_collect(&collect) else {
            return;
        };
        let works = reply.works.iter();
        let message = grant::CollectReply {
            epoch: reply.epoch,
            upto: reply.upto,
            session: reply.session,
            works: works
                .map(|held| slot_message::to_held_work(&held.target, &held.key))
                .collect(),
        };
        let message = Message::CollectReply(self.name.clone(), message);
        let to = from.clone();
        self.outgoing.push(Outgoing { to, message });
        self.send_suspects(from, collect.epoch);
    }

    /// Sends the crash records to a new owner: those that its predecessor had sent to some
    /// members only would otherwise be lost with it.
    fn send_suspects(&mut self, owner: &NodeId, epoch: u64) {
        if epoch <= self.suspects_epoch {
            return;
        }
        self.suspects_epoch = epoch;
        for suspect in self.scheduler.suspects() {
            let message = Message::Suspect(self.name.clone(), suspect.digest, suspect.record);
            let to = owner.clone();
            self.outgoing.push(Outgoing { to, message });
        }
    }

    /// Handles a message that could not be sent because its receiver is not connected.
    pub(crate) fn on_unsent(&mut self, unsent: &Outgoing) {
        if matches!(unsent.message, Message::Suspect(..)) {
            self.scheduler.mark_suspects_unsent(&unsent.to);
            self.suspects_epoch = 0;
        }
    }

    fn on_grant(&mut self, now: Millis, from: &NodeId, granted: grant::Grant) {
        let is_owner = |owner: &roster::Owner| owner.member == *from;
        let released = grant::ReleasedSlot {
            epoch: granted.epoch,
            source: Source::Granted,
            number: granted.number,
        };
        let index = self.waiters.iter().position(|waiter| {
            waiter.request_number == Some(granted.ask) && !waiter.reply.is_closed()
        });
        let own = self.member.id().clone();
        let grant = slot::Grant {
            key: slot_message::key_of_released(&own, released),
            target: granted.target,
            request: granted.ask,
            stamp: granted.stamp,
            cold: granted.cold,
        };
        let is_open = self
            .targets
            .get(&grant.target)
            .is_some_and(|t| t.per_mille > 0);
        let is_wanted = is_open && self.named_owner.as_ref().is_some_and(is_owner);
        let accepted = match index.filter(|_| is_wanted) {
            Some(index) => self
                .member
                .accept(now, &grant)
                .map(|held| (self.waiters.remove(index), held)),
            None => Err(filbertpaddle_core::member::Refusal::Expired),
        };
        match accepted {
            Ok((waiter, held)) => self.deliver_grant(now, waiter, held),
            Err(_) => {
                let to = from.clone();
                let message = Message::Release(self.name.clone(), released, End::UNSENT);
                self.outgoing.push(Outgoing { to, message });
                self.on_refuse(now, grant.request);
            }
        }
    }

    fn deliver_grant(&mut self, now: Millis, mut waiter: Waiter, held: HeldWork) {
        let Some(target) = self.targets.get(&held.target) else {
            self.member.on_end(&held.key);
            waiter.request_number = None;
            waiter.next_request_ms = now;
            self.waiters.push(waiter);
            return;
        };
        let grant = Grant {
            target: held.target.clone(),
            address: target.address,
            fence: held.key.epoch,
            borrowed: None,
            slot: Some(Slot {
                pool: self.name.clone(),
                key: held.key.clone(),
            }),
        };
        if let Err(Ok(grant)) = waiter.reply.send(Ok(grant))
            && let Some(slot) = &grant.slot
        {
            self.release(now, slot, End::UNSENT);
        }
    }

    fn send_to_owner(&mut self, message: Message) {
        if let Some(owner) = &self.named_owner {
            let to = owner.member.clone();
            self.outgoing.push(Outgoing { to, message });
        }
    }
}

/// Returns the refusal for a request that got no slot before its deadline.
pub(crate) fn overloaded_refusal() -> Refusal {
    Refusal {
        reason: Reason::Overloaded,
        retry_after_ms: Some(RETRY_AFTER_MS),
    }
}
