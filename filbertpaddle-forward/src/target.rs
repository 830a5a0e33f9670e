//! Targets, as listed by the platform and as reported by themselves.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::software_version::SoftwareVersion;

/// Target, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// ID of the target.
    pub id: Name,
    /// Service it belongs to.
    pub service: Name,
    /// Address, as `IP:PORT`.
    pub address: Name,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether the target has announced that it will stop.
    pub is_draining: bool,
    /// Time for which the target stays cold, counted from when the entry was read.
    pub cold_ms: Millis,
    /// Start time in Unix time, which distinguishes incarnations of the target.
    pub started_ms: Option<Millis>,
    /// Version of its software; empty if it is not known.
    #[serde(default)]
    pub version: Name,
}

/// One run of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// ID of the target.
    pub id: Name,
    /// Address, as `IP:PORT`.
    pub address: Name,
    /// Start time in Unix time.
    pub started_ms: Option<Millis>,
}

impl Incarnation {
    /// Returns whether the target has started again since: `other` is a later incarnation.
    pub fn is_before(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms < other.started_ms
    }
}

impl Target {
    /// Returns the incarnation that the entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            id: self.id.clone(),
            address: self.address.clone(),
            started_ms: self.started_ms,
        }
    }

    /// Returns the version of its software among the versions of all services, if it is known.
    pub fn software(&self) -> Option<SoftwareVersion> {
        let is_known = !self.version.is_empty();
        is_known.then(|| self.listed_version())
    }

    /// Returns the version that the target counts as among those listed. Targets of unknown
    /// version count as one more version, at which no stream can be resumed.
    pub fn listed_version(&self) -> SoftwareVersion {
        SoftwareVersion::new(&self.service, &self.version)
    }

    /// Returns whether `other` is the same incarnation of the same target, not a restarted one.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.address == other.address && self.started_ms == other.started_ms
    }
}

/// State that a target reports about itself; some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether the target is about to stop.
    pub is_draining: bool,
    /// Start time in Unix time, if it states one.
    pub started_ms: Option<Millis>,
}
