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
use filbertpaddle_forward::board;
use filbertpaddle_forward::board::ByTarget;
use filbertpaddle_forward::board::Changes;
use filbertpaddle_forward::board::Work;
use filbertpaddle_forward::directory::Batch;
use filbertpaddle_forward::directory::Table;
use futures_util::SinkExt;
use futures_util::StreamExt;
use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Frame;

use crate::dialect::NodeList;
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
/// How often changed work is told.
const WORK: Duration = Duration::from_millis(50);
/// How often a reader looks for other readers, and counts its own work.
const EXCHANGE_LOOK: Duration = Duration::from_millis(50);
/// How often a node looks whether it needs to follow another.
const LOOK: Duration = Duration::from_millis(100);

/// What nodes say to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Who dials, and whether it reads the store itself; sent first.
    Hello {
        /// Name of the node.
        node: Name,
        /// Whether it wants only the work of the other's group.
        is_reader: bool,
    },
    /// The list of nodes, as the other read it.
    Nodes(NodeList),
    /// Changed work: of the node that dials, or of all that the other knows.
    Work(Changes),
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

/// What one follower has been told.
#[derive(Debug, Default)]
struct Told {
    sequence: u64,
    readings: u64,
    work: ByTarget,
}

async fn tell(state: &State, stream: TcpStream) -> Result<(), Error> {
    set_options(&stream).map_err(Error::Connect)?;
    let accepted = timeout(OPEN_TIMEOUT, tokio_tungstenite::accept_async(stream));
    let mut socket = accepted.await.map_err(|_| Error::Timeout)??;
    let Message::Hello { node, is_reader } = receive(&mut socket).await? else {
        return Err(Error::Unreadable("no greeting".to_owned()));
    };
    let result = if is_reader {
        tell_reader(state, &mut socket).await
    } else {
        tell_follower(state, &mut socket, &node).await
    };
    state.board.borrow_mut().forget_member(&node);
    result
}

/// Tells another reader what this node's group has at targets.
async fn tell_reader(state: &State, socket: &mut WebSocketStream<TcpStream>) -> Result<(), Error> {
    let mut told = ByTarget::new();
    let mut work_due = interval(WORK);
    let mut heartbeat = interval(HEARTBEAT);
    loop {
        tokio::select! {
            _ = work_due.tick() => {
                let sum = state.board.borrow().group_sum();
                tell_work(socket, &mut told, sum).await?;
            }
            _ = heartbeat.tick() => send(socket, &ages(state)).await?,
            message = receive_any(socket) => drop(message?),
        }
    }
}

/// Tells a follower what the store says and what all nodes have at targets.
async fn tell_follower(
    state: &State,
    socket: &mut WebSocketStream<TcpStream>,
    node: &Name,
) -> Result<(), Error> {
    let mut changes = state.subscribe();
    let mut told = Told::default();
    let mut work_due = interval(WORK);
    let mut heartbeat = interval(HEARTBEAT);
    loop {
        told.sequence = tell_changes(state, socket, told.sequence).await?;
        told.readings = tell_nodes(state, socket, told.readings).await?;
        tokio::select! {
            _ = changes.changed() => {}
            _ = work_due.tick() => {
                let total = state.board.borrow().total();
                tell_work(socket, &mut told.work, total).await?;
            }
            _ = heartbeat.tick() => send(socket, &ages(state)).await?,
            message = receive_any(socket) => match message? {
                Message::Work(changes) => state.board.borrow_mut().member(node, &changes),
                message => debug!(state.log, "unexpected message"; "message" => ?message),
            }
        }
    }
}

/// Tells what changed of some work since it was last told.
async fn tell_work(
    socket: &mut WebSocketStream<TcpStream>,
    told: &mut ByTarget,
    now: ByTarget,
) -> Result<(), Error> {
    let changed = board::changes(told, &now);
    if !changed.is_empty() {
        send(socket, &Message::Work(changed)).await?;
        *told = now;
    }
    Ok(())
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

/// Sends the list of nodes if it was read again; returns the reading's number.
async fn tell_nodes(
    state: &State,
    socket: &mut WebSocketStream<TcpStream>,
    told: u64,
) -> Result<u64, Error> {
    let (readings, list) = {
        let nodes = state.nodes.borrow();
        (nodes.readings(), nodes.list().clone())
    };
    if readings != told {
        send(socket, &Message::Nodes(list)).await?;
    }
    Ok(readings)
}

fn ages(state: &State) -> Message {
    Message::Ages {
        operator_ms: state.age_ms(Table::Operator),
        targets_ms: state.age_ms(Table::Targets),
        is_store_lost: state.is_store_lost(),
    }
}

async fn follow_one(state: &State, address: SocketAddr) -> Result<(), Error> {
    let mut socket = open(state, address, false).await?;
    info!(state.log, "following a node";
        "peer" => %address, "is_reader" => state.is_reader(),
        "age_ms" => state.age_ms(Table::Targets).0);
    state.metrics.count("peer.followed");
    let mut told = ByTarget::new();
    let mut work = ByTarget::new();
    let mut work_due = interval(WORK);
    let mut heard = Instant::now();
    loop {
        tokio::select! {
            _ = work_due.tick() => {
                let own = state.fleet.borrow().own_work();
                tell_work(&mut socket, &mut told, own).await?;
            }
            () = sleep_until(heard + SILENCE) => return Err(Error::Timeout),
            message = receive_any(&mut socket) => {
                heard = Instant::now();
                match message? {
                    Message::Work(changes) => {
                        board::apply(&mut work, &changes);
                        set_others(state, &work, &told);
                    }
                    message => take(state, message)?,
                }
            }
        }
        if state.is_reader() && !state.directory.borrow().is_store_lost() {
            return Ok(());
        }
    }
}

/// Sets the work of other nodes: all work but what this node has told of its own.
fn set_others(state: &State, all: &ByTarget, own: &ByTarget) {
    let without_own = |(target, work): (&Name, &Work)| {
        let own = own.get(target).copied().unwrap_or_default();
        (target.clone(), work.without(&own))
    };
    let others = all.iter().map(without_own).collect();
    state.fleet.borrow_mut().set_others(others);
}

/// Exchanges work with the other readers as long as this node runs.
pub async fn exchange(state: Rc<State>) {
    let mut linked: IndexMap<Name, JoinHandle<()>> = IndexMap::new();
    loop {
        sleep(EXCHANGE_LOOK).await;
        linked.retain(|_, link| !link.is_finished());
        let is_reader = state.is_reader();
        if !is_reader {
            linked.drain(..).for_each(|(_, link)| link.abort());
            continue;
        }
        let own = state.fleet.borrow().own_work();
        share_own(&state, &own);
        for (name, address) in other_readers(&state) {
            if linked.contains_key(&name) {
                continue;
            }
            let (state, reader) = (Rc::clone(&state), name.clone());
            let link = tokio::task::spawn_local(async move {
                if let Err(error) = take_group(&state, &reader, address).await {
                    debug!(state.log, "reader not linked"; "peer" => %reader, "error" => %error);
                }
                state.board.borrow_mut().forget_group(&reader);
            });
            linked.insert(name, link);
        }
    }
}

/// Counts this reader's own work in its group, and takes that of all others.
fn share_own(state: &State, own: &ByTarget) {
    let mut board = state.board.borrow_mut();
    board.forget_member(&state.settings.node);
    let own_changes = own.iter().map(|(id, work)| (id.clone(), *work)).collect();
    board.member(&state.settings.node, &own_changes);
    let total = board.total();
    drop(board);
    set_others(state, &total, own);
}

fn other_readers(state: &State) -> Vec<(Name, SocketAddr)> {
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let data_centres: IndexSet<_> = nodes.live().iter().map(|node| &node.data_centre).collect();
    let readers = data_centres
        .into_iter()
        .flat_map(|data_centre| nodes.readers(now, data_centre));
    readers
        .filter(|node| node.name != state.settings.node)
        .map(|node| (node.name.clone(), node.peers))
        .collect()
}

async fn take_group(state: &State, reader: &Name, address: SocketAddr) -> Result<(), Error> {
    let mut socket = open(state, address, true).await?;
    loop {
        let message = timeout(SILENCE, receive_any(&mut socket)).await;
        if let Message::Work(changes) = message.map_err(|_| Error::Timeout)?? {
            state.board.borrow_mut().group(reader, &changes);
        }
    }
}

/// Dials a node and says who this one is.
async fn open(
    state: &State,
    address: SocketAddr,
    is_reader: bool,
) -> Result<WebSocketStream<TcpStream>, Error> {
    let connected = timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| Error::Timeout)?
        .map_err(Error::Connect)?;
    set_options(&stream).map_err(Error::Connect)?;
    let url = format!("ws://{address}/");
    let opened = timeout(OPEN_TIMEOUT, tokio_tungstenite::client_async(url, stream));
    let (mut socket, _) = opened.await.map_err(|_| Error::Timeout)??;
    let node = state.settings.node.clone();
    send(&mut socket, &Message::Hello { node, is_reader }).await?;
    Ok(socket)
}

/// Waits for a message for as long as a greeting may take.
async fn receive(socket: &mut WebSocketStream<TcpStream>) -> Result<Message, Error> {
    let message = timeout(OPEN_TIMEOUT, receive_any(socket)).await;
    message.map_err(|_| Error::Timeout)?
}

/// Waits for a message. May be dropped and called again.
async fn receive_any(socket: &mut WebSocketStream<TcpStream>) -> Result<Message, Error> {
    loop {
        let frame = socket.next().await.ok_or(Error::Closed)??;
        match frame {
            Frame::Binary(bytes) => {
                return ciborium::from_reader(bytes.as_ref())
                    .map_err(|error| Error::Unreadable(error.to_string()));
            }
            Frame::Close(_) => return Err(Error::Closed),
            _ => {}
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
        Message::Nodes(list) => {
            state.nodes.borrow_mut().update(now, list);
        }
        message => debug!(state.log, "unexpected message"; "message" => ?message),
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
