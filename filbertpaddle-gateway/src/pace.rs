//! Measures how long generations take at their targets, and how long a request may take.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::drain;
use filbertpaddle_forward::drain::DurationEstimate;
use filbertpaddle_forward::drain::SendStage;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::service_pace::Pace;
use filbertpaddle_forward::service_pace::PaceSample;
use filbertpaddle_forward::service_pace::ServicePace;

use crate::generation::Generation;
use crate::job::Job;
use crate::job::Progress;
use crate::state::State;

/// Returns how long a request on a route may take.
pub fn estimate_duration(
    state: &State,
    configuration: &Configuration,
    route: &Route,
    metadata: &RequestMetadata,
) -> DurationEstimate {
    match &metadata.generation {
        Some(generation) => {
            let pace = planned_pace(state, configuration, route);
            drain::estimate_duration(generation, &pace)
        }
        None => DurationEstimate {
            expected_ms: route.timeout_ms,
            max_ms: route.timeout_ms,
        },
    }
}

/// Returns the pace to plan with on a route, which is that of its slowest service.
fn planned_pace(state: &State, configuration: &Configuration, route: &Route) -> Pace {
    let now = state.clock.now();
    let paces = state.paces.borrow();
    let services = route.services.iter().filter(|(_, weight)| *weight > 0);
    let planned = services.map(|(name, _)| {
        let stated = Pace::of_route(route, configuration.event_tokens(name));
        paces
            .get(name)
            .map_or(stated, |pace| pace.planned(now, stated))
    });
    planned
        .reduce(Pace::slower)
        .unwrap_or_else(|| Pace::of_route(route, 1))
}

impl Job {
    /// Returns whether it may be sent to a target now, as far as a stop of this node goes.
    pub(crate) fn allows_send(&self, progress: &Progress) -> bool {
        let Some(drain) = self.state.drain.get() else {
            return true;
        };
        let now = self.state.clock.now();
        drain.allows_send(now, self.send_stage(progress), self.estimate_duration())
    }

    fn send_stage(&self, progress: &Progress) -> SendStage {
        match progress {
            Progress {
                has_begun: true, ..
            } => SendStage::Begun,
            Progress {
                may_have_run: false,
                ..
            } => SendStage::Unrun,
            _ if self.route.kind.is_stream() => SendStage::RepeatedStream,
            _ => SendStage::RepeatedWhole,
        }
    }

    /// Returns how long it may take if it is sent to a target now.
    fn estimate_duration(&self) -> DurationEstimate {
        let remaining_ms = self.remaining_ms();
        let whole = DurationEstimate {
            expected_ms: remaining_ms,
            max_ms: remaining_ms,
        };
        let pace = self.pace_by(ServicePace::planned);
        let generation = self.metadata.generation.as_ref();
        generation.map_or(whole, |generation| {
            drain::estimate_duration(generation, &pace).within(remaining_ms)
        })
    }

    /// Returns the time in which its output is complete after `events` have been delivered.
    pub(crate) fn remaining_output_ms(&self, events: u64) -> Millis {
        let pace = self.pace_by(ServicePace::planned);
        pace.output_ms(u64::from(self.remaining_tokens(events)))
    }

    /// Returns the pace that most generations of its service have.
    pub(crate) fn typical_pace(&self) -> Pace {
        self.pace_by(ServicePace::typical)
    }

    fn pace_by<F>(&self, estimate: F) -> Pace
    where
        F: FnOnce(&ServicePace, Millis, Pace) -> Pace,
    {
        let stated = Pace::of_route(&self.route, self.event_tokens);
        let paces = self.state.paces.borrow();
        let pace = paces.get(&self.demand.service);
        pace.map_or(stated, |pace| {
            estimate(pace, self.state.clock.now(), stated)
        })
    }
}

impl Generation<'_> {
    /// Records that a new event has arrived.
    pub(crate) fn record_event_pace(&mut self, now: Millis) {
        let sample = self.meter.record_event(now, self.job.event_tokens);
        self.record_pace(sample);
    }

    /// Records the end of the generation.
    pub(crate) fn record_last_pace(&self) {
        self.record_pace(self.meter.last_sample(self.job.event_tokens));
    }

    fn record_pace(&self, sample: Option<PaceSample>) {
        let Some(sample) = sample else { return };
        let state = &self.job.state;
        let mut paces = state.paces.borrow_mut();
        let pace = paces.entry(self.job.demand.service.clone()).or_default();
        pace.record(state.clock.now(), sample);
    }
}
