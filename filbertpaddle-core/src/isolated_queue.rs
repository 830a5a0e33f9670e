//! Queue of slot requests that may not share a target with arbitrary other work.
//!
//! A crash of the target must point to one suspect request, so suspects run on
//! targets without other suspects.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::queue::Entry;
use crate::slot_request::RequestId;

/// Slot requests, by digest, that are suspected of crashing targets or whose
/// digest already runs as many times as allowed.
#[derive(Clone, Debug, Default)]
pub struct IsolatedQueue {
    waiting: IndexMap<u64, VecDeque<Entry>>,
}

impl IsolatedQueue {
    /// Adds a request after the others with the same digest.
    pub fn push(&mut self, entry: Entry) {
        self.waiting
            .entry(entry.request.digest)
            .or_default()
            .push_back(entry);
    }

    /// Returns the first request of up to `count` digests.
    pub fn heads(&self, count: usize) -> Vec<&Entry> {
        self.waiting
            .values()
            .filter_map(VecDeque::front)
            .take(count)
            .collect()
    }

    /// Removes and returns the first request of a digest, and moves the digest
    /// behind all others.
    pub fn pop(&mut self, digest: u64) -> Option<Entry> {
        let mut entries = self.waiting.shift_remove(&digest)?;
        let entry = entries.pop_front();
        if !entries.is_empty() {
            self.waiting.insert(digest, entries);
        }
        entry
    }

    /// Removes and returns one request.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        self.remove_where(|entry| entry.request.id == id).pop()
    }

    /// Removes and returns the requests whose deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry> {
        self.remove_where(|entry| entry.request.deadline_ms <= now)
    }

    /// Returns the number of requests of a digest.
    pub fn count(&self, digest: u64) -> usize {
        self.waiting.get(&digest).map_or(0, VecDeque::len)
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the earliest deadline.
    pub fn earliest_deadline_ms(&self) -> Option<Millis> {
        self.waiting
            .values()
            .flatten()
            .map(|entry| entry.request.deadline_ms)
            .min()
    }

    /// Removes and returns the requests for which `predicate` holds.
    pub fn remove_where<Predicate>(&mut self, predicate: Predicate) -> Vec<Entry>
    where
        Predicate: Fn(&Entry) -> bool,
    {
        let mut all_removed = Vec::new();
        for entries in self.waiting.values_mut() {
            let (removed, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(entries).into_iter().partition(&predicate);
            all_removed.extend(removed);
            *entries = kept;
        }
        self.waiting.retain(|_, entries| !entries.is_empty());
        all_removed
    }
}
