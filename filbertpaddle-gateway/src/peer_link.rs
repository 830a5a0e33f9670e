//! A link between two nodes, and what they say on it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::suspect::Record;
use filbertpaddle_forward::directory::Batch;
use filbertpaddle_forward::load_table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::load_table::LoadChanges;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Frame;

use crate::connection_pool::set_socket_options;
use crate::platform_api::NodeList;
use crate::state::State;

/// How long a node may take to open a link or to take a message.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// How long the other end of a link may stay silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// How often changed work and suspects are told.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

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
    Work(LoadChanges),
    /// Suspects by digest that are new or changed.
    Suspects(Vec<(u64, Record)>),
    /// What changed of a table.
    Table {
        /// How old that is.
        age_ms: Millis,
        /// The changes.
        batch: Batch,
    },
    /// How old the other's knowledge of both tables is.
    Ages {
        /// Of the operators' table.
        operator_ms: Millis,
        /// Of the targets' table.
        targets_ms: Millis,
        /// Whether its last call to the store failed.
        is_store_lost: bool,
    },
}

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The other end stayed silent.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed.
    #[error("link failed: {0}")]
    Link(Box<tokio_tungstenite::tungstenite::Error>),
    /// The other end closed it.
    #[error("link closed")]
    Closed,
    /// A message cannot be read or written.
    #[error("unreadable message: {0}")]
    Unreadable(String),
    /// The other end knows nothing newer.
    #[error("peer knows nothing newer")]
    TooOld,
}

impl From<tokio_tungstenite::tungstenite::Error> for Error {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Link(Box::new(error))
    }
}

/// A link to another node.
pub struct PeerLink {
    socket: WebSocketStream<TcpStream>,
    published_load: LoadByTarget,
    suspects_published_ms: Millis,
}

impl fmt::Debug for PeerLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerLink").finish_non_exhaustive()
    }
}

impl PeerLink {
    /// Dials a node and says who this one is.
    ///
    /// # Errors
    ///
    /// Returns an error if the other node does not let itself be dialled.
    pub async fn dial(state: &State, address: SocketAddr, is_reader: bool) -> Result<Self, Error> {
        let connected = timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| Error::Timeout)?
            .map_err(Error::Connect)?;
        set_socket_options(&stream).map_err(Error::Connect)?;
        let url = format!("ws://{address}/");
        let opened = timeout(OPEN_TIMEOUT, tokio_tungstenite::client_async(url, stream));
        let (socket, _) = opened.await.map_err(|_| Error::Timeout)??;
        let mut link = Self::new(socket);
        let node = state.settings.node.clone();
        link.send(&Message::Hello { node, is_reader }).await?;
        Ok(link)
    }

    /// Lets a node dial; returns its name and whether it is a reader.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not say who it is.
    pub async fn accept(stream: TcpStream) -> Result<(Self, Name, bool), Error> {
        set_socket_options(&stream).map_err(Error::Connect)?;
        let accepted = timeout(OPEN_TIMEOUT, tokio_tungstenite::accept_async(stream));
        let mut link = Self::new(accepted.await.map_err(|_| Error::Timeout)??);
        let hello = timeout(OPEN_TIMEOUT, link.receive()).await;
        match hello.map_err(|_| Error::Timeout)?? {
            Message::Hello { node, is_reader } => Ok((link, node, is_reader)),
            _ => Err(Error::Unreadable("no greeting".to_owned())),
        }
    }

    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the link has ended.
    pub async fn send(&mut self, message: &Message) -> Result<(), Error> {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes)
            .map_err(|error| Error::Unreadable(error.to_string()))?;
        let sent = self.socket.send(Frame::Binary(Bytes::from(bytes)));
        timeout(SILENCE_TIMEOUT, sent)
            .await
            .map_err(|_| Error::Timeout)??;
        Ok(())
    }

    /// Waits for a message. May be dropped and called again.
    ///
    /// # Errors
    ///
    /// Returns an error if the link has ended.
    pub async fn receive(&mut self) -> Result<Message, Error> {
        loop {
            match self.socket.next().await.ok_or(Error::Closed)?? {
                Frame::Binary(bytes) => {
                    return ciborium::from_reader(bytes.as_ref())
                        .map_err(|error| Error::Unreadable(error.to_string()));
                }
                Frame::Close(_) => return Err(Error::Closed),
                _ => {}
            }
        }
    }

    /// Work as the other end was last told.
    pub fn published_load(&self) -> &LoadByTarget {
        &self.published_load
    }

    /// Tells what changed of some work and of the suspects since it was last told.
    ///
    /// # Errors
    ///
    /// Returns an error if the link has ended.
    pub async fn publish(&mut self, state: &State, load: LoadByTarget) -> Result<(), Error> {
        let changed = load_table::changes_since(&self.published_load, &load);
        if !changed.is_empty() {
            self.send(&Message::Work(changed)).await?;
            self.published_load = load;
        }
        let now = state.clock.now();
        let suspects: Vec<_> = {
            let suspects = state.suspects.borrow();
            let changes = suspects.changes(self.suspects_published_ms);
            changes
                .map(|(digest, record)| (digest, record.clone()))
                .collect()
        };
        if !suspects.is_empty() {
            self.send(&Message::Suspects(suspects)).await?;
        }
        // What changes within this millisecond is told once more.
        self.suspects_published_ms = now;
        Ok(())
    }

    fn new(socket: WebSocketStream<TcpStream>) -> Self {
        Self {
            socket,
            published_load: LoadByTarget::new(),
            suspects_published_ms: Millis::ZERO,
        }
    }
}

/// Joins what another node knows of suspects.
pub fn merge_suspects(state: &State, suspects: &[(u64, Record)]) {
    let now = state.clock.now();
    let mut known = state.suspects.borrow_mut();
    for (digest, record) in suspects {
        known.merge(now, *digest, record);
    }
}
