//! Which requests a pool's scheduler isolates or refuses because targets crashed under them.

use crate::clock::Millis;
use crate::crash_attribution::Admission;
use crate::name::Name;
use crate::outcome::Reason;
use crate::queue::Entry;
use crate::scheduler::Scheduler;
use crate::slot_request::Refusal;
use crate::slot_request::RequestId;
use crate::slot_request::SlotRequest;
use crate::suspect::CRASH_LIMIT;
use crate::suspect::CrashRecord;
use crate::suspect::QuarantineStatus;
use crate::suspect::Suspects;
use crate::suspect::crash_id;

impl Scheduler {
    /// Returns whether a request may run beside arbitrary others.
    pub(crate) fn may_share_target(&self, now: Millis, request: &SlotRequest) -> bool {
        let status = self.status(now, request);
        let is_unrestricted = matches!(
            status,
            QuarantineStatus::Unknown | QuarantineStatus::Cleared
        );
        is_unrestricted && self.may_run_copy(request)
    }

    /// Returns the restriction on running a request: its own, or that on others with a part of
    /// its prompt. One that may be a probe of a blocked part is a suspect.
    pub fn status(&self, now: Millis, request: &SlotRequest) -> QuarantineStatus {
        let own = self.suspects().status(request.digest);
        match self.suspects.admission(now, &request.fingerprints()) {
            Admission::Blocked { .. } => QuarantineStatus::Blocked,
            Admission::Probe(_) if own == QuarantineStatus::Blocked => own,
            Admission::Probe(_) => QuarantineStatus::Suspect,
            Admission::Allowed => own,
        }
    }

    /// Returns whether a request is blocked, also if it might be a probe: those are for the owner
    /// alone to allow, which counts them for all nodes.
    pub fn is_blocked(&self, now: Millis, request: &SlotRequest) -> bool {
        let is_allowed =
            self.suspects.admission(now, &request.fingerprints()) == Admission::Allowed;
        !is_allowed || self.suspects().status(request.digest) == QuarantineStatus::Blocked
    }

    /// Records a request that starts as a probe if parts of its prompt are blocked, and refuses
    /// the others that wait with them.
    pub(crate) fn record_probe_start(&mut self, now: Millis, request: &SlotRequest, target: &Name) {
        let admission = self.suspects.admission(now, &request.fingerprints());
        if let Admission::Probe(parts) = admission {
            let probe = crash_id(target, now);
            self.suspects.record_probe(now, &parts, probe);
            self.refuse_blocked(now);
        }
    }

    /// Returns whether one more copy of a request may run.
    pub(crate) fn may_run_copy(&self, request: &SlotRequest) -> bool {
        let running = self
            .running_copies
            .get(&request.digest)
            .copied()
            .unwrap_or(0);
        request.digest == 0 || running < self.suspects().max_copies(request.digest)
    }

    /// Returns whether a target runs a suspect.
    pub(crate) fn runs_suspect(&self, target: &Name) -> bool {
        self.target_states.get(target).is_some_and(|state| {
            state
                .running()
                .any(|running| self.suspects.crashes(running.request.digest) > 0)
        })
    }

    /// Records that a copy of a request no longer runs.
    pub(crate) fn release_copy(&mut self, digest: u64) {
        let Some(count) = self.running_copies.get_mut(&digest) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.running_copies.swap_remove(&digest);
        }
    }

    /// Refuses the isolated requests that must no longer run.
    pub(crate) fn refuse_blocked(&mut self, now: Millis) {
        let suspects = &self.suspects;
        let is_blocked = |entry: &Entry| {
            let admission = suspects.admission(now, &entry.request.fingerprints());
            matches!(admission, Admission::Blocked { .. })
                || suspects.crashes(entry.request.digest) >= CRASH_LIMIT
        };
        let refused = self.isolated.remove_where(is_blocked);
        self.pending_refusals.extend(
            refused
                .iter()
                .map(|entry| quarantine_refusal(entry.request.id)),
        );
    }

    /// Merges another node's record of a request that was running during crashes.
    pub fn merge_crash_record(&mut self, now: Millis, digest: u64, record: &CrashRecord) {
        self.suspects.merge(now, digest, record);
        self.refuse_blocked(now);
    }

    /// Returns the requests that were running during crashes, for replication to other
    /// nodes.
    pub fn suspects(&self) -> &Suspects {
        self.suspects.suspects()
    }
}

/// Returns the refusal of a request that must not run.
pub(crate) fn quarantine_refusal(id: RequestId) -> Refusal {
    Refusal {
        id,
        reason: Reason::Quarantined,
        retry_after_ms: None,
    }
}
