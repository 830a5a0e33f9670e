//! Load that all nodes place on each target, as last reported.
//!
//! A node reports its load on each target to the reader of its group, which is the node
//! that it receives the store's tables from. Readers exchange the totals of their groups. A node thus learns the load of all others
//! over a single link, however many nodes there are.

use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::level_load::LevelLoads;

/// Load on one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Running requests.
    pub running: u32,
    /// Memory, in tokens, that these requests are expected to need when they end.
    pub tokens: u64,
    /// Prompt tokens that are not yet processed.
    pub prompt_tokens: u64,
    /// Nodes whose connections the target has recently refused.
    pub refusals: u32,
    /// Parts of this load that belong to requests of a known priority level.
    #[serde(default, skip_serializing_if = "LevelLoads::is_empty")]
    pub levels: LevelLoads,
}

/// Load by target ID.
pub type LoadByTarget = IndexMap<Name, TargetLoad>;

/// Changed entries of a [`LoadByTarget`]; an empty load removes the entry.
pub type LoadChanges = Vec<(Name, TargetLoad)>;

/// Load reported by the members of this node's group and by the readers of other groups.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    members: IndexMap<Name, LoadByTarget>,
    groups: IndexMap<Name, LoadByTarget>,
}

impl TargetLoad {
    /// Returns load without what it states about targets that refuse connections.
    pub fn without_refusals(mut load: LoadByTarget) -> LoadByTarget {
        load.values_mut().for_each(|load| load.refusals = 0);
        load.retain(|_, load| !load.is_empty());
        load
    }

    /// Returns whether there is no load.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds another load to this one.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.tokens += other.tokens;
        self.prompt_tokens += other.prompt_tokens;
        self.refusals += other.refusals;
        self.levels.add(&other.levels);
    }

    /// Returns this load less `other`; no count goes below zero.
    pub fn without(&self, other: &Self) -> Self {
        Self {
            running: self.running.saturating_sub(other.running),
            tokens: self.tokens.saturating_sub(other.tokens),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            refusals: self.refusals.saturating_sub(other.refusals),
            levels: self.levels.without(&other.levels),
        }
    }

    /// Returns the prompt tokens that a target processes before those of a request of `level`:
    /// those of no level, of its own and of more urgent ones.
    pub fn prompt_tokens_ahead_of(&self, level: Option<u8>) -> u64 {
        let Some(level) = level else {
            return self.prompt_tokens;
        };
        let behind = self.levels.sum(|other| other > level);
        self.prompt_tokens.saturating_sub(behind.prompt_tokens)
    }
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies changes reported by a member of this node's group.
    pub fn update_member(&mut self, node: &Name, changes: &LoadChanges) {
        apply_changes(self.members.entry(node.clone()).or_default(), changes);
    }

    /// Applies changes reported by the reader of another group.
    pub fn update_group(&mut self, reader: &Name, changes: &LoadChanges) {
        apply_changes(self.groups.entry(reader.clone()).or_default(), changes);
    }

    /// Removes the load of a member whose link is closed.
    pub fn remove_member(&mut self, node: &str) {
        self.members.shift_remove(node);
    }

    /// Removes the load of a group whose reader's link is closed.
    pub fn remove_group(&mut self, reader: &str) {
        self.groups.shift_remove(reader);
    }

    /// Removes the load of all groups but this node's own.
    pub fn clear_groups(&mut self) {
        self.groups.clear();
    }

    /// Returns whether all `readers` of a data centre, at least one, have reported their groups'
    /// load.
    pub fn covers<'a, Readers>(&self, readers: Readers) -> bool
    where
        Readers: IntoIterator<Item = &'a Name>,
    {
        let mut readers = readers.into_iter().peekable();
        readers.peek().is_some() && readers.all(|reader| self.groups.contains_key(reader))
    }

    /// Returns the total load of this node's group.
    pub fn group_total(&self) -> LoadByTarget {
        sum(self.members.values())
    }

    /// Returns the total load of all nodes.
    pub fn total(&self) -> LoadByTarget {
        sum(self.members.values().chain(self.groups.values()))
    }
}

/// Applies changed entries to `known`.
pub fn apply_changes(known: &mut LoadByTarget, changes: &LoadChanges) {
    for (target, load) in changes {
        if load.is_empty() {
            known.shift_remove(target);
        } else {
            known.insert(target.clone(), load.clone());
        }
    }
}

/// Returns the changes that turn `published` into `current`.
pub fn changes_since(published: &LoadByTarget, current: &LoadByTarget) -> LoadChanges {
    let changed = current
        .iter()
        .filter(|(target, load)| published.get(*target) != Some(*load))
        .map(|(target, load)| (target.clone(), load.clone()));
    let removed = published
        .keys()
        .filter(|target| !current.contains_key(*target))
        .map(|target| (target.clone(), TargetLoad::default()));
    changed.chain(removed).collect()
}

fn sum<'a, I>(parts: I) -> LoadByTarget
where
    I: Iterator<Item = &'a LoadByTarget>,
{
    let mut total = LoadByTarget::new();
    for (target, load) in parts.flatten() {
        total.entry(target.clone()).or_default().add(load);
    }
    total
}

/// Returns load without what it states about targets that refuse connections.
pub fn without_refusals(mut load: LoadByTarget) -> LoadByTarget {
    load.values_mut().for_each(|load| load.refusals = 0);
    load.retain(|_, load| !load.is_empty());
    load
}
