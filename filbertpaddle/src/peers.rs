//! WebSocket links to other nodes.
//!
//! A node sends on the connections it dials and receives on those it
//! accepts, so that a fault of one connection stops messages in one direction only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use filbertpaddle_core::name::Name;
use filbertpaddle_wire::frame;
use filbertpaddle_wire::greeting::Greeting;
use filbertpaddle_wire::greeting::PROTOCOL_VERSION;
use filbertpaddle_wire::message::Message;
use futures_util::SinkExt;
use futures_util::StreamExt;
use indexmap::IndexMap;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::metrics::Metrics;

/// Maximum number of messages queued for one link.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Maximum number of messages in one frame.
const MAX_BATCH_MESSAGES: usize = 256;
/// Delay before a link is dialled again, or before accepting again after an error.
const REDIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for a connection and its handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between two pings on a link.
const PING_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a frame from the other side after which the link counts as lost.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for writing a frame.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
const CHALLENGE_BYTES: usize = 16;

/// A node as identified by its greeting.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Name of the node.
    pub name: Name,
    /// Number of the node's incarnation; a restart gets a higher one.
    pub incarnation: u64,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Address on which the node accepts peers.
    pub address: Name,
}

/// A message and the node that sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct Received {
    /// Sender.
    pub from: Peer,
    /// The message.
    pub message: Message,
}

/// This node's identity and the peer secret, used in the handshake of every link.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, incarnation, data centre and address of this node.
    pub own: Peer,
    /// Secret shared by all peers, which signs greetings.
    pub secret: Arc<str>,
}

/// Sends to and receives from other nodes.
#[derive(Clone, Debug)]
pub struct Peers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: Identity,
    links: Mutex<IndexMap<SocketAddr, Link>>,
    inbox: mpsc::Sender<Received>,
    metrics: Arc<Metrics>,
    log: Logger,
}

#[derive(Debug)]
struct Link {
    peer: Option<Peer>,
    queue: mpsc::Sender<Message>,
}

impl Peers {
    /// Starts to accept peers on `listener`; their messages go to `inbox`.
    pub fn start(
        identity: Identity,
        listener: TcpListener,
        inbox: mpsc::Sender<Received>,
        metrics: Arc<Metrics>,
        log: Logger,
    ) -> Self {
        let peers = Self {
            shared: Arc::new(Shared {
                identity,
                links: Mutex::new(IndexMap::new()),
                inbox,
                metrics,
                log,
            }),
        };
        tokio::spawn(accept(peers.clone(), listener));
        peers
    }

    /// Adds a link to a node and keeps it connected; does nothing if there is one
    /// already or the address is this node's.
    pub fn add(&self, address: SocketAddr) {
        if address.to_string() == self.shared.identity.own.address {
            return;
        }
        let mut links = self.links();
        if links.contains_key(&address) {
            return;
        }
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        links.insert(address, Link { peer: None, queue });
        tokio::spawn(dial(self.clone(), address, messages));
    }

    /// Removes the link to an address; nothing more is sent there.
    pub fn remove(&self, address: SocketAddr) {
        self.links().swap_remove(&address);
    }

    /// Returns the nodes that messages can be sent to now.
    pub fn connected(&self) -> Vec<Peer> {
        self.links()
            .values()
            .filter_map(|link| link.peer.clone())
            .collect()
    }

    /// Queues a message; returns whether the node is connected and its queue
    /// has room.
    ///
    /// A queued message may still be lost.
    pub fn send(&self, node: &str, message: Message) -> bool {
        let links = self.links();
        let link = links
            .values()
            .find(|link| link.peer.as_ref().is_some_and(|peer| peer.name == node));
        let sent = link.is_some_and(|link| link.queue.try_send(message).is_ok());
        if !sent {
            self.shared.metrics.count("peer.unsent");
        }
        sent
    }

    fn links(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Link>> {
        self.shared
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn set_peer(&self, address: SocketAddr, peer: Option<Peer>) {
        if let Some(link) = self.links().get_mut(&address) {
            link.peer = peer;
        }
    }

    fn greeting(&self, challenge: Vec<u8>, offer: Vec<u8>) -> Greeting {
        let own = &self.shared.identity.own;
        let greeting = Greeting {
            version: PROTOCOL_VERSION,
            node: own.name.clone(),
            incarnation: own.incarnation,
            data_centre: own.data_centre.clone(),
            address: own.address.clone(),
            challenge,
            offer,
            proof: Vec::new(),
        };
        greeting.sign(self.shared.identity.secret.as_bytes())
    }

    fn verify_greeting(&self, greeting: Greeting, challenge: &[u8]) -> eyre::Result<Peer> {
        eyre::ensure!(
            greeting.version == PROTOCOL_VERSION,
            "peer uses protocol version {}, expected {PROTOCOL_VERSION}",
            greeting.version
        );
        eyre::ensure!(
            greeting.challenge == challenge,
            "greeting answers a different challenge"
        );
        let secret = self.shared.identity.secret.as_bytes();
        eyre::ensure!(
            greeting.verify(secret),
            "greeting not signed with the peer secret"
        );
        Ok(Peer {
            name: greeting.node,
            incarnation: greeting.incarnation,
            data_centre: greeting.data_centre,
            address: greeting.address,
        })
    }
}

async fn accept(peers: Peers, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(receive_messages(peers.clone(), stream));
            }
            Err(error) => {
                warn!(peers.shared.log, "Cannot accept a peer connection; retrying.";
                    "error" => %error);
                tokio::time::sleep(REDIAL_INTERVAL).await;
            }
        }
    }
}

async fn receive_messages(peers: Peers, stream: TcpStream) {
    stream.set_nodelay(true).ok();
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, accept_handshake(&peers, stream)).await;
    let (from, mut socket) = match handshake.unwrap_or_else(|_| {
        Err(eyre::eyre!(
            "handshake not completed within {HANDSHAKE_TIMEOUT:?}"
        ))
    }) {
        Ok(accepted) => accepted,
        Err(error) => {
            peers.shared.metrics.count("peer.refused");
            warn!(peers.shared.log, "Peer handshake failed; connection closed."; "error" => %error);
            return;
        }
    };
    if let Ok(address) = from.address.parse() {
        peers.add(address);
    }
    let mut decoder = frame::Decoder::new();
    while let Some(Ok(received)) = socket.next().await {
        let tungstenite::Message::Binary(bytes) = received else {
            continue;
        };
        let messages = match decoder.decode(&bytes) {
            Ok(messages) => messages,
            Err(error) => {
                warn!(peers.shared.log, "Malformed frame from peer; connection closed.";
                    "peer" => %from.name, "error" => %error);
                return;
            }
        };
        for message in messages {
            let from = from.clone();
            let received = Received { from, message };
            if peers.shared.inbox.send(received).await.is_err() {
                return;
            }
        }
    }
}

async fn accept_handshake(
    peers: &Peers,
    stream: TcpStream,
) -> eyre::Result<(Peer, WebSocketStream<TcpStream>)> {
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await?;
    let dialler_challenge = receive_bytes(&mut socket).await?;
    let challenge = challenge();
    let greeting = peers.greeting(dialler_challenge, challenge.clone());
    send_greeting(&mut socket, &greeting).await?;
    let answer = receive_greeting(&mut socket).await?;
    // Only a listener's greeting carries an offer, so this one was reflected.
    eyre::ensure!(
        answer.offer.is_empty(),
        "greeting carries an offer: the listener's own greeting was sent back"
    );
    let peer = peers.verify_greeting(answer, &challenge)?;
    Ok((peer, socket))
}

async fn dial(peers: Peers, address: SocketAddr, mut messages: mpsc::Receiver<Message>) {
    while !messages.is_closed() {
        let connected = tokio::time::timeout(HANDSHAKE_TIMEOUT, dial_handshake(&peers, address));
        match connected.await {
            Ok(Ok((peer, socket))) => {
                info!(peers.shared.log, "Peer connected."; "peer" => %peer.name);
                peers.set_peer(address, Some(peer.clone()));
                write_frames(&peers, socket, &mut messages).await;
                peers.set_peer(address, None);
                info!(peers.shared.log, "Peer disconnected; dialling again."; "peer" => %peer.name);
            }
            Ok(Err(error)) => {
                debug!(peers.shared.log, "Cannot connect to peer; dialling again.";
                    "address" => %address, "error" => %error);
            }
            Err(_) => {
                debug!(peers.shared.log, "Peer did not complete the handshake in time; dialling again.";
                    "address" => %address)
            }
        }
        tokio::time::sleep(REDIAL_INTERVAL).await;
    }
}

async fn dial_handshake(
    peers: &Peers,
    address: SocketAddr,
) -> eyre::Result<(Peer, WebSocketStream<TcpStream>)> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config())).await?;
    let challenge = challenge();
    send_bytes(&mut socket, challenge.clone()).await?;
    let greeting = receive_greeting(&mut socket).await?;
    let offer = greeting.offer.clone();
    eyre::ensure!(!offer.is_empty(), "listener's greeting carries no offer");
    let peer = peers.verify_greeting(greeting, &challenge)?;
    send_greeting(&mut socket, &peers.greeting(offer, Vec::new())).await?;
    Ok((peer, socket))
}

fn challenge() -> Vec<u8> {
    rand::random::<[u8; CHALLENGE_BYTES]>().to_vec()
}

// Messages queued while a frame is being written are batched into the next one.
async fn write_frames(
    peers: &Peers,
    mut socket: WebSocketStream<TcpStream>,
    messages: &mut mpsc::Receiver<Message>,
) {
    let mut encoder = frame::Encoder::new();
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    let mut ping_timer = tokio::time::interval(PING_INTERVAL);
    let mut last_received = Instant::now();
    loop {
        let frame = tokio::select! {
            count = messages.recv_many(&mut batch, MAX_BATCH_MESSAGES) => {
                if count == 0 {
                    break;
                }
                encode_frame(peers, &mut encoder, &mut batch)
            }
            // The listener sends only pongs; the end of its stream closes the link.
            received = socket.next() => match received {
                Some(Ok(_)) => {
                    last_received = Instant::now();
                    None
                }
                _ => break,
            },
            _ = ping_timer.tick() => {
                // Writes to a stalled link succeed for a long time; only missing pongs show it.
                if last_received.elapsed() > RECEIVE_TIMEOUT {
                    break;
                }
                Some(tungstenite::Message::Ping(Vec::new().into()))
            }
        };
        let Some(frame) = frame else {
            continue;
        };
        let sent = tokio::time::timeout(WRITE_TIMEOUT, socket.send(frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            break;
        }
    }
    tokio::time::timeout(WRITE_TIMEOUT, socket.close(None))
        .await
        .ok();
}

fn encode_frame(
    peers: &Peers,
    encoder: &mut frame::Encoder,
    batch: &mut Vec<Message>,
) -> Option<tungstenite::Message> {
    let encoded = encoder.encode(batch);
    batch.clear();
    match encoded {
        Ok(bytes) => Some(tungstenite::Message::Binary(bytes.into())),
        Err(error) => {
            warn!(peers.shared.log, "Cannot encode frame; its messages are dropped.";
                "error" => %error);
            None
        }
    }
}

async fn send_greeting(
    socket: &mut WebSocketStream<TcpStream>,
    greeting: &Greeting,
) -> eyre::Result<()> {
    let mut bytes = Vec::new();
    ciborium::into_writer(greeting, &mut bytes)?;
    send_bytes(socket, bytes).await
}

async fn send_bytes(socket: &mut WebSocketStream<TcpStream>, bytes: Vec<u8>) -> eyre::Result<()> {
    let message = tungstenite::Message::Binary(bytes.into());
    socket
        .send(message)
        .await
        .wrap_err("cannot send a handshake message")
}

async fn receive_greeting(socket: &mut WebSocketStream<TcpStream>) -> eyre::Result<Greeting> {
    let bytes = receive_bytes(socket).await?;
    Ok(ciborium::from_reader(bytes.as_slice())?)
}

async fn receive_bytes(socket: &mut WebSocketStream<TcpStream>) -> eyre::Result<Vec<u8>> {
    match socket.next().await {
        Some(Ok(tungstenite::Message::Binary(bytes))) => Ok(bytes.to_vec()),
        Some(Ok(_)) => Err(eyre::eyre!("expected a binary handshake message")),
        Some(Err(error)) => Err(error.into()),
        None => Err(eyre::eyre!("connection closed during the handshake")),
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(frame::MAX_FRAME_BYTES))
        .max_frame_size(Some(frame::MAX_FRAME_BYTES))
}
