//! Steps by which event IDs increase, as seen in the streams of each software version.

use std::num::NonZeroU64;

use indexmap::IndexMap;

use crate::software_version::SoftwareVersion;

/// Largest number of software versions that are remembered.
const MAX_VERSIONS: usize = 64;
/// Number of streams with the same step that show the step of a version.
const MIN_STREAMS: u32 = 4;
/// One uneven stream in so many shows that a version has no step. Fewer come from faulty targets.
const UNEVEN_SHARE: u32 = 8;
/// Number of streams after which older ones count half.
const MAX_STREAMS: u32 = 1_024;

/// Difference of the IDs of successive events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum IdStep {
    /// It was not seen.
    #[default]
    Unknown,
    /// It is always the same.
    Even(NonZeroU64),
    /// It varies.
    Uneven,
}

/// What the streams of one software version have shown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepEvidence {
    step: Option<NonZeroU64>,
    even_streams: u32,
    uneven_streams: u32,
}

impl StepEvidence {
    /// Records the step of a stream when it is first seen, and when it turns out to vary.
    pub fn record(&mut self, step: IdStep) {
        match step {
            IdStep::Unknown => {}
            IdStep::Even(step) if self.step.is_none_or(|known| known == step) => {
                self.step = Some(step);
                self.even_streams += 1;
            }
            // A different step shows as little of the next one as one that varies.
            IdStep::Even(_) | IdStep::Uneven => self.uneven_streams += 1,
        }
        if self.even_streams + self.uneven_streams > MAX_STREAMS {
            self.even_streams /= 2;
            self.uneven_streams /= 2;
        }
    }

    /// Returns the step of the version's streams.
    pub fn step(&self) -> IdStep {
        let streams = self.even_streams + self.uneven_streams;
        if self.uneven_streams > 0 && self.uneven_streams * UNEVEN_SHARE >= streams {
            return IdStep::Uneven;
        }
        let even = self.step.filter(|_| self.even_streams >= MIN_STREAMS);
        even.map_or(IdStep::Unknown, IdStep::Even)
    }
}

/// Steps of the software versions whose streams this node has forwarded.
#[derive(Clone, Debug, Default)]
pub struct IdSteps {
    versions: IndexMap<SoftwareVersion, StepEvidence>,
}

impl IdSteps {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the step of a version.
    pub fn of(&self, version: SoftwareVersion) -> IdStep {
        let evidence = self.versions.get(&version);
        evidence.map_or(IdStep::Unknown, StepEvidence::step)
    }

    /// Records what a stream of a version has shown.
    pub fn record(&mut self, version: SoftwareVersion, step: IdStep) {
        if self.versions.len() >= MAX_VERSIONS && !self.versions.contains_key(&version) {
            self.versions.shift_remove_index(0);
        }
        self.versions.entry(version).or_default().record(step);
    }
}
