//! Prefix cache of a simulated engine.

use std::collections::VecDeque;

use filbertpaddle_target::protocol::CacheEvent;
use indexmap::IndexMap;

/// Changes that are kept, from which delayed cache events are taken.
const MAX_CHANGES: usize = 4_096;

/// A change of the cache with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Simulated time of the change, in microseconds.
    pub at_us: u64,
    /// The change as published to nodes.
    pub event: CacheEvent,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Block {
    users: u32,
    used_at_us: u64,
}

/// Cached blocks of prompt prefixes; a block without users can be evicted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixCache {
    blocks: IndexMap<u64, Block>,
    changes: VecDeque<Change>,
    sequence: u64,
}

impl PrefixCache {
    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the number of blocks without users.
    pub fn idle_blocks(&self) -> usize {
        self.blocks
            .values()
            .filter(|block| block.users == 0)
            .count()
    }

    /// Returns whether a cached block has users; `None` if the block is not cached.
    pub fn lookup(&self, prefix: u64) -> Option<bool> {
        self.blocks.get(&prefix).map(|block| block.users > 0)
    }

    /// Adds a user to a block, which is cached if it was not.
    pub fn acquire(&mut self, now_us: u64, prefix: u64) {
        if !self.blocks.contains_key(&prefix) {
            self.record(now_us, prefix, true);
        }
        let block = self.blocks.entry(prefix).or_default();
        block.users += 1;
        block.used_at_us = now_us;
    }

    /// Removes a user from a block.
    pub fn release(&mut self, now_us: u64, prefix: u64) {
        if let Some(block) = self.blocks.get_mut(&prefix) {
            block.users = block.users.saturating_sub(1);
            block.used_at_us = now_us;
        }
    }

    /// Evicts the least recently used block without users; returns whether there was one.
    pub fn evict(&mut self, now_us: u64) -> bool {
        let oldest = self
            .blocks
            .iter()
            .filter(|(_, block)| block.users == 0)
            .min_by_key(|(_, block)| block.used_at_us)
            .map(|(prefix, _)| *prefix);
        let Some(prefix) = oldest else { return false };
        self.blocks.swap_remove(&prefix);
        self.record(now_us, prefix, false);
        true
    }

    /// Returns the kept changes after a sequence number, oldest first.
    pub fn changes_after(&self, sequence: u64) -> impl Iterator<Item = &Change> {
        self.changes
            .iter()
            .filter(move |change| change.event.sequence > sequence)
    }

    fn record(&mut self, at_us: u64, prefix: u64, held: bool) {
        self.sequence += 1;
        let sequence = self.sequence;
        let event = CacheEvent {
            sequence,
            prefix,
            held,
        };
        self.changes.push_back(Change { at_us, event });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}
