//! Queued asks that must not run beside just any other work.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::queue::Entry;
use crate::slot_request::RequestId;

/// Asks whose request is a suspect or already runs often enough, by digest.
#[derive(Clone, Debug, Default)]
pub struct Apart {
    waiting: IndexMap<u64, VecDeque<Entry>>,
}

impl Apart {
    /// Adds an ask behind the others of its digest.
    pub fn push(&mut self, entry: Entry) {
        self.waiting
            .entry(entry.ask.digest)
            .or_default()
            .push_back(entry);
    }

    /// Returns up to `count` asks to try, one of each digest.
    pub fn heads(&self, count: usize) -> Vec<&Entry> {
        self.waiting
            .values()
            .filter_map(VecDeque::front)
            .take(count)
            .collect()
    }

    /// Takes the first ask of a digest, which then waits behind the others.
    pub fn take(&mut self, digest: u64) -> Option<Entry> {
        let mut entries = self.waiting.shift_remove(&digest)?;
        let entry = entries.pop_front();
        if !entries.is_empty() {
            self.waiting.insert(digest, entries);
        }
        entry
    }

    /// Removes all asks of a digest.
    pub fn take_all(&mut self, digest: u64) -> VecDeque<Entry> {
        self.waiting.shift_remove(&digest).unwrap_or_default()
    }

    /// Removes one ask.
    pub fn remove(&mut self, id: RequestId) -> Option<Entry> {
        self.extract(|entry| entry.ask.id == id).pop()
    }

    /// Removes and returns the asks whose deadline has come.
    pub fn expire(&mut self, now: Millis) -> Vec<Entry> {
        self.extract(|entry| entry.ask.deadline_ms <= now)
    }

    /// Number of asks of a digest.
    pub fn count(&self, digest: u64) -> usize {
        self.waiting.get(&digest).map_or(0, VecDeque::len)
    }

    /// Number of asks.
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
            .map(|entry| entry.ask.deadline_ms)
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
