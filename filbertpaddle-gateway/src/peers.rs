//! Links between nodes: most learn what the store says from one that reads it.
//!
//! A node that is no reader follows a reader of its data centre. One that cannot
//! read the store follows any node that can. The followed node sends what changes,
//! and at intervals how old its knowledge is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::directory::Batch;
use filbertpaddle_forward::directory::Table;
use futures_util::SinkExt;
use futures_util::StreamExt;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Frame;

use crate::links::set_options;
use crate::state::Link;
use crate::state::State;

/// Age at which what a node knows is too old to follow it. Above the time that
/// the store holds back a call and the time that it may take to answer.
const MAX_AGE_MS: Millis = Millis(2_800);
/// How often a followed node says how old its knowledge is.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// How long a followed node may stay silent.
const SILENCE: Duration = Duration::from_millis(800);
/// How long a node may take to let itself be followed.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// How often a node looks whether it needs to follow another.
const LOOK: Duration = Duration::from_millis(100);

/// What a peer sends to a node that follows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// All that it knows of a table.
    Table {
        /// How old that is.
        age_ms: Millis,
        /// The table.
        batch: Batch,
    },
    /// How old its knowledge of both tables is.
    Ages {
        /// Of the operators' table.
        operator_ms: Millis,
        /// Of the targets' table.
        targets_ms: Millis,
        /// Whether its last call to the store failed.
        is_store_lost: bool,
    },
}

/// Why a peer cannot be followed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("no answer in time")]
    Timeout,
    #[error("link failed: {0}")]
    Link(Box<tokio_tungstenite::tungstenite::Error>),
    #[error("link closed")]
    Closed,
    #[error("unreadable message: {0}")]
    Unreadable(String),
    #[error("peer knows nothing newer")]
    TooOld,
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Link(Box::new(error))
    }
}

/// Tells followers what this node knows, as long as it runs.
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

async fn tell(state: &State, stream: TcpStream) -> Result<(), Error> {
    set_options(&stream).map_err(Error::Connect)?;
    let accepted = timeout(OPEN_TIMEOUT, tokio_tungstenite::accept_async(stream));
    let mut socket = accepted.await.map_err(|_| Error::Timeout)??;
    let mut changes = state.subscribe();
    let mut told_sequence = 0;
    let mut heartbeat = interval(HEARTBEAT);
    loop {
        told_sequence = tell_changes(state, &mut socket, told_sequence).await?;
        tokio::select! {
            _ = changes.changed() => {}
            _ = heartbeat.tick() => send(&mut socket, &ages(state)).await?,
            frame = socket.next() => match frame {
                Some(Ok(Frame::Close(_))) | None => return Ok(()),
                Some(frame) => drop(frame?),
            }
        }
    }
}

/// Sends what changed after the change numbered `told`; returns the last one's number.
async fn tell_changes(
    state: &State,
    socket: &mut WebSocketStream<TcpStream>,
    told: u64,
) -> Result<u64, Error> {
    let (sequence, batches) = {
        let directory = state.directory.borrow();
        let tables = [Table::Operator, Table::Targets];
        let batches = tables.map(|table| directory.changes_after(table, told));
        (directory.sequence(), batches)
    };
    for batch in batches {
        if batch.revision > 0 && !batch.changes.is_empty() {
            let age_ms = state.age_ms(batch.table);
            send(socket, &Message::Table { age_ms, batch }).await?;
        }
    }
    Ok(sequence)
}

fn ages(state: &State) -> Message {
    Message::Ages {
        operator_ms: state.age_ms(Table::Operator),
        targets_ms: state.age_ms(Table::Targets),
        is_store_lost: state.is_store_lost(),
    }
}

async fn follow_one(state: &State, address: SocketAddr) -> Result<(), Error> {
    let connected = timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| Error::Timeout)?
        .map_err(Error::Connect)?;
    set_options(&stream).map_err(Error::Connect)?;
    let url = format!("ws://{address}/");
    let opened = timeout(OPEN_TIMEOUT, tokio_tungstenite::client_async(url, stream));
    let (mut socket, _) = opened.await.map_err(|_| Error::Timeout)??;
    info!(state.log, "following a node";
        "peer" => %address, "is_reader" => state.is_reader(),
        "age_ms" => state.age_ms(Table::Targets).0);
    state.metrics.count("peer.followed");
    loop {
        let frame = timeout(SILENCE, socket.next());
        let frame = frame.await.map_err(|_| Error::Timeout)?;
        let Frame::Binary(bytes) = frame.ok_or(Error::Closed)?? else {
            continue;
        };
        let message = ciborium::from_reader(bytes.as_ref())
            .map_err(|error| Error::Unreadable(error.to_string()))?;
        take(state, message)?;
        if state.is_reader() && !state.directory.borrow().is_store_lost() {
            return Ok(());
        }
    }
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
            directory.heard(Table::Operator, as_of(operator_ms));
            directory.heard(Table::Targets, as_of(targets_ms));
            drop(directory);
            state.set_link(Link {
                is_up: true,
                is_store_lost: is_store_lost || is_old,
            });
        }
    }
    Ok(())
}

async fn send(socket: &mut WebSocketStream<TcpStream>, message: &Message) -> Result<(), Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| Error::Unreadable(error.to_string()))?;
    let sent = timeout(SILENCE, socket.send(Frame::Binary(Bytes::from(bytes))));
    sent.await.map_err(|_| Error::Timeout)??;
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
    let seeds: Vec<_> = settings
        .seeds
        .iter()
        .filter(|seed| **seed != settings.peers)
        .collect();
    seeds.choose(&mut rng).map(|seed| (None, **seed))
}
