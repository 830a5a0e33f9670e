//! Publishes this node's data to the nodes that are linked to it.
//!
//! Followers receive the store's tables, the list of nodes, the load of all nodes, and the
//! findings: suspects, stated rates and leaving targets. Readers receive the load of this
//! node's group and the findings.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::speed_table::SpeedPart;
use slog::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::interval;

use crate::acceptor::Acceptor;
use crate::peer_link::Error;
use crate::peer_link::PUBLISH_INTERVAL;
use crate::peer_link::PeerLink;
use crate::peer_link::merge_findings;
use crate::peer_message::Ages;
use crate::peer_message::Message;
use crate::state::State;
use crate::tunnel_server;

/// Interval at which the age of this node's data is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// What has been sent to one follower.
#[derive(Clone, Copy, Debug, Default)]
struct Published {
    /// Sequence number of the last table change.
    sequence: u64,
    /// Number of reads of the list of nodes at the last sent list.
    reads: u64,
    /// Whether this node had lost the store when its ages were last sent.
    is_store_lost: bool,
    /// Times when the tables were up to date, when the ages were last sent.
    current_at_ms: [Millis; 2],
}

/// Accepts links from other nodes for as long as this one runs.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    let mut acceptor = Acceptor::new(listener, state.log.clone(), "nodes");
    loop {
        let (stream, from) = acceptor.accept().await;
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            if let Err(error) = serve_peer(&state, stream, from.ip()).await {
                debug!(state.log, "link from a node ended";
                    "from" => %from, "error" => %error);
            }
        });
    }
}

async fn serve_peer(state: &State, stream: TcpStream, from: IpAddr) -> Result<(), Error> {
    let (mut link, first) = PeerLink::accept(stream).await?;
    let (node, is_reader) = match first {
        Message::Hello {
            node,
            is_reader,
            configuration,
        } => {
            link.set_stated_configuration(state, configuration);
            (node, is_reader)
        }
        Message::Open(request) => return tunnel_server::serve(state, link, from, request).await,
        _ => return Err(Error::Unreadable("unexpected first message".to_owned())),
    };
    state.record_peer(&node);
    if is_reader {
        return publish_to_reader(state, &mut link).await;
    }
    let result = publish_to_follower(state, &mut link, &node).await;
    state.load_table.borrow_mut().remove_member(&node);
    state.merge_speeds(|table, _| table.remove_member(&node));
    result
}

/// Publishes the load of this node's group to another reader, and receives what it finds out.
async fn publish_to_reader(state: &State, link: &mut PeerLink) -> Result<(), Error> {
    let mut publish_timer = interval(PUBLISH_INTERVAL);
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    loop {
        tokio::select! {
            _ = publish_timer.tick() => {
                let group_load = group_load(state);
                link.publish(state, group_load).await?;
                publish_group_speeds(state, link).await?;
                link.publish_counts(state).await?;
            }
            _ = heartbeat.tick() => link.send(&ages_message(state)).await?,
            message = link.receive() => {
                if let Some(message) = merge_findings(state, message?) {
                    debug!(state.log, "unexpected message from reader ignored";
                        "message" => ?message);
                }
            }
        }
    }
}

/// Returns the load of this node's group. A node that is no reader has none: its own load is
/// part of the group of the reader that it follows.
fn group_load(state: &State) -> LoadByTarget {
    if state.is_reader() {
        state.load_table.borrow().group_total()
    } else {
        LoadByTarget::new()
    }
}

/// Publishes the samples of this node's group, if it has one.
async fn publish_group_speeds(state: &State, link: &mut PeerLink) -> Result<(), Error> {
    if state.is_reader() {
        link.publish_speeds(state, SpeedPart::Group).await?;
    }
    Ok(())
}

/// Publishes the store's tables and the load of all nodes to a follower.
async fn publish_to_follower(state: &State, link: &mut PeerLink, node: &Name) -> Result<(), Error> {
    let mut changes = state.subscribe();
    let mut published = Published::default();
    let mut publish_timer = interval(PUBLISH_INTERVAL);
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    loop {
        send_tables(state, link, &mut published).await?;
        send_nodes(state, link, &mut published).await?;
        let is_store_lost = published.is_store_lost != state.lacks_data();
        if is_store_lost || published.current_at_ms != current_at_ms(state) {
            // Followers read the store themselves from now on, or rely on this node for longer.
            send_ages(state, link, &mut published).await?;
            heartbeat.reset();
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = publish_timer.tick() => {
                let total = state.load_table.borrow().total();
                link.publish(state, total).await?;
                link.publish_speeds(state, SpeedPart::Total).await?;
            }
            _ = heartbeat.tick() => send_ages(state, link, &mut published).await?,
            message = link.receive() => match message? {
                Message::ClockRequest { sent_ms } => {
                    let clock_ms = state.clock.now();
                    let clock = Message::Clock { requested_ms: sent_ms, clock_ms };
                    link.send(&clock).await?;
                }
                message => receive_from_follower(state, node, message),
            },
        }
    }
}

fn receive_from_follower(state: &State, node: &Name, message: Message) {
    match message {
        Message::Work(changes) => state.load_table.borrow_mut().update_member(node, &changes),
        Message::Speeds(sent) => {
            state.merge_speeds(|table, now| table.update_member(now, node, &sent));
        }
        Message::RolloutCounts(counts) => state.merge_rollout_counts(&counts, true),
        message => {
            if let Some(message) = merge_findings(state, message) {
                debug!(state.log, "unexpected message from follower ignored";
                    "message" => ?message);
            }
        }
    }
}

/// Sends the changes of both tables since the last call.
async fn send_tables(
    state: &State,
    link: &mut PeerLink,
    published: &mut Published,
) -> Result<(), Error> {
    let (sequence, batches) = {
        let directory = state.directory.borrow();
        let tables = [Table::Operator, Table::Targets];
        let batches = tables.map(|table| directory.changes_after(table, published.sequence));
        (directory.sequence(), batches)
    };
    for batch in batches {
        if !batch.revision.is_zero() && !batch.changes.is_empty() {
            link.send_table(state, batch).await?;
        }
    }
    published.sequence = sequence;
    Ok(())
}

/// Sends the list of nodes if it has been read since the last call.
async fn send_nodes(
    state: &State,
    link: &mut PeerLink,
    published: &mut Published,
) -> Result<(), Error> {
    let reads = state.nodes.borrow().reads();
    if reads != published.reads {
        let list = state.nodes.borrow().list().clone();
        link.send(&Message::Nodes(list)).await?;
        published.reads = reads;
    }
    Ok(())
}

/// Sends the age of this node's data.
async fn send_ages(
    state: &State,
    link: &mut PeerLink,
    published: &mut Published,
) -> Result<(), Error> {
    published.is_store_lost = state.lacks_data();
    published.current_at_ms = current_at_ms(state);
    link.send(&ages_message(state)).await
}

/// Returns the times when this node's tables were last known to be up to date.
fn current_at_ms(state: &State) -> [Millis; 2] {
    let directory = state.directory.borrow();
    [Table::Operator, Table::Targets].map(|table| directory.current_at_ms(table))
}

fn ages_message(state: &State) -> Message {
    let nodes = state.nodes.borrow();
    let (nodes_fingerprint, listed_ms) = (nodes.fingerprint(), nodes.listed_ms());
    drop(nodes);
    Message::Ages(Ages {
        operator_ms: state.data_age_ms(Table::Operator),
        targets_ms: state.data_age_ms(Table::Targets),
        clock_ms: Some(state.clock.now()),
        is_store_lost: state.lacks_data(),
        era: state.directory.borrow().era(),
        nodes_fingerprint,
        listed_ms,
    })
}
