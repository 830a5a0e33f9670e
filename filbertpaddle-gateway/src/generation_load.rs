//! Load of a generation at its target, and what the first event from there shows.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::generation::Generation;

/// Target on which a generation is placed.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) target: Target,
    is_started: bool,
    sent_ms: Millis,
    /// Prompt tokens that were at the target before.
    ahead_tokens: u64,
}

impl Generation<'_> {
    /// Records that the first event or the end of a target's stream has arrived.
    pub(crate) fn record_started(&mut self, target: &Target) {
        let state = &self.job.state;
        self.progress.sends += 1;
        self.progress.is_in_flight = false;
        self.progress.may_have_run = true;
        if self.last_event.is_none() {
            self.record_side_begun(target);
        }
        let now = state.clock.now();
        let silent_ms = now.since(self.last_activity_ms);
        self.last_activity_ms = now;
        let is_resumed = self.writer.is_started();
        self.has_resumed |= is_resumed;
        if is_resumed && !self.is_end_query {
            info!(state.log, "generation resumed at another target";
                "id" => self.job.metadata.attempt.as_str(), "target" => target.id.as_str(),
                "version" => target.version.as_str(),
                "last_event" => self.last_event, "silent_ms" => silent_ms.0);
            state.metrics.time("generation.move_pause", silent_ms);
        }
        let mut selector = state.selector.borrow_mut();
        selector.record_prefilled(&target.id, &self.job.demand);
        if let Some(placement) = &mut self.placement {
            placement.is_started = true;
            // A resumed generation does not process its whole prompt again.
            if !is_resumed {
                let waited_ms = now.since(placement.sent_ms);
                selector.record_first_event(&self.job.demand, placement.ahead_tokens, waited_ms);
            }
        }
        drop(selector);
        let waited_ms = self.last_activity_ms.since(self.job.received_ms);
        info!(state.log, "first event from target";
            "id" => self.job.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "version" => target.version.as_str(), "waited_ms" => waited_ms.0);
        state.metrics.time("generation.first_event", waited_ms);
    }

    /// Adds the generation to the load of a target that it is sent to.
    pub(crate) fn place_on(&mut self, target: &Target) {
        self.events_here = 0;
        self.has_begun = false;
        self.is_sound = false;
        self.is_placed = false;
        self.is_end_query = false;
        self.awaits_side_pace = false;
        let load = self.job.mark_sent(self.progress, target);
        self.placement = Some(Placement {
            target: target.clone(),
            is_started: false,
            sent_ms: self.job.state.clock.now(),
            ahead_tokens: load.prompt_tokens,
        });
    }

    /// Returns the target on which the generation is placed.
    pub(crate) fn placed_at(&self) -> Option<&Target> {
        self.placement.as_ref().map(|placement| &placement.target)
    }

    /// Removes the generation from the load of its target.
    pub(crate) fn release_placement(&mut self) {
        let Some(placement) = self.placement.take() else {
            return;
        };
        let mut selector = self.job.state.selector.borrow_mut();
        selector.record_ended(&placement.target.id, &self.job.demand, placement.is_started);
    }
}
