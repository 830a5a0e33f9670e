//! The owner's side of a pool: targets, grants and questions to members.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::owner;
use filbertpaddle_core::report::Report;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::grant::Message;

use crate::body;
use crate::pool::Out;
use crate::pool::Pool;
use crate::pool::REASK_MS;

/// Time between two questions to every member what it holds, which find what
/// lost messages have left counted.
const RECOUNT_MS: Millis = Millis(10_000);

impl Pool {
    /// Lets the owner know the targets and how much of them may be used.
    pub(crate) fn add_targets(&mut self) {
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

    /// Takes in a target's report.
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

    /// Grants what can be granted, and asks members what they hold.
    pub(crate) fn own(&mut self, now: Millis) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        for granted in self.scheduler.make_grants(now, owner) {
            let to = granted.key.holder.clone();
            let message = Message::Grant(self.name.clone(), body::grant_message(granted));
            self.out.push(Out { to, message });
        }
        for denied in self.scheduler.take_denied(now) {
            let number = denied.request.number;
            owner.on_withdraw(&denied.request.holder, number);
            let message = Message::Deny(self.name.clone(), number, body::denial(&denied.refusal));
            let to = denied.request.holder;
            self.out.push(Out { to, message });
        }
        for suspect in self.scheduler.take_changed_suspects(now) {
            let own = self.member.id();
            for to in owner.members().iter().filter(|id| *id != own) {
                let record = suspect.record.clone();
                let message = Message::Suspect(self.name.clone(), suspect.digest, record);
                let to = to.clone();
                self.out.push(Out { to, message });
            }
        }
        if now.since(self.collected_ms) < REASK_MS {
            return;
        }
        self.collected_ms = now;
        let collects = match now.since(self.recounted_ms) < RECOUNT_MS {
            true => owner.due_collects(),
            false => {
                self.recounted_ms = now;
                owner.recount_requests()
            }
        };
        for collect in collects {
            let message = grant::Collect {
                epoch: collect.epoch,
                upto: collect.upto,
            };
            let to = collect.holder;
            let message = Message::Collect(self.name.clone(), message);
            self.out.push(Out { to, message });
        }
    }

    pub(crate) fn on_ask(&mut self, now: Millis, from: &NodeId, ask: &grant::Ask) {
        let asked = owner::SlotRequest {
            holder: from.clone(),
            number: ask.number,
            stamp: ask.stamp,
            session: ask.session,
        };
        let to = from.clone();
        let owner = self.owner.as_mut();
        let Some(owner) = owner.and_then(|owner| owner.on_request(asked.clone()).then_some(owner))
        else {
            let message = Message::Refuse(self.name.clone(), ask.number);
            self.out.push(Out { to, message });
            return;
        };
        if let Err(refusal) = self.scheduler.push(now, asked, &ask.want) {
            owner.on_withdraw(from, ask.number);
            let message = Message::Deny(self.name.clone(), ask.number, body::denial(&refusal));
            self.out.push(Out { to, message });
        }
    }
}
