//! A node's replica of the configuration.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;

use crate::clock::Millis;
use crate::config::Change;
use crate::config::Key;
use crate::config::Setting;
use crate::revision::Revision;

/// Maximum number of recent changes retained for peers that are slightly behind.
pub const MAX_RECENT_CHANGES: usize = 256;
/// Maximum size of the recent changes retained for such peers, in bytes.
pub const MAX_RECENT_BYTES: usize = 1 << 20;
/// Maximum number of changes held after a gap in the revisions.
pub const MAX_OUT_OF_ORDER_CHANGES: usize = 256;
/// Maximum size of all entries together, in bytes; beyond it no entry may be
/// added or grow.
pub const MAX_ENTRIES_BYTES: usize = 48 << 20;
/// Maximum size of the changes in one message, in bytes.
pub const MAX_BATCH_BYTES: usize = 64 * 1024;
/// How long a report of a head that is not reached yet blocks reports of higher
/// heads; replacing it each time would never confirm any during frequent changes.
const HEAD_REPORT_TTL_MS: Millis = Millis::from_secs(5);

/// A report that the table's head was `head` at some time not earlier than `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeadReport {
    head: Revision,
    at: Millis,
}

/// One page of the configuration, ordered by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Page {
    /// Revision up to which the sender's replica has every change.
    pub head: Revision,
    /// The latest change of each key.
    pub changes: Vec<Change>,
    /// Whether this is the last page.
    pub last: bool,
}

/// Progress of a transfer of the whole configuration in pages.
///
/// The sender's replica may change or even restart between pages, so together
/// the pages prove only the lowest of their heads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TransferProgress {
    head: Option<Revision>,
}

/// A node's replica of the configuration.
///
/// No update can move an entry or the head back to a lower revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    entries: BTreeMap<Key, Change>,
    head: Revision,
    out_of_order: BTreeMap<Revision, Change>,
    recent: VecDeque<Change>,
    recent_bytes: usize,
    head_report: Option<HeadReport>,
    current_at: Option<Millis>,
}

impl Replica {
    /// Returns the revision up to which every change is applied.
    pub fn head(&self) -> Revision {
        self.head
    }

    /// Returns the latest time, by the caller's clock, at which the replica is known
    /// to have had every accepted change.
    pub fn current_at(&self) -> Option<Millis> {
        self.current_at
    }

    /// Returns the latest change of a key.
    pub fn get(&self, key: &Key) -> Option<&Change> {
        self.entries.get(key)
    }

    /// Returns the latest change of each key, ordered by key.
    pub fn entries(&self) -> impl Iterator<Item = &Change> {
        self.entries.values()
    }

    /// Returns whether a setting can be added without exceeding the size limit of
    /// all entries.
    pub fn has_room(&self, setting: &Setting) -> bool {
        let before = self.get(&setting.key()).map(|change| &change.setting);
        let before_bytes = before.map_or(0, Setting::size_bytes);
        let grows = setting.size_bytes() > before_bytes;
        !grows || self.size_bytes() - before_bytes + setting.size_bytes() <= MAX_ENTRIES_BYTES
    }

    /// Returns the approximate size of all entries, in bytes.
    pub fn size_bytes(&self) -> usize {
        let sizes = self.entries().map(|change| change.setting.size_bytes());
        sizes.sum()
    }

    /// Applies one change; returns whether it was new to the replica.
    pub fn apply(&mut self, change: &Change) -> bool {
        if change.revision <= self.head || self.out_of_order.contains_key(&change.revision) {
            return false;
        }
        let merged = self.merge(change);
        if change.revision != self.head.next()
            && self.out_of_order.len() >= MAX_OUT_OF_ORDER_CHANGES
        {
            return merged;
        }
        self.out_of_order.insert(change.revision, change.clone());
        self.advance();
        true
    }

    /// Applies a page of a transfer; returns whether it contained anything new.
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

    /// Records that the table's head was `head` at some time not earlier than `at`.
    ///
    /// `at` must not be later than the time at which the head was requested.
    pub fn confirm_head(&mut self, head: Revision, at: Millis) {
        let replaces =
            |report: HeadReport| head <= report.head || at > report.at + HEAD_REPORT_TTL_MS;
        if self.head >= head {
            self.current_at = self.current_at.max(Some(at));
        } else if self.head_report.is_none_or(replaces) {
            self.head_report = Some(HeadReport { head, at });
        }
    }

    /// Returns the changes after `head`, or `None` if some are no longer retained.
    ///
    /// The batch is cut off at [`MAX_BATCH_BYTES`].
    pub fn changes_after(&self, head: Revision) -> Option<Vec<Change>> {
        if head >= self.head {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.revision;
        if first > head.next() {
            return None;
        }
        let newer = self.recent.iter().filter(|change| change.revision > head);
        Some(take_batch(newer).0)
    }

    /// Returns the page of entries after a key.
    pub fn page(&self, after: Option<&Key>) -> Page {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let newer = self
            .entries
            .range::<Key, _>((start, Bound::Unbounded))
            .map(|(_, change)| change);
        let (changes, last) = take_batch(newer);
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
        while let Some(change) = self.out_of_order.remove(&self.head.next()) {
            self.head = change.revision;
            self.retain_recent(change);
        }
        self.check_head_report();
    }

    fn raise_head(&mut self, head: Revision) {
        if head <= self.head {
            return;
        }
        self.head = head;
        self.out_of_order = self.out_of_order.split_off(&head.next());
        self.recent.clear();
        self.recent_bytes = 0;
        self.advance();
    }

    fn retain_recent(&mut self, change: Change) {
        self.recent_bytes += change.setting.size_bytes();
        self.recent.push_back(change);
        while self.recent.len() > MAX_RECENT_CHANGES || self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                return;
            };
            self.recent_bytes -= oldest.setting.size_bytes();
        }
    }

    fn check_head_report(&mut self) {
        if let Some(report) = self.head_report
            && self.head >= report.head
        {
            self.head_report = None;
            self.current_at = self.current_at.max(Some(report.at));
        }
    }
}

/// Collects changes up to [`MAX_BATCH_BYTES`] and returns whether those were all.
fn take_batch<'a, I>(changes: I) -> (Vec<Change>, bool)
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
