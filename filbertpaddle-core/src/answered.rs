//! Fingerprints of requests that a node has had answers to.

use indexmap::IndexSet;

/// Largest number of requests, and of parts, that are remembered.
const MAX_ANSWERED: usize = 4_096;

/// Fingerprints that were answered, also if they were accused of crashes since. Those of whole
/// requests are soon too many, and are kept apart so that they don't displace those of parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answered {
    requests: IndexSet<u64>,
    parts: IndexSet<u64>,
}

impl Answered {
    /// Records an answer to a request: the first fingerprint is its own, the others are of parts.
    pub fn record(&mut self, fingerprints: &[u64]) {
        let Some((request, parts)) = fingerprints.split_first() else {
            return;
        };
        insert(&mut self.requests, *request);
        for part in parts {
            insert(&mut self.parts, *part);
        }
    }

    /// Returns whether a fingerprint was answered.
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.parts.contains(&fingerprint) || self.requests.contains(&fingerprint)
    }
}

/// Inserts a fingerprint; when there are too many, the older half is forgotten.
fn insert(answered: &mut IndexSet<u64>, fingerprint: u64) {
    if answered.len() >= MAX_ANSWERED && !answered.contains(&fingerprint) {
        answered.drain(..MAX_ANSWERED / 2);
    }
    answered.insert(fingerprint);
}
