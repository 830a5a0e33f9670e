//! The work that an owner counts on one target.

use crate::clock::Millis;
use crate::limit::Limit;
use crate::name::Name;
use crate::report::Report;
use crate::roster::NodeId;
use crate::service::WHOLE_SHARE;
use crate::slot::Source;
use crate::slot::WorkKey;
use crate::slot::fence;
use crate::timing::Timing;

/// One piece of work that is counted against a target's limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    /// Which work.
    pub key: WorkKey,
    /// Whether a report has shown the work at the target.
    pub seen: bool,
    /// Since when its holder no longer answers for the work: it gave the work
    /// up without knowing its end, or has gone itself.
    pub orphaned_ms: Option<Millis>,
}

/// One target and the work counted on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Name of the target.
    pub target: Name,
    limit: Option<Limit>,
    slots: Vec<Slot>,
    is_complete: bool,
    is_fenced: bool,
    is_superseded: bool,
    portion_per_mille: u16,
}

impl Ledger {
    /// Returns a target of which nothing is known yet.
    pub fn new(target: Name) -> Self {
        Self {
            target,
            limit: None,
            slots: Vec::new(),
            is_complete: false,
            is_fenced: false,
            is_superseded: false,
            portion_per_mille: WHOLE_SHARE,
        }
    }

    /// Returns the work counted for one holder.
    pub fn used_by(&self, holder: &NodeId) -> u32 {
        let count = self.slots.iter().filter(|slot| slot.key.holder == *holder);
        u32::try_from(count.count()).unwrap_or(u32::MAX)
    }

    /// Returns all work counted.
    pub fn used(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Returns the counted work.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// Returns the limit, if a recent report gives one and grants can be sent.
    pub fn limit(&self, now: Millis, timing: &Timing) -> Option<&Limit> {
        let limit = self.limit.as_ref()?;
        let is_recent = now.since(limit.taken_ms()) <= timing.report_ms;
        let is_usable = self.portion_per_mille > 0 && !self.is_superseded;
        let is_known = self.is_complete || !limit.is_cold();
        (is_recent && is_usable && is_known).then_some(limit)
    }

    /// Returns whether the target refuses all work older than this owner's.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether the target refuses this owner's grants as too old.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Sets how much of the limit may be used, in thousandths; zero stops grants.
    pub fn set_portion(&mut self, per_mille: u16) {
        self.portion_per_mille = per_mille;
    }

    /// Returns the part of a limit that may be used, at least one.
    pub fn portion(&self, limit: u32) -> u32 {
        let whole = u32::from(WHOLE_SHARE);
        let portion = limit.saturating_mul(u32::from(self.portion_per_mille)) / whole;
        portion.clamp(1, limit.max(1))
    }

    /// Counts work.
    pub fn add(&mut self, key: WorkKey, seen: bool) {
        if self.slots.iter().all(|slot| slot.key != key) {
            self.slots.push(Slot {
                key,
                seen,
                orphaned_ms: None,
            });
        }
    }

    /// Forgets work that has ended.
    pub fn remove(&mut self, key: &WorkKey) {
        self.slots.retain(|slot| slot.key != *key);
    }

    /// Keeps work counted until a later report no longer shows it.
    pub fn mark_orphaned<F>(&mut self, now: Millis, is_loose: F)
    where
        F: Fn(&WorkKey) -> bool,
    {
        self.slots
            .iter_mut()
            .filter(|slot| is_loose(&slot.key))
            .for_each(|slot| slot.orphaned_ms = slot.orphaned_ms.or(Some(now)));
    }

    /// Replaces what is counted for a holder, but for grants from `upto` on.
    pub fn replace(&mut self, epoch: u64, holder: &NodeId, upto: u64, held: &[WorkKey]) {
        let is_later = |key: &WorkKey| {
            key.source == Source::Granted && key.epoch == epoch && key.number >= upto
        };
        self.slots
            .retain(|slot| slot.key.holder != *holder || is_later(&slot.key));
        held.iter().for_each(|key| self.add(key.clone(), false));
    }

    /// Takes in a report.
    ///
    /// `clear_ms` is when all work that this owner has not counted has reached
    /// the target; `is_exact` tells whether a holder's count is complete.
    pub fn on_report<F>(
        &mut self,
        epoch: u64,
        clear_ms: Millis,
        report: &Report,
        is_exact: F,
        timing: &Timing,
    ) where
        F: Fn(&NodeId) -> bool,
    {
        match &mut self.limit {
            Some(limit) if report.taken_ms < limit.taken_ms() => return,
            Some(limit) => limit.on_report(report),
            None => self.limit = Some(Limit::new(report)),
        }
        let own = fence(epoch, Source::Granted);
        self.is_fenced = report.fence.is_some_and(|fence| fence >= own);
        self.is_superseded = report.fence.is_some_and(|fence| fence > own);
        self.is_complete |= self.is_fenced || report.taken_ms >= clear_ms;
        for key in report.works.iter().filter(|key| !is_exact(&key.holder)) {
            self.add(key.clone(), true);
        }
        self.drop_ended(report, &is_exact, timing);
    }

    fn drop_ended<F>(&mut self, report: &Report, is_exact: &F, timing: &Timing)
    where
        F: Fn(&NodeId) -> bool,
    {
        self.slots.retain_mut(|slot| {
            if report.works.contains(&slot.key) {
                slot.seen = true;
                return true;
            }
            let settled = |since_ms: Millis| report.taken_ms >= since_ms + timing.settle_ms;
            let is_over = slot.seen && !is_exact(&slot.key.holder);
            !is_over && !slot.orphaned_ms.is_some_and(settled)
        });
    }
}
