//! Exchange of load between the readers of the store.
//!
//! Each reader sums up the load that its own node and its followers have placed on
//! targets (its group), and subscribes to the sums of all other readers.

use std::net::SocketAddr;
use std::rc::Rc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::load_table::LoadByTarget;
use indexmap::IndexMap;
use indexmap::IndexSet;
use slog::debug;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::clock::duration;
use crate::nodes::Nodes;
use crate::peer_link::Error;
use crate::peer_link::PUBLISH_INTERVAL;
use crate::peer_link::PeerLink;
use crate::peer_link::SILENCE_TIMEOUT;
use crate::peer_link::merge_findings;
use crate::peer_message::Message;
use crate::state::State;

/// Number of nodes whose entries are stale that a node links to if it knows no live one.
const FALLBACK_PEERS: usize = 3;
/// Age of the other nodes' load after which a node that follows none drops it.
const MAX_LOAD_AGE_MS: Millis = Millis::from_secs(2);
/// Delay before the link to a reader is dialled again; random, so that not all readers
/// dial a returning one at once.
const REDIAL_INTERVAL_MS: std::ops::Range<u64> = 150..450;

/// Keeps a link to every other reader while this node is a reader itself.
pub async fn run(state: Rc<State>) {
    let mut links = ReaderLinks::new();
    let mut was_reader = false;
    loop {
        sleep(PUBLISH_INTERVAL).await;
        state.refresh_speeds();
        let is_reader = state.is_reader();
        if is_reader {
            update_own_load(&state);
            update_links(&state, &mut links);
        } else if was_reader {
            links.drain(..).for_each(|(_, link)| link.abort());
            leave_exchange(&state);
        } else {
            expire_other_load(&state);
        }
        was_reader = is_reader;
    }
}

/// Links to other readers by name.
type ReaderLinks = IndexMap<Name, JoinHandle<()>>;

/// Opens the missing links to readers, and closes those to nodes that no longer are readers:
/// their load is part of another group now.
fn update_links(state: &Rc<State>, links: &mut ReaderLinks) {
    let readers = other_readers(state);
    links.retain(|name, link| {
        if !readers.contains_key(name) {
            link.abort();
            state.load_table.borrow_mut().remove_group(name);
            state.merge_speeds(|table, _| table.remove_group(name));
            return false;
        }
        !link.is_finished()
    });
    for (name, address) in readers {
        if !links.contains_key(&name) {
            let link = sync_group(Rc::clone(state), name.clone(), address);
            links.insert(name, tokio::task::spawn_local(link));
        }
    }
}

/// Removes what this node has contributed as a reader. Its load is part of the group of the
/// reader that it follows now.
fn leave_exchange(state: &State) {
    let mut load_table = state.load_table.borrow_mut();
    load_table.clear_groups();
    state.merge_speeds(|table, _| table.clear_groups());
    load_table.remove_member(&state.settings.node);
}

/// Drops the load of other nodes some time after the last of it arrived. A node that is cut
/// off chooses better by its own load alone than by an old state of the others.
fn expire_other_load(state: &State) {
    let age_ms = state.clock.now().since(state.other_load_ms.get());
    if age_ms > MAX_LOAD_AGE_MS && !state.followed_peer.get().is_up {
        let mut selector = state.selector.borrow_mut();
        selector.set_other_load(LoadByTarget::new());
    }
}

/// Updates this reader's share of its group's load, and the load of other nodes as
/// the target selector sees it.
fn update_own_load(state: &State) {
    let own = state.published_load();
    let mut load_table = state.load_table.borrow_mut();
    load_table.remove_member(&state.settings.node);
    let changes = own
        .iter()
        .map(|(id, load)| (id.clone(), load.clone()))
        .collect();
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
            let own = own.get(target).cloned().unwrap_or_default();
            (target.clone(), load.without(&own))
        })
        .collect();
    state.selector.borrow_mut().set_other_load(others);
    state.other_load_ms.set(state.clock.now());
}

/// Returns the readers of all data centres and the standby of this one, without this node.
fn other_readers(state: &State) -> IndexMap<Name, SocketAddr> {
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let own = &state.settings.data_centre;
    let data_centres: IndexSet<_> = nodes.live().iter().map(|node| &node.data_centre).collect();
    let readers: IndexMap<_, _> = data_centres
        .into_iter()
        .filter(|data_centre| *data_centre != own)
        .flat_map(|data_centre| nodes.readers(now, data_centre))
        .chain(nodes.readers_and_standby(now, own))
        .filter(|node| node.name != state.settings.node)
        .map(|node| (node.name.clone(), node.peers))
        .collect();
    if readers.is_empty() {
        return fallback_peers(state, &nodes);
    }
    readers
}

/// Returns nodes that may be live although no live one is listed, as when the store's clock
/// has jumped: the last ones to write their entries, and the seeds.
fn fallback_peers(state: &State, nodes: &Nodes) -> IndexMap<Name, SocketAddr> {
    let settings = &state.settings;
    let mut listed: Vec<_> = nodes.list().nodes.iter().collect();
    listed.sort_by_key(|node| std::cmp::Reverse(node.written_ms));
    let listed = listed
        .into_iter()
        .filter(|node| node.name != settings.node)
        .take(FALLBACK_PEERS)
        .map(|node| (node.name.clone(), node.peers));
    let reloadable = state.reloadable.borrow();
    let seeds = reloadable
        .seeds
        .iter()
        .filter(|seed| **seed != settings.peers)
        .map(|seed| (Name::from(seed.to_string()), *seed));
    listed.chain(seeds).collect()
}

async fn sync_group(state: Rc<State>, reader: Name, address: SocketAddr) {
    if let Err(error) = receive_group(&state, &reader, address).await {
        debug!(state.log, "link to reader failed, its group's load is dropped";
            "peer" => %reader, "error" => %error);
    }
    state.load_table.borrow_mut().remove_group(&reader);
    state.merge_speeds(|table, _| table.remove_group(&reader));
    sleep(duration(Millis(rand::random_range(REDIAL_INTERVAL_MS)))).await;
}

async fn receive_group(state: &State, reader: &Name, address: SocketAddr) -> Result<(), Error> {
    let mut link = PeerLink::dial(state, address, true).await?;
    let mut publish_timer = interval(PUBLISH_INTERVAL);
    let mut last_received = Instant::now();
    loop {
        tokio::select! {
            // The other reader subscribes to this one too, unless it does not take it for
            // a reader. This node's findings must reach it even then.
            _ = publish_timer.tick() => link.publish_findings(state).await?,
            () = sleep_until(last_received + SILENCE_TIMEOUT) => return Err(Error::Timeout),
            message = link.receive() => {
                last_received = Instant::now();
                match message? {
                    Message::Work(changes) => {
                        state.load_table.borrow_mut().update_group(reader, &changes);
                    }
                    Message::Speeds(sent) => {
                        state.merge_speeds(|table, now| table.update_group(now, reader, &sent));
                    }
                    Message::Ages(ages) => {
                        // A group without any load sends none.
                        state.load_table.borrow_mut().update_group(reader, &Vec::new());
                        state.record_peer_ages(&ages);
                    }
                    message => drop(merge_findings(state, message)),
                }
            }
        }
    }
}
