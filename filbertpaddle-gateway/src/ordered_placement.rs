//! Waits for room at targets in the order of the service's line.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::admission::Claim;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use filbertpaddle_forward::waiting_line;
use filbertpaddle_forward::waiting_line::Place;
use slog::info;
use tokio::time::sleep;

use crate::job::Job;
use crate::job::Progress;
use crate::state::State;

/// Interval at which a waiting request asks whether it is its turn to look for room.
const TURN_INTERVAL: Duration = Duration::from_millis(2);

/// Place of a request in the line of its service, which it leaves when this is dropped.
struct HeldPlace {
    state: Rc<State>,
    service: Name,
    level: u8,
    place: Place,
    since_ms: Millis,
}

impl HeldPlace {
    fn join(job: &Job, level: u8) -> Self {
        let state = Rc::clone(&job.state);
        let service = job.demand.service.clone();
        let since_ms = state.clock.now();
        let is_returning = job.demand.claim == Claim::Returning;
        let place = state.with_line(&service, |line| line.join(since_ms, level, is_returning));
        let mut selector = state.selector.borrow_mut();
        selector.level_arrivals.record_waiting(&service, level);
        drop(selector);
        state.metrics.count(&format!("room.waiting.level_{level}"));
        Self {
            state,
            service,
            level,
            place,
            since_ms,
        }
    }

    fn look(&self) -> bool {
        let now = self.state.clock.now();
        let look = |line: &mut waiting_line::WaitingLine| line.look(now, self.place);
        self.state.with_line(&self.service, look)
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let place = self.place;
        self.state
            .with_line(&self.service, |line| line.leave(place));
        let mut selector = self.state.selector.borrow_mut();
        selector
            .level_arrivals
            .record_waited(&self.service, self.level);
        drop(selector);
        let waited_ms = self.state.clock.now().since(self.since_ms);
        self.state.metrics.time("room.wait", waited_ms);
    }
}

impl Job {
    /// Returns the demand on a target, by what has happened so far.
    pub(crate) fn current_demand(&self, progress: &Progress) -> RequestDemand {
        let state = &self.state;
        let selector = state.selector.borrow();
        let directory = state.directory.borrow();
        let kept = selector.kept_room(state.clock.now(), &directory, &self.demand);
        RequestDemand {
            claim: self.claim(progress),
            version: self.version(progress),
            kept,
            ..self.demand.clone()
        }
    }

    /// Chooses a target. If all are full, waits in the order of the service's line as long as
    /// room is expected in time.
    pub(crate) async fn place_in_order(
        &self,
        level: u8,
        progress: &mut Progress,
    ) -> Option<Target> {
        if !self.must_wait() {
            match self.take_room(level, progress) {
                Ok(target) => return Some(target),
                Err(PlacementError::AllFull) => {}
                Err(_) => return None,
            }
        }
        progress.placement_error = Some(PlacementError::AllFull);
        if !self.is_room_expected(level) {
            return None;
        }
        let place = HeldPlace::join(self, level);
        let max_wait_ms = waiting_line::max_wait_ms(self.route.latency_goal_ms);
        let give_up_at_ms = place.since_ms + max_wait_ms;
        while self.state.clock.now() < give_up_at_ms {
            if place.look() {
                match self.take_room(level, progress) {
                    Ok(target) => return Some(target),
                    Err(PlacementError::AllFull) => {}
                    Err(_) => return None,
                }
            }
            sleep(TURN_INTERVAL).await;
        }
        self.log_refused(level, max_wait_ms);
        None
    }

    /// Returns whether others wait at this node, so that a new request joins them.
    fn must_wait(&self) -> bool {
        let service = &self.demand.service;
        !self.state.with_line(service, |line| line.is_empty())
    }

    /// Chooses a target, unless the room there is left to other nodes.
    fn take_room(&self, level: u8, progress: &mut Progress) -> Result<Target, PlacementError> {
        let target = self.choose_target(progress)?;
        let state = &self.state;
        let now = state.clock.now();
        let selector = state.selector.borrow();
        let directory = state.directory.borrow();
        let service = selector.arrived_levels(now, &self.demand.service);
        let targets = selector.targets_with_room(&directory, &self.current_demand(progress));
        let chance = waiting_line::take_chance(&service, level, targets);
        if rand::random::<f64>() < chance {
            return Ok(target);
        }
        progress.placement_error = Some(PlacementError::AllFull);
        Err(PlacementError::AllFull)
    }

    /// Returns whether the request can expect room in time if it waits for it.
    fn is_room_expected(&self, level: u8) -> bool {
        let now = self.state.clock.now();
        let selector = self.state.selector.borrow();
        let service = selector.arrived_levels(now, &self.demand.service);
        drop(selector);
        let max_wait_ms = waiting_line::max_wait_ms(self.route.latency_goal_ms);
        let expected_ms = waiting_line::expected_wait_ms(&service, level);
        let is_expected = expected_ms.is_some_and(|expected_ms| expected_ms <= max_wait_ms);
        if !is_expected {
            self.log_refused(level, Millis::ZERO);
        }
        is_expected
    }

    /// Logs that no room is found or expected in time.
    fn log_refused(&self, level: u8, waited_ms: Millis) {
        let state = &self.state;
        let now = state.clock.now();
        let selector = state.selector.borrow();
        let service = selector.arrived_levels(now, &self.demand.service);
        drop(selector);
        let before = service.sum(|other| other <= level);
        info!(state.log, "no room for the request in time";
            "id" => self.metadata.attempt.as_str(), "level" => level,
            "claim" => %self.demand.claim, "waited_ms" => waited_ms.0,
            "waiting_before" => before.waiting, "placed_lately" => before.placed,
            "load_age_ms" => now.since(state.other_load_ms.get()).0);
        state.metrics.count(&format!("room.refused.level_{level}"));
    }
}
