//! Failure detection in a data centre: members' heartbeats and the relay's answers.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::peer::Promise;
use crate::roster::NodeId;
use crate::roster::Roster;
use crate::timing::Timing;

/// Time without a heartbeat after which a member counts as silent.
pub const HEARTBEAT_TIMEOUT_MS: Millis = Millis::from_secs(4);
/// Number of members up to which heartbeats are sent at the short interval.
const SMALL_MEMBERSHIP: usize = 16;
const SHORT_INTERVAL_MS: Millis = Millis(500);
const LONG_INTERVAL_MS: Millis = Millis(2_000);

/// Returns the time between two heartbeats of one member.
pub fn interval_ms(members: usize) -> Millis {
    match members <= SMALL_MEMBERSHIP {
        true => SHORT_INTERVAL_MS,
        false => LONG_INTERVAL_MS,
    }
}

/// A member's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// When it was sent, on the member's clock.
    #[serde(rename = "t")]
    pub sent_ms: Millis,
    /// `relay_ms` of the last answer that the member received.
    #[serde(rename = "e")]
    pub echo_ms: Option<Millis>,
    /// Version of the roster that the member holds.
    #[serde(rename = "v")]
    pub version: u64,
    /// The member's session, if it promises not to use its shares for a while.
    #[serde(rename = "p")]
    pub promise: Option<u32>,
}

/// The relay's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// `sent_ms` of the heartbeat.
    #[serde(rename = "e")]
    pub echo_ms: Millis,
    /// When the answer was sent, on the relay's clock.
    #[serde(rename = "t")]
    pub relay_ms: Millis,
    /// Version of the roster that the relay read last.
    #[serde(rename = "v")]
    pub version: u64,
    /// Age of that read, counted from when it was requested.
    #[serde(rename = "a")]
    pub read_age_ms: Option<Millis>,
    /// Status of each peer, in the roster's order.
    #[serde(rename = "p")]
    pub peers: Vec<PeerStatus>,
}

/// Status of one peer, as the relay reports it to members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerStatus(
    /// Session of the last promise.
    pub u32,
    /// Age of the last promise.
    pub Option<Millis>,
    /// Whether a heartbeat of the peer arrived within [`HEARTBEAT_TIMEOUT_MS`].
    pub bool,
);

/// The relay's state of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct MemberState {
    id: NodeId,
    heard_ms: Millis,
    version: u64,
    promise: Option<Promise>,
}

/// The relay, which receives the heartbeats of all members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Relay {
    started_ms: Millis,
    members: Vec<MemberState>,
    read_ms: Option<Millis>,
}

impl Relay {
    /// Returns a relay that has received no heartbeat.
    pub fn new(now: Millis) -> Self {
        Self {
            started_ms: now,
            ..Self::default()
        }
    }

    /// Records that a read of the roster, requested at `requested_ms`, succeeded.
    pub fn on_roster_read(&mut self, requested_ms: Millis) {
        self.read_ms = self.read_ms.max(Some(requested_ms));
    }

    /// Records a heartbeat and returns the answer.
    pub fn on_heartbeat(
        &mut self,
        now: Millis,
        from: &NodeId,
        heartbeat: &Heartbeat,
        roster: &Roster,
    ) -> Answer {
        self.record_heartbeat(now, from, heartbeat);
        let age = |at_ms: Millis| now.since(at_ms);
        let version = roster.version;
        let peers = roster
            .peers()
            .iter()
            .map(|id| self.peer_status(now, id, version));
        // Peers that hold a newer roster are reported without a promise:
        // theirs does not show that this roster's owners may still grant.
        Answer {
            echo_ms: heartbeat.sent_ms,
            relay_ms: now,
            version: roster.version,
            read_age_ms: self.read_ms.map(age),
            peers: peers.collect(),
        }
    }

    /// Returns whether no heartbeat of a member arrived within [`HEARTBEAT_TIMEOUT_MS`].
    ///
    /// No member counts as silent before this relay has run for that long.
    pub fn is_silent(&self, now: Millis, id: &NodeId) -> bool {
        let member = self.members.iter().find(|member| member.id == *id);
        let since_ms = member.map_or(self.started_ms, |member| member.heard_ms);
        now.since(since_ms) > HEARTBEAT_TIMEOUT_MS
    }

    /// Returns whether a member holds at least this version of the roster.
    pub fn has_version(&self, id: &NodeId, version: u64) -> bool {
        let member = self.members.iter().find(|member| member.id == *id);
        member.is_some_and(|member| member.version >= version)
    }

    fn record_heartbeat(&mut self, now: Millis, from: &NodeId, heartbeat: &Heartbeat) {
        // The member had received the relay's answer sent at `echo_ms` when it
        // promised, so that time is a lower bound of when the promise was made.
        let promise = heartbeat.promise.zip(heartbeat.echo_ms);
        let promise = promise.map(|(session, made_ms)| Promise { session, made_ms });
        self.members
            .retain(|member| member.id.name != from.name || member.id == *from);
        match self.members.iter_mut().find(|member| member.id == *from) {
            Some(member) => {
                member.heard_ms = now;
                member.version = member.version.max(heartbeat.version);
                member.promise = promise.or(member.promise);
            }
            None => self.members.push(MemberState {
                id: from.clone(),
                heard_ms: now,
                version: heartbeat.version,
                promise,
            }),
        }
    }

    fn peer_status(&self, now: Millis, id: &NodeId, version: u64) -> PeerStatus {
        let member = self.members.iter().find(|member| member.id == *id);
        let current = member.filter(|member| member.version <= version);
        let promise = current.and_then(|member| member.promise);
        let session = promise.map_or(0, |promise| promise.session);
        let age_ms = promise.map(|promise| now.since(promise.made_ms));
        PeerStatus(session, age_ms, !self.is_silent(now, id))
    }
}

/// What one answer of the relay confirms to a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// Version of the roster that the relay had read.
    pub version: u64,
    /// Lower bound of when that read was requested, on the member's clock.
    pub read_ms: Option<Millis>,
    /// Promises of peers; their times are lower bounds on the member's clock.
    pub promises: Vec<(NodeId, Promise)>,
    /// Whether no peer was silent.
    pub all_peers_heard: bool,
}

/// Converts an answer's ages to times on the member's clock.
///
/// Returns `None` if the answer is of another version of the roster than
/// `roster`, whose peers it then does not describe.
pub fn confirmation(answer: &Answer, roster: &Roster) -> Option<Confirmation> {
    let ids = roster.peers();
    if answer.version != roster.version || answer.peers.len() != ids.len() {
        return None;
    }
    // The relay answered after the heartbeat was sent, so subtracting ages from
    // the send time can only make events look older than they are.
    let time_before_send = |age_ms: Millis| Some(Millis(answer.echo_ms.0.checked_sub(age_ms.0)?));
    let statuses = ids.iter().zip(&answer.peers);
    let promises = statuses.filter_map(|(id, PeerStatus(session, age_ms, _))| {
        let made_ms = time_before_send((*age_ms)?)?;
        let session = *session;
        Some((id.clone(), Promise { session, made_ms }))
    });
    Some(Confirmation {
        version: answer.version,
        read_ms: answer.read_age_ms.and_then(time_before_send),
        promises: promises.collect(),
        all_peers_heard: answer.peers.iter().all(|PeerStatus(_, _, heard)| *heard),
    })
}

/// Returns whether a member must switch to its fixed shares.
///
/// This is so when the relay has not read the roster recently and a peer, which
/// may be an owner, is silent.
pub fn must_enter_share_mode(now: Millis, confirmation: &Confirmation, timing: &Timing) -> bool {
    let recent = |requested_ms: Millis| now < requested_ms + timing.confirm_ms;
    !confirmation.all_peers_heard && !confirmation.read_ms.is_some_and(recent)
}
