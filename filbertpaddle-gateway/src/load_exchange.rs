//! Exchange of load between the readers of the store.
//!
//! Each reader sums up the load that its own node and its followers have placed on
//! targets (its group), and subscribes to the sums of all other readers.

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
use crate::peer_link::PUBLISH_INTERVAL;
use crate::peer_link::PeerLink;
use crate::peer_link::SILENCE_TIMEOUT;
use crate::peer_link::merge_suspects;
use crate::state::State;

/// Keeps a link to every other reader while this node is a reader itself.
pub async fn run(state: Rc<State>) {
    let mut links: IndexMap<Name, JoinHandle<()>> = IndexMap::new();
    loop {
        sleep(PUBLISH_INTERVAL).await;
        links.retain(|_, link| !link.is_finished());
        if !state.is_reader() {
            links.drain(..).for_each(|(_, link)| link.abort());
            continue;
        }
        update_own_load(&state);
        for (name, address) in other_readers(&state) {
            if !links.contains_key(&name) {
                let link = sync_group(Rc::clone(&state), name.clone(), address);
                links.insert(name, tokio::task::spawn_local(link));
            }
        }
    }
}

/// Updates this reader's share of its group's load, and the load of other nodes as
/// the target selector sees it.
fn update_own_load(state: &State) {
    let own = state.selector.borrow().own_load(state.clock.now());
    let mut load_table = state.load_table.borrow_mut();
    load_table.remove_member(&state.settings.node);
    let changes = own.iter().map(|(id, load)| (id.clone(), *load)).collect();
    load_table.update_member(&state.settings.node, &changes);
    let total = load_table.total();
    drop(load_table);
    update_other_load(state, &total, &own);
}

/// Sets the load of other nodes: the total without this node's own part.
pub fn update_other_load(state: &State, all: &LoadByTarget, own: &LoadByTarget) {
    let others = all
        .iter()
        .map(|(target, load)| {
            let own = own.get(target).copied().unwrap_or_default();
            (target.clone(), load.without(&own))
        })
        .collect();
    state.selector.borrow_mut().set_other_load(others);
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

async fn sync_group(state: Rc<State>, reader: Name, address: SocketAddr) {
    if let Err(error) = receive_group(&state, &reader, address).await {
        debug!(state.log, "link to reader failed, its group's load is dropped";
            "peer" => %reader, "error" => %error);
    }
    state.load_table.borrow_mut().remove_group(&reader);
}

async fn receive_group(state: &State, reader: &Name, address: SocketAddr) -> Result<(), Error> {
    let mut link = PeerLink::dial(state, address, true).await?;
    loop {
        let message = timeout(SILENCE_TIMEOUT, link.receive()).await;
        match message.map_err(|_| Error::Timeout)?? {
            Message::Work(changes) => state.load_table.borrow_mut().update_group(reader, &changes),
            Message::Suspects(suspects) => merge_suspects(state, &suspects),
            _ => {}
        }
    }
}
