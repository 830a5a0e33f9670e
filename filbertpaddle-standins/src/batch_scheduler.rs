//! Batch scheduler of a simulated engine: continuous batching in limited memory.
//!
//! Each step prefills prompts up to a budget and decodes one token for every prefilled attempt.
//! When memory pages run out, the attempt with the lowest priority, and among equals the newest,
//! is preempted and recomputed later.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use filbertpaddle_target::prefix::BLOCK_BYTES;
use filbertpaddle_target::protocol::EndCause;
use filbertpaddle_target::protocol::Warmth;

use crate::batch::EndedAttempt;
use crate::batch::EngineRequest;
use crate::batch::Step;
use crate::batch::SubmitOutcome;
use crate::batch::Totals;
use crate::prefix_cache::PrefixCache;

/// Bytes of prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Tokens of one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / TOKEN_BYTES) as u32;

/// Memory, limits and step times of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Total memory pages.
    pub total_pages: u32,
    /// Tokens per page.
    pub page_tokens: u32,
    /// Maximum attempts in the batch.
    pub warm_limit: u32,
    /// Maximum attempts, running or waiting, of a cold engine; one more crashes it.
    pub cold_limit: u32,
    /// Time from the start or from turning cold until the engine is warm.
    pub warm_up_us: u64,
    /// Time after turning cold during which attempts above the cold limit are tolerated.
    pub cold_grace_us: u64,
    /// Factor by which a step takes longer while the engine is cold.
    pub cold_slowdown_factor: u64,
    /// Fixed part of the step time.
    pub step_us: u64,
    /// Step time added for each attempt in the batch.
    pub step_us_per_attempt: u64,
    /// Step time added for each thousand tokens of context.
    pub step_us_per_thousand_context: u64,
    /// Step time added for each thousand tokens prefilled.
    pub step_us_per_thousand_prefilled: u64,
    /// Maximum tokens prefilled in one step.
    pub max_prefill_tokens: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            total_pages: 2_048,
            page_tokens: 16,
            warm_limit: 64,
            cold_limit: 4,
            warm_up_us: 10_000_000,
            cold_grace_us: 2_000_000,
            cold_slowdown_factor: 3,
            step_us: 12_000,
            step_us_per_attempt: 150,
            step_us_per_thousand_context: 200,
            step_us_per_thousand_prefilled: 20_000,
            max_prefill_tokens: 512,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Sequence {
    request: EngineRequest,
    arrival: u64,
    output_tokens: u32,
    pages: u32,
    pending_prefill_tokens: u32,
    preempted_at_us: Option<u64>,
}

/// Sort key of attempts: highest priority first, then earliest arrival.
type Rank = (Reverse<Priority>, u64);

impl Sequence {
    fn rank(&self) -> Rank {
        (Reverse(self.request.priority), self.arrival)
    }

    fn context_tokens(&self) -> u32 {
        self.request.prompt_tokens + self.output_tokens
    }

    fn unshared_tokens(&self) -> u32 {
        let shared_tokens = self.request.blocks.len() as u32 * BLOCK_TOKENS;
        self.context_tokens().saturating_sub(shared_tokens)
    }
}

/// Batch, queue and memory of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchScheduler {
    settings: Settings,
    running: Vec<Sequence>,
    waiting: BTreeMap<Rank, Sequence>,
    cache: PrefixCache,
    unshared_pages: u32,
    arrivals: u64,
    cold_since_us: u64,
    warm_at_us: u64,
    totals: Totals,
}

impl BatchScheduler {
    /// Creates the scheduler of a cold engine.
    pub fn new(settings: Settings, now_us: u64) -> Self {
        let warm_at_us = now_us + settings.warm_up_us;
        Self {
            settings,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            cache: PrefixCache::default(),
            unshared_pages: 0,
            arrivals: 0,
            cold_since_us: 0,
            warm_at_us,
            totals: Totals::default(),
        }
    }

    /// Turns the engine cold; attempts in the batch continue.
    pub fn turn_cold(&mut self, now_us: u64) {
        self.cold_since_us = now_us;
        self.warm_at_us = now_us + self.settings.warm_up_us;
    }

    /// Turns the engine warm at once.
    pub fn turn_warm(&mut self, now_us: u64) {
        self.warm_at_us = now_us;
    }

    /// Returns whether the engine is cold or warm.
    pub fn warmth(&self, now_us: u64) -> Warmth {
        if now_us < self.warm_at_us {
            Warmth::Cold
        } else {
            Warmth::Warm
        }
    }

    /// Queues a request, unless it exceeds the limit of a cold engine.
    pub fn submit(&mut self, now_us: u64, request: EngineRequest) -> SubmitOutcome {
        if self.overloads(now_us) {
            return SubmitOutcome::Collapsed;
        }
        self.arrivals += 1;
        let sequence = Sequence {
            arrival: self.arrivals,
            output_tokens: 0,
            pages: 0,
            pending_prefill_tokens: 0,
            preempted_at_us: None,
            request,
        };
        self.waiting.insert(sequence.rank(), sequence);
        SubmitOutcome::Waiting
    }

    /// Returns whether one more attempt crashes the engine; counts an excess.
    fn overloads(&mut self, now_us: u64) -> bool {
        let attempts = (self.running.len() + self.waiting.len()) as u32;
        let is_cold = self.warmth(now_us) == Warmth::Cold;
        if !is_cold || attempts < self.settings.cold_limit {
            return false;
        }
        self.totals.cold_excess += 1;
        // Nodes learn of the change only with the next load report, hence the grace period.
        let grace_end_us = self.cold_since_us + self.settings.cold_grace_us;
        let in_grace = self.cold_since_us > 0 && now_us < grace_end_us;
        self.totals.cold_excess_in_grace += u64::from(in_grace);
        !in_grace
    }

    /// Removes an attempt; returns whether it was running or waiting.
    pub fn cancel(&mut self, now_us: u64, attempt: &Name) -> bool {
        let matches = |sequence: &Sequence| sequence.request.attempt == *attempt;
        if let Some(index) = self.running.iter().position(matches) {
            let mut sequence = self.running.remove(index);
            self.free(now_us, &mut sequence);
            return true;
        }
        let rank = self
            .waiting
            .values()
            .find(|sequence| matches(sequence))
            .map(Sequence::rank);
        rank.is_some_and(|rank| self.waiting.remove(&rank).is_some())
    }

    /// Runs one step of the batch; returns `None` if there is nothing to do.
    pub fn step(&mut self, now_us: u64) -> Option<Step> {
        let mut step = Step::default();
        self.admit(now_us, &mut step);
        if self.running.is_empty() {
            return (!step.ended.is_empty()).then_some(step);
        }
        let prefilled_tokens = self.prefill();
        step.duration_us = self.duration_us(now_us, prefilled_tokens);
        self.decode(now_us, &mut step);
        Some(step)
    }

    /// Moves waiting sequences into the batch, in rank order, while they fit.
    fn admit(&mut self, now_us: u64, step: &mut Step) {
        while self.running.len() < self.settings.warm_limit as usize {
            let Some((_, mut sequence)) = self.waiting.pop_first() else {
                return;
            };
            if self.allocate(now_us, &mut sequence) {
                self.running.push(sequence);
                continue;
            }
            if self.running.is_empty() {
                // The sequence does not fit even into the otherwise empty memory.
                step.ended.push(EndedAttempt {
                    attempt: sequence.request.attempt,
                    cause: EndCause::Length,
                });
                continue;
            }
            self.waiting.insert(sequence.rank(), sequence);
            return;
        }
    }

    /// Allocates memory for the context and the next token of a sequence.
    ///
    /// Returns `false` if there is too little memory.
    fn allocate(&mut self, now_us: u64, sequence: &mut Sequence) -> bool {
        let pages = (sequence.unshared_tokens() + 1).div_ceil(self.settings.page_tokens);
        let hits = self.count_cached(&sequence.request.blocks);
        let misses = sequence.request.blocks.len() - hits;
        let needed_pages = pages + misses as u32 * self.block_pages();
        // Cached blocks are acquired first, so that reserving evicts none of them.
        for prefix in &sequence.request.blocks[..hits] {
            self.cache.acquire(now_us, *prefix);
        }
        if !self.reserve(now_us, needed_pages) {
            for prefix in &sequence.request.blocks[..hits] {
                self.cache.release(now_us, *prefix);
            }
            return false;
        }
        for prefix in &sequence.request.blocks[hits..] {
            self.cache.acquire(now_us, *prefix);
        }
        self.unshared_pages += pages;
        sequence.pages = pages;
        let cached_tokens = hits as u32 * BLOCK_TOKENS;
        sequence.pending_prefill_tokens = sequence.context_tokens() - cached_tokens;
        self.totals.cached_tokens += u64::from(cached_tokens);
        if let Some(preempted_at_us) = sequence.preempted_at_us.take() {
            self.totals.stall_us += now_us - preempted_at_us;
            self.totals.recomputed_tokens += u64::from(sequence.pending_prefill_tokens);
        }
        true
    }

    /// Returns the number of leading blocks that are cached.
    fn count_cached(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|prefix| self.cache.lookup(**prefix).is_some())
            .count()
    }

    /// Frees pages by evicting idle blocks; evicts nothing and returns `false` if that would not
    /// suffice.
    fn reserve(&mut self, now_us: u64, pages: u32) -> bool {
        let idle_pages = self.cache.idle_blocks() as u32 * self.block_pages();
        if self.free_pages() + idle_pages < pages {
            return false;
        }
        while self.free_pages() < pages && self.cache.evict(now_us) {}
        true
    }

    /// Prefills sequences within the budget of a step; returns the tokens prefilled.
    fn prefill(&mut self) -> u32 {
        let mut budget_tokens = self.settings.max_prefill_tokens;
        for sequence in &mut self.running {
            let tokens = sequence.pending_prefill_tokens.min(budget_tokens);
            sequence.pending_prefill_tokens -= tokens;
            budget_tokens -= tokens;
        }
        self.settings.max_prefill_tokens - budget_tokens
    }

    fn duration_us(&self, now_us: u64, prefilled_tokens: u32) -> u64 {
        let settings = &self.settings;
        let context_tokens: u64 = self
            .running
            .iter()
            .map(|sequence| u64::from(sequence.context_tokens()))
            .sum();
        let duration_us = settings.step_us
            + settings.step_us_per_attempt * self.running.len() as u64
            + settings.step_us_per_thousand_context * context_tokens / 1_000
            + settings.step_us_per_thousand_prefilled * u64::from(prefilled_tokens) / 1_000;
        match self.warmth(now_us) {
            Warmth::Cold => duration_us * settings.cold_slowdown_factor,
            Warmth::Warm => duration_us,
        }
    }

    /// Adds a token to every prefilled sequence, in rank order.
    fn decode(&mut self, now_us: u64, step: &mut Step) {
        self.running.sort_by_key(Sequence::rank);
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].pending_prefill_tokens > 0 {
                index += 1;
                continue;
            }
            if !self.grow(now_us, index, step) {
                continue;
            }
            let sequence = &mut self.running[index];
            sequence.output_tokens += 1;
            self.totals.tokens += 1;
            step.tokens.push(sequence.request.attempt.clone());
            step.crashed |= sequence.request.poison;
            match end_cause(sequence) {
                Some(cause) => self.finish(now_us, index, cause, step),
                None => index += 1,
            }
        }
    }

    /// Allocates the page for the next token of a sequence, if it needs one.
    ///
    /// Preempts the last sequence of the batch, which is in rank order, while
    /// memory is short. Returns `false` if the sequence itself left the batch.
    fn grow(&mut self, now_us: u64, index: usize, step: &mut Step) -> bool {
        let page_tokens = self.settings.page_tokens;
        while (self.running[index].unshared_tokens() + 1).div_ceil(page_tokens)
            > self.running[index].pages
        {
            if self.reserve(now_us, 1) {
                self.running[index].pages += 1;
                self.unshared_pages += 1;
                continue;
            }
            if self.running.len() == 1 {
                self.finish(now_us, index, EndCause::Length, step);
                return false;
            }
            let victim = self.running.len() - 1;
            self.preempt(now_us, victim);
            if victim == index {
                return false;
            }
        }
        true
    }

    /// Frees a sequence of the batch and queues it again.
    fn preempt(&mut self, now_us: u64, index: usize) {
        let mut sequence = self.running.remove(index);
        self.free(now_us, &mut sequence);
        sequence.preempted_at_us = Some(now_us);
        self.totals.preemptions += 1;
        self.waiting.insert(sequence.rank(), sequence);
    }

    fn finish(&mut self, now_us: u64, index: usize, cause: EndCause, step: &mut Step) {
        let mut sequence = self.running.remove(index);
        self.free(now_us, &mut sequence);
        let attempt = sequence.request.attempt;
        step.ended.push(EndedAttempt { attempt, cause });
    }

    /// Frees the pages of a sequence and releases its cached blocks.
    fn free(&mut self, now_us: u64, sequence: &mut Sequence) {
        self.unshared_pages -= sequence.pages;
        sequence.pages = 0;
        for prefix in &sequence.request.blocks {
            self.cache.release(now_us, *prefix);
        }
    }

    fn block_pages(&self) -> u32 {
        BLOCK_TOKENS.div_ceil(self.settings.page_tokens)
    }

    fn free_pages(&self) -> u32 {
        self.settings.total_pages.saturating_sub(self.used_pages())
    }

    /// Returns the memory pages used by attempts and by the prefix cache.
    pub fn used_pages(&self) -> u32 {
        self.unshared_pages + self.cache.len() as u32 * self.block_pages()
    }

    /// Returns the used memory pages that cannot be evicted.
    pub fn pinned_pages(&self) -> u32 {
        self.used_pages() - self.cache.idle_blocks() as u32 * self.block_pages()
    }

    /// Returns the attempts in the batch.
    pub fn running(&self) -> impl Iterator<Item = &Name> {
        self.running
            .iter()
            .map(|sequence| &sequence.request.attempt)
    }

    /// Returns the attempts queued for the batch.
    pub fn waiting(&self) -> impl Iterator<Item = &Name> {
        self.waiting
            .values()
            .map(|sequence| &sequence.request.attempt)
    }

    /// Returns the prefix cache.
    pub const fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Returns the totals.
    pub const fn totals(&self) -> Totals {
        self.totals
    }

    /// Returns the settings.
    pub const fn settings(&self) -> &Settings {
        &self.settings
    }
}

/// Returns why a sequence ends with its last token, if it does.
fn end_cause(sequence: &Sequence) -> Option<EndCause> {
    if sequence.output_tokens >= sequence.request.output_tokens {
        return Some(EndCause::Stop);
    }
    (sequence.output_tokens >= sequence.request.max_tokens).then_some(EndCause::Length)
}
