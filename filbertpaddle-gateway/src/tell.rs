//! Tells the nodes that follow this one what it knows.

use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::name::Name;
use filbertpaddle_forward::directory::Table;
use slog::debug;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::interval;

use crate::peer_link::Error;
use crate::peer_link::Message;
use crate::peer_link::PeerLink;
use crate::peer_link::TELL;
use crate::peer_link::take_suspects;
use crate::state::State;

/// How often a followed node says how old its knowledge is.
const HEARTBEAT: Duration = Duration::from_millis(300);

/// What one follower has been told.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    /// Number of the last change of a table.
    sequence: u64,
    /// Number of the last reading of the list of nodes.
    readings: u64,
}

/// Lets other nodes follow this one, as long as it runs.
pub async fn serve(state: Rc<State>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move {
                    if let Err(error) = tell(&state, stream).await {
                        debug!(state.log, "follower lost"; "from" => %from, "error" => %error);
                    }
                });
            }
            Err(error) => warn!(state.log, "cannot accept a peer"; "error" => %error),
        }
    }
}

async fn tell(state: &State, stream: TcpStream) -> Result<(), Error> {
    let (mut link, node, is_reader) = PeerLink::accept(stream).await?;
    if is_reader {
        return tell_reader(state, &mut link).await;
    }
    let result = tell_follower(state, &mut link, &node).await;
    state.board.borrow_mut().remove_member(&node);
    result
}

/// Tells another reader what this node's group has at targets.
async fn tell_reader(state: &State, link: &mut PeerLink) -> Result<(), Error> {
    let mut due = interval(TELL);
    let mut heartbeat = interval(HEARTBEAT);
    loop {
        tokio::select! {
            _ = due.tick() => {
                let sum = state.board.borrow().group_total();
                link.tell(state, sum).await?;
            }
            _ = heartbeat.tick() => link.send(&ages(state)).await?,
            message = link.receive() => drop(message?),
        }
    }
}

/// Tells a follower what the store says and what all nodes have at targets.
async fn tell_follower(state: &State, link: &mut PeerLink, node: &Name) -> Result<(), Error> {
    let mut changes = state.subscribe();
    let mut told = Told::default();
    let mut due = interval(TELL);
    let mut heartbeat = interval(HEARTBEAT);
    loop {
        tell_tables(state, link, &mut told).await?;
        tell_nodes(state, link, &mut told).await?;
        tokio::select! {
            _ = changes.changed() => {}
            _ = due.tick() => {
                let total = state.board.borrow().total();
                link.tell(state, total).await?;
            }
            _ = heartbeat.tick() => link.send(&ages(state)).await?,
            message = link.receive() => match message? {
                Message::Work(changes) => state.board.borrow_mut().update_member(node, &changes),
                Message::Suspects(suspects) => take_suspects(state, &suspects),
                message => debug!(state.log, "unexpected message"; "message" => ?message),
            }
        }
    }
}

/// Sends what changed of both tables.
async fn tell_tables(state: &State, link: &mut PeerLink, told: &mut Told) -> Result<(), Error> {
    let (sequence, batches) = {
        let directory = state.directory.borrow();
        let tables = [Table::Operator, Table::Targets];
        let batches = tables.map(|table| directory.changes_after(table, told.sequence));
        (directory.sequence(), batches)
    };
    for batch in batches {
        if batch.revision > 0 && !batch.changes.is_empty() {
            let age_ms = state.age_ms(batch.table);
            link.send(&Message::Table { age_ms, batch }).await?;
        }
    }
    told.sequence = sequence;
    Ok(())
}

/// Sends the list of nodes if it was read again.
async fn tell_nodes(state: &State, link: &mut PeerLink, told: &mut Told) -> Result<(), Error> {
    let readings = state.nodes.borrow().readings();
    if readings != told.readings {
        let list = state.nodes.borrow().list().clone();
        link.send(&Message::Nodes(list)).await?;
        told.readings = readings;
    }
    Ok(())
}

fn ages(state: &State) -> Message {
    Message::Ages {
        operator_ms: state.age_ms(Table::Operator),
        targets_ms: state.age_ms(Table::Targets),
        is_store_lost: state.is_store_lost(),
    }
}
