//! Start, main loop and shutdown of a gateway node.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::drain::Drain;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::interval;
use tokio::time::sleep;

use crate::block_record;
use crate::drain_detection;
use crate::listener;
use crate::listener::Phase;
use crate::load_exchange;
use crate::log;
use crate::peer_follower;
use crate::peer_publisher;
use crate::platform_api::PlatformApi;
use crate::reader_probe;
use crate::rollout_steps;
use crate::settings::Settings;
use crate::state::State;
use crate::store_sync;
use crate::target_connection;
use crate::version_exchange;
use crate::version_exchange::VersionExchange;
use crate::version_record;

/// Interval at which due changes are applied and stale connections closed.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Time after the stop signal in which the balancer may still send callers here: it
/// checks once a second and needs two failed checks.
const BALANCER_GRACE_MS: Millis = Millis(2_500);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why a node cannot run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The async runtime cannot be created.
    #[error("cannot create the async runtime: {0}")]
    Runtime(io::Error),
    /// A listening address cannot be bound.
    #[error("cannot listen at {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        error: io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signal(io::Error),
}

/// Function of the adapter that rereads the settings.
pub type Reload = fn() -> Result<Settings, String>;

/// Runs a node until it is signalled to stop and its requests have ended or the grace period
/// is over.
///
/// # Errors
///
/// Returns [`Error`] if it cannot start.
pub fn run(settings: Settings, platform: PlatformApi, reload: Reload) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    let (log, writer) = log::open(&settings.node);
    let serving = serve(settings, platform, reload, log);
    let result = LocalSet::new().block_on(&runtime, serving);
    writer.close();
    result
}

async fn serve(
    mut settings: Settings,
    platform: PlatformApi,
    reload: Reload,
    log: Logger,
) -> Result<(), Error> {
    // As in the file: listening may replace ports.
    let initial = settings.clone();
    let callers = listen(&mut settings.callers).await?;
    let ready = listen(&mut settings.ready).await?;
    let peers = listen(&mut settings.peers).await?;
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let state = State::new(settings, platform, log);
    let settings = &state.settings;
    match VersionExchange::bind(settings.peers).await {
        Ok(exchange) => drop(state.version_exchange.set(exchange)),
        Err(error) => warn!(state.log, "versions that began streams are not exchanged";
            "address" => %settings.peers, "error" => %error),
    }
    info!(state.log, "node started";
        "data_centre" => settings.data_centre.as_str(), "callers" => %settings.callers,
        "ready" => %settings.ready, "peers" => %settings.peers,
        "store" => %settings.reloadable.store,
        "is_first_start" => settings.reloadable.is_first_start,
        "memory_bytes" => settings.memory_bytes, "max_requests" => state.memory.max_requests,
        "version" => env!("CARGO_PKG_VERSION"));
    let (phase, phases) = watch::channel(Phase::Running);
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    spawn(Box::pin(listener::serve(
        Rc::clone(&state),
        callers,
        phases,
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
    spawn(Box::pin(version_exchange::serve(Rc::clone(&state))));
    spawn(Box::pin(version_record::run(Rc::clone(&state))));
    spawn(Box::pin(block_record::run(Rc::clone(&state))));
    spawn(Box::pin(rollout_steps::run(Rc::clone(&state))));
    spawn(Box::pin(reader_probe::run(Rc::clone(&state))));
    spawn(Box::pin(drain_detection::run(Rc::clone(&state))));
    let probing = Rc::clone(&state);
    spawn(Box::pin(async move {
        target_connection::run_probes(&probing).await;
    }));
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
            Err(error) => warn!(state.log, "metrics are not served"; "error" => %error),
        }
    }
    let mut ticks = interval(TICK_INTERVAL);
    let mut reloads = interval(RELOAD_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => {
                info!(state.log, "received SIGHUP, rereading the settings");
                reload_settings(&state, &initial, reload);
            }
            // The settings may also change without a signal.
            _ = reloads.tick() => reload_settings(&state, &initial, reload),
            _ = ticks.tick() => {
                state.record_data_ages();
                state.apply_due_changes();
                state.connections.close_stale();
            }
        }
    }
    drain(&state, &phase).await;
    Ok(())
}

/// Rereads the settings and applies the reloadable ones. The others stay as they were at the
/// node's start; changed ones are logged each time.
fn reload_settings(state: &State, initial: &Settings, reload: Reload) {
    let settings = match reload() {
        Ok(settings) => settings,
        Err(error) => {
            warn!(state.log, "settings not reread, the previous ones stay in force";
                "error" => error);
            return;
        }
    };
    let changed = initial.changed_until_restart(&settings);
    if !changed.is_empty() {
        warn!(state.log, "changed settings need a restart, the previous ones stay in force";
            "fields" => changed.join(", "));
    }
    let previous = state.reloadable.send_replace(settings.reloadable.clone());
    if previous.store != settings.reloadable.store {
        store_sync::record_moved(state, previous.store, settings.reloadable.store);
    }
    if previous != settings.reloadable {
        state.update_rollouts();
        info!(state.log, "settings reloaded";
            "store" => %settings.reloadable.store,
            "is_first_start" => settings.reloadable.is_first_start,
            "grace_ms" => settings.reloadable.grace_ms.0,
            "apply_ms" => settings.reloadable.apply_ms.0,
            "retry_ratio" => settings.reloadable.retries.ratio,
            "retry_slack" => settings.reloadable.retries.slack,
            "seeds" => settings.reloadable.seeds.len());
    }
}

/// Finishes running requests and those that it relays, and closes callers' connections.
async fn drain(state: &State, phase: &watch::Sender<Phase>) {
    let drain = Drain {
        began_ms: state.clock.now(),
        grace_ms: state.reloadable.borrow().grace_ms,
    };
    state.drain.set(Some(drain));
    info!(state.log, "node is stopping";
        "in_flight" => state.in_flight.get(), "grace_ms" => drain.grace_ms.0);
    let now = || state.clock.now();
    let idle_close_ms = drain.answer_at_ms().min(drain.began_ms + BALANCER_GRACE_MS);
    while now() < idle_close_ms {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    phase.send_replace(Phase::Draining);
    let is_busy = || state.in_flight.get() > 0 || state.tunnels.get() > 0;
    while is_busy() && now() < drain.exit_at_ms() {
        if now() >= drain.answer_at_ms() {
            state.is_ending.send_replace(true);
        }
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    // A request admitted now would be cut off, so further ones are refused unsent.
    state.is_closing.set(true);
    phase.send_replace(Phase::Closing);
    // Lets the last response bytes and log lines out.
    sleep(DRAIN_POLL_INTERVAL).await;
    while state.connected.get() > 0 && now() < drain.exit_at_ms() {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!(state.log, "node stopped";
        "in_flight" => state.in_flight.get(), "connected" => state.connected.get(),
        "tunnels" => state.tunnels.get(), "elapsed_ms" => now().since(drain.began_ms).0);
}

/// Binds an address and updates it with the port if the system chose one.
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
