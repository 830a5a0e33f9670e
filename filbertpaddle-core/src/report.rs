//! Load report of a target.

use crate::clock::Millis;
use crate::slot::WorkKey;

/// A target's load, limits and work at the time when the report was taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// Lower bound, on the reader's clock, of when the report was taken.
    pub taken_ms: Millis,
    /// Differs between two runs of the target's process.
    pub incarnation: u64,
    /// Whether the target has warmed up and can run up to `warm_limit`.
    pub warm: bool,
    /// Work that a cold target may run at once.
    pub cold_limit: u32,
    /// Work that a warm target may run at once.
    pub warm_limit: u32,
    /// Work in the running batch.
    pub running: u32,
    /// Work waiting to join the batch.
    pub waiting: u32,
    /// Preemptions since the target started.
    pub preemptions: u64,
    /// Highest fencing number that the target has accepted, if it checks them.
    pub fence: Option<u64>,
    /// Keys of the work that runs or waits.
    pub works: Vec<WorkKey>,
}
