//! Choice of the committer to which a node submits its changes of claims.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::commit;
use filbertpaddle_core::commit::ChangeSet;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::name::Name;
use filbertpaddle_wire::claim;
use filbertpaddle_wire::message::Message;
use indexmap::IndexMap;
use xtra::Address;

use crate::claim_commit::CommitActor;
use crate::claim_commit::SubmitChanges;
use crate::peers::Peer;
use crate::peers::Peers;

/// Time for which a committer that did not answer is not chosen again.
const COMMITTER_AVOID_MS: Millis = Millis::from_secs(10);

/// Chooses committers and tracks the changes in flight.
#[derive(Debug)]
pub(crate) struct Route {
    own: Peer,
    nodes_per_committer: usize,
    local: Address<CommitActor>,
    peers: Peers,
    sequence: u64,
    in_flight: Option<(u64, Name)>,
    avoided: IndexMap<Name, Millis>,
    /// Timeout for a committer's answer.
    pub(crate) timeout: Duration,
}

impl Route {
    pub(crate) fn new(
        own: Peer,
        nodes_per_committer: usize,
        local: Address<CommitActor>,
        peers: Peers,
        timeout: Duration,
    ) -> Self {
        Self {
            // Answers to an earlier incarnation of the node carry smaller sequence numbers,
            // so they never match changes in flight.
            sequence: own.incarnation << 16,
            own,
            nodes_per_committer,
            local,
            peers,
            in_flight: None,
            avoided: IndexMap::new(),
            timeout,
        }
    }

    /// Submits changes and returns the sequence number and the committer that identify the
    /// answer.
    ///
    /// Falls back to this node's own committer if the chosen one cannot be reached.
    pub(crate) fn submit(&mut self, now: Millis, changes: Vec<Change>) -> (u64, Name) {
        self.sequence += 1;
        let sequence = self.sequence;
        let mut committer = self.choose(now);
        if committer != self.own.name && !self.send(&committer, sequence, &changes) {
            committer = self.own.name.clone();
        }
        if committer == self.own.name {
            let change_set = ChangeSet {
                from: committer.clone(),
                sequence,
                changes,
            };
            tokio::spawn(self.local.send(SubmitChanges(change_set)).detach());
        }
        self.in_flight = Some((sequence, committer.clone()));
        (sequence, committer)
    }

    /// Returns whether an answer belongs to the changes in flight, which then are no longer
    /// in flight.
    pub(crate) fn settle(&mut self, sequence: u64, from: &Name) -> bool {
        let is_in_flight = self
            .in_flight
            .as_ref()
            .is_some_and(|(submitted, committer)| *submitted == sequence && committer == from);
        if is_in_flight {
            self.in_flight = None;
        }
        is_in_flight
    }

    /// Excludes a committer, which did not answer in time, for [`COMMITTER_AVOID_MS`].
    pub(crate) fn avoid(&mut self, now: Millis, committer: Name) {
        self.avoided.insert(committer, now + COMMITTER_AVOID_MS);
    }

    fn choose(&mut self, now: Millis) -> Name {
        self.avoided.retain(|_, until_ms| *until_ms > now);
        let own = &self.own;
        let peers = self.peers.connected().into_iter();
        let nodes: Vec<Name> = peers
            .filter(|peer| peer.data_centre == own.data_centre)
            .map(|peer| peer.name)
            .filter(|name| *name != own.name && !self.avoided.contains_key(name))
            .chain([own.name.clone()])
            .collect();
        commit::choose(&own.name, &nodes, self.nodes_per_committer)
    }

    fn send(&self, committer: &Name, sequence: u64, changes: &[Change]) -> bool {
        let message = claim::Message::Commit {
            sequence,
            changes: changes.to_vec(),
        };
        self.peers.send(committer, Message::Claim(message))
    }
}
