//! Which targets may continue a stream, within its answer and in its caller's next attempt.

use std::rc::Rc;

use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::route_hashes::groups_of;
use filbertpaddle_forward::software_version::SoftwareVersion;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::stream_origin;
use filbertpaddle_forward::stream_origin::Evidence;
use filbertpaddle_forward::stream_origin::Unresumable;
use filbertpaddle_forward::stream_versions::KEEPERS;
use filbertpaddle_forward::stream_versions::KEEPERS_OF_ONE_VERSION;
use filbertpaddle_forward::stream_versions::Origin;
use filbertpaddle_forward::stream_versions::attempt_key;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::version_record::ServiceVersion;
use slog::info;

use crate::job::Job;
use crate::job::Progress;
use crate::reply::Refusal;
use crate::state::State;
use crate::version_exchange;
use crate::version_record;
use crate::version_record::KnownRecord;

/// Service and software version that continue a stream.
pub type Continuation = ServiceVersion;

/// Returns the service and version that may continue the stream that a request to `path` resumes;
/// `None` if it resumes none.
///
/// # Errors
///
/// Returns the refusal if the version is not known, or has no place on the route any more.
pub async fn resolve(
    state: &Rc<State>,
    route: &Route,
    path: &str,
    metadata: &RequestMetadata,
) -> Result<Option<Continuation>, Refusal> {
    if !route.kind.is_stream() || metadata.last_event.is_none() {
        return Ok(None);
    }
    let arrived_ms = state.clock.now();
    let began = match &metadata.resumed_attempt {
        Some(attempt) => version_exchange::look_up(state, attempt).await,
        None => None,
    };
    let recorded = match began {
        Some(_) => None,
        // What began the stream was recorded before the caller had any event of it.
        None => version_record::read_after(state, arrived_ms).await,
    };
    let usable = recorded.as_ref();
    let groups = groups_of(&route.host, path);
    let usable = usable.filter(|known| known.has_had_routes(state, &groups));
    let listed = listed_versions(state, route);
    let services: Vec<_> = route.services.iter().map(|(name, _)| name).collect();
    let continuation = stream_origin::continuation(&Evidence {
        began,
        listed: &listed,
        services: &services,
        recorded: usable.map(KnownRecord::as_of),
    });
    info!(state.log, "caller resumes a stream";
        "id" => metadata.attempt.as_str(), "resumes" => metadata.resumed_attempt.as_deref(),
        "last_event" => metadata.last_event, "is_known" => began.is_some(),
        "is_record_read" => recorded.is_some(), "is_record_usable" => usable.is_some(),
        "versions" => listed.len(),
        "refusal" => continuation.as_ref().err().map(Unresumable::to_string),
        "waited_ms" => state.clock.now().since(arrived_ms).0,
        "age_ms" => state.data_age_ms(Table::Targets).0, "uptime_ms" => state.clock.now().0);
    match continuation {
        Ok(continuation) => Ok(Some(continuation)),
        Err(Unresumable::NoVersion) => Err(Refusal::NoTarget),
        Err(_) => Err(Refusal::NotResumable),
    }
}

/// Returns the versions that targets of the route's services have or had recently.
fn listed_versions(state: &State, route: &Route) -> Vec<ServiceVersion> {
    let now = state.clock.now();
    let history = state.version_history.borrow();
    let services = route.services.iter().map(|(service, _)| service);
    services
        .flat_map(|service| {
            let versions = history.versions(now, service).into_iter();
            versions.map(|version| (service.clone(), version))
        })
        .collect()
}

impl Job {
    /// Returns which targets may run the request, by their software version.
    pub fn version(&self, progress: &Progress) -> VersionBinding {
        match progress.version {
            VersionBinding::Free => self.demand.version,
            bound => bound,
        }
    }

    /// Records that a target is about to deliver the first event of the stream to the caller.
    pub async fn record_first_event(&self, progress: &mut Progress, target: &Target) {
        if self.version(progress) == VersionBinding::Free {
            progress.version = VersionBinding::to_target(target);
        }
        let VersionBinding::Bound(version) = progress.version else {
            return;
        };
        if !self.route.kind.is_idempotent() || progress.is_version_recorded {
            return;
        }
        let key = attempt_key(&self.metadata.attempt);
        let origin = Origin::Version(version);
        self.state.stream_versions.borrow_mut().record(key, origin);
        self.pass_version_on(progress);
        let recorded = (target.service.clone(), version);
        if !version_record::ensure_recorded(&self.state, &recorded).await {
            self.pass_version_to(progress, version, KEEPERS);
        }
        // Not set if the wait is cut short, so that the next target's first event waits again.
        progress.is_version_recorded = true;
    }

    /// Records that the target of the stream may have another version than it was listed with, so
    /// that nothing goes on with the stream, in this answer and in the caller's next attempts.
    pub fn doubt_version(&self, progress: &mut Progress) {
        progress.version = VersionBinding::Unknown;
        let own = &self.metadata.attempt;
        for attempt in self.metadata.resumed_attempt.iter().chain([own]) {
            version_exchange::doubt(&self.state, attempt);
        }
    }

    /// Passes the version that began a resumable stream on to another node, or to more of them
    /// once targets of the service have different ones.
    pub fn pass_version_on(&self, progress: &mut Progress) {
        let VersionBinding::Bound(version) = progress.version else {
            return;
        };
        if !self.route.kind.is_idempotent() || progress.version_keepers == KEEPERS {
            return;
        }
        let state = &self.state;
        let history = state.version_history.borrow();
        let keepers = match history.is_mixed(state.clock.now(), &self.demand.service) {
            true => KEEPERS,
            false => KEEPERS_OF_ONE_VERSION,
        };
        drop(history);
        self.pass_version_to(progress, version, keepers);
    }

    /// Passes the version on to `keepers` other nodes, unless as many have been sent it before.
    fn pass_version_to(&self, progress: &mut Progress, version: SoftwareVersion, keepers: usize) {
        if progress.version_keepers < keepers {
            let origin = Origin::Version(version);
            version_exchange::pass_on(&self.state, &self.metadata.attempt, origin, keepers);
            progress.version_keepers = keepers;
        }
    }
}
