//! Order of queued work and choice of its target, for one pool.

use indexmap::IndexMap;

use crate::apart::Apart;
use crate::backlog::Backlog;
use crate::clock::Millis;
use crate::engine::Engine;
use crate::length::Lengths;
use crate::name::Name;
use crate::outcome::Reason;
use crate::pace::Line;
use crate::placement;
use crate::placement::Knowledge;
use crate::placement::Limits;
use crate::policy::Policy;
use crate::policy::Settings;
use crate::queue::Entry;
use crate::queue::Queue;
pub use crate::slot_request::Ending;
pub use crate::slot_request::Load;
pub use crate::slot_request::Placement;
pub use crate::slot_request::Refusal;
pub use crate::slot_request::RequestId;
pub use crate::slot_request::SlotId;
pub use crate::slot_request::SlotRequest;
pub use crate::slot_request::TargetView;
use crate::suspect;
use crate::suspect::Standing;
use crate::suspect::Suspects;

/// Asks that are tried before a call yields nothing.
const LOOKAHEAD: usize = 4;
/// How often queued work is tried again while nothing else happens, since the
/// memory of what runs is predicted to change.
const POLL: Millis = Millis(50);

/// Orders the asks of one pool and chooses their targets.
///
/// The owner calls [`Self::next`] until it yields `None` after each event and
/// answers every placement with [`Self::started`] before it calls again. The
/// scheduler never places on a target without a free slot in its view.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: Queue,
    apart: Apart,
    refused: Vec<Refusal>,
    backlog: Backlog,
    line: Line,
    lengths: Lengths,
    suspects: Suspects,
    engines: IndexMap<Name, Engine>,
    slots: IndexMap<SlotId, Name>,
    copies: IndexMap<u64, usize>,
    turn: usize,
}

impl Scheduler {
    /// Creates a scheduler with an empty queue.
    pub fn new(settings: Settings) -> Self {
        let queue = match settings.policy {
            Policy::Predictive => Queue::new(settings.ageing_ms),
            Policy::RoundRobin | Policy::LeastConnections => Queue::in_order(),
        };
        Self {
            settings,
            queue,
            apart: Apart::default(),
            refused: Vec::new(),
            backlog: Backlog::default(),
            line: Line::new(),
            lengths: Lengths::new(),
            suspects: Suspects::new(),
            engines: IndexMap::new(),
            slots: IndexMap::new(),
            copies: IndexMap::new(),
            turn: 0,
        }
    }

    /// Queues an ask.
    ///
    /// # Errors
    ///
    /// Refuses at once, with when to come back, if the queue is full, the
    /// deadline cannot be met or the request has crashed too many targets.
    pub fn push(&mut self, now: Millis, ask: SlotRequest) -> Result<(), Refusal> {
        let ahead_tokens = self
            .queue
            .ahead_tokens(&ask.customer, ask.priority, ask.weight);
        let patience = ask.deadline_ms.since(now);
        if let Err(reason) = self.admit(now, &ask, ahead_tokens, patience) {
            let retry = reason != Reason::Quarantined;
            return Err(Refusal {
                id: ask.id,
                reason,
                retry_after_ms: retry.then(|| self.backlog.retry_after(ahead_tokens, patience)),
            });
        }
        let cost_tokens = self.cost_tokens(&ask);
        let entry = Entry { ask, cost_tokens };
        if self.suspects.standing(entry.ask.digest) == Standing::Suspect {
            self.apart.push(entry);
        } else {
            self.queue.push(entry);
        }
        Ok(())
    }

    fn admit(
        &mut self,
        now: Millis,
        ask: &SlotRequest,
        ahead_tokens: u64,
        patience: Millis,
    ) -> Result<(), Reason> {
        self.suspects.seen(now, ask.digest);
        let standing = self.suspects.standing(ask.digest);
        if standing == Standing::Condemned {
            return Err(Reason::Quarantined);
        }
        if standing == Standing::Suspect && self.apart.count(ask.digest) > 0 {
            return Err(Reason::Overloaded);
        }
        if self.queued() >= self.settings.queue_limit as usize {
            return Err(Reason::Overloaded);
        }
        if patience == Millis::ZERO {
            return Err(Reason::Deadline);
        }
        let predicted = self.settings.policy == Policy::Predictive;
        if predicted && self.backlog.wait(ahead_tokens) > patience {
            return Err(Reason::Overloaded);
        }
        Ok(())
    }

    fn cost_tokens(&self, ask: &SlotRequest) -> u64 {
        let curve = self.lengths.curve(&ask.template);
        let out_tokens = curve.remaining_tokens(0, ask.max_tokens) as u64;
        u64::from(ask.prompt_tokens) + out_tokens
    }

    /// Removes a queued ask whose asker has gone; `None` if it is not queued.
    pub fn cancel(&mut self, id: RequestId) -> Option<SlotRequest> {
        self.queue
            .remove(id)
            .or_else(|| self.apart.remove(id))
            .map(|entry| entry.ask)
    }

    /// Takes the next ask that can be placed now.
    pub fn next(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        if targets.iter().all(|view| view.free_slots == 0) {
            return None;
        }
        self.set_apart(now);
        self.next_apart(now, targets)
            .or_else(|| self.next_queued(now, targets))
    }

    fn next_apart(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        let heads: Vec<SlotRequest> = self
            .apart
            .heads(LOOKAHEAD)
            .into_iter()
            .filter(|entry| self.may_copy(&entry.ask) && entry.ask.deadline_ms > now)
            .map(|entry| entry.ask.clone())
            .collect();
        for head in heads {
            let Some(target) = self.choose(now, &head, targets) else {
                continue;
            };
            let entry = self.apart.take(head.digest)?;
            let request = entry.ask;
            self.queue
                .charge(&request.customer, request.weight, entry.cost_tokens);
            return Some(Placement { request, target });
        }
        None
    }

    fn next_queued(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        let heads: Vec<SlotRequest> = self
            .queue
            .heads(now, LOOKAHEAD)
            .into_iter()
            .filter(|entry| entry.ask.deadline_ms > now)
            .map(|entry| entry.ask.clone())
            .collect();
        for head in heads {
            let Some(target) = self.choose(now, &head, targets) else {
                continue;
            };
            let entry = self.queue.take(now, head.id)?;
            let waiting = !self.queue.is_empty();
            self.backlog.placed(now, entry.cost_tokens, waiting);
            return Some(Placement {
                request: entry.ask,
                target,
            });
        }
        None
    }

    /// Moves asks aside that must not run beside just any other work.
    fn set_apart(&mut self, now: Millis) {
        loop {
            let aside: Vec<RequestId> = self
                .queue
                .heads(now, LOOKAHEAD)
                .into_iter()
                .filter(|entry| !self.may_run(&entry.ask))
                .map(|entry| entry.ask.id)
                .collect();
            if aside.is_empty() {
                return;
            }
            for entry in aside.into_iter().filter_map(|id| self.queue.remove(id)) {
                if self.suspects.standing(entry.ask.digest) == Standing::Condemned {
                    self.refused.push(quarantined(entry.ask.id));
                } else {
                    self.apart.push(entry);
                }
            }
        }
    }

    fn may_run(&self, ask: &SlotRequest) -> bool {
        let standing = self.suspects.standing(ask.digest);
        let free = matches!(standing, Standing::Unknown | Standing::Cleared);
        free && self.may_copy(ask)
    }

    fn may_copy(&self, ask: &SlotRequest) -> bool {
        let running = self.copies.get(&ask.digest).copied().unwrap_or(0);
        ask.digest == 0 || running < self.suspects.copies(ask.digest)
    }

    fn choose(&mut self, now: Millis, ask: &SlotRequest, targets: &[TargetView]) -> Option<Name> {
        let suspect = self.suspects.standing(ask.digest) == Standing::Suspect;
        let open: Vec<&TargetView> = targets
            .iter()
            .filter(|view| view.free_slots > 0 && !self.is_avoided(now, &view.name))
            .filter(|view| !suspect || !self.runs_suspect(&view.name))
            .collect();
        let view = match self.settings.policy {
            Policy::RoundRobin => placement::round_robin(&mut self.turn, &open),
            Policy::LeastConnections => placement::least_connections(&open, &self.engines),
            Policy::Predictive => {
                let known = Knowledge {
                    line: &self.line,
                    lengths: &self.lengths,
                    limits: Limits::new(&self.settings),
                };
                placement::predictive(now, ask, &open, &mut self.engines, &known)
            }
        };
        view.map(|view| view.name.clone())
    }

    fn is_avoided(&self, now: Millis, target: &Name) -> bool {
        self.engines
            .get(target)
            .is_some_and(|engine| engine.is_avoided(now))
    }

    fn runs_suspect(&self, target: &Name) -> bool {
        self.engines.get(target).is_some_and(|engine| {
            engine
                .running()
                .any(|running| self.suspects.level(running.ask.digest) > 0)
        })
    }

    /// Records that a slot was granted for a placement.
    ///
    /// A successor also records what it learns to be running this way.
    pub fn started(&mut self, now: Millis, slot: SlotId, placement: &Placement) {
        let ask = placement.request.clone();
        let cost_tokens = self.cost_tokens(&ask);
        if ask.digest != 0 {
            *self.copies.entry(ask.digest).or_insert(0) += 1;
        }
        self.slots.insert(slot, placement.target.clone());
        self.engines
            .entry(placement.target.clone())
            .or_insert_with(|| Engine::new(now))
            .start(now, slot, ask, cost_tokens, &self.line, &self.lengths);
    }

    /// Records that a slot's use has ended after `tokens` tokens of output.
    pub fn ended(&mut self, now: Millis, slot: SlotId, tokens: u32, ending: Ending) {
        let Some(target) = self.slots.swap_remove(&slot) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        let Some(running) = engine.end(now, slot, tokens, &self.line) else {
            return;
        };
        let ask = &running.ask;
        match ending {
            Ending::Complete => {
                engine.learn_gap(&running, tokens, &mut self.line);
                self.lengths.ended(&ask.template, tokens);
                self.suspects.answered(now, ask.digest);
            }
            Ending::Cancelled | Ending::Unknown if tokens > 0 => {
                self.lengths.cut(&ask.template, tokens);
            }
            Ending::Failed => {
                let crash = suspect::crash_id(&target, engine.crash(now, &running));
                self.suspects.crashed(now, ask.digest, crash);
                engine.avoid(now);
            }
            Ending::Refused => engine.avoid(now),
            Ending::Cancelled | Ending::Unknown | Ending::Unsent => {}
        }
        let taken_tokens = match ending {
            Ending::Unsent | Ending::Refused => 0,
            _ => u64::from(ask.prompt_tokens) + u64::from(tokens),
        };
        self.queue
            .settle(&ask.customer, ask.weight, running.cost_tokens, taken_tokens);
        self.release_copy(ask.digest);
        self.refuse_condemned(ask.digest);
    }

    fn release_copy(&mut self, digest: u64) {
        let Some(count) = self.copies.get_mut(&digest) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.copies.swap_remove(&digest);
        }
    }

    fn refuse_condemned(&mut self, digest: u64) {
        if self.suspects.standing(digest) != Standing::Condemned {
            return;
        }
        let refused = self.apart.take_all(digest);
        self.refused
            .extend(refused.iter().map(|entry| quarantined(entry.ask.id)));
    }

    /// Records a load report, which may be late or repeated.
    pub fn reported(&mut self, now: Millis, target: &Name, load: &Load) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.report(now, load, &self.line);
        }
    }

    /// Records a cache event, which may be late or follow a gap.
    pub fn cached(&mut self, now: Millis, target: &Name, prefix: u64, held: bool) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        if held {
            engine.prefixes.insert(now, prefix);
        } else {
            engine.prefixes.remove(prefix);
        }
    }

    /// Forgets what was learned of a target that left or began a new life.
    ///
    /// Slots that run there stay recorded until they end.
    pub fn forget(&mut self, now: Millis, target: &Name) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        if engine.batch() == 0 {
            self.engines.swap_remove(target);
        } else {
            engine.reset(now);
        }
    }

    /// Joins what another node knows of a request that was part of crashes.
    pub fn suspected(&mut self, now: Millis, digest: u64, record: &suspect::Record) {
        self.suspects.merge(now, digest, record);
        self.refuse_condemned(digest);
    }

    /// The requests that were part of crashes, to pass them on.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Removes the asks that get no slot any more: their deadline has come or
    /// their request has crashed too many targets.
    pub fn expired(&mut self, now: Millis) -> Vec<Refusal> {
        let late = self.queue.expire(now).into_iter();
        let late_apart = self.apart.expire(now).into_iter();
        let refusals: Vec<_> = late
            .chain(late_apart)
            .map(|entry| Refusal {
                id: entry.ask.id,
                reason: Reason::Deadline,
                retry_after_ms: Some(self.retry_after(&entry.ask)),
            })
            .collect();
        self.refused.extend(refusals);
        std::mem::take(&mut self.refused)
    }

    fn retry_after(&self, ask: &SlotRequest) -> Millis {
        let ahead_tokens = self
            .queue
            .ahead_tokens(&ask.customer, ask.priority, ask.weight);
        let patience = ask.deadline_ms.since(ask.arrived_ms);
        self.backlog.retry_after(ahead_tokens, patience)
    }

    /// Returns when to call [`Self::expired`] and [`Self::next`] without an
    /// event in between; `None` if nothing is queued.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        if !self.refused.is_empty() {
            return Some(now);
        }
        [
            self.queue.first_deadline_ms(),
            self.apart.first_deadline_ms(),
        ]
        .into_iter()
        .flatten()
        .min()
        .map(|deadline_ms| deadline_ms.clamp(now, now + POLL))
    }

    /// Number of queued asks.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.apart.len()
    }
}

fn quarantined(id: RequestId) -> Refusal {
    Refusal {
        id,
        reason: Reason::Quarantined,
        retry_after_ms: None,
    }
}
