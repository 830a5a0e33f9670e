//! Copies a running generation to another target before its own target stops.

use std::fmt;
use std::future::pending;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::migration::Copy;
use filbertpaddle_forward::migration::Migration;
use filbertpaddle_forward::migration::Step;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::job::Job;
use crate::platform_api::CopyOutcome;
use crate::platform_api::CopyRequest;
use crate::state::State;
use crate::target_call;
use crate::target_stream::TargetStream;

/// Enough to copy the KV caches of several large generations over one link.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

type CopyCall = Pin<Box<dyn Future<Output = CopyOutcome>>>;

/// Result of a copy request.
#[derive(Debug)]
pub struct CopyResult {
    to: Target,
    outcome: CopyOutcome,
}

/// Makes and holds the copy of one generation.
pub struct Migrator<'a> {
    job: &'a Job,
    migration: Migration,
    copying: Option<(Target, CopyCall)>,
    reserved: Option<Target>,
    source_address: Name,
    refused_by: Vec<Name>,
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
            copying: None,
            reserved: None,
            source_address: Name::default(),
            refused_by: Vec::new(),
        }
    }

    /// Schedules the migration after the target began to drain, with `events` delivered
    /// so far.
    pub fn schedule_migration(&mut self, events: u64) {
        let now = self.job.state.clock.now();
        let remaining_ms = self.job.remaining_output_ms(events);
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

    /// Starts a copy if one is due; returns the next step.
    pub fn advance(&mut self, source: &TargetStream) -> Step {
        let now = self.job.state.clock.now();
        self.drop_lost_copy();
        let step = self.migration.next_step(now);
        if step != Step::Copy {
            return step;
        }
        self.start_copy(now, source);
        self.migration.next_step(now)
    }

    /// Waits for the result of the running copy request, if there is one. Cancel-safe.
    pub async fn wait_for_copy(&mut self) -> CopyResult {
        let Some((to, call)) = &mut self.copying else {
            return pending().await;
        };
        let outcome = call.await;
        let to = to.clone();
        self.copying = None;
        CopyResult { to, outcome }
    }

    /// Records the result of a copy request.
    pub fn record_copy_result(&mut self, source: &TargetStream, result: CopyResult) {
        let now = self.job.state.clock.now();
        let CopyResult { to, outcome } = result;
        info!(self.job.state.log, "copy request finished";
            "id" => self.job.metadata.attempt.as_str(),
            "from" => source.target.id.as_str(), "to" => to.id.as_str(),
            "answer" => ?outcome);
        match outcome {
            CopyOutcome::Copied(copy) => {
                self.source_address = source.target.address.clone();
                self.migration.record_copied(copy);
            }
            CopyOutcome::Refused => {
                self.refused_by.push(to.id);
                self.release_reservation();
                self.migration.record_copy_failed(now);
            }
            CopyOutcome::NotRunning | CopyOutcome::Busy => self.migration.record_copy_failed(now),
        }
    }

    /// Takes the copy to resume from and resets the migrator for the new target.
    pub fn take_copy(&mut self) -> Option<(Copy, Target)> {
        let copy = self.migration.take_copy();
        let to = self.reserved.clone();
        self.release_reservation();
        self.copying = None;
        self.refused_by.clear();
        self.migration = Migration::new();
        Some((copy?, to?))
    }

    /// Releases the reservation and the copy at the destination.
    pub fn close(mut self) {
        let copy = self.migration.take_copy();
        let to = self.reserved.clone();
        self.release_reservation();
        if let (Some(copy), Some(to)) = (copy, to) {
            let state = Rc::clone(&self.job.state);
            tokio::task::spawn_local(async move { release_copy(&state, &copy, &to).await });
        }
    }

    /// Drops the copy if its target is draining or gone.
    fn drop_lost_copy(&mut self) {
        let Some(reserved) = &self.reserved else {
            return;
        };
        let directory = self.job.state.directory.borrow();
        let listed = directory.target(&reserved.id);
        let is_available = listed
            .is_some_and(|listed| listed.is_same_incarnation(reserved) && !listed.is_draining);
        drop(directory);
        if !is_available && self.copying.is_none() {
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
        let call = request_copy(
            Rc::clone(&self.job.state),
            self.job.metadata.attempt.clone(),
            source.target.clone(),
            to.clone(),
        );
        self.migration.record_copy_started();
        if self.reserved.is_none() {
            let mut selector = self.job.state.selector.borrow_mut();
            selector.record_sent(now, &to, &self.resume_demand());
            drop(selector);
            self.reserved = Some(to.clone());
        }
        self.copying = Some((to, Box::pin(call)));
    }

    fn destination(&self, now: Millis, source: &TargetStream) -> Option<Target> {
        if let Some(reserved) = &self.reserved {
            return Some(reserved.clone());
        }
        let state = &self.job.state;
        let directory = state.directory.borrow();
        let selector = state.selector.borrow();
        let demand = RequestDemand {
            version: VersionBinding::to_target(&source.target),
            ..self.resume_demand()
        };
        let draw = rand::random::<f64>;
        let chosen = selector.choose_copy_target(
            now,
            &directory,
            &source.target,
            &demand,
            &self.refused_by,
            draw,
        );
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
        if let Some(reserved) = self.reserved.take() {
            let mut selector = self.job.state.selector.borrow_mut();
            selector.record_ended(&reserved.id, &self.resume_demand(), true);
        }
    }
}

async fn request_copy(state: Rc<State>, attempt: Name, source: Target, to: Target) -> CopyOutcome {
    let calls = state.platform.engine;
    let copy_request = CopyRequest {
        attempt: &attempt,
        to: &to,
    };
    let call = (calls.copy)(&copy_request);
    state.metrics.count("target.copies");
    match target_call::call(&state, &source, &call, COPY_TIMEOUT).await {
        Ok((head, bytes)) => (calls.decode_copy)(&copy_request, head.status, &bytes),
        Err(error) => {
            info!(state.log, "copy request failed, treated as refused";
                "id" => attempt.as_str(), "to" => to.id.as_str(), "error" => %error);
            CopyOutcome::Refused
        }
    }
}

async fn release_copy(state: &State, copy: &Copy, to: &Target) {
    let call = (state.platform.engine.release)(&copy.handle);
    if let Err(error) = target_call::call(state, to, &call, RELEASE_TIMEOUT).await {
        info!(state.log, "copy not released at target";
            "target" => to.id.as_str(), "error" => %error);
    }
}
