//! Which targets may continue a stream, within its answer and in its caller's next attempt.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::request_metadata::RequestMetadata;
use filbertpaddle_forward::software_version::SoftwareVersion;
use filbertpaddle_forward::software_version::VersionBinding;
use filbertpaddle_forward::stream_versions::attempt_key;
use filbertpaddle_forward::target::Target;
use slog::info;

use crate::job::Job;
use crate::job::Progress;
use crate::reply::Refusal;
use crate::state::State;
use crate::version_exchange;
use crate::version_exchange::Lookup;

/// Age of the list of targets up to which the only version in it is taken for the one that began
/// a stream, though no other node could be asked.
const MAX_LIST_AGE_MS: Millis = Millis::from_secs(10);

/// Service and software version that continue a stream.
pub type Continuation = (Name, SoftwareVersion);

/// Returns the service and version that may continue the stream that a request resumes; `None`
/// if it resumes none.
///
/// # Errors
///
/// Returns the refusal if the version is not known, or has no place on the route any more.
pub async fn resolve(
    state: &State,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<Option<Continuation>, Refusal> {
    if !route.kind.is_stream() || metadata.last_event.is_none() {
        return Ok(None);
    }
    let began = match &metadata.resumed_attempt {
        Some(attempt) => version_exchange::look_up(state, attempt).await,
        None => Lookup::NotFound,
    };
    let known = known_versions(state, route);
    let continuation = match began {
        Lookup::Found(version) => known.iter().find(|(_, known)| *known == version),
        Lookup::NoAnswer if state.data_age_ms(Table::Targets) > MAX_LIST_AGE_MS => None,
        Lookup::NotFound | Lookup::NoAnswer => known.first().filter(|_| known.len() == 1),
    };
    info!(state.log, "caller resumes a stream";
        "id" => metadata.attempt.as_str(), "resumes" => metadata.resumed_attempt.as_deref(),
        "last_event" => metadata.last_event, "began" => ?began, "versions" => known.len(),
        "is_possible" => continuation.is_some(),
        "age_ms" => state.data_age_ms(Table::Targets).0, "uptime_ms" => state.clock.now().0);
    match continuation {
        Some(continuation) => Ok(Some(continuation.clone())),
        None if known.is_empty() => Err(Refusal::NoTarget),
        None => Err(Refusal::NotResumable),
    }
}

/// Returns the versions that targets of the route's services have or had recently.
fn known_versions(state: &State, route: &Route) -> Vec<Continuation> {
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
    pub fn record_first_event(&self, progress: &mut Progress, target: &Target) {
        if self.version(progress) != VersionBinding::Free {
            return;
        }
        progress.version = VersionBinding::to_target(target);
        if let VersionBinding::Bound(version) = progress.version
            && self.route.kind.is_idempotent()
        {
            let key = attempt_key(&self.metadata.attempt);
            let mut versions = self.state.stream_versions.borrow_mut();
            versions.record(key, version);
            drop(versions);
            self.pass_version_on(progress);
        }
    }

    /// Passes the version that began a resumable stream on to other nodes, once targets of the
    /// service have different ones.
    pub fn pass_version_on(&self, progress: &mut Progress) {
        let VersionBinding::Bound(version) = progress.version else {
            return;
        };
        let state = &self.state;
        let now = state.clock.now();
        let is_mixed = || {
            let history = state.version_history.borrow();
            history.is_mixed(now, &self.demand.service)
        };
        if self.route.kind.is_idempotent() && !progress.is_version_passed_on && is_mixed() {
            version_exchange::pass_on(state, &self.metadata.attempt, version);
            progress.is_version_passed_on = true;
        }
    }
}
