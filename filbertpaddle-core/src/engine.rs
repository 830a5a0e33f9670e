//! What the scheduler knows of one target and of the work that runs there.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::length::Lengths;
use crate::memory;
use crate::memory::Forecast;
use crate::pace::Line;
use crate::pace::Mark;
use crate::pace::Progress;
use crate::prefix::Held;
use crate::slot_request::Load;
use crate::slot_request::SlotId;
use crate::slot_request::SlotRequest;

/// Age at which a forecast is computed anew.
const FORECAST_AGE: Millis = Millis(200);
/// How long a burst of work that starts together lasts.
const BURST_LENGTH: Millis = Millis(5);
/// Time between two bursts.
const BURST_INTERVAL: Millis = Millis(500);
/// Tokens of prompts after which a burst takes no more work.
const BURST_TOKENS: u32 = 1_024;
/// Batch below which work starts at any time.
const BURST_BATCH: usize = 8;
/// How long a target that failed or refused work gets no more of it.
const AVOIDANCE: Millis = Millis(1_000);
/// How long ended work is kept to compare with late reports.
const ENDED_AGE: Millis = Millis::from_secs(5);
/// Most ended work that is kept to compare with late reports.
const ENDED: usize = 128;
/// Part of a new report in the correction.
const CORRECTION_PART: f32 = 0.3;

/// Work that runs on a target.
#[derive(Clone, Debug)]
pub struct Running {
    /// The ask that was placed.
    pub ask: SlotRequest,
    /// Tokens charged to its customer.
    pub cost_tokens: u64,
    start: Mark,
}

/// Work that has ended, as far as late reports may still count it.
#[derive(Clone, Copy, Debug)]
struct Ended {
    start_ms: Millis,
    end_ms: Millis,
    tokens: u64,
}

/// A prefix that running work shares.
#[derive(Clone, Copy, Debug, Default)]
struct Shared {
    users: usize,
    tokens: u32,
}

/// Work that started together, so that few steps of the batch carry prompts.
#[derive(Clone, Copy, Debug, Default)]
struct Burst {
    start_ms: Millis,
    prompt_tokens: u32,
}

/// One target as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Prefixes it is taken to hold.
    pub prefixes: Held,
    burst: Burst,
    avoided_until_ms: Millis,
    crashed_ms: Option<Millis>,
    progress: Progress,
    running: IndexMap<SlotId, Running>,
    shared: IndexMap<u64, Shared>,
    ended: VecDeque<Ended>,
    forecast: Forecast,
    forecast_ms: Option<Millis>,
    correction_tokens: f32,
}

impl Engine {
    /// Creates a target first seen at `now`, with nothing running.
    pub fn new(now: Millis) -> Self {
        Self {
            prefixes: Held::default(),
            burst: Burst::default(),
            avoided_until_ms: Millis::ZERO,
            crashed_ms: None,
            progress: Progress::new(now),
            running: IndexMap::new(),
            shared: IndexMap::new(),
            ended: VecDeque::new(),
            forecast: Forecast::default(),
            forecast_ms: None,
            correction_tokens: 0.0,
        }
    }

    /// Forgets all but the work that runs.
    pub fn reset(&mut self, now: Millis) {
        let running = std::mem::take(&mut self.running);
        let shared = std::mem::take(&mut self.shared);
        let crashed_ms = self.crashed_ms;
        *self = Self::new(now);
        self.crashed_ms = crashed_ms;
        self.running = running;
        self.shared = shared;
        let restarted = self.progress.mark();
        for running in self.running.values_mut() {
            let at_ms = running.start.at_ms;
            running.start = restarted;
            running.start.at_ms = at_ms;
        }
    }

    /// Number of attempts that run.
    pub fn batch(&self) -> usize {
        self.running.len()
    }

    /// The work that runs.
    pub fn running(&self) -> impl Iterator<Item = &Running> {
        self.running.values()
    }

    /// Adds work that starts now.
    pub fn start(
        &mut self,
        now: Millis,
        slot: SlotId,
        ask: SlotRequest,
        cost_tokens: u64,
        line: &Line,
        lengths: &Lengths,
    ) {
        self.advance(now, line);
        self.prefixes.insert(now, ask.prefix);
        self.share(&ask);
        self.join_burst(now, &ask);
        self.forecast.add(&attempt(&ask, 0, lengths));
        let start = self.progress.mark();
        let running = Running {
            ask,
            cost_tokens,
            start,
        };
        self.running.insert(slot, running);
    }

    fn join_burst(&mut self, now: Millis, ask: &SlotRequest) {
        if now.since(self.burst.start_ms) > BURST_LENGTH {
            self.burst.start_ms = now;
            self.burst.prompt_tokens = 0;
        }
        self.burst.prompt_tokens += own_tokens(ask);
    }

    /// Whether work may start now, either with the last burst or well after it.
    pub fn is_open(&self, now: Millis) -> bool {
        let since = now.since(self.burst.start_ms);
        if since <= BURST_LENGTH {
            return self.burst.prompt_tokens < BURST_TOKENS;
        }
        self.batch() < BURST_BATCH || since >= BURST_INTERVAL
    }

    /// Removes work that has ended after `tokens` tokens.
    pub fn end(&mut self, now: Millis, slot: SlotId, tokens: u32, line: &Line) -> Option<Running> {
        self.advance(now, line);
        let running = self.running.swap_remove(&slot)?;
        self.forecast_ms = None;
        self.unshare(&running.ask);
        if self.ended.len() >= ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended {
            start_ms: running.start.at_ms,
            end_ms: now,
            tokens: u64::from(own_tokens(&running.ask)) + u64::from(tokens),
        });
        Some(running)
    }

    /// Notes that the target failed or refused work.
    pub fn avoid(&mut self, now: Millis) {
        self.avoided_until_ms = now + AVOIDANCE;
    }

    /// Whether the target failed or refused work a short while ago.
    pub fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoided_until_ms
    }

    /// Returns when the crash that ended this work was first noticed.
    ///
    /// Work that started before a noticed crash ended by that same crash.
    pub fn crash(&mut self, now: Millis, running: &Running) -> Millis {
        let known = self
            .crashed_ms
            .filter(|crashed_ms| running.start.at_ms <= *crashed_ms);
        let crashed_ms = known.unwrap_or(now);
        self.crashed_ms = Some(crashed_ms);
        crashed_ms
    }

    /// Learns the token gap from work that ended by itself.
    pub fn learn_gap(&mut self, running: &Running, tokens: u32, line: &mut Line) {
        self.progress.learn(&running.start, tokens, line);
    }

    /// Returns the token gap to expect with `more` attempts added, in milliseconds.
    pub fn gap_ms(&self, more: usize, line: &Line) -> f64 {
        self.progress.gap_ms(self.batch() + more, line)
    }

    /// Returns the memory of the batch, computed anew where it is old.
    pub fn forecast(&mut self, now: Millis, line: &Line, lengths: &Lengths) -> &Forecast {
        let fresh = self
            .forecast_ms
            .is_some_and(|at_ms| now.since(at_ms) < FORECAST_AGE);
        if !fresh {
            self.advance(now, line);
            self.forecast = Forecast::default();
            for running in self.running.values() {
                let out_tokens = self.progress.tokens_since(&running.start);
                self.forecast
                    .add(&attempt(&running.ask, out_tokens, lengths));
            }
            self.forecast_ms = Some(now);
        }
        &self.forecast
    }

    /// Tokens of the prefixes that running work and an added ask share.
    pub fn shared_tokens_with(&self, ask: &SlotRequest) -> f32 {
        let more = if ask.prefix == 0 || self.shared.contains_key(&ask.prefix) {
            0
        } else {
            ask.prefix_tokens
        };
        self.shared_tokens(more)
    }

    fn shared_tokens(&self, more: u32) -> f32 {
        let tokens: u32 = self.shared.values().map(|shared| shared.tokens).sum();
        (tokens + more) as f32
    }

    fn share(&mut self, ask: &SlotRequest) {
        if ask.prefix == 0 {
            return;
        }
        let shared = self.shared.entry(ask.prefix).or_default();
        shared.users += 1;
        shared.tokens = ask.prefix_tokens;
    }

    fn unshare(&mut self, ask: &SlotRequest) {
        let Some(shared) = self.shared.get_mut(&ask.prefix) else {
            return;
        };
        shared.users -= 1;
        if shared.users == 0 {
            self.shared.swap_remove(&ask.prefix);
        }
    }

    /// Tokens in memory beyond those of the work known here, by late reports.
    pub fn correction_tokens(&self) -> f32 {
        self.correction_tokens
    }

    /// Compares a late report with what was known to run when it was taken.
    pub fn report(&mut self, now: Millis, load: &Load, line: &Line) {
        self.advance(now, line);
        let lag_ms = now.since(load.taken_ms);
        if lag_ms >= ENDED_AGE {
            return;
        }
        let gained_since = (lag_ms.0 as f64 / self.gap_ms(0, line)) as u32;
        let running: u64 = self
            .running
            .values()
            .filter(|running| running.start.at_ms <= load.taken_ms)
            .map(|running| {
                let out_tokens = self.progress.tokens_since(&running.start);
                let then = out_tokens.saturating_sub(gained_since);
                u64::from(own_tokens(&running.ask)) + u64::from(then)
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
        self.correction_tokens += CORRECTION_PART * (excess - self.correction_tokens);
    }

    fn advance(&mut self, now: Millis, line: &Line) {
        self.progress.advance(now, self.running.len(), line);
        while self
            .ended
            .front()
            .is_some_and(|ended| now.since(ended.end_ms) > ENDED_AGE)
        {
            self.ended.pop_front();
        }
    }
}

/// Returns the memory of an ask's work after `out_tokens` tokens.
pub fn attempt<'a>(
    ask: &SlotRequest,
    out_tokens: u32,
    lengths: &'a Lengths,
) -> memory::Attempt<'a> {
    memory::Attempt {
        prompt_tokens: own_tokens(ask),
        out_tokens: out_tokens.min(ask.max_tokens.saturating_sub(1)),
        max_tokens: ask.max_tokens,
        curve: lengths.curve(&ask.template),
    }
}

fn own_tokens(ask: &SlotRequest) -> u32 {
    if ask.prefix == 0 {
        return ask.prompt_tokens;
    }
    ask.prompt_tokens.saturating_sub(ask.prefix_tokens)
}
