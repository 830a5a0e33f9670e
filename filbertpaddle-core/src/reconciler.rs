//! Reconciles the models that the targets of one pool serve with the templates.
//!
//! The owner reads what each target serves, compares it with what the templates
//! require, and sends a load command to targets that differ, a few at a time. A target
//! is always read before it gets a command, so a repeated command changes nothing.

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::name::Name;

/// Time between two reads of a target.
pub const READ_INTERVAL_MS: Millis = Millis(5_000);
/// Longest time after which a command from an earlier owner can still arrive.
pub const MAX_COMMAND_DELAY_MS: Millis = Millis(10_000);
/// Time limit for the answer to a read, a permission request or a load command.
pub const ANSWER_TIMEOUT_MS: Millis = Millis(60_000);
/// At most one target in this many changes its model at a time.
pub const CHANGING_DIVISOR: usize = 4;

/// Model, version and adapters that a target serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ServedModel {
    /// Loaded model.
    pub model: Name,
    /// Loaded version.
    pub version: Name,
    /// Loaded adapters, sorted.
    pub adapters: Vec<Name>,
}

/// Action that the caller must carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read what the target serves and pass it to [`Reconciler::record_read`].
    Read {
        /// Name of the target.
        target: Name,
    },
    /// Request permission to load from the weight store and pass the answer to
    /// [`Reconciler::record_permission`].
    RequestPermission {
        /// Name of the target that has to load.
        target: Name,
        /// Model to load.
        desired: ServedModel,
    },
    /// Send the load command and call [`Reconciler::record_load_answer`] afterwards.
    LoadModel {
        /// Name of the target.
        target: Name,
        /// Model that the target must serve.
        desired: ServedModel,
        /// Fencing number of the command.
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Nothing is in flight; the next read is due at this time.
    Idle { until_ms: Millis },
    /// A read is in flight.
    Reading { since_ms: Millis },
    /// The target does not serve the desired model, and permission to load is due to be
    /// requested at this time.
    OutOfDate { request_at_ms: Millis },
    /// A permission request is in flight.
    AwaitingPermission { since_ms: Millis },
    /// A load command is in flight.
    Loading { since_ms: Millis },
}

/// Whether a target rejects commands with an outdated fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fencing {
    /// The target rejects them.
    Checked,
    /// The target executes any command.
    Ignored,
}

/// Reconciles the targets of a pool on behalf of its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reconciler {
    epoch: u64,
    since_ms: Millis,
    fencing: Fencing,
    desired: ServedModel,
    targets: IndexMap<Name, Phase>,
}

impl Reconciler {
    /// Creates a reconciler for the owner with this epoch.
    pub fn new(epoch: u64, fencing: Fencing, desired: ServedModel, now: Millis) -> Self {
        Self {
            epoch,
            since_ms: now,
            fencing,
            desired,
            targets: IndexMap::new(),
        }
    }

    /// Changes the model that the pool must serve.
    pub fn set_desired(&mut self, desired: ServedModel) {
        if self.desired == desired {
            return;
        }
        self.desired = desired;
        for phase in self.targets.values_mut() {
            if matches!(phase, Phase::Idle { .. } | Phase::OutOfDate { .. }) {
                *phase = idle(Millis::ZERO);
            }
        }
    }

    /// Replaces the targets of the pool.
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

    /// Returns the actions that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        let mut changing = self.changing();
        let max_changing = self.targets.len().div_ceil(CHANGING_DIVISOR);
        let may_load = self.may_load(now);
        let mut actions = Vec::new();
        for (name, phase) in &mut self.targets {
            expire_phase(phase, now);
            match phase {
                Phase::Idle { until_ms } if *until_ms <= now => {
                    *phase = Phase::Reading { since_ms: now };
                    actions.push(Action::Read {
                        target: name.clone(),
                    });
                }
                Phase::OutOfDate { request_at_ms } if *request_at_ms <= now => {
                    if !may_load || changing >= max_changing {
                        continue;
                    }
                    changing += 1;
                    *phase = Phase::AwaitingPermission { since_ms: now };
                    actions.push(Action::RequestPermission {
                        target: name.clone(),
                        desired: self.desired.clone(),
                    });
                }
                _ => {}
            }
        }
        actions
    }

    /// Records what a target serves; `None` means that it could not be read.
    pub fn record_read(&mut self, now: Millis, target: &str, served: Option<&ServedModel>) {
        let differs = served.is_some_and(|served| *served != self.desired);
        // A command from an earlier owner may still arrive after this read and change
        // the target, so a difference found now is not conclusive.
        let is_conclusive = self.may_load(now);
        let Some(phase @ Phase::Reading { .. }) = self.targets.get_mut(target) else {
            return;
        };
        *phase = match (differs, is_conclusive) {
            (true, true) => Phase::OutOfDate { request_at_ms: now },
            (true, false) => idle(self.since_ms + MAX_COMMAND_DELAY_MS),
            (false, _) => idle(now + READ_INTERVAL_MS),
        };
    }

    /// Records the weight store's answer and returns the load command if permitted.
    ///
    /// `retry_after_ms` is the delay that the store demands; `None` grants permission.
    pub fn record_permission(
        &mut self,
        now: Millis,
        target: &str,
        retry_after_ms: Option<Millis>,
    ) -> Option<Action> {
        let phase = self.targets.get_mut(target)?;
        if !matches!(phase, Phase::AwaitingPermission { .. }) {
            return None;
        }
        if let Some(retry_after_ms) = retry_after_ms {
            *phase = Phase::OutOfDate {
                request_at_ms: now + retry_after_ms,
            };
            return None;
        }
        *phase = Phase::Loading { since_ms: now };
        Some(Action::LoadModel {
            target: target.into(),
            desired: self.desired.clone(),
            epoch: self.epoch,
        })
    }

    /// Records that a load command was answered, rejected or lost; the target is read
    /// again.
    pub fn record_load_answer(&mut self, now: Millis, target: &str) {
        if let Some(phase @ Phase::Loading { .. }) = self.targets.get_mut(target) {
            *phase = idle(now);
        }
    }

    /// Returns whether the target is changing its model and must get no new work.
    pub fn is_changing(&self, target: &str) -> bool {
        self.targets.get(target).is_some_and(is_changing)
    }

    fn changing(&self) -> usize {
        self.targets
            .values()
            .filter(|phase| is_changing(phase))
            .count()
    }

    fn may_load(&self, now: Millis) -> bool {
        match self.fencing {
            Fencing::Checked => true,
            Fencing::Ignored => now.since(self.since_ms) >= MAX_COMMAND_DELAY_MS,
        }
    }
}

fn idle(until_ms: Millis) -> Phase {
    Phase::Idle { until_ms }
}

fn is_changing(phase: &Phase) -> bool {
    matches!(
        phase,
        Phase::AwaitingPermission { .. } | Phase::Loading { .. }
    )
}

// Treats an overdue answer as lost and schedules another read of the target.
fn expire_phase(phase: &mut Phase, now: Millis) {
    let since_ms = match phase {
        Phase::Reading { since_ms }
        | Phase::AwaitingPermission { since_ms }
        | Phase::Loading { since_ms } => *since_ms,
        Phase::Idle { .. } | Phase::OutOfDate { .. } => return,
    };
    if now.since(since_ms) >= ANSWER_TIMEOUT_MS {
        *phase = idle(now);
    }
}
