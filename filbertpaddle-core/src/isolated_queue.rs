//! Queued requests that must not run beside just any other work.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::ask::Id as AskId;
use crate::clock::Millis;
use crate::queue::Entry;

/// Requests whose request is a suspect or already runs often enough, by digest.
#[derive(Clone, Debug, Default)]
pub struct IsolatedQueue {
    waiting: IndexMap<u64, VecDeque<Entry>>,
}

impl IsolatedQueue {
    /// Adds a request behind the others of its digest.
    pub fn push(&mut self, entry: Entry) {
        self.waiting
            .entry(entry.request.digest)
            .or_default()
            .push_back(entry);
    }

    /// Returns up to `count` requests to try, one of each digest.
    pub fn heads(&self, count: usize) -> Vec<&Entry> {
        self.waiting
            .values()
            .filter_map(VecDeque::front)
            .take(count)
            .collect()
    }

    /// Takes the first request of a digest, which then waits behind the others.
    pub fn take(&mut self, digest: u64) -> Option<Entry> {
        let mut entries = self.waiting.shift_remove(&digest)?;
        let entry = entries.pop_front();
        if !entries.is_empty() {
            self.waiting.insert(digest, entries);
        }
        entry
    }

    /// Removes all requests of a digest.
    pub fn take_all(&mut self, digest: u64) -> VecDeque<Entry> {
        self.waiting.shift_remove(&digest).unwrap_or_default()
    }

    /// Removes one request.
    pub fn remove(&mut self, id: AskId) -> Option<Entry> {
        self.extract(|entry| entry.request.id == id).pop()
    }

    /// Removes and returns the requests whose deadline has come.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry> {
        self.extract(|entry| entry.request.deadline_ms <= now)
    }

    /// Number of requests of a digest.
    pub fn count(&self, digest: u64) -> usize {
        self.waiting.get(&digest).map_or(0, VecDeque::len)
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the earliest deadline.
    pub fn first_deadline_ms(&self) -> Option<Millis> {
        self.waiting
            .values()
            .flatten()
            .map(|entry| entry.request.deadline_ms)
            .min()
    }

    fn extract<Filter>(&mut self, filter: Filter) -> Vec<Entry>
    where
        Filter: Fn(&Entry) -> bool,
    {
        let mut taken = Vec::new();
        for entries in self.waiting.values_mut() {
            let (out, kept): (VecDeque<_>, VecDeque<_>) =
                std::mem::take(entries).into_iter().partition(&filter);
            taken.extend(out);
            *entries = kept;
        }
        self.waiting.retain(|_, entries| !entries.is_empty());
        taken
    }
}
