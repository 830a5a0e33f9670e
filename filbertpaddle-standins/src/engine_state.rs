//! Shared state of an engine stand-in: attempts, scheduler, load snapshots and faults.

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
use crate::marker;

/// Ended attempts that are kept, so that repeats are recognised and streams can be resumed.
const MAX_ENDED_ATTEMPTS: usize = 8_192;

/// Load snapshots that are kept, from which a delayed load report is taken.
const MAX_SNAPSHOTS: usize = 400;

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tokens generated.
    pub tokens: u32,
    /// Why the attempt ended; `None` while it runs or waits.
    pub ended: Option<EndCause>,
}

/// Counters of an engine since its first start, across restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Scheduler totals of all incarnations.
    pub totals: Totals,
    /// Crashes caused by a fault or by a poison prompt.
    pub crashes: u64,
    /// Crashes of a cold engine that got more attempts than its cold limit.
    pub collapses: u64,
    /// Submissions accepted after the reclaim notice.
    pub submitted_while_leaving: u64,
    /// Submissions and orders accepted despite a stale fencing number.
    pub stale_obeyed: u64,
    /// Accepted submissions by the marker in their prompt.
    pub executions: IndexMap<String, u32>,
}

/// Faults that stay in force until they are changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ActiveFaults {
    pub(crate) cross_every: u32,
    pub(crate) duplicate_every: u32,
    pub(crate) write_delay_ms: Millis,
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
    earlier_totals: Totals,
    loaded: LoadedState,
    incarnation: u64,
    leaving: bool,
    is_up: bool,
    is_stopped: bool,
    active_faults: ActiveFaults,
}

/// State of one engine, shared by its tasks.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: Settings,
    started: Instant,
    inner: Mutex<Inner>,
    requests_waiting: Notify,
    incarnation_ended: Notify,
}

/// Subscription to the progress of an attempt.
#[derive(Debug)]
pub(crate) struct Subscription {
    pub(crate) progress: watch::Receiver<Progress>,
}

impl EngineState {
    pub(crate) fn new(settings: Settings) -> Self {
        let mut scheduler = BatchScheduler::new(settings.scheduler.clone(), 0);
        if settings.starts_warm {
            scheduler.turn_warm(0);
        }
        let active_faults = ActiveFaults {
            cross_every: 0,
            duplicate_every: 0,
            write_delay_ms: Millis::ZERO,
            slow_percent: 100,
            frozen_until: None,
        };
        let inner = Inner {
            scheduler,
            attempts: IndexMap::new(),
            ended: VecDeque::new(),
            snapshots: VecDeque::new(),
            counters: Counters::default(),
            earlier_totals: Totals::default(),
            loaded: LoadedState::default(),
            incarnation: 1,
            leaving: false,
            is_up: true,
            is_stopped: false,
            active_faults,
        };
        Self {
            settings,
            started: Instant::now(),
            inner: Mutex::new(inner),
            requests_waiting: Notify::new(),
            incarnation_ended: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_us(&self) -> u64 {
        (self.started.elapsed().as_secs_f64() * 1e6 * self.settings.speed) as u64
    }

    /// Returns the wall-clock time of a simulated span, at the current speed.
    pub(crate) fn wall_time(&self, span_us: u64) -> Duration {
        let percent = u64::from(self.lock().active_faults.slow_percent);
        let span_us = (span_us * percent / 100) as f64;
        Duration::from_secs_f64(span_us / 1e6 / self.settings.speed)
    }

    /// Queues an attempt, or subscribes to it if the same submission is repeated.
    pub(crate) fn submit(&self, submit: &Submit) -> Result<Subscription, RefusalCause> {
        let now_us = self.now_us();
        let mut inner = self.lock();
        if !inner.is_up {
            // Dropping the sender breaks the stream off at once.
            let (_, progress) = watch::channel(Progress::default());
            return Ok(Subscription { progress });
        }
        if let Some(attempt) = inner.attempts.get(&submit.attempt) {
            if attempt.prompt != submit.prompt {
                return Err(RefusalCause::DuplicateAttempt);
            }
            let progress = attempt.progress.subscribe();
            return Ok(Subscription { progress });
        }
        if inner.leaving && self.settings.refuses_when_leaving {
            return Err(RefusalCause::Leaving);
        }
        self.check_fence(&mut inner, submit.fence)?;
        inner.counters.submitted_while_leaving += u64::from(inner.leaving);
        if let Some(marker) = marker::find(&submit.prompt) {
            *inner.counters.executions.entry(marker).or_default() += 1;
        }
        let sender = watch::Sender::new(Progress::default());
        let progress = sender.subscribe();
        let attempt = Attempt {
            prompt: submit.prompt.clone(),
            progress: sender,
        };
        inner.attempts.insert(submit.attempt.clone(), attempt);
        let request = self.engine_request(submit);
        if inner.scheduler.submit(now_us, request) == SubmitOutcome::Collapsed {
            inner.counters.collapses += 1;
            self.end_incarnation(&mut inner);
        }
        self.requests_waiting.notify_one();
        Ok(Subscription { progress })
    }

    fn engine_request(&self, submit: &Submit) -> EngineRequest {
        let poison = self.settings.poison.as_deref();
        EngineRequest {
            attempt: submit.attempt.clone(),
            priority: submit.priority,
            prompt_tokens: submit.prompt.len().div_ceil(TOKEN_BYTES) as u32,
            blocks: digests(&submit.prompt),
            output_tokens: lengths::draw_output_tokens(self.settings.seed, &submit.prompt),
            max_tokens: submit.max_tokens,
            poison: poison.is_some_and(|text| submit.prompt.contains(text)),
        }
    }

    /// Refuses or counts a stale fencing number; records a newer one.
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

    pub(crate) fn subscribe(&self, attempt: &str) -> Option<Subscription> {
        let inner = self.lock();
        let attempt = inner.attempts.get(attempt)?;
        let progress = attempt.progress.subscribe();
        Some(Subscription { progress })
    }

    pub(crate) fn cancel(&self, attempt: &str) -> Result<(), RefusalCause> {
        let now_us = self.now_us();
        let mut inner = self.lock();
        let name = Name::new(attempt);
        if !inner.attempts.contains_key(&name) {
            return Err(RefusalCause::UnknownAttempt);
        }
        if inner.scheduler.cancel(now_us, &name) {
            inner.end_attempt(&name, EndCause::Cancelled);
        }
        Ok(())
    }

    /// Cancels an attempt whose stream has no reader.
    pub(crate) fn cancel_if_orphaned(&self, attempt: &str) {
        let has_reader = self
            .lock()
            .attempts
            .get(attempt)
            .is_some_and(|attempt| attempt.progress.receiver_count() > 0);
        if !has_reader {
            // The attempt may have ended or been removed by now.
            let _ = self.cancel(attempt);
        }
    }

    /// Loads the ordered state; the engine turns cold.
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

    /// Returns the load as of the configured report lag.
    pub(crate) fn load_report(&self) -> LoadReport {
        let lag = Duration::from_millis(self.settings.report_lag_ms.0);
        let inner = self.lock();
        let delayed = inner
            .snapshots
            .iter()
            .rev()
            .find(|snapshot| snapshot.at.elapsed() >= lag)
            .or(inner.snapshots.front());
        let Some(snapshot) = delayed else {
            return inner.current_load(self.now_us());
        };
        let mut report = snapshot.report.clone();
        report.age_ms = Millis(snapshot.at.elapsed().as_millis() as u64);
        report
    }

    /// Returns the cache events after a sequence number, delayed and with the configured losses.
    pub(crate) fn cache_events(&self, after: u64) -> CacheEvents {
        let lag_us = (self.settings.cache_lag_ms.0 as f64 * 1e3 * self.settings.speed) as u64;
        let visible_until_us = self.now_us().saturating_sub(lag_us);
        let loss_interval = self.settings.cache_event_loss_interval;
        let inner = self.lock();
        let events = inner
            .scheduler
            .cache()
            .changes_after(after)
            .filter(|change| change.at_us <= visible_until_us)
            .map(|change| change.event.clone())
            .filter(|event| loss_interval == 0 || event.sequence % loss_interval != 0)
            .collect();
        CacheEvents { events }
    }

    /// Puts a fault into force.
    pub(crate) fn inject_fault(&self, fault: Fault) {
        let now_us = self.now_us();
        let mut inner = self.lock();
        match fault {
            Fault::Crash => self.crash(&mut inner),
            Fault::Freeze { duration_ms } => {
                let until = Instant::now() + Duration::from_millis(duration_ms.0);
                inner.active_faults.frozen_until = Some(until);
            }
            Fault::Cold => inner.scheduler.turn_cold(now_us),
            Fault::Warm => inner.scheduler.turn_warm(now_us),
            Fault::Leave { .. } => inner.leaving = true,
            Fault::Slow { percent } => inner.active_faults.slow_percent = percent,
            Fault::Cross { every } => inner.active_faults.cross_every = every,
            Fault::Duplicate { every } => inner.active_faults.duplicate_every = every,
            Fault::Late { delay_ms } => inner.active_faults.write_delay_ms = delay_ms,
        }
    }

    fn crash(&self, inner: &mut Inner) {
        inner.counters.crashes += 1;
        self.end_incarnation(inner);
    }

    /// Marks the engine as down and drops its attempts; counters and totals stay.
    fn end_incarnation(&self, inner: &mut Inner) {
        inner.is_up = false;
        // Dropping the attempts drops their senders, which breaks the streams off.
        inner.attempts.clear();
        inner.ended.clear();
        inner.snapshots.clear();
        inner.earlier_totals = inner.all_totals();
        inner.scheduler = BatchScheduler::new(self.settings.scheduler.clone(), self.now_us());
        self.incarnation_ended.notify_one();
    }

    /// Starts the next incarnation, cold and empty.
    pub(crate) fn restart(&self) {
        let now_us = self.now_us();
        let mut inner = self.lock();
        inner.scheduler = BatchScheduler::new(self.settings.scheduler.clone(), now_us);
        inner.loaded = LoadedState::default();
        inner.incarnation += 1;
        inner.is_up = true;
    }

    /// Stops the engine permanently.
    pub(crate) fn stop(&self) {
        let mut inner = self.lock();
        inner.is_stopped = true;
        self.end_incarnation(&mut inner);
    }

    pub(crate) async fn wait_for_incarnation_end(&self) {
        self.incarnation_ended.notified().await;
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.lock().is_stopped
    }

    pub(crate) fn active_faults(&self) -> ActiveFaults {
        self.lock().active_faults
    }

    pub(crate) fn remaining_freeze(&self) -> Duration {
        let until = self.lock().active_faults.frozen_until;
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    pub(crate) async fn wait_for_requests(&self) {
        self.requests_waiting.notified().await;
    }

    pub(crate) fn start_step(&self) -> Option<Step> {
        let now_us = self.now_us();
        self.lock().scheduler.step(now_us)
    }

    /// Publishes the results of a step to the streams, or crashes the engine.
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
            inner.end_attempt(&ended.attempt, ended.cause);
        }
    }

    pub(crate) fn take_snapshot(&self) {
        let now_us = self.now_us();
        let mut inner = self.lock();
        if !inner.is_up {
            return;
        }
        let report = inner.current_load(now_us);
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
    fn end_attempt(&mut self, attempt: &Name, cause: EndCause) {
        let Some(entry) = self.attempts.get(attempt) else {
            return;
        };
        entry
            .progress
            .send_modify(|progress| progress.ended = Some(cause));
        self.ended.push_back(attempt.clone());
        if self.ended.len() > MAX_ENDED_ATTEMPTS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.attempts.swap_remove(&oldest);
        }
    }

    fn all_totals(&self) -> Totals {
        self.earlier_totals + self.scheduler.totals()
    }

    fn current_load(&self, now_us: u64) -> LoadReport {
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

/// Engine state as shared between tasks.
pub(crate) type SharedState = Arc<EngineState>;
