//! Requests of a service that is rolled out: the targets that they may go to, and what their
//! answers show.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::allowed_targets::AllowedTargets;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::rollout_counts::Outcome;
use filbertpaddle_forward::rollout_counts::Side;
use filbertpaddle_forward::rollout_counts::TOKEN_SAMPLE_MS;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use filbertpaddle_forward::target_selector::TargetSelector;
use http::StatusCode;

use crate::generation::Generation;
use crate::job::Job;
use crate::job::MAX_RELAY_FAILURES;
use crate::job::Progress;

impl Job {
    /// Chooses a target for a demand, or for the same demand on the side to which requests are
    /// sent again: one that was to try the new version is served by the old one if it cannot.
    pub(crate) fn choose_on_sides(
        &self,
        selector: &TargetSelector,
        directory: &Directory,
        progress: &Progress,
        demand: &RequestDemand,
    ) -> Result<Target, PlacementError> {
        let chosen = self.choose_for(selector, directory, progress, demand);
        if chosen.is_ok() {
            return chosen;
        }
        match self.on_retry_side(progress, demand) {
            Some(demand) => self.choose_for(selector, directory, progress, &demand),
            None => chosen,
        }
    }

    fn choose_for(
        &self,
        selector: &TargetSelector,
        directory: &Directory,
        progress: &Progress,
        demand: &RequestDemand,
    ) -> Result<Target, PlacementError> {
        let now = self.state.clock.now();
        let excluded = &progress.excluded_targets;
        let unreached = progress.unreached_targets.iter();
        let failed: Vec<_> = excluded.iter().chain(unreached).cloned().collect();
        let draw = rand::random::<f64>;
        let mut chosen = selector.choose(now, directory, demand, &failed, draw);
        // Targets that are down look the same, and must not hold the request up one by one.
        let may_relay = progress.relay_failures < MAX_RELAY_FAILURES;
        if chosen == Err(PlacementError::AllFailing) && may_relay {
            chosen = selector.choose_relayed(now, directory, demand, excluded, draw);
        }
        chosen.cloned()
    }

    /// Returns the targets that the request may go to, by what has happened so far.
    pub(crate) fn allowed_targets(
        &self,
        progress: &Progress,
        version: VersionBinding,
    ) -> AllowedTargets {
        if !self.state.has_rollouts() {
            return AllowedTargets::default();
        }
        let demand = RequestDemand {
            version,
            ..self.demand.clone()
        };
        self.state.allowed_targets(&demand, self.side(progress))
    }

    /// Returns the demand on the side to which requests are sent again, if it is another one.
    fn on_retry_side(&self, progress: &Progress, demand: &RequestDemand) -> Option<RequestDemand> {
        if !self.state.has_rollouts() || demand.version != VersionBinding::Free {
            return None;
        }
        let side = self.state.retry_side(&demand.service);
        let is_other = side != self.side(progress);
        is_other.then(|| RequestDemand {
            allowed: self.state.allowed_targets(demand, side),
            ..demand.clone()
        })
    }

    /// Returns the side that the request goes to now. Only its first target may be of the new
    /// version while that is on trial; one that was to go to the old version goes to the new one
    /// if all do by now.
    fn side(&self, progress: &Progress) -> Side {
        let is_first = progress.sends == 0 && !progress.was_misdirected;
        match self.demand.side {
            Some(Side::New) if is_first => Side::New,
            _ => self.state.retry_side(&self.demand.service),
        }
    }

    /// Records that the request is sent to a target.
    pub(crate) fn record_side_sent(&self, target: &Target) {
        if !self.state.has_rollouts() {
            return;
        }
        let generation = self.metadata.generation.as_ref();
        if let Some(generation) = generation {
            let tokens = generation.expected_output_tokens();
            let rollouts = &self.state.rollouts;
            rollouts.record_output_tokens(&self.demand.service, tokens);
        }
        self.state.record_rollout_sent(&self.route.name, target);
        if let Some(side) = self.demand.side {
            self.state.metrics.count(&format!("rollout.chosen.{side}"));
        }
    }

    /// Records the answer of a target to a request that is no stream, or its error.
    pub(crate) fn record_side_answer(
        &self,
        progress: &Progress,
        target: &Target,
        status: StatusCode,
    ) {
        if status.is_server_error() {
            self.record_side_failure(target);
        } else {
            self.record_side_begun(progress, target);
        }
    }

    /// Records that a target has answered, or that its first event has arrived.
    pub(crate) fn record_side_begun(&self, progress: &Progress, target: &Target) {
        if !self.state.has_rollouts() {
            return;
        }
        let outcome = Outcome::Began {
            first_ms: self.state.clock.now().since(progress.sent_ms),
            is_cold: self.state.is_cold(target),
        };
        let route = &self.route.name;
        self.state.record_rollout_answer(route, target, outcome);
    }

    /// Records that a target has failed to serve the request before any event of it.
    pub(crate) fn record_side_failure(&self, target: &Target) {
        let route = &self.route.name;
        self.state
            .record_rollout_answer(route, target, Outcome::Failed);
    }

    /// Records that the deadline of the request has passed while a target ran it.
    pub(crate) fn record_side_timeout(&self, progress: &Progress, target: Option<&Target>) {
        if let Some(target) = target.filter(|_| progress.is_in_flight) {
            self.record_side_failure(target);
        }
    }
}

impl Progress {
    /// Returns the number of targets that are passed over for the request.
    pub(crate) fn passed_over(&self) -> usize {
        self.excluded_targets.len() + self.unreached_targets.len()
    }
}

impl Generation<'_> {
    /// Records that the first event of the stream has come from a target.
    pub(crate) fn record_side_begun(&mut self, target: &Target) {
        self.job.record_side_begun(self.progress, target);
        self.awaits_side_pace = true;
    }

    /// Records the time that the current target takes for each token, once it has sent events for
    /// long enough, or has ended. The pace of a caller that reads slowly shows nothing.
    pub(crate) fn record_side_pace(&mut self, now: Millis, is_ended: bool) {
        if !self.awaits_side_pace {
            return;
        }
        let span_ms = now.since(self.first_event_ms);
        let gaps = self.events_here.saturating_sub(1);
        if gaps == 0 || !is_ended && span_ms < TOKEN_SAMPLE_MS {
            return;
        }
        self.awaits_side_pace = false;
        let target = self.placed_at().filter(|_| !self.meter.is_held_up());
        let Some(target) = target else { return };
        if self.job.state.is_cold(target) {
            return;
        }
        let tokens = gaps.saturating_mul(u64::from(self.job.event_tokens.max(1)));
        let token_us = span_ms.0.saturating_mul(1_000) / tokens;
        let route = &self.job.route.name;
        let outcome = Outcome::Paced { token_us };
        self.job.state.record_rollout_answer(route, target, outcome);
    }

    /// Records that a target's stream has broken off, stalled or is faulty.
    pub(crate) fn record_side_broken(&self, target: &Target) {
        let route = &self.job.route.name;
        self.job
            .state
            .record_rollout_answer(route, target, Outcome::Broken);
    }
}
