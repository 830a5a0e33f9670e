//! Exchange of the software versions that began streams, as datagrams between nodes.
//!
//! Streams are too many for all nodes to know of each. The node that is about to deliver the
//! first event of one sends the version to two others, which a node that receives the caller's
//! next attempt finds by a hash of the first attempt. A lost datagram costs at most that the
//! stream is not resumed.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::name::Name;
use filbertpaddle_forward::software_version::SoftwareVersion;
use filbertpaddle_forward::stream_versions::ASKED_NODES;
use filbertpaddle_forward::stream_versions::KEEPERS;
use filbertpaddle_forward::stream_versions::Origin;
use filbertpaddle_forward::stream_versions::attempt_key;
use filbertpaddle_forward::stream_versions::nodes_for;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use slog::info;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::state::State;

/// Time after which unanswered queries are sent again: longer than a round trip between regions.
const QUERY_INTERVAL: Duration = Duration::from_millis(40);
/// Number of times that a query is sent.
const QUERY_ATTEMPTS: u32 = 3;
/// Larger than any datagram between nodes.
const MAX_DATAGRAM_BYTES: usize = 512;

/// A datagram between nodes, encoded as CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Version that began an attempt's stream, for the receiver to keep.
    #[serde(rename = "k")]
    Keep(u64, SoftwareVersion),
    /// An attempt whose stream may have begun at another version than the receiver keeps.
    #[serde(rename = "u")]
    KeepUnknown(u64),
    /// Asks for the version of an attempt's stream: number of the query, attempt, and the name of
    /// the node that asks.
    #[serde(rename = "q")]
    Query(u64, u64, Name),
    /// Answer to the query with this number; `None` if the version is not known.
    #[serde(rename = "a")]
    Answer(u64, Option<SoftwareVersion>),
    /// Answer to the query with this number: the version may be another one than was listed.
    #[serde(rename = "b")]
    AnswerUnknown(u64),
}

impl Datagram {
    fn keep(attempt: u64, origin: Origin) -> Self {
        match origin {
            Origin::Version(version) => Self::Keep(attempt, version),
            Origin::Unknown => Self::KeepUnknown(attempt),
        }
    }

    fn answer(query: u64, origin: Option<Origin>) -> Self {
        match origin {
            Some(Origin::Version(version)) => Self::Answer(query, Some(version)),
            Some(Origin::Unknown) => Self::AnswerUnknown(query),
            None => Self::Answer(query, None),
        }
    }
}

/// This node's end of the exchange.
#[derive(Debug)]
pub struct VersionExchange {
    socket: UdpSocket,
    last_query: Cell<u64>,
    /// Receivers of answers by the number of their query.
    waiting: RefCell<IndexMap<u64, mpsc::UnboundedSender<Option<Origin>>>>,
}

impl VersionExchange {
    /// Binds the socket at the address at which other nodes also open links to this one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            // Answers to the queries of an earlier incarnation may arrive late.
            last_query: Cell::new(rand::random()),
            waiting: RefCell::default(),
        })
    }

    /// Sends a datagram; it may be lost.
    fn send(&self, state: &State, to: SocketAddr, datagram: &Datagram) {
        let mut bytes = Vec::new();
        let encoded = ciborium::into_writer(datagram, &mut bytes).map_err(io::Error::other);
        if let Err(error) = encoded.and_then(|()| self.socket.try_send_to(&bytes, to).map(drop)) {
            debug!(state.log, "datagram not sent to node"; "to" => %to, "error" => %error);
        }
    }

    /// Hands an answer to the query with this number to its waiter, if there still is one.
    fn record_answer(&self, query: u64, origin: Option<Origin>) {
        if let Some(receiver) = self.waiting.borrow().get(&query) {
            receiver.send(origin).ok();
        }
    }
}

/// Receives datagrams for as long as the node runs.
pub async fn serve(state: Rc<State>) {
    let Some(exchange) = state.version_exchange.get() else {
        return;
    };
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = exchange.socket.recv_from(&mut buffer).await;
        // An error belongs to a datagram sent before, and not to this socket.
        let Ok((length, from)) = received else {
            continue;
        };
        match ciborium::from_reader(&buffer[..length]) {
            Ok(datagram) => receive(&state, exchange, from, datagram),
            Err(error) => {
                debug!(state.log, "datagram from node ignored: cannot be decoded";
                    "from" => %from, "error" => %error);
            }
        }
    }
}

fn receive(state: &State, exchange: &VersionExchange, from: SocketAddr, datagram: Datagram) {
    match datagram {
        Datagram::Keep(attempt, version) => {
            let origin = Origin::Version(version);
            state.stream_versions.borrow_mut().record(attempt, origin);
        }
        Datagram::KeepUnknown(attempt) => {
            let mut versions = state.stream_versions.borrow_mut();
            versions.record(attempt, Origin::Unknown);
        }
        Datagram::Query(query, attempt, node) => {
            let origin = state.stream_versions.borrow().get(attempt);
            let to = state.nodes.borrow().address(&node).unwrap_or(from);
            exchange.send(state, to, &Datagram::answer(query, origin));
        }
        Datagram::Answer(query, version) => {
            exchange.record_answer(query, version.map(Origin::Version));
        }
        Datagram::AnswerUnknown(query) => exchange.record_answer(query, Some(Origin::Unknown)),
    }
}

/// Sends what began an attempt's stream to the first `count` nodes that keep it.
pub fn pass_on(state: &State, attempt: &str, origin: Origin, count: usize) {
    let Some(exchange) = state.version_exchange.get() else {
        return;
    };
    let keep = Datagram::keep(attempt_key(attempt), origin);
    for to in addresses(state, attempt, count) {
        exchange.send(state, to, &keep);
    }
}

/// Records that an attempt's stream may have begun at another version than was listed, here and
/// at all nodes that may keep one for it. A node that does not learn of it would let the stream go
/// on at the wrong version, so it is sent more than once.
pub fn doubt(state: &Rc<State>, attempt: &Name) {
    let key = attempt_key(attempt);
    state
        .stream_versions
        .borrow_mut()
        .record(key, Origin::Unknown);
    let (state, attempt) = (Rc::clone(state), attempt.clone());
    tokio::task::spawn_local(async move {
        for _ in 0..QUERY_ATTEMPTS {
            pass_on(&state, &attempt, Origin::Unknown, ASKED_NODES);
            sleep(QUERY_INTERVAL).await;
        }
    });
}

/// Returns what began an attempt's stream, if this node or one of those that may keep it knows of
/// it.
pub async fn look_up(state: &State, attempt: &str) -> Option<Origin> {
    let key = attempt_key(attempt);
    if let Some(origin) = state.stream_versions.borrow().get(key) {
        return Some(origin);
    }
    let exchange = state.version_exchange.get()?;
    let asked = addresses(state, attempt, ASKED_NODES);
    let (found, answers) = ask(state, exchange, key, &asked).await;
    if let Some(origin) = found {
        state.stream_versions.borrow_mut().record(key, origin);
        // Some of the nodes that kept it may be gone.
        pass_on(state, attempt, origin, KEEPERS);
    }
    info!(state.log, "asked other nodes for the version that began a stream";
        "attempt" => attempt, "asked" => asked.len(), "answers" => answers,
        "is_found" => found.is_some());
    found
}

/// Asks nodes what began a stream; returns it if one knows of it, and the number of their answers.
async fn ask(
    state: &State,
    exchange: &VersionExchange,
    attempt_key: u64,
    asked: &[SocketAddr],
) -> (Option<Origin>, usize) {
    let query = exchange.last_query.get().wrapping_add(1);
    exchange.last_query.set(query);
    let (sender, mut answers) = mpsc::unbounded_channel();
    exchange.waiting.borrow_mut().insert(query, sender);
    let datagram = Datagram::Query(query, attempt_key, state.settings.node.clone());
    let mut found = None;
    let mut received = 0;
    for _ in 0..QUERY_ATTEMPTS {
        for to in asked {
            exchange.send(state, *to, &datagram);
        }
        let until = Instant::now() + QUERY_INTERVAL;
        received = 0;
        while found.is_none()
            && received < asked.len()
            && let Ok(Some(answer)) = timeout_at(until, answers.recv()).await
        {
            found = answer;
            received += 1;
        }
        if found.is_some() || received == asked.len() {
            break;
        }
    }
    exchange.waiting.borrow_mut().swap_remove(&query);
    (found, received)
}

/// Returns the addresses of the first `count` nodes that keep or may keep an attempt's version.
fn addresses(state: &State, attempt: &str, count: usize) -> Vec<SocketAddr> {
    let nodes = state.nodes.borrow();
    let names = nodes.live().iter().map(|node| &node.name);
    let chosen = nodes_for(attempt, &state.settings.node, names, count);
    let addresses = chosen.into_iter().filter_map(|name| nodes.address(name));
    addresses.collect()
}
