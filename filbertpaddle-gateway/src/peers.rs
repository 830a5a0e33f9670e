//! Links between nodes: most learn what the store says from one that reads it.
//!
//! A node that is no reader follows a reader of its data centre. One that cannot
//! read the store follows any node that can. The followed node sends what changes,
//! and at intervals how old its knowledge is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::directory::Table;
use filbertpaddle_forward::load_table;
use filbertpaddle_forward::load_table::LoadByTarget;
use rand::seq::IndexedRandom;
use slog::debug;
use slog::info;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::exchange::set_others;
use crate::peer_link::Error;
use crate::peer_link::Message;
use crate::peer_link::PeerLink;
use crate::peer_link::SILENCE;
use crate::peer_link::TELL;
use crate::peer_link::take_suspects;
use crate::state::Link;
use crate::state::State;

/// Age at which what a node knows is too old to follow it. Above the time that
/// the store holds back a call and the time that it may take to answer.
const MAX_AGE_MS: Millis = Millis(2_800);
/// How often a node looks whether it needs to follow another.
const LOOK: Duration = Duration::from_millis(100);

/// Follows other nodes as long as this one runs.
pub async fn follow(state: Rc<State>) {
    loop {
        sleep(LOOK).await;
        let is_reader = state.is_reader();
        if is_reader && !state.directory.borrow().is_store_lost() {
            continue;
        }
        let Some((name, address)) = pick(&state, is_reader) else {
            continue;
        };
        let result = follow_one(&state, address).await;
        state.set_link(Link::default());
        info!(state.log, "node no longer followed";
            "peer" => %address, "reason" => result.as_ref().err().map(ToString::to_string));
        if let (Err(_), Some(name)) = (result, name) {
            let now = state.clock.now();
            state.nodes.borrow_mut().silent(now, &name);
        }
    }
}

async fn follow_one(state: &State, address: SocketAddr) -> Result<(), Error> {
    let mut link = PeerLink::dial(state, address, false).await?;
    info!(state.log, "following a node";
        "peer" => %address, "is_reader" => state.is_reader(),
        "age_ms" => state.age_ms(Table::Targets).0);
    state.metrics.count("peer.followed");
    let mut work = LoadByTarget::new();
    let mut due = interval(TELL);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            _ = due.tick() => {
                let own = state.fleet.borrow().own_load(state.clock.now());
                link.tell(state, own).await?;
            }
            () = sleep_until(heard + SILENCE) => return Err(Error::Timeout),
            message = link.receive() => {
                heard = Instant::now();
                match message? {
                    Message::Work(changes) => {
                        load_table::apply_changes(&mut work, &changes);
                        set_others(state, &work, link.told_work());
                    }
                    message => take(state, message)?,
                }
            }
        }
        if !should_follow(state, address) {
            return Ok(());
        }
    }
}

/// Whether a node goes on following the one at an address.
fn should_follow(state: &State, address: SocketAddr) -> bool {
    if state.is_reader() {
        return state.directory.borrow().is_store_lost();
    }
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let readers = nodes.readers(now, &state.settings.data_centre);
    !state.is_registered.get()
        || readers.is_empty()
        || readers.iter().any(|node| node.peers == address)
}

/// Takes what a followed node says.
fn take(state: &State, message: Message) -> Result<(), Error> {
    let now = state.clock.now();
    let as_of = |age_ms: Millis| Millis(now.0.saturating_sub(age_ms.0));
    match message {
        Message::Table { age_ms, batch } => state.apply("peer", as_of(age_ms), &batch),
        Message::Ages {
            operator_ms,
            targets_ms,
            is_store_lost,
        } => {
            let is_old = operator_ms.max(targets_ms) > MAX_AGE_MS;
            if is_old && state.is_reader() {
                return Err(Error::TooOld);
            }
            let mut directory = state.directory.borrow_mut();
            directory.record_current(Table::Operator, as_of(operator_ms));
            directory.record_current(Table::Targets, as_of(targets_ms));
            drop(directory);
            state.set_link(Link {
                is_up: true,
                is_store_lost: is_store_lost || is_old,
            });
        }
        Message::Nodes(list) => {
            // Who reads the store drops old entries.
            state.take_nodes(list);
        }
        Message::Suspects(suspects) => take_suspects(state, &suspects),
        message => debug!(state.log, "unexpected message"; "message" => ?message),
    }
    Ok(())
}

/// Picks a node to follow: a reader of this data centre, or any if this node is
/// itself a reader that cannot read. Before any is known, a seed.
fn pick(state: &State, is_reader: bool) -> Option<(Option<Name>, SocketAddr)> {
    let settings = &state.settings;
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let mut known = if is_reader {
        nodes.live().iter().collect()
    } else {
        nodes.readers(now, &settings.data_centre)
    };
    known.retain(|node| node.name != settings.node);
    let mut rng = rand::rng();
    if let Some(node) = known.choose(&mut rng) {
        return Some((Some(node.name.clone()), node.peers));
    }
    let reloadable = state.reloadable.borrow();
    let seeds: Vec<_> = reloadable
        .seeds
        .iter()
        .filter(|seed| **seed != settings.peers)
        .collect();
    seeds.choose(&mut rng).map(|seed| (None, **seed))
}
