//! Targets that a request may go to while its service is rolled out.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexSet;

use crate::directory::Directory;
use crate::rollout_counts::Side;
use crate::rollout_judge::Verdict;
use crate::rollout_split::NewTarget;
use crate::rollouts::Rollouts;
use crate::software_version::VersionBinding;
use crate::target::Target;

/// Targets that a request may go to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedTargets {
    /// IDs of the targets; `None` if no roll-out restricts them.
    ids: Option<Arc<IndexSet<Name>>>,
}

impl AllowedTargets {
    /// Returns the targets of a service that a request of a side may go to, or that may go on with
    /// a stream that is bound to a version.
    pub fn of(
        now: Millis,
        rollouts: &Rollouts,
        directory: &Directory,
        service: &Name,
        binding: VersionBinding,
        side: Side,
    ) -> Self {
        if !rollouts.restricts(now, service) {
            return Self::default();
        }
        let may_go_to =
            |side: Side, target: &Target| rollouts.allows(now, service, side, &target.version);
        let listed: Vec<&Target> = directory
            .targets()
            .map(|(target, _)| target)
            .filter(|target| target.service == *service && !target.is_draining)
            .collect();
        let ids: Vec<Name> = match (binding, side) {
            (VersionBinding::Free, Side::New) => {
                let mut new = listed;
                new.retain(|target| may_go_to(Side::New, target));
                used_new_targets(rollouts, directory, service, &new)
            }
            (VersionBinding::Free, Side::Old) => {
                let old = listed.iter().filter(|target| may_go_to(Side::Old, target));
                old.map(|target| target.id.clone()).collect()
            }
            // Its version was chosen when it began.
            (VersionBinding::Bound(_) | VersionBinding::Unknown, _) => {
                let is_bad = matches!(rollouts.verdict(service), Some(Verdict::Bad(_)));
                let allowed = listed.iter().filter(|target| {
                    may_go_to(Side::Old, target) || !is_bad && may_go_to(Side::New, target)
                });
                allowed.map(|target| target.id.clone()).collect()
            }
        };
        Self {
            ids: Some(Arc::new(ids.into_iter().collect())),
        }
    }

    /// Returns whether a request may go to a target.
    pub fn allows(&self, target: &Target) -> bool {
        let ids = self.ids.as_ref();
        ids.is_none_or(|ids| ids.contains(&target.id))
    }
}

/// Returns the targets of the new version that take its share. Without a record of the roll-out
/// there is no old target left, and all take it.
fn used_new_targets(
    rollouts: &Rollouts,
    directory: &Directory,
    service: &Name,
    new: &[&Target],
) -> Vec<Name> {
    let in_service = new
        .iter()
        .filter(|target| !directory.is_out(&target.data_centre));
    let in_service: Vec<_> = in_service
        .map(|target| NewTarget {
            id: &target.id,
            data_centre: &target.data_centre,
        })
        .collect();
    let used = rollouts.new_targets(service, &in_service);
    if used.is_empty() {
        return in_service.iter().map(|target| target.id.clone()).collect();
    }
    used
}
