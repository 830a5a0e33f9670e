//! Measures the speed of targets, and exchanges the samples between nodes.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::placement_speed;
use filbertpaddle_forward::speed_baseline::SpeedSample;
use filbertpaddle_forward::speed_table::SentSpeed;
use filbertpaddle_forward::speed_table::SentSpeeds;
use filbertpaddle_forward::speed_table::SpeedPart;
use filbertpaddle_forward::speed_table::SpeedTable;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_speed::SpeedChange;
use slog::info;

use crate::state::State;

/// Maximum number of entries published at a time: 200 a second on a link, about 8 KB, however
/// many targets there are. Those that have changed most go first.
const MAX_PUBLISHED_SPEEDS: usize = 10;
/// Maximum number of changes logged at a time.
const MAX_LOGGED_CHANGES: usize = 5;

/// Publishes speeds on one link.
#[derive(Debug, Default)]
pub(crate) struct SpeedPublisher {
    sent: SentSpeeds,
}

impl SpeedPublisher {
    /// Returns the entries to publish now.
    pub(crate) fn due(&mut self, state: &State, part: SpeedPart) -> Vec<SentSpeed> {
        let now = state.clock.now();
        let selector = state.selector.borrow();
        if !selector.speeds().is_in_force() {
            return Vec::new();
        }
        let current = selector.speeds().table().part(now, part);
        self.sent.take_changed(now, &current, MAX_PUBLISHED_SPEEDS)
    }
}

impl State {
    /// Forms the estimates anew where the settings call for it, and logs those that have changed.
    pub(crate) fn refresh_speeds(&self) {
        let is_in_force = self.reloadable.borrow().features.target_speeds;
        let changes = {
            let directory = self.directory.borrow();
            let mut selector = self.selector.borrow_mut();
            selector.speeds_mut().set_in_force(is_in_force, &directory);
            selector.speeds_mut().refresh(self.clock.now(), &directory)
        };
        changes
            .iter()
            .for_each(|_| self.metrics.count("target.speed_changed"));
        changes
            .iter()
            .take(MAX_LOGGED_CHANGES)
            .for_each(|change| self.log_speed(change, changes.len()));
    }

    /// Merges samples by `update` if speeds are in force.
    pub(crate) fn merge_speeds<F>(&self, update: F)
    where
        F: FnOnce(&mut SpeedTable, Millis),
    {
        let now = self.clock.now();
        let mut selector = self.selector.borrow_mut();
        if selector.speeds().is_in_force() {
            update(selector.speeds_mut().table_mut(), now);
        }
    }

    /// Records a sample of a target that had `load`, the measured request included.
    pub(crate) fn record_speed(&self, target: &Target, load: &TargetLoad, sample: &SpeedSample) {
        let directory = self.directory.borrow();
        let configuration = directory.configuration();
        let service = configuration.and_then(|all| all.services.get(&target.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let fill = placement_speed::fill(load, target, engine);
        let mut selector = self.selector.borrow_mut();
        let now = self.clock.now();
        selector.speeds_mut().record(now, target, fill, sample);
    }

    fn log_speed(&self, change: &SpeedChange, changes: usize) {
        let estimate = &change.estimate;
        info!(self.log, "speed of target changed";
            "target" => change.target.as_str(),
            "time_factor" => rounded(estimate.factor(false)),
            "time_factor_busy" => rounded(estimate.factor(true)),
            "former_factor" => rounded(change.former_factor),
            "good_fill" => estimate.good_fill(),
            "sample_weight" => rounded(estimate.weight),
            "changes" => changes);
    }
}

fn rounded(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
