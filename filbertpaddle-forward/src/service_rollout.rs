//! Roll-out of one service, as held by one node.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use crate::revision::Revision;
use crate::rollout_counts::Counter;
use crate::rollout_counts::CountsChange;
use crate::rollout_counts::Event;
use crate::rollout_counts::Outcome;
use crate::rollout_counts::RolloutCounts;
use crate::rollout_counts::Side;
use crate::rollout_judge::RolloutJudge;
use crate::rollout_judge::Verdict;
use crate::rollout_record::RolloutLimits;
use crate::rollout_record::RolloutOrder;
use crate::rollout_record::RolloutRecord;
use crate::rollout_record::RolloutState;
use crate::rollout_split::NewTarget;
use crate::rollout_split::RefusalCause;
use crate::rollout_split::VersionCount;
use crate::rollout_split::VersionList;
use crate::rollout_split::used_targets;
use crate::rollout_stage::Progress;
use crate::rollout_stage::StepInputs;
use crate::rollout_stage::next_record;

/// Part of `rollback_ms` for which a record is valid after it was read. The rest is for the
/// detection of the fault and the write.
const RECORD_VALIDITY: f64 = 0.4;

/// Delay by which a node of the next rank writes later.
const RANK_DELAY_MS: Millis = Millis(300);

/// Time after which a node no longer waits for the outcome of its write.
const WRITE_TIMEOUT_MS: Millis = Millis(2_000);

/// Roll-out of one service, as held by one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRollout {
    versions: VersionList,
    order: Option<RolloutOrder>,
    ordered: Revision,
    /// Revision of the last order that changed nothing.
    ignored: Revision,
    record: Option<RolloutRecord>,
    read_at: Millis,
    step_since: Millis,
    step_answers: u64,
    targets_since: Option<Millis>,
    idle_since: Option<Millis>,
    due: Option<(u32, Millis)>,
    pending_since: Option<Millis>,
    counted: Revision,
    counts: RolloutCounts,
    judge: RolloutJudge,
}

impl ServiceRollout {
    /// Returns the revision of the last order, or of its withdrawal.
    pub(crate) fn last_order(&self) -> Revision {
        self.ordered
    }

    /// Returns whether the order of this revision was checked before and changed nothing.
    pub(crate) fn was_ignored(&self, ordered: Revision) -> bool {
        self.ignored == ordered
    }

    /// Records that the order of this revision changes nothing, whatever targets come later.
    pub(crate) fn ignore(&mut self, ordered: Revision) {
        self.ignored = self.ignored.max(ordered);
    }

    /// Returns the versions of the listed targets.
    pub(crate) fn versions(&self) -> Vec<Name> {
        self.versions.names()
    }

    pub(crate) fn verdict(&self) -> &Verdict {
        self.judge.verdict()
    }

    pub(crate) fn sent(&self, side: Side) -> u64 {
        self.counts.sent(side)
    }

    pub(crate) fn on_targets(&mut self, now: Millis, versions: &[VersionCount]) {
        let ordered = self.order.as_ref().map(|order| &order.version);
        self.versions.update(now, versions, ordered);
        let has_new = self
            .new_version()
            .is_some_and(|name| self.versions.targets(name) > 0);
        if !has_new {
            self.targets_since = None;
        } else if self.targets_since.is_none() {
            self.targets_since = Some(now);
        }
    }

    pub(crate) fn set_order(&mut self, order: RolloutOrder, ordered: Revision) {
        if let Some(former) = self.order.take()
            && former.version != order.version
            && self.state() == RolloutState::Running
        {
            self.versions
                .refuse(&former.version, RefusalCause::Withdrawn);
        }
        self.versions.start(&order.version);
        *self = Self {
            versions: std::mem::take(&mut self.versions),
            order: Some(order),
            ordered,
            counted: self.counted,
            counts: std::mem::take(&mut self.counts),
            ..Self::default()
        };
        self.count_for(ordered);
    }

    pub(crate) fn withdraw(&mut self, revision: Revision) {
        if revision < self.ordered {
            return;
        }
        let is_running = self.is_running();
        if let Some(order) = self.order.take()
            && is_running
        {
            self.versions
                .refuse(&order.version, RefusalCause::Withdrawn);
        }
        self.record = None;
        self.ordered = revision;
    }

    pub(crate) fn merge_record(
        &mut self,
        now: Millis,
        record: &RolloutRecord,
        age_ms: Millis,
    ) -> bool {
        let read_at = Millis(now.0.saturating_sub(age_ms.0));
        let is_former = record.ordered < self.ordered;
        let is_withdrawn = record.ordered == self.ordered && self.order.is_none();
        if is_former || is_withdrawn {
            return false;
        }
        if record.ordered > self.ordered {
            self.set_order(record.order.clone(), record.ordered);
        }
        if self.record.as_ref() == Some(record) {
            self.read_at = self.read_at.max(read_at);
            return false;
        }
        if self
            .record
            .as_ref()
            .is_some_and(|known| !record.is_after(known))
        {
            return false;
        }
        let was_running = self.record.is_some();
        self.read_at = read_at;
        self.step_since = now;
        self.step_answers = self.new_answers();
        self.idle_since = None;
        self.record = Some(record.clone());
        match record.state {
            RolloutState::Running => {}
            RolloutState::Completed => {
                let version = &record.order.version;
                self.versions.complete(now, version, was_running);
            }
            RolloutState::RolledBack => {
                let version = &record.order.version;
                self.versions.refuse(version, RefusalCause::RolledBack);
            }
        }
        true
    }

    pub(crate) fn record(&self, now: Millis) -> Option<(RolloutRecord, Millis)> {
        let record = self.record.clone()?;
        Some((record, now.since(self.read_at)))
    }

    /// Returns whether the order is neither completed nor rolled back.
    pub(crate) fn is_running(&self) -> bool {
        self.order.is_some() && self.state() == RolloutState::Running
    }

    pub(crate) fn record_sent(
        &mut self,
        source: &Name,
        route: &Name,
        version: &Name,
        data_centre: &Name,
    ) {
        let Some(side) = self.counted_side(version) else {
            return;
        };
        let counter = Counter {
            route: route.clone(),
            side,
            data_centre: data_centre.clone(),
            event: Event::Sent,
        };
        self.counts.add(source, counter);
    }

    pub(crate) fn record_answer(
        &mut self,
        source: &Name,
        route: &Name,
        version: &Name,
        data_centre: &Name,
        outcome: Outcome,
    ) {
        let Some(side) = self.counted_side(version) else {
            return;
        };
        self.counts
            .add_answer(source, route, side, data_centre, outcome);
    }

    pub(crate) fn merge_counts(&mut self, change: &CountsChange) {
        if change.ordered > self.counted {
            self.count_for(change.ordered);
        }
        if change.ordered == self.counted {
            self.counts.merge(&change.source, &change.counts);
        }
    }

    /// Returns the order that is counted and the number of the last change.
    pub(crate) fn counts_position(&self) -> (Revision, u64) {
        (self.counted, self.counts.sequence())
    }

    pub(crate) fn counts_since(&self, service: &Name, sequence: u64) -> Vec<CountsChange> {
        let changes = self.counts.changes_since(sequence).into_iter();
        changes
            .map(|(source, counts)| CountsChange {
                service: service.clone(),
                ordered: self.counted,
                source,
                counts,
            })
            .collect()
    }

    /// Judges the new version by the counts, unless it was done a moment ago.
    pub(crate) fn judge(&mut self, now: Millis) {
        if self.is_running() && self.counted == self.ordered && self.counts.has_new_answers() {
            self.judge.update(now, self.counts.totals());
        }
    }

    pub(crate) fn side_for(&self, now: Millis, limits: &RolloutLimits, draw: f64) -> Side {
        let Some(version) = self.new_version() else {
            return Side::Old;
        };
        let is_alone = !self.versions.has_other(version);
        if self.judge.is_bad() || self.versions.targets(version) == 0 {
            return Side::Old;
        }
        if is_alone {
            return Side::New;
        }
        let Some(record) = &self.record else {
            return Side::Old;
        };
        if !self.is_valid(now, limits) {
            return Side::Old;
        }
        let share = record
            .share_per_mille
            .min(self.versions.share_limit(version));
        // Compared so that a draw of 1 goes to the new side only if all requests do.
        let is_new = share >= 1_000 || draw * 1_000.0 < f64::from(share);
        if is_new { Side::New } else { Side::Old }
    }

    /// Returns whether the record was read so lately that the new version may get requests by it.
    fn is_valid(&self, now: Millis, limits: &RolloutLimits) -> bool {
        let validity_ms = limits.rollback_ms.0 as f64 * RECORD_VALIDITY;
        now.since(self.read_at).0 as f64 <= validity_ms
    }

    pub(crate) fn allows(&self, now: Millis, side: Side, version: &str) -> bool {
        let is_version = |name: &Name| **name == *version;
        let ordered = self.new_version();
        match side {
            // Requests of the new side may still wait when the roll-out is completed.
            Side::New => self.good_version().is_some_and(is_version),
            Side::Old => {
                !ordered.is_some_and(is_version) && self.versions.is_allowed(now, version, ordered)
            }
        }
    }

    pub(crate) fn restricts(&self, now: Millis) -> bool {
        self.is_running() || self.versions.has_restrictions(now)
    }

    pub(crate) fn new_targets(&self, targets: &[NewTarget<'_>]) -> Vec<Name> {
        let Some(record) = &self.record else {
            return Vec::new();
        };
        let old_targets = self.versions.others(&record.order.version);
        used_targets(record, targets, old_targets)
    }

    pub(crate) fn next_step(
        &mut self,
        now: Millis,
        limits: &RolloutLimits,
        inputs: &StepInputs,
    ) -> Option<RolloutRecord> {
        self.note_idle(now, limits, inputs);
        let Some(next) = self.due_record(now, limits, inputs) else {
            self.due = None;
            return None;
        };
        let due = self.due.filter(|(step, _)| *step == next.step);
        let (_, since) = *self.due.insert(due.unwrap_or((next.step, now)));
        let delay_ms = RANK_DELAY_MS.0 * inputs.rank as u64;
        if now.since(since).0 < delay_ms || self.is_pending(now) {
            return None;
        }
        self.pending_since = Some(now);
        Some(next)
    }

    pub(crate) fn clear_pending(&mut self) {
        self.pending_since = None;
    }

    fn is_pending(&self, now: Millis) -> bool {
        let since = self.pending_since;
        since.is_some_and(|since| now.since(since) < WRITE_TIMEOUT_MS)
    }

    fn due_record(
        &self,
        now: Millis,
        limits: &RolloutLimits,
        inputs: &StepInputs,
    ) -> Option<RolloutRecord> {
        let order = self.order.as_ref()?;
        if self.counted != self.ordered {
            // A peer has a later order.
            return None;
        }
        let span = |since: Option<Millis>| since.map_or(Millis::ZERO, |since| now.since(since));
        let progress = Progress {
            order,
            ordered: self.ordered,
            record: self.record.as_ref(),
            in_step_ms: now.since(self.step_since),
            with_targets_ms: span(self.targets_since),
            idle_ms: span(self.idle_since),
            step_answers: self.new_answers().saturating_sub(self.step_answers),
            sent: self.counts.sent(Side::New) + self.counts.sent(Side::Old),
            has_lost_targets: self.versions.share_limit(&order.version) < 1_000,
            verdict: self.judge.verdict(),
        };
        next_record(limits, &progress, inputs)
    }

    fn note_idle(&mut self, now: Millis, limits: &RolloutLimits, inputs: &StepInputs) {
        // Without a valid record requests go to the old targets again.
        if inputs.old_running > 0 || !self.is_valid(now, limits) {
            self.idle_since = None;
        } else if self.idle_since.is_none() {
            self.idle_since = Some(now);
        }
    }

    fn state(&self) -> RolloutState {
        let record = self.record.as_ref();
        record.map_or(RolloutState::Running, |record| record.state)
    }

    /// Returns the version of the order while that runs.
    fn new_version(&self) -> Option<&Name> {
        let order = self.order.as_ref()?;
        (self.state() == RolloutState::Running).then_some(&order.version)
    }

    /// Returns the version of the order, unless it was rolled back.
    fn good_version(&self) -> Option<&Name> {
        let order = self.order.as_ref()?;
        (self.state() != RolloutState::RolledBack).then_some(&order.version)
    }

    fn counted_side(&self, version: &Name) -> Option<Side> {
        let order = self.order.as_ref()?;
        let is_counted = self.counted == self.ordered;
        let side = if order.version == *version {
            Side::New
        } else {
            Side::Old
        };
        (is_counted && self.is_running()).then_some(side)
    }

    fn count_for(&mut self, ordered: Revision) {
        if ordered > self.counted {
            self.counted = ordered;
            self.counts = RolloutCounts::new();
        }
    }

    fn new_answers(&self) -> u64 {
        self.counts.answers(Side::New)
    }
}
