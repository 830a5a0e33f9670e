//! Copies a running generation to another target before its own target stops.

use std::fmt;
use std::future::pending;
use std::rc::Rc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::handover;
use filbertpaddle_forward::handover::Handover;
use filbertpaddle_forward::handover::OrderResult;
use filbertpaddle_forward::handover::may_return;
use filbertpaddle_forward::migration::Migration;
use filbertpaddle_forward::migration::Step;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::copy_call;
use crate::copy_call::CopyCall;
use crate::copy_call::Outcome;
use crate::job::Job;
use crate::job::Progress;
use crate::platform_api::CopyOutcome;
use crate::platform_api::StopOutcome;
use crate::target_stream::TargetStream;

/// Result of a call.
#[derive(Debug)]
pub struct CallResult {
    to: Target,
    outcome: Outcome,
}

/// Target and handle of the memory from which a generation goes on there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyPoint {
    /// The target.
    pub target: Target,
    /// The handle, as the target gave it that ran the generation before.
    pub handle: Name,
    /// Number of the stream's events that the memory holds, if it is known.
    pub events: Option<u64>,
}

/// Memory that a target keeps of a generation that it has stopped.
#[derive(Clone, Debug)]
struct Kept {
    handle: Name,
    events: Option<u64>,
}

/// Makes and holds the copy of one generation.
pub struct Migrator<'a> {
    job: &'a Job,
    migration: Migration,
    handover: Handover,
    call: Option<CopyCall>,
    /// Destination of the copy.
    reserved: Option<Target>,
    /// Whether the destination's load includes the generation.
    has_load: bool,
    /// Memory that the source keeps after it has stopped.
    kept: Option<Kept>,
    /// Time when the migration was scheduled.
    noticed_ms: Millis,
    refused_by: Vec<Name>,
    /// Targets that did not go on from their copy.
    unusable: Vec<Name>,
}

impl fmt::Debug for Migrator<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Migrator").finish_non_exhaustive()
    }
}

impl<'a> Migrator<'a> {
    /// Creates a migrator with no migration scheduled.
    pub fn new(job: &'a Job) -> Self {
        Self {
            job,
            migration: Migration::new(),
            handover: Handover::new(),
            call: None,
            reserved: None,
            has_load: false,
            kept: None,
            noticed_ms: Millis::ZERO,
            refused_by: Vec::new(),
            unusable: Vec::new(),
        }
    }

    /// Schedules the migration after the target began to drain, with `events` delivered
    /// so far.
    pub fn schedule_migration(&mut self, events: u64) {
        let now = self.job.state.clock.now();
        let remaining_ms = self.job.remaining_output_ms(events);
        if !self.migration.is_scheduled() {
            self.noticed_ms = now;
        }
        self.migration.schedule(now, remaining_ms);
    }

    /// Returns whether a complete copy exists.
    pub fn has_copy(&self) -> bool {
        self.migration.copy().is_some()
    }

    /// Returns whether a complete copy exists at a target that can still be used.
    pub fn has_usable_copy(&mut self) -> bool {
        self.drop_lost_copy();
        self.has_copy()
    }

    /// Returns whether the target has been ordered to stop the generation.
    pub fn has_ordered_stop(&self) -> bool {
        self.handover.has_ordered()
    }

    /// Returns whether the target has stopped the generation, or is being ordered to.
    pub fn is_stopping(&self) -> bool {
        self.handover.is_final()
    }

    /// Starts a copy, or orders the target to stop, if that is due; returns the next step.
    /// `delivered` is the number of the stream's events that have arrived, if it is known.
    pub fn advance(&mut self, source: &TargetStream, delivered: Option<u64>) -> Step {
        let now = self.job.state.clock.now();
        self.drop_lost_copy();
        match self.migration.next_step(now) {
            Step::Wait(at) => Step::Wait(at),
            Step::Copy => {
                self.start_copy(now, source);
                self.migration.next_step(now)
            }
            Step::Switch => self.advance_handover(now, source, delivered),
        }
    }

    fn advance_handover(
        &mut self,
        now: Millis,
        source: &TargetStream,
        delivered: Option<u64>,
    ) -> Step {
        match (
            self.handover.next_step(now, delivered),
            self.reserved.clone(),
        ) {
            (handover::Step::Wait(at), _) => Step::Wait(at),
            (handover::Step::Continue, _) | (handover::Step::Order, None) => Step::Switch,
            (handover::Step::Order, Some(to)) => {
                self.send_order(source, &to);
                match self.handover.next_step(now, delivered) {
                    handover::Step::Wait(at) => Step::Wait(at),
                    handover::Step::Order | handover::Step::Continue => Step::Switch,
                }
            }
        }
    }

    /// Orders the source to stop at once, and to copy the generation to `to`. The order is repeated
    /// while a copy that was begun before is still made.
    pub fn order_stop(&mut self, source: &TargetStream, to: &Target) {
        self.restart(None);
        self.reserve(self.job.state.clock.now(), to);
        let Job {
            state, metadata, ..
        } = self.job;
        let call = CopyCall::stop_after_copies(state, &metadata.attempt, &source.target, to);
        self.record_order(call);
    }

    fn send_order(&mut self, source: &TargetStream, to: &Target) {
        let Job {
            state, metadata, ..
        } = self.job;
        let call = CopyCall::stop(state, &metadata.attempt, &source.target, to);
        self.record_order(call);
    }

    fn record_order(&mut self, call: CopyCall) {
        self.call = Some(call);
        self.handover.record_order_sent();
    }

    /// Waits for the result of the running call, if there is one. Cancel-safe.
    pub async fn wait_for_call(&mut self) -> CallResult {
        let Some(call) = &mut self.call else {
            return pending().await;
        };
        let outcome = call.outcome().await;
        let to = call.to().clone();
        self.call = None;
        CallResult { to, outcome }
    }

    /// Records the result of a call.
    pub fn record_result(&mut self, source: &Target, result: CallResult) {
        let CallResult { to, outcome } = result;
        match outcome {
            Outcome::Copy(outcome) => self.record_copy(source, to, outcome),
            Outcome::Stop(outcome) => self.record_stop(source, &to, outcome),
        }
    }

    fn record_copy(&mut self, source: &Target, to: Target, outcome: CopyOutcome) {
        let now = self.job.state.clock.now();
        info!(self.job.state.log, "copy request finished";
            "id" => self.job.metadata.attempt.as_str(),
            "from" => source.id.as_str(), "to" => to.id.as_str(),
            "answer" => ?outcome);
        match outcome {
            CopyOutcome::Copied(copy) => self.migration.record_copied(copy),
            CopyOutcome::Refused => {
                self.refused_by.push(to.id);
                self.release_reservation();
                self.migration.record_copy_failed(now);
            }
            CopyOutcome::NotRunning | CopyOutcome::Busy => self.migration.record_copy_failed(now),
        }
    }

    fn record_stop(&mut self, source: &Target, to: &Target, outcome: StopOutcome) {
        let now = self.job.state.clock.now();
        info!(self.job.state.log, "order to stop finished";
            "id" => self.job.metadata.attempt.as_str(),
            "from" => source.id.as_str(), "to" => to.id.as_str(),
            "answer" => ?outcome);
        let result = match outcome {
            StopOutcome::Copied(copy) => {
                let events = Some(copy.events);
                self.kept = Some(Kept {
                    handle: copy.handle.clone(),
                    events,
                });
                self.migration.record_copied(copy);
                OrderResult::Stopped { events }
            }
            StopOutcome::Stopped(handle) => {
                self.kept = handle.map(|handle| Kept {
                    handle,
                    events: None,
                });
                OrderResult::Stopped { events: None }
            }
            StopOutcome::NotRunning => OrderResult::NotRunning,
            StopOutcome::Busy => OrderResult::Busy,
            StopOutcome::Unknown => OrderResult::Failed,
        };
        self.handover.record_order_result(now, result);
    }

    /// Records that the stream of the source has broken off.
    pub fn record_closed(&mut self, source: &TargetStream) {
        let now = self.job.state.clock.now();
        self.handover.record_closed(now, source.is_relayed());
    }

    /// Records that the source has sent no event for longer than sound targets are silent.
    pub fn record_silent(&mut self) {
        self.handover.record_silent();
    }

    /// Takes the next point from which the generation may go on: the copy; one that is complete
    /// later; the memory that the source keeps, while the source may still be sent requests.
    pub async fn next_point(&mut self, source: &Target) -> Option<CopyPoint> {
        if self.migration.copy().is_none() && self.call.is_some() {
            let result = self.wait_for_call().await;
            self.record_result(source, result);
        }
        // The generation counts there by itself from now on.
        self.release_load();
        if let Some(copy) = self.migration.take_copy()
            && let Some(target) = self.reserved.clone()
        {
            return Some(CopyPoint {
                target,
                handle: copy.handle,
                events: Some(copy.events),
            });
        }
        let Kept { handle, events } = self.kept.take()?;
        self.may_return_to(source).then(|| CopyPoint {
            target: source.clone(),
            handle,
            events,
        })
    }

    fn may_return_to(&self, source: &Target) -> bool {
        let state = &self.job.state;
        let directory = state.directory.borrow();
        let listed = directory.target(&source.id);
        let is_listed = listed.is_some_and(|listed| listed.is_same_incarnation(source));
        is_listed
            && !directory.is_out(&source.data_centre)
            && may_return(state.clock.now(), self.noticed_ms)
    }

    /// Records that a target did not go on from its copy.
    pub fn record_unusable(&mut self, target: &Target) {
        self.unusable.push(target.id.clone());
    }

    /// Resets the migrator for a new target, after the generation has gone on from `used`, if it
    /// has.
    pub fn restart(&mut self, used: Option<&CopyPoint>) {
        self.release_reservation();
        if let Some(call) = self.call.take() {
            call.abandon(&self.job.state, used.map(|point| point.handle.clone()));
        }
        self.kept = None;
        self.refused_by.clear();
        self.migration = Migration::new();
        self.handover = Handover::new();
    }

    /// Releases the reservation and the copy at the destination.
    pub fn close(mut self) {
        self.abandon();
    }

    /// Resets the migrator for a new target and releases the copy, which the new run does not use.
    pub fn abandon(&mut self) {
        let copy = self.migration.take_copy();
        let to = self.reserved.clone();
        self.restart(None);
        if let (Some(copy), Some(to)) = (copy, to) {
            let state = Rc::clone(&self.job.state);
            tokio::task::spawn_local(async move {
                copy_call::release(&state, &copy.handle, &to).await;
            });
        }
    }

    /// Drops the copy if its target is draining or gone, unless the generation has to leave its
    /// own target now.
    fn drop_lost_copy(&mut self) {
        let Some(reserved) = &self.reserved else {
            return;
        };
        let is_leaving = self.job.state.is_leaving(reserved);
        if is_leaving && self.call.is_none() && !self.handover.is_final() {
            self.migration.take_copy();
            self.release_reservation();
        }
    }

    fn start_copy(&mut self, now: Millis, source: &TargetStream) {
        let Some(to) = self.destination(now, source) else {
            self.refused_by.clear();
            self.migration.record_copy_failed(now);
            return;
        };
        self.migration.record_copy_started();
        if self.reserved.is_none() {
            self.reserve(now, &to);
        }
        let Job {
            state, metadata, ..
        } = self.job;
        let call = CopyCall::copy(state, &metadata.attempt, &source.target, &to);
        self.call = Some(call);
    }

    fn reserve(&mut self, now: Millis, to: &Target) {
        let mut selector = self.job.state.selector.borrow_mut();
        selector.record_sent(now, to, &self.resume_demand());
        drop(selector);
        self.has_load = true;
        self.reserved = Some(to.clone());
    }

    fn destination(&self, now: Millis, source: &TargetStream) -> Option<Target> {
        if let Some(reserved) = &self.reserved {
            return Some(reserved.clone());
        }
        let state = &self.job.state;
        let directory = state.directory.borrow();
        let selector = state.selector.borrow();
        let version = VersionBinding::to_target(&source.target);
        let demand = RequestDemand {
            allowed: self.job.allowed_targets(&Progress::default(), version),
            version,
            ..self.resume_demand()
        };
        let excluded: Vec<_> = self
            .refused_by
            .iter()
            .chain(&self.unusable)
            .cloned()
            .collect();
        let draw = rand::random::<f64>;
        let chosen =
            selector.choose_copy_target(now, &directory, &source.target, &demand, &excluded, draw);
        chosen.cloned()
    }

    /// Returns the demand on the destination, where the prompt is not prefilled again.
    fn resume_demand(&self) -> RequestDemand {
        RequestDemand {
            prompt_tokens: 0,
            ..self.job.demand.clone()
        }
    }

    fn release_reservation(&mut self) {
        self.release_load();
        self.reserved = None;
    }

    fn release_load(&mut self) {
        if let Some(reserved) = self.reserved.as_ref().filter(|_| self.has_load) {
            let mut selector = self.job.state.selector.borrow_mut();
            selector.record_ended(&reserved.id, &self.resume_demand(), true);
        }
        self.has_load = false;
    }
}
