//! Order of the events of one stream, over all the runs that send it.
//!
//! The IDs of a run only increase, by any step: its connection loses none of its events. Between
//! two runs, an ID that is too high may hide events that neither has sent to the caller.

use std::num::NonZeroU64;

/// Difference of the IDs of successive events, learned within runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Step {
    /// No two events of one run have been received.
    #[default]
    Unknown,
    Even(NonZeroU64),
    Uneven,
}

/// IDs of the events of a stream that have been received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventOrder {
    step: Step,
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

    /// Returns the place of an event with `id` after one with the ID `last`, which the stream's
    /// former run may have sent or the caller may have received before; `is_same_run` is whether
    /// the run that sends the event has sent that one too.
    pub fn place(&mut self, last: Option<u64>, id: u64, is_same_run: bool) -> Place {
        let Some(last) = last else {
            return Place::Next;
        };
        let Some(difference) = id.checked_sub(last).and_then(NonZeroU64::new) else {
            return match is_same_run {
                true => Place::OutOfOrder,
                false => Place::Repeated,
            };
        };
        if is_same_run {
            self.learn(difference);
            return Place::Next;
        }
        match self.step {
            Step::Unknown if difference == NonZeroU64::MIN => Place::Next,
            Step::Even(step) if difference == step => Place::Next,
            Step::Unknown | Step::Even(_) | Step::Uneven => Place::AfterGap,
        }
    }

    fn learn(&mut self, difference: NonZeroU64) {
        self.step = match self.step {
            Step::Unknown => Step::Even(difference),
            Step::Even(step) if step == difference => self.step,
            Step::Even(_) | Step::Uneven => Step::Uneven,
        };
    }
}
