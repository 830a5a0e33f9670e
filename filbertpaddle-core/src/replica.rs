//! A node's copy of the configuration.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::Key;
use crate::config::Setting;
use crate::revision::Revision;

/// Most changes kept for peers that are a little behind.
pub const MAX_RECENT_CHANGES: usize = 256;
/// Most bytes of changes kept for peers that are a little behind.
pub const MAX_RECENT_BYTES: usize = 1 << 20;
/// Most changes kept beyond a gap in the order.
pub const MAX_OUT_OF_ORDER_CHANGES: usize = 256;
/// Most bytes of all entries together, beyond which no entry may be added or grow.
pub const MAX_ENTRIES_BYTES: usize = 48 << 20;
/// Most bytes of changes in one message.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;
/// How long an unmet claim of a higher head blocks a later one.
const CLAIM_MS: Millis = Millis::from_secs(5);

/// A report that the table's head was `head` at some time not before `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Claim {
    head: Revision,
    at: Millis,
}

/// A part of the configuration, in the order of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Page {
    /// Everything up to here is in the sender's copy.
    pub head: Revision,
    /// The last change of each key.
    pub changes: Vec<Change>,
    /// Whether no keys follow.
    pub last: bool,
}

/// A transfer of the whole configuration in pages.
///
/// The pages may come from a copy that changes, or even restarts, meanwhile:
/// what they prove together is the lowest of their heads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TransferProgress {
    head: Option<Revision>,
}

/// A node's copy of the configuration.
///
/// Nothing that arrives can take an entry or the head to a lower revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    entries: BTreeMap<Key, Change>,
    head: Revision,
    ahead: BTreeMap<Revision, Change>,
    recent: VecDeque<Change>,
    recent_bytes: usize,
    claim: Option<Claim>,
    current_at: Option<Millis>,
}

impl Replica {
    /// Returns the revision up to which every change is in force here.
    pub fn head(&self) -> Revision {
        self.head
    }

    /// Returns a time, by the caller's clock, at which no accepted change was missing.
    pub fn current_at(&self) -> Option<Millis> {
        self.current_at
    }

    /// Returns the last change of a key.
    pub fn get(&self, key: &Key) -> Option<&Change> {
        self.entries.get(key)
    }

    /// Returns the last change of each key, in the order of keys.
    pub fn entries(&self) -> impl Iterator<Item = &Change> {
        self.entries.values()
    }

    /// Returns whether a setting fits beside all other entries.
    pub fn has_room(&self, setting: &Setting) -> bool {
        let before = self.get(&setting.key()).map(|change| &change.setting);
        let before_bytes = before.map_or(0, Setting::size_bytes);
        let grows = setting.size_bytes() > before_bytes;
        !grows || self.size_bytes() - before_bytes + setting.size_bytes() <= MAX_ENTRIES_BYTES
    }

    /// Returns about how many bytes all entries take.
    pub fn size_bytes(&self) -> usize {
        let sizes = self.entries().map(|change| change.setting.size_bytes());
        sizes.sum()
    }

    /// Takes one change; returns whether it was new here.
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.revision <= self.head || self.ahead.contains_key(&change.revision) {
            return false;
        }
        let merged = self.merge(change);
        if change.revision != self.head.next() && self.ahead.len() >= MAX_OUT_OF_ORDER_CHANGES {
            return merged;
        }
        self.ahead.insert(change.revision, change.clone());
        self.advance();
        true
    }

    /// Takes a page of a whole transfer; returns whether anything in it was new.
    pub fn apply_page(&mut self, progress: &mut TransferProgress, page: &Page) -> bool {
        let merged = page
            .changes
            .iter()
            .filter(|change| self.merge(change))
            .count();
        let head = progress.head.map_or(page.head, |head| head.min(page.head));
        progress.head = Some(head);
        if page.last {
            progress.head = None;
            self.raise_head(head);
        }
        merged > 0
    }

    /// Takes a report that the table's head was `head` at some time not before `at`.
    ///
    /// `at` must not be later than the moment the report was asked for.
    pub fn confirm(&mut self, head: Revision, at: Millis) {
        let replaces = |claim: Claim| head <= claim.head || at > claim.at + CLAIM_MS;
        if self.head >= head {
            self.current_at = self.current_at.max(Some(at));
        } else if self.claim.is_none_or(replaces) {
            self.claim = Some(Claim { head, at });
        }
    }

    /// Returns the changes after `head`, or `None` if some are no longer kept.
    ///
    /// The batch ends early at [`MAX_BATCH_BYTES`].
    pub fn changes_after(&self, head: Revision) -> Option<Vec<Change>> {
        if head >= self.head {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        if first > head.next() {
            return None;
        }
        let newer = self.recent.iter().filter(|change| change.revision > head);
        Some(batch(newer).0)
    }

    /// Returns the entries after a key.
    pub fn page(&self, after: Option<&Key>) -> Page {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let newer = self
            .entries
            .range::<Key, _>((start, Bound::Unbounded))
            .map(|(_, change)| change);
        let (changes, last) = batch(newer);
        Page {
            head: self.head,
            changes,
            last,
        }
    }

    fn merge(&mut self, change: &Change) -> bool {
        let key = change.setting.key();
        let known = self.entries.get(&key).map(|entry| entry.revision);
        if known >= Some(change.revision) {
            return false;
        }
        self.entries.insert(key, change.clone());
        true
    }

    fn advance(&mut self) {
        while let Some(change) = self.ahead.remove(&self.head.next()) {
            self.head = change.revision;
            self.keep(change);
        }
        self.check_claim();
    }

    fn raise_head(&mut self, head: Revision) {
        if head <= self.head {
            return;
        }
        self.head = head;
        self.ahead = self.ahead.split_off(&head.next());
        self.recent.clear();
        self.recent_bytes = 0;
        self.advance();
    }

    fn keep(&mut self, change: Change) {
        self.recent_bytes += change.setting.size_bytes();
        self.recent.push_back(change);
        while self.recent.len() > MAX_RECENT_CHANGES || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= oldest.setting.size_bytes();
        }
    }

    fn check_claim(&mut self) {
        if let Some(claim) = self.claim
            && self.head >= claim.head
        {
            self.claim = None;
            self.current_at = self.current_at.max(Some(claim.at));
        }
    }
}

/// Takes changes up to [`MAX_BATCH_BYTES`] and returns whether those were all.
fn batch<'a, I>(changes: I) -> (Vec<Change>, bool)
where
    I: Iterator<Item = &'a Change>,
{
    let mut taken = Vec::new();
    let mut bytes = 0;
    for change in changes {
        bytes += change.setting.size_bytes();
        if bytes > MAX_BATCH_BYTES {
            return (taken, false);
        }
        taken.push(change.clone());
    }
    (taken, true)
}
