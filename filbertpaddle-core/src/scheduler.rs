//! Order of queued work and choice of its target, for one pool.

use indexmap::IndexMap;

pub use crate::ask::Ask;
pub use crate::ask::Ending;
pub use crate::ask::Id as AskId;
pub use crate::ask::Load;
pub use crate::ask::Placement;
pub use crate::ask::Refusal;
pub use crate::ask::SlotId;
pub use crate::ask::TargetView;
use crate::clock::Millis;
use crate::isolated_queue::IsolatedQueue;
use crate::name::Name;
use crate::outcome::Reason;
use crate::output_length::OutputLengths;
use crate::placement;
use crate::placement::Knowledge;
use crate::placement::Limits;
use crate::placement_rate::PlacementRate;
use crate::policy::Policy;
use crate::policy::Settings;
use crate::queue::Entry;
use crate::queue::Queue;
use crate::suspect;
use crate::suspect::QuarantineStatus;
use crate::suspect::Suspects;
use crate::target_state::TargetState;
use crate::token_gap::GapModel;

/// Requests that are tried before a call yields nothing.
const LOOKAHEAD: usize = 4;
/// How often queued work is tried again while nothing else happens, since the
/// memory of what runs is predicted to change.
const POLL: Millis = Millis(50);

/// Reconciler the requests of one pool and chooses their targets.
///
/// The owner calls [`Self::next_placement`] until it yields `None` after each event and
/// answers every placement with [`Self::record_start`] before it calls again. The
/// scheduler never places on a target without a free slot in its view.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: Queue,
    apart: IsolatedQueue,
    refused: Vec<Refusal>,
    backlog: PlacementRate,
    line: GapModel,
    lengths: OutputLengths,
    suspects: Suspects,
    engines: IndexMap<Name, TargetState>,
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
            apart: IsolatedQueue::default(),
            refused: Vec::new(),
            backlog: PlacementRate::default(),
            line: GapModel::new(),
            lengths: OutputLengths::new(),
            suspects: Suspects::new(),
            engines: IndexMap::new(),
            slots: IndexMap::new(),
            copies: IndexMap::new(),
            turn: 0,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Refuses at once, with when to come back, if the queue is full, the
    /// deadline cannot be met or the request has crashed too many targets.
    pub fn push(&mut self, now: Millis, request: Ask) -> Result<(), Refusal> {
        let ahead_tokens =
            self.queue
                .ahead_tokens(&request.customer, request.priority, request.weight);
        let patience = request.deadline_ms.since(now);
        if let Err(reason) = self.admit(now, &request, ahead_tokens, patience) {
            let retry = reason != Reason::Quarantined;
            return Err(Refusal {
                id: request.id,
                reason,
                retry_after_ms: retry.then(|| self.backlog.retry_after(ahead_tokens, patience)),
            });
        }
        let cost_tokens = self.cost_tokens(&request);
        let entry = Entry {
            request,
            cost_tokens,
        };
        if self.suspects.status(entry.request.digest) == QuarantineStatus::Suspect {
            self.apart.push(entry);
        } else {
            self.queue.push(entry);
        }
        Ok(())
    }

    fn admit(
        &mut self,
        now: Millis,
        request: &Ask,
        ahead_tokens: u64,
        patience: Millis,
    ) -> Result<(), Reason> {
        self.suspects.touch(now, request.digest);
        let standing = self.suspects.status(request.digest);
        if standing == QuarantineStatus::Blocked {
            return Err(Reason::Quarantined);
        }
        if standing == QuarantineStatus::Suspect && self.apart.count(request.digest) > 0 {
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

    fn cost_tokens(&self, request: &Ask) -> u64 {
        let curve = self.lengths.curve(&request.template);
        let out_tokens = curve.remaining_tokens(0, request.max_tokens) as u64;
        u64::from(request.prompt_tokens) + out_tokens
    }

    /// Removes a queued request whose asker has gone; `None` if it is not queued.
    pub fn cancel(&mut self, id: AskId) -> Option<Ask> {
        self.queue
            .remove(id)
            .or_else(|| self.apart.remove(id))
            .map(|entry| entry.request)
    }

    /// Takes the next request that can be placed now.
    pub fn next_placement(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        if targets.iter().all(|view| view.free_slots == 0) {
            return None;
        }
        self.set_apart(now);
        self.next_apart(now, targets)
            .or_else(|| self.next_queued(now, targets))
    }

    fn next_apart(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        let heads: Vec<Ask> = self
            .apart
            .heads(LOOKAHEAD)
            .into_iter()
            .filter(|entry| self.may_copy(&entry.request) && entry.request.deadline_ms > now)
            .map(|entry| entry.request.clone())
            .collect();
        for head in heads {
            let Some(target) = self.choose(now, &head, targets) else {
                continue;
            };
            let entry = self.apart.take(head.digest)?;
            let request = entry.request;
            self.queue
                .charge(&request.customer, request.weight, entry.cost_tokens);
            return Some(Placement {
                ask: request,
                target,
            });
        }
        None
    }

    fn next_queued(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        let heads: Vec<Ask> = self
            .queue
            .heads(now, LOOKAHEAD)
            .into_iter()
            .filter(|entry| entry.request.deadline_ms > now)
            .map(|entry| entry.request.clone())
            .collect();
        for head in heads {
            let Some(target) = self.choose(now, &head, targets) else {
                continue;
            };
            let entry = self.queue.take(now, head.id)?;
            let waiting = !self.queue.is_empty();
            self.backlog.placed(now, entry.cost_tokens, waiting);
            return Some(Placement {
                ask: entry.request,
                target,
            });
        }
        None
    }

    /// Moves requests aside that must not run beside just any other work.
    fn set_apart(&mut self, now: Millis) {
        loop {
            let aside: Vec<AskId> = self
                .queue
                .heads(now, LOOKAHEAD)
                .into_iter()
                .filter(|entry| !self.may_run(&entry.request))
                .map(|entry| entry.request.id)
                .collect();
            if aside.is_empty() {
                return;
            }
            for entry in aside.into_iter().filter_map(|id| self.queue.remove(id)) {
                if self.suspects.status(entry.request.digest) == QuarantineStatus::Blocked {
                    self.refused.push(quarantined(entry.request.id));
                } else {
                    self.apart.push(entry);
                }
            }
        }
    }

    fn may_run(&self, request: &Ask) -> bool {
        let standing = self.suspects.status(request.digest);
        let free = matches!(
            standing,
            QuarantineStatus::Unknown | QuarantineStatus::Cleared
        );
        free && self.may_copy(request)
    }

    fn may_copy(&self, request: &Ask) -> bool {
        let running = self.copies.get(&request.digest).copied().unwrap_or(0);
        request.digest == 0 || running < self.suspects.max_copies(request.digest)
    }

    fn choose(&mut self, now: Millis, request: &Ask, targets: &[TargetView]) -> Option<Name> {
        let suspect = self.suspects.status(request.digest) == QuarantineStatus::Suspect;
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
                placement::predictive(now, request, &open, &mut self.engines, &known)
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
                .any(|running| self.suspects.uncleared_crashes(running.request.digest) > 0)
        })
    }

    /// Records that a slot was granted for a placement.
    ///
    /// A successor also records what it learns to be running this way.
    pub fn record_start(&mut self, now: Millis, slot: SlotId, placement: &Placement) {
        let request = placement.ask.clone();
        let cost_tokens = self.cost_tokens(&request);
        if request.digest != 0 {
            *self.copies.entry(request.digest).or_insert(0) += 1;
        }
        self.slots.insert(slot, placement.target.clone());
        self.engines
            .entry(placement.target.clone())
            .or_insert_with(|| TargetState::new(now))
            .start(now, slot, request, cost_tokens, &self.line, &self.lengths);
    }

    /// Records that a slot's use has ended after `tokens` tokens of output.
    pub fn record_end(&mut self, now: Millis, slot: SlotId, tokens: u32, ending: Ending) {
        let Some(target) = self.slots.swap_remove(&slot) else {
            return;
        };
        let Some(engine) = self.engines.get_mut(&target) else {
            return;
        };
        let Some(running) = engine.end(now, slot, tokens, &self.line) else {
            return;
        };
        let request = &running.request;
        match ending {
            Ending::Complete => {
                engine.learn_gap(&running, tokens, &mut self.line);
                self.lengths.ended(&request.template, tokens);
                self.suspects.record_answer(now, request.digest);
            }
            Ending::Cancelled | Ending::Unknown if tokens > 0 => {
                self.lengths.cut(&request.template, tokens);
            }
            Ending::Failed => {
                let crash = suspect::crash_id(&target, engine.crash(now, &running));
                self.suspects.record_crash(now, request.digest, crash);
                engine.avoid(now);
            }
            Ending::Refused => engine.avoid(now),
            Ending::Cancelled | Ending::Unknown | Ending::Unsent => {}
        }
        let taken_tokens = match ending {
            Ending::Unsent | Ending::Refused => 0,
            _ => u64::from(request.prompt_tokens) + u64::from(tokens),
        };
        self.queue.settle(
            &request.customer,
            request.weight,
            running.cost_tokens,
            taken_tokens,
        );
        self.release_copy(request.digest);
        self.refuse_condemned(request.digest);
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
        if self.suspects.status(digest) != QuarantineStatus::Blocked {
            return;
        }
        let refused = self.apart.take_all(digest);
        self.refused
            .extend(refused.iter().map(|entry| quarantined(entry.request.id)));
    }

    /// Records a load report, which may be late or repeated.
    pub fn record_load(&mut self, now: Millis, target: &Name, load: &Load) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.report(now, load, &self.line);
        }
    }

    /// Records a cache event, which may be late or follow a gap.
    pub fn record_cache_event(&mut self, now: Millis, target: &Name, prefix: u64, held: bool) {
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
    pub fn reset_target(&mut self, now: Millis, target: &Name) {
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
    pub fn merge_crash_record(&mut self, now: Millis, digest: u64, record: &suspect::CrashRecord) {
        self.suspects.merge(now, digest, record);
        self.refuse_condemned(digest);
    }

    /// The requests that were part of crashes, to pass them on.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Removes the requests that get no slot any more: their deadline has come or
    /// their request has crashed too many targets.
    pub fn take_refusals(&mut self, now: Millis) -> Vec<Refusal> {
        let late = self.queue.expire(now).into_iter();
        let late_apart = self.apart.expire(now).into_iter();
        let refusals: Vec<_> = late
            .chain(late_apart)
            .map(|entry| Refusal {
                id: entry.request.id,
                reason: Reason::Deadline,
                retry_after_ms: Some(self.retry_after(&entry.request)),
            })
            .collect();
        self.refused.extend(refusals);
        std::mem::take(&mut self.refused)
    }

    fn retry_after(&self, request: &Ask) -> Millis {
        let ahead_tokens =
            self.queue
                .ahead_tokens(&request.customer, request.priority, request.weight);
        let patience = request.deadline_ms.since(request.arrived_ms);
        self.backlog.retry_after(ahead_tokens, patience)
    }

    /// Returns when to call [`Self::take_refusals`] and [`Self::next_placement`] without an
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

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.apart.len()
    }
}

fn quarantined(id: AskId) -> Refusal {
    Refusal {
        id,
        reason: Reason::Quarantined,
        retry_after_ms: None,
    }
}
