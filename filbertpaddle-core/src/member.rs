//! Member of a pool: accepts grants, takes work within its shares and tracks what it holds.

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

/// Reason why a node must not send work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The grant is not of the epoch of the last collect request.
    #[error("grant belongs to another epoch; work not sent")]
    WrongEpoch,
    /// The owner collected the node's work after this grant and without it.
    #[error("grant precedes the last collect request; work not sent")]
    PrecedesCollect,
    /// The grant arrived too late, or the report is too old.
    #[error("grant or target report has expired; work not sent")]
    Expired,
    /// The node's mode does not allow this work: grants in share mode or shares
    /// in granted mode.
    #[error("node is in another mode; work not sent")]
    WrongMode,
    /// Earlier work for the same cold target has not been sent yet.
    #[error("earlier work for the same cold target is still unsent; new work not sent")]
    PreviousUnsent,
    /// The node's share of the target is used up or zero.
    #[error("share of the target is used up; work not sent")]
    ShareExhausted,
    /// No report shows yet that all other nodes stay within their shares.
    #[error(
        "no report shows all other nodes within their shares of the cold target; work not sent"
    )]
    UnconfirmedShares,
}

/// A stamp and when it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Stamp {
    number: u64,
    sent_ms: Millis,
}

/// A node's state as a member of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    timing: Timing,
    id: NodeId,
    mode: Mode,
    session: u32,
    epoch: u64,
    min_number: u64,
    stamps: Vec<Stamp>,
    next_stamp: u64,
    next_number: u64,
    works: Vec<HeldWork>,
    unsent: Vec<HeldWork>,
    cleared_targets: Vec<Name>,
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
            min_number: 0,
            stamps: Vec::new(),
            next_stamp: 0,
            next_number: 0,
            works: Vec::new(),
            unsent: Vec::new(),
            cleared_targets: Vec::new(),
        }
    }

    /// Returns the node's identifier.
    pub fn id(&self) -> &NodeId {
        &self.id
    }

    /// Returns the highest epoch of a collect request.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the work that was accepted and has not ended.
    pub fn works(&self) -> &[HeldWork] {
        &self.works
    }

    /// Returns the fencing number that must be set at a target before it is
    /// polled for a report to be used by [`Member::take_share`].
    pub fn share_fence(&self) -> u64 {
        fence(self.epoch, Source::Share)
    }

    /// Switches to the node's mode.
    pub fn on_mode(&mut self, mode: Mode, session: u32) {
        if self.mode == mode {
            return;
        }
        self.mode = mode;
        self.session = session;
        self.cleared_targets.clear();
        // Grants requested before the node entered share mode must not be
        // accepted after it returns to granted mode.
        self.stamps.clear();
    }

    /// Returns a new stamp for a message to the owner; grants that carry it are
    /// accepted for [`Timing::accept_ms`] from now on.
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

    /// Returns a request for a slot, with a new stamp.
    pub fn request_slot(&mut self, now: Millis) -> SlotRequest {
        let stamp = self.stamp(now);
        SlotRequest {
            holder: self.id.clone(),
            number: stamp,
            stamp,
            session: self.session,
        }
    }

    /// Returns the reply to an owner's collect request; `None` if a later owner
    /// is known or the node is in share mode.
    ///
    /// Grants that the owner made before the request are refused from now on.
    pub fn on_collect(&mut self, request: &CollectRequest) -> Option<CollectReply> {
        if request.epoch < self.epoch || self.mode != Mode::Granted {
            return None;
        }
        if request.epoch > self.epoch {
            self.epoch = request.epoch;
            self.min_number = 0;
        }
        self.min_number = self.min_number.max(request.upto);
        Some(CollectReply {
            holder: self.id.clone(),
            session: self.session,
            epoch: request.epoch,
            upto: request.upto,
            works: self.works.clone(),
        })
    }

    /// Accepts a grant: the work counts as held and may be sent.
    ///
    /// # Errors
    ///
    /// Returns why no work may be sent under the grant; the slot must then be
    /// released as ended.
    pub fn accept(&mut self, now: Millis, grant: &Grant) -> Result<HeldWork, Refusal> {
        if self.mode != Mode::Granted {
            return Err(Refusal::WrongMode);
        }
        if grant.key.epoch != self.epoch || grant.key.holder != self.id {
            return Err(Refusal::WrongEpoch);
        }
        if grant.key.number < self.min_number {
            return Err(Refusal::PrecedesCollect);
        }
        let accept_ms = self.timing.accept_ms;
        let mut stamps = self.stamps.iter();
        let is_valid =
            stamps.any(|stamp| stamp.number == grant.stamp && now < stamp.sent_ms + accept_ms);
        if !is_valid {
            return Err(Refusal::Expired);
        }
        self.hold(grant.key.clone(), &grant.target, grant.cold)
    }

    /// Takes work within the node's share of a target.
    ///
    /// A cold target also needs a report that shows every other node within its
    /// share. The report must have been taken at least [`Timing::settle_ms`]
    /// after the node entered share mode, so that the last grants have arrived.
    /// If the target checks fencing numbers, it must also have been taken after
    /// [`Member::share_fence`] was set there.
    ///
    /// # Errors
    ///
    /// Returns why no work may be sent.
    pub fn take_share(
        &mut self,
        now: Millis,
        target: &Name,
        report: &Report,
        roster: &Roster,
    ) -> Result<HeldWork, Refusal> {
        let Mode::Share { since_ms } = self.mode else {
            return Err(Refusal::WrongMode);
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
            return Err(Refusal::ShareExhausted);
        }
        if !report.warm && !self.is_clear_for_shares(target, since_ms, report, roster) {
            return Err(Refusal::UnconfirmedShares);
        }
        let key = WorkKey {
            holder: self.id.clone(),
            epoch: self.epoch,
            source: Source::Share,
            number: self.next_number,
        };
        let held = self.hold(key, target, !report.warm)?;
        self.next_number += 1;
        Ok(held)
    }

    /// Records that accepted work has reached its target or was given up.
    pub fn on_sent(&mut self, key: &WorkKey) {
        self.unsent.retain(|held| held.key != *key);
    }

    /// Records that work has ended; returns whether it was held.
    pub fn on_end(&mut self, key: &WorkKey) -> bool {
        self.on_sent(key);
        let before = self.works.len();
        self.works.retain(|held| held.key != *key);
        self.works.len() < before
    }

    /// Returns the number of pieces of work that the node holds on a target.
    pub fn running(&self, target: &Name) -> u32 {
        let count = self.works.iter().filter(|held| held.target == *target);
        u32::try_from(count.count()).unwrap_or(u32::MAX)
    }

    fn hold(&mut self, key: WorkKey, target: &Name, cold: bool) -> Result<HeldWork, Refusal> {
        // With one unsent piece of work at most, a node that is paused before
        // it sends can exceed a cold target's limit by one only.
        if cold && self.unsent.iter().any(|held| held.target == *target) {
            return Err(Refusal::PreviousUnsent);
        }
        let held = HeldWork {
            key,
            target: target.clone(),
        };
        self.works.push(held.clone());
        self.unsent.push(held.clone());
        Ok(held)
    }

    fn is_clear_for_shares(
        &mut self,
        target: &Name,
        since_ms: Millis,
        report: &Report,
        roster: &Roster,
    ) -> bool {
        if self.cleared_targets.contains(target) {
            return true;
        }
        let is_settled = report.taken_ms >= since_ms + self.timing.settle_ms;
        let is_fenced = report.fence.is_none_or(|fence| fence >= self.share_fence());
        let is_clear =
            is_settled && is_fenced && others_within_shares(target, report, roster, &self.id);
        if is_clear {
            self.cleared_targets.push(target.clone());
        }
        is_clear
    }
}

/// Returns whether a report shows every other node within its share of a cold target.
fn others_within_shares(target: &Name, report: &Report, roster: &Roster, own: &NodeId) -> bool {
    let others = report.works.iter().filter(|key| key.holder != *own);
    others.clone().all(|key| {
        let used = others.clone().filter(|other| other.holder == key.holder);
        let share = roster.share(target, report.cold_limit, &key.holder);
        u32::try_from(used.count()).is_ok_and(|used| used <= share)
    })
}
