//! The owner's side of a pool: targets, grants, and collect requests, which ask members
//! for the slots that they hold.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::owner;
use filbertpaddle_core::report::Report;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::grant::Message;

use crate::pool::Outgoing;
use crate::pool::Pool;
use crate::pool::RETRY_INTERVAL_MS;
use crate::slot_message;

/// Interval between two collect requests to every member, which find slots that
/// are still counted because a message, such as a release, was lost.
const RECOUNT_INTERVAL_MS: Millis = Millis(10_000);

impl Pool {
    /// Passes the targets and the usable portions of their limits to the owner;
    /// targets that are no longer listed get a portion of zero.
    pub(crate) fn update_owner_targets(&mut self) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        for (name, target) in &self.targets {
            owner.add_target(name);
            owner.set_portion(name, target.per_mille);
        }
        let ledgers = owner.ledgers().iter();
        let unlisted: Vec<Name> = ledgers
            .filter(|ledger| !self.targets.contains_key(&ledger.target))
            .map(|ledger| ledger.target.clone())
            .collect();
        unlisted.iter().for_each(|name| owner.set_portion(name, 0));
    }

    /// Applies a target's load report.
    pub(crate) fn on_report(
        &mut self,
        now: Millis,
        name: &Name,
        report: Report,
        load: &LoadReport,
    ) {
        if let Some(owner) = &mut self.owner {
            owner.on_report(now, name, &report);
        }
        self.scheduler
            .record_load(now, name, load, self.owner.as_ref());
        if let Some(target) = self.targets.get_mut(name) {
            target.report = Some(report);
        }
    }

    /// Grants and refuses queued requests, sends changed crash records to members,
    /// and sends the collect requests that are due.
    pub(crate) fn run_owner(&mut self, now: Millis) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        for granted in self.scheduler.make_grants(now, owner) {
            let to = granted.key.holder.clone();
            let message = Message::Grant(self.name.clone(), slot_message::to_grant(granted));
            self.outgoing.push(Outgoing { to, message });
        }
        for denied in self.scheduler.take_denied(now) {
            let number = denied.request.number;
            owner.on_withdraw(&denied.request.holder, number);
            let message = Message::Deny(
                self.name.clone(),
                number,
                slot_message::to_denial(&denied.refusal),
            );
            let to = denied.request.holder;
            self.outgoing.push(Outgoing { to, message });
        }
        let own = self.member.id();
        for to in owner.members().iter().filter(|id| *id != own) {
            for suspect in self.scheduler.take_changed_suspects(to) {
                let message = Message::Suspect(self.name.clone(), suspect.digest, suspect.record);
                let to = to.clone();
                self.outgoing.push(Outgoing { to, message });
            }
        }
        if now.since(self.last_collect_ms) < RETRY_INTERVAL_MS {
            return;
        }
        self.last_collect_ms = now;
        let collects = match now.since(self.last_recount_ms) < RECOUNT_INTERVAL_MS {
            true => owner.due_collects(),
            false => {
                self.last_recount_ms = now;
                owner.recount_requests()
            }
        };
        for collect in collects {
            let message = grant::CollectRequest {
                epoch: collect.epoch,
                upto: collect.upto,
            };
            let to = collect.holder;
            let message = Message::CollectRequest(self.name.clone(), message);
            self.outgoing.push(Outgoing { to, message });
        }
    }

    pub(crate) fn on_slot_request(
        &mut self,
        now: Millis,
        from: &NodeId,
        request: &grant::SlotRequest,
    ) {
        let queued = owner::SlotRequest {
            holder: from.clone(),
            number: request.number,
            stamp: request.stamp,
            session: request.session,
        };
        let to = from.clone();
        let owner = self.owner.as_mut();
        let Some(owner) = owner.and_then(|owner| owner.on_request(queued.clone()).then_some(owner))
        else {
            let message = Message::Refuse(self.name.clone(), request.number);
            self.outgoing.push(Outgoing { to, message });
            return;
        };
        if let Err(refusal) = self.scheduler.push(now, queued, &request.want) {
            owner.on_withdraw(from, request.number);
            let message = Message::Deny(
                self.name.clone(),
                request.number,
                slot_message::to_denial(&refusal),
            );
            self.outgoing.push(Outgoing { to, message });
        }
    }
}
