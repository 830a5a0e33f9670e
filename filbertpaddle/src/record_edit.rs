//! Determines which edit of a data centre's record a node has to make.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::membership::Relay;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::roster::Member;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::roster::Roster;

use crate::peers::Peer;

/// An edit of the record.
#[derive(Debug)]
pub(crate) struct RecordEdit {
    /// The roster after the edit.
    pub(crate) roster: Roster,
    /// Description for the log.
    pub(crate) description: &'static str,
}

/// Returns whether the roster lists an incarnation of a node as a member.
pub(crate) fn is_member(id: &NodeId, roster: &Roster) -> bool {
    roster.members.iter().any(|member| member.id == *id)
}

/// Returns the edit that is due, if this node has to make it.
///
/// Each node adds itself; all other edits are made by the relay, which receives
/// the heartbeats of all members.
pub(crate) fn due_edit(
    now: Millis,
    own: &Peer,
    roster: &Roster,
    relay: &Relay,
    pools: &[Name],
    entry_vms: &[Name],
    is_relay: bool,
) -> Option<RecordEdit> {
    let id = NodeId {
        name: own.name.clone(),
        incarnation: own.incarnation,
    };
    if !is_member(&id, roster) {
        let member = Member {
            id,
            address: own.address.clone(),
        };
        return Some(RecordEdit {
            roster: roster.join(member),
            description: "joined",
        });
    }
    if !is_relay {
        return None;
    }
    activate_sharers(roster, relay)
        .or_else(|| retire_silent(now, &id, roster, relay))
        .or_else(|| remove_unlisted(now, roster, relay, entry_vms))
        .or_else(|| assign_owners(roster, pools))
}

fn activate_sharers(roster: &Roster, relay: &Relay) -> Option<RecordEdit> {
    let roster = roster.activate_next_sharers(|id, version| relay.has_version(id, version))?;
    Some(RecordEdit {
        roster,
        description: "sharers activated",
    })
}

fn retire_silent(now: Millis, own: &NodeId, roster: &Roster, relay: &Relay) -> Option<RecordEdit> {
    let members = roster.members.iter();
    let silent = members
        .filter(|member| member.id != *own)
        .find(|member| relay.is_silent(now, &member.id))?;
    Some(RecordEdit {
        roster: roster.retire(&silent.id),
        description: "silent member retired",
    })
}

/// Removes a retired node that the platform no longer lists, so that no share is
/// kept for it. A list without any entry VM does not show that a node is gone.
fn remove_unlisted(
    now: Millis,
    roster: &Roster,
    relay: &Relay,
    entry_vms: &[Name],
) -> Option<RecordEdit> {
    if entry_vms.is_empty() {
        return None;
    }
    let gone = roster.peers().iter().find(|id| {
        !is_member(id, roster) && !entry_vms.contains(&id.name) && relay.is_silent(now, id)
    })?;
    Some(RecordEdit {
        roster: roster.remove(gone),
        description: "unlisted member removed",
    })
}

fn assign_owners(roster: &Roster, pools: &[Name]) -> Option<RecordEdit> {
    let assigned = roster.owners.iter().map(|owner| owner.pool.clone());
    let mut all: Vec<Name> = assigned.chain(pools.iter().cloned()).collect();
    all.sort();
    all.dedup();
    Some(RecordEdit {
        roster: roster.assign(&all)?,
        description: "owners assigned",
    })
}
