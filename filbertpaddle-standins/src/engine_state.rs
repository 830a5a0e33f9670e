//! What an engine stand-in holds between requests.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_target::prefix::digests;
use filbertpaddle_target::protocol::CacheEvents;
use filbertpaddle_target::protocol::EndCause;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_target::protocol::LoadedState;
use filbertpaddle_target::protocol::Order;
use filbertpaddle_target::protocol::RefusalCause;
use filbertpaddle_target::protocol::Submit;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::batch::EngineRequest;
use crate::batch::Step;
use crate::batch::SubmitOutcome;
use crate::batch::Totals;
use crate::batch_scheduler::BatchScheduler;
use crate::batch_scheduler::TOKEN_BYTES;
use crate::engine::Settings;
use crate::engine_fault::Fault;
use crate::lengths;
use crate::marker::find_marker;

/// Most attempts that are remembered after their end.
const MAX_ENDED: usize = 8_192;

/// Load snapshots that are kept.
const MAX_SNAPSHOTS: usize = 400;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tokens generated.
    pub tokens: u32,
    /// Why it ended, once it has.
    pub ended: Option<EndCause>,
}

/// What an engine has counted since it first started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Totals of all lives.
    pub totals: Totals,
    /// Crashes, by fault or by poison.
    pub crashes: u64,
    /// Crashes of a cold engine under too much load.
    pub collapses: u64,
    /// Submissions accepted after the reclaim notice.
    pub submitted_while_leaving: u64,
    /// Submissions and orders obeyed although their fencing number was old.
    pub stale_obeyed: u64,
    /// Executions by the marker in the prompt.
    pub executions: IndexMap<String, u32>,
}

/// Faults that stay until they are changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Disturbance {
    pub(crate) cross_every: u32,
    pub(crate) duplicate_every: u32,
    pub(crate) late_ms: Millis,
    slow_percent: u32,
    frozen_until: Option<Instant>,
}

#[derive(Debug)]
struct Attempt {
    prompt: String,
    progress: watch::Sender<Progress>,
}

#[derive(Debug)]
struct Snapshot {
    at: Instant,
    report: LoadReport,
}

#[derive(Debug)]
struct Inner {
    scheduler: BatchScheduler,
    attempts: IndexMap<Name, Attempt>,
    ended: VecDeque<Name>,
    snapshots: VecDeque<Snapshot>,
    counters: Counters,
    past_totals: Totals,
    loaded: LoadedState,
    incarnation: u64,
    leaving: bool,
    alive: bool,
    over: bool,
    disturbance: Disturbance,
}

/// The state of one engine, shared by its tasks.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: Settings,
    started: Instant,
    inner: Mutex<Inner>,
    work: Notify,
    life: Notify,
}

/// An accepted or known attempt, to be streamed.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) progress: watch::Receiver<Progress>,
}

impl State {
    pub(crate) fn new(settings: Settings) -> Self {
        let mut scheduler = BatchScheduler::new(settings.scheduler.clone(), 0);
        if settings.starts_warm {
            scheduler.turn_warm(0);
        }
        let disturbance = Disturbance {
            cross_every: 0,
            duplicate_every: 0,
            late_ms: Millis::ZERO,
            slow_percent: 100,
            frozen_until: None,
        };
        let inner = Inner {
            scheduler,
            attempts: IndexMap::new(),
            ended: VecDeque::new(),
            snapshots: VecDeque::new(),
            counters: Counters::default(),
            past_totals: Totals::default(),
            loaded: LoadedState::default(),
            incarnation: 1,
            leaving: false,
            alive: true,
            over: false,
            disturbance,
        };
        Self {
            settings,
            started: Instant::now(),
            inner: Mutex::new(inner),
            work: Notify::new(),
            life: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_us(&self) -> u64 {
        (self.started.elapsed().as_secs_f64() * 1e6 * self.settings.speed) as u64
    }

    /// Returns how long a simulated span takes.
    pub(crate) fn wall_clock(&self, span_us: u64) -> Duration {
        let percent = u64::from(self.lock().disturbance.slow_percent);
        let span_us = (span_us * percent / 100) as f64;
        Duration::from_secs_f64(span_us / 1e6 / self.settings.speed)
    }

    pub(crate) fn submit(&self, submit: &Submit) -> Result<Admission, RefusalCause> {
        let now_us = self.now_us();
        let mut inner = self.lock();
        if !inner.alive {
            // The stream breaks off at once, as its sender is gone.
            let (_, progress) = watch::channel(Progress::default());
            return Ok(Admission { progress });
        }
        if let Some(attempt) = inner.attempts.get(&submit.attempt) {
            if attempt.prompt != submit.prompt {
                return Err(RefusalCause::DuplicateAttempt);
            }
            let progress = attempt.progress.subscribe();
            return Ok(Admission { progress });
        }
        if inner.leaving && self.settings.refuses_when_leaving {
            return Err(RefusalCause::Leaving);
        }
        self.check_fence(&mut inner, submit.fence)?;
        inner.counters.submitted_while_leaving += u64::from(inner.leaving);
        if let Some(marker) = find_marker(&submit.prompt) {
            *inner.counters.executions.entry(marker).or_default() += 1;
        }
        let sender = watch::Sender::new(Progress::default());
        let progress = sender.subscribe();
        let attempt = Attempt {
            prompt: submit.prompt.clone(),
            progress: sender,
        };
        inner.attempts.insert(submit.attempt.clone(), attempt);
        let work = self.work_of(submit);
        if inner.scheduler.submit(now_us, work) == SubmitOutcome::Collapsed {
            inner.counters.collapses += 1;
            self.end_life(&mut inner);
        }
        self.work.notify_one();
        Ok(Admission { progress })
    }

    fn work_of(&self, submit: &Submit) -> EngineRequest {
        let poison = self.settings.poison.as_deref();
        EngineRequest {
            attempt: submit.attempt.clone(),
            priority: submit.priority,
            prompt_tokens: submit.prompt.len().div_ceil(TOKEN_BYTES) as u32,
            blocks: digests(&submit.prompt),
            output_tokens: lengths::draw(self.settings.seed, &submit.prompt),
            max_tokens: submit.max_tokens,
            poison: poison.is_some_and(|text| submit.prompt.contains(text)),
        }
    }

    fn check_fence(&self, inner: &mut Inner, fence: u64) -> Result<(), RefusalCause> {
        if fence >= inner.loaded.fence {
            inner.loaded.fence = fence;
            return Ok(());
        }
        if self.settings.checks_fence {
            return Err(RefusalCause::StaleFence);
        }
        inner.counters.stale_obeyed += 1;
        Ok(())
    }

    pub(crate) fn attach(&self, attempt: &str) -> Option<Admission> {
        let inner = self.lock();
        let attempt = inner.attempts.get(attempt)?;
        let progress = attempt.progress.subscribe();
        Some(Admission { progress })
    }

    pub(crate) fn cancel(&self, attempt: &str) -> Result<(), RefusalCause> {
        let now_us = self.now_us();
        let mut inner = self.lock();
        let name = Name::new(attempt);
        if !inner.attempts.contains_key(&name) {
            return Err(RefusalCause::UnknownAttempt);
        }
        if inner.scheduler.cancel(now_us, &name) {
            inner.end(&name, EndCause::Cancelled);
        }
        Ok(())
    }

    /// Cancels an attempt that nobody reads any more.
    pub(crate) fn cancel_orphan(&self, attempt: &str) {
        let read = self
            .lock()
            .attempts
            .get(attempt)
            .is_some_and(|attempt| attempt.progress.receiver_count() > 0);
        if !read {
            // It may have ended or been forgotten by now.
            let _ = self.cancel(attempt);
        }
    }

    pub(crate) fn order(&self, order: &Order) -> Result<LoadedState, RefusalCause> {
        let now_us = self.now_us();
        let mut inner = self.lock();
        self.check_fence(&mut inner, order.fence)?;
        let fence = inner.loaded.fence;
        inner.loaded = LoadedState {
            fence,
            ..order.state.clone()
        };
        inner.scheduler.turn_cold(now_us);
        Ok(inner.loaded.clone())
    }

    pub(crate) fn loaded(&self) -> LoadedState {
        self.lock().loaded.clone()
    }

    pub(crate) fn load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms.0);
        let inner = self.lock();
        let old = inner
            .snapshots
            .iter()
            .rev()
            .find(|snapshot| snapshot.at.elapsed() >= lag)
            .or(inner.snapshots.front());
        let Some(snapshot) = old else {
            return inner.report(self.now_us());
        };
        let mut report = snapshot.report.clone();
        report.age_ms = Millis(snapshot.at.elapsed().as_millis() as u64);
        report
    }

    pub(crate) fn cache(&self, after: u64) -> CacheEvents {
        let lag_us = (self.settings.cache_lag_ms.0 as f64 * 1e3 * self.settings.speed) as u64;
        let known_us = self.now_us().saturating_sub(lag_us);
        let gap = self.settings.cache_gap;
        let inner = self.lock();
        let events = inner
            .scheduler
            .cache()
            .changes_after(after)
            .filter(|change| change.at_us <= known_us)
            .map(|change| change.event.clone())
            .filter(|event| gap == 0 || event.sequence % gap != 0)
            .collect();
        CacheEvents { events }
    }

    pub(crate) fn fault(&self, fault: Fault) {
        let now_us = self.now_us();
        let mut inner = self.lock();
        match fault {
            Fault::Crash => self.crash(&mut inner),
            Fault::Freeze { duration_ms } => {
                let until = Instant::now() + Duration::from_millis(duration_ms.0);
                inner.disturbance.frozen_until = Some(until);
            }
            Fault::Cold => inner.scheduler.turn_cold(now_us),
            Fault::Warm => inner.scheduler.turn_warm(now_us),
            Fault::Leave { .. } => inner.leaving = true,
            Fault::Slow { percent } => inner.disturbance.slow_percent = percent,
            Fault::Cross { every } => inner.disturbance.cross_every = every,
            Fault::Duplicate { every } => inner.disturbance.duplicate_every = every,
            Fault::Late { delay_ms } => inner.disturbance.late_ms = delay_ms,
        }
    }

    fn crash(&self, inner: &mut Inner) {
        inner.counters.crashes += 1;
        self.end_life(inner);
    }

    fn end_life(&self, inner: &mut Inner) {
        inner.alive = false;
        // Dropping the senders breaks the streams off.
        inner.attempts.clear();
        inner.ended.clear();
        inner.snapshots.clear();
        inner.past_totals = inner.all_totals();
        inner.scheduler = BatchScheduler::new(self.settings.scheduler.clone(), self.now_us());
        self.life.notify_one();
    }

    /// Starts the next life, cold and empty.
    pub(crate) fn restart(&self) {
        let now_us = self.now_us();
        let mut inner = self.lock();
        inner.scheduler = BatchScheduler::new(self.settings.scheduler.clone(), now_us);
        inner.loaded = LoadedState::default();
        inner.incarnation += 1;
        inner.alive = true;
    }

    /// Ends the engine for good.
    pub(crate) fn stop(&self) {
        let mut inner = self.lock();
        inner.over = true;
        self.end_life(&mut inner);
    }

    pub(crate) async fn life_ends(&self) {
        self.life.notified().await;
    }

    pub(crate) fn is_over(&self) -> bool {
        self.lock().over
    }

    pub(crate) fn disturbance(&self) -> Disturbance {
        self.lock().disturbance
    }

    pub(crate) fn frozen_for(&self) -> Duration {
        let until = self.lock().disturbance.frozen_until;
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    pub(crate) async fn wait_for_work(&self) {
        self.work.notified().await;
    }

    pub(crate) fn begin_step(&self) -> Option<Step> {
        let now_us = self.now_us();
        self.lock().scheduler.step(now_us)
    }

    /// Makes the results of a step visible.
    pub(crate) fn finish_step(&self, step: Step) {
        let mut inner = self.lock();
        if step.crashed {
            self.crash(&mut inner);
            return;
        }
        for name in &step.tokens {
            if let Some(attempt) = inner.attempts.get(name) {
                attempt
                    .progress
                    .send_modify(|progress| progress.tokens += 1);
            }
        }
        for ended in &step.ended {
            inner.end(&ended.attempt, ended.cause);
        }
    }

    pub(crate) fn snapshot(&self) {
        let now_us = self.now_us();
        let mut inner = self.lock();
        if !inner.alive {
            return;
        }
        let report = inner.report(now_us);
        let at = Instant::now();
        inner.snapshots.push_back(Snapshot { at, report });
        if inner.snapshots.len() > MAX_SNAPSHOTS {
            inner.snapshots.pop_front();
        }
    }

    pub(crate) fn counters(&self) -> Counters {
        let inner = self.lock();
        let mut counters = inner.counters.clone();
        counters.totals = inner.all_totals();
        counters
    }
}

impl Inner {
    fn end(&mut self, attempt: &Name, cause: EndCause) {
        let Some(known) = self.attempts.get(attempt) else {
            return;
        };
        known
            .progress
            .send_modify(|progress| progress.ended = Some(cause));
        self.ended.push_back(attempt.clone());
        if self.ended.len() > MAX_ENDED
            && let Some(oldest) = self.ended.pop_front()
        {
            self.attempts.swap_remove(&oldest);
        }
    }

    fn all_totals(&self) -> Totals {
        self.past_totals + self.scheduler.totals()
    }

    fn report(&self, now_us: u64) -> LoadReport {
        let scheduler = &self.scheduler;
        let settings = scheduler.settings();
        LoadReport {
            incarnation: self.incarnation,
            age_ms: Millis::ZERO,
            running: scheduler.running().count() as u32,
            waiting: scheduler.waiting().count() as u32,
            used_pages: scheduler.pinned_pages(),
            total_pages: settings.total_pages,
            page_tokens: settings.page_tokens,
            preemptions: scheduler.totals().preemptions,
            warmth: scheduler.warmth(now_us),
            cold_limit: settings.cold_limit,
            warm_limit: settings.warm_limit,
            leaving: self.leaving,
            attempts: scheduler
                .running()
                .chain(scheduler.waiting())
                .cloned()
                .collect(),
        }
    }
}

/// Shares an engine's state between its tasks.
pub(crate) type Shared = Arc<State>;
