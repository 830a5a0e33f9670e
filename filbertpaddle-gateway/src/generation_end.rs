//! Asks a target what follows an end of a stream that was not stated.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::stream_end;
use filbertpaddle_forward::stream_end::EndStep;
use filbertpaddle_forward::stream_end::QueryFailure;
use filbertpaddle_forward::stream_end::UnstatedEnd;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use slog::info;
use tokio::time::timeout;

use crate::clock::duration;
use crate::crash;
use crate::ended_response;
use crate::generation::Generation;
use crate::job::Failure;
use crate::job::ResumePoint;
use crate::job_refusal::promises_not_run;
use crate::stop_reason::OpenError;
use crate::stop_reason::StopReason;
use crate::target_stream::StreamItem;
use crate::target_stream::TargetStream;

/// Response to a query.
enum Answer {
    /// A new event or the end is next.
    Stream(TargetStream),
    /// It broke off before either.
    Broken(TargetStream, String),
    /// It holds what is no event, and may go on.
    Faulty(TargetStream, String),
}

impl Generation<'_> {
    /// Returns the stream that goes on after the one of `source` has ended; `None` if it is
    /// complete.
    pub(crate) async fn follow_end(
        &mut self,
        source: TargetStream,
    ) -> Result<Option<TargetStream>, StopReason> {
        if let Some(reason) = self.cut_off_reason(&source).await {
            return self.recover(source, reason).await.map(Some);
        }
        let step = match source.is_unframed() {
            true => self.end_step(&source.target),
            false => EndStep::Complete,
        };
        if step == EndStep::CutOff {
            self.log_query_outcome(&source.target, "no_attempt_left");
            return Err(StopReason::Broken);
        }
        if step == EndStep::Query {
            let ended = source.target.clone();
            source.close();
            self.release_placement();
            return self.query_after(&ended).await;
        }
        self.record_complete(&source.target);
        Ok(None)
    }

    /// Asks what follows the stream that `ended` has closed, if a target may be sent that now.
    async fn query_after(&mut self, ended: &Target) -> Result<Option<TargetStream>, StopReason> {
        let unsent = match self.choose_queried(ended) {
            Ok((target, timeout_ms)) => return self.query(ended, &target, timeout_ms).await,
            Err(unsent) => unsent,
        };
        self.log_query_outcome(ended, &unsent.to_string());
        match unsent.step() {
            EndStep::Complete | EndStep::Query => {
                self.record_complete(ended);
                Ok(None)
            }
            EndStep::CutOff => Err(StopReason::Broken),
        }
    }

    /// Returns what to do at the end of a run at `target`.
    fn end_step(&mut self, target: &Target) -> EndStep {
        if !self.has_begun {
            self.empty_runs.record(&target.id);
        }
        let end = UnstatedEnd {
            may_resume: self.may_resume(),
            has_sends_left: self.may_resend(),
            allows_retries: self.job.route.max_attempts > 1,
            is_placed: self.last_event.is_some() && (self.is_placed || !self.has_begun),
            is_agreed: self.empty_runs.is_agreed(),
        };
        end.step()
    }

    /// Returns whether the end of a run without events at `target` may count: a query, or the last
    /// of the runs that agree.
    pub(crate) fn may_end_empty(&self, target: &Target) -> bool {
        self.is_end_query || self.empty_runs.would_agree(&target.id)
    }

    /// Returns whether a run of `source` that has brought nothing is no sign of a failure: the
    /// caller resumes a stream that may be whole, and the target goes on.
    pub(crate) async fn is_empty_run(&self, source: &TargetStream) -> bool {
        let may_be_whole = self.last_event.is_some()
            && self.last_event == self.job.metadata.last_event
            && self.may_resume();
        may_be_whole && ended_response::goes_on(&self.job.state, &source.target).await
    }

    /// Excludes a target that has closed a run in order before any event. Others are asked too.
    pub(crate) fn leave_empty_run(&mut self, target: &Target) {
        self.empty_runs.record(&target.id);
        self.progress.is_in_flight = false;
        self.progress.sends += 1;
        self.progress.may_have_run = true;
        self.progress.excluded_targets.push(target.id.clone());
        info!(self.job.state.log, "target has nothing that follows the last event of the caller";
            "id" => self.job.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "last_event" => self.last_event, "sends" => self.progress.sends);
    }

    /// Chooses the target that is asked, and how long its answer is awaited: the one of the
    /// stream, which holds what it has read, or else another; none that has answered already.
    fn choose_queried(&mut self, ended: &Target) -> Result<(Target, Millis), QueryFailure> {
        let job = self.job;
        let now = job.state.clock.now();
        let drain = job.state.drain.get();
        let timeout_ms = stream_end::query_timeout_ms(
            job.route.latency_goal_ms,
            job.remaining_ms(),
            drain.map(|drain| drain.remaining_ms(now)),
        );
        let timeout_ms = timeout_ms.ok_or(QueryFailure::NotSent)?;
        let asked = self.empty_runs.targets();
        let failed = &mut self.progress.excluded_targets;
        failed.extend(asked.iter().cloned());
        let is_asked = asked.contains(&ended.id);
        let target = match !is_asked && job.may_return_to(self.progress, ended) {
            true => ended.clone(),
            false => job.choose_target(self.progress).map_err(unsent_reason)?,
        };
        let queried = (target, timeout_ms);
        job.may_send(self.progress)
            .then_some(queried)
            .ok_or(QueryFailure::NotSent)
    }

    /// Sends the request to `target` to resume after the last event of the stream that `ended` has
    /// closed. Returns the stream that goes on; `None` if the end counts.
    async fn query(
        &mut self,
        ended: &Target,
        target: &Target,
        timeout_ms: Millis,
    ) -> Result<Option<TargetStream>, StopReason> {
        info!(self.job.state.log, "asking what follows the end of a stream without a length";
            "id" => self.job.metadata.attempt.as_str(), "ended" => ended.id.as_str(),
            "target" => target.id.as_str(), "last_event" => self.last_event,
            "timeout_ms" => timeout_ms.0);
        self.job.state.metrics.count("stream.end_asked");
        let was_sound = self.is_sound;
        self.migrator.abandon();
        self.place_on(target);
        self.is_end_query = true;
        let answer = timeout(duration(timeout_ms), self.wait_for_answer(target)).await;
        let failure = match answer {
            Ok(Ok(Answer::Stream(source))) => {
                self.log_query_outcome(target, "answered");
                return Ok(Some(source));
            }
            Ok(Ok(Answer::Broken(source, reason))) => {
                self.log_query_outcome(target, "broken");
                return self.recover(source, &reason).await.map(Some);
            }
            Ok(Ok(Answer::Faulty(source, reason))) => {
                self.log_query_outcome(target, "broken");
                return self.leave_faulty(source, &reason).await.map(Some);
            }
            Ok(Err(error)) => self.query_failure(ended, target, error).await?,
            Err(_) => {
                self.left = Some(target.clone());
                QueryFailure::NoAnswer
            }
        };
        self.end_query();
        if failure == QueryFailure::TargetEnded && !was_sound {
            crash::check(self.job, ended).await;
        }
        self.log_query_outcome(target, &failure.to_string());
        match failure.step() {
            EndStep::Complete | EndStep::Query => Ok(None),
            EndStep::CutOff => self.reopen(target).await.map(Some),
        }
    }

    /// Waits for the next new event, or the end of the response. The comments and repeated events
    /// before it are no part of the stream.
    async fn wait_for_answer(&mut self, target: &Target) -> Result<Answer, OpenError> {
        let resume = ResumePoint {
            last_event: self.last_event,
            ..ResumePoint::default()
        };
        let mut source = self.start_at(target, resume).await?;
        loop {
            match source.next().await {
                StreamItem::Event(event) if event.is_comment() => {}
                StreamItem::Event(event) => {
                    if let Some(id) = event.id.filter(|_| event.id <= self.last_event) {
                        self.place(target, id);
                        continue;
                    }
                    source.put_back(event);
                    return Ok(Answer::Stream(source));
                }
                StreamItem::End => return Ok(Answer::Stream(source)),
                StreamItem::Broken(reason) => return Ok(Answer::Broken(source, reason)),
                StreamItem::Faulty(reason) => return Ok(Answer::Faulty(source, reason)),
            }
        }
    }

    /// Records why a query has failed, and returns what that shows.
    async fn query_failure(
        &mut self,
        ended: &Target,
        target: &Target,
        error: OpenError,
    ) -> Result<QueryFailure, StopReason> {
        let failure = match error {
            OpenError::Stopped(StopReason::Failed(reply)) if promises_not_run(reply.status()) => {
                return Ok(QueryFailure::NotRun);
            }
            OpenError::Stopped(StopReason::Failed(reply)) if reply.status().is_client_error() => {
                return Ok(QueryFailure::Declined);
            }
            OpenError::Stopped(StopReason::Failed(_)) | OpenError::Empty => {
                return Ok(QueryFailure::Failed);
            }
            OpenError::Stopped(stop) => return Err(stop),
            OpenError::Failed(failure) => failure,
        };
        self.record_failed_run(target, &failure).await;
        Ok(shown_by(&failure, ended.id == target.id))
    }

    /// Counts a query that is still in flight, and removes it from the load of its target.
    fn end_query(&mut self) {
        if self.progress.is_in_flight {
            self.watch_silent();
            self.progress.sends += 1;
            self.progress.is_in_flight = false;
        }
        self.release_placement();
    }

    fn log_query_outcome(&self, target: &Target, outcome: &str) {
        info!(self.job.state.log, "asked what follows the end of a stream without a length";
            "id" => self.job.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "last_event" => self.last_event, "outcome" => outcome);
    }
}

/// Returns why a query is not sent, if no target could be chosen for it.
fn unsent_reason(error: PlacementError) -> QueryFailure {
    match error {
        PlacementError::AllFailing => QueryFailure::TargetsFailing,
        _ => QueryFailure::NotSent,
    }
}

/// Returns what the failure of a query shows about the stream's end.
fn shown_by(failure: &Failure, is_same_target: bool) -> QueryFailure {
    match failure {
        Failure::Refused | Failure::Unreachable | Failure::OtherTarget if is_same_target => {
            QueryFailure::TargetEnded
        }
        Failure::Refused
        | Failure::Unreachable
        | Failure::OtherTarget
        | Failure::NoPath
        | Failure::NotSent(_)
        | Failure::NotRun => QueryFailure::NotRun,
        Failure::RelayLost(_) => QueryFailure::NoAnswer,
        Failure::Unknown(_) => QueryFailure::Failed,
    }
}
