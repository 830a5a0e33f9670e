//! Durable record of the software versions that may have begun streams.
//!
//! A node that has just started, or was out of touch, lists the versions that serve now. Which
//! versions served before it cannot conclude from that. The nodes therefore record in the
//! platform's store each version before the first event of a stream from it is delivered, and the
//! time when its last target was gone.
//!
//! Load pattern: all nodes are killed during a release and come back at once, with the callers of
//! all streams that broke off.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::route_hashes::Group;
use crate::route_hashes::RouteHashes;
use crate::software_version::SoftwareVersion;
use crate::stream_versions::STREAM_LIFE_MS;

/// A service and one of the software versions of its targets.
pub type ServiceVersion = (Name, SoftwareVersion);

/// The versions of all services, as of a revision of the record. Times are those of the store's
/// clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRecord {
    /// Era of the store in which the record was written.
    era: u64,
    /// Time from which the record has all versions; `None` if it has all since the first start of
    /// the system.
    complete_from_ms: Option<Millis>,
    versions: Vec<RecordedVersion>,
    /// Hashes of the resumable routes and their services; `None` until a reader records them.
    #[serde(default)]
    route_hashes: Option<RouteHashes>,
    /// Times when groups of routes last changed, if that was lately.
    #[serde(default)]
    group_changes_ms: IndexMap<Group, Millis>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedVersion {
    service: Name,
    version: SoftwareVersion,
    /// Time when none of its targets was listed any more; `None` while any is listed.
    gone_ms: Option<Millis>,
}

/// When and in which era of the store the record is read or written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTime {
    /// Era of the store.
    pub era: u64,
    /// Time of the store's clock.
    pub now_ms: Millis,
}

impl VersionRecord {
    /// Creates a record without versions. It has all versions only from `time` on, unless this is
    /// the first start of the system.
    pub fn new(time: StoreTime, is_first_start: bool) -> Self {
        Self {
            era: time.era,
            complete_from_ms: Some(time.now_ms).filter(|_| !is_first_start),
            versions: Vec::new(),
            route_hashes: None,
            group_changes_ms: IndexMap::new(),
        }
    }

    /// Returns the number of versions that are listed, and of those that are gone.
    pub fn counts(&self) -> (usize, usize) {
        let gone = self
            .versions
            .iter()
            .filter(|recorded| recorded.gone_ms.is_some());
        let gone = gone.count();
        (self.versions.len() - gone, gone)
    }

    /// Returns whether a version is recorded as one that may begin streams now.
    pub fn has(&self, service: &str, version: SoftwareVersion) -> bool {
        self.versions
            .iter()
            .any(|recorded| recorded.is_of(service, version) && recorded.gone_ms.is_none())
    }

    /// Returns the versions of a service that may have begun a stream that can still be resumed;
    /// `None` if the record may lack some.
    pub fn versions(&self, time: StoreTime, service: &str) -> Option<Vec<SoftwareVersion>> {
        let is_recent = |at_ms: Millis| time.now_ms.since(at_ms) < STREAM_LIFE_MS;
        if self.era != time.era || self.complete_from_ms.is_some_and(is_recent) {
            return None;
        }
        let of_service = self.versions.iter().filter(|recorded| {
            recorded.service == service && recorded.gone_ms.is_none_or(is_recent)
        });
        Some(of_service.map(|recorded| recorded.version).collect())
    }

    /// Returns whether the streams that can still be resumed began on these routes, as far as they
    /// are in some groups. While a configuration moves routes to other services, the versions of
    /// their services do not show what began a stream.
    pub fn has_had_routes(&self, time: StoreTime, routes: &RouteHashes, groups: &[Group]) -> bool {
        let Some(recorded) = &self.route_hashes else {
            return false;
        };
        groups.iter().all(|group| {
            let changed_ms = self.group_changes_ms.get(group);
            recorded.agrees(routes, *group)
                && changed_ms.is_none_or(|at_ms| time.now_ms.since(*at_ms) >= STREAM_LIFE_MS)
        })
    }

    /// Returns the record with the resumable routes that are in force from now on.
    #[must_use]
    pub fn with_routes(&self, time: StoreTime, routes: &RouteHashes) -> Self {
        let mut updated = self.clone();
        if let Some(former) = updated.route_hashes.replace(routes.clone())
            && former != *routes
        {
            let changes = &mut updated.group_changes_ms;
            changes.retain(|_, at_ms| time.now_ms.since(*at_ms) < STREAM_LIFE_MS);
            changes.extend(former.differing(routes).map(|group| (group, time.now_ms)));
        }
        updated
    }

    /// Returns the record with more versions that may begin streams from now on.
    ///
    /// A store that was rolled back may have lost versions that came and went.
    #[must_use]
    pub fn with_listed(&self, time: StoreTime, listed: &[ServiceVersion]) -> Self {
        let mut updated = self.clone();
        if updated.era != time.era {
            updated.era = time.era;
            updated.complete_from_ms = Some(time.now_ms);
        }
        for (service, version) in listed {
            let mut versions = updated.versions.iter_mut();
            match versions.find(|recorded| recorded.is_of(service, *version)) {
                Some(recorded) => recorded.gone_ms = None,
                None => updated.versions.push(RecordedVersion {
                    service: service.clone(),
                    version: *version,
                    gone_ms: None,
                }),
            }
        }
        updated
    }

    /// Returns the record in which all versions but those listed are gone from now on. Those that
    /// have been gone for longer than streams last are removed.
    #[must_use]
    pub fn with_others_gone(&self, time: StoreTime, listed: &[ServiceVersion]) -> Self {
        let mut updated = self.clone();
        for recorded in &mut updated.versions {
            let mut listed = listed.iter();
            if !listed.any(|(service, version)| recorded.is_of(service, *version)) {
                recorded.gone_ms.get_or_insert(time.now_ms);
            }
        }
        updated.versions.retain(|recorded| {
            let gone_ms = recorded.gone_ms;
            gone_ms.is_none_or(|gone_ms| time.now_ms.since(gone_ms) < STREAM_LIFE_MS)
        });
        updated
    }
}

impl RecordedVersion {
    fn is_of(&self, service: &str, version: SoftwareVersion) -> bool {
        self.service == service && self.version == version
    }
}
