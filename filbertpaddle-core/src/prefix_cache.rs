//! What is known of the prefix cache of one target.

use indexmap::IndexMap;

use crate::clock::Millis;

/// Most prefixes remembered for one target.
const PREFIXES: usize = 512;
/// How long a prefix is taken to be held without new evidence.
const BELIEF: Millis = Millis::from_secs(60);

/// Prefixes that one target is taken to hold.
///
/// Cache events come late and with gaps, so nothing rests on them alone: work
/// that was placed counts as evidence too, and all evidence grows old.
#[derive(Clone, Debug, Default)]
pub struct CachedPrefixes {
    seen: IndexMap<u64, Millis>,
}

impl CachedPrefixes {
    /// Records evidence that a prefix is held.
    pub fn insert(&mut self, now: Millis, prefix: u64) {
        if prefix == 0 {
            return;
        }
        if self.seen.len() >= PREFIXES && !self.seen.contains_key(&prefix) {
            self.evict();
        }
        self.seen.insert(prefix, now);
    }

    /// Records an eviction.
    pub fn remove(&mut self, prefix: u64) {
        self.seen.swap_remove(&prefix);
    }

    /// Whether a prefix is taken to be held.
    pub fn contains(&self, now: Millis, prefix: u64) -> bool {
        self.seen
            .get(&prefix)
            .is_some_and(|seen_ms| now.since(*seen_ms) < BELIEF)
    }

    fn evict(&mut self) {
        let oldest = self
            .seen
            .iter()
            .min_by_key(|(_, seen_ms)| **seen_ms)
            .map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.seen.swap_remove(&prefix);
        }
    }
}
