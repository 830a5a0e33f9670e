//! Scheduler of one pool: orders slot requests and chooses their targets.

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::crash_attribution::CrashAttribution;
use crate::crash_attribution::ProbeTiming;
use crate::isolated_queue::IsolatedQueue;
use crate::name::Name;
use crate::outcome::Reason;
use crate::output_length::OutputLengths;
use crate::placement;
use crate::placement::FillLimits;
use crate::placement::PoolEstimates;
use crate::placement_rate::PlacementRate;
use crate::policy::Policy;
use crate::policy::Settings;
use crate::queue::Entry;
use crate::queue::Queue;
use crate::scheduler_quarantine::quarantine_refusal;
pub use crate::slot_request::Ending;
pub use crate::slot_request::Load;
pub use crate::slot_request::Placement;
pub use crate::slot_request::Refusal;
pub use crate::slot_request::RequestId;
pub use crate::slot_request::SlotId;
pub use crate::slot_request::SlotRequest;
pub use crate::slot_request::TargetView;
use crate::suspect;
use crate::suspect::QuarantineStatus;
use crate::target_state::TargetState;
use crate::token_gap::GapModel;

/// Number of queued requests that a call tries before it returns nothing.
const LOOKAHEAD_REQUESTS: usize = 4;
/// Number of tokens that show that a prompt does not crash its target: about a second. Until
/// then, the target may have failed already when its last tokens arrive.
const SOUND_TOKENS: u32 = 25;
/// Interval at which queued work is retried without an event, since the forecast
/// memory of running work changes with time.
const POLL_INTERVAL_MS: Millis = Millis(50);

/// Orders the slot requests of one pool and chooses their targets.
///
/// After each event the owner calls [`Self::next_placement`] until it returns `None`,
/// and confirms every placement with [`Self::record_start`] before the next call. The
/// scheduler never places a request on a target without a free slot in its view.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: Queue,
    pub(crate) isolated: IsolatedQueue,
    pub(crate) pending_refusals: Vec<Refusal>,
    placement_rate: PlacementRate,
    gap_model: GapModel,
    output_lengths: OutputLengths,
    pub(crate) suspects: CrashAttribution,
    pub(crate) target_states: IndexMap<Name, TargetState>,
    slots: IndexMap<SlotId, Name>,
    pub(crate) running_copies: IndexMap<u64, usize>,
    round_robin_turn: usize,
}

impl Scheduler {
    /// Creates a scheduler with an empty queue.
    pub fn new(settings: Settings) -> Self {
        let queue = match settings.policy {
            Policy::Predictive => Queue::new(settings.ageing_ms),
            Policy::RoundRobin | Policy::LeastConnections => Queue::fifo(),
        };
        Self {
            settings,
            queue,
            isolated: IsolatedQueue::default(),
            pending_refusals: Vec::new(),
            placement_rate: PlacementRate::default(),
            gap_model: GapModel::new(),
            output_lengths: OutputLengths::new(),
            suspects: CrashAttribution::with_timing(ProbeTiming::Late),
            target_states: IndexMap::new(),
            slots: IndexMap::new(),
            running_copies: IndexMap::new(),
            round_robin_turn: 0,
        }
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the queue is full, the deadline cannot be met or the
    /// request is quarantined. It gives the retry delay, except for a quarantine.
    pub fn push(&mut self, now: Millis, request: SlotRequest) -> Result<(), Refusal> {
        let tokens_ahead =
            self.queue
                .tokens_ahead(&request.customer, request.priority, request.weight);
        let max_wait = request.deadline_ms.since(now);
        if let Err(reason) = self.admit(now, &request, tokens_ahead, max_wait) {
            let retry = reason != Reason::Quarantined;
            return Err(Refusal {
                id: request.id,
                reason,
                retry_after_ms: retry
                    .then(|| self.placement_rate.retry_after(tokens_ahead, max_wait)),
            });
        }
        let cost_tokens = self.cost_tokens(&request);
        let entry = Entry {
            request,
            cost_tokens,
        };
        if self.status(now, &entry.request) == QuarantineStatus::Suspect {
            self.isolated.push(entry);
        } else {
            self.queue.push(entry);
        }
        Ok(())
    }

    fn admit(
        &mut self,
        now: Millis,
        request: &SlotRequest,
        tokens_ahead: u64,
        max_wait: Millis,
    ) -> Result<(), Reason> {
        self.suspects.touch(now, &request.fingerprints());
        let status = self.status(now, request);
        if status == QuarantineStatus::Blocked {
            return Err(Reason::Quarantined);
        }
        if status == QuarantineStatus::Suspect && self.isolated.count(request.digest) > 0 {
            return Err(Reason::Overloaded);
        }
        if self.queued() >= self.settings.queue_limit as usize {
            return Err(Reason::Overloaded);
        }
        if max_wait == Millis::ZERO {
            return Err(Reason::Deadline);
        }
        let is_predictive = self.settings.policy == Policy::Predictive;
        if is_predictive && self.placement_rate.expected_wait(tokens_ahead) > max_wait {
            return Err(Reason::Overloaded);
        }
        Ok(())
    }

    fn cost_tokens(&self, request: &SlotRequest) -> u64 {
        let curve = self.output_lengths.curve(&request.template);
        let out_tokens = curve.expected_remaining_tokens(0, request.max_tokens) as u64;
        u64::from(request.prompt_tokens) + out_tokens
    }

    /// Removes a queued request that its sender has cancelled; `None` if it is not
    /// queued.
    pub fn cancel(&mut self, id: RequestId) -> Option<SlotRequest> {
        self.queue
            .remove(id)
            .or_else(|| self.isolated.remove(id))
            .map(|entry| entry.request)
    }

    /// Removes the next request that can be placed now and returns its placement.
    pub fn next_placement(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        if targets.iter().all(|view| view.free_slots == 0) {
            return None;
        }
        self.isolate_restricted(now);
        self.next_isolated(now, targets)
            .or_else(|| self.next_queued(now, targets))
    }

    fn next_isolated(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        let heads: Vec<SlotRequest> = self
            .isolated
            .heads(LOOKAHEAD_REQUESTS)
            .into_iter()
            .filter(|entry| self.may_run_copy(&entry.request) && entry.request.deadline_ms > now)
            .map(|entry| entry.request.clone())
            .collect();
        for head in heads {
            let Some(target) = self.choose_target(now, &head, targets) else {
                continue;
            };
            let entry = self.isolated.pop(head.digest)?;
            let request = entry.request;
            self.queue
                .charge(&request.customer, request.weight, entry.cost_tokens);
            return Some(Placement { request, target });
        }
        None
    }

    fn next_queued(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        let heads: Vec<SlotRequest> = self
            .queue
            .heads(now, LOOKAHEAD_REQUESTS)
            .into_iter()
            .filter(|entry| entry.request.deadline_ms > now)
            .map(|entry| entry.request.clone())
            .collect();
        for head in heads {
            let Some(target) = self.choose_target(now, &head, targets) else {
                continue;
            };
            let entry = self.queue.take(now, head.id)?;
            let waiting = !self.queue.is_empty();
            self.placement_rate
                .record_placement(now, entry.cost_tokens, waiting);
            return Some(Placement {
                request: entry.request,
                target,
            });
        }
        None
    }

    /// Moves the first requests that may not share a target with arbitrary work to the
    /// isolated queue, and refuses those that are blocked.
    fn isolate_restricted(&mut self, now: Millis) {
        loop {
            let restricted_ids: Vec<RequestId> = self
                .queue
                .heads(now, LOOKAHEAD_REQUESTS)
                .into_iter()
                .filter(|entry| !self.may_share_target(now, &entry.request))
                .map(|entry| entry.request.id)
                .collect();
            if restricted_ids.is_empty() {
                return;
            }
            let restricted = restricted_ids.into_iter();
            let restricted: Vec<_> = restricted.filter_map(|id| self.queue.remove(id)).collect();
            for entry in restricted {
                if self.status(now, &entry.request) == QuarantineStatus::Blocked {
                    self.pending_refusals
                        .push(quarantine_refusal(entry.request.id));
                } else {
                    self.isolated.push(entry);
                }
            }
        }
    }

    fn choose_target(
        &mut self,
        now: Millis,
        request: &SlotRequest,
        targets: &[TargetView],
    ) -> Option<Name> {
        let suspect = self.status(now, request) == QuarantineStatus::Suspect;
        let candidates: Vec<&TargetView> = targets
            .iter()
            .filter(|view| view.free_slots > 0 && !self.is_in_backoff(now, &view.name))
            .filter(|view| !suspect || !self.runs_suspect(&view.name))
            .collect();
        let view = match self.settings.policy {
            Policy::RoundRobin => placement::round_robin(&mut self.round_robin_turn, &candidates),
            Policy::LeastConnections => {
                placement::least_connections(&candidates, &self.target_states)
            }
            Policy::Predictive => {
                let pool = PoolEstimates {
                    gap_model: &self.gap_model,
                    output_lengths: &self.output_lengths,
                    limits: FillLimits::new(&self.settings),
                };
                placement::predictive(now, request, &candidates, &mut self.target_states, &pool)
            }
        };
        view.map(|view| view.name.clone())
    }

    fn is_in_backoff(&self, now: Millis, target: &Name) -> bool {
        self.target_states
            .get(target)
            .is_some_and(|state| state.is_in_backoff(now))
    }

    /// Records that a slot was granted for a placement.
    ///
    /// A new owner also records in this way the work that it finds running.
    pub fn record_start(&mut self, now: Millis, slot: SlotId, placement: &Placement) {
        let request = placement.request.clone();
        let cost_tokens = self.cost_tokens(&request);
        self.record_probe_start(now, &request, &placement.target);
        if request.digest != 0 {
            *self.running_copies.entry(request.digest).or_insert(0) += 1;
        }
        self.slots.insert(slot, placement.target.clone());
        self.target_states
            .entry(placement.target.clone())
            .or_insert_with(|| TargetState::new(now))
            .start(
                now,
                slot,
                request,
                cost_tokens,
                &self.gap_model,
                &self.output_lengths,
            );
    }

    /// Records that the use of a slot ended after `tokens` tokens of output.
    pub fn record_end(&mut self, now: Millis, slot: SlotId, tokens: u32, ending: Ending) {
        let Some(target) = self.slots.swap_remove(&slot) else {
            return;
        };
        let Some(state) = self.target_states.get_mut(&target) else {
            return;
        };
        let Some(running) = state.end(now, slot, tokens, &self.gap_model) else {
            return;
        };
        let request = &running.request;
        match ending {
            Ending::Complete => {
                state.record_gap(&running, tokens, &mut self.gap_model);
                self.output_lengths
                    .record_complete(&request.template, tokens);
                self.suspects.record_answer(now, &request.fingerprints());
            }
            Ending::Cancelled | Ending::Unknown if tokens > 0 => {
                self.output_lengths
                    .record_censored(&request.template, tokens);
            }
            Ending::Failed => {
                let crash = suspect::crash_id(&target, state.record_crash_time(now, &running));
                // An answer that goes on for a while shows that the parts are sound.
                if tokens < SOUND_TOKENS {
                    self.suspects
                        .record_crash(now, &request.fingerprints(), crash);
                } else {
                    self.suspects.record_crash(now, &[request.digest], crash);
                    self.suspects.record_answer(now, &request.parts);
                }
                state.start_backoff(now);
            }
            Ending::Refused => state.start_backoff(now),
            // It is the VM that is cut off if the target has reported to the owner lately.
            Ending::Unreached if state.has_reported(now) => {}
            Ending::Unreached => state.start_backoff(now),
            Ending::Cancelled | Ending::Unknown | Ending::Unsent => {}
        }
        let used_tokens = match ending {
            Ending::Unsent | Ending::Refused | Ending::Unreached => 0,
            _ => u64::from(request.prompt_tokens) + u64::from(tokens),
        };
        self.queue.settle(
            &request.customer,
            request.weight,
            running.cost_tokens,
            used_tokens,
        );
        self.release_copy(request.digest);
        if ending == Ending::Failed {
            self.refuse_blocked(now);
        }
    }

    /// Records a load report, which may be late or repeated.
    pub fn record_load(&mut self, now: Millis, target: &Name, load: &Load) {
        if let Some(state) = self.target_states.get_mut(target) {
            state.record_report(now);
            state.update_memory_correction(now, load, &self.gap_model);
        }
    }

    /// Records a prefix cache event, which may be late or follow lost events.
    pub fn record_cache_event(&mut self, now: Millis, target: &Name, prefix: u64, cached: bool) {
        let Some(state) = self.target_states.get_mut(target) else {
            return;
        };
        if cached {
            state.prefixes.insert(now, prefix);
        } else {
            state.prefixes.remove(prefix);
        }
    }

    /// Resets the state of a target that left the pool or restarted.
    ///
    /// Slots in use there stay recorded until they end.
    pub fn reset_target(&mut self, now: Millis, target: &Name) {
        let Some(state) = self.target_states.get_mut(target) else {
            return;
        };
        if state.batch_size() == 0 {
            self.target_states.swap_remove(target);
        } else {
            state.reset(now);
        }
    }

    /// Removes the requests that no longer get a slot and returns their refusals: the
    /// deadline has passed or the request is quarantined.
    pub fn take_refusals(&mut self, now: Millis) -> Vec<Refusal> {
        let expired = self.queue.expire(now).into_iter();
        let expired_isolated = self.isolated.expire(now).into_iter();
        let refusals: Vec<_> = expired
            .chain(expired_isolated)
            .map(|entry| Refusal {
                id: entry.request.id,
                reason: Reason::Deadline,
                retry_after_ms: Some(self.retry_after(&entry.request)),
            })
            .collect();
        self.pending_refusals.extend(refusals);
        std::mem::take(&mut self.pending_refusals)
    }

    fn retry_after(&self, request: &SlotRequest) -> Millis {
        let tokens_ahead =
            self.queue
                .tokens_ahead(&request.customer, request.priority, request.weight);
        let max_wait = request.deadline_ms.since(request.arrived_ms);
        self.placement_rate.retry_after(tokens_ahead, max_wait)
    }

    /// Returns when to call [`Self::take_refusals`] and [`Self::next_placement`] if no
    /// event occurs before; `None` if nothing is queued.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        if !self.pending_refusals.is_empty() {
            return Some(now);
        }
        [
            self.queue.earliest_deadline_ms(),
            self.isolated.earliest_deadline_ms(),
        ]
        .into_iter()
        .flatten()
        .min()
        .map(|deadline_ms| deadline_ms.clamp(now, now + POLL_INTERVAL_MS))
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len() + self.isolated.len()
    }
}
