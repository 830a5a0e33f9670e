//! Estimate of the contents of one target's prefix cache.

use indexmap::IndexMap;

use crate::clock::Millis;

/// Prefixes recorded for one target; the oldest is dropped beyond this.
const MAX_PREFIXES: usize = 512;
/// Time for which a prefix is assumed to be cached without new evidence.
const PREFIX_TTL_MS: Millis = Millis::from_secs(60);

/// Prefixes that one target is assumed to have cached.
///
/// Cache events arrive late and with gaps, so they are not the only source: placed
/// work counts as evidence as well, and all evidence expires.
#[derive(Clone, Debug, Default)]
pub struct CachedPrefixes {
    last_seen: IndexMap<u64, Millis>,
}

impl CachedPrefixes {
    /// Records evidence that a prefix is cached.
    pub fn insert(&mut self, now: Millis, prefix: u64) {
        if prefix == 0 {
            return;
        }
        if self.last_seen.len() >= MAX_PREFIXES && !self.last_seen.contains_key(&prefix) {
            self.evict_oldest();
        }
        self.last_seen.insert(prefix, now);
    }

    /// Records an eviction.
    pub fn remove(&mut self, prefix: u64) {
        self.last_seen.swap_remove(&prefix);
    }

    /// Returns whether a prefix is assumed to be cached.
    pub fn contains(&self, now: Millis, prefix: u64) -> bool {
        self.last_seen
            .get(&prefix)
            .is_some_and(|seen_ms| now.since(*seen_ms) < PREFIX_TTL_MS)
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .last_seen
            .iter()
            .min_by_key(|(_, seen_ms)| **seen_ms)
            .map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.last_seen.swap_remove(&prefix);
        }
    }
}
