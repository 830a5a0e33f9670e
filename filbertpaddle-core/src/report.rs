//! What a target says of itself.

use crate::clock::Millis;
use crate::slot::WorkKey;

/// Load of a target as of some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// Lower bound, on the reader's clock, of when the numbers were taken.
    pub taken_ms: Millis,
    /// Distinguishes two lives of the target.
    pub incarnation: u64,
    /// Whether the target bears its full load.
    pub warm: bool,
    /// Work that a cold target bears at once.
    pub cold_limit: u32,
    /// Work that a warm target may run at once.
    pub warm_limit: u32,
    /// Work in the batch.
    pub running: u32,
    /// Work waiting for the batch.
    pub waiting: u32,
    /// Preemptions since the target started.
    pub preemptions: u64,
    /// Highest fencing number that the target had obeyed, if it checks them.
    pub fence: Option<u64>,
    /// The work that runs or waits.
    pub works: Vec<WorkKey>,
}
