//! Probes the readers of this data centre that this node excludes as unresponsive.
//!
//! A node whose links fail for a moment excludes its reader and reads the store by itself.
//! Until it follows the reader again, the load and the suspects of the others reach it only
//! through other data centres.

use std::net::SocketAddr;
use std::rc::Rc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use futures_util::future::join_all;
use slog::info;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::duration;
use crate::peer_link::Error;
use crate::peer_link::PeerLink;
use crate::peer_link::SILENCE_TIMEOUT;
use crate::peer_message::Message;
use crate::state::State;

/// Pause between two rounds of probes; random, so that not all followers probe a reader at
/// once. Nodes must learn of each other's suspects within about a second.
const PROBE_INTERVAL_MS: std::ops::Range<u64> = 300..700;

/// Probes excluded readers for as long as the node runs.
pub async fn run(state: Rc<State>) {
    loop {
        sleep(duration(Millis(rand::random_range(PROBE_INTERVAL_MS)))).await;
        let excluded = excluded_readers(&state).into_iter();
        join_all(excluded.map(|(name, address)| probe(&state, name, address))).await;
    }
}

async fn probe(state: &State, name: Name, address: SocketAddr) {
    if responds(state, address).await.is_ok() {
        info!(state.log, "reader responds again, following it"; "peer" => name.as_str());
        state.nodes.borrow_mut().mark_responsive(&name);
    }
}

fn excluded_readers(state: &State) -> Vec<(Name, SocketAddr)> {
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let excluded = nodes.excluded_readers(now, &state.settings.data_centre);
    excluded
        .into_iter()
        .map(|node| (node.name.clone(), node.peers))
        .collect()
}

/// Waits until a node has opened a link and stated the age of its data.
async fn responds(state: &State, address: SocketAddr) -> Result<(), Error> {
    let mut link = PeerLink::dial(state, address, true).await?;
    let received = timeout(SILENCE_TIMEOUT, async {
        loop {
            if let Message::Ages(_) = link.receive().await? {
                return Ok(());
            }
        }
    });
    received.await.map_err(|_| Error::Timeout)?
}
