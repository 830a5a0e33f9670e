//! Copies of a running generation at another target, made ahead of a move.

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
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::RequestDemand;
use slog::info;

use crate::follower::request;
use crate::job::Job;
use crate::platform_api::CopyOutcome;
use crate::platform_api::CopyRequest;
use crate::source::Source;
use crate::state::State;

/// How long a copy may take: the memory of several large generations over one link.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);
/// How long freeing a copy may take.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);

type CopyCall = Pin<Box<dyn Future<Output = CopyOutcome>>>;

/// A copy that is being made, or that could not be made.
#[derive(Debug)]
pub struct Copied {
    to: Target,
    answer: CopyOutcome,
}

/// Makes the copies of one generation.
pub struct Mover<'a> {
    job: &'a Job,
    migration: Migration,
    copying: Option<(Target, CopyCall)>,
    held: Option<Target>,
    source_address: Name,
    refused: Vec<Name>,
}

impl fmt::Debug for Mover<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mover").finish_non_exhaustive()
    }
}

impl<'a> Mover<'a> {
    /// Plans nothing.
    pub fn new(job: &'a Job) -> Self {
        Self {
            job,
            migration: Migration::new(),
            copying: None,
            held: None,
            source_address: Name::default(),
            refused: Vec::new(),
        }
    }

    /// The generation's target leaves; `events` of it have been delivered.
    pub fn noticed(&mut self, events: u64) {
        let now = self.job.state.clock.now();
        let remaining_tokens = self.job.remaining_tokens(events);
        self.migration.schedule(now, remaining_tokens);
    }

    /// Whether the generation could go on from a copy.
    pub fn has_copy(&self) -> bool {
        self.migration.copy().is_some()
    }

    /// Begins a copy if it is time; returns what remains to be done.
    pub fn step(&mut self, source: &Source) -> Step {
        let now = self.job.state.clock.now();
        self.drop_lost_copy();
        let step = self.migration.next_step(now);
        if step != Step::Copy {
            return step;
        }
        self.begin_copy(now, source);
        self.migration.next_step(now)
    }

    /// Waits for the copy that is being made.
    pub async fn wait(&mut self) -> Copied {
        let Some((to, call)) = &mut self.copying else {
            return pending().await;
        };
        let answer = call.await;
        let to = to.clone();
        self.copying = None;
        Copied { to, answer }
    }

    /// Takes what came of a copy.
    pub fn copied(&mut self, source: &Source, copied: Copied) {
        let now = self.job.state.clock.now();
        let Copied { to, answer } = copied;
        info!(self.job.state.log, "copy answered";
            "id" => self.job.envelope.attempt.as_str(),
            "from" => source.target.id.as_str(), "to" => to.id.as_str(),
            "answer" => ?answer);
        match answer {
            CopyOutcome::Copied(copy) => {
                self.source_address = source.target.address.clone();
                self.migration.record_copied(copy);
            }
            CopyOutcome::Refused => {
                self.refused.push(to.id);
                self.release_hold();
                self.migration.record_copy_failed(now);
            }
            CopyOutcome::NotRunning | CopyOutcome::Busy => self.migration.record_copy_failed(now),
        }
    }

    /// Takes the copy to go on from; the destination is then the new source.
    pub fn take_copy(&mut self) -> Option<(Copy, Target)> {
        let copy = self.migration.take_copy();
        let to = self.held.clone();
        self.release_hold();
        self.copying = None;
        self.refused.clear();
        self.migration = Migration::new();
        Some((copy?, to?))
    }

    /// Frees what is held at other targets.
    pub fn close(mut self) {
        let copy = self.migration.take_copy();
        let to = self.held.clone();
        self.release_hold();
        if let (Some(copy), Some(to)) = (copy, to) {
            let state = Rc::clone(&self.job.state);
            tokio::task::spawn_local(async move { release(&state, &copy, &to).await });
        }
    }

    /// Gives up a copy whose holder leaves in turn.
    fn drop_lost_copy(&mut self) {
        let Some(held) = &self.held else { return };
        let directory = self.job.state.directory.borrow();
        let listed = directory.target(&held.id);
        let is_there =
            listed.is_some_and(|listed| listed.is_same_instance(held) && !listed.is_draining);
        drop(directory);
        if !is_there && self.copying.is_none() {
            self.migration.take_copy();
            self.release_hold();
        }
    }

    fn begin_copy(&mut self, now: Millis, source: &Source) {
        let Some(to) = self.destination(now, source) else {
            self.refused.clear();
            self.migration.record_copy_failed(now);
            return;
        };
        let call = copy(
            Rc::clone(&self.job.state),
            self.job.envelope.attempt.clone(),
            source.target.address.clone(),
            to.clone(),
        );
        self.migration.record_copy_started();
        if self.held.is_none() {
            let mut fleet = self.job.state.fleet.borrow_mut();
            fleet.record_sent(now, &to, &self.moved_ask());
            drop(fleet);
            self.held = Some(to.clone());
        }
        self.copying = Some((to, Box::pin(call)));
    }

    fn destination(&self, now: Millis, source: &Source) -> Option<Target> {
        if let Some(held) = &self.held {
            return Some(held.clone());
        }
        let state = &self.job.state;
        let directory = state.directory.borrow();
        let fleet = state.fleet.borrow();
        let ask = self.moved_ask();
        let draw = rand::random::<f64>;
        let chosen =
            fleet.choose_copy_target(now, &directory, &source.target, &ask, &self.refused, draw);
        chosen.cloned()
    }

    /// What the generation asks of its next target: its prompt is not read again.
    fn moved_ask(&self) -> RequestDemand {
        RequestDemand {
            prompt_tokens: 0,
            ..self.job.ask.clone()
        }
    }

    fn release_hold(&mut self) {
        if let Some(held) = self.held.take() {
            let mut fleet = self.job.state.fleet.borrow_mut();
            fleet.record_ended(&held.id, &self.moved_ask(), true);
        }
    }
}

async fn copy(state: Rc<State>, attempt: Name, address: Name, to: Target) -> CopyOutcome {
    let calls = state.platform.engine;
    let order = CopyRequest {
        attempt: &attempt,
        to: &to,
    };
    let request = request(&address, &(calls.copy)(&order));
    state.metrics.count("target.copies");
    match state.links.call(&address, request, COPY_TIMEOUT).await {
        Ok((head, bytes)) => (calls.decode_copy)(&order, head.status, &bytes),
        Err(error) => {
            info!(state.log, "no answer to a copy";
                "id" => attempt.as_str(), "to" => to.id.as_str(), "error" => %error);
            CopyOutcome::Refused
        }
    }
}

async fn release(state: &State, copy: &Copy, to: &Target) {
    let call = (state.platform.engine.release)(&copy.handle);
    let request = request(&to.address, &call);
    let called = state
        .links
        .call(&to.address, request, RELEASE_TIMEOUT)
        .await;
    if let Err(error) = called {
        info!(state.log, "copy not freed"; "target" => to.id.as_str(), "error" => %error);
    }
}
