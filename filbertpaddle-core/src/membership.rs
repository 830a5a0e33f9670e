//! Heartbeats between the members of a data centre and their relay.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::peer::Promise;
use crate::roster::NodeId;
use crate::roster::Roster;
use crate::timing::Timing;

/// How long a member may be unheard before it counts as silent.
pub const SILENT_MS: Millis = Millis::from_secs(4);
/// Members up to which heartbeats go out at the short interval.
const SMALL: usize = 16;
const SHORT_INTERVAL_MS: Millis = Millis(500);
const LONG_INTERVAL_MS: Millis = Millis(2_000);

/// Returns the time between two heartbeats of one member.
pub fn interval_ms(members: usize) -> Millis {
    match members <= SMALL {
        true => SHORT_INTERVAL_MS,
        false => LONG_INTERVAL_MS,
    }
}

/// A member's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Beat {
    /// When it was sent, on the member's clock.
    #[serde(rename = "t")]
    pub sent_ms: Millis,
    /// `relay_ms` of the last answer that the member received.
    #[serde(rename = "e")]
    pub echo_ms: Option<Millis>,
    /// Version of the record that the member knows.
    #[serde(rename = "v")]
    pub version: u64,
    /// The member's session if it promises to use no share.
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
    /// Version of the record that was read last.
    #[serde(rename = "v")]
    pub version: u64,
    /// Age of that reading, from when it was asked for.
    #[serde(rename = "a")]
    pub reading_age_ms: Option<Millis>,
    /// What is known of each peer, in the record's order.
    #[serde(rename = "p")]
    pub peers: Vec<Told>,
}

/// What the relay tells of one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told(
    /// Session of the last promise.
    pub u32,
    /// Age of the last promise.
    pub Option<Millis>,
    /// Whether the peer was heard a short while ago.
    pub bool,
);

/// What the relay knows of one member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard {
    id: NodeId,
    at_ms: Millis,
    version: u64,
    promise: Option<Promise>,
}

/// The relay's side.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Relay {
    started_ms: Millis,
    heard: Vec<Heard>,
    reading_ms: Option<Millis>,
}

impl Relay {
    /// Returns a relay that has heard nobody.
    pub fn new(now: Millis) -> Self {
        Self {
            started_ms: now,
            ..Self::default()
        }
    }

    /// Notes that a reading of the record was asked for at `asked_ms` and succeeded.
    pub fn on_reading(&mut self, asked_ms: Millis) {
        self.reading_ms = self.reading_ms.max(Some(asked_ms));
    }

    /// Takes in a heartbeat and answers it.
    pub fn on_beat(&mut self, now: Millis, from: &NodeId, beat: &Beat, roster: &Roster) -> Answer {
        self.note(now, from, beat);
        let age = |at_ms: Millis| now.since(at_ms);
        let version = roster.version;
        let peers = roster.peers().iter().map(|id| self.told(now, id, version));
        // The promise of a member that knows a newer record is no sign that
        // the owners of this one stand.
        Answer {
            echo_ms: beat.sent_ms,
            relay_ms: now,
            version: roster.version,
            reading_age_ms: self.reading_ms.map(age),
            peers: peers.collect(),
        }
    }

    /// Returns whether a member has not been heard for a while.
    ///
    /// Nobody counts as silent until this relay has listened that long.
    pub fn is_silent(&self, now: Millis, id: &NodeId) -> bool {
        let heard = self.heard.iter().find(|heard| heard.id == *id);
        let since_ms = heard.map_or(self.started_ms, |heard| heard.at_ms);
        now.since(since_ms) > SILENT_MS
    }

    /// Returns whether a member knows a version of the record.
    pub fn knows(&self, id: &NodeId, version: u64) -> bool {
        let heard = self.heard.iter().find(|heard| heard.id == *id);
        heard.is_some_and(|heard| heard.version >= version)
    }

    fn note(&mut self, now: Millis, from: &NodeId, beat: &Beat) {
        // The member had this relay's answer of `echo_ms` when it promised.
        let promise = beat.promise.zip(beat.echo_ms);
        let promise = promise.map(|(session, made_ms)| Promise { session, made_ms });
        self.heard
            .retain(|heard| heard.id.name != from.name || heard.id == *from);
        match self.heard.iter_mut().find(|heard| heard.id == *from) {
            Some(heard) => {
                heard.at_ms = now;
                heard.version = heard.version.max(beat.version);
                heard.promise = promise.or(heard.promise);
            }
            None => self.heard.push(Heard {
                id: from.clone(),
                at_ms: now,
                version: beat.version,
                promise,
            }),
        }
    }

    fn told(&self, now: Millis, id: &NodeId, version: u64) -> Told {
        let heard = self.heard.iter().find(|heard| heard.id == *id);
        let current = heard.filter(|heard| heard.version <= version);
        let promise = current.and_then(|heard| heard.promise);
        let session = promise.map_or(0, |promise| promise.session);
        let age_ms = promise.map(|promise| now.since(promise.made_ms));
        Told(session, age_ms, !self.is_silent(now, id))
    }
}

/// What a member learnt from its relay.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// Version of the record that the relay had read.
    pub version: u64,
    /// Lower bound of when that reading was asked for, on the member's clock.
    pub reading_ms: Option<Millis>,
    /// Promises of peers, made at these lower bounds on the member's clock.
    pub promises: Vec<(NodeId, Promise)>,
    /// Whether the relay had heard every peer a short while ago.
    pub all_heard: bool,
}

/// Turns an answer into the member's own time.
///
/// Returns `None` if the answer is of another version of the record than
/// `roster`, whose peers it then does not describe.
pub fn confirmation(answer: &Answer, roster: &Roster) -> Option<Confirmation> {
    let ids = roster.peers();
    if answer.version != roster.version || answer.peers.len() != ids.len() {
        return None;
    }
    // The relay answered after the heartbeat was sent, so counting ages from
    // the sending only makes everything look older.
    let back = |age_ms: Millis| Some(Millis(answer.echo_ms.0.checked_sub(age_ms.0)?));
    let told = ids.iter().zip(&answer.peers);
    let promises = told.filter_map(|(id, Told(session, age_ms, _))| {
        let made_ms = back((*age_ms)?)?;
        let session = *session;
        Some((id.clone(), Promise { session, made_ms }))
    });
    Some(Confirmation {
        version: answer.version,
        reading_ms: answer.reading_age_ms.and_then(back),
        promises: promises.collect(),
        all_heard: answer.peers.iter().all(|Told(_, _, heard)| *heard),
    })
}

/// Returns whether owners cannot be relied on after a confirmation: the table
/// cannot be read and somebody is silent, who may be an owner.
pub fn must_share(now: Millis, confirmation: &Confirmation, timing: &Timing) -> bool {
    let recent = |asked_ms: Millis| now < asked_ms + timing.confirm_ms;
    !confirmation.all_heard && !confirmation.reading_ms.is_some_and(recent)
}
