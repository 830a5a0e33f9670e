//! Attribution of target crashes to what the requests that ran there have in common.
//!
//! A request has several fingerprints: of itself as a whole, and of each part of its prompt that
//! other requests share. A crash accuses all fingerprints of the requests that were waiting for
//! their answer at the target. An answer clears all of its request's fingerprints.
//!
//! Targets also crash for other reasons, and then accuse whatever waits there. Records of crashes
//! do not distinguish such a fingerprint from one that crashes targets, and what is refused gives no
//! answers. So a few requests are let through while it is blocked, one after the other: probes.
//! They count for all nodes together. Where probes come soon, a blocked fingerprint that was never
//! answered is let through in no other way: those that seem to explain its crashes may only have come
//! along with it.
//!
//! Load pattern: requests that share one part crash each target that begins to answer them, no
//! two of them alike, among sound requests that share their other parts and pause at times, while
//! targets also crash for other reasons. All parts may be new, or all nodes may have started again.

use std::cmp::Reverse;
use std::ops::Add;

use crate::answered::Answered;
use crate::block_record::BlockRecord;
use crate::block_record::MAX_FINGERPRINTS;
use crate::block_record::Probe;
use crate::clock::Millis;
use crate::suspect::CRASH_LIMIT;
use crate::suspect::CrashRecord;
use crate::suspect::NumberedRecord;
use crate::suspect::RENEW_INTERVAL_MS;
use crate::suspect::SUSPECT_TTL_MS;
use crate::suspect::Suspects;

/// Time for which an answer shows that its request's fingerprints are sound, whatever crashes
/// follow. What crashes targets is never answered.
const RECENT_ANSWER_MS: Millis = Millis::from_secs(2);
/// Largest number of crashes that are recorded for one fingerprint.
const MAX_CRASHES: usize = 32;
/// Time from the last news of a blocked fingerprint to its next probe, by the number of probes
/// before.
const PROBE_DELAYS_MS: [Millis; 3] = [
    Millis::from_secs(2),
    Millis::from_secs(5),
    Millis::from_secs(30),
];
/// Further delay for each of the first crashes that the request's own fingerprints alone explain, if
/// nothing is known in its favour. Requests for which others are more likely to blame go first.
const UNEXPLAINED_DELAY_MS: Millis = Millis::from_secs(2);
/// The delays if fingerprints that the request lacks explain all of the crashes.
const EXPLAINED_PROBE_DELAYS_MS: [Millis; 3] = [Millis::ZERO, Millis::ZERO, Millis::from_secs(30)];
/// The same if a probe would leave open which of the request's fingerprints is to blame.
const DOUBTFUL_PROBE_DELAYS_MS: [Millis; 3] = [
    Millis::from_secs(10),
    Millis::from_secs(60),
    Millis::from_secs(300),
];
/// The same for a fingerprint that was answered before it was accused. Its other probes are left to
/// requests without the suspect.
const KNOWN_DOUBTFUL_PROBE_DELAYS_MS: [Millis; 1] = [Millis::from_secs(300)];

/// Delays of the probes of what was never answered, if they come late.
const LATE_PROBE_DELAYS_MS: [Millis; 3] = [
    Millis::from_secs(300),
    Millis::from_secs(300),
    Millis::from_secs(3_600),
];

/// How soon fingerprints that were never answered are probed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProbeTiming {
    /// Within seconds, and only so: new parts come often, beside ones that crash targets.
    #[default]
    Soon,
    /// After minutes: what crashes targets costs none in its first minutes. What others explain is
    /// let through at once.
    Late,
}

/// Fingerprints that crashes accuse, as known to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashAttribution {
    timing: ProbeTiming,
    suspects: Suspects,
    answered: Answered,
}

/// Whether a request may run, for what is known of its fingerprints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run.
    Allowed,
    /// It is blocked, and would show whether these fingerprints are sound: it may run once it is
    /// recorded as a probe of them.
    Probe(Vec<u64>),
    /// It must not run.
    Blocked {
        /// Fingerprint for which it is blocked.
        fingerprint: u64,
        /// Time until it may be a probe, unless an answer clears the fingerprint before; `None` if
        /// there are to be no more probes.
        until_probe_ms: Option<Millis>,
    },
}

impl CrashAttribution {
    /// Creates an attribution without crashes or answers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates one with this timing of probes.
    pub fn with_timing(timing: ProbeTiming) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Records that a request with these fingerprints was waiting for its answer at a target when
    /// that crashed. Fingerprints that were answered recently are not accused.
    pub fn record_crash(&mut self, now: Millis, fingerprints: &[u64], crash: u64) {
        for fingerprint in fingerprints {
            if !self.is_answered(now, *fingerprint) && self.make_room(*fingerprint) {
                self.suspects.record_crash(now, *fingerprint, crash);
            }
        }
    }

    /// Records that a request with these fingerprints was answered; returns those that this
    /// clears of crashes.
    pub fn record_answer(&mut self, now: Millis, fingerprints: &[u64]) -> Vec<u64> {
        let accused = fingerprints.iter().copied();
        let cleared: Vec<_> = accused.filter(|one| self.crashes(*one) > 0).collect();
        for fingerprint in fingerprints {
            self.suspects.record_answer(now, *fingerprint);
        }
        self.answered.record(fingerprints);
        cleared
    }

    /// Merges another node's record of a fingerprint, and clears it if this node has had an
    /// answer recently; returns the age of that answer if it cleared any crash.
    pub fn merge(&mut self, now: Millis, fingerprint: u64, record: &CrashRecord) -> Option<Millis> {
        let has_room = self.make_room(fingerprint);
        match self.suspects.record(fingerprint).filter(|_| !has_room) {
            Some(known) => {
                let known = record.restricted_to(known);
                self.suspects.merge(now, fingerprint, &known);
            }
            None => self.suspects.merge(now, fingerprint, record),
        }
        let age_ms = self.answer_age_ms(now, fingerprint)?;
        let is_cleared = self.crashes(fingerprint) > 0;
        self.suspects.clear(now, fingerprint);
        is_cleared.then_some(age_ms)
    }

    /// Returns the number of crashes that a fingerprint is not cleared of.
    pub fn crashes(&self, fingerprint: u64) -> usize {
        self.suspects.uncleared_crashes(fingerprint)
    }

    /// Returns the records, and how many copies of each request may run.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Renews the retention of suspects that were sent again.
    pub fn touch(&mut self, now: Millis, fingerprints: &[u64]) {
        for fingerprint in fingerprints {
            self.suspects.touch(now, *fingerprint);
        }
    }

    /// Returns the fingerprint for which a request with these ones must not run: it has
    /// [`CRASH_LIMIT`] crashes or more that no fingerprint of other requests explains.
    ///
    /// An hour after it was last seen a request may run again, and a crash blocks it anew.
    pub fn blocked_by(&self, now: Millis, fingerprints: &[u64]) -> Option<u64> {
        let mut blocked = self.unexplained(fingerprints);
        blocked.find(|fingerprint| !self.is_unseen(now, *fingerprint))
    }

    /// Returns whether a request with these fingerprints may run now, or as a probe.
    ///
    /// After three probes there are no more, unless an answer clears the fingerprint or it was not
    /// seen for an hour.
    pub fn admission(&self, now: Millis, fingerprints: &[u64]) -> Admission {
        let accused = self.accused(fingerprints);
        let until_probe_ms = |fingerprint: u64| {
            let learned_ms = self.suspects.learned_at_ms(fingerprint);
            let delay_ms = self.probe_delay_ms(now, fingerprint, fingerprints)?;
            Some((learned_ms.unwrap_or_default() + delay_ms).since(now))
        };
        let all = accused.iter().copied();
        let blocked = all.filter(|one| !self.is_likely_sound(*one, fingerprints));
        let waits = blocked.map(|fingerprint| (until_probe_ms(fingerprint), fingerprint));
        // The one that none may be a probe of comes last, after the longest time.
        match waits.max_by_key(|(wait_ms, _)| (wait_ms.is_none(), *wait_ms)) {
            None => Admission::Allowed,
            Some((Some(Millis::ZERO), _)) => Admission::Probe(accused),
            Some((until_probe_ms, fingerprint)) => Admission::Blocked {
                fingerprint,
                until_probe_ms,
            },
        }
    }

    /// Adds a request to the probes on record, which this node has just read from the store, if by
    /// these it may be one; returns the fingerprints that it is a probe of.
    ///
    /// It may run once the store has the changed record, and [`Self::record_probe`] was called.
    pub fn plan_probe(
        &mut self,
        now: Millis,
        fingerprints: &[u64],
        probe: Probe,
        record: &mut BlockRecord,
    ) -> Option<Vec<u64>> {
        for fingerprint in fingerprints {
            if let Some(recorded) = record.of(*fingerprint) {
                self.merge(now, *fingerprint, &recorded);
            }
        }
        let Admission::Probe(accused) = self.admission(now, fingerprints) else {
            return None;
        };
        for fingerprint in &accused {
            if let Some(known) = self.suspects.record(*fingerprint) {
                record.add_probe(*fingerprint, known, probe);
            }
        }
        Some(accused)
    }

    /// Brings the record in the store, as of a time of the store's clock, up to what this node
    /// knows: fingerprints that crash targets are added, and renewed while they are sent; those
    /// that an answer has cleared are removed. Returns whether anything has changed.
    ///
    /// What was answered before it was accused is not added: nodes that start forget that it was.
    pub fn update_record(&self, now: Millis, store_ms: Millis, record: &mut BlockRecord) -> bool {
        let before = record.clone();
        let renewed_ms = Millis(store_ms.0.saturating_sub(RENEW_INTERVAL_MS.0));
        for numbered in self.worst(MAX_FINGERPRINTS) {
            let fingerprint = numbered.digest;
            let seen_ms = self.suspects.seen_at_ms(fingerprint);
            let is_sent = seen_ms.is_some_and(|at_ms| now.since(at_ms) < RENEW_INTERVAL_MS);
            if is_sent
                && !self.was_answered(fingerprint)
                && !record.has_crashes(fingerprint, renewed_ms)
            {
                record.add_crashes(store_ms, fingerprint, &numbered.record);
            }
        }
        for fingerprint in before.fingerprints() {
            let known = self.suspects.record(fingerprint);
            if known.is_some_and(|known| record.is_cleared(fingerprint, known)) {
                record.remove(fingerprint);
            }
        }
        *record != before
    }

    /// Records a request as a probe of fingerprints.
    pub fn record_probe(&mut self, now: Millis, fingerprints: &[u64], probe: u64) {
        for fingerprint in fingerprints {
            self.suspects.record_probe(now, *fingerprint, probe);
        }
    }

    /// Returns the fingerprints with [`CRASH_LIMIT`] crashes or more, explained or not.
    fn accused(&self, fingerprints: &[u64]) -> Vec<u64> {
        let all = fingerprints.iter().copied();
        all.filter(|one| self.crashes(*one) >= CRASH_LIMIT)
            .collect()
    }

    /// Returns those of them that no fingerprint of other requests explains.
    fn unexplained<'a>(&'a self, fingerprints: &'a [u64]) -> impl Iterator<Item = u64> + 'a {
        let accused = self.accused(fingerprints).into_iter();
        accused.filter(|fingerprint| {
            let record = self.suspects.record(*fingerprint);
            record.is_some_and(|record| self.unexplained_crashes(record, fingerprints) > 0)
        })
    }

    /// Returns the time from the last news of a blocked fingerprint until a request with these
    /// ones may be its probe; `None` if it must not be.
    fn probe_delay_ms(
        &self,
        now: Millis,
        fingerprint: u64,
        fingerprints: &[u64],
    ) -> Option<Millis> {
        if self.is_unseen(now, fingerprint) {
            return Some(Millis::ZERO);
        }
        let record = self.suspects.record(fingerprint)?;
        let probes = record.uncleared_probes();
        let is_known = self.was_answered(fingerprint);
        let is_doubtful = self.is_doubtful(fingerprint, record, fingerprints);
        let delays_ms = match (is_known, is_doubtful) {
            (true, true) => &KNOWN_DOUBTFUL_PROBE_DELAYS_MS[..],
            (false, _) if self.timing == ProbeTiming::Late => &LATE_PROBE_DELAYS_MS,
            (false, true) => &DOUBTFUL_PROBE_DELAYS_MS,
            (true, false) => &PROBE_DELAYS_MS,
            (false, false) => return self.unknown_probe_delay_ms(record, fingerprints),
        };
        delays_ms.get(probes).copied()
    }

    /// Returns the delay of a probe that is not doubtful, of a fingerprint that was never answered.
    fn unknown_probe_delay_ms(&self, record: &CrashRecord, fingerprints: &[u64]) -> Option<Millis> {
        let probes = record.uncleared_probes();
        let unexplained = self.unexplained_crashes(record, fingerprints);
        if unexplained == 0 {
            return EXPLAINED_PROBE_DELAYS_MS.get(probes).copied();
        }
        let further = std::iter::repeat_n(UNEXPLAINED_DELAY_MS, unexplained);
        let delay_ms = *PROBE_DELAYS_MS.get(probes)?;
        Some(further.take(CRASH_LIMIT).fold(delay_ms, Millis::add))
    }

    /// Returns whether a fingerprint that was answered before, or of which probes come late, has no
    /// crash but those that fingerprints explain that this request lacks.
    fn is_likely_sound(&self, fingerprint: u64, fingerprints: &[u64]) -> bool {
        let record = self.suspects.record(fingerprint);
        (self.was_answered(fingerprint) || self.timing == ProbeTiming::Late)
            && record.is_some_and(|record| self.unexplained_crashes(record, fingerprints) == 0)
    }

    /// Returns whether a probe by a request with these fingerprints would leave open what is to
    /// blame if it crashes its target. Another suspect may be: of a fingerprint that was answered
    /// before, one that was not, and was not at all of the crashes; else any, unless fingerprints
    /// that this request lacks explain most of the crashes.
    fn is_doubtful(&self, fingerprint: u64, record: &CrashRecord, fingerprints: &[u64]) -> bool {
        let others = fingerprints.iter().filter(|other| **other != fingerprint);
        let mut suspects = others.filter(|other| self.crashes(**other) > 0);
        if self.was_answered(fingerprint) {
            return suspects.any(|other| {
                let suspect = self.suspects.record(*other);
                !self.was_answered(*other)
                    && suspect.is_some_and(|suspect| !suspect.is_superset_of(record))
            });
        }
        suspects.next().is_some() && self.unexplained_crashes(record, fingerprints) >= CRASH_LIMIT
    }

    /// Returns whether a fingerprint was answered before it was accused.
    fn was_answered(&self, fingerprint: u64) -> bool {
        let record = self.suspects.record(fingerprint);
        let was_cleared = record.is_some_and(|record| !record.cleared.is_empty());
        was_cleared || self.answered.contains(fingerprint)
    }

    /// Returns up to `max` records of fingerprints that may be blocked, those with the most crashes
    /// first: what a node that has just started needs before all others.
    pub fn worst(&self, max: usize) -> Vec<NumberedRecord> {
        let mut worst = self.suspects.numbered_after(0, usize::MAX);
        worst.retain(|numbered| numbered.record.uncleared_crashes() >= CRASH_LIMIT);
        worst.sort_by_key(|numbered| Reverse(numbered.record.uncleared_crashes()));
        worst.truncate(max);
        worst
    }

    /// Returns the first `max` records that changed after the change with number `sequence`, in
    /// the order of their changes.
    pub fn changed_after(&self, sequence: u64, max: usize) -> Vec<NumberedRecord> {
        self.suspects.numbered_after(sequence, max)
    }

    /// Returns the number of crashes at which no fingerprint was present that this request lacks
    /// and that was at [`CRASH_LIMIT`] or more. If there are none, the request shows which of them
    /// are to blame.
    fn unexplained_crashes(&self, record: &CrashRecord, fingerprints: &[u64]) -> usize {
        let all = self.suspects.changed_after(0);
        let others = all.filter(|(other, _)| !fingerprints.contains(other));
        let accused = others.map(|(_, explaining)| explaining);
        let accused: Vec<_> = accused
            .filter(|explaining| explaining.uncleared_crashes() >= CRASH_LIMIT)
            .collect();
        let uncleared = record.crashes.difference(&record.cleared);
        let is_explained = |crash: &u64| accused.iter().any(|other| other.is_accused_of(*crash));
        uncleared.filter(|crash| !is_explained(crash)).count()
    }

    /// Returns whether nobody has sent a fingerprint for so long that it may be tried again.
    fn is_unseen(&self, now: Millis, fingerprint: u64) -> bool {
        let seen_ms = self.suspects.seen_at_ms(fingerprint);
        seen_ms.is_none_or(|at_ms| now.since(at_ms) >= SUSPECT_TTL_MS)
    }

    fn is_answered(&self, now: Millis, fingerprint: u64) -> bool {
        self.answer_age_ms(now, fingerprint).is_some()
    }

    /// Returns the age of the last answer if it is recent.
    fn answer_age_ms(&self, now: Millis, fingerprint: u64) -> Option<Millis> {
        let answered_ms = self.suspects.answered_at_ms(fingerprint)?;
        Some(now.since(answered_ms)).filter(|age_ms| *age_ms < RECENT_ANSWER_MS)
    }

    /// Drops the cleared crashes of a long record; returns whether one more crash can be
    /// recorded.
    fn make_room(&mut self, fingerprint: u64) -> bool {
        let record = self.suspects.record(fingerprint);
        if record.is_none_or(|record| record.crashes.len() < MAX_CRASHES) {
            return true;
        }
        self.suspects.prune_cleared(fingerprint);
        self.crashes(fingerprint) < MAX_CRASHES
    }
}
