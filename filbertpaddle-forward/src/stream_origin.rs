//! Which service and software version may continue a stream that a caller resumes.
//!
//! Load pattern: nodes that have just started, or that were cut off or paused during a release,
//! receive the callers of streams that began through other nodes. To such a node, the absence of a
//! report shows nothing: it continues a stream only if a node knows what began it, or if the
//! store's record shows that one version alone may have.

use filbertpaddle_core::name::Name;

use crate::stream_versions::Origin;
use crate::version_record::ServiceVersion;
use crate::version_record::StoreTime;
use crate::version_record::VersionRecord;

/// What a node knows when a caller resumes a stream.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// What began the stream, if this node or one that it asked knows of it.
    pub began: Option<Origin>,
    /// Versions of the route's services that this node lists or listed recently.
    pub listed: &'a [ServiceVersion],
    /// Services of the route.
    pub services: &'a [&'a Name],
    /// The store's record, read after the request arrived; `None` if it could not be read, or the
    /// routes have changed so recently that it does not apply.
    pub recorded: Option<(&'a VersionRecord, StoreTime)>,
}

/// Reason why no version may continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Unresumable {
    /// The version that began the stream serves the route no longer.
    VersionGone,
    /// The target that began the stream had started again, maybe with another version.
    TargetRestarted,
    /// Several versions may have begun the stream.
    SeveralVersions,
    /// No target of the route's services has been listed.
    NoVersion,
    /// The store's record could not be read or does not apply.
    NoRecord,
    /// The store's record may lack versions.
    RecordIncomplete,
}

/// Returns the service and version that may continue the stream.
///
/// # Errors
///
/// Returns the reason if it is not known which version began the stream, or that version has no
/// place on the route any more.
pub fn continuation(evidence: &Evidence<'_>) -> Result<ServiceVersion, Unresumable> {
    match evidence.began {
        Some(Origin::Version(began)) => {
            let mut listed = evidence.listed.iter();
            let found = listed.find(|(_, version)| *version == began);
            return found.cloned().ok_or(Unresumable::VersionGone);
        }
        Some(Origin::Unknown) => return Err(Unresumable::TargetRestarted),
        None => {}
    }
    let (record, time) = evidence.recorded.ok_or(Unresumable::NoRecord)?;
    let mut candidates = evidence.listed.to_vec();
    for service in evidence.services {
        let recorded = record.versions(time, service);
        for version in recorded.ok_or(Unresumable::RecordIncomplete)? {
            let recorded = ((*service).clone(), version);
            if !candidates.contains(&recorded) {
                candidates.push(recorded);
            }
        }
    }
    match candidates.as_slice() {
        [] => Err(Unresumable::NoVersion),
        [only] => Ok(only.clone()),
        _ => Err(Unresumable::SeveralVersions),
    }
}
