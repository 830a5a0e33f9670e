//! Ledger of one target: its limit and the work that a pool's owner counts against it.

use crate::availability::FULL_SHARE_PER_MILLE;
use crate::clock::Millis;
use crate::limit::Limit;
use crate::name::Name;
use crate::report::Report;
use crate::roster::NodeId;
use crate::slot::Source;
use crate::slot::WorkKey;
use crate::slot::fence;
use crate::timing::Timing;

/// One piece of work that is counted against a target's limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Slot {
    /// Identifies the work.
    pub key: WorkKey,
    /// Whether a report has shown the work at the target.
    pub seen: bool,
    /// Since when the work has had no holder that will report its end: the
    /// holder gave it up without knowing the end, or has left.
    pub orphaned_ms: Option<Millis>,
}

/// A target's limit and the work counted against it.
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
    /// Returns a ledger without a report or counted work.
    pub fn new(target: Name) -> Self {
        Self {
            target,
            limit: None,
            slots: Vec::new(),
            is_complete: false,
            is_fenced: false,
            is_superseded: false,
            portion_per_mille: FULL_SHARE_PER_MILLE,
        }
    }

    /// Returns the number of slots counted for one holder.
    pub fn used_by(&self, holder: &NodeId) -> u32 {
        let count = self.slots.iter().filter(|slot| slot.key.holder == *holder);
        u32::try_from(count.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of slots counted.
    pub fn used(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Returns the counted work.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// Returns the limit if slots may be granted under it.
    ///
    /// That takes a recent report, a portion above zero and no fence of a later
    /// owner. A cold target's limit also requires that reports show all work of
    /// earlier owners.
    pub fn limit(&self, now: Millis, timing: &Timing) -> Option<&Limit> {
        let limit = self.limit.as_ref()?;
        let is_recent = now.since(limit.taken_ms()) <= timing.report_ms;
        let is_usable = self.portion_per_mille > 0 && !self.is_superseded;
        let is_known = self.is_complete || !limit.is_cold();
        (is_recent && is_usable && is_known).then_some(limit)
    }

    /// Returns whether the target's fence rejects all work older than this owner's.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Returns whether the target's fence rejects this owner's grants.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Sets the portion of the limit that may be used, in thousandths; zero stops grants.
    pub fn set_portion(&mut self, per_mille: u16) {
        self.portion_per_mille = per_mille;
    }

    /// Returns the portion of a limit that may be used, at least one slot.
    pub fn portion(&self, limit: u32) -> u32 {
        let whole = u32::from(FULL_SHARE_PER_MILLE);
        let portion = limit.saturating_mul(u32::from(self.portion_per_mille)) / whole;
        portion.clamp(1, limit.max(1))
    }

    /// Counts a piece of work, once; `seen` indicates whether a report shows it.
    pub fn add(&mut self, key: WorkKey, seen: bool) {
        if self.slots.iter().all(|slot| slot.key != key) {
            self.slots.push(Slot {
                key,
                seen,
                orphaned_ms: None,
            });
        }
    }

    /// Stops counting work that has ended.
    pub fn remove(&mut self, key: &WorkKey) {
        self.slots.retain(|slot| slot.key != *key);
    }

    /// Marks work whose end its holder will not report.
    ///
    /// It stays counted until a report taken at least [`Timing::settle_ms`]
    /// later does not show it.
    pub fn mark_orphaned<F>(&mut self, now: Millis, is_orphaned: F)
    where
        F: Fn(&WorkKey) -> bool,
    {
        self.slots
            .iter_mut()
            .filter(|slot| is_orphaned(&slot.key))
            .for_each(|slot| slot.orphaned_ms = slot.orphaned_ms.or(Some(now)));
    }

    /// Replaces the work counted for a holder by `held`, except for grants of
    /// this epoch numbered `upto` or higher.
    pub fn replace(&mut self, epoch: u64, holder: &NodeId, upto: u64, held: &[WorkKey]) {
        let is_later = |key: &WorkKey| {
            key.source == Source::Granted && key.epoch == epoch && key.number >= upto
        };
        self.slots
            .retain(|slot| slot.key.holder != *holder || is_later(&slot.key));
        held.iter().for_each(|key| self.add(key.clone(), false));
    }

    /// Updates the limit and the counted work from a report; one taken before
    /// the last is ignored.
    ///
    /// `complete_ms` is when all work that this owner has not counted has
    /// reached the target; `is_count_complete` returns whether a holder's count
    /// is complete, in which case the report adds none of its work and ends
    /// only what is orphaned.
    pub fn apply_report<F>(
        &mut self,
        epoch: u64,
        complete_ms: Millis,
        report: &Report,
        is_count_complete: F,
        timing: &Timing,
    ) where
        F: Fn(&NodeId) -> bool,
    {
        match &mut self.limit {
            Some(limit) if report.taken_ms < limit.taken_ms() => return,
            Some(limit) => limit.apply_report(report),
            None => self.limit = Some(Limit::new(report)),
        }
        let own_fence = fence(epoch, Source::Granted);
        self.is_fenced = report.fence.is_some_and(|fence| fence >= own_fence);
        self.is_superseded = report.fence.is_some_and(|fence| fence > own_fence);
        self.is_complete |= self.is_fenced || report.taken_ms >= complete_ms;
        for key in report
            .works
            .iter()
            .filter(|key| !is_count_complete(&key.holder))
        {
            self.add(key.clone(), true);
        }
        self.remove_ended(report, &is_count_complete, timing);
    }

    fn remove_ended<F>(&mut self, report: &Report, is_count_complete: &F, timing: &Timing)
    where
        F: Fn(&NodeId) -> bool,
    {
        self.slots.retain_mut(|slot| {
            if report.works.contains(&slot.key) {
                slot.seen = true;
                return true;
            }
            let is_settled = |since_ms: Millis| report.taken_ms >= since_ms + timing.settle_ms;
            let is_over = slot.seen && !is_count_complete(&slot.key.holder);
            !is_over && !slot.orphaned_ms.is_some_and(is_settled)
        });
    }
}
