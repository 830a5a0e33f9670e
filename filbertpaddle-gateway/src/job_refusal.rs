//! Refusals of admitted requests: what they state, and when the caller may return.

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::crash_attribution::Admission;
use filbertpaddle_forward::admission::Contention;
use filbertpaddle_forward::admission::Room;
use filbertpaddle_forward::target_selector::PlacementError;
use http::StatusCode;
use http::response::Parts;

use crate::job::Job;
use crate::job::Progress;
use crate::reply;
use crate::reply::Refusal;
use crate::reply::Reply;

/// Time after which a caller may retry if targets were full or failing.
pub const RETRY_AFTER_MS: Millis = Millis(250);
/// Time after which a caller may try again to resume a stream. Crashed targets of its version may
/// be back by then.
pub const RESUME_RETRY_MS: Millis = Millis::from_secs(1);
/// Time after which a caller may retry, at another node, while this one stops.
pub const STOPPING_RETRY_MS: Millis = Millis(50);
/// Time after which a caller may retry a request that is blocked as a crash suspect, if others like
/// it are about to show whether it is sound, and if not.
const PROBED_RETRY_MS: Millis = Millis::from_secs(1);
const QUARANTINE_RETRY_MS: Millis = Millis::from_secs(60);

impl Job {
    /// Returns the refusal that states correctly whether the request may have run.
    pub fn refusal(&self, progress: &Progress) -> Refusal {
        let is_late = self.remaining_ms() == Millis::ZERO;
        let is_full = progress.placement_error == Some(PlacementError::AllFull);
        let is_versionless = progress.placement_error == Some(PlacementError::NoneOfVersion);
        match (progress.may_have_run || progress.is_in_flight, is_late) {
            (true, true) => Refusal::TimedOut,
            (true, false) if progress.is_stopped => Refusal::StoppedUnanswered,
            (true, false) => Refusal::TargetFailed,
            (false, true) => Refusal::TimedOutUnsent,
            (false, false) if progress.is_stopped => Refusal::Stopping,
            (false, false) if self.admission() != Admission::Allowed => Refusal::Quarantined,
            (false, false) if is_versionless => Refusal::NotResumable,
            (false, false) if is_full => Refusal::Overloaded,
            (false, false) if progress.sends > 0 => Refusal::TargetsFull,
            (false, false) => Refusal::NoTarget,
        }
    }

    /// Builds the reply from the whole response of a target, for every route.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send instead if the response has a status that promises the caller
    /// that its request has not run, and the request must not run again. A target that has not
    /// run it states so otherwise, and its response does not get here.
    pub fn target_reply(&self, head: Parts, bytes: Bytes) -> Result<Reply, Refusal> {
        if promises_not_run(head.status) && !self.route.kind.is_idempotent() {
            return Err(Refusal::TargetFailed);
        }
        Ok(reply::forward(head, bytes))
    }

    /// Builds the reply for a refusal.
    pub fn refusal_reply(&self, refusal: Refusal) -> Reply {
        let retry_after_ms = match refusal {
            Refusal::NoTarget | Refusal::TargetsFull => Some(self.until_available_ms()),
            Refusal::Overloaded => Some(self.until_room_ms()),
            Refusal::Quarantined => Some(self.until_probe_ms()),
            Refusal::NotResumable => Some(RESUME_RETRY_MS),
            Refusal::Stopping => Some(STOPPING_RETRY_MS),
            _ => None,
        };
        reply::refuse(refusal, retry_after_ms)
    }

    /// Returns the time until a request that is blocked as a crash suspect may be a probe, or
    /// another one has been.
    fn until_probe_ms(&self) -> Millis {
        match self.admission() {
            Admission::Blocked { until_probe_ms, .. } => until_probe_ms
                .unwrap_or(QUARANTINE_RETRY_MS)
                .clamp(PROBED_RETRY_MS, QUARANTINE_RETRY_MS),
            Admission::Probe(_) | Admission::Allowed => PROBED_RETRY_MS,
        }
    }

    /// Returns the time until a target of the service may be sent a request.
    fn until_available_ms(&self) -> Millis {
        let state = &self.state;
        let now = state.clock.now();
        let directory = state.directory.borrow();
        let selector = state.selector.borrow();
        let until_ms = selector.until_available_ms(now, &directory, &self.demand.service);
        until_ms.unwrap_or(RETRY_AFTER_MS).max(RETRY_AFTER_MS)
    }

    /// Returns how long the request may wait here for room at its service's targets.
    pub fn max_room_wait_ms(&self) -> Millis {
        let now = self.state.clock.now();
        let goal_ms = self.route.latency_goal_ms;
        let max_wait_ms = |contention: &mut Contention| contention.max_wait_ms(now, goal_ms);
        self.state
            .with_contention(&self.demand.service, max_wait_ms)
    }

    /// Returns the time until the service's targets are expected to have room again.
    fn until_room_ms(&self) -> Millis {
        let state = &self.state;
        let now = state.clock.now();
        let service = &self.demand.service;
        let directory = state.directory.borrow();
        let room = Room {
            running_tokens: state.selector.borrow().running_tokens(&directory, service),
            nodes: state.nodes.borrow().count().unwrap_or(1),
            pace: self.typical_pace(),
        };
        let remaining_ms = self.remaining_ms();
        state.with_contention(service, |contention| {
            contention.retry_after(now, &self.demand, room, remaining_ms, rand::random())
        })
    }
}

/// Returns whether a status promises a caller that its request has not run and will not.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
