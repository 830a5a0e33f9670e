//! Dispatches messages from peers to one inbox for each kind of message.

use filbertpaddle_wire::claim;
use filbertpaddle_wire::config;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::member;
use filbertpaddle_wire::message::Message;
use filbertpaddle_wire::remote;
use tokio::sync::mpsc;

use crate::peers::Peer;
use crate::peers::Received;

/// Maximum number of messages queued in one inbox.
const MAX_INBOX_MESSAGES: usize = 8_192;

/// A message of one kind and the node that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Incoming<M> {
    /// Sender.
    pub peer: Peer,
    /// The message.
    pub message: M,
}

/// Receivers of the inboxes.
#[derive(Debug)]
pub struct Inboxes {
    /// Membership messages.
    pub member: mpsc::Receiver<Incoming<member::Message>>,
    /// Messages about slots on targets.
    pub grant: mpsc::Receiver<Incoming<grant::Message>>,
    /// Configuration messages.
    pub config: mpsc::Receiver<Incoming<config::Message>>,
    /// Claim messages.
    pub claim: mpsc::Receiver<Incoming<claim::Message>>,
    /// Messages about slots in another data centre.
    pub remote: mpsc::Receiver<Incoming<remote::Message>>,
}

/// Senders to the [`Inboxes`].
#[derive(Debug)]
pub struct Senders {
    member: mpsc::Sender<Incoming<member::Message>>,
    grant: mpsc::Sender<Incoming<grant::Message>>,
    config: mpsc::Sender<Incoming<config::Message>>,
    claim: mpsc::Sender<Incoming<claim::Message>>,
    remote: mpsc::Sender<Incoming<remote::Message>>,
}

/// Creates the channels of all inboxes.
pub fn channels() -> (Senders, Inboxes) {
    let (member, member_inbox) = mpsc::channel(MAX_INBOX_MESSAGES);
    let (grant, grant_inbox) = mpsc::channel(MAX_INBOX_MESSAGES);
    let (config, config_inbox) = mpsc::channel(MAX_INBOX_MESSAGES);
    let (claim, claim_inbox) = mpsc::channel(MAX_INBOX_MESSAGES);
    let (remote, remote_inbox) = mpsc::channel(MAX_INBOX_MESSAGES);
    let senders = Senders {
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
    (senders, inboxes)
}

/// Dispatches messages until all links are gone.
///
/// Messages to a full inbox are dropped; every receiver tolerates lost messages.
pub async fn dispatch(mut received: mpsc::Receiver<Received>, senders: Senders) {
    while let Some(Received { from, message }) = received.recv().await {
        match message {
            Message::Member(message) => forward(&senders.member, from, message),
            Message::Grant(message) => forward(&senders.grant, from, message),
            Message::Config(message) => forward(&senders.config, from, message),
            Message::Claim(message) => forward(&senders.claim, from, message),
            Message::Remote(message) => forward(&senders.remote, from, message),
        }
    }
}

fn forward<M>(sender: &mpsc::Sender<Incoming<M>>, peer: Peer, message: M) {
    sender.try_send(Incoming { peer, message }).ok();
}
