//! Hashes of the resumable routes, in groups that show what has changed for a request.
//!
//! All routes that a path can have been on are in two groups: that of its host and first segment,
//! and that of its host's root. So a route that is added elsewhere changes nothing for it.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::configuration::Route;

/// Number of groups: few routes share one by chance, and the hashes take about 1 kB.
const GROUPS: usize = 64;

/// Number of a group.
pub type Group = usize;

/// Hash of the routes of each group and of their services, which does not depend on their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RouteHashes {
    by_group: Vec<u64>,
}

impl RouteHashes {
    /// Hashes routes.
    pub fn new<'a, I>(routes: I) -> Self
    where
        I: Iterator<Item = &'a Route>,
    {
        let mut by_group = vec![0_u64; GROUPS];
        for route in routes {
            let hash = &mut by_group[group(&route.host, first_segment(&route.prefix))];
            *hash = hash.wrapping_add(services_hash(route));
        }
        Self { by_group }
    }

    /// Returns whether a group has the same routes here and there.
    pub fn agrees(&self, other: &Self, group: Group) -> bool {
        let hash = self.by_group.get(group);
        hash.is_some() && hash == other.by_group.get(group)
    }

    /// Returns the groups whose routes differ.
    pub fn differing(&self, other: &Self) -> impl Iterator<Item = Group> {
        (0..GROUPS).filter(|group| !self.agrees(other, *group))
    }
}

/// Returns the groups of all routes that a request may be on, or may have been on before routes
/// were added or removed.
pub fn groups_of(host: &str, path: &str) -> [Group; 2] {
    [group(host, first_segment(path)), group(host, "")]
}

fn first_segment(path: &str) -> &str {
    let path = path.strip_prefix('/').unwrap_or(path);
    path.split('/').next().unwrap_or_default()
}

fn group(host: &str, segment: &str) -> Group {
    let hash = xxh3_64_with_seed(segment.as_bytes(), xxh3_64_with_seed(host.as_bytes(), 0));
    (hash % GROUPS as u64) as Group
}

/// Returns a hash of a route and its services, without their weights.
fn services_hash(route: &Route) -> u64 {
    let host = xxh3_64_with_seed(route.host.as_bytes(), 0);
    let seed = xxh3_64_with_seed(route.prefix.as_bytes(), host);
    let services = route.services.iter();
    let hashes = services.map(|(service, _)| xxh3_64_with_seed(service.as_bytes(), seed));
    hashes.fold(seed, u64::wrapping_add)
}
