//! Reasons why a generation, or its stream from one target, ended before it was complete.

use crate::job::Failure;
use crate::reply::Refusal;
use crate::reply::Reply;
use crate::response_writer::CallerGone;

/// Reason why a generation ended before it was complete.
#[derive(Debug)]
pub enum StopReason {
    /// A target answered with an error status, which is forwarded.
    Failed(Box<Reply>),
    /// The node refuses the request.
    Refused(Refusal),
    /// The stream broke off and could not be resumed.
    Broken,
    /// The node stops before the stream has begun.
    Stopping,
    /// The deadline has passed.
    TimedOut,
    /// The caller closed its connection.
    CallerGone,
}

impl From<CallerGone> for StopReason {
    fn from(_: CallerGone) -> Self {
        Self::CallerGone
    }
}

impl StopReason {
    /// Returns the outcome that is logged for a stream that had begun.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Failed(_) => "failed",
            Self::Refused(_) | Self::Broken => "broken",
            Self::Stopping => "stopping",
            Self::TimedOut => "timed_out",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// Reason why a stream did not start.
#[derive(Debug)]
pub enum OpenError {
    /// The target did not serve it.
    Failed(Failure),
    /// It ended in order, without a length, before any event that follows the caller's last.
    Empty,
    /// The generation ends.
    Stopped(StopReason),
}

impl From<Failure> for OpenError {
    fn from(failure: Failure) -> Self {
        Self::Failed(failure)
    }
}
