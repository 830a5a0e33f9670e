//! Which change of a data centre's record a node has to make.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::membership::Relay;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::roster::Member;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;

use crate::peers::Peer;

/// One change of the record.
#[derive(Debug)]
pub(crate) struct Edit {
    /// The record after the change.
    pub(crate) roster: Roster,
    /// What changes, for the log.
    pub(crate) what: &'static str,
}

/// Returns whether a life of a node is in the record.
pub(crate) fn is_member(id: &NodeId, roster: &Roster) -> bool {
    roster.members.iter().any(|member| member.id == *id)
}

/// Returns the change that is due, if it is for this node.
///
/// Each node adds itself; all else is left to the relay, which hears every
/// member.
pub(crate) fn edit(
    now: Millis,
    own: &Peer,
    roster: &Roster,
    relay: &Relay,
    pools: &[Name],
    listed: &[Name],
    is_relay: bool,
) -> Option<Edit> {
    let id = NodeId {
        name: own.name.clone(),
        incarnation: own.incarnation,
    };
    if !is_member(&id, roster) {
        let member = Member {
            id,
            address: own.address.clone(),
        };
        return Some(Edit {
            roster: roster.join(member),
            what: "joined",
        });
    }
    if !is_relay {
        return None;
    }
    settle(roster, relay)
        .or_else(|| retire(now, &id, roster, relay))
        .or_else(|| remove(now, roster, relay, listed))
        .or_else(|| assign(roster, pools))
}

fn settle(roster: &Roster, relay: &Relay) -> Option<Edit> {
    let roster = roster.activate_next_sharers(|id, version| relay.has_version(id, version))?;
    Some(Edit {
        roster,
        what: "sharers settled",
    })
}

fn retire(now: Millis, own: &NodeId, roster: &Roster, relay: &Relay) -> Option<Edit> {
    let members = roster.members.iter();
    let silent = members
        .filter(|member| member.id != *own)
        .find(|member| relay.is_silent(now, &member.id))?;
    Some(Edit {
        roster: roster.retire(&silent.id),
        what: "silent member retired",
    })
}

/// Removes a retired node that the platform no longer lists, so that nothing
/// is kept for it. A list without any entry VM says nothing.
fn remove(now: Millis, roster: &Roster, relay: &Relay, listed: &[Name]) -> Option<Edit> {
    if listed.is_empty() {
        return None;
    }
    let gone = roster.peers().iter().find(|id| {
        !is_member(id, roster) && !listed.contains(&id.name) && relay.is_silent(now, id)
    })?;
    Some(Edit {
        roster: roster.remove(gone),
        what: "gone member removed",
    })
}

fn assign(roster: &Roster, pools: &[Name]) -> Option<Edit> {
    let known = roster.owners.iter().map(|owner| owner.pool.clone());
    let mut all: Vec<Name> = known.chain(pools.iter().cloned()).collect();
    all.sort();
    all.dedup();
    Some(Edit {
        roster: roster.assign(&all)?,
        what: "owners assigned",
    })
}
