//! The scheduler of a simulated engine: continuous batching in limited memory.

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

/// Bytes of prompt that make up one token.
pub const TOKEN_BYTES: usize = 4;

/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = (BLOCK_BYTES / TOKEN_BYTES) as u32;

/// Memory, limits and pace of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Memory pages in all.
    pub total_pages: u32,
    /// Tokens that a page holds.
    pub page_tokens: u32,
    /// Most attempts in the batch.
    pub warm_limit: u32,
    /// Attempts that a cold engine bears at once.
    pub cold_limit: u32,
    /// Time from start until the engine is warm.
    pub warm_up_us: u64,
    /// Time after turning cold during which an excess is borne.
    pub cold_grace_us: u64,
    /// How many times longer a step takes while cold.
    pub cold_factor: u64,
    /// Fixed time of a step.
    pub step_us: u64,
    /// Added time of a step for each attempt in the batch.
    pub attempt_us: u64,
    /// Added time of a step for each thousand tokens of context.
    pub context_us: u64,
    /// Added time of a step for each thousand tokens of prompt processed.
    pub prefill_us: u64,
    /// Most tokens of prompt processed in one step.
    pub prefill_tokens: u32,
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
            cold_factor: 3,
            step_us: 12_000,
            attempt_us: 150,
            context_us: 200,
            prefill_us: 20_000,
            prefill_tokens: 512,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Sequence {
    work: EngineRequest,
    order: u64,
    output_tokens: u32,
    pages: u32,
    prefill_tokens: u32,
    preempted_at_us: Option<u64>,
}

type Rank = (Reverse<Priority>, u64);

impl Sequence {
    fn rank(&self) -> Rank {
        (Reverse(self.work.priority), self.order)
    }

    fn context_tokens(&self) -> u32 {
        self.work.prompt_tokens + self.output_tokens
    }

    fn own_tokens(&self) -> u32 {
        let shared = self.work.blocks.len() as u32 * BLOCK_TOKENS;
        self.context_tokens().saturating_sub(shared)
    }
}

/// The batch, the queue and the memory of one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchScheduler {
    settings: Settings,
    running: Vec<Sequence>,
    waiting: BTreeMap<Rank, Sequence>,
    cache: PrefixCache,
    own_pages: u32,
    order: u64,
    cold_since_us: u64,
    warm_at_us: u64,
    totals: Totals,
}

impl BatchScheduler {
    /// Creates a cold engine.
    pub fn new(settings: Settings, now_us: u64) -> Self {
        let warm_at_us = now_us + settings.warm_up_us;
        Self {
            settings,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            cache: PrefixCache::default(),
            own_pages: 0,
            order: 0,
            cold_since_us: 0,
            warm_at_us,
            totals: Totals::default(),
        }
    }

    /// Turns the engine cold; attempts in the batch go on.
    pub fn turn_cold(&mut self, now_us: u64) {
        self.cold_since_us = now_us;
        self.warm_at_us = now_us + self.settings.warm_up_us;
    }

    /// Turns the engine warm at once.
    pub fn turn_warm(&mut self, now_us: u64) {
        self.warm_at_us = now_us;
    }

    /// Returns whether the engine has warmed up.
    pub fn warmth(&self, now_us: u64) -> Warmth {
        if now_us < self.warm_at_us {
            Warmth::Cold
        } else {
            Warmth::Warm
        }
    }

    /// Queues work.
    pub fn submit(&mut self, now_us: u64, work: EngineRequest) -> SubmitOutcome {
        if self.overloads(now_us) {
            return SubmitOutcome::Collapsed;
        }
        self.order += 1;
        let sequence = Sequence {
            order: self.order,
            output_tokens: 0,
            pages: 0,
            prefill_tokens: 0,
            preempted_at_us: None,
            work,
        };
        self.waiting.insert(sequence.rank(), sequence);
        SubmitOutcome::Waiting
    }

    fn overloads(&mut self, now_us: u64) -> bool {
        let held = (self.running.len() + self.waiting.len()) as u32;
        let cold = self.warmth(now_us) == Warmth::Cold;
        if !cold || held < self.settings.cold_limit {
            return false;
        }
        self.totals.cold_excess += 1;
        // Nobody can know of the change before a report tells.
        let grace_end_us = self.cold_since_us + self.settings.cold_grace_us;
        let in_grace = self.cold_since_us > 0 && now_us < grace_end_us;
        self.totals.cold_excess_in_grace += u64::from(in_grace);
        !in_grace
    }

    /// Drops an attempt; returns whether it ran or waited.
    pub fn cancel(&mut self, now_us: u64, attempt: &Name) -> bool {
        let place = |sequence: &Sequence| sequence.work.attempt == *attempt;
        if let Some(index) = self.running.iter().position(place) {
            let mut sequence = self.running.remove(index);
            self.free(now_us, &mut sequence);
            return true;
        }
        let rank = self
            .waiting
            .values()
            .find(|sequence| place(sequence))
            .map(Sequence::rank);
        rank.is_some_and(|rank| self.waiting.remove(&rank).is_some())
    }

    /// Runs one step of the batch; `None` if there is nothing to do.
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

    fn admit(&mut self, now_us: u64, step: &mut Step) {
        while self.running.len() < self.settings.warm_limit as usize {
            let Some((_, mut sequence)) = self.waiting.pop_first() else {
                return;
            };
            if self.place(now_us, &mut sequence) {
                self.running.push(sequence);
                continue;
            }
            if self.running.is_empty() {
                // It would not fit into the whole memory either.
                step.ended.push(EndedAttempt {
                    attempt: sequence.work.attempt,
                    cause: EndCause::Length,
                });
                continue;
            }
            self.waiting.insert(sequence.rank(), sequence);
            return;
        }
    }

    /// Gives a sequence the memory for its context and its next token.
    fn place(&mut self, now_us: u64, sequence: &mut Sequence) -> bool {
        let pages = (sequence.own_tokens() + 1).div_ceil(self.settings.page_tokens);
        let hits = self.hits(&sequence.work.blocks);
        let misses = sequence.work.blocks.len() - hits;
        let needed = pages + misses as u32 * self.block_pages();
        // Held blocks are acquired first so that none of them is evicted.
        for prefix in &sequence.work.blocks[..hits] {
            self.cache.acquire(now_us, *prefix);
        }
        if !self.reserve(now_us, needed) {
            for prefix in &sequence.work.blocks[..hits] {
                self.cache.release(now_us, *prefix);
            }
            return false;
        }
        for prefix in &sequence.work.blocks[hits..] {
            self.cache.acquire(now_us, *prefix);
        }
        self.own_pages += pages;
        sequence.pages = pages;
        let cached_tokens = hits as u32 * BLOCK_TOKENS;
        sequence.prefill_tokens = sequence.context_tokens() - cached_tokens;
        self.totals.cached_tokens += u64::from(cached_tokens);
        if let Some(preempted_at_us) = sequence.preempted_at_us.take() {
            self.totals.stall_us += now_us - preempted_at_us;
            self.totals.recomputed_tokens += u64::from(sequence.prefill_tokens);
        }
        true
    }

    fn hits(&self, blocks: &[u64]) -> usize {
        blocks
            .iter()
            .take_while(|prefix| self.cache.lookup(**prefix).is_some())
            .count()
    }

    /// Makes room for pages by evicting idle blocks; evicts nothing in vain.
    fn reserve(&mut self, now_us: u64, pages: u32) -> bool {
        let idle_pages = self.cache.idle() as u32 * self.block_pages();
        if self.free_pages() + idle_pages < pages {
            return false;
        }
        while self.free_pages() < pages && self.cache.evict(now_us) {}
        true
    }

    fn prefill(&mut self) -> u32 {
        let mut budget_tokens = self.settings.prefill_tokens;
        for sequence in &mut self.running {
            let tokens = sequence.prefill_tokens.min(budget_tokens);
            sequence.prefill_tokens -= tokens;
            budget_tokens -= tokens;
        }
        self.settings.prefill_tokens - budget_tokens
    }

    fn duration_us(&self, now_us: u64, prefilled_tokens: u32) -> u64 {
        let settings = &self.settings;
        let context_tokens: u64 = self
            .running
            .iter()
            .map(|sequence| u64::from(sequence.context_tokens()))
            .sum();
        let duration_us = settings.step_us
            + settings.attempt_us * self.running.len() as u64
            + settings.context_us * context_tokens / 1_000
            + settings.prefill_us * u64::from(prefilled_tokens) / 1_000;
        match self.warmth(now_us) {
            Warmth::Cold => duration_us * settings.cold_factor,
            Warmth::Warm => duration_us,
        }
    }

    fn decode(&mut self, now_us: u64, step: &mut Step) {
        self.running.sort_by_key(Sequence::rank);
        let mut index = 0;
        while index < self.running.len() {
            if self.running[index].prefill_tokens > 0 {
                index += 1;
                continue;
            }
            if !self.grow(now_us, index, step) {
                continue;
            }
            let sequence = &mut self.running[index];
            sequence.output_tokens += 1;
            self.totals.tokens += 1;
            step.tokens.push(sequence.work.attempt.clone());
            step.crashed |= sequence.work.poison;
            match end(sequence) {
                Some(cause) => self.finish(now_us, index, cause, step),
                None => index += 1,
            }
        }
    }

    /// Makes sure that a sequence has room for its next token.
    ///
    /// Returns `false` if the sequence itself had to leave the batch. The
    /// batch is in rank order, so that the last sequence is the victim.
    fn grow(&mut self, now_us: u64, index: usize, step: &mut Step) -> bool {
        let page_tokens = self.settings.page_tokens;
        while (self.running[index].own_tokens() + 1).div_ceil(page_tokens)
            > self.running[index].pages
        {
            if self.reserve(now_us, 1) {
                self.running[index].pages += 1;
                self.own_pages += 1;
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
        let attempt = sequence.work.attempt;
        step.ended.push(EndedAttempt { attempt, cause });
    }

    fn free(&mut self, now_us: u64, sequence: &mut Sequence) {
        self.own_pages -= sequence.pages;
        sequence.pages = 0;
        for prefix in &sequence.work.blocks {
            self.cache.release(now_us, *prefix);
        }
    }

    fn block_pages(&self) -> u32 {
        BLOCK_TOKENS.div_ceil(self.settings.page_tokens)
    }

    fn free_pages(&self) -> u32 {
        self.settings.total_pages.saturating_sub(self.used_pages())
    }

    /// Returns the memory pages in use, by attempts and by the prefix cache.
    pub fn used_pages(&self) -> u32 {
        self.own_pages + self.cache.len() as u32 * self.block_pages()
    }

    /// Returns the memory pages that are in use and cannot be evicted.
    pub fn pinned_pages(&self) -> u32 {
        self.used_pages() - self.cache.idle() as u32 * self.block_pages()
    }

    /// Returns the attempts in the batch.
    pub fn running(&self) -> impl Iterator<Item = &Name> {
        self.running.iter().map(|sequence| &sequence.work.attempt)
    }

    /// Returns the attempts that wait for the batch.
    pub fn waiting(&self) -> impl Iterator<Item = &Name> {
        self.waiting.values().map(|sequence| &sequence.work.attempt)
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

fn end(sequence: &Sequence) -> Option<EndCause> {
    if sequence.output_tokens >= sequence.work.output_tokens {
        return Some(EndCause::Stop);
    }
    (sequence.output_tokens >= sequence.work.max_tokens).then_some(EndCause::Length)
}
