//! Moves of a generation from its target to another one, from a copy of its KV cache.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::event_order::RunStart;
use filbertpaddle_forward::migration::Step;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::target::Incarnation;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::select;
use tokio::time::timeout;

use crate::copy_call::CopyCall;
use crate::ended_response;
use crate::generation::Generation;
use crate::generation::at;
use crate::job::Failure;
use crate::job::Job;
use crate::job::ResumePoint;
use crate::migrator::CopyPoint;
use crate::platform_api::CopySource;
use crate::stop_reason::OpenError;
use crate::stop_reason::StopReason;
use crate::target_connection;
use crate::target_stream::TargetStream;

/// Time for which the answer of a target that is left to the order to stop is awaited.
/// Callers have waited for a stall before, and abandon a stream after two seconds.
const SOURCE_STOP_WAIT: Duration = Duration::from_millis(200);

/// A source that was asked whether it has started again since its entry was written.
#[derive(Debug)]
pub(crate) struct CheckedSource {
    incarnation: Incarnation,
    /// Start time of the incarnation that has taken its place, if there is one.
    restarted_ms: Option<Millis>,
}

impl Generation<'_> {
    /// Schedules a migration if the target is draining or gone and the generation has
    /// delivered an event.
    pub(crate) async fn check_draining(&mut self, source: &TargetStream) {
        if self.job.state.is_leaving(&source.target)
            && self.job.can_migrate
            && self.last_event.is_some()
            && self.knows_version(source).await
        {
            self.schedule_migration();
        }
    }

    fn schedule_migration(&mut self) {
        let events = self.received_events().unwrap_or(self.events);
        self.migrator.schedule_migration(events);
    }

    /// Returns whether the version that the source is listed with is that of the run. A source
    /// whose entry has gone without a drain may have started again before the stream began, with
    /// other software and without a path to the store: then no other target goes on.
    async fn knows_version(&mut self, source: &TargetStream) -> bool {
        if self.progress.version == VersionBinding::Unknown {
            return false;
        }
        let state = &self.job.state;
        let incarnation = source.target.incarnation();
        if let Some(checked) = &self.checked_source
            && checked.incarnation == incarnation
        {
            return checked.restarted_ms.is_none();
        }
        if state.is_listed(&source.target) {
            return true;
        }
        let restarted_ms = ended_response::restarted_ms(state, &source.target).await;
        self.checked_source = Some(CheckedSource {
            incarnation,
            restarted_ms,
        });
        if let Some(restarted_ms) = restarted_ms {
            info!(state.log, "target has started again under its ID, its stream is not moved";
                "id" => self.job.metadata.attempt.as_str(), "target" => source.target.id.as_str(),
                "listed_version" => source.target.version.as_str(),
                "started_ms" => restarted_ms.0, "last_event" => self.last_event);
            state.metrics.count("version.restarted_target");
        }
        restarted_ms.is_none()
    }

    /// Returns whether the source has started again, and is not known to have the version that it
    /// was listed with when the stream began.
    fn may_have_other_version(&self, source: &Target) -> bool {
        let checked = self.checked_source.as_ref();
        let checked = checked.filter(|checked| checked.incarnation == source.incarnation());
        let Some(restarted_ms) = checked.and_then(|checked| checked.restarted_ms) else {
            return false;
        };
        let directory = self.job.state.directory.borrow();
        let listed = directory.target(&source.id);
        let listed = listed.filter(|listed| listed.started_ms == Some(restarted_ms));
        listed.is_none_or(|listed| listed.software() != source.software())
    }

    /// Records that the version of the stream is not known, once a source that has started again with
    /// another one sends an event: it began the stream after that. A stream that sends none more may
    /// be the end of a run from before.
    pub(crate) fn check_version(&mut self, source: &TargetStream) {
        let may_differ = self.may_have_other_version(&source.target);
        if may_differ && self.progress.version != VersionBinding::Unknown {
            info!(self.job.state.log, "stream is not resumed, its target had started again";
                "id" => self.job.metadata.attempt.as_str(), "target" => source.target.id.as_str(),
                "resumes" => self.job.metadata.resumed_attempt.as_deref(),
                "listed_version" => source.target.version.as_str(),
                "last_event" => self.last_event);
            self.job.doubt_version(self.progress);
        }
    }

    /// Schedules a copy of a stalled stream that may not run twice, if it is this node that does
    /// not reach the targets: the copy is requested through another node.
    pub(crate) async fn copy_if_cut_off(&mut self, source: &TargetStream) {
        let state = &self.job.state;
        let is_cut_off = || state.direct_path.borrow().is_cut_off();
        if !is_cut_off() {
            let since = state.clock.now();
            let target = &source.target;
            if target_connection::open_directly(state, target)
                .await
                .is_err()
            {
                target_connection::has_path(state, target, since).await;
            }
        }
        self.last_activity_ms = state.clock.now();
        if is_cut_off() && self.last_event.is_some() {
            info!(state.log, "stream stalled while this node reaches no target, copying it";
                "id" => self.job.metadata.attempt.as_str(),
                "target" => source.target.id.as_str(), "last_event" => self.last_event);
            self.schedule_migration();
        }
    }

    /// Orders the target of a stream that leaves it to stop, and waits a moment for the answer;
    /// returns whether `to` has a copy then. A target that is reached stops even if its answer is
    /// late.
    pub(crate) async fn stop_source(&mut self, source: &TargetStream, to: &Target) -> bool {
        if !self.job.can_migrate {
            return false;
        }
        self.migrator.order_stop(source, to);
        if let Ok(result) = timeout(SOURCE_STOP_WAIT, self.migrator.wait_for_call()).await {
            self.migrator.record_result(&source.target, result);
        }
        self.migrator.has_copy()
    }

    /// Orders the target that was left last to stop, and waits a moment for the answer, before the
    /// request goes on at `to`: not all targets stop when their connection closes.
    pub(crate) async fn stop_left(&mut self, to: &Target) {
        let Job {
            state, metadata, ..
        } = self.job;
        let Some(left) = self.left.take().filter(|left| left.id != to.id) else {
            return;
        };
        if self.job.can_migrate {
            let call = CopyCall::stop_after_copies(state, &metadata.attempt, &left, to);
            let has_answered = call.abandon_within(state, SOURCE_STOP_WAIT).await;
            info!(state.log, "target that was left ordered to stop";
                "id" => metadata.attempt.as_str(), "target" => left.id.as_str(),
                "to" => to.id.as_str(), "last_event" => self.last_event,
                "has_answered" => has_answered);
        }
    }

    /// Waits until the target of a stream that has broken off is known not to run it, or gives
    /// no answer.
    pub(crate) async fn wait_for_stop(&mut self, source: &TargetStream) {
        self.migrator.record_closed(source);
        let clock = self.job.state.clock;
        while let Step::Wait(until) = self.migrator.advance(source, self.received_events()) {
            select! {
                biased;
                result = self.migrator.wait_for_call() => {
                    self.migrator.record_result(&source.target, result);
                }
                () = at(clock, until) => {}
            }
        }
    }

    /// Resumes from the copy at another target, or at the target itself if no other goes on.
    pub(crate) async fn switch_to_copy(
        &mut self,
        source: TargetStream,
    ) -> Result<TargetStream, StopReason> {
        let from = source.target.clone();
        source.close();
        self.release_placement();
        while let Some(point) = self.migrator.next_point(&from).await {
            match self.start_from(&from, &point).await {
                Ok(stream) => {
                    self.migrator.restart(Some(&point));
                    return Ok(stream);
                }
                Err(OpenError::Stopped(stop)) => return Err(stop),
                Err(OpenError::Empty) => {
                    self.release_placement();
                    self.leave_empty_run(&point.target);
                    break;
                }
                Err(OpenError::Failed(failure)) => {
                    self.record_failed_run(&point.target, &failure).await;
                    self.migrator.record_unusable(&point.target);
                    if matches!(failure, Failure::Unknown(_) | Failure::RelayLost(_)) {
                        break;
                    }
                }
            }
        }
        self.reopen(&from).await
    }

    /// Returns how a run begins from a copy that has so many events of the stream.
    fn start_from_copy(&self, copied: Option<u64>) -> RunStart {
        match (copied, self.received_events()) {
            (Some(copied), Some(received)) if copied <= received => RunStart::AfterLastEvent,
            _ => RunStart::CopyAhead,
        }
    }

    async fn start_from(
        &mut self,
        from: &Target,
        point: &CopyPoint,
    ) -> Result<TargetStream, OpenError> {
        let CopyPoint {
            target,
            handle,
            events,
        } = point;
        let state = &self.job.state;
        info!(state.log, "generation moving to the target of its copy";
            "id" => self.job.metadata.attempt.as_str(),
            "from" => from.id.as_str(), "from_version" => from.version.as_str(),
            "to" => target.id.as_str(), "version" => target.version.as_str(),
            "last_event" => self.last_event, "handle" => handle.as_str());
        state.metrics.count("generation.moved");
        self.job.charge_migration();
        self.place_on(target);
        let resume = ResumePoint {
            last_event: self.last_event,
            copy: Some(CopySource {
                address: &from.address,
                handle,
            }),
            start: self.start_from_copy(*events),
        };
        self.start_at(target, resume).await
    }
}
