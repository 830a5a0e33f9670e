//! Readers of the store tell each other what their groups have at targets.

use std::net::SocketAddr;
use std::rc::Rc;

use filbertpaddle_core::name::Name;
use filbertpaddle_forward::load_table::LoadByTarget;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slog::debug;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::peer_link::Error;
use crate::peer_link::Message;
use crate::peer_link::PeerLink;
use crate::peer_link::SILENCE;
use crate::peer_link::TELL;
use crate::peer_link::take_suspects;
use crate::state::State;

/// Exchanges work with the other readers as long as this node runs.
pub async fn run(state: Rc<State>) {
    let mut links: IndexMap<Name, JoinHandle<()>> = IndexMap::new();
    loop {
        sleep(TELL).await;
        links.retain(|_, link| !link.is_finished());
        if !state.is_reader() {
            links.drain(..).for_each(|(_, link)| link.abort());
            continue;
        }
        share_own(&state);
        for (name, address) in other_readers(&state) {
            if !links.contains_key(&name) {
                let link = follow_group(Rc::clone(&state), name.clone(), address);
                links.insert(name, tokio::task::spawn_local(link));
            }
        }
    }
}

/// Counts this reader's own work in its group, and takes that of all others.
fn share_own(state: &State) {
    let own = state.fleet.borrow().own_load(state.clock.now());
    let mut board = state.board.borrow_mut();
    board.remove_member(&state.settings.node);
    let changes = own.iter().map(|(id, work)| (id.clone(), *work)).collect();
    board.update_member(&state.settings.node, &changes);
    let total = board.total();
    drop(board);
    set_others(state, &total, &own);
}

/// Sets the work of other nodes: all work but what is this node's own.
pub fn set_others(state: &State, all: &LoadByTarget, own: &LoadByTarget) {
    let others = all
        .iter()
        .map(|(target, work)| {
            let own = own.get(target).copied().unwrap_or_default();
            (target.clone(), work.without(&own))
        })
        .collect();
    state.fleet.borrow_mut().set_other_load(others);
}

fn other_readers(state: &State) -> Vec<(Name, SocketAddr)> {
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let data_centres: IndexSet<_> = nodes.live().iter().map(|node| &node.data_centre).collect();
    data_centres
        .into_iter()
        .flat_map(|data_centre| nodes.readers(now, data_centre))
        .filter(|node| node.name != state.settings.node)
        .map(|node| (node.name.clone(), node.peers))
        .collect()
}

async fn follow_group(state: Rc<State>, reader: Name, address: SocketAddr) {
    if let Err(error) = take_group(&state, &reader, address).await {
        debug!(state.log, "reader not linked"; "peer" => %reader, "error" => %error);
    }
    state.board.borrow_mut().remove_group(&reader);
}

async fn take_group(state: &State, reader: &Name, address: SocketAddr) -> Result<(), Error> {
    let mut link = PeerLink::dial(state, address, true).await?;
    loop {
        let message = timeout(SILENCE, link.receive()).await;
        match message.map_err(|_| Error::Timeout)?? {
            Message::Work(changes) => state.board.borrow_mut().update_group(reader, &changes),
            Message::Suspects(suspects) => take_suspects(state, &suspects),
            _ => {}
        }
    }
}
