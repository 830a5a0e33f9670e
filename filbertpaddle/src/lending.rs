//! Slots for and from other data centres, when one of them has no target.
//!
//! The node that lends holds the slot towards the owner of its own data
//! centre. Only slots on warm targets are lent: a cold target's limit rests on
//! the promises of its own data centre.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::roster::Id;
use filbertpaddle_core::slot::Key;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_platform::protocol::VmRole;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::grant::Message;
use tokio::sync::oneshot;
use xtra::WeakAddress;

use crate::coordinator::Coordinator;
use crate::coordinator::id;
use crate::coordinator_inputs::Lend;
use crate::coordinator_inputs::refuse;
use crate::peers::Peer;
use crate::pool;
use crate::pools::Ask;
use crate::pools::Grant;
use crate::pools::Refusal;
use crate::pools::Slot;

/// Time for an answer beyond the time that a request may wait.
const ANSWER_MS: Millis = Millis(1_000);

/// A request to another data centre.
pub(crate) struct Borrowed {
    number: u64,
    lender: Id,
    deadline_ms: Millis,
    reply: oneshot::Sender<Result<Grant, Refusal>>,
}

/// A slot that a node of another data centre uses.
pub(crate) struct Lent {
    borrower: Id,
    slot: Slot,
}

impl Coordinator {
    /// Asks a node of another data centre that has a target in service.
    pub(crate) fn borrow_slot(
        &mut self,
        now: Millis,
        ask: &Ask,
        reply: oneshot::Sender<Result<Grant, Refusal>>,
    ) {
        let Some(lender) = self.lender(&ask.model) else {
            refuse(reply, Reason::NoTarget);
            return;
        };
        self.next_borrow += 1;
        let message = Message::Borrow(ask.model.clone(), self.next_borrow, ask.wait_ms);
        self.send_grant(&lender.name, message);
        self.borrowed.push(Borrowed {
            number: self.next_borrow,
            lender: id(&lender),
            deadline_ms: now + ask.wait_ms + ANSWER_MS,
            reply,
        });
    }

    /// Waits for a slot on another node's behalf.
    pub(crate) fn on_borrow(
        &mut self,
        now: Millis,
        from: &Id,
        model: Name,
        number: u64,
        wait_ms: Millis,
        address: &WeakAddress<Self>,
    ) {
        let (reply, answer) = oneshot::channel();
        match self.pools.get_mut(&model) {
            Some(pool) => pool.wait(now, wait_ms, reply),
            None => refuse(reply, Reason::NoTarget),
        }
        let borrower = from.clone();
        let address = address.clone();
        tokio::spawn(async move {
            let grant = answer.await.ok().and_then(Result::ok);
            let lend = Lend {
                borrower,
                model,
                number,
                grant,
            };
            address.send(lend).await.ok();
        });
    }

    /// Passes a slot on, if its target is warm.
    pub(crate) fn on_lend(&mut self, lend: Lend) {
        let slot = lend
            .grant
            .and_then(|grant| Some((grant.slot?, grant.target)));
        let is_warm = |pool: &pool::Pool, target: &Name| {
            let report = pool
                .targets
                .get(target)
                .and_then(|target| target.report.as_ref());
            report.is_some_and(|report| report.warm)
        };
        let mut work = None;
        if let Some((slot, target)) = slot
            && let Some(pool) = self.pools.get_mut(&slot.pool)
        {
            if is_warm(pool, &target) {
                // The borrower sends it; nothing cold waits behind it here.
                pool.member.on_sent(&slot.key);
                work = Some(pool::work(&target, &slot.key));
                self.lent.push(Lent {
                    borrower: lend.borrower.clone(),
                    slot,
                });
            } else {
                pool.release(&slot, true);
            }
        }
        let message = Message::Lent(lend.model, lend.number, work);
        self.send_grant(&lend.borrower.name, message);
    }

    /// Takes in the answer of another data centre.
    pub(crate) fn on_lent(
        &mut self,
        from: &Id,
        model: Name,
        number: u64,
        work: Option<grant::Work>,
    ) {
        let mut waiting = self.borrowed.iter();
        let index = waiting.position(|one| one.number == number && one.lender == *from);
        let borrowed = index.map(|index| self.borrowed.swap_remove(index));
        let grant = work.and_then(|work| {
            let address = self.vms.iter().find(|vm| vm.name == work.target)?;
            Some(Grant {
                target: work.target.clone(),
                address: address.address.parse().ok()?,
                fence: work.epoch,
                slot: Some(Slot {
                    pool: model,
                    key: pool::key(from, &work),
                }),
            })
        });
        match (borrowed, grant) {
            (Some(borrowed), Some(grant)) => {
                if let Err(Ok(grant)) = borrowed.reply.send(Ok(grant))
                    && let Some(slot) = &grant.slot
                {
                    self.give_back(slot, true);
                }
            }
            (Some(borrowed), None) => refuse(borrowed.reply, Reason::Overloaded),
            (None, Some(grant)) => {
                if let Some(slot) = &grant.slot {
                    self.give_back(slot, true);
                }
            }
            (None, None) => {}
        }
    }

    /// Gives a slot back to the data centre that lent it.
    pub(crate) fn give_back(&self, slot: &Slot, ended: bool) {
        let Key {
            holder,
            epoch,
            source,
            number,
        } = slot.key.clone();
        let message = Message::Return(slot.pool.clone(), epoch, source, number, ended);
        self.send_grant(&holder.name, message);
    }

    /// Takes a lent slot back.
    pub(crate) fn on_return(&mut self, from: &Id, pool: &Name, key: &Key, ended: bool) {
        let mut lent = self.lent.iter();
        let is_it = |one: &Lent| one.borrower == *from && one.slot.key == *key;
        let Some(index) = lent.position(is_it) else {
            return;
        };
        let Lent { slot, .. } = self.lent.swap_remove(index);
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.release(&slot, ended);
        }
    }

    /// Refuses what waited too long, and leaves slots of nodes that have gone
    /// to the targets' reports.
    pub(crate) fn sweep_lending(&mut self, now: Millis) {
        let borrowed = std::mem::take(&mut self.borrowed);
        let (over, waiting): (Vec<_>, Vec<_>) =
            borrowed.into_iter().partition(|one| now >= one.deadline_ms);
        self.borrowed = waiting;
        over.into_iter()
            .for_each(|one| refuse(one.reply, Reason::Overloaded));
        if self.lent.is_empty() {
            return;
        }
        let connected: Vec<Id> = self.peers.connected().iter().map(id).collect();
        let lent = std::mem::take(&mut self.lent);
        let (kept, gone): (Vec<_>, Vec<_>) = lent
            .into_iter()
            .partition(|one| connected.contains(&one.borrower));
        self.lent = kept;
        for Lent { slot, .. } in gone {
            if let Some(pool) = self.pools.get_mut(&slot.pool) {
                pool.release(&slot, false);
            }
        }
    }

    fn lender(&self, model: &Name) -> Option<Peer> {
        let is_open = |vm: &&Vm| {
            let is_target = vm.role == VmRole::Target && vm.model == *model;
            is_target && !self.service.vm_share(&vm.name).is_none()
        };
        let mut lenders = self.peers.connected();
        lenders.retain(|peer| {
            let mut targets = self.vms.iter().filter(is_open);
            let is_other = peer.data_centre != self.own.data_centre;
            is_other && targets.any(|vm| vm.data_centre == peer.data_centre)
        });
        let count = lenders.len();
        (count > 0).then(|| lenders.swap_remove(rand::random_range(0..count)))
    }
}
