//! Load of a generation at its target, and what the first event from there shows.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::idle_output::IdleOutput;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::speed_baseline::SpeedSample;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::generation::Generation;

/// Target on which a generation is placed.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) target: Target,
    is_started: bool,
    sent_ms: Millis,
    /// Load that was at the target before.
    former_load: TargetLoad,
    /// Prompt tokens that were at the target before and go ahead of this generation's.
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
        let mut first_event = None;
        let mut selector = state.selector.borrow_mut();
        selector.record_prefilled(&target.id, &self.job.demand);
        if let Some(placement) = &mut self.placement {
            placement.is_started = true;
            // A resumed generation does not process its whole prompt again.
            if !is_resumed {
                let waited_ms = now.since(placement.sent_ms);
                let ahead_tokens = placement.ahead_tokens;
                let typical_ms = selector.typical_ms(target, waited_ms);
                selector.record_first_event(&self.job.demand, ahead_tokens, typical_ms);
                first_event = Some((placement.former_load.clone(), ahead_tokens, waited_ms));
            }
        }
        drop(selector);
        if let Some((former_load, ahead_tokens, waited_ms)) = first_event {
            self.record_first_event_speed(target, former_load, ahead_tokens, waited_ms);
        }
        let waited_ms = self.last_activity_ms.since(self.job.received_ms);
        info!(state.log, "first event from target";
            "id" => self.job.metadata.attempt.as_str(), "target" => target.id.as_str(),
            "version" => target.version.as_str(), "waited_ms" => waited_ms.0);
        state.metrics.time("generation.first_event", waited_ms);
    }

    fn record_first_event_speed(
        &self,
        target: &Target,
        mut load: TargetLoad,
        ahead_tokens: u64,
        waited_ms: Millis,
    ) {
        let demand = &self.job.demand;
        load.add(&TargetLoad::from(demand));
        let sample = SpeedSample::FirstEvent {
            tokens: ahead_tokens + u64::from(demand.prompt_tokens),
            waited_ms,
        };
        self.job.state.record_speed(target, &load, &sample);
    }

    /// Records the time of each token at the current target. A stream that has moved has paused
    /// meanwhile.
    pub(crate) fn record_token_speed(&self, token_us: u64) {
        let Some(placement) = self.placement.as_ref().filter(|_| !self.has_resumed) else {
            return;
        };
        let state = &self.job.state;
        let load = state.selector.borrow().total_load(&placement.target.id);
        let batch = load.running;
        let sample = SpeedSample::Token { token_us, batch };
        state.record_speed(&placement.target, &load, &sample);
    }

    /// Adds the generation to the load of a target that it is sent to.
    pub(crate) fn place_on(&mut self, target: &Target) {
        self.events_here = 0;
        self.has_begun = false;
        self.is_sound = false;
        self.is_placed = false;
        self.is_end_query = false;
        self.idle_output = IdleOutput::new();
        self.awaits_side_pace = false;
        let load = self.job.mark_sent(self.progress, target);
        self.placement = Some(Placement {
            target: target.clone(),
            is_started: false,
            sent_ms: self.job.state.clock.now(),
            ahead_tokens: load.prompt_tokens_ahead_of(self.job.demand.level),
            former_load: load,
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
