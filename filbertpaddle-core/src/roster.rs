//! Roster of a data centre: its members, the owners of pools and the fixed shares.
//!
//! The roster is stored as one row of the platform's table.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::Name;

/// Identifies one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId {
    /// Name of the VM.
    pub name: Name,
    /// Number of the node's incarnation; a restart gets a higher one.
    pub incarnation: u64,
}

/// A node that is a member of the data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identifies the node.
    pub id: NodeId,
    /// Address for peers, `ip:port`.
    pub address: Name,
}

/// Ownership of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Owner {
    /// Pool of targets.
    pub pool: Name,
    /// The owning member.
    pub member: NodeId,
    /// Fencing number; every change of the member raises it.
    pub epoch: u64,
}

/// The roster of a data centre, changed by compare-and-set only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Roster {
    /// Version of the roster; every change raises it.
    pub version: u64,
    /// Nodes that may own pools or be the relay, sorted by name.
    pub members: Vec<Member>,
    /// Nodes that divide each target's limit when no owner can be confirmed.
    pub sharers: Vec<NodeId>,
    /// Next list of sharers, pending until every node concerned has read it.
    pub next: Option<NextSharers>,
    /// Owners, sorted by pool.
    pub owners: Vec<Owner>,
}

/// A list of sharers that is not yet in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NextSharers {
    /// Version of the roster in which this list last changed.
    pub version: u64,
    /// Nodes that will divide each target's limit.
    pub sharers: Vec<NodeId>,
}

/// Returns the rendezvous weight of a node for a key.
pub fn weight(key: &str, id: &NodeId) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(id.name.as_bytes(), seed)
}

/// Returns a node's share of a limit that `sharers` divide.
///
/// The shares sum to exactly `limit`. A node that is not a sharer gets zero.
pub fn share(sharers: &[NodeId], target: &str, limit: u32, id: &NodeId) -> u32 {
    if !sharers.contains(id) {
        return 0;
    }
    let count = u32::try_from(sharers.len()).unwrap_or(u32::MAX);
    let own = (weight(target, id), id);
    let before = sharers
        .iter()
        .filter(|other| (weight(target, other), *other) > own)
        .count();
    let has_extra = u64::try_from(before).is_ok_and(|rank| rank < u64::from(limit % count));
    limit / count + u32::from(has_extra)
}

impl Roster {
    /// Returns the member with the highest rendezvous weight for a key among
    /// those that `keep` accepts.
    pub fn rendezvous_first<F>(&self, key: &str, keep: F) -> Option<&Member>
    where
        F: Fn(&Member) -> bool,
    {
        self.members
            .iter()
            .filter(|member| keep(member))
            .max_by_key(|member| (weight(key, &member.id), &member.id))
    }

    /// Returns the owner of a pool.
    pub fn owner(&self, pool: &str) -> Option<&Owner> {
        self.owners.iter().find(|owner| owner.pool == pool)
    }

    /// Returns a node's share of a limit, to be used without an owner.
    ///
    /// While a new list of sharers is pending, this is the smaller of both
    /// shares, so that nodes that hold either version stay within the limit
    /// together.
    pub fn share(&self, target: &str, limit: u32, id: &NodeId) -> u32 {
        let current = share(&self.sharers, target, limit, id);
        match &self.next {
            Some(next) => current.min(share(&next.sharers, target, limit, id)),
            None => current,
        }
    }

    /// Returns the largest share of a limit that a node may use under this or
    /// the last version of the roster.
    pub fn reserve(&self, target: &str, limit: u32, id: &NodeId) -> u32 {
        let current = share(&self.sharers, target, limit, id);
        match &self.next {
            Some(next) => current.max(share(&next.sharers, target, limit, id)),
            None => current,
        }
    }

    /// Returns the nodes that may hold or take work: all sharers except those
    /// known to have left.
    pub fn peers(&self) -> &[NodeId] {
        match &self.next {
            Some(next) => &next.sharers,
            None => &self.sharers,
        }
    }

    /// Returns the roster with a node added, replacing its earlier incarnations.
    pub fn join(&self, member: Member) -> Self {
        let mut roster = self.clone();
        roster.version += 1;
        roster
            .members
            .retain(|other| other.id.name != member.id.name);
        let mut sharers = self.peers().to_vec();
        sharers.retain(|other| other.name != member.id.name);
        sharers.push(member.id.clone());
        sharers.sort();
        roster.set_sharers(sharers);
        roster.members.push(member);
        roster.members.sort_by(|a, b| a.id.cmp(&b.id));
        roster
    }

    /// Returns the roster with a silent node removed from the members.
    ///
    /// The node stays a sharer, since it may be partitioned and still use its
    /// shares.
    pub fn retire(&self, id: &NodeId) -> Self {
        let mut roster = self.clone();
        roster.version += 1;
        roster.members.retain(|member| member.id != *id);
        roster
    }

    /// Returns the roster without a node that has certainly stopped.
    pub fn remove(&self, id: &NodeId) -> Self {
        let mut roster = self.retire(id);
        let mut sharers = self.peers().to_vec();
        sharers.retain(|other| other != id);
        if sharers.is_empty() {
            // An empty list needs no agreement, so it is in force at once.
            roster.sharers = sharers;
            roster.next = None;
            return roster;
        }
        roster.set_sharers(sharers);
        roster
    }

    /// Returns the roster with the next sharers in force, if `has_version`
    /// confirms that every node concerned holds the version that named them.
    pub fn activate_next_sharers<F>(&self, has_version: F) -> Option<Self>
    where
        F: Fn(&NodeId, u64) -> bool,
    {
        let next = self.next.as_ref()?;
        let has_left = |id: &NodeId| !next.sharers.contains(id);
        let old = self.sharers.iter().filter(|id| !has_left(id));
        if !old
            .chain(&next.sharers)
            .all(|id| has_version(id, next.version))
        {
            return None;
        }
        let mut roster = self.clone();
        roster.version += 1;
        roster.sharers = next.sharers.clone();
        roster.next = None;
        Some(roster)
    }

    /// Returns the roster with every pool owned by a member; `None` if nothing
    /// changes.
    ///
    /// A pool without an owner among the members gets the one with the highest
    /// rendezvous weight among the members that are sharers already.
    pub fn assign(&self, pools: &[Name]) -> Option<Self> {
        let mut roster = self.clone();
        roster.owners.retain(|owner| pools.contains(&owner.pool));
        for pool in pools {
            roster.assign_pool(pool);
        }
        roster.owners.sort_by(|a, b| a.pool.cmp(&b.pool));
        if roster.owners == self.owners {
            return None;
        }
        roster.version += 1;
        Some(roster)
    }

    fn assign_pool(&mut self, pool: &Name) {
        // An owner may grant on the promises of all sharers without reading the
        // roster, so its successor has to be one of them. A pending sharer may
        // not be known to it yet.
        let is_sharer = |member: &Member| self.sharers.contains(&member.id);
        let Some(first) = self
            .rendezvous_first(pool, is_sharer)
            .map(|member| member.id.clone())
        else {
            return;
        };
        let is_member = |id: &NodeId| self.members.iter().any(|member| member.id == *id);
        let owner = self.owner(pool);
        let is_kept = owner.is_some_and(|owner| is_member(&owner.member));
        // The version only grows, so an epoch taken from it is new even for a
        // pool that was removed from the roster and is added again.
        let epoch = self.version + 1;
        match self.owners.iter_mut().find(|owner| owner.pool == *pool) {
            Some(_) if is_kept => {}
            Some(owner) => {
                owner.member = first;
                owner.epoch = epoch;
            }
            None => self.owners.push(Owner {
                pool: pool.clone(),
                member: first,
                epoch,
            }),
        }
    }

    fn set_sharers(&mut self, sharers: Vec<NodeId>) {
        if self.sharers.is_empty() {
            self.sharers = sharers;
            return;
        }
        self.next = Some(NextSharers {
            version: self.version,
            sharers,
        });
    }
}
