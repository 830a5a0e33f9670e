//! Whether a target that has run a request may be sent it once more.

use filbertpaddle_core::clock::Millis;

use crate::directory::Directory;
use crate::request_demand::RequestDemand;
use crate::target::Target;
use crate::target_selector::TargetSelector;

impl TargetSelector {
    /// Returns whether a target that has run a request and released it may be sent it again now.
    pub fn may_return(
        &self,
        now: Millis,
        directory: &Directory,
        demand: &RequestDemand,
        target: &Target,
    ) -> bool {
        let Some(configuration) = directory.configuration() else {
            return false;
        };
        let mut listed = directory.targets();
        let Some((target, read_ms)) = listed.find(|(listed, _)| listed.is_same_incarnation(target))
        else {
            return false;
        };
        target.service == demand.service
            && !target.is_draining
            && !directory.is_out(&target.data_centre)
            && demand.version.allows(target)
            && demand.allowed.allows(target)
            && !self.is_unreached(now, &target.id)
            && self
                .check_available(now, configuration, target, read_ms, &[])
                .is_ok()
            && self.has_room(configuration, target, demand)
            && self.has_place(now, target)
    }
}
