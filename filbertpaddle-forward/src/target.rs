//! Targets as the platform lists them.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use serde::Deserialize;
use serde::Serialize;

/// One target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identity of the target.
    pub id: Name,
    /// Service it belongs to.
    pub service: Name,
    /// Address, as `IP:PORT`.
    pub address: Name,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub is_draining: bool,
    /// How long it stays cold, from when the entry was read.
    pub cold_ms: Millis,
    /// When it was started, in Unix time; tells two lives of one id apart.
    pub started_ms: Option<Millis>,
}

impl Target {
    /// Whether `other` is the same life of the same target.
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.id == other.id && self.address == other.address && self.started_ms == other.started_ms
    }
}

/// A target's own word of itself, some hundred milliseconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Whether the target is leaving.
    pub is_draining: bool,
}
