//! Watches targets that gave no answer to a request, and accuses the request if they went down.
//!
//! Only the request itself is accused, not what it shares with others: VMs also go down without
//! a request's fault, many at a time.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::silent_target;
use filbertpaddle_forward::silent_target::Finding;
use filbertpaddle_forward::silent_target::Listing;
use filbertpaddle_forward::target::Target;
use tokio::time::sleep;

use crate::connection_pool;
use crate::crash;
use crate::job::Job;
use crate::job::Progress;
use crate::state::State;
use crate::target_connection;

/// Interval at which the list is looked at.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// A request whose target is watched.
struct Unanswered {
    state: Rc<State>,
    attempt: Name,
    fingerprint: u64,
    target: Target,
    ended_ms: Millis,
}

/// Watches a target to whose request no answer came.
pub(crate) fn watch(job: &Job, target: &Target) {
    let Some(fingerprint) = job.fingerprints.first() else {
        return;
    };
    let unanswered = Unanswered {
        state: Rc::clone(&job.state),
        attempt: job.metadata.attempt.clone(),
        fingerprint: *fingerprint,
        target: target.clone(),
        ended_ms: job.state.clock.now(),
    };
    if unanswered.listing() != Listing::Leaving {
        tokio::task::spawn_local(unanswered.watch());
    }
}

impl Unanswered {
    async fn watch(self) {
        loop {
            sleep(WATCH_INTERVAL).await;
            let now = self.state.clock.now();
            match silent_target::finding(now, self.ended_ms, self.listing()) {
                Finding::Wait => {}
                Finding::Unclear => return,
                Finding::MayBeDown => break,
            }
        }
        // One silent target shows nothing about this node's own links, so it is not recorded.
        let accepts = connection_pool::connect_tcp(&self.target.address).await;
        let is_other_reached = target_connection::reaches_near(&self.state, &self.target).await;
        if silent_target::is_down(accepts.is_ok(), is_other_reached) {
            let fingerprints = [self.fingerprint];
            crash::record(&self.state, &self.attempt, &fingerprints, &self.target);
        }
    }

    fn listing(&self) -> Listing {
        let directory = self.state.directory.borrow();
        if directory.leaving().contains(&self.target.incarnation()) {
            return Listing::Leaving;
        }
        match directory.target(&self.target.id) {
            Some(listed) if listed.is_same_incarnation(&self.target) => Listing::Listed,
            _ => Listing::Gone,
        }
    }
}

impl Job {
    /// Watches the target at which a whole response was awaited when the request ended.
    pub(crate) fn watch_unanswered(&self, progress: &Progress) {
        let waited_for = progress.placed_on.as_ref();
        if let Some(target) = waited_for.filter(|_| progress.is_in_flight) {
            watch(self, target);
        }
    }
}
