//! One pool in simulated time: the real scheduler before simulated engines.

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

/// Time between two load reports, and how old they are when they arrive.
const REPORT_US: u64 = 500_000;
/// Age of a cache event when it arrives.
const CACHE_LAG_US: u64 = 1_000_000;
/// One cache event in so many is lost.
const CACHE_GAP: u64 = 10;
/// How long the pool runs on after the last arrival.
const DRAIN_US: u64 = 600_000_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepEnd(usize),
    Report(usize),
    Wake,
}

struct Attempt {
    arrival: usize,
    last_us: Option<u64>,
    tokens: u32,
}

struct Target {
    engine: engine::BatchScheduler,
    step: Option<Step>,
    attempts: IndexMap<Name, Attempt>,
    late: VecDeque<Load>,
    cache_sequence: u64,
}

/// The pool and what was measured.
pub(crate) struct Pool {
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    arrivals: Vec<Arrival>,
    scheduler: Scheduler,
    targets: Vec<Target>,
    views: Vec<TargetView>,
    patience: Millis,
    report: Report,
}

impl Pool {
    /// Creates a pool of `targets` warm engines.
    pub(crate) fn new(
        settings: policy::Settings,
        targets: usize,
        arrivals: Vec<Arrival>,
        patience: Millis,
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
            patience,
            report: Report::default(),
            arrivals,
        }
    }

    /// Runs until all work has ended.
    pub(crate) fn run(mut self) -> Report {
        let last_us = self.arrivals.last().map_or(0, |arrival| arrival.at_us);
        while let Some(Reverse((at_us, event))) = self.events.pop() {
            if at_us > last_us + DRAIN_US || self.is_done(last_us) {
                break;
            }
            self.now_us = at_us;
            match event {
                Event::Arrival(index) => self.arrive(index),
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

    fn arrive(&mut self, index: usize) {
        let now = self.now();
        let arrival = &self.arrivals[index];
        let ask = SlotRequest {
            id: RequestId(index as u64),
            customer: arrival.customer.clone(),
            template: arrival.template.clone(),
            priority: arrival.work.priority,
            weight: 1,
            prompt_tokens: arrival.work.prompt_tokens,
            max_tokens: arrival.work.max_tokens,
            prefix: arrival.prefix,
            prefix_tokens: arrival.work.blocks.len() as u32 * engine::BLOCK_TOKENS,
            digest: index as u64 + 1,
            arrived_ms: now,
            deadline_ms: now + self.patience,
        };
        if self.scheduler.push(now, ask).is_err() {
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
            let place = self
                .views
                .iter()
                .position(|view| view.name == placement.target);
            let Some(place) = place else { continue };
            self.views[place].free_slots -= 1;
            let target = &mut self.targets[place];
            let work = self.arrivals[index].work.clone();
            let attempt = Attempt {
                arrival: index,
                last_us: None,
                tokens: 0,
            };
            target.attempts.insert(work.attempt.clone(), attempt);
            target.engine.submit(self.now_us, work);
            self.begin_step(place);
        }
        if let Some(wake) = self.scheduler.next_wake(now) {
            let at_us = (wake.0 * 1_000).max(self.now_us + 1_000);
            self.wake_at(at_us);
        }
    }

    fn wake_at(&mut self, at_us: u64) {
        let sooner = self
            .events
            .peek()
            .is_some_and(|Reverse((next_us, _))| *next_us <= at_us);
        if !sooner {
            self.events.push(Reverse((at_us, Event::Wake)));
        }
    }

    fn begin_step(&mut self, place: usize) {
        let target = &mut self.targets[place];
        if target.step.is_some() {
            return;
        }
        if let Some(step) = target.engine.step(self.now_us) {
            let end_us = self.now_us + step.duration_us;
            target.step = Some(step);
            self.events.push(Reverse((end_us, Event::StepEnd(place))));
        }
    }

    fn finish_step(&mut self, place: usize) {
        let now = self.now();
        let target = &mut self.targets[place];
        let Some(step) = target.step.take() else {
            return;
        };
        for name in &step.tokens {
            let Some(attempt) = target.attempts.get_mut(name) else {
                continue;
            };
            let arrival = &self.arrivals[attempt.arrival];
            match attempt.last_us {
                Some(last_us) => self.report.gap(self.now_us - last_us),
                None => self.report.first(arrival, self.now_us - arrival.at_us),
            }
            attempt.last_us = Some(self.now_us);
            attempt.tokens += 1;
        }
        for ended in &step.ended {
            let Some(attempt) = target.attempts.swap_remove(&ended.attempt) else {
                continue;
            };
            let slot = SlotId(attempt.arrival as u64);
            self.scheduler
                .record_end(now, slot, attempt.tokens, Ending::Complete);
            self.views[place].free_slots += 1;
            self.report.completed += 1;
            self.report.completed_tokens += u64::from(attempt.tokens);
        }
        self.begin_step(place);
    }

    fn report_load(&mut self, place: usize) {
        let now = self.now();
        let name = &self.views[place].name;
        let target = &mut self.targets[place];
        if let Some(load) = target.late.pop_front() {
            self.scheduler.record_load(now, name, &load);
        }
        target.late.push_back(target.load(now));
        let known_us = self.now_us.saturating_sub(CACHE_LAG_US);
        let changes = target.engine.cache().changes_after(target.cache_sequence);
        for change in changes.filter(|change| change.at_us <= known_us) {
            let event = &change.event;
            target.cache_sequence = event.sequence;
            if event.sequence % CACHE_GAP != 0 {
                self.scheduler
                    .record_cache_event(now, name, event.prefix, event.held);
            }
        }
        if self.scheduler.queued() > 0 {
            let total = f64::from(target.engine.settings().total_pages);
            self.report.memory.0 += f64::from(target.engine.pinned_pages()) / total;
            self.report.memory.1 += 1;
        }
        let next_us = self.now_us + REPORT_US;
        self.events.push(Reverse((next_us, Event::Report(place))));
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
            late: VecDeque::new(),
            cache_sequence: 0,
        }
    }

    fn load(&self, now: Millis) -> Load {
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
