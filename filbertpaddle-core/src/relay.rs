//! Ranking of a data centre's nodes as relays, and the live nodes with their
//! pending requests.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::name::Name;

/// Maximum number of members to which one member forwards a push.
pub const FAN_OUT: usize = 4;
/// Number of highest-ranked members that are the relay or a standby relay.
pub const RELAY_CANDIDATES: usize = 3;
/// Time without a response after which a node counts as unresponsive.
pub const RESPONSE_TIMEOUT_MS: Millis = Millis(1_000);
/// How long an unresponsive node is excluded from the ranking.
pub const EXCLUSION_MS: Millis = Millis::from_secs(10);

/// Ranks the members of a data centre as relays; the first one is the relay.
///
/// The ranking is a hash of the names alone (rendezvous hashing), so nodes with
/// the same list of members agree, and a member that leaves does not change the
/// order of the others.
pub fn rank<'a, I>(data_centre: &Name, members: I) -> Vec<&'a Name>
where
    I: IntoIterator<Item = &'a Name>,
{
    let seed = xxh3_64_with_seed(data_centre.as_bytes(), 0);
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_cached_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), (*name).clone()));
    ranked
}

/// Returns the members to which one member forwards a push.
///
/// The ranked members form a [`FAN_OUT`]-ary tree with the first as its root.
pub fn children<'a>(ranked: &[&'a Name], member: &Name) -> Vec<&'a Name> {
    let Some(index) = ranked.iter().position(|name| *name == member) else {
        return Vec::new();
    };
    let first = index * FAN_OUT + 1;
    ranked.iter().skip(first).take(FAN_OUT).copied().collect()
}

/// One live node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name of the node.
    pub node: Name,
    /// Its data centre.
    pub data_centre: Name,
}

/// A request without a response yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    seq: u64,
    sent_at: Millis,
}

/// The live nodes, with pending requests to them and the unresponsive ones.
#[derive(Clone, Debug)]
pub struct LiveNodes {
    local: Member,
    members: Vec<Member>,
    seq: u64,
    pending: BTreeMap<Name, PendingRequest>,
    excluded_until: BTreeMap<Name, Millis>,
}

impl LiveNodes {
    /// Creates a list that contains only this node.
    pub fn new(local: Member) -> Self {
        Self {
            members: vec![local.clone()],
            local,
            seq: 0,
            pending: BTreeMap::new(),
            excluded_until: BTreeMap::new(),
        }
    }

    /// Returns this node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Replaces the live nodes; this node always remains in the list.
    pub fn set_members(&mut self, mut members: Vec<Member>) {
        if !members.contains(&self.local) {
            members.push(self.local.clone());
        }
        self.members = members;
        let live: Vec<_> = self.members.iter().map(|member| &member.node).collect();
        self.pending.retain(|node, _| live.contains(&node));
        self.excluded_until.retain(|node, _| live.contains(&node));
    }

    /// Returns whether a node is live.
    pub fn contains(&self, node: &Name) -> bool {
        self.members.iter().any(|member| member.node == *node)
    }

    /// Returns the nodes of a data centre, including unresponsive ones.
    pub fn nodes_of(&self, data_centre: &Name) -> impl Iterator<Item = &Name> {
        self.members
            .iter()
            .filter(move |member| member.data_centre == *data_centre)
            .map(|member| &member.node)
    }

    /// Returns the data centres of the live nodes, sorted and without duplicates.
    pub fn data_centres(&self) -> Vec<Name> {
        let data_centre = |member: &Member| member.data_centre.clone();
        let mut names: Vec<_> = self.members.iter().map(data_centre).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns the relay of a data centre.
    pub fn relay_of(&self, data_centre: &Name) -> Option<Name> {
        self.ranked(data_centre).first().copied().cloned()
    }

    /// Returns the nodes of a data centre by rank, without unresponsive ones.
    pub fn ranked(&self, data_centre: &Name) -> Vec<&Name> {
        let is_responsive = |node: &&Name| !self.excluded_until.contains_key(*node);
        rank(
            data_centre,
            self.nodes_of(data_centre).filter(is_responsive),
        )
    }

    /// Returns the rank of this node in its data centre; rank 0 is the relay.
    pub fn local_rank(&self) -> usize {
        let ranked = self.ranked(&self.local.data_centre);
        let index = ranked.iter().position(|node| **node == self.local.node);
        index.unwrap_or(ranked.len())
    }

    /// Records a request to a node and returns its sequence number.
    pub fn start_request(&mut self, now: Millis, to: &Name) -> u64 {
        self.seq += 1;
        let seq = self.seq;
        self.pending
            .insert(to.clone(), PendingRequest { seq, sent_at: now });
        seq
    }

    /// Returns whether a request to a node is pending.
    pub fn is_pending(&self, node: &Name) -> bool {
        self.pending.contains_key(node)
    }

    /// Returns whether no request is pending.
    pub fn none_pending(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records a response and returns when its request was sent; `None` if no
    /// such request is pending.
    pub fn complete_request(&mut self, from: &Name, seq: u64) -> Option<Millis> {
        let request = self
            .pending
            .get(from)
            .filter(|request| request.seq == seq)?;
        let sent_at = request.sent_at;
        self.pending.remove(from);
        Some(sent_at)
    }

    /// Records that a message from a node arrived, so it is ranked again.
    pub fn mark_responsive(&mut self, from: &Name) {
        self.excluded_until.remove(from);
    }

    /// Excludes nodes whose response is overdue; returns whether there are any
    /// new ones.
    pub fn exclude_unresponsive(&mut self, now: Millis) -> bool {
        self.excluded_until.retain(|_, until| *until > now);
        let is_overdue =
            |request: &PendingRequest| now.since(request.sent_at) >= RESPONSE_TIMEOUT_MS;
        let overdue: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, request)| is_overdue(request))
            .map(|(node, _)| node.clone())
            .collect();
        for node in &overdue {
            self.pending.remove(node);
            self.excluded_until.insert(node.clone(), now + EXCLUSION_MS);
        }
        !overdue.is_empty()
    }
}
