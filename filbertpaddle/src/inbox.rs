//! Hands what peers send to the part it is for.

use filbertpaddle_wire::claim;
use filbertpaddle_wire::config;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::member;
use filbertpaddle_wire::message::Message;
use filbertpaddle_wire::remote;
use tokio::sync::mpsc;

use crate::peers::Peer;
use crate::peers::Received;

/// Most messages that wait for one part.
const PART_MESSAGES: usize = 8_192;

/// A message for one part and the node that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Incoming<M> {
    /// Sender.
    pub peer: Peer,
    /// What was sent.
    pub message: M,
}

/// Where each part receives its messages.
#[derive(Debug)]
pub struct Inboxes {
    /// For membership.
    pub member: mpsc::Receiver<Incoming<member::Message>>,
    /// For slots on targets.
    pub grant: mpsc::Receiver<Incoming<grant::Message>>,
    /// For configuration.
    pub config: mpsc::Receiver<Incoming<config::Message>>,
    /// For claims.
    pub claim: mpsc::Receiver<Incoming<claim::Message>>,
    /// For slots in another data centre.
    pub remote: mpsc::Receiver<Incoming<remote::Message>>,
}

/// The other ends of [`Inboxes`].
#[derive(Debug)]
pub struct Outlets {
    member: mpsc::Sender<Incoming<member::Message>>,
    grant: mpsc::Sender<Incoming<grant::Message>>,
    config: mpsc::Sender<Incoming<config::Message>>,
    claim: mpsc::Sender<Incoming<claim::Message>>,
    remote: mpsc::Sender<Incoming<remote::Message>>,
}

/// Opens one inbox for each part.
pub fn open() -> (Outlets, Inboxes) {
    let (member, member_inbox) = mpsc::channel(PART_MESSAGES);
    let (grant, grant_inbox) = mpsc::channel(PART_MESSAGES);
    let (config, config_inbox) = mpsc::channel(PART_MESSAGES);
    let (claim, claim_inbox) = mpsc::channel(PART_MESSAGES);
    let (remote, remote_inbox) = mpsc::channel(PART_MESSAGES);
    let outlets = Outlets {
        member,
        grant,
        config,
        claim,
        remote,
    };
    let inboxes = Inboxes {
        member: member_inbox,
        grant: grant_inbox,
        config: config_inbox,
        claim: claim_inbox,
        remote: remote_inbox,
    };
    (outlets, inboxes)
}

/// Hands messages on until all links are gone.
///
/// A part that does not keep up loses messages; every part tolerates that.
pub async fn dispatch(mut received: mpsc::Receiver<Received>, outlets: Outlets) {
    while let Some(Received { from, message }) = received.recv().await {
        match message {
            Message::Member(message) => pass(&outlets.member, from, message),
            Message::Grant(message) => pass(&outlets.grant, from, message),
            Message::Config(message) => pass(&outlets.config, from, message),
            Message::Claim(message) => pass(&outlets.claim, from, message),
            Message::Remote(message) => pass(&outlets.remote, from, message),
        }
    }
}

fn pass<M>(outlet: &mpsc::Sender<Incoming<M>>, peer: Peer, message: M) {
    outlet.try_send(Incoming { peer, message }).ok();
}
