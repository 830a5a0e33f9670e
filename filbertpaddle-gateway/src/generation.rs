//! Requests that are answered by a stream of events.
//!
//! A generation reads the events of one target at a time, passes whole events
//! on, and goes on from another target when the first leaves.

use std::fmt;
use std::future::pending;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::event_stream::Event;
use filbertpaddle_forward::migration::Step;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::select;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::clock::duration;
use crate::crash;
use crate::job::Failure;
use crate::job::From;
use crate::job::Job;
use crate::job::Progress;
use crate::mover::Copied;
use crate::mover::Mover;
use crate::output::CallerGone;
use crate::output::Output;
use crate::platform_api::CopySource;
use crate::reply;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::source::Piece;
use crate::source::Source;

/// Silence after which a generation goes on elsewhere if it can. Callers give a
/// stream up after two seconds.
const STALL_MS: Millis = Millis(900);

/// How many times its latency goal a resumable stream waits for its first event
/// at one target. A busy target needs longer than the goal, and what it has
/// read is lost if the request goes elsewhere.
const PATIENCE: u64 = 2;

/// Why a generation ended before it was complete.
#[derive(Debug)]
pub enum Stop {
    /// A target's own failure is passed on.
    Failed(Box<Reply>),
    /// The node refuses or fails it.
    Refused(Refusal),
    /// The stream broke off and could not go on.
    Broken,
    /// The time is up.
    TimedOut,
    /// The caller left.
    CallerGone,
}

impl std::convert::From<CallerGone> for Stop {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

/// What a generation waits for.
enum Happening {
    Piece(Piece),
    Copied(Copied),
    Switch,
    Stalled,
    Changed,
}

/// Where a generation runs.
#[derive(Clone, Debug)]
struct Placed {
    target: Target,
    is_started: bool,
}

/// One generation that is being served.
pub struct Generation<'a> {
    job: &'a Job,
    progress: &'a mut Progress,
    output: &'a mut Output,
    last_event: Option<u64>,
    last_heard_ms: Millis,
    placed: Option<Placed>,
    mover: Mover<'a>,
    changes: watch::Receiver<u64>,
}

impl fmt::Debug for Generation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Generation").finish_non_exhaustive()
    }
}

/// Serves a generation until it is complete, fails, or `gone` tells that its
/// caller has left.
///
/// # Errors
///
/// Returns why it is not complete.
pub async fn serve(
    job: &Job,
    progress: &mut Progress,
    output: &mut Output,
    gone: oneshot::Receiver<()>,
) -> Result<(), Stop> {
    let limit = job.state.clock.instant(job.limit_ms);
    let mut generation = Generation::new(job, progress, output);
    let result = select! {
        biased;
        _ = gone => Err(Stop::CallerGone),
        () = sleep_until(limit) => Err(Stop::TimedOut),
        result = generation.run() => result,
    };
    generation.close();
    result
}

impl<'a> Generation<'a> {
    fn new(job: &'a Job, progress: &'a mut Progress, output: &'a mut Output) -> Self {
        Self {
            last_event: job.envelope.last_event,
            last_heard_ms: job.received_ms,
            placed: None,
            mover: Mover::new(job),
            changes: job.state.subscribe(),
            job,
            progress,
            output,
        }
    }

    /// Gives back what the generation holds.
    fn close(mut self) {
        self.leave();
        self.mover.close();
    }

    async fn run(&mut self) -> Result<(), Stop> {
        let mut source = self.open().await?;
        loop {
            match self.next(&mut source).await {
                Happening::Piece(Piece::Event(event)) => self.deliver(event).await?,
                Happening::Piece(Piece::End) => {
                    let mut fleet = self.job.state.fleet.borrow_mut();
                    fleet.record_success(&source.target.id);
                    return Ok(());
                }
                Happening::Piece(Piece::Broken(reason)) => {
                    source = self.recover(source, &reason).await?;
                }
                Happening::Stalled => source = self.recover(source, "stalled").await?,
                Happening::Copied(copied) => self.mover.copied(&source, copied),
                Happening::Switch => source = self.switch(source).await?,
                Happening::Changed => {}
            }
        }
    }

    /// Waits for the next event, copy or time to act.
    async fn next(&mut self, source: &mut Source) -> Happening {
        self.look(source);
        let clock = self.job.state.clock;
        let due_ms = match self.mover.step(source) {
            Step::Switch => return Happening::Switch,
            Step::Wait(at) => at,
            Step::Copy => None,
        };
        let stall_ms = self
            .can_go_on()
            .then(|| self.last_heard_ms + STALL_MS)
            .filter(|_| self.last_event.is_some());
        let at = |at: Option<Millis>| async move {
            match at {
                Some(at) => sleep_until(clock.instant(at)).await,
                None => pending().await,
            }
        };
        select! {
            piece = source.next() => Happening::Piece(piece),
            copied = self.mover.wait() => Happening::Copied(copied),
            _ = self.changes.changed() => Happening::Changed,
            () = at(due_ms) => Happening::Changed,
            () = at(stall_ms) => Happening::Stalled,
        }
    }

    /// Notices that the target leaves, once the generation has begun there.
    fn look(&mut self, source: &Source) {
        let state = &self.job.state;
        let is_leaving = {
            let directory = state.directory.borrow();
            let listed = directory.target(&source.target.id);
            !listed.is_some_and(|listed| {
                listed.is_same_instance(&source.target) && !listed.is_draining
            })
        };
        if is_leaving
            && self.job.can_migrate
            && let Some(events) = self.last_event
        {
            self.mover.noticed(events);
        }
    }

    async fn deliver(&mut self, event: Event) -> Result<(), Stop> {
        self.last_heard_ms = self.job.state.clock.now();
        if let Some(id) = event.id {
            match self.last_event {
                // Sent again by a target that goes on from a copy.
                Some(last) if id <= last => return Ok(()),
                Some(last) if id > last + 1 => return Err(Stop::Broken),
                _ => self.last_event = Some(id),
            }
        }
        self.output.part(Ok(event.bytes)).await?;
        Ok(())
    }

    /// Finds a target and waits for its first event.
    async fn open(&mut self) -> Result<Source, Stop> {
        loop {
            let Ok(target) = self.job.choose(self.progress) else {
                return Err(Stop::Refused(self.job.refusal(self.progress)));
            };
            if !self.job.may_send(self.progress) {
                return Err(Stop::Refused(self.job.refusal(self.progress)));
            }
            self.job.sent(self.progress, &target);
            self.enter(target.clone());
            let failure = match self.first_event(&target).await {
                Ok(source) => return Ok(source),
                Err(Opening::Stopped(stop)) => return Err(stop),
                Err(Opening::Failed(failure)) => failure,
            };
            self.leave();
            self.job.failed(self.progress, &target, &failure);
            if !self.job.may_retry(self.progress, &failure) {
                return Err(Stop::Refused(self.job.refusal(self.progress)));
            }
        }
    }

    async fn first_event(&mut self, target: &Target) -> Result<Source, Opening> {
        let from = From {
            last_event: self.last_event,
            copy: None,
        };
        if !self.may_repeat() {
            return self.begin(target, from).await;
        }
        let patience = duration(Millis(self.job.route.latency_goal_ms.0 * PATIENCE));
        match timeout(patience, self.begin(target, from)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Unknown("no event in time".to_owned()).into()),
        }
    }

    /// Sends the request and waits for the first event of its answer.
    async fn begin(&mut self, target: &Target, from: From<'_>) -> Result<Source, Opening> {
        let (exchange, _) = self.job.send(target, from).await?;
        let mut body = exchange.body;
        if !exchange.head.status.is_success() {
            let unknown = |error: crate::links::Error| Failure::Unknown(error.to_string());
            let bytes = body.read_whole().await.map_err(unknown)?;
            let reply = reply::pass_on(exchange.head, bytes);
            return Err(Opening::Stopped(Stop::Failed(Box::new(reply))));
        }
        let mut source = Source::new(target.clone(), body);
        match source.next().await {
            Piece::Event(event) => source.unread(event),
            Piece::End => {}
            Piece::Broken(reason) => return Err(Failure::Unknown(reason).into()),
        }
        self.begun(target);
        if !self.output.is_started() {
            let started = self.output.start(exchange.head);
            started.map_err(|gone| Opening::Stopped(gone.into()))?;
        }
        Ok(source)
    }

    fn begun(&mut self, target: &Target) {
        let state = &self.job.state;
        self.progress.sends += 1;
        self.progress.is_out = false;
        self.progress.may_have_run = true;
        let now = state.clock.now();
        let silent_ms = now.since(self.last_heard_ms);
        self.last_heard_ms = now;
        if self.output.is_started() {
            info!(state.log, "generation goes on";
                "id" => self.job.envelope.attempt.as_str(), "target" => target.id.as_str(),
                "last_event" => self.last_event, "silent_ms" => silent_ms.0);
            state.metrics.time("generation.move_pause", silent_ms);
        }
        state
            .fleet
            .borrow_mut()
            .record_prefilled(&target.id, &self.job.ask);
        if let Some(placed) = &mut self.placed {
            placed.is_started = true;
        }
        let waited_ms = self.last_heard_ms.since(self.job.received_ms);
        state.metrics.time("generation.first_event", waited_ms);
    }

    /// Goes on after the stream of `source` has broken off or gone silent.
    async fn recover(&mut self, source: Source, reason: &str) -> Result<Source, Stop> {
        let state = &self.job.state;
        info!(state.log, "stream broke off";
            "id" => self.job.envelope.attempt.as_str(),
            "target" => source.target.id.as_str(), "reason" => reason,
            "last_event" => self.last_event, "has_copy" => self.mover.has_copy());
        state.metrics.count("stream.broken");
        state
            .fleet
            .borrow_mut()
            .record_failure(state.clock.now(), &source.target.id);
        crash::suspect(state, &source.target, self.job.digest);
        if self.mover.has_copy() {
            return self.switch(source).await;
        }
        self.reopen(source).await
    }

    /// Starts again behind the last event, where the route allows it.
    async fn reopen(&mut self, source: Source) -> Result<Source, Stop> {
        self.progress.passed_over.push(source.target.id.clone());
        source.close();
        self.leave();
        if !self.may_repeat() {
            return Err(Stop::Broken);
        }
        self.open().await
    }

    /// Goes on from the copy at another target.
    async fn switch(&mut self, source: Source) -> Result<Source, Stop> {
        let Some((copy, target)) = self.mover.take_copy() else {
            return self.reopen(source).await;
        };
        let state = &self.job.state;
        info!(state.log, "generation moves";
            "id" => self.job.envelope.attempt.as_str(),
            "from" => source.target.id.as_str(), "to" => target.id.as_str(),
            "last_event" => self.last_event, "copied_events" => copy.events);
        state.metrics.count("generation.moved");
        let address = source.target.address.clone();
        source.close();
        self.leave();
        self.job.count_move();
        self.job.sent(self.progress, &target);
        self.enter(target.clone());
        let from = From {
            last_event: self.last_event,
            copy: Some(CopySource {
                address: &address,
                handle: &copy.handle,
            }),
        };
        match self.begin(&target, from).await {
            Ok(source) => Ok(source),
            Err(Opening::Stopped(stop)) => Err(stop),
            Err(Opening::Failed(failure)) => {
                self.leave();
                self.job.failed(self.progress, &target, &failure);
                if !self.may_repeat() {
                    return Err(Stop::Broken);
                }
                self.open().await
            }
        }
    }

    /// Whether the stream could go on somewhere else.
    fn can_go_on(&self) -> bool {
        self.mover.has_copy() || self.may_repeat()
    }

    /// Whether the request may be sent to one more target.
    fn may_repeat(&self) -> bool {
        self.job.route.kind.is_idempotent() && self.progress.sends < self.job.route.max_attempts
    }

    fn enter(&mut self, target: Target) {
        self.placed = Some(Placed {
            target,
            is_started: false,
        });
    }

    fn leave(&mut self) {
        let Some(placed) = self.placed.take() else {
            return;
        };
        let mut fleet = self.job.state.fleet.borrow_mut();
        fleet.record_ended(&placed.target.id, &self.job.ask, placed.is_started);
    }
}

/// Why a stream did not begin.
enum Opening {
    Failed(Failure),
    Stopped(Stop),
}

impl std::convert::From<Failure> for Opening {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}
