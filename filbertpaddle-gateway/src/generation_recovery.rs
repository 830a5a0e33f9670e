//! How a generation leaves a target whose stream has broken off, stalled or is faulty.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::event_stream::Event;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::crash;
use crate::ended_response;
use crate::generation::Generation;
use crate::job::Failure;
use crate::silence;
use crate::stop_reason::StopReason;
use crate::target_connection;
use crate::target_stream::CLOSED_EARLY;
use crate::target_stream::TARGET_ENDED;
use crate::target_stream::TargetStream;

/// Longest time for which sound targets send no event.
const SILENT_TIME_MS: Millis = Millis::from_secs(1);

/// Reason why a target is left that goes on with a stream.
pub(crate) const UNPLACED: &str = "block without an ID before the first event of a resumed stream";
/// The same, of a target that sends comments or repeated events alone.
pub(crate) const IDLE: &str = "too much without a new event";
/// The same, of one whose event may come after others that it has not sent.
pub(crate) const AFTER_GAP: &str = "events before this one may be missing";
/// The same, of one that sends an event after a later one.
pub(crate) const OUT_OF_ORDER: &str = "event after a later one";

impl Generation<'_> {
    /// Resumes at another target after the stream of `source` has stalled. If no other target
    /// can take it now, the stream stays: it may be slow but sound.
    pub(crate) async fn leave_stalled(
        &mut self,
        source: TargetStream,
    ) -> Result<TargetStream, StopReason> {
        if self.migrator.has_usable_copy() {
            self.record_broken(&source, "stalled").await;
            self.migrator.record_silent();
            return self.switch_to_copy(source).await;
        }
        if !self.may_resend() {
            self.copy_if_cut_off(&source).await;
            return Ok(source);
        }
        let Some(target) = self.choose_replacement(&source.target).await else {
            self.last_activity_ms = self.job.state.clock.now();
            info!(self.job.state.log, "stream of target stalled, no other can take it now";
                "id" => self.job.metadata.attempt.as_str(),
                "target" => source.target.id.as_str(), "last_event" => self.last_event);
            return Ok(source);
        };
        self.record_broken(&source, "stalled").await;
        self.resume_at(target, source).await
    }

    /// Resumes at another target after `source` has sent what is no event. It may work on.
    pub(crate) async fn leave_faulty(
        &mut self,
        source: TargetStream,
        reason: &str,
    ) -> Result<TargetStream, StopReason> {
        if self.migrator.has_usable_copy() {
            return self.recover(source, reason).await;
        }
        self.record_broken(&source, reason).await;
        match self.choose_replacement(&source.target).await {
            Some(target) => self.resume_at(target, source).await,
            None => Err(StopReason::Broken),
        }
    }

    /// Resumes at `target` after the one of `source` has been ordered to stop.
    async fn resume_at(
        &mut self,
        target: Target,
        source: TargetStream,
    ) -> Result<TargetStream, StopReason> {
        if self.stop_source(&source, &target).await {
            return self.switch_to_copy(source).await;
        }
        source.close();
        self.release_placement();
        self.migrator.restart(None);
        self.open_at(target).await
    }

    /// Chooses a target other than `source` that may be sent the request now, and excludes
    /// `source` if there is one. There is none while this node reaches no target at all: `source`
    /// may go on once the cut has ended.
    async fn choose_replacement(&mut self, source: &Target) -> Option<Target> {
        if !self.may_resend() {
            return None;
        }
        self.progress.excluded_targets.push(source.id.clone());
        let mut chosen = self.job.choose_target(self.progress).ok();
        if let Some(target) = &chosen
            && !target_connection::has_any_path(&self.job.state, target).await
        {
            chosen = None;
        }
        let sendable = chosen.filter(|_| self.job.may_send(self.progress));
        if sendable.is_none() {
            self.progress.excluded_targets.pop();
        }
        sendable
    }

    /// Returns why a stream that has ended is not complete, if it is not. One that has neither
    /// a length nor chunks also ends so when its target stops it, crashes or exits.
    pub(crate) async fn cut_off_reason(&self, source: &TargetStream) -> Option<&'static str> {
        if !source.is_unframed() {
            return None;
        }
        let reason = self.unframed_cut_off_reason(source).await;
        info!(self.job.state.log, "stream without a length ended with its connection";
            "id" => self.job.metadata.attempt.as_str(), "target" => source.target.id.as_str(),
            "last_event" => self.last_event, "events_here" => self.events_here,
            "is_relayed" => source.is_relayed(), "cut_off" => reason);
        self.job.state.metrics.count(match reason {
            Some(_) => "stream.unframed_cut_off",
            None => "stream.unframed_complete",
        });
        reason
    }

    async fn unframed_cut_off_reason(&self, source: &TargetStream) -> Option<&'static str> {
        if self.migrator.has_ordered_stop() {
            return Some("stopped");
        }
        if self.is_closed_early(source) {
            return Some(CLOSED_EARLY);
        }
        let goes_on = ended_response::goes_on(&self.job.state, &source.target).await;
        (!goes_on).then_some(TARGET_ENDED)
    }

    /// Returns whether an event has no known place: it has no ID, and the target has sent none
    /// with an ID that it could follow. The caller may have it already, or it may be no event.
    pub(crate) fn is_unplaced(&self, event: &Event) -> bool {
        let is_resumed = self.last_event.is_some() && self.events_here == 0;
        is_resumed && event.id.is_none() && !event.is_comment()
    }

    /// Returns whether a stream has ended with its connection before any new event, and that may not
    /// count. A target that crashes after the head of its response ends it in the same way.
    pub(crate) fn is_closed_early(&self, source: &TargetStream) -> bool {
        source.is_unframed() && !self.has_begun && !self.may_end_empty(&source.target)
    }

    /// Resumes after the stream of `source` has broken off.
    pub(crate) async fn recover(
        &mut self,
        source: TargetStream,
        reason: &str,
    ) -> Result<TargetStream, StopReason> {
        if !self.migrator.is_stopping() {
            self.record_broken(&source, reason).await;
        }
        if self.migrator.has_usable_copy() {
            self.wait_for_stop(&source).await;
            return self.switch_to_copy(source).await;
        }
        let target = source.target.clone();
        source.close();
        self.release_placement();
        if !self.migrator.is_stopping() {
            self.left = Some(target.clone());
        }
        self.reopen(&target).await
    }

    /// Records that a run has failed at a target, which works on if its response alone is spoilt.
    pub(crate) async fn record_failed_run(&mut self, target: &Target, failure: &Failure) {
        self.release_placement();
        self.job.mark_failed(self.progress, target, failure);
        self.job.check_crash(target, failure).await;
        if matches!(failure, Failure::Unknown(_) | Failure::RelayLost(_)) {
            self.left = Some(target.clone());
        }
    }

    async fn record_broken(&mut self, source: &TargetStream, reason: &str) {
        let state = &self.job.state;
        info!(state.log, "stream of target broke off or stalled";
            "id" => self.job.metadata.attempt.as_str(),
            "target" => source.target.id.as_str(), "reason" => reason,
            "last_event" => self.last_event, "has_copy" => self.migrator.has_copy());
        state.metrics.count("stream.broken");
        if source.is_evicted() {
            // The limits of this node are no sign of a fault of the target or the request.
            return;
        }
        if !source.is_relayed() {
            state.record_target_failure(&source.target);
            self.record_side_broken(&source.target);
        }
        if !self.is_sound {
            crash::check(self.job, &source.target).await;
        }
    }

    /// Sends the request to a target other than `source`, to resume after the last event, if the
    /// route allows it.
    pub(crate) async fn reopen(&mut self, source: &Target) -> Result<TargetStream, StopReason> {
        self.progress.excluded_targets.push(source.id.clone());
        // A call to the former target may still be running.
        self.migrator.restart(None);
        if !self.may_resend() {
            return Err(StopReason::Broken);
        }
        self.open().await
    }

    /// Returns whether the stream could resume at another target.
    pub(crate) fn can_resume(&self) -> bool {
        self.migrator.has_copy() || self.may_resend()
    }

    /// Returns whether the request may be sent to one more target.
    pub(crate) fn may_resend(&self) -> bool {
        self.may_resume() && self.progress.sends < self.job.route.max_attempts
    }

    /// Returns whether the request may run again to go on with the stream. Without the ID of an
    /// event to go on from, a target would send again what the caller has.
    pub(crate) fn may_resume(&self) -> bool {
        let has_place = self.last_event.is_some() || !self.has_content;
        has_place && self.job.route.kind.is_idempotent()
    }

    /// Watches the target if it has been silent for longer than sound ones are.
    pub(crate) fn watch_silent(&self) {
        let silent_ms = self.job.state.clock.now().since(self.last_activity_ms);
        if let Some(placement) = &self.placement
            && silent_ms >= SILENT_TIME_MS
        {
            silence::watch(self.job, &placement.target);
        }
    }
}
