//! Selection of the target to which a running generation is copied.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;

use crate::directory::Directory;
use crate::placement_cost::CROSS_DATA_CENTRE_COPY_COST;
use crate::placement_cost::JITTER_COST;
use crate::placement_cost::candidate_cost;
use crate::placement_cost::candidate_share;
use crate::placement_cost::cross_data_centre_cost;
use crate::request_demand::RequestDemand;
use crate::target::Target;
use crate::target_selector::TargetSelector;
use crate::target_selector::count_targets;

impl TargetSelector {
    /// Chooses the target to which a running generation of `source` is copied.
    ///
    /// Returns `None` if there is none now; a generation that would exceed the rate limit of
    /// a cold target is copied later, while its own target still runs it.
    pub fn choose_copy_target<'a, D>(
        &self,
        now: Millis,
        directory: &'a Directory,
        source: &Target,
        demand: &RequestDemand,
        excluded: &[Name],
        mut draw: D,
    ) -> Option<&'a Target>
    where
        D: FnMut() -> f64,
    {
        let configuration = directory.configuration()?;
        let is_eligible = |target: &Target, read_ms: Millis| {
            target.service == source.service
                && target.id != source.id
                && !target.is_draining
                && demand.version.allows(target)
                && demand.allowed.allows(target)
                && !directory.is_out(&target.data_centre)
                && !self.is_unreached(now, &target.id)
                && self
                    .check_available(now, configuration, target, read_ms, excluded)
                    .is_ok()
        };
        let share = candidate_share(count_targets(directory, &source.service));
        directory
            .targets()
            .filter(|(target, read_ms)| is_eligible(target, *read_ms))
            .map(|(target, _)| {
                let cost = self.cost(configuration, target, demand)
                    + self.unreachable_cost(now, target)
                    + cross_data_centre_cost(
                        target,
                        &source.data_centre,
                        CROSS_DATA_CENTRE_COPY_COST,
                    )
                    + candidate_cost(draw(), share);
                (cost + JITTER_COST * draw(), target)
            })
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, target)| target)
    }
}
