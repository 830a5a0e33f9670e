//! Order of the events of one stream, over all the runs that send it.
//!
//! The IDs of a run only increase, by any step: its connection loses none of its events. A run that
//! resumes the stream is asked to go on after the last event that the caller has (`Last-Event-Id`),
//! so its first new event is the next one, whatever its ID. Where the step of the IDs is known, an
//! event that leaves it shows a target that has not done so. A run from a copy of the memory may go
//! on where the copy was made; if that may be later, only a known step shows that nothing is missing.
//!
//! Load pattern: targets that number events by one, by tokens or unevenly, crash or are replaced in
//! the middle of their streams, and their callers take them up again.

use std::num::NonZeroU64;

use crate::id_step::IdStep;

/// Number of equal differences of IDs in a row from which they count as the stream's step.
const MIN_DIFFERENCES: u32 = 2;

/// How a run begins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RunStart {
    /// With the stream, or after the last event that the caller has.
    #[default]
    AfterLastEvent,
    /// From a copy that may hold events that the caller has not received.
    CopyAhead,
}

/// IDs of the events of a stream that have been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    step: IdStep,
    /// Number of differences that have shown the step.
    differences: u32,
    start: RunStart,
    /// Last ID that the current run has sent.
    run_last: Option<u64>,
    /// Whether the current run has sent a new event.
    has_new: bool,
    /// Step since it last changed, until it is taken.
    learned: Option<IdStep>,
}

/// Place of an event in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// It follows the last event.
    Next,
    /// It was received before, from the stream's former run.
    Repeated,
    /// Its run has sent it or a later one before, which no sound target does.
    OutOfOrder,
    /// Events before it may be missing.
    AfterGap,
}

impl EventOrder {
    /// Creates the order of a stream without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that another run begins.
    pub fn start_run(&mut self, start: RunStart) {
        self.start = start;
        self.run_last = None;
        self.has_new = false;
    }

    /// Returns the place of an event of the current run with `id` after one with the ID `last`,
    /// which a former run may have sent or the caller may have received before. `usual` is the step
    /// of other streams of the same software.
    pub fn place(&mut self, last: Option<u64>, id: u64, usual: IdStep) -> Place {
        let place = self.find_place(last, id, usual);
        match place {
            Place::Next => self.has_new = true,
            Place::Repeated => {}
            Place::OutOfOrder | Place::AfterGap => return place,
        }
        self.run_last = Some(id);
        place
    }

    /// Takes the step of the stream if it has changed since the last time.
    pub fn take_learned(&mut self) -> Option<IdStep> {
        self.learned.take()
    }

    /// Returns the difference of the IDs of two events of the stream, as seen so far.
    pub fn step(&self) -> IdStep {
        self.step
    }

    fn find_place(&mut self, last: Option<u64>, id: u64, usual: IdStep) -> Place {
        let Some(last) = last else {
            return Place::Next;
        };
        let Some(difference) = id.checked_sub(last).and_then(NonZeroU64::new) else {
            return match self.has_new {
                true => Place::OutOfOrder,
                false => Place::Repeated,
            };
        };
        match self.run_last {
            Some(sent) if sent == last => {
                self.learn(difference);
                Place::Next
            }
            // It has begun before the last event and passed it over.
            Some(_) => Place::AfterGap,
            None if self.may_begin_with(difference, usual) => Place::Next,
            None => Place::AfterGap,
        }
    }

    /// Returns whether the first event of a run may follow the last event of the stream.
    fn may_begin_with(&self, difference: NonZeroU64, usual: IdStep) -> bool {
        match self.expected_step(usual) {
            IdStep::Even(step) => difference == step,
            // No ID lies between two that differ by one.
            IdStep::Unknown | IdStep::Uneven => {
                self.start == RunStart::AfterLastEvent || difference == NonZeroU64::MIN
            }
        }
    }

    fn expected_step(&self, usual: IdStep) -> IdStep {
        match (usual, self.step) {
            (IdStep::Uneven, _) | (_, IdStep::Uneven) => IdStep::Uneven,
            (_, IdStep::Even(_)) if self.differences >= MIN_DIFFERENCES => self.step,
            (usual, _) => usual,
        }
    }

    fn learn(&mut self, difference: NonZeroU64) {
        self.differences = self.differences.saturating_add(1);
        let step = match self.step {
            IdStep::Unknown => IdStep::Even(difference),
            IdStep::Even(step) if step == difference => self.step,
            IdStep::Even(_) | IdStep::Uneven => IdStep::Uneven,
        };
        if step != self.step {
            self.step = step;
            self.learned = Some(step);
        }
    }
}
