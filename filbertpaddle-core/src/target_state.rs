//! Scheduler state of one target: running work, memory forecast, cached prefixes and
//! backoff after failures.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::memory_forecast;
use crate::memory_forecast::MemoryForecast;
use crate::output_length::OutputLengths;
use crate::prefix_cache::CachedPrefixes;
use crate::slot_request::Load;
use crate::slot_request::SlotId;
use crate::slot_request::SlotRequest;
use crate::token_gap::GapModel;
use crate::token_gap::ProgressSnapshot;
use crate::token_gap::TokenProgress;

/// Age at which a forecast is recomputed.
const FORECAST_MAX_AGE_MS: Millis = Millis(200);
/// Time within which work belongs to the same start burst.
const BURST_DURATION_MS: Millis = Millis(5);
/// Shortest time between the starts of two bursts.
const BURST_INTERVAL_MS: Millis = Millis(500);
/// Prompt tokens after which a burst accepts no more work.
const MAX_BURST_PROMPT_TOKENS: u32 = 1_024;
/// Batch size below which work may start outside a burst.
const UNLIMITED_START_BATCH: usize = 8;
/// Time for which a target gets no work after it failed or refused some.
const FAILURE_BACKOFF_MS: Millis = Millis(1_000);
/// Time for which a load report shows that the target can be reached: four times that between
/// two of them.
const REPORT_VALIDITY_MS: Millis = Millis(1_000);
/// Time for which ended work is kept for comparison with late load reports.
const ENDED_RETENTION_MS: Millis = Millis::from_secs(5);
/// Ended attempts kept for comparison with late load reports.
const MAX_ENDED: usize = 128;
/// Weight of a new report in the moving average of the memory correction.
const CORRECTION_SMOOTHING: f32 = 0.3;

/// Attempt that runs on a target.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// The placed request.
    pub request: SlotRequest,
    /// Tokens charged to the customer at placement.
    pub cost_tokens: u64,
    start: ProgressSnapshot,
}

/// Ended attempt that late load reports may still count.
#[derive(Clone, Copy, Debug)]
struct EndedAttempt {
    start_ms: Millis,
    end_ms: Millis,
    tokens: u64,
}

/// Prefix shared by running attempts.
#[derive(Clone, Copy, Debug, Default)]
struct SharedPrefix {
    users: usize,
    tokens: u32,
}

/// Attempts that start together.
///
/// Starts are grouped so that few steps of the batch include prompt processing.
#[derive(Clone, Copy, Debug, Default)]
struct StartBurst {
    start_ms: Millis,
    prompt_tokens: u32,
}

/// State of one target.
#[derive(Clone, Debug)]
pub struct TargetState {
    /// Prefixes that the target is assumed to have cached.
    pub prefixes: CachedPrefixes,
    burst: StartBurst,
    backoff_until_ms: Millis,
    /// Time when its last load report arrived.
    reported_ms: Option<Millis>,
    crashed_ms: Option<Millis>,
    progress: TokenProgress,
    running: IndexMap<SlotId, RunningAttempt>,
    shared: IndexMap<u64, SharedPrefix>,
    ended: VecDeque<EndedAttempt>,
    forecast: MemoryForecast,
    forecast_ms: Option<Millis>,
    correction_tokens: f32,
}

impl TargetState {
    /// Creates the state of a target without running work at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            prefixes: CachedPrefixes::default(),
            burst: StartBurst::default(),
            backoff_until_ms: Millis::ZERO,
            reported_ms: None,
            crashed_ms: None,
            progress: TokenProgress::new(now),
            running: IndexMap::new(),
            shared: IndexMap::new(),
            ended: VecDeque::new(),
            forecast: MemoryForecast::default(),
            forecast_ms: None,
            correction_tokens: 0.0,
        }
    }

    /// Resets all estimates and the backoff, and keeps the running attempts and the
    /// time of the last crash.
    pub fn reset(&mut self, now: Millis) {
        let running = std::mem::take(&mut self.running);
        let shared = std::mem::take(&mut self.shared);
        let crashed_ms = self.crashed_ms;
        *self = Self::new(now);
        self.crashed_ms = crashed_ms;
        self.running = running;
        self.shared = shared;
        let restarted = self.progress.snapshot();
        for running in self.running.values_mut() {
            let at_ms = running.start.at_ms;
            running.start = restarted;
            running.start.at_ms = at_ms;
        }
    }

    /// Returns the number of running attempts.
    pub fn batch_size(&self) -> usize {
        self.running.len()
    }

    /// Returns the running attempts.
    pub fn running(&self) -> impl Iterator<Item = &RunningAttempt> {
        self.running.values()
    }

    /// Adds an attempt that starts at `now`.
    pub fn start(
        &mut self,
        now: Millis,
        slot: SlotId,
        request: SlotRequest,
        cost_tokens: u64,
        gap_model: &GapModel,
        output_lengths: &OutputLengths,
    ) {
        self.advance(now, gap_model);
        self.prefixes.insert(now, request.prefix);
        self.add_shared_prefix(&request);
        self.join_burst(now, &request);
        self.forecast
            .add(&attempt_memory(&request, 0, output_lengths));
        let start = self.progress.snapshot();
        let running = RunningAttempt {
            request,
            cost_tokens,
            start,
        };
        self.running.insert(slot, running);
    }

    fn join_burst(&mut self, now: Millis, request: &SlotRequest) {
        if now.since(self.burst.start_ms) > BURST_DURATION_MS {
            self.burst.start_ms = now;
            self.burst.prompt_tokens = 0;
        }
        self.burst.prompt_tokens += unshared_prompt_tokens(request);
    }

    /// Returns whether work may start now: as part of the current burst, long enough
    /// after it, or in a small batch.
    pub fn accepts_start(&self, now: Millis) -> bool {
        let since = now.since(self.burst.start_ms);
        if since <= BURST_DURATION_MS {
            return self.burst.prompt_tokens < MAX_BURST_PROMPT_TOKENS;
        }
        self.batch_size() < UNLIMITED_START_BATCH || since >= BURST_INTERVAL_MS
    }

    /// Removes an attempt that ended after `tokens` tokens of output.
    pub fn end(
        &mut self,
        now: Millis,
        slot: SlotId,
        tokens: u32,
        gap_model: &GapModel,
    ) -> Option<RunningAttempt> {
        self.advance(now, gap_model);
        let running = self.running.swap_remove(&slot)?;
        self.forecast_ms = None;
        self.remove_shared_prefix(&running.request);
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedAttempt {
            start_ms: running.start.at_ms,
            end_ms: now,
            tokens: u64::from(unshared_prompt_tokens(&running.request)) + u64::from(tokens),
        });
        Some(running)
    }

    /// Starts the backoff after the target failed or refused work.
    pub fn start_backoff(&mut self, now: Millis) {
        self.backoff_until_ms = now + FAILURE_BACKOFF_MS;
    }

    /// Records that a load report of the target has arrived.
    pub fn record_report(&mut self, now: Millis) {
        self.reported_ms = Some(now);
    }

    /// Returns whether a load report has arrived a short while ago.
    pub fn has_reported(&self, now: Millis) -> bool {
        self.reported_ms
            .is_some_and(|at_ms| now.since(at_ms) < REPORT_VALIDITY_MS)
    }

    /// Returns whether the backoff after a failure or refusal is still in effect.
    pub fn is_in_backoff(&self, now: Millis) -> bool {
        now < self.backoff_until_ms
    }

    /// Returns when the crash that ended this attempt was first noticed.
    ///
    /// Attempts that started before a noticed crash are attributed to that crash, so
    /// one crash is not counted several times.
    pub fn record_crash_time(&mut self, now: Millis, running: &RunningAttempt) -> Millis {
        let known = self
            .crashed_ms
            .filter(|crashed_ms| running.start.at_ms <= *crashed_ms);
        let crashed_ms = known.unwrap_or(now);
        self.crashed_ms = Some(crashed_ms);
        crashed_ms
    }

    /// Updates the token gap with an attempt that ended by itself.
    pub fn record_gap(&mut self, running: &RunningAttempt, tokens: u32, gap_model: &mut GapModel) {
        self.progress
            .record_output(&running.start, tokens, gap_model);
    }

    /// Returns the expected token gap with `more` attempts added, in milliseconds.
    pub fn gap_ms(&self, more: usize, gap_model: &GapModel) -> f64 {
        self.progress.gap_ms(self.batch_size() + more, gap_model)
    }

    /// Returns the memory forecast of the batch, recomputed if it is outdated.
    pub fn forecast(
        &mut self,
        now: Millis,
        gap_model: &GapModel,
        output_lengths: &OutputLengths,
    ) -> &MemoryForecast {
        let fresh = self
            .forecast_ms
            .is_some_and(|at_ms| now.since(at_ms) < FORECAST_MAX_AGE_MS);
        if !fresh {
            self.advance(now, gap_model);
            self.forecast = MemoryForecast::default();
            for running in self.running.values() {
                let out_tokens = self.progress.tokens_since(&running.start);
                self.forecast.add(&attempt_memory(
                    &running.request,
                    out_tokens,
                    output_lengths,
                ));
            }
            self.forecast_ms = Some(now);
        }
        &self.forecast
    }

    /// Returns the tokens of all shared prefixes with `request` added.
    pub fn shared_tokens_with(&self, request: &SlotRequest) -> f32 {
        let more = if request.prefix == 0 || self.shared.contains_key(&request.prefix) {
            0
        } else {
            request.prefix_tokens
        };
        self.shared_tokens(more)
    }

    fn shared_tokens(&self, more: u32) -> f32 {
        let tokens: u32 = self.shared.values().map(|shared| shared.tokens).sum();
        (tokens + more) as f32
    }

    fn add_shared_prefix(&mut self, request: &SlotRequest) {
        if request.prefix == 0 {
            return;
        }
        let shared = self.shared.entry(request.prefix).or_default();
        shared.users += 1;
        shared.tokens = request.prefix_tokens;
    }

    fn remove_shared_prefix(&mut self, request: &SlotRequest) {
        let Some(shared) = self.shared.get_mut(&request.prefix) else {
            return;
        };
        shared.users -= 1;
        if shared.users == 0 {
            self.shared.swap_remove(&request.prefix);
        }
    }

    /// Returns the average difference between the tokens in load reports and the tokens
    /// of the known attempts.
    pub fn correction_tokens(&self) -> f32 {
        self.correction_tokens
    }

    /// Compares a load report with the attempts that ran when it was taken, and updates
    /// the memory correction.
    ///
    /// Reports older than the retention of ended attempts are ignored.
    pub fn update_memory_correction(&mut self, now: Millis, load: &Load, gap_model: &GapModel) {
        self.advance(now, gap_model);
        let lag_ms = now.since(load.taken_ms);
        if lag_ms >= ENDED_RETENTION_MS {
            return;
        }
        let generated_since = (lag_ms.0 as f64 / self.gap_ms(0, gap_model)) as u32;
        let running: u64 = self
            .running
            .values()
            .filter(|running| running.start.at_ms <= load.taken_ms)
            .map(|running| {
                let out_tokens = self.progress.tokens_since(&running.start);
                let out_tokens_then = out_tokens.saturating_sub(generated_since);
                u64::from(unshared_prompt_tokens(&running.request)) + u64::from(out_tokens_then)
            })
            .sum();
        let ended: u64 = self
            .ended
            .iter()
            .filter(|ended| ended.start_ms <= load.taken_ms && load.taken_ms < ended.end_ms)
            .map(|ended| ended.tokens)
            .sum();
        let known = (running + ended) as f32 + self.shared_tokens(0);
        let excess = (load.used_tokens as f32 - known).max(-0.5 * known);
        self.correction_tokens += CORRECTION_SMOOTHING * (excess - self.correction_tokens);
    }

    fn advance(&mut self, now: Millis, gap_model: &GapModel) {
        self.progress.advance(now, self.running.len(), gap_model);
        while self
            .ended
            .front()
            .is_some_and(|ended| now.since(ended.end_ms) > ENDED_RETENTION_MS)
        {
            self.ended.pop_front();
        }
    }
}

/// Returns the memory of a request's attempt after `out_tokens` tokens.
pub fn attempt_memory<'a>(
    request: &SlotRequest,
    out_tokens: u32,
    output_lengths: &'a OutputLengths,
) -> memory_forecast::AttemptMemory<'a> {
    memory_forecast::AttemptMemory {
        prompt_tokens: unshared_prompt_tokens(request),
        out_tokens: out_tokens.min(request.max_tokens.saturating_sub(1)),
        max_tokens: request.max_tokens,
        curve: output_lengths.curve(&request.template),
    }
}

fn unshared_prompt_tokens(request: &SlotRequest) -> u32 {
    if request.prefix == 0 {
        return request.prompt_tokens;
    }
    request.prompt_tokens.saturating_sub(request.prefix_tokens)
}
