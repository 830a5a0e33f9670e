//! Software versions that wrote the first events of streams, by the caller's attempt.
//!
//! A caller that resumes a stream names that attempt and may come to any node. The node that
//! delivered the first event therefore passes the version on to some others, which are found by
//! a hash of the attempt.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::software_version::SoftwareVersion;

/// Number of nodes, besides the one that delivered the first event, that keep its version while
/// targets of the service have different ones.
pub const KEEPERS: usize = 2;
/// The same while they all have one version, which the store's record shows as well.
pub const KEEPERS_OF_ONE_VERSION: usize = 1;
/// Number of nodes that are asked: the keepers, and those that may have taken their places in
/// the list of nodes since.
pub const ASKED_NODES: usize = 4;
/// Number of streams at which the older half of them is forgotten.
const MAX_STREAMS: usize = 16_384;

/// Returns the key of an attempt.
pub fn attempt_key(attempt: &str) -> u64 {
    xxh3_64(attempt.as_bytes())
}

/// Returns the `count` nodes that keep or are asked for the version of an attempt's stream: those
/// with the lowest hashes of attempt and name, without the asking node itself.
pub fn nodes_for<'a, N>(attempt: &str, own: &Name, nodes: N, count: usize) -> Vec<&'a Name>
where
    N: Iterator<Item = &'a Name>,
{
    let seed = attempt_key(attempt);
    let mut lowest: Vec<(u64, &Name)> = Vec::with_capacity(count + 1);
    for node in nodes.filter(|node| *node != own) {
        let hash = xxh3_64_with_seed(node.as_bytes(), seed);
        let index = lowest.partition_point(|other| *other < (hash, node));
        if index < count {
            lowest.insert(index, (hash, node));
            lowest.truncate(count);
        }
    }
    lowest.into_iter().map(|(_, node)| node).collect()
}

/// What is known of the software version that wrote the first event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It is this one.
    Version(SoftwareVersion),
    /// It may be another one than was listed: the target had started again by then.
    Unknown,
}

/// Versions of the streams that this node has served or keeps for others.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    /// Origin by attempt key, oldest first.
    origins: IndexMap<u64, Origin>,
}

impl StreamVersions {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records what is known of the version that wrote the first event of an attempt's stream. One
    /// that was found to be unknown stays so: what other nodes keep may be older.
    pub fn record(&mut self, attempt_key: u64, origin: Origin) {
        if self.get(attempt_key) == Some(Origin::Unknown) {
            return;
        }
        if self.origins.len() >= MAX_STREAMS {
            self.origins.drain(..MAX_STREAMS / 2);
        }
        self.origins.insert(attempt_key, origin);
    }

    /// Returns what is known of the version that wrote the first event of an attempt's stream.
    pub fn get(&self, attempt_key: u64) -> Option<Origin> {
        self.origins.get(&attempt_key).copied()
    }
}

/// Software versions that targets of each service have had recently.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Time until which a version was listed, by service and version.
    listed_ms: IndexMap<(Name, SoftwareVersion), Millis>,
    /// Versions that are listed now.
    listed: Vec<(Name, SoftwareVersion)>,
}

/// Time for which a stream that a target of a version began may still be resumed.
pub const STREAM_LIFE_MS: Millis = Millis::from_secs(120);

impl VersionHistory {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the versions that are listed from `now` on; returns whether they have changed.
    pub fn update<L>(&mut self, now: Millis, listed: L) -> bool
    where
        L: Iterator<Item = (Name, SoftwareVersion)>,
    {
        let former = std::mem::take(&mut self.listed);
        for entry in listed {
            if !self.listed.contains(&entry) {
                self.listed.push(entry);
            }
        }
        let is_listed = |entry: &(Name, SoftwareVersion)| self.listed.contains(entry);
        let is_changed = former.len() != self.listed.len() || !former.iter().all(is_listed);
        for entry in former {
            self.listed_ms.insert(entry, now);
        }
        self.listed_ms
            .retain(|_, listed_ms| now.since(*listed_ms) < STREAM_LIFE_MS);
        is_changed
    }

    /// Returns the services and versions that are listed now.
    pub fn listed(&self) -> &[(Name, SoftwareVersion)] {
        &self.listed
    }

    /// Returns the versions that targets of a service have or had recently.
    pub fn versions(&self, now: Millis, service: &str) -> Vec<SoftwareVersion> {
        let recent = self.listed_ms.iter();
        let recent = recent.filter(|(_, listed_ms)| now.since(**listed_ms) < STREAM_LIFE_MS);
        let mut versions = Vec::new();
        for (name, version) in self.listed.iter().chain(recent.map(|(entry, _)| entry)) {
            if name == service && !versions.contains(version) {
                versions.push(*version);
            }
        }
        versions
    }

    /// Returns whether targets of a service have or recently had different versions.
    pub fn is_mixed(&self, now: Millis, service: &str) -> bool {
        self.versions(now, service).len() > 1
    }
}
