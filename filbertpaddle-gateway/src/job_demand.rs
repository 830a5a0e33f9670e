//! Demand of an admitted request on a target, by what has happened to it so far.

use filbertpaddle_forward::admission::Claim;
use filbertpaddle_forward::priority_admission::KeptRoom;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::target::Target;

use crate::job::Job;
use crate::job::Progress;

impl Job {
    /// Returns whether a target that has run the request may be sent it once more now.
    pub fn may_return_to(&self, progress: &Progress, target: &Target) -> bool {
        let state = &self.state;
        let now = state.clock.now();
        let directory = state.directory.borrow();
        let selector = state.selector.borrow();
        selector.may_return(now, &directory, &self.current_demand(progress), target)
    }

    /// Returns the demand on a target, by what has happened so far.
    pub(crate) fn current_demand(&self, progress: &Progress) -> RequestDemand {
        let state = &self.state;
        let version = self.version(progress);
        let selector = state.selector.borrow();
        let directory = state.directory.borrow();
        let claim = self.claim(progress);
        let kept = match claim {
            // What it has made would be lost.
            Claim::Started => KeptRoom::default(),
            _ => selector.kept_room(state.clock.now(), &directory, &self.demand),
        };
        RequestDemand {
            claim,
            allowed: self.allowed_targets(progress, version),
            version,
            kept,
            ..self.demand.clone()
        }
    }

    /// Returns the request's claim on the targets' memory.
    pub(crate) fn claim(&self, progress: &Progress) -> Claim {
        if progress.may_have_run {
            Claim::Started
        } else {
            self.demand.claim
        }
    }
}
