//! Reconciler to the targets of one pool: what each is to serve.
//!
//! The owner compares what targets serve with what the templates want and
//! orders the difference, a few targets at a time. Every order is preceded by
//! a reading of the target, so an order given twice changes nothing.

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::name::Name;

/// Time between two readings of a target.
pub const READ_INTERVAL_MS: Millis = Millis(5_000);
/// Longest time after which an order sent by a deposed owner can still arrive.
pub const IN_FLIGHT_MS: Millis = Millis(10_000);
/// Longest wait for the answer to a reading, a permission or an order.
pub const ANSWER_TIMEOUT_MS: Millis = Millis(60_000);
/// At most one target in this many changes what it serves at a time.
pub const CHANGING_SHARE: usize = 4;

/// What a target serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServedModel {
    /// Model that is loaded.
    pub model: Name,
    /// Version that is loaded.
    pub version: Name,
    /// Adapters that are loaded, sorted.
    pub adapters: Vec<Name>,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read what the target serves and answer with [`Reconciler::read`].
    Read {
        /// Name of the target.
        target: Name,
    },
    /// Ask the weight store and answer with [`Reconciler::permitted`].
    AskWeights {
        /// Name of the target that is to load.
        target: Name,
        /// What is to be loaded.
        wanted: ServedModel,
    },
    /// Give the order and answer with [`Reconciler::ordered`].
    Order {
        /// Name of the target.
        target: Name,
        /// What it is to serve.
        wanted: ServedModel,
        /// Fencing number of the order.
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Nothing is in flight before this time.
    Idle { until_ms: Millis },
    /// A reading is in flight.
    Reading { since_ms: Millis },
    /// The reading shows a difference, and permission to load is wanted.
    Differs { ask_at_ms: Millis },
    /// Permission has been asked for.
    Asking { since_ms: Millis },
    /// An order is in flight.
    Ordering { since_ms: Millis },
}

/// Whether a target refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fencing {
    /// The target refuses them.
    Checked,
    /// The target obeys any order.
    Ignored,
}

/// Reconciler of one owner to the targets of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reconciler {
    epoch: u64,
    since_ms: Millis,
    fencing: Fencing,
    wanted: ServedModel,
    targets: IndexMap<Name, Phase>,
}

impl Reconciler {
    /// Starts to order as the owner with this epoch.
    pub fn new(epoch: u64, fencing: Fencing, wanted: ServedModel, now: Millis) -> Self {
        Self {
            epoch,
            since_ms: now,
            fencing,
            wanted,
            targets: IndexMap::new(),
        }
    }

    /// Changes what the pool is to serve.
    pub fn want(&mut self, wanted: ServedModel) {
        if self.wanted == wanted {
            return;
        }
        self.wanted = wanted;
        for phase in self.targets.values_mut() {
            if matches!(phase, Phase::Idle { .. } | Phase::Differs { .. }) {
                *phase = idle(Millis::ZERO);
            }
        }
    }

    /// Changes which targets the pool has.
    pub fn set_targets<I>(&mut self, names: I)
    where
        I: IntoIterator<Item = Name>,
    {
        let names: Vec<Name> = names.into_iter().collect();
        self.targets.retain(|name, _| names.contains(name));
        for name in names {
            self.targets.entry(name).or_insert(idle(Millis::ZERO));
        }
    }

    /// Returns what is to be done now.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut changing = self.changing();
        let most_changing = self.targets.len().div_ceil(CHANGING_SHARE);
        let may_order = self.may_order(now);
        let mut actions = Vec::new();
        for (name, phase) in &mut self.targets {
            expire(phase, now);
            match phase {
                Phase::Idle { until_ms } if *until_ms <= now => {
                    *phase = Phase::Reading { since_ms: now };
                    actions.push(Action::Read {
                        target: name.clone(),
                    });
                }
                Phase::Differs { ask_at_ms } if *ask_at_ms <= now => {
                    if !may_order || changing >= most_changing {
                        continue;
                    }
                    changing += 1;
                    *phase = Phase::Asking { since_ms: now };
                    actions.push(Action::AskWeights {
                        target: name.clone(),
                        wanted: self.wanted.clone(),
                    });
                }
                _ => {}
            }
        }
        actions
    }

    /// Takes in what a target serves; `None` means that it could not be read.
    pub fn read(&mut self, now: Millis, target: &str, served: Option<&ServedModel>) {
        let differs = served.is_some_and(|served| *served != self.wanted);
        // A reading from before the last order in flight could land proves nothing.
        let settled = self.may_order(now);
        let Some(phase @ Phase::Reading { .. }) = self.targets.get_mut(target) else {
            return;
        };
        *phase = match (differs, settled) {
            (true, true) => Phase::Differs { ask_at_ms: now },
            (true, false) => idle(self.since_ms + IN_FLIGHT_MS),
            (false, _) => idle(now + READ_INTERVAL_MS),
        };
    }

    /// Takes in the weight store's answer and returns the order if it may be given.
    pub fn permitted(
        &mut self,
        now: Millis,
        target: &str,
        retry_after_ms: Option<Millis>,
    ) -> Option<Action> {
        let phase = self.targets.get_mut(target)?;
        if !matches!(phase, Phase::Asking { .. }) {
            return None;
        }
        if let Some(retry_after_ms) = retry_after_ms {
            *phase = Phase::Differs {
                ask_at_ms: now + retry_after_ms,
            };
            return None;
        }
        *phase = Phase::Ordering { since_ms: now };
        Some(Action::Order {
            target: target.into(),
            wanted: self.wanted.clone(),
            epoch: self.epoch,
        })
    }

    /// Takes in that an order was answered, refused or lost; the target is read again.
    pub fn ordered(&mut self, now: Millis, target: &str) {
        if let Some(phase @ Phase::Ordering { .. }) = self.targets.get_mut(target) {
            *phase = idle(now);
        }
    }

    /// Returns whether the target is being changed and gets no new work.
    pub fn is_changing(&self, target: &str) -> bool {
        self.targets.get(target).is_some_and(is_changing)
    }

    fn changing(&self) -> usize {
        self.targets
            .values()
            .filter(|phase| is_changing(phase))
            .count()
    }

    fn may_order(&self, now: Millis) -> bool {
        match self.fencing {
            Fencing::Checked => true,
            Fencing::Ignored => now.since(self.since_ms) >= IN_FLIGHT_MS,
        }
    }
}

fn idle(until_ms: Millis) -> Phase {
    Phase::Idle { until_ms }
}

fn is_changing(phase: &Phase) -> bool {
    matches!(phase, Phase::Asking { .. } | Phase::Ordering { .. })
}

// An answer that never comes is treated as lost, and the target is read again.
fn expire(phase: &mut Phase, now: Millis) {
    let since_ms = match phase {
        Phase::Reading { since_ms } | Phase::Asking { since_ms } | Phase::Ordering { since_ms } => {
            *since_ms
        }
        Phase::Idle { .. } | Phase::Differs { .. } => return,
    };
    if now.since(since_ms) >= ANSWER_TIMEOUT_MS {
        *phase = idle(now);
    }
}
