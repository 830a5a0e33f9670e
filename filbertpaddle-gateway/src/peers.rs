//! Links between nodes: one that cannot read the store learns from one that can.
//!
//! A node without the store dials a peer and follows it. The peer sends all it
//! knows of a table whenever it changes, and at intervals how old that is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
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
use crate::state::State;

/// Age of what a node knows at which it turns to a peer. Above the time that the
/// store holds back a call, so that an idle store is not taken for a lost one.
const TURN_TO_PEERS_MS: Millis = Millis(2_400);
/// Age at which what a peer knows is too old to follow it.
const MAX_PEER_AGE_MS: Millis = Millis(4_000);
/// How often a peer says how old its knowledge is.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long a peer may take to answer, or stay silent.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often a node looks whether it needs a peer.
const LOOK: Duration = Duration::from_millis(200);

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
    },
}

/// Why a peer cannot be followed.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("no peer known")]
    NoPeer,
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

/// Follows peers whenever the store cannot be read.
pub async fn follow(state: Rc<State>) {
    loop {
        sleep(LOOK).await;
        if age_ms(&state) < TURN_TO_PEERS_MS {
            continue;
        }
        if let Err(error) = follow_one(&state).await {
            debug!(state.log, "no peer to follow"; "error" => %error);
        }
    }
}

/// Age of the older of the two tables.
fn age_ms(state: &State) -> Millis {
    let ages = [Table::Operator, Table::Targets].map(|table| state.age_ms(table));
    ages[0].max(ages[1])
}

async fn tell(state: &State, stream: TcpStream) -> Result<(), Error> {
    set_options(&stream).map_err(Error::Connect)?;
    let accepted = timeout(PEER_TIMEOUT, tokio_tungstenite::accept_async(stream));
    let mut socket = accepted.await.map_err(|_| Error::Timeout)??;
    let mut changes = state.subscribe();
    let mut told = [None, None];
    let mut heartbeat = interval(HEARTBEAT);
    loop {
        for table in [Table::Operator, Table::Targets] {
            let batch = state.directory.borrow().whole(table);
            let told = &mut told[table as usize];
            if batch.revision > 0 && told.as_ref() != Some(&batch) {
                let age_ms = state.age_ms(table);
                send(
                    &mut socket,
                    &Message::Table {
                        age_ms,
                        batch: batch.clone(),
                    },
                )
                .await?;
                *told = Some(batch);
            }
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = heartbeat.tick() => {
                let ages = Message::Ages {
                    operator_ms: state.age_ms(Table::Operator),
                    targets_ms: state.age_ms(Table::Targets),
                };
                send(&mut socket, &ages).await?;
            }
            frame = socket.next() => match frame {
                Some(Ok(Frame::Close(_))) | None => return Ok(()),
                Some(frame) => drop(frame?),
            }
        }
    }
}

async fn follow_one(state: &State) -> Result<(), Error> {
    let peer = pick(state).ok_or(Error::NoPeer)?;
    let connected = timeout(PEER_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = connected
        .map_err(|_| Error::Timeout)?
        .map_err(Error::Connect)?;
    set_options(&stream).map_err(Error::Connect)?;
    let url = format!("ws://{peer}/");
    let opened = timeout(PEER_TIMEOUT, tokio_tungstenite::client_async(url, stream));
    let (mut socket, _) = opened.await.map_err(|_| Error::Timeout)??;
    info!(state.log, "following a peer"; "peer" => %peer, "age_ms" => age_ms(state).0);
    state.metrics.count("peer.followed");
    let result = take(state, &mut socket).await;
    info!(state.log, "peer left";
        "peer" => %peer, "age_ms" => age_ms(state).0,
        "reason" => result.as_ref().err().map(ToString::to_string));
    result
}

/// Takes what a peer tells until the store answers again.
async fn take(state: &State, socket: &mut WebSocketStream<TcpStream>) -> Result<(), Error> {
    loop {
        let frame = timeout(PEER_TIMEOUT, socket.next());
        let frame = frame.await.map_err(|_| Error::Timeout)?;
        let Frame::Binary(bytes) = frame.ok_or(Error::Closed)?? else {
            continue;
        };
        let message: Message = ciborium::from_reader(bytes.as_ref())
            .map_err(|error| Error::Unreadable(error.to_string()))?;
        let now = state.clock.now();
        match message {
            Message::Table { age_ms, batch } => {
                state.apply("peer", Millis(now.0.saturating_sub(age_ms.0)), &batch);
            }
            Message::Ages {
                operator_ms,
                targets_ms,
            } => {
                if operator_ms.max(targets_ms) > MAX_PEER_AGE_MS {
                    return Err(Error::TooOld);
                }
                let mut directory = state.directory.borrow_mut();
                directory.heard(Table::Operator, Millis(now.0.saturating_sub(operator_ms.0)));
                directory.heard(Table::Targets, Millis(now.0.saturating_sub(targets_ms.0)));
                drop(directory);
                if state.is_store_read() {
                    return Ok(());
                }
            }
        }
    }
}

async fn send(socket: &mut WebSocketStream<TcpStream>, message: &Message) -> Result<(), Error> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes)
        .map_err(|error| Error::Unreadable(error.to_string()))?;
    let sent = timeout(PEER_TIMEOUT, socket.send(Frame::Binary(Bytes::from(bytes))));
    sent.await.map_err(|_| Error::Timeout)??;
    Ok(())
}

/// Picks a node to follow: any that is alive, or a seed.
fn pick(state: &State) -> Option<SocketAddr> {
    let settings = &state.settings;
    let nodes = state.nodes.borrow();
    let live = nodes.live().iter().map(|node| node.peers);
    let mut peers: Vec<_> = live.chain(settings.seeds.iter().copied()).collect();
    peers.retain(|peer| *peer != settings.peers);
    peers.choose(&mut rand::rng()).copied()
}
