//! Whether a stream is complete whose connection ended in order, without a length or a last chunk.
//!
//! Such an end is one by the protocol, but a target that breaks off may end its connection in the
//! same way. Where the stream may be resumed, a target is asked for the events that follow.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

/// Multiple of the latency goal that the answer to a query is awaited, as a first event is.
const QUERY_GOAL_FACTOR: u64 = 2;
/// Longest time that it is awaited. Callers abandon a stream after two seconds without events.
const MAX_QUERY_MS: Millis = Millis(1_400);
/// Shortest time for which a query is sent.
const MIN_QUERY_MS: Millis = Millis(50);
/// Time left after a query without an answer to end the stream before its deadline passes or the
/// node, which takes the last 150 ms of its grace period to exit.
const RESERVE_MS: Millis = Millis(300);
/// Targets that have to close a run after the same event for its end to count.
const AGREEING_TARGETS: usize = 2;

/// End in order of a stream without a length, at a target that goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnstatedEnd {
    /// Whether the stream may be resumed: by its caller, or within the answer.
    pub may_resume: bool,
    /// Whether the route allows one more attempt within the answer.
    pub has_sends_left: bool,
    /// Whether the route allows more than one attempt.
    pub allows_retries: bool,
    /// Whether the last event has an ID, so that a target can be queried for those that follow it.
    pub is_placed: bool,
    /// Whether as many targets as needed agree that nothing follows.
    pub is_agreed: bool,
}

/// Targets that have closed a run in order, without a length, before any event after the last.
#[derive(Clone, Debug, Default)]
pub struct EmptyRuns {
    targets: Vec<Name>,
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
    /// Returns what to do. A second end of the same target may be another break, so that two
    /// targets have to agree. A stream in doubt is left to its caller to resume.
    pub fn step(&self) -> EndStep {
        let may_confirm = self.is_placed && self.may_resume && self.allows_retries;
        match may_confirm && !self.is_agreed {
            true if self.has_sends_left => EndStep::Query,
            true => EndStep::CutOff,
            false => EndStep::Complete,
        }
    }
}

impl QueryFailure {
    /// Returns what to do after it. Nothing but a target that serves no query lets the end count:
    /// its caller could not resume the stream either.
    pub fn step(self) -> EndStep {
        match self {
            Self::Declined => EndStep::Complete,
            Self::NotSent
            | Self::TargetsFailing
            | Self::NotRun
            | Self::NoAnswer
            | Self::Failed
            | Self::TargetEnded => EndStep::CutOff,
        }
    }
}

impl EmptyRuns {
    /// Records the target of such a run.
    pub fn record(&mut self, target: &Name) {
        if !self.targets.contains(target) {
            self.targets.push(target.clone());
        }
    }

    /// Forgets all of them, since another event has followed.
    pub fn clear(&mut self) {
        self.targets.clear();
    }

    /// Returns the targets that have closed such a run.
    pub fn targets(&self) -> &[Name] {
        &self.targets
    }

    /// Returns whether enough targets agree that nothing follows.
    pub fn is_agreed(&self) -> bool {
        self.targets.len() >= AGREEING_TARGETS
    }

    /// Returns whether the end of such a run at `target` would let enough targets agree.
    pub fn would_agree(&self, target: &Name) -> bool {
        let mut targets = self.clone();
        targets.record(target);
        targets.is_agreed()
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
