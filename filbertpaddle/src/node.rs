//! A node: its components, its listeners and its graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::WrapErr;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_http::buffer_limit::BufferLimit;
use filbertpaddle_platform::client::Client;
use filbertpaddle_target::client as target;
use filbertpaddle_wire::claim;
use filbertpaddle_wire::config as wire_config;
use serde::Deserialize;
use serde::Serialize;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use warp::Filter;

use crate::admission::Admission;
use crate::attempt_id;
use crate::caller_api;
use crate::claims;
use crate::claims::Claims;
use crate::clock;
use crate::clock::Clock;
use crate::config;
use crate::config::Config;
use crate::config_snapshot::ConfigReader;
use crate::health;
use crate::inbox;
use crate::inbox::Inboxes;
use crate::log;
use crate::metrics::Metrics;
use crate::operator_routes;
use crate::operator_routes::OperatorHandler;
use crate::peers::Identity;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::pools;
use crate::pools::Pools;
use crate::refusals::RefusalLog;
use crate::remote_slots::RemoteSlots;
use crate::request_context::RequestContext;
use crate::retries::Retries;
use crate::settings::Settings;
use crate::shared_availability::SharedAvailability;
use crate::slot_router::SlotRouter;

/// Maximum number of messages from peers queued for dispatch.
const MAX_RECEIVED_MESSAGES: usize = 16_384;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Addresses a node listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and health checks.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    addresses: Addresses,
    context: Arc<RequestContext>,
    servers: Vec<Server>,
    log: Logger,
}

#[derive(Debug)]
struct Server {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Node {
    /// Binds the listeners and starts all components.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound.
    pub async fn start(settings: Settings, log: Logger) -> eyre::Result<Self> {
        let callers = bind(settings.listen.callers)?;
        let operators = bind(settings.listen.operators)?;
        let peers = bind(settings.listen.peers)?;
        let addresses = Addresses {
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
            peers: peers.local_addr()?,
        };
        let metrics = Arc::new(Metrics::open(settings.metrics)?);
        let advertised = settings.listen.advertise_peers.unwrap_or(addresses.peers);
        let identity = identity(&settings, advertised);
        let common = Common {
            own: identity.own.clone(),
            platform: platform_client(&settings),
            metrics,
            clock: Clock::start(),
            log: log.clone(),
        };
        let (peers, inboxes) = start_peers(&settings, identity, peers, &common);
        let availability = SharedAvailability::new(common.clock, log::component(&log, "service"));
        let pools = Pools::start(pools::Dependencies {
            own: common.own.clone(),
            peers: peers.clone(),
            member: inboxes.member,
            grant: inboxes.grant,
            platform: common.platform.clone(),
            targets: target::Client::new(target::Settings::default()),
            availability: availability.clone(),
            clock: common.clock,
            placement: settings.placement,
            log: log::component(&log, "pool"),
        });
        let remote = RemoteSlots::start(
            common.own.clone(),
            peers.clone(),
            pools.clone(),
            inboxes.remote,
        );
        let claims = start_claims(&settings, &common, peers.clone(), inboxes.claim);
        let (config, config_reader) = start_config(&common, peers, inboxes.config, &availability);
        let handler = Arc::new(operator_handler(&settings, &common, config));
        let slots = SlotRouter::new(pools, remote);
        let context = Arc::new(request_context(
            &settings,
            &common,
            config_reader,
            claims,
            slots,
        ));
        let servers = vec![
            serve(
                callers,
                caller_api::routes(Arc::clone(&context)).or(health::routes(Arc::clone(&context))),
            ),
            serve(
                operators,
                operator_routes::routes(handler).or(health::routes(Arc::clone(&context))),
            ),
        ];
        let log = log::component(&log, "node");
        info!(log, "Node started."; "name" => %settings.node.name);
        Ok(Self {
            addresses,
            context,
            servers,
            log,
        })
    }

    /// Returns the addresses that the node listens on.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Refuses new requests, waits for running ones to end, and stops.
    pub async fn close(self) {
        info!(self.log, "Node draining; new requests are refused.");
        self.context.admission.drain().await;
        self.context.slots.leave().await;
        self.context.claims.close().await;
        for server in self.servers {
            server.stop.send(()).ok();
            server.task.await.ok();
        }
        info!(self.log, "Node stopped.");
    }
}

fn identity(settings: &Settings, address: SocketAddr) -> Identity {
    Identity {
        own: Peer {
            name: settings.node.name.clone(),
            incarnation: clock::unix_now().0,
            data_centre: settings.node.data_centre.clone(),
            address: address.to_string().into(),
        },
        secret: settings.secrets.peer.as_str().into(),
    }
}

/// Values that most components of a node share.
struct Common {
    own: Peer,
    platform: Client,
    metrics: Arc<Metrics>,
    clock: Clock,
    log: Logger,
}

fn platform_client(settings: &Settings) -> Client {
    let base = format!("http://{}", settings.platform.address);
    let timeout = clock::duration(settings.platform.timeout_ms);
    Client::new(base, timeout)
}

fn request_context(
    settings: &Settings,
    common: &Common,
    config: ConfigReader,
    claims: Claims,
    slots: SlotRouter,
) -> RequestContext {
    let own = &common.own;
    let log = &common.log;
    let attempt_prefix = attempt_id::prefix(&NodeId {
        name: own.name.clone(),
        incarnation: own.incarnation,
    });
    RequestContext {
        config,
        claims,
        slots,
        retries: Retries::new(settings.retries),
        targets: target::Client::new(target::Settings::default()),
        texts: BufferLimit::new(),
        ticket_secret: settings.secrets.ticket.as_str().into(),
        limits: settings.limits.clone(),
        metrics: Arc::clone(&common.metrics),
        log: log::component(log, "request"),
        admission: Admission::new(attempt_prefix, settings.limits.requests),
    }
}

fn start_claims(
    settings: &Settings,
    common: &Common,
    peers: Peers,
    inbox: mpsc::Receiver<inbox::Incoming<claim::Message>>,
) -> Claims {
    Claims::start(claims::Dependencies {
        own: common.own.clone(),
        settings: settings.claims,
        platform: common.platform.clone(),
        platform_timeout: clock::duration(settings.platform.timeout_ms),
        peers,
        inbox,
        clock: common.clock,
        metrics: Arc::clone(&common.metrics),
        log: log::component(&common.log, "claim"),
    })
}

fn start_config(
    common: &Common,
    peers: Peers,
    inbox: mpsc::Receiver<inbox::Incoming<wire_config::Message>>,
    availability: &SharedAvailability,
) -> (Config, ConfigReader) {
    Config::start(config::Dependencies {
        own: common.own.clone(),
        peers,
        inbox,
        platform: common.platform.clone(),
        availability: availability.clone(),
        clock: common.clock,
        metrics: Arc::clone(&common.metrics),
        log: log::component(&common.log, "config"),
    })
}

fn operator_handler(settings: &Settings, common: &Common, config: Config) -> OperatorHandler {
    let log = log::component(&common.log, "operator");
    let node = common.own.name.clone();
    OperatorHandler {
        refusal_log: RefusalLog::start(node.clone(), common.platform.clone(), log.clone()),
        node,
        operators: settings.operators.clone(),
        config,
        platform: common.platform.clone(),
        log,
    }
}

fn start_peers(
    settings: &Settings,
    identity: Identity,
    listener: TcpListener,
    common: &Common,
) -> (Peers, Inboxes) {
    let (inbox, received) = mpsc::channel(MAX_RECEIVED_MESSAGES);
    let metrics = Arc::clone(&common.metrics);
    let log = log::component(&common.log, "peer");
    let peers = Peers::start(identity, listener, inbox, metrics, log);
    for address in &settings.peers {
        peers.add(*address);
    }
    let (senders, inboxes) = inbox::channels();
    tokio::spawn(inbox::dispatch(received, senders));
    (peers, inboxes)
}

// Accepted connections inherit `TCP_NODELAY`, so that small writes, one for each
// token, are sent without delay.
fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket
        .bind(address)
        .and_then(|()| socket.listen(LISTEN_BACKLOG))
        .wrap_err_with(|| format!("cannot listen on {address}"))
}

fn serve<F>(listener: TcpListener, routes: F) -> Server
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let (stop, stopped) = oneshot::channel::<()>();
    let server = warp::serve(routes).incoming(listener).graceful(async {
        stopped.await.ok();
    });
    let task = tokio::spawn(server.run());
    Server { stop, task }
}
