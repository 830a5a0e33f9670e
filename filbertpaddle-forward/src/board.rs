//! What all nodes have given each target, as far as it is known.
//!
//! A node tells its reader what it has at each target; readers tell each other
//! the sums of their groups. So each learns of all others' work through one
//! link, however many nodes there are.

use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Work at one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Requests that run.
    pub running: u32,
    /// Memory that they are expected to need at their ends.
    pub tokens: u64,
    /// Prompt tokens still to be read.
    pub prompt_tokens: u64,
    /// Nodes whose connections it has refused of late.
    pub refusals: u32,
}

/// Work by target.
pub type ByTarget = IndexMap<Name, Work>;

/// Changed entries of a [`ByTarget`]; an empty one is gone.
pub type Changes = Vec<(Name, Work)>;

/// Work of the nodes of this node's group, and of other groups.
#[derive(Clone, Debug, Default)]
pub struct Board {
    members: IndexMap<Name, ByTarget>,
    groups: IndexMap<Name, ByTarget>,
}

impl Work {
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds other work.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.tokens += other.tokens;
        self.prompt_tokens += other.prompt_tokens;
        self.refusals += other.refusals;
    }

    /// Returns what is left without `other`.
    pub fn without(&self, other: &Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            tokens: self.tokens.saturating_sub(other.tokens),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            refusals: self.refusals.saturating_sub(other.refusals),
        }
    }
}

impl Board {
    /// Knows of no work.
    pub fn new() -> Self {
        Self::default()
    }

    /// A member of this node's group told what changed.
    pub fn member(&mut self, node: &Name, changes: &Changes) {
        apply(self.members.entry(node.clone()).or_default(), changes);
    }

    /// A reader told what changed of its group.
    pub fn group(&mut self, reader: &Name, changes: &Changes) {
        apply(self.groups.entry(reader.clone()).or_default(), changes);
    }

    /// A member is no longer linked.
    pub fn forget_member(&mut self, node: &str) {
        self.members.shift_remove(node);
    }

    /// A reader is no longer linked.
    pub fn forget_group(&mut self, reader: &str) {
        self.groups.shift_remove(reader);
    }

    /// Work of this node's group.
    pub fn group_sum(&self) -> ByTarget {
        sum(self.members.values())
    }

    /// Work of all nodes.
    pub fn total(&self) -> ByTarget {
        sum(self.members.values().chain(self.groups.values()))
    }
}

/// Takes changed entries.
pub fn apply(known: &mut ByTarget, changes: &Changes) {
    for (target, work) in changes {
        if work.is_empty() {
            known.shift_remove(target);
        } else {
            known.insert(target.clone(), *work);
        }
    }
}

/// Returns what must be told to someone who knows `told`.
pub fn changes(told: &ByTarget, now: &ByTarget) -> Changes {
    let changed = now
        .iter()
        .filter(|(target, work)| told.get(*target) != Some(*work))
        .map(|(target, work)| (target.clone(), *work));
    let gone = told
        .keys()
        .filter(|target| !now.contains_key(*target))
        .map(|target| (target.clone(), Work::default()));
    changed.chain(gone).collect()
}

fn sum<'a, I>(parts: I) -> ByTarget
where
    I: Iterator<Item = &'a ByTarget>,
{
    let mut total = ByTarget::new();
    for (target, work) in parts.flatten() {
        total.entry(target.clone()).or_default().add(work);
    }
    total
}
