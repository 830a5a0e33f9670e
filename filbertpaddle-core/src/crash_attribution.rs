//! Attribution of target crashes to what the requests that ran there have in common.
//!
//! A request has several fingerprints: of itself as a whole, and of each part of its prompt that
//! other requests share. A crash accuses all fingerprints of the requests that were waiting for
//! their answer at the target. An answer clears all of its request's fingerprints.
//!
//! Load pattern: requests that share one part crash each target that begins to answer them, no
//! two of them alike, among sound requests that share their other parts.

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::suspect::CRASH_LIMIT;
use crate::suspect::CrashRecord;
use crate::suspect::NumberedRecord;
use crate::suspect::Suspects;

/// Time for which an answer shows that its request's fingerprints are sound, whatever crashes
/// follow. What crashes targets is never answered.
const RECENT_ANSWER_MS: Millis = Millis::from_secs(2);
/// Time for which a fingerprint is blocked after its last crash. What was blocked for crashes that
/// had another reason must not stay so.
const BLOCK_TIME_MS: Millis = Millis::from_secs(3_600);
/// Largest number of crashes that are recorded for one fingerprint.
const MAX_CRASHES: usize = 32;

/// Fingerprints that crashes accuse, as known to one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashAttribution {
    suspects: Suspects,
}

impl CrashAttribution {
    /// Creates an attribution without crashes or answers.
    pub fn new() -> Self {
        Self::default()
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

    /// Renews the retention of a suspect that was sent again.
    pub fn touch(&mut self, now: Millis, fingerprint: u64) {
        self.suspects.touch(now, fingerprint);
    }

    /// Returns the fingerprint for which a request with these ones must not run: it has
    /// [`CRASH_LIMIT`] crashes or more that no fingerprint of other requests explains.
    ///
    /// An hour after the last crash a request may run again, and a crash blocks it anew.
    pub fn blocked_by(&self, now: Millis, fingerprints: &[u64]) -> Option<u64> {
        let mut candidates = fingerprints.iter().copied();
        candidates.find(|fingerprint| {
            let record = self.suspects.record(*fingerprint);
            record.is_some_and(|record| {
                record.uncleared_crashes() >= CRASH_LIMIT
                    && self.is_recent(now, *fingerprint)
                    && !self.is_explained(record, fingerprints)
            })
        })
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

    /// Returns whether a fingerprint that this request lacks was present at all of the crashes.
    /// Then the request shows which of the two is to blame.
    fn is_explained(&self, record: &CrashRecord, fingerprints: &[u64]) -> bool {
        let mut others = self.suspects.changed_after(0);
        others.any(|(other, explaining)| {
            !fingerprints.contains(&other) && explaining.is_superset_of(record)
        })
    }

    fn is_recent(&self, now: Millis, fingerprint: u64) -> bool {
        let learned_ms = self.suspects.learned_at_ms(fingerprint);
        learned_ms.is_some_and(|at_ms| now.since(at_ms) < BLOCK_TIME_MS)
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
