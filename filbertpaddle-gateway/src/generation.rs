//! Serves requests whose response is a stream of events.
//!
//! A generation reads events from one target at a time and forwards only complete ones.
//! When that target drains, stalls or fails, it resumes at another target if it can.

use std::fmt;
use std::future::pending;
use std::num::NonZeroU64;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::event_order::EventOrder;
use filbertpaddle_forward::event_order::Place;
use filbertpaddle_forward::event_stream::Event;
use filbertpaddle_forward::id_step::IdStep;
use filbertpaddle_forward::idle_output::IdleOutput;
use filbertpaddle_forward::migration::Step;
use filbertpaddle_forward::service_pace::StreamMeter;
use filbertpaddle_forward::stream_end::EmptyRuns;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::select;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::clock::duration;
use crate::generation_load::Placement;
use crate::generation_move::CheckedSource;
use crate::generation_recovery::AFTER_GAP;
use crate::generation_recovery::IDLE;
use crate::generation_recovery::OUT_OF_ORDER;
use crate::generation_recovery::UNPLACED;
use crate::job::Failure;
use crate::job::Job;
use crate::job::Progress;
use crate::job::ResumePoint;
use crate::migrator::CallResult;
use crate::migrator::Migrator;
use crate::response_writer::ResponseWriter;
use crate::stop_reason::OpenError;
use crate::stop_reason::StopReason;
use crate::target_stream::CLOSED_EARLY;
use crate::target_stream::StreamItem;
use crate::target_stream::TargetStream;

/// Time without an event after which a generation resumes at another target if it can. Sound
/// targets are silent for a second at times, and callers abandon a stream after two.
const STALL_TIMEOUT_MS: Millis = Millis(1_400);

/// Multiple of the latency goal that a resumable stream waits for its first event at one
/// target. A busy target needs longer than the goal, and its prefill work is lost if the
/// request goes to another target.
const FIRST_EVENT_GOAL_FACTOR: u64 = 2;
/// Reason why a target is left then.
const LATE: &str = "no first event within the time limit";

/// Time for which a target goes on after its first event that shows that the request does not
/// crash it. Until then, the target may have failed already when its last events arrive.
const SOUND_TIME_MS: Millis = Millis::from_secs(1);

/// What to do with an event.
enum Examined {
    Deliver,
    /// The caller has received it.
    Drop,
    /// Leave its target, for this reason.
    Leave(&'static str),
}

/// Outcome of waiting in the main loop.
enum WaitOutcome {
    Item(StreamItem),
    Called(CallResult),
    Switch,
    Stalled,
    Changed,
}

/// A generation that is being served.
pub struct Generation<'a> {
    pub(crate) job: &'a Job,
    pub(crate) progress: &'a mut Progress,
    pub(crate) writer: &'a mut ResponseWriter,
    pub(crate) last_event: Option<u64>,
    pub(crate) last_activity_ms: Millis,
    /// Number of new events with an ID that all targets have sent.
    pub(crate) events: u64,
    /// The same of the current target.
    pub(crate) events_here: u64,
    /// Whether the current target has sent anything but comments and repeated events.
    pub(crate) has_begun: bool,
    /// Whether the last event that the current target has sent has an ID.
    pub(crate) is_placed: bool,
    /// Whether the current run queries what follows an end that was not stated.
    pub(crate) is_end_query: bool,
    /// Whether the caller has been sent anything but comments, by any target.
    pub(crate) has_content: bool,
    /// Runs that have ended in order before any event after the last.
    pub(crate) empty_runs: EmptyRuns,
    /// Whether the stream has gone on from one run to another.
    pub(crate) has_resumed: bool,
    /// Time of the first of the new events.
    pub(crate) first_event_ms: Millis,
    /// Whether the time per token at the current target is to be recorded for a roll-out.
    pub(crate) awaits_side_pace: bool,
    /// Whether the current target has shown that the request does not crash it.
    pub(crate) is_sound: bool,
    pub(crate) placement: Option<Placement>,
    pub(crate) meter: StreamMeter,
    pub(crate) order: EventOrder,
    /// Source that was asked whether it is the incarnation that was listed.
    pub(crate) checked_source: Option<CheckedSource>,
    pub(crate) idle_output: IdleOutput,
    pub(crate) migrator: Migrator<'a>,
    /// Target that was left and may work on, if it has not been ordered to stop yet.
    pub(crate) left: Option<Target>,
    changes: watch::Receiver<u64>,
}

impl fmt::Debug for Generation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Generation").finish_non_exhaustive()
    }
}

/// Serves a generation until it completes or fails, its deadline passes, or its caller
/// is gone, which closes `gone`.
///
/// # Errors
///
/// Returns the reason why it is not complete.
pub async fn serve(
    job: &Job,
    progress: &mut Progress,
    writer: &mut ResponseWriter,
    gone: oneshot::Receiver<()>,
) -> Result<(), StopReason> {
    let deadline = job.state.clock.instant(job.deadline_at_ms);
    let mut generation = Generation::new(job, progress, writer);
    let result = select! {
        biased;
        _ = gone => Err(StopReason::CallerGone),
        () = sleep_until(deadline) => Err(StopReason::TimedOut),
        result = generation.run() => result,
    };
    if let Err(StopReason::TimedOut | StopReason::CallerGone) = result {
        generation.watch_silent();
    }
    if let Err(StopReason::TimedOut) = result {
        let target = generation.placed_at();
        job.record_side_timeout(generation.progress, target);
    }
    generation.close();
    result
}

impl<'a> Generation<'a> {
    fn new(job: &'a Job, progress: &'a mut Progress, writer: &'a mut ResponseWriter) -> Self {
        Self {
            last_event: job.metadata.last_event,
            last_activity_ms: job.received_ms,
            events: 0,
            events_here: 0,
            has_begun: false,
            is_placed: false,
            is_end_query: false,
            has_content: false,
            empty_runs: EmptyRuns::default(),
            has_resumed: false,
            first_event_ms: Millis::ZERO,
            awaits_side_pace: false,
            is_sound: false,
            placement: None,
            meter: StreamMeter::new(job.state.clock.now()),
            order: EventOrder::new(),
            checked_source: None,
            idle_output: IdleOutput::new(),
            migrator: Migrator::new(job),
            left: None,
            changes: job.state.subscribe(),
            job,
            progress,
            writer,
        }
    }

    /// Releases the generation's load at its target and its copy.
    fn close(mut self) {
        self.record_side_pace(self.last_activity_ms, true);
        self.record_last_pace();
        self.release_placement();
        self.migrator.close();
    }

    async fn run(&mut self) -> Result<(), StopReason> {
        let mut source = self.begin().await?;
        loop {
            match self.next(&mut source).await {
                WaitOutcome::Item(StreamItem::Event(event)) => {
                    match self.examine(&source.target, &event) {
                        Examined::Deliver => self.deliver_from(&source, event).await?,
                        Examined::Drop => {}
                        Examined::Leave(reason) => {
                            source = self.leave_faulty(source, reason).await?;
                        }
                    }
                }
                WaitOutcome::Item(StreamItem::End) => match self.follow_end(source).await? {
                    Some(next) => source = next,
                    None => return Ok(()),
                },
                WaitOutcome::Item(StreamItem::Broken(reason)) => {
                    source = self.recover(source, &reason).await?;
                }
                WaitOutcome::Item(StreamItem::Faulty(reason)) => {
                    source = self.leave_faulty(source, &reason).await?;
                }
                WaitOutcome::Stalled => source = self.leave_stalled(source).await?,
                WaitOutcome::Called(result) => self.migrator.record_result(&source.target, result),
                WaitOutcome::Switch => source = self.switch_to_copy(source).await?,
                WaitOutcome::Changed => self.job.pass_version_on(self.progress),
            }
        }
    }

    /// Begins the stream, unless the node stops before: the caller then gets an answer.
    async fn begin(&mut self) -> Result<TargetStream, StopReason> {
        let state = &self.job.state;
        select! {
            biased;
            opened = self.open() => opened,
            () = state.ending() => Err(StopReason::Stopping),
        }
    }

    /// Waits for the next event, the result of a copy, a change of targets or a timer.
    async fn next(&mut self, source: &mut TargetStream) -> WaitOutcome {
        self.check_draining(source).await;
        let clock = self.job.state.clock;
        let due_ms = match self.migrator.advance(source, self.received_events()) {
            Step::Switch => return WaitOutcome::Switch,
            Step::Wait(at) => at,
            Step::Copy => None,
        };
        let stall_ms = (self.can_resume() || self.job.can_migrate)
            .then(|| self.last_activity_ms + STALL_TIMEOUT_MS)
            .filter(|_| self.last_event.is_some());
        select! {
            // What has arrived goes before the timers: this task may have waited for the caller.
            biased;
            result = self.migrator.wait_for_call() => WaitOutcome::Called(result),
            item = source.next() => WaitOutcome::Item(item),
            _ = self.changes.changed() => WaitOutcome::Changed,
            () = at(clock, due_ms) => WaitOutcome::Changed,
            () = at(clock, stall_ms) => WaitOutcome::Stalled,
        }
    }

    /// Returns what to do with an event of a target.
    fn examine(&mut self, target: &Target, event: &Event) -> Examined {
        if self.is_unplaced(event) {
            return Examined::Leave(UNPLACED);
        }
        if self.idle_output.record(event, self.last_event) {
            return Examined::Leave(IDLE);
        }
        let Some(id) = event.id else {
            return Examined::Deliver;
        };
        match self.place(target, id) {
            Place::Next => Examined::Deliver,
            // By a target that resumed from a copy.
            Place::Repeated => Examined::Drop,
            Place::AfterGap => Examined::Leave(AFTER_GAP),
            Place::OutOfOrder => Examined::Leave(OUT_OF_ORDER),
        }
    }

    /// Returns the place in the stream of an event that a target has sent.
    pub(crate) fn place(&mut self, target: &Target, id: u64) -> Place {
        let state = &self.job.state;
        let software = target.software();
        let mut steps = state.id_steps.borrow_mut();
        let usual = software.map(|software| steps.of(software));
        let usual = usual.unwrap_or_default();
        let place = self.order.place(self.last_event, id, usual);
        if let (Some(software), Some(step)) = (software, self.order.take_learned()) {
            steps.record(software, step);
        }
        if matches!(place, Place::AfterGap | Place::OutOfOrder) {
            info!(state.log, "event does not follow the last one of the stream";
                "id" => self.job.metadata.attempt.as_str(), "target" => target.id.as_str(),
                "event" => id, "last_event" => self.last_event, "place" => ?place,
                "step" => ?self.order.step(), "usual_step" => ?usual);
            state.metrics.count("stream.event_misplaced");
        }
        place
    }

    /// Returns the number of events that the caller has received of the whole stream; `None` if
    /// that is not known, as it received some of them before.
    pub(crate) fn received_events(&self) -> Option<u64> {
        match self.job.metadata.last_event {
            None => Some(self.events),
            Some(resumed_after) => {
                let counts = self.order.step() == IdStep::Even(NonZeroU64::MIN);
                counts.then_some(resumed_after + self.events)
            }
        }
    }

    /// Delivers an event, unless the stream has to be given up for others while the caller reads.
    async fn deliver_from(
        &mut self,
        source: &TargetStream,
        event: Event,
    ) -> Result<(), StopReason> {
        self.check_version(source);
        select! {
            biased;
            delivered = self.deliver(event) => delivered,
            () = source.evicted() => Err(StopReason::Broken),
        }
    }

    async fn deliver(&mut self, event: Event) -> Result<(), StopReason> {
        let now = self.job.state.clock.now();
        // Comments do not show that the target goes on.
        self.last_event = event.id.or(self.last_event);
        if !event.is_comment() {
            self.has_begun = true;
            self.empty_runs.clear();
            self.has_content = true;
            self.is_placed = event.id.is_some();
        }
        let goal_ms = self.job.route.gap_goal_ms;
        self.progress.pace.record_event(now, goal_ms);
        let is_progress = event.id.is_some();
        if is_progress {
            self.record_progress(now);
            self.record_event_pace(now);
        }
        self.writer.send_part(event.bytes).await?;
        if is_progress {
            // Later than `now` by the time in which the caller did not read.
            self.last_activity_ms = self.job.state.clock.now();
            self.meter.record_delivered(now, self.last_activity_ms);
        }
        Ok(())
    }

    /// Records that the stream has ended as complete at a target.
    pub(crate) fn record_complete(&self, target: &Target) {
        let mut selector = self.job.state.selector.borrow_mut();
        selector.record_success(&target.id);
        // A query follows a run that has sent events.
        if self.events_here > 0 || self.is_end_query {
            self.job.record_sound();
        }
    }

    /// Records that the target has sent a new event.
    fn record_progress(&mut self, now: Millis) {
        if self.events_here == 0 {
            self.first_event_ms = now;
        }
        self.events += 1;
        self.events_here += 1;
        self.record_side_pace(now, false);
        if !self.is_sound && now.since(self.first_event_ms) >= SOUND_TIME_MS {
            self.is_sound = true;
            self.job.record_sound();
        }
    }

    /// Places the generation on a target and waits for the first event there.
    pub(crate) async fn open(&mut self) -> Result<TargetStream, StopReason> {
        let target = self.next_target().await?;
        self.open_at(target).await
    }

    /// Chooses a target that may be sent the request.
    async fn next_target(&mut self) -> Result<Target, StopReason> {
        let chosen = self.job.place(self.progress).await;
        if chosen.is_some() {
            self.job.become_probe(self.progress).await;
        }
        let sendable = chosen.filter(|_| self.job.may_send(self.progress));
        sendable.ok_or_else(|| StopReason::Refused(self.job.refusal(self.progress)))
    }

    /// Waits for the first event at a target, or at others after that one has failed.
    pub(crate) async fn open_at(&mut self, mut target: Target) -> Result<TargetStream, StopReason> {
        loop {
            self.stop_left(&target).await;
            self.place_on(&target);
            let failure = match self.wait_first_event(&target).await {
                Ok(source) => return Ok(source),
                Err(OpenError::Stopped(stop)) => return Err(stop),
                Err(OpenError::Empty) => {
                    self.release_placement();
                    self.leave_empty_run(&target);
                    Failure::Unknown(CLOSED_EARLY.to_owned())
                }
                Err(OpenError::Failed(failure)) => {
                    self.record_failed_run(&target, &failure).await;
                    failure
                }
            };
            if !self.job.may_retry(self.progress, &failure) {
                return Err(StopReason::Refused(self.job.refusal(self.progress)));
            }
            target = self.next_target().await?;
        }
    }

    /// Sends the request to a target and waits for the first event, unless another target is to be
    /// tried since none has come for too long.
    async fn wait_first_event(&mut self, target: &Target) -> Result<TargetStream, OpenError> {
        let resume = ResumePoint {
            last_event: self.last_event,
            ..ResumePoint::default()
        };
        if !self.may_resend() {
            return self.start_at(target, resume).await;
        }
        let first_event_timeout = duration(Millis(
            self.job.route.latency_goal_ms.0 * FIRST_EVENT_GOAL_FACTOR,
        ));
        let started = self.start_at(target, resume);
        let opened = timeout(first_event_timeout, started).await;
        opened.unwrap_or_else(|_| Err(Failure::Unknown(LATE.to_owned()).into()))
    }

    /// Sends the request to a target and waits for the first event of its response.
    pub(crate) async fn start_at(
        &mut self,
        target: &Target,
        resume: ResumePoint<'_>,
    ) -> Result<TargetStream, OpenError> {
        self.order.start_run(resume.start);
        let (response, _) = self.job.send(target, resume).await?;
        let mut body = response.body;
        if !response.head.status.is_success() {
            let status = response.head.status;
            let bytes = body.read_to_end().await.map_err(Failure::from)?;
            self.job.record_side_answer(self.progress, target, status);
            let stop = match self.job.target_reply(response.head, bytes) {
                Ok(reply) => StopReason::Failed(Box::new(reply)),
                Err(refusal) => StopReason::Refused(refusal),
            };
            return Err(OpenError::Stopped(stop));
        }
        let mut source = TargetStream::new(target.clone(), body, &response.head.headers);
        if self.writer.is_started() {
            source = source.for_further_run();
        }
        match source.next().await {
            StreamItem::Event(event) => source.put_back(event),
            StreamItem::End if self.is_closed_early(&source) => {
                if self.is_empty_run(&source).await {
                    return Err(OpenError::Empty);
                }
                return Err(Failure::Unknown(CLOSED_EARLY.to_owned()).into());
            }
            StreamItem::End => {}
            StreamItem::Broken(reason) if source.is_relayed() => {
                return Err(Failure::RelayLost(reason).into());
            }
            StreamItem::Broken(reason) | StreamItem::Faulty(reason) => {
                return Err(Failure::Unknown(reason).into());
            }
        }
        self.record_started(target);
        self.job.record_first_event(self.progress, target).await;
        if !self.writer.is_started() {
            self.progress.has_begun = true;
            let started = self.writer.start_stream(response.head);
            started.map_err(|gone| OpenError::Stopped(gone.into()))?;
        }
        Ok(source)
    }
}

/// Waits until a time, or for ever.
pub(crate) async fn at(clock: Clock, at: Option<Millis>) {
    match at {
        Some(at) => sleep_until(clock.instant(at)).await,
        None => pending().await,
    }
}
