//! The listed targets, and the removals and listings that are deferred.
//!
//! Entries of live targets are missing from the store for a while after an outage, in which
//! they expire, and after a rollback to an older copy, which lacks the newest ones. The
//! older copy also lists targets that have gone since.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::change::Batch;
use crate::change::Change;
use crate::change::Entry;
use crate::leaving_targets::LeavingTargets;
use crate::revision::Revision;
use crate::target::Incarnation;
use crate::target::Target;

/// Maximum number of removed targets that are remembered, so that an outdated copy of an
/// entry does not list a target again.
const MAX_TOMBSTONES: usize = 1_024;

/// Time in which a running target writes its entry again: three of its intervals. A write of its
/// former incarnation may be performed later than its first one.
const MAX_SILENCE_MS: Millis = Millis(3_600);

/// Source of the sequence numbers that a node assigns to the changes that it applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence(u64);

impl Sequence {
    /// Returns the last assigned number.
    pub fn last(self) -> u64 {
        self.0
    }

    /// Assigns the next number.
    pub fn assign(&mut self) -> u64 {
        self.0 += 1;
        self.0
    }
}

/// A listed target.
#[derive(Clone, Debug)]
struct ListedTarget {
    revision: Revision,
    sequence: u64,
    target: Target,
    read_ms: Millis,
    /// Removal that has not taken effect yet.
    removal: Option<DeferredRemoval>,
}

/// Removal that takes effect later, unless the target is listed again before.
#[derive(Clone, Copy, Debug)]
struct DeferredRemoval {
    revision: Revision,
    effective_at_ms: Millis,
}

/// Listing that takes effect later, unless the target is removed before.
#[derive(Clone, Debug)]
struct DeferredListing {
    target: Target,
    revision: Revision,
    effective_at_ms: Millis,
}

/// A removed target.
#[derive(Clone, Debug)]
struct Tombstone {
    revision: Revision,
    sequence: u64,
    incarnation: Incarnation,
}

/// Period in which removals are deferred.
#[derive(Clone, Copy, Debug, Default)]
struct RemovalDeferral {
    until_ms: Millis,
    /// Last revision whose removals are deferred: that of the first batch. `None` until that
    /// batch arrives.
    last_revision: Option<Revision>,
}

/// The targets that a node knows.
#[derive(Clone, Debug, Default)]
pub struct TargetList {
    listed: IndexMap<Name, ListedTarget>,
    tombstones: IndexMap<Name, Tombstone>,
    /// Removed targets that an older copy of the store lists again.
    relisted: IndexMap<Name, DeferredListing>,
    leaving: LeavingTargets,
    /// Services that the configuration in force names.
    services: IndexSet<Name>,
    deferral: RemovalDeferral,
    /// End of the time in which targets write their entries again after a rollback.
    rewrite_until_ms: Millis,
}

impl ListedTarget {
    /// Returns the revision of the last change of the entry, including a deferred removal.
    fn latest_revision(&self) -> Revision {
        let removal = self.removal.map(|removal| removal.revision);
        removal.unwrap_or(self.revision)
    }
}

impl TargetList {
    /// Returns the listed targets and the time when the entry of each was read.
    pub fn iter(&self) -> impl Iterator<Item = (&Target, Millis)> {
        let listed = self.listed.values();
        listed.map(|listed| (&listed.target, listed.read_ms))
    }

    /// Returns the listed target with an ID.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.listed.get(id).map(|listed| &listed.target)
    }

    /// Returns the targets that have announced that they leave.
    pub fn leaving(&self) -> &LeavingTargets {
        &self.leaving
    }

    /// Sets the services that the configuration in force names.
    pub fn set_services(&mut self, services: IndexSet<Name>) {
        self.services = services;
    }

    /// Defers removals until `until_ms`: those up to the revision of the next batch.
    pub fn defer_removals(&mut self, until_ms: Millis) {
        self.deferral = RemovalDeferral {
            until_ms,
            last_revision: None,
        };
    }

    /// Starts the time in which targets write their entries again after a rollback.
    pub fn begin_rewrite(&mut self, until_ms: Millis) {
        self.rewrite_until_ms = until_ms;
        self.defer_removals(until_ms);
    }

    /// Records the revision of a batch whose changes follow.
    pub fn begin_batch(&mut self, revision: Revision) {
        self.deferral.last_revision.get_or_insert(revision);
    }

    /// Records that a target has announced that it leaves; returns whether it was not known
    /// to leave.
    pub fn mark_draining(&mut self, incarnation: &Incarnation) -> bool {
        let is_new = self.leaving.record_reported(incarnation);
        let listed = self.listed.get_mut(&incarnation.id);
        match listed.filter(|listed| listed.target.incarnation() == *incarnation) {
            Some(listed) => !std::mem::replace(&mut listed.target.is_draining, true),
            None => is_new,
        }
    }

    /// Lists a target or updates its entry.
    pub fn upsert(
        &mut self,
        now: Millis,
        sequence: &mut Sequence,
        revision: Revision,
        target: &Target,
        changed: &mut Vec<Name>,
    ) {
        if self.is_outdated(now, revision, target) || self.defer_listing(now, revision, target) {
            return;
        }
        if !self.evict_from_address(now, sequence, revision, target, changed) {
            return;
        }
        let mut target = target.clone();
        if target.is_draining {
            self.leaving.record_listed(&target.incarnation());
        } else {
            target.is_draining = self.leaving.contains(&target.incarnation());
        }
        self.keep_cold(now, &mut target);
        let id = target.id.clone();
        self.tombstones.shift_remove(&id);
        changed.push(id.clone());
        let listed = ListedTarget {
            revision,
            sequence: sequence.assign(),
            target,
            read_ms: now,
            removal: None,
        };
        self.listed.insert(id, listed);
    }

    /// Removes a target, now or after the time in which it may list itself again.
    pub fn remove(
        &mut self,
        now: Millis,
        sequence: &mut Sequence,
        revision: Revision,
        id: &Name,
        changed: &mut Vec<Name>,
    ) {
        self.relisted.shift_remove(id);
        let Some(known) = self.listed.get_mut(id) else {
            return;
        };
        if revision <= known.latest_revision() {
            return;
        }
        let is_in_first_batch = |last: Revision| revision <= last;
        let is_deferred = now < self.deferral.until_ms
            && self.deferral.last_revision.is_none_or(is_in_first_batch);
        if !is_deferred || known.target.is_draining {
            self.delete(sequence, id, revision, changed);
            return;
        }
        let effective_at_ms = known
            .removal
            .map_or(self.deferral.until_ms, |removal| removal.effective_at_ms);
        known.sequence = sequence.assign();
        known.removal = Some(DeferredRemoval {
            revision,
            effective_at_ms,
        });
    }

    /// Removes the targets that a batch with the whole table does not list.
    pub fn remove_missing(
        &mut self,
        now: Millis,
        sequence: &mut Sequence,
        batch: &Batch,
        changed: &mut Vec<Name>,
    ) {
        let in_batch: IndexSet<_> = batch
            .changes
            .iter()
            .filter_map(|change| match &change.entry {
                Entry::Target(target) => Some(&target.id),
                _ => None,
            })
            .collect();
        let is_missing = |id: &&Name| !in_batch.contains(*id);
        let missing: Vec<_> = self.listed.keys().filter(is_missing).cloned().collect();
        for id in missing {
            self.remove(now, sequence, batch.revision, &id, changed);
        }
    }

    /// Applies the deferred removals and listings that are due.
    pub fn apply_due(&mut self, now: Millis, sequence: &mut Sequence, changed: &mut Vec<Name>) {
        let due: Vec<_> = self
            .listed
            .iter()
            .filter_map(|(id, listed)| Some((id.clone(), listed.removal?)))
            .filter(|(_, removal)| removal.effective_at_ms <= now)
            .collect();
        for (id, removal) in due {
            self.delete(sequence, &id, removal.revision, changed);
        }
        let is_due = |listing: &&DeferredListing| listing.effective_at_ms <= now;
        let due: Vec<_> = self.relisted.values().filter(is_due).cloned().collect();
        for listing in due {
            self.relisted.shift_remove(&listing.target.id);
            self.upsert(now, sequence, listing.revision, &listing.target, changed);
        }
    }

    /// Returns the changes after the change with number `after`, or all entries if it is 0.
    pub fn changes_after(&self, after: u64) -> Vec<Change> {
        let listed = self
            .listed
            .values()
            .filter(|listed| listed.sequence > after)
            .map(|listed| match listed.removal {
                // A follower that was not cut off from the store can apply it at once.
                Some(removal) if after > 0 => Change {
                    revision: removal.revision,
                    entry: Entry::NoTarget(listed.target.id.clone()),
                },
                _ => Change {
                    revision: listed.revision,
                    entry: Entry::Target(listed.target.clone()),
                },
            });
        let removed = self
            .tombstones
            .iter()
            .filter(|(_, tombstone)| after > 0 && tombstone.sequence > after)
            .map(|(id, tombstone)| Change {
                revision: tombstone.revision,
                entry: Entry::NoTarget(id.clone()),
            });
        listed.chain(removed).collect()
    }

    /// Returns whether a later entry, removal or incarnation of a target is known.
    fn is_outdated(&self, now: Millis, revision: Revision, target: &Target) -> bool {
        let incarnation = target.incarnation();
        let tombstone = self.tombstones.get(&target.id);
        let known = self.listed.get(&target.id);
        let is_later_known = known.is_some_and(|known| {
            let is_restarted = incarnation.is_before(&known.target.incarnation());
            let may_be_late = now < known.read_ms + MAX_SILENCE_MS && target.started_ms.is_some();
            revision <= known.latest_revision()
                || is_restarted && (may_be_late || self.is_rewriting(now))
        });
        let is_later_removed = tombstone.is_some_and(|tombstone| {
            let is_restarted = incarnation.is_before(&tombstone.incarnation);
            revision <= tombstone.revision || self.is_rewriting(now) && is_restarted
        });
        is_later_known || is_later_removed
    }

    /// Defers the listing of a target that is known to have gone and that only the older copy
    /// of the store lists; returns whether it is deferred. A live target writes its entry
    /// again, which lists it at once.
    fn defer_listing(&mut self, now: Millis, revision: Revision, target: &Target) -> bool {
        let tombstone = self.tombstones.get(&target.id);
        let has_gone =
            tombstone.is_some_and(|tombstone| tombstone.incarnation == target.incarnation());
        let deferred = self.relisted.get(&target.id);
        let is_rewritten = deferred.is_some_and(|listing| listing.revision < revision);
        if !self.is_rewriting(now) || !has_gone || is_rewritten {
            self.relisted.shift_remove(&target.id);
            return false;
        }
        let listing = DeferredListing {
            target: target.clone(),
            revision,
            effective_at_ms: self.rewrite_until_ms,
        };
        self.relisted.insert(target.id.clone(), listing);
        true
    }

    /// Removes older targets at a target's address. A crashed target stays listed until its
    /// entry expires, and another may have started at its address by then.
    ///
    /// Returns `false` if `target` is itself older than another one at the address.
    fn evict_from_address(
        &mut self,
        now: Millis,
        sequence: &mut Sequence,
        revision: Revision,
        target: &Target,
        changed: &mut Vec<Name>,
    ) -> bool {
        let is_rewriting = self.is_rewriting(now);
        let others: Vec<_> = self
            .listed
            .values()
            .filter(|listed| listed.target.address == target.address)
            .filter(|listed| listed.target.id != target.id)
            .filter(|listed| self.may_replace(&listed.target, target))
            .map(|listed| {
                (
                    listed.target.id.clone(),
                    listed.revision,
                    listed.target.started_ms,
                )
            })
            .collect();
        // After a rollback, revisions do not show which of two targets started later.
        let is_newer = |other: Revision, started_ms: Option<Millis>| {
            other > revision || is_rewriting && started_ms > target.started_ms
        };
        if others
            .iter()
            .any(|(_, other, started)| is_newer(*other, *started))
        {
            return false;
        }
        for (id, other, _) in others {
            self.delete(sequence, &id, other, changed);
        }
        true
    }

    /// Returns whether one of two targets at an address takes it from the other. An entry of a
    /// service that the configuration does not name may come from any writer and shows nothing
    /// about the targets of others.
    fn may_replace(&self, one: &Target, other: &Target) -> bool {
        let is_named = |target: &Target| self.services.contains(&target.service);
        one.service == other.service || is_named(one) && is_named(other)
    }

    /// Keeps a target cold for as long as its previous entry stated. After a rollback, the
    /// entry may be from before the target became cold.
    fn keep_cold(&self, now: Millis, target: &mut Target) {
        let known = self.listed.get(&target.id);
        let Some(known) = known.filter(|known| known.target.is_same_incarnation(target)) else {
            return;
        };
        if self.is_rewriting(now) {
            let left_ms = (known.read_ms + known.target.cold_ms).since(now);
            target.cold_ms = target.cold_ms.max(left_ms);
        }
    }

    fn delete(
        &mut self,
        sequence: &mut Sequence,
        id: &Name,
        revision: Revision,
        changed: &mut Vec<Name>,
    ) {
        let Some(removed) = self.listed.shift_remove(id) else {
            return;
        };
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
        let tombstone = Tombstone {
            revision,
            sequence: sequence.assign(),
            incarnation: removed.target.incarnation(),
        };
        self.tombstones.insert(id.clone(), tombstone);
        changed.push(id.clone());
    }

    fn is_rewriting(&self, now: Millis) -> bool {
        now < self.rewrite_until_ms
    }
}
