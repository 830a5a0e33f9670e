//! A WebSocket link between two nodes and the messages exchanged on it.

use std::fmt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::suspect::CrashRecord;
use filbertpaddle_core::suspect::NumberedRecord;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::configuration::Identity;
use filbertpaddle_forward::configuration_change::Mismatch;
use filbertpaddle_forward::linked_configuration::LinkedConfiguration;
use filbertpaddle_forward::load_table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::speed_table::SpeedPart;
use filbertpaddle_forward::stated_rate::RateStatement;
use futures_util::SinkExt;
use futures_util::StreamExt;
use slog::info;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::connection_pool::set_socket_options;
use crate::peer_message::Message;
use crate::peer_message::SentRate;
use crate::peer_message::decode;
use crate::rollout_exchange;
use crate::rollout_exchange::SentRollouts;
use crate::speed_exchange::SpeedPublisher;
use crate::state::State;
use crate::tunnel::MAX_FRAME_BYTES;

/// Limit on each step of opening a link.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);
/// Time without a message after which a link counts as broken; also limits a send.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which changed load and suspects are published.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a message from a followed node: the list of nodes or a whole table.
const MAX_TABLE_BYTES: usize = 16 << 20;
/// Maximum size of any other message: the load of all targets.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Maximum number of stated rates published at a time: 100 a second on a link, about 10 KB,
/// however many targets state one. Further ones follow.
const MAX_PUBLISHED_RATES: usize = 5;
/// Maximum number of crash suspects published at a time: 200 a second on a link, about 10 KB,
/// however many requests wait at targets that crash. Further ones follow.
const MAX_PUBLISHED_SUSPECTS: usize = 10;
/// Maximum number of crash suspects that go ahead of the others on a new link, about 10 KB. The
/// others may take 20 s.
const MAX_WORST_SUSPECTS: usize = 100;

/// Reason why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be set up.
    #[error("cannot set up connection to node: {0}")]
    Connect(std::io::Error),
    /// The other node did not respond in time.
    #[error("node did not respond in time")]
    Timeout,
    /// The connection failed.
    #[error("link to node failed: {0}")]
    Link(Box<tokio_tungstenite::tungstenite::Error>),
    /// The other node closed the link.
    #[error("link closed by the other node")]
    Closed,
    /// A message cannot be encoded or decoded, or is not the expected one.
    #[error("invalid message between nodes: {0}")]
    Unreadable(String),
    /// A change of the configuration does not fit.
    #[error(transparent)]
    Mismatch(#[from] Mismatch),
    /// The followed node's data is too old.
    #[error("data of the followed node is too old")]
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
    configuration: LinkedConfiguration,
    published_load: LoadByTarget,
    /// Sequence number of the last change of the suspects that was sent.
    suspects_published: u64,
    /// Sequence number of the last leaving target that was sent.
    leaving_published: u64,
    /// Sequence number of the last stated rate that was sent.
    rates_published: u64,
    speeds: SpeedPublisher,
    pub(crate) rollouts: SentRollouts,
}

impl fmt::Debug for PeerLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerLink").finish_non_exhaustive()
    }
}

impl PeerLink {
    /// Opens a link to a node and sends [`Message::Hello`].
    ///
    /// # Errors
    ///
    /// Returns an error if the link cannot be opened in time.
    pub async fn dial(state: &State, address: SocketAddr, is_reader: bool) -> Result<Self, Error> {
        let known = state.directory.borrow().configuration().cloned();
        let configuration = LinkedConfiguration::receiving(known);
        let first = Message::Hello {
            node: state.settings.node.clone(),
            is_reader,
            configuration: Some(configuration.id()),
        };
        let connecting = TcpStream::connect(address);
        let mut link = Self::open(connecting, address, &first, MAX_TABLE_BYTES).await?;
        link.configuration = configuration;
        Ok(link)
    }

    /// Opens a link that becomes a tunnel, from this node's address `own`, by which the other node
    /// knows it, and sends its first message.
    ///
    /// # Errors
    ///
    /// Returns an error if the link cannot be opened in time.
    pub async fn dial_from(
        own: IpAddr,
        address: SocketAddr,
        first: &Message,
    ) -> Result<Self, Error> {
        let connecting = async {
            let socket = match own {
                IpAddr::V4(_) => TcpSocket::new_v4()?,
                IpAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.bind(SocketAddr::new(own, 0))?;
            socket.connect(address).await
        };
        Self::open(connecting, address, first, MAX_MESSAGE_BYTES).await
    }

    async fn open<C>(
        connecting: C,
        address: SocketAddr,
        first: &Message,
        max_bytes: usize,
    ) -> Result<Self, Error>
    where
        C: Future<Output = io::Result<TcpStream>>,
    {
        let connected = timeout(OPEN_TIMEOUT, connecting).await;
        let stream = connected
            .map_err(|_| Error::Timeout)?
            .map_err(Error::Connect)?;
        set_socket_options(&stream).map_err(Error::Connect)?;
        let url = format!("ws://{address}/");
        let opening = client_async_with_config(url, stream, Some(socket_config(max_bytes)));
        let opened = timeout(OPEN_TIMEOUT, opening).await;
        let (socket, _) = opened.map_err(|_| Error::Timeout)??;
        let mut link = Self::new(socket);
        link.send(first).await?;
        Ok(link)
    }

    /// Accepts a link; returns its first message.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none in time.
    pub async fn accept(stream: TcpStream) -> Result<(Self, Message), Error> {
        set_socket_options(&stream).map_err(Error::Connect)?;
        let config = socket_config(MAX_MESSAGE_BYTES);
        let accepting = accept_async_with_config(stream, Some(config));
        let accepted = timeout(OPEN_TIMEOUT, accepting).await;
        let mut link = Self::new(accepted.map_err(|_| Error::Timeout)??);
        let first = timeout(OPEN_TIMEOUT, link.receive()).await;
        let first = first.map_err(|_| Error::Timeout)??;
        Ok((link, first))
    }

    /// Records the configuration that the node that opened the link has stated.
    pub fn set_stated_configuration(&mut self, state: &State, stated: Option<Identity>) {
        let own = state.directory.borrow().configuration().cloned();
        self.configuration = LinkedConfiguration::sending(stated, own);
    }

    /// Sends changes of a table: of the configuration only what the other end lacks.
    ///
    /// # Errors
    ///
    /// Returns an error if the link has ended.
    pub async fn send_table(&mut self, state: &State, mut batch: Batch) -> Result<(), Error> {
        let configuration_change = self.configuration.shorten(&mut batch);
        let table = Message::Table {
            age_ms: state.data_age_ms(batch.table),
            clock_ms: Some(state.clock.now()),
            batch,
            configuration_change,
        };
        self.send(&table).await
    }

    /// Returns the connection of a link that becomes a tunnel.
    pub fn into_socket(self) -> WebSocketStream<TcpStream> {
        self.socket
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

    /// Waits for a message. Cancel-safe.
    ///
    /// # Errors
    ///
    /// Returns an error if the link has ended.
    pub async fn receive(&mut self) -> Result<Message, Error> {
        loop {
            match self.socket.next().await.ok_or(Error::Closed)?? {
                Frame::Binary(bytes) => return self.restore(decode(&bytes)?),
                Frame::Close(_) => return Err(Error::Closed),
                _ => {}
            }
        }
    }

    /// Completes the changes of a table with the configuration, if only its change was sent.
    fn restore(&mut self, mut message: Message) -> Result<Message, Error> {
        if let Message::Table {
            batch,
            configuration_change,
            ..
        } = &mut message
        {
            let change = configuration_change.take();
            self.configuration.restore(batch, change)?;
        }
        Ok(message)
    }

    /// Returns the load that was last published on this link.
    pub fn published_load(&self) -> &LoadByTarget {
        &self.published_load
    }

    /// Publishes what changed in `load` and in what nodes find out since the last call.
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
        self.publish_findings(state).await
    }

    /// Publishes what changed in a part of the samples of targets' speed, if it is time to.
    ///
    /// # Errors
    ///
    /// Returns an error if the link has ended.
    pub(crate) async fn publish_speeds(
        &mut self,
        state: &State,
        part: SpeedPart,
    ) -> Result<(), Error> {
        let speeds = self.speeds.due(state, part);
        if speeds.is_empty() {
            return Ok(());
        }
        self.send(&Message::Speeds(speeds)).await
    }

    /// Publishes what nodes find out about requests and targets: the suspects, the stated rates
    /// and the leaving targets that are new since the last call.
    ///
    /// # Errors
    ///
    /// Returns an error if the link has ended.
    pub async fn publish_findings(&mut self, state: &State) -> Result<(), Error> {
        self.publish_suspects(state).await?;
        self.publish_rates(state).await?;
        self.publish_records(state).await?;
        let (sequence, leaving) = {
            let directory = state.directory.borrow();
            let leaving = directory.leaving();
            let new: Vec<_> = leaving
                .reported_after(self.leaving_published)
                .cloned()
                .collect();
            (leaving.sequence(), new)
        };
        if !leaving.is_empty() {
            self.send(&Message::Leaving(leaving)).await?;
        }
        self.leaving_published = sequence;
        Ok(())
    }

    async fn publish_suspects(&mut self, state: &State) -> Result<(), Error> {
        if self.suspects_published == 0 {
            let worst = state.suspects.borrow().worst(MAX_WORST_SUSPECTS);
            self.send_suspects(worst).await?;
        }
        let changed = {
            let suspects = state.suspects.borrow();
            suspects.changed_after(self.suspects_published, MAX_PUBLISHED_SUSPECTS)
        };
        if let Some(last) = changed.last() {
            self.suspects_published = last.sequence;
        }
        self.send_suspects(changed).await
    }

    async fn send_suspects(&mut self, suspects: Vec<NumberedRecord>) -> Result<(), Error> {
        if suspects.is_empty() {
            return Ok(());
        }
        let records = suspects.into_iter();
        let records = records.map(|numbered| (numbered.digest, numbered.record));
        self.send(&Message::Suspects(records.collect())).await
    }

    async fn publish_rates(&mut self, state: &State) -> Result<(), Error> {
        let now = state.clock.now();
        let stated = {
            let selector = state.selector.borrow();
            let rates = selector.stated_rates();
            rates.stated_after(self.rates_published, MAX_PUBLISHED_RATES)
        };
        let Some(last) = stated.last() else {
            return Ok(());
        };
        self.rates_published = last.sequence;
        let rates = stated.into_iter().map(|numbered| SentRate {
            age_ms: now.since(numbered.statement.at_ms),
            incarnation: numbered.statement.incarnation,
            per_sec: numbered.statement.per_sec,
        });
        self.send(&Message::Rates(rates.collect())).await
    }

    fn new(socket: WebSocketStream<TcpStream>) -> Self {
        Self {
            socket,
            configuration: LinkedConfiguration::default(),
            published_load: LoadByTarget::new(),
            suspects_published: 0,
            leaving_published: 0,
            rates_published: 0,
            speeds: SpeedPublisher::default(),
            rollouts: SentRollouts::default(),
        }
    }
}

/// Returns the options of links on which messages have at most `max_bytes`. There may be hundreds of
/// links, each with buffers of the size of a frame.
fn socket_config(max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
        .read_buffer_size(MAX_FRAME_BYTES)
        .write_buffer_size(MAX_FRAME_BYTES)
}

/// Merges suspects, stated rates and leaving targets received from another node; returns any other message.
pub fn merge_findings(state: &State, message: Message) -> Option<Message> {
    match message {
        Message::Suspects(suspects) => merge_suspects(state, &suspects),
        Message::Leaving(leaving) => leaving
            .iter()
            .for_each(|incarnation| state.mark_target_draining(incarnation, "peer")),
        Message::Rates(rates) => merge_rates(state, rates),
        Message::Rollouts(records) => rollout_exchange::merge_records(state, &records),
        Message::RolloutCounts(counts) => state.merge_rollout_counts(&counts, false),
        other => return Some(other),
    }
    None
}

fn merge_rates(state: &State, rates: Vec<SentRate>) {
    let now = state.clock.now();
    for rate in rates {
        state.merge_stated_rate(&RateStatement {
            incarnation: rate.incarnation,
            per_sec: rate.per_sec,
            at_ms: Millis(now.0.saturating_sub(rate.age_ms.0)),
        });
    }
}

fn merge_suspects(state: &State, suspects: &[(u64, CrashRecord)]) {
    let now = state.clock.now();
    let mut known = state.suspects.borrow_mut();
    for (fingerprint, record) in suspects {
        let crashes = known.crashes(*fingerprint);
        let answer_age_ms = known.merge(now, *fingerprint, record);
        let merged = known.crashes(*fingerprint);
        if let Some(age_ms) = answer_age_ms {
            info!(state.log, "crash suspect of another node cleared: answered here recently";
                "fingerprint" => fingerprint, "answer_age_ms" => age_ms.0);
        }
        if merged != crashes {
            info!(state.log, "crash suspect updated by another node";
                "fingerprint" => fingerprint, "crashes" => merged, "former_crashes" => crashes);
        }
    }
}
