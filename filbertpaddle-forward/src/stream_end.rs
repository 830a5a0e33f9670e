//! Whether a stream is complete whose connection ended in order, without a length or a last chunk.
//!
//! Such an end is one by the protocol, but a target that breaks off may end its connection in the
//! same way. Where the stream may be resumed, a target is asked for the events that follow.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

/// Multiple of the latency goal that the answer to a query is awaited, as a first event is.
const QUERY_GOAL_FACTOR: u64 = 2;
/// Longest time that it is awaited. Callers abandon a stream after two seconds without events.
const MAX_QUERY_MS: Millis = Millis(1_400);
/// Shortest time for which a query is sent.
const MIN_QUERY_MS: Millis = Millis(50);
/// Time left after a query without an answer to end the stream before its deadline passes or the
/// node, which takes the last 150 ms of its grace period to exit.
const RESERVE_MS: Millis = Millis(300);
/// Time for which an end that was early counts against others at the same service.
const EARLY_ENDS_MS: Millis = Millis::from_secs(10);

/// End in order of a stream without a length, at a target that goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnstatedEnd {
    /// Whether the stream may be resumed: by its caller, or within the answer.
    pub may_resume: bool,
    /// Whether the route allows one more attempt within the answer.
    pub has_sends_left: bool,
    /// Whether it has gone on from one run to another within the answer.
    pub has_resumed: bool,
    /// Whether the last event has an ID, so that a target can be queried for those that follow it.
    pub is_placed: bool,
    /// Whether the run was a query after another such end, and has sent no further event.
    pub is_confirmation: bool,
}

/// What to do at such an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndStep {
    /// The stream is complete.
    Complete,
    /// A target is to be queried for the events that follow.
    Query,
    /// The stream has broken off.
    CutOff,
}

/// Why a query has brought neither an event nor an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum QueryFailure {
    /// It was too late for it, there was no room, or the budget for retries was used up.
    NotSent,
    /// The target that had closed the stream has failed recently, and so have all others.
    TargetsFailing,
    /// No target has run it.
    NotRun,
    /// No answer came in time, or the node that relayed the connection lost it.
    NoAnswer,
    /// The target answered that it does not serve such a request.
    Declined,
    /// A target may have run it, and answered with a failure or broke off.
    Failed,
    /// The target that had closed the stream has ended.
    TargetEnded,
}

impl UnstatedEnd {
    /// Returns what to do. Two runs that end after the same event agree that it is the last. A
    /// stream that has used up its attempts by going on elsewhere is left to its caller to resume.
    pub fn step(&self) -> EndStep {
        let is_in_doubt = self.is_placed && self.may_resume && !self.is_confirmation;
        match is_in_doubt {
            true if self.has_sends_left => EndStep::Query,
            true if self.has_resumed => EndStep::CutOff,
            _ => EndStep::Complete,
        }
    }
}

impl QueryFailure {
    /// Returns what to do after it. The end counts unless there is a sign against it: a run that
    /// has nothing to send ends at once, and seldom fails before. Early ends at the service are a
    /// sign too, unless a target has declined: the caller can resume the stream.
    pub fn step(self, has_early_ends: bool) -> EndStep {
        match self {
            Self::NotSent | Self::NotRun | Self::NoAnswer if has_early_ends => EndStep::CutOff,
            Self::NotSent | Self::NotRun | Self::NoAnswer | Self::Declined => EndStep::Complete,
            Self::TargetsFailing | Self::Failed | Self::TargetEnded => EndStep::CutOff,
        }
    }
}

/// Services whose targets have closed streams early, as queries have shown.
#[derive(Debug, Default)]
pub struct EarlyEnds {
    seen_ms: IndexMap<Name, Millis>,
}

impl EarlyEnds {
    /// Records that a query has brought events at `now`.
    pub fn record(&mut self, now: Millis, service: &Name) {
        self.seen_ms.insert(service.clone(), now);
    }

    /// Returns whether a query at the service has brought events recently.
    pub fn is_recent(&self, now: Millis, service: &Name) -> bool {
        let seen_ms = self.seen_ms.get(service);
        seen_ms.is_some_and(|seen_ms| now.since(*seen_ms) < EARLY_ENDS_MS)
    }
}

/// Returns how long the answer to a query is awaited on a route with a latency goal, with this
/// time left until the deadline and until the node exits, if it is stopping; `None` if a query would
/// be too late.
pub fn query_timeout_ms(
    goal_ms: Millis,
    remaining_ms: Millis,
    until_exit_ms: Option<Millis>,
) -> Option<Millis> {
    let left_ms = until_exit_ms.map_or(remaining_ms, |exit_ms| exit_ms.min(remaining_ms));
    let usable_ms = Millis(left_ms.0.saturating_sub(RESERVE_MS.0));
    let wanted_ms = Millis(goal_ms.0.saturating_mul(QUERY_GOAL_FACTOR)).min(MAX_QUERY_MS);
    let timeout_ms = wanted_ms.max(MIN_QUERY_MS).min(usable_ms);
    (timeout_ms >= MIN_QUERY_MS).then_some(timeout_ms)
}
