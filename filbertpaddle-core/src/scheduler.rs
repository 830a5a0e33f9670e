//! Order of queued work and choice of its target, for one pool.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::Name;
use crate::outcome::Reason;
use crate::policy::Policy;
use crate::policy::Settings;
use crate::template::Priority;

/// Identifies an ask among all asks of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AskId(pub u64);

/// Identifies a granted slot among all slots of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SlotId(pub u64);

/// A request for one slot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ask {
    /// Chosen by the owner of the pool.
    pub id: AskId,
    /// Customer whose share is charged.
    pub customer: Name,
    /// Template whose output lengths are learned; unique among customers.
    pub template: Name,
    /// Scheduling priority.
    pub priority: Priority,
    /// Relative share of tokens of the customer, at least one.
    pub weight: u32,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens the generation may produce.
    pub max_tokens: u32,
    /// Digest of the prompt's shared prefix; zero if it has none.
    pub prefix: u64,
    /// Digest of the whole request, equal for a resend.
    pub digest: u64,
    /// When the ask reached the owner.
    pub arrived_ms: Millis,
    /// When a slot is of no use any more.
    pub deadline_ms: Millis,
}

/// What the owner knows of one target.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetView {
    /// Name of the target.
    pub name: Name,
    /// Slots that may be granted now; zero keeps the target out.
    pub free_slots: u32,
    /// Tokens that the target's memory holds; zero if not known.
    pub capacity_tokens: u64,
    /// Whether the target has warmed up.
    pub warm: bool,
}

/// A target's report of its load, as of the time it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Load {
    /// When the numbers were taken, on the owner's clock.
    pub taken_ms: Millis,
    /// Tokens in memory.
    pub used_tokens: u64,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts waiting for the batch.
    pub waiting: u32,
    /// Preemptions since the target started.
    pub preemptions: u64,
}

/// A queued ask and the target chosen for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    /// The ask, removed from the queue.
    pub ask: Ask,
    /// Name of the target.
    pub target: Name,
}

/// An ask that gets no slot. Nothing was sent to a target for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Refusal {
    /// The refused ask.
    pub id: AskId,
    /// Why it is refused.
    pub reason: Reason,
    /// How long to wait before asking again; `None` if repeating cannot help.
    pub retry_after_ms: Option<Millis>,
}

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The target ended the work by itself.
    Complete,
    /// The work was cancelled while it ran.
    Cancelled,
    /// Nothing was sent to the target.
    Unsent,
    /// The target refused the work before starting it.
    Refused,
    /// The target died or broke the stream while it ran the work.
    Failed,
    /// Nothing is known of the work; the slot was taken back.
    Unknown,
}

/// Orders the asks of one pool and chooses their targets.
///
/// The owner calls [`Self::next`] until it yields `None` after each event and
/// answers every placement with [`Self::started`] before it calls again. The
/// scheduler never places on a target without a free slot in its view.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    queue: IndexMap<AskId, Ask>,
    running: IndexMap<SlotId, Name>,
    turn: usize,
}

impl Scheduler {
    /// Creates a scheduler with an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            queue: IndexMap::new(),
            running: IndexMap::new(),
            turn: 0,
        }
    }

    /// Queues an ask.
    ///
    /// # Errors
    ///
    /// Refuses at once, with when to come back, if the queue is full or the
    /// deadline cannot be met.
    pub fn push(&mut self, now: Millis, ask: Ask) -> Result<(), Refusal> {
        let refuse = |reason| Refusal {
            id: ask.id,
            reason,
            retry_after_ms: Some(Millis::from_secs(1)),
        };
        if ask.deadline_ms <= now {
            return Err(refuse(Reason::Deadline));
        }
        if self.queue.len() >= self.settings.queue_limit as usize {
            return Err(refuse(Reason::Overloaded));
        }
        self.queue.insert(ask.id, ask);
        Ok(())
    }

    /// Removes a queued ask whose asker has gone; `None` if it is not queued.
    pub fn cancel(&mut self, id: AskId) -> Option<Ask> {
        self.queue.shift_remove(&id)
    }

    /// Takes the next ask that can be placed now.
    pub fn next(&mut self, now: Millis, targets: &[TargetView]) -> Option<Placement> {
        let id = self
            .queue
            .values()
            .find(|ask| ask.deadline_ms > now)
            .map(|ask| ask.id)?;
        let target = self.choose(targets)?;
        let ask = self.queue.shift_remove(&id)?;
        Some(Placement { ask, target })
    }

    fn choose(&mut self, targets: &[TargetView]) -> Option<Name> {
        let open = || targets.iter().filter(|target| target.free_slots > 0);
        if self.settings.policy == Policy::RoundRobin {
            let count = open().count();
            self.turn = self.turn.wrapping_add(1);
            return open()
                .nth(self.turn.checked_rem(count)?)
                .map(|target| target.name.clone());
        }
        open()
            .min_by_key(|target| self.running.values().filter(|n| **n == target.name).count())
            .map(|target| target.name.clone())
    }

    /// Records that a slot was granted for a placement.
    ///
    /// A successor also records what it learns to be running this way.
    pub fn started(&mut self, _now: Millis, slot: SlotId, placement: &Placement) {
        self.running.insert(slot, placement.target.clone());
    }

    /// Records that a slot's use has ended after `tokens` tokens of output.
    pub fn ended(&mut self, _now: Millis, slot: SlotId, _tokens: u32, _ending: Ending) {
        self.running.swap_remove(&slot);
    }

    /// Records a load report, which may be late or repeated.
    pub fn reported(&mut self, _now: Millis, _target: &Name, _load: Load) {}

    /// Records a cache event, which may be late or follow a gap.
    pub fn cached(&mut self, _now: Millis, _target: &Name, _prefix: u64, _held: bool) {}

    /// Forgets what was learned of a target that left or began a new life.
    ///
    /// Slots that run there stay recorded until they end.
    pub fn forget(&mut self, _target: &Name) {}

    /// Removes the asks whose deadline has passed or can no longer be met.
    pub fn expired(&mut self, now: Millis) -> Vec<Refusal> {
        self.queue
            .extract_if(.., |_, ask| ask.deadline_ms <= now)
            .map(|(id, _)| Refusal {
                id,
                reason: Reason::Deadline,
                retry_after_ms: Some(Millis::from_secs(1)),
            })
            .collect()
    }

    /// Returns when to call [`Self::expired`] and [`Self::next`] without an
    /// event in between; `None` if nothing is queued.
    pub fn next_wake(&self, now: Millis) -> Option<Millis> {
        self.queue
            .values()
            .map(|ask| ask.deadline_ms)
            .min()
            .map(|deadline_ms| deadline_ms.max(now))
    }

    /// Number of queued asks.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }
}
