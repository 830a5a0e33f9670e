//! Load by priority level, as nodes exchange it.

use serde::Deserialize;
use serde::Serialize;

/// Load of the requests of one priority level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LevelLoad {
    /// Priority; 0 is the highest.
    pub level: u8,
    /// Number of requests.
    pub requests: u32,
    /// Memory, in tokens, that they are expected to need when they end.
    pub tokens: u64,
    /// Prompt tokens that are not yet processed.
    pub prompt_tokens: u64,
}

/// Loads of the levels that have any, the most urgent first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelLoads(Vec<LevelLoad>);

impl LevelLoad {
    fn is_empty(&self) -> bool {
        let level = self.level;
        *self
            == Self {
                level,
                ..Self::default()
            }
    }

    fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.tokens = self.tokens.saturating_add(other.tokens);
        self.prompt_tokens = self.prompt_tokens.saturating_add(other.prompt_tokens);
    }

    fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prompt_tokens = self.prompt_tokens.saturating_sub(other.prompt_tokens);
    }
}

impl LevelLoads {
    /// Returns whether no level has load.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the levels that have load, the most urgent first.
    pub fn iter(&self) -> std::slice::Iter<'_, LevelLoad> {
        self.0.iter()
    }

    /// Returns the load of one level.
    pub fn level(&self, level: u8) -> LevelLoad {
        let found = self.0.iter().find(|load| load.level == level);
        found.copied().unwrap_or(LevelLoad {
            level,
            ..LevelLoad::default()
        })
    }

    /// Returns the sum of the levels that `is_included` accepts.
    pub fn sum<F>(&self, is_included: F) -> LevelLoad
    where
        F: Fn(u8) -> bool,
    {
        let mut total = LevelLoad::default();
        let included = self.0.iter().filter(|load| is_included(load.level));
        included.for_each(|load| total.add(load));
        total
    }

    /// Adds load of one level.
    pub fn add_level(&mut self, load: &LevelLoad) {
        if load.is_empty() {
            return;
        }
        match self.0.binary_search_by_key(&load.level, |own| own.level) {
            Ok(index) => self.0[index].add(load),
            Err(index) => self.0.insert(index, *load),
        }
    }

    /// Adds the load of all levels of `other`.
    pub fn add(&mut self, other: &Self) {
        other.0.iter().for_each(|load| self.add_level(load));
    }

    /// Returns this load as if all prompts were processed.
    pub fn without_prompts(mut self) -> Self {
        self.0.iter_mut().for_each(|load| load.prompt_tokens = 0);
        self.0.retain(|load| !load.is_empty());
        self
    }

    /// Returns this load less `other`; no count goes below zero.
    pub fn without(&self, other: &Self) -> Self {
        let mut left = self.0.clone();
        for load in &mut left {
            load.subtract(&other.level(load.level));
        }
        left.retain(|load| !load.is_empty());
        Self(left)
    }
}

impl From<LevelLoad> for LevelLoads {
    fn from(load: LevelLoad) -> Self {
        let mut loads = Self::default();
        loads.add_level(&load);
        loads
    }
}
