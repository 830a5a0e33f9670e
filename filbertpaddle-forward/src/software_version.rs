//! Software versions of targets. What two versions write does not fit together.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::target::Target;

/// Hash of a service and one of its software versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(u64);

impl SoftwareVersion {
    /// Returns the hash of a version of a service.
    pub fn new(service: &str, version: &str) -> Self {
        let seed = xxh3_64(service.as_bytes());
        Self(xxh3_64_with_seed(version.as_bytes(), seed))
    }
}

/// Which targets may run a stream, by their software version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionBinding {
    /// Any: no event of it has been delivered.
    #[default]
    Free,
    /// Those of the version that wrote its first event.
    Bound(SoftwareVersion),
    /// None: it is not known which version wrote its first event.
    Unknown,
}

impl VersionBinding {
    /// Returns the binding of a stream whose first event came from a target.
    pub fn to_target(target: &Target) -> Self {
        target.software().map_or(Self::Unknown, Self::Bound)
    }

    /// Returns whether a target may run the stream.
    pub fn allows(self, target: &Target) -> bool {
        match self {
            Self::Free => true,
            Self::Bound(version) => target.software() == Some(version),
            Self::Unknown => false,
        }
    }
}
