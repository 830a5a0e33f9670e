//! Whether a target goes on after it has ended a response together with its connection.
//!
//! The kernel ends the connections of a process that exits in order too. So such a response is
//! whole only if the target goes on, which is asked for afterwards.

use filbertpaddle_core::clock::Millis;

use crate::target::Report;
use crate::target::Target;

/// What was found at the address of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// No connection was accepted.
    Unreached,
    /// A connection was accepted, by a target that offers no report.
    Accepted,
    /// A connection was accepted and closed without an answer.
    Closed,
    /// A connection was accepted, and no answer came in time.
    Silent,
    /// What answers has failed, as proxies do that do not reach a target, or is another target.
    Failed,
    /// What answers sends no report.
    Unknown,
    /// A report.
    Report(Report),
}

impl Finding {
    /// Returns whether `target` may go on. A sound target may be slow to report, but it does not
    /// refuse to.
    pub fn shows_sound(self, target: &Target) -> bool {
        match self {
            Self::Unreached | Self::Closed | Self::Failed => false,
            Self::Accepted | Self::Silent | Self::Unknown => true,
            Self::Report(_) => self.restarted_ms(target).is_none(),
        }
    }

    /// Returns the start time, in Unix time, of a later incarnation than `target` at its address.
    pub fn restarted_ms(self, target: &Target) -> Option<Millis> {
        let Self::Report(report) = self else {
            return None;
        };
        let listed_ms = target.started_ms?;
        report
            .started_ms
            .filter(|started_ms| listed_ms < *started_ms)
    }
}
