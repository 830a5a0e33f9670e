//! Which versions of a service may get requests, and which of the new targets take them.
//! Load pattern: a version that is bad only at a target's usual load.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rollout_record::RolloutRecord;

/// Time for which a version without an order gets no requests, so that its order can arrive.
const ORDER_WAIT_MS: Millis = Millis(3_000);

/// Number of listed targets of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionCount {
    /// Version; empty if it is not known.
    pub version: Name,
    /// Targets of it.
    pub targets: usize,
}

/// Target of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewTarget<'a> {
    /// ID of the target.
    pub id: &'a Name,
    /// Data centre of the target.
    pub data_centre: &'a Name,
}

/// Why a version gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    /// Its order was withdrawn or replaced. It still serves if nothing else can.
    Withdrawn,
    /// It is bad.
    RolledBack,
}

/// Versions of a service's listed targets.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionList {
    versions: IndexMap<Name, VersionEntry>,
}

#[derive(Clone, Copy, Debug, Default)]
struct VersionEntry {
    targets: usize,
    most_targets: usize,
    held_until: Millis,
    refused: Option<RefusalCause>,
}

impl VersionEntry {
    fn is_allowed(&self, now: Millis) -> bool {
        self.refused.is_none() && now >= self.held_until
    }
}

impl VersionList {
    /// Applies the list; a new version other than the first ones and the ordered one is held back.
    pub(crate) fn update(&mut self, now: Millis, listed: &[VersionCount], ordered: Option<&Name>) {
        // An order may arrive before the targets.
        let is_first = self.versions.values().all(|entry| entry.targets == 0);
        let is_listed = |name: &Name| listed.iter().any(|count| count.version == *name);
        self.versions
            .retain(|name, _| is_listed(name) || ordered == Some(name));
        for entry in self.versions.values_mut() {
            entry.targets = 0;
        }
        for count in listed {
            let entry = self.versions.entry(count.version.clone());
            let entry = entry.or_insert_with(|| VersionEntry {
                held_until: if is_first {
                    Millis::ZERO
                } else {
                    now + ORDER_WAIT_MS
                },
                ..VersionEntry::default()
            });
            entry.targets = count.targets;
            entry.most_targets = entry.most_targets.max(count.targets);
        }
    }

    /// Returns the versions that targets have.
    pub(crate) fn names(&self) -> Vec<Name> {
        let listed = self.versions.iter().filter(|(_, entry)| entry.targets > 0);
        listed.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of targets of a version.
    pub(crate) fn targets(&self, version: &str) -> usize {
        self.versions.get(version).map_or(0, |entry| entry.targets)
    }

    /// Returns the number of targets of other versions that serve: withdrawn ones only if nothing
    /// else can.
    pub(crate) fn others(&self, version: &str) -> usize {
        let count = |refused: Option<RefusalCause>| -> usize {
            let others = self.versions.iter().filter(|(name, _)| ***name != *version);
            others
                .filter(|(_, entry)| entry.refused == refused)
                .map(|(_, entry)| entry.targets)
                .sum()
        };
        match count(None) {
            0 => count(Some(RefusalCause::Withdrawn)),
            others => others,
        }
    }

    /// Returns whether targets of other versions may get requests.
    pub(crate) fn has_other(&self, version: &str) -> bool {
        self.others(version) > 0
    }

    /// Records that an order names the version.
    pub(crate) fn start(&mut self, version: &Name) {
        let entry = self.versions.entry(version.clone()).or_default();
        entry.refused = None;
        entry.held_until = Millis::ZERO;
        entry.most_targets = entry.targets;
    }

    /// Records that the roll-out of the version is completed. If this node `was_running` it, the
    /// other listed versions are the old ones, whose targets may stop. Else they may be later ones,
    /// and are held back for a while only.
    pub(crate) fn complete(&mut self, now: Millis, version: &Name, was_running: bool) {
        for entry in self.versions.values_mut() {
            entry.held_until = now + ORDER_WAIT_MS;
            if was_running && entry.refused.is_none() {
                entry.refused = Some(RefusalCause::Withdrawn);
            }
        }
        self.start(version);
    }

    /// Records that the version gets no requests until its targets are gone.
    pub(crate) fn refuse(&mut self, version: &Name, cause: RefusalCause) {
        let entry = self.versions.entry(version.clone()).or_default();
        entry.refused = Some(cause);
    }

    /// Returns whether the version may get requests without an order. A version that is `ordered`
    /// takes none of these requests, so a withdrawn one may serve beside it.
    pub(crate) fn is_allowed(&self, now: Millis, version: &str, ordered: Option<&Name>) -> bool {
        let Some(entry) = self.versions.get(version) else {
            return self.versions.is_empty();
        };
        if entry.is_allowed(now) {
            return true;
        }
        let is_bad = entry.refused == Some(RefusalCause::RolledBack);
        let mut others = self
            .versions
            .iter()
            .filter(|(name, _)| ordered != Some(*name));
        !is_bad && !others.any(|(_, other)| other.targets > 0 && other.is_allowed(now))
    }

    /// Returns whether targets of any version are held back or refused now.
    pub(crate) fn has_restrictions(&self, now: Millis) -> bool {
        let mut entries = self.versions.values();
        entries.any(|entry| entry.targets > 0 && !entry.is_allowed(now))
    }

    /// Returns the largest share, in thousandths, that the remaining targets of the version can
    /// take: all of it while at least half of them are there.
    pub(crate) fn share_limit(&self, version: &str) -> u32 {
        let Some(entry) = self.versions.get(version) else {
            return 0;
        };
        let limit = 2_000 * entry.targets / entry.most_targets.max(1);
        limit.min(1_000) as u32
    }
}

/// Returns the targets that take the new version's share: as many as give each about the load
/// of an old target, alternating between the data centres. All nodes with the same list agree.
pub fn used_targets(
    record: &RolloutRecord,
    targets: &[NewTarget<'_>],
    old_targets: usize,
) -> Vec<Name> {
    let seed = record.ordered.number;
    let hash = |name: &Name| xxh3_64_with_seed(name.as_bytes(), seed);
    let mut sorted: Vec<(u64, &NewTarget<'_>)> = targets
        .iter()
        .map(|target| (hash(target.id), target))
        .collect();
    sorted.sort_by_key(|(hash, target)| (*hash, target.id.clone()));
    let mut by_data_centre: IndexMap<&Name, usize> = IndexMap::new();
    let mut places: Vec<(usize, u64, &Name)> = Vec::with_capacity(sorted.len());
    for (_, target) in sorted {
        let place = by_data_centre.entry(target.data_centre).or_default();
        places.push((*place, hash(target.data_centre), target.id));
        *place += 1;
    }
    places.sort();
    let is_all = record.share_per_mille >= 1_000 || old_targets == 0;
    let needed = (record.share_per_mille as usize * old_targets).div_ceil(1_000);
    let used = if is_all { places.len() } else { needed.max(1) };
    places
        .into_iter()
        .take(used)
        .map(|(_, _, id)| id.clone())
        .collect()
}
