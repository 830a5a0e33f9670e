//! Quota of bytes that many holders share, and who is evicted once they exceed it.
//!
//! Load pattern: many peers each send a part of something and stop, or go on without end. Each
//! stays within a limit of its own, and together they would fill the memory.

use indexmap::IndexMap;

/// A holder is not evicted up to an equal share divided by this.
const SPARED_DIVISOR: usize = 2;

/// Identifies a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HolderId(u64);

/// Bytes by holder.
#[derive(Clone, Debug)]
pub struct ByteQuota {
    max_bytes: usize,
    used_bytes: usize,
    holders: IndexMap<HolderId, Holder>,
    last_id: u64,
    /// Number of times that a holder has grown.
    growths: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    bytes: usize,
    /// Number of its last growth among those of all holders.
    last_growth: u64,
}

impl ByteQuota {
    /// Creates a quota of which nothing is used.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            holders: IndexMap::new(),
            last_id: 0,
            growths: 0,
        }
    }

    /// Adds a holder that holds nothing.
    pub fn add_holder(&mut self) -> HolderId {
        self.last_id += 1;
        let id = HolderId(self.last_id);
        self.holders.insert(id, Holder::default());
        id
    }

    /// Removes a holder with what it holds.
    pub fn remove(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.swap_remove(&id) {
            self.used_bytes -= holder.bytes;
        }
    }

    /// Sets what a holder holds; returns the holders that are evicted, which may include it.
    ///
    /// Of the holders with more than half an equal share, the one that has not grown for longest is
    /// evicted first: it waits for a peer that sends nothing. One that is alone stays.
    pub fn set(&mut self, id: HolderId, bytes: usize) -> Vec<HolderId> {
        let Some(holder) = self.holders.get_mut(&id) else {
            return vec![id];
        };
        if bytes > holder.bytes {
            self.growths += 1;
            holder.last_growth = self.growths;
        }
        self.used_bytes = self.used_bytes - holder.bytes + bytes;
        holder.bytes = bytes;
        let mut evicted = Vec::new();
        while self.used_bytes > self.max_bytes
            && let Some(next) = self.next_evicted()
        {
            self.remove(next);
            evicted.push(next);
        }
        evicted
    }

    /// Returns the number of bytes that all hold.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn next_evicted(&self) -> Option<HolderId> {
        let sharing = || self.holders.iter().filter(|(_, holder)| holder.bytes > 0);
        let holders = sharing().count();
        if holders < 2 {
            return None;
        }
        let spared_bytes = self.max_bytes / holders / SPARED_DIVISOR;
        let large = sharing().filter(|(_, holder)| holder.bytes > spared_bytes);
        let stalled = large.min_by_key(|(_, holder)| holder.last_growth);
        stalled.map(|(id, _)| *id)
    }
}
