//! Start, run and stop of a gateway node.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::directory::Table;
use filbertpaddle_forward::drain::Drain;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::interval;
use tokio::time::sleep;

use crate::drain_detection;
use crate::listener;
use crate::load_exchange;
use crate::log;
use crate::peer_follower;
use crate::peer_publisher;
use crate::platform_api::PlatformApi;
use crate::settings::Settings;
use crate::state::State;
use crate::store_sync;

/// How often doubts and idle connections are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// How often the settings are read again.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// How long after the signal the balancer may still send callers here: it asks
/// once a second and takes two misses.
const BALANCER_GRACE_MS: Millis = Millis(2_500);
/// How often a stopping node looks whether its requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the grace ends at which a stopping node ends by itself.
const EXIT_MARGIN_MS: Millis = Millis(150);

/// Why a node cannot run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime cannot be set up.
    #[error("cannot set up the runtime: {0}")]
    Runtime(io::Error),
    /// An address cannot be bound.
    #[error("cannot listen at {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// A signal cannot be handled.
    #[error("cannot handle signals: {0}")]
    Signal(io::Error),
}

/// How an adapter reads the settings again when they change.
pub type Reload = fn() -> Result<Settings, String>;

/// Runs a node until it is told to stop and its requests have ended.
///
/// # Errors
///
/// Returns [`Error`] if it cannot start.
pub fn run(settings: Settings, platform: PlatformApi, reload: Reload) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let serving = serve(settings, platform, reload);
    LocalSet::new().block_on(&runtime, serving)
}

async fn serve(mut settings: Settings, platform: PlatformApi, reload: Reload) -> Result<(), Error> {
    let callers = listen(&mut settings.callers).await?;
    let ready = listen(&mut settings.ready).await?;
    let peers = listen(&mut settings.peers).await?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let log = log::open(&settings.node);
    let state = State::new(settings, platform, log);
    let settings = &state.settings;
    info!(state.log, "node started";
        "data_centre" => settings.data_centre.as_str(), "callers" => %settings.callers,
        "ready" => %settings.ready, "peers" => %settings.peers,
        "store" => %settings.store, "version" => env!("CARGO_PKG_VERSION"));
    let (stop, stopping) = watch::channel(false);
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    spawn(Box::pin(listener::serve(
        Rc::clone(&state),
        callers,
        stopping,
    )));
    spawn(Box::pin(listener::serve_ready(Rc::clone(&state), ready)));
    spawn(Box::pin(peer_publisher::serve(Rc::clone(&state), peers)));
    spawn(Box::pin(peer_follower::run(Rc::clone(&state))));
    spawn(Box::pin(store_sync::watch_table(
        Rc::clone(&state),
        Table::Operator,
    )));
    spawn(Box::pin(store_sync::watch_table(
        Rc::clone(&state),
        Table::Targets,
    )));
    spawn(Box::pin(load_exchange::run(Rc::clone(&state))));
    spawn(Box::pin(drain_detection::run(Rc::clone(&state))));
    spawn(Box::pin(store_sync::maintain_registration(Rc::clone(
        &state,
    ))));
    if let Some(mut address) = settings.metrics {
        match listen(&mut address).await {
            Ok(metrics) => {
                spawn(Box::pin(listener::serve_metrics(
                    Rc::clone(&state),
                    metrics,
                )));
            }
            Err(error) => warn!(state.log, "no metrics"; "error" => %error),
        }
    }
    let mut ticks = interval(TICK_INTERVAL);
    let mut reloads = interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => {
                info!(state.log, "told that the settings changed");
                reload_settings(&state, reload);
            }
            // The file may also change without a signal.
            _ = reloads.tick() => reload_settings(&state, reload),
            _ = ticks.tick() => {
                state.apply_due_removals();
                state.connections.close_stale();
            }
        }
    }
    drain(&state, &stop).await;
    Ok(())
}

/// Reads the settings again. Name, data centre and addresses stay those of the
/// node's start; the rest is in force at once.
fn reload_settings(state: &State, reload: Reload) {
    let settings = match reload() {
        Ok(settings) => settings,
        Err(error) => {
            warn!(state.log, "settings not read"; "error" => error);
            return;
        }
    };
    let previous = state.reloadable.replace(settings.reloadable.clone());
    if previous != settings.reloadable {
        info!(state.log, "settings changed";
            "grace_ms" => settings.reloadable.grace_ms.0,
            "retry_ratio" => settings.reloadable.retries.ratio,
            "retry_slack" => settings.reloadable.retries.slack,
            "seeds" => settings.reloadable.seeds.len());
    }
}

/// Finishes what runs and closes what is idle.
async fn drain(state: &State, stop: &watch::Sender<bool>) {
    let began_ms = state.clock.now();
    let grace_ms = state.reloadable.borrow().grace_ms;
    state.drain.set(Some(Drain { began_ms, grace_ms }));
    info!(state.log, "node stops"; "in_flight" => state.in_flight.get(), "grace_ms" => grace_ms.0);
    let elapsed_ms = || state.clock.now().since(began_ms);
    while elapsed_ms() < BALANCER_GRACE_MS.min(grace_ms) {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    stop.send_replace(true);
    while state.in_flight.get() > 0 && elapsed_ms() + EXIT_MARGIN_MS < grace_ms {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // What comes now would be cut, so it is refused unsent. The wait lets the last
    // bytes and lines leave.
    state.is_closing.set(true);
    sleep(DRAIN_POLL_INTERVAL).await;
    while state.in_flight.get() > 0 && elapsed_ms() + EXIT_MARGIN_MS < grace_ms {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!(state.log, "node stopped";
        "in_flight" => state.in_flight.get(), "elapsed_ms" => elapsed_ms().0);
}

/// Binds an address; a port that the system chose is put in its place.
async fn listen(address: &mut SocketAddr) -> Result<TcpListener, Error> {
    let failed = |address: &SocketAddr, error| Error::Listen {
        address: *address,
        error,
    };
    let bound = TcpListener::bind(*address).await;
    let listener = bound.map_err(|error| failed(address, error))?;
    let local = listener.local_addr();
    *address = local.map_err(|error| failed(address, error))?;
    Ok(listener)
}
