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
pub struct TargetLoad {
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
pub type LoadByTarget = IndexMap<Name, TargetLoad>;

/// Changed entries of a [`LoadByTarget`]; an empty one is gone.
pub type LoadChanges = Vec<(Name, TargetLoad)>;

/// Work of the nodes of this node's group, and of other groups.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    members: IndexMap<Name, LoadByTarget>,
    groups: IndexMap<Name, LoadByTarget>,
}

impl TargetLoad {
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

impl LoadTable {
    /// Knows of no work.
    pub fn new() -> Self {
        Self::default()
    }

    /// A member of this node's group told what changed.
    pub fn update_member(&mut self, node: &Name, changes: &LoadChanges) {
        apply_changes(self.members.entry(node.clone()).or_default(), changes);
    }

    /// A reader told what changed of its group.
    pub fn update_group(&mut self, reader: &Name, changes: &LoadChanges) {
        apply_changes(self.groups.entry(reader.clone()).or_default(), changes);
    }

    /// A member is no longer linked.
    pub fn remove_member(&mut self, node: &str) {
        self.members.shift_remove(node);
    }

    /// A reader is no longer linked.
    pub fn remove_group(&mut self, reader: &str) {
        self.groups.shift_remove(reader);
    }

    /// Work of this node's group.
    pub fn group_total(&self) -> LoadByTarget {
        sum(self.members.values())
    }

    /// Work of all nodes.
    pub fn total(&self) -> LoadByTarget {
        sum(self.members.values().chain(self.groups.values()))
    }
}

/// Takes changed entries.
pub fn apply_changes(known: &mut LoadByTarget, changes: &LoadChanges) {
    for (target, work) in changes {
        if work.is_empty() {
            known.shift_remove(target);
        } else {
            known.insert(target.clone(), *work);
        }
    }
}

/// Returns what must be told to someone who knows `told`.
pub fn changes_since(told: &LoadByTarget, now: &LoadByTarget) -> LoadChanges {
    let changed = now
        .iter()
        .filter(|(target, work)| told.get(*target) != Some(*work))
        .map(|(target, work)| (target.clone(), *work));
    let gone = told
        .keys()
        .filter(|target| !now.contains_key(*target))
        .map(|target| (target.clone(), TargetLoad::default()));
    changed.chain(gone).collect()
}

fn sum<'a, I>(parts: I) -> LoadByTarget
where
    I: Iterator<Item = &'a LoadByTarget>,
{
    let mut total = LoadByTarget::new();
    for (target, work) in parts.flatten() {
        total.entry(target.clone()).or_default().add(work);
    }
    total
}
