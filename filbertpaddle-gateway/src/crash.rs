//! Detects target crashes, accuses the requests that were waiting for their answer there, and
//! keeps requests like them from further targets.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::crash_attribution::Admission;
use filbertpaddle_core::suspect::CrashRecord;
use filbertpaddle_core::suspect::crash_id;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::job::Failure;
use crate::job::Job;
use crate::silence;
use crate::state::State;
use crate::target_connection;

/// Time until a target that still accepted a connection is checked once more. A crashed target
/// stays down for some seconds.
const RECHECK_DELAY: Duration = Duration::from_millis(200);
/// Time for which a request waits for that: more than a round trip within a region. It must not be
/// held up by a target that is cut off.
const MAX_WAIT: Duration = Duration::from_millis(10);

/// Accuses a request whose connection broke before its answer had begun, if its target is down.
/// Returns once a target that is down has refused a connection, so that the request is not sent
/// to another one before, or after a short time.
///
/// A target that does not respond at all may be cut off, as is this node if it reaches no other
/// target either; it is watched. One that is draining or no longer listed was stopped, which accuses
/// nothing.
pub async fn check(job: &Job, target: &Target) {
    if !is_listed(&job.state, target) {
        return;
    }
    let (job, target) = (job.clone(), target.clone());
    let (is_checked, checked) = oneshot::channel();
    tokio::task::spawn_local(async move {
        let is_down = record_if_down(&job, &target).await;
        is_checked.send(()).ok();
        if !is_down {
            sleep(RECHECK_DELAY).await;
            if is_listed(&job.state, &target) && !record_if_down(&job, &target).await {
                silence::watch(&job, &target);
            }
        }
    });
    timeout(MAX_WAIT, checked).await.ok();
}

/// Returns whether the target is down, and accuses the request if so.
async fn record_if_down(job: &Job, target: &Target) -> bool {
    let is_down = target_connection::is_down(&job.state, target).await;
    if is_down {
        record(&job.state, &job.metadata.attempt, &job.fingerprints, target);
    }
    is_down
}

/// Accuses fingerprints of an attempt of the crash of its target.
pub(crate) fn record(state: &State, attempt: &str, fingerprints: &[u64], target: &Target) {
    let now = state.clock.now();
    let crash = crash_id(&target.id, target.started_ms.unwrap_or_default());
    let mut suspects = state.suspects.borrow_mut();
    suspects.record_crash(now, fingerprints, crash);
    let counts = fingerprints.iter().map(|one| suspects.crashes(*one));
    info!(state.log, "request recorded as crash suspect: its target went down";
        "id" => attempt, "target" => target.id.as_str(),
        "fingerprints" => ?fingerprints, "crashes" => ?counts.collect::<Vec<_>>());
}

fn is_listed(state: &Rc<State>, target: &Target) -> bool {
    let directory = state.directory.borrow();
    let listed = directory.target(&target.id);
    listed.is_some_and(|listed| !listed.is_draining)
}

impl Job {
    /// Returns whether the request may run, by what is known of others that crashed targets.
    pub fn admission(&self) -> Admission {
        let suspects = self.state.suspects.borrow();
        suspects.admission(self.state.clock.now(), &self.fingerprints)
    }

    /// Returns whether the request must not run, not as a probe either.
    pub fn is_quarantined(&self) -> bool {
        let Admission::Blocked {
            fingerprint,
            until_probe_ms,
        } = self.admission()
        else {
            return false;
        };
        let mut suspects = self.state.suspects.borrow_mut();
        suspects.touch(self.state.clock.now(), &self.fingerprints);
        let record = suspects.suspects().record(fingerprint);
        info!(self.state.log, "request must not run: others like it crashed targets";
            "id" => self.metadata.attempt.as_str(), "fingerprint" => fingerprint,
            "crashes" => suspects.crashes(fingerprint),
            "probes" => record.map_or(0, CrashRecord::uncleared_probes),
            "until_probe_ms" => until_probe_ms.map(|until_ms| until_ms.0),
            "prompt_parts" => self.metadata.part_ids());
        true
    }

    /// Records that a target goes on with its answer, or has completed it: the request does not
    /// crash targets.
    pub fn record_sound(&self) {
        let state = &self.state;
        let now = state.clock.now();
        let mut suspects = state.suspects.borrow_mut();
        let cleared = suspects.record_answer(now, &self.fingerprints);
        if !cleared.is_empty() {
            info!(state.log, "crash suspects cleared: a request like them is answered";
                "id" => self.metadata.attempt.as_str(), "fingerprints" => ?cleared,
                "prompt_parts" => self.metadata.part_ids());
        }
    }

    /// Accuses the request if its target has crashed without an answer to it.
    pub async fn check_crash(&self, target: &Target, failure: &Failure) {
        if let Failure::Unknown(_) | Failure::RelayLost(_) = failure {
            check(self, target).await;
        }
    }
}
