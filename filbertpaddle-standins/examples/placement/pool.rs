//! Simulation of one pool: the production scheduler places requests on simulated engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::policy;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::scheduler::Load;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::Scheduler;
use filbertpaddle_core::scheduler::SlotId;
use filbertpaddle_core::scheduler::SlotRequest;
use filbertpaddle_core::scheduler::TargetView;
use filbertpaddle_standins::batch::Step;
use filbertpaddle_standins::batch_scheduler as engine;
use indexmap::IndexMap;

use crate::report::Report;
use crate::traffic::Arrival;

/// Time between two load reports, and age of a report when it arrives.
const REPORT_INTERVAL_US: u64 = 500_000;
/// Age of a cache event when it arrives.
const CACHE_LAG_US: u64 = 1_000_000;
/// Every n-th cache event is lost.
const CACHE_EVENT_LOSS_INTERVAL: u64 = 10;
/// Maximum simulated time after the last arrival.
const MAX_DRAIN_US: u64 = 600_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepEnd(usize),
    Report(usize),
    Wake,
}

struct Attempt {
    arrival: usize,
    last_token_us: Option<u64>,
    tokens: u32,
}

struct Target {
    engine: engine::BatchScheduler,
    step: Option<Step>,
    attempts: IndexMap<Name, Attempt>,
    delayed_loads: VecDeque<Load>,
    cache_sequence: u64,
}

/// The simulated pool and its report.
pub(crate) struct Pool {
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    arrivals: Vec<Arrival>,
    scheduler: Scheduler,
    targets: Vec<Target>,
    views: Vec<TargetView>,
    max_wait: Millis,
    report: Report,
}

impl Pool {
    /// Creates a pool of `targets` warm engines.
    pub(crate) fn new(
        settings: policy::Settings,
        targets: usize,
        arrivals: Vec<Arrival>,
        max_wait: Millis,
    ) -> Self {
        let engine_settings = engine::Settings::default();
        let capacity_tokens = engine_settings.total_pages * engine_settings.page_tokens;
        let views = (0..targets)
            .map(|target| TargetView {
                name: Name::new(format!("target-{target}")),
                free_slots: engine_settings.warm_limit,
                capacity_tokens: u64::from(capacity_tokens),
                warm: true,
            })
            .collect();
        let targets: Vec<_> = (0..targets)
            .map(|_| Target::new(engine_settings.clone()))
            .collect();
        let reports = (0..targets.len()).map(|t| (t as u64 * 37_000, Event::Report(t)));
        let due = arrivals
            .iter()
            .enumerate()
            .map(|(index, arrival)| (arrival.at_us, Event::Arrival(index)));
        Self {
            now_us: 0,
            events: reports.chain(due).map(Reverse).collect(),
            scheduler: Scheduler::new(settings),
            targets,
            views,
            max_wait,
            report: Report::default(),
            arrivals,
        }
    }

    /// Runs until all generations have ended; returns the figures of the run.
    pub(crate) fn run(mut self) -> Report {
        let last_us = self.arrivals.last().map_or(0, |arrival| arrival.at_us);
        while let Some(Reverse((at_us, event))) = self.events.pop() {
            if at_us > last_us + MAX_DRAIN_US || self.is_done(last_us) {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Arrival(index) => self.submit_arrival(index),
                Event::StepEnd(target) => self.finish_step(target),
                Event::Report(target) => self.report_load(target),
                Event::Wake => {}
            }
            self.place();
        }
        for target in &self.targets {
            let totals = target.engine.totals();
            self.report.preemptions += totals.preemptions;
            self.report.stall_us += totals.stall_us;
            self.report.cached_tokens += totals.cached_tokens;
            self.report.recomputed_tokens += totals.recomputed_tokens;
        }
        self.report.end_us = self.now_us;
        self.report
    }

    fn is_done(&self, last_us: u64) -> bool {
        let idle = self.targets.iter().all(|t| t.attempts.is_empty());
        self.now_us >= last_us && idle && self.scheduler.queued() == 0
    }

    fn now(&self) -> Millis {
        Millis(self.now_us / 1_000)
    }

    fn submit_arrival(&mut self, index: usize) {
        let now = self.now();
        let arrival = &self.arrivals[index];
        let request = SlotRequest {
            id: RequestId(index as u64),
            customer: arrival.customer.clone(),
            template: arrival.template.clone(),
            priority: arrival.request.priority,
            weight: 1,
            prompt_tokens: arrival.request.prompt_tokens,
            max_tokens: arrival.request.max_tokens,
            prefix: arrival.prefix,
            prefix_tokens: arrival.request.blocks.len() as u32 * engine::BLOCK_TOKENS,
            digest: index as u64 + 1,
            parts: Vec::new(),
            arrived_ms: now,
            deadline_ms: now + self.max_wait,
        };
        if self.scheduler.push(now, request).is_err() {
            self.report.refused += 1;
        }
    }

    fn place(&mut self) {
        let now = self.now();
        self.report.refused += self.scheduler.take_refusals(now).len() as u64;
        while let Some(placement) = self.scheduler.next_placement(now, &self.views) {
            let index = placement.request.id.0 as usize;
            self.scheduler
                .record_start(now, SlotId(index as u64), &placement);
            let target_index = self
                .views
                .iter()
                .position(|view| view.name == placement.target);
            let Some(target_index) = target_index else {
                continue;
            };
            self.views[target_index].free_slots -= 1;
            let target = &mut self.targets[target_index];
            let request = self.arrivals[index].request.clone();
            let attempt = Attempt {
                arrival: index,
                last_token_us: None,
                tokens: 0,
            };
            target.attempts.insert(request.attempt.clone(), attempt);
            target.engine.submit(self.now_us, request);
            self.begin_step(target_index);
        }
        if let Some(wake) = self.scheduler.next_wake(now) {
            let at_us = (wake.0 * 1_000).max(self.now_us + 1_000);
            self.schedule_wake(at_us);
        }
    }

    fn schedule_wake(&mut self, at_us: u64) {
        let wakes_earlier = self
            .events
            .peek()
            .is_some_and(|Reverse((next_us, _))| *next_us <= at_us);
        if !wakes_earlier {
            self.events.push(Reverse((at_us, Event::Wake)));
        }
    }

    fn begin_step(&mut self, target_index: usize) {
        let target = &mut self.targets[target_index];
        if target.step.is_some() {
            return;
        }
        if let Some(step) = target.engine.step(self.now_us) {
            let end_us = self.now_us + step.duration_us;
            target.step = Some(step);
            self.events
                .push(Reverse((end_us, Event::StepEnd(target_index))));
        }
    }

    fn finish_step(&mut self, target_index: usize) {
        let now = self.now();
        let target = &mut self.targets[target_index];
        let Some(step) = target.step.take() else {
            return;
        };
        for name in &step.tokens {
            let Some(attempt) = target.attempts.get_mut(name) else {
                continue;
            };
            let arrival = &self.arrivals[attempt.arrival];
            match attempt.last_token_us {
                Some(last_token_us) => self.report.record_gap(self.now_us - last_token_us),
                None => self
                    .report
                    .record_first_token(arrival, self.now_us - arrival.at_us),
            }
            attempt.last_token_us = Some(self.now_us);
            attempt.tokens += 1;
        }
        for ended in &step.ended {
            let Some(attempt) = target.attempts.swap_remove(&ended.attempt) else {
                continue;
            };
            let slot = SlotId(attempt.arrival as u64);
            self.scheduler
                .record_end(now, slot, attempt.tokens, Ending::Complete);
            self.views[target_index].free_slots += 1;
            self.report.completed += 1;
            self.report.completed_tokens += u64::from(attempt.tokens);
        }
        self.begin_step(target_index);
    }

    fn report_load(&mut self, target_index: usize) {
        let now = self.now();
        let name = &self.views[target_index].name;
        let target = &mut self.targets[target_index];
        if let Some(load) = target.delayed_loads.pop_front() {
            self.scheduler.record_load(now, name, &load);
        }
        target.delayed_loads.push_back(target.current_load(now));
        let visible_until_us = self.now_us.saturating_sub(CACHE_LAG_US);
        let changes = target.engine.cache().changes_after(target.cache_sequence);
        for change in changes.filter(|change| change.at_us <= visible_until_us) {
            let event = &change.event;
            target.cache_sequence = event.sequence;
            if event.sequence % CACHE_EVENT_LOSS_INTERVAL != 0 {
                self.scheduler
                    .record_cache_event(now, name, event.prefix, event.held);
            }
        }
        if self.scheduler.queued() > 0 {
            let total = f64::from(target.engine.settings().total_pages);
            self.report.memory_samples.0 += f64::from(target.engine.pinned_pages()) / total;
            self.report.memory_samples.1 += 1;
        }
        let next_us = self.now_us + REPORT_INTERVAL_US;
        self.events
            .push(Reverse((next_us, Event::Report(target_index))));
    }
}

impl Target {
    fn new(settings: engine::Settings) -> Self {
        let mut engine = engine::BatchScheduler::new(settings, 0);
        engine.turn_warm(0);
        Self {
            engine,
            step: None,
            attempts: IndexMap::new(),
            delayed_loads: VecDeque::new(),
            cache_sequence: 0,
        }
    }

    fn current_load(&self, now: Millis) -> Load {
        let page_tokens = self.engine.settings().page_tokens;
        Load {
            taken_ms: now,
            used_tokens: u64::from(self.engine.pinned_pages() * page_tokens),
            running: self.engine.running().count() as u32,
            waiting: self.engine.waiting().count() as u32,
            preemptions: self.engine.totals().preemptions,
        }
    }
}
