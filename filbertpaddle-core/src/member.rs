//! A node that sends work to the targets of one pool.

use crate::clock::Millis;
use crate::grant_mode::Mode;
use crate::name::Name;
use crate::owner::CollectReply;
use crate::owner::CollectRequest;
use crate::owner::SlotRequest;
use crate::report::Report;
use crate::roster::NodeId;
use crate::roster::Roster;
use crate::slot::Grant;
use crate::slot::HeldWork;
use crate::slot::Source;
use crate::slot::WorkKey;
use crate::slot::fence;
use crate::timing::Timing;

/// Why a node must not send work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The grant's epoch is not that of the owner that last collected.
    #[error("the grant is of another epoch")]
    Epoch,
    /// The owner has counted without this grant.
    #[error("the grant was made before the owner last collected")]
    Collected,
    /// The grant came too late.
    #[error("the grant has expired")]
    Expired,
    /// The node does not work under grants, or only under grants.
    #[error("the node is in another mode")]
    Mode,
    /// Other work for the same cold target has not been sent yet.
    #[error("other work is about to be sent to the same cold target")]
    Unsent,
    /// The node's share of the target is in use or empty.
    #[error("the share is in use")]
    Share,
    /// No report shows yet that the others keep to their shares.
    #[error("the target still runs granted work")]
    Occupied,
}

/// When a stamp was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Stamp {
    number: u64,
    sent_ms: Millis,
}

/// One node's part in one pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    timing: Timing,
    id: NodeId,
    mode: Mode,
    session: u32,
    epoch: u64,
    floor: u64,
    stamps: Vec<Stamp>,
    next_stamp: u64,
    next_number: u64,
    works: Vec<HeldWork>,
    unsent: Vec<HeldWork>,
    cleared: Vec<Name>,
}

impl Member {
    /// Returns a node that holds no work.
    pub fn new(timing: Timing, id: NodeId) -> Self {
        Self {
            timing,
            id,
            mode: Mode::Granted,
            session: 0,
            epoch: 0,
            floor: 0,
            stamps: Vec::new(),
            next_stamp: 0,
            next_number: 0,
            works: Vec::new(),
            unsent: Vec::new(),
            cleared: Vec::new(),
        }
    }

    /// Returns which node this is.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// Returns the epoch of the owner that last collected.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the work that is accepted and not ended.
    pub fn works(&self) -> &[HeldWork] {
        &self.works
    }

    /// Returns the fencing number to be raised at a target before a report
    /// counts for [`Member::share`].
    pub fn share_fence(&self) -> u64 {
        fence(self.epoch, Source::Share)
    }

    /// Follows the node's mode.
    pub fn on_mode(&mut self, mode: Mode, session: u32) {
        if self.mode == mode {
            return;
        }
        self.mode = mode;
        self.session = session;
        self.cleared.clear();
        // Grants that were asked for before the node used its share must not
        // be accepted after it.
        self.stamps.clear();
    }

    /// Stamps a message to the owner: the node waits for grants from now on.
    pub fn stamp(&mut self, now: Millis) -> u64 {
        let accept_ms = self.timing.accept_ms;
        self.stamps.retain(|stamp| now < stamp.sent_ms + accept_ms);
        self.next_stamp += 1;
        self.stamps.push(Stamp {
            number: self.next_stamp,
            sent_ms: now,
        });
        self.next_stamp
    }

    /// Returns a request for a slot.
    pub fn request_slot(&mut self, now: Millis) -> SlotRequest {
        let stamp = self.stamp(now);
        SlotRequest {
            holder: self.id.clone(),
            number: stamp,
            stamp,
            session: self.session,
        }
    }

    /// Tells an owner what the node holds; `None` if the owner is not the
    /// latest or the node uses its share.
    pub fn on_collect(&mut self, collect: &CollectRequest) -> Option<CollectReply> {
        if collect.epoch < self.epoch || self.mode != Mode::Granted {
            return None;
        }
        if collect.epoch > self.epoch {
            self.epoch = collect.epoch;
            self.floor = 0;
        }
        self.floor = self.floor.max(collect.upto);
        Some(CollectReply {
            holder: self.id.clone(),
            session: self.session,
            epoch: collect.epoch,
            upto: collect.upto,
            works: self.works.clone(),
        })
    }

    /// Accepts a grant: the work counts as held and may be sent at once.
    ///
    /// # Errors
    ///
    /// Returns why nothing may be sent under the grant; the slot is then to be
    /// released as ended.
    pub fn accept(&mut self, now: Millis, grant: &Grant) -> Result<HeldWork, Refusal> {
        if self.mode != Mode::Granted {
            return Err(Refusal::Mode);
        }
        if grant.key.epoch != self.epoch || grant.key.holder != self.id {
            return Err(Refusal::Epoch);
        }
        if grant.key.number < self.floor {
            return Err(Refusal::Collected);
        }
        let accept_ms = self.timing.accept_ms;
        let mut stamps = self.stamps.iter();
        let is_valid =
            stamps.any(|stamp| stamp.number == grant.stamp && now < stamp.sent_ms + accept_ms);
        if !is_valid {
            return Err(Refusal::Expired);
        }
        self.take(grant.key.clone(), &grant.target, grant.cold)
    }

    /// Takes work within the node's share of a target.
    ///
    /// A cold target also needs a report, taken since the node lost the owner
    /// and its last grants have settled, that shows every other node within
    /// its share. If the target checks fencing numbers, the report must have
    /// been taken after [`Member::share_fence`] was raised there.
    ///
    /// # Errors
    ///
    /// Returns why nothing may be sent.
    pub fn take_share(
        &mut self,
        now: Millis,
        target: &Name,
        report: &Report,
        roster: &Roster,
    ) -> Result<HeldWork, Refusal> {
        let Mode::Share { since_ms } = self.mode else {
            return Err(Refusal::Mode);
        };
        if now.since(report.taken_ms) > self.timing.report_ms {
            return Err(Refusal::Expired);
        }
        let limit = match report.warm {
            true => report.warm_limit,
            false => report.cold_limit,
        };
        let share = roster.share(target, limit, &self.id);
        if self.running(target) >= share {
            return Err(Refusal::Share);
        }
        if !report.warm && !self.is_cleared(target, since_ms, report, roster) {
            return Err(Refusal::Occupied);
        }
        let key = WorkKey {
            holder: self.id.clone(),
            epoch: self.epoch,
            source: Source::Share,
            number: self.next_number,
        };
        let held = self.take(key, target, !report.warm)?;
        self.next_number += 1;
        Ok(held)
    }

    /// Notes that accepted work has reached its target or was given up.
    pub fn on_sent(&mut self, key: &WorkKey) {
        self.unsent.retain(|held| held.key != *key);
    }

    /// Notes that work has ended; returns whether it was held.
    pub fn on_end(&mut self, key: &WorkKey) -> bool {
        self.on_sent(key);
        let before = self.works.len();
        self.works.retain(|held| held.key != *key);
        self.works.len() < before
    }

    /// Returns how much work the node holds on a target.
    pub fn running(&self, target: &Name) -> u32 {
        let count = self.works.iter().filter(|held| held.target == *target);
        u32::try_from(count.count()).unwrap_or(u32::MAX)
    }

    fn take(&mut self, key: WorkKey, target: &Name, cold: bool) -> Result<HeldWork, Refusal> {
        // A node that is paused before it sends can then exceed a cold
        // target's limit by one only.
        if cold && self.unsent.iter().any(|held| held.target == *target) {
            return Err(Refusal::Unsent);
        }
        let held = HeldWork {
            key,
            target: target.clone(),
        };
        self.works.push(held.clone());
        self.unsent.push(held.clone());
        Ok(held)
    }

    fn is_cleared(
        &mut self,
        target: &Name,
        since_ms: Millis,
        report: &Report,
        roster: &Roster,
    ) -> bool {
        if self.cleared.contains(target) {
            return true;
        }
        let is_settled = report.taken_ms >= since_ms + self.timing.settle_ms;
        let is_sealed = report.fence.is_none_or(|fence| fence >= self.share_fence());
        let is_clear = is_settled && is_sealed && keep_shares(target, report, roster, &self.id);
        if is_clear {
            self.cleared.push(target.clone());
        }
        is_clear
    }
}

/// Returns whether a cold target runs no more than its share of every other node.
fn keep_shares(target: &Name, report: &Report, roster: &Roster, own: &NodeId) -> bool {
    let others = report.works.iter().filter(|key| key.holder != *own);
    others.clone().all(|key| {
        let used = others.clone().filter(|other| other.holder == key.holder);
        let share = roster.share(target, report.cold_limit, &key.holder);
        u32::try_from(used.count()).is_ok_and(|used| used <= share)
    })
}
