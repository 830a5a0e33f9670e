//! The engine stand-in: a simulated engine behind the targets' protocol.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use tokio::task::JoinHandle;

use crate::batch_scheduler;
use crate::engine_fault::Fault;
use crate::engine_http;
use crate::engine_state::Counters;
use crate::engine_state::EngineState;
use crate::server::Server;

/// Time between two load snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(25);

/// Settings of an engine stand-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Address to serve on; port zero picks one.
    pub listen: SocketAddr,
    /// Address of the control port; port zero picks one.
    pub control: SocketAddr,
    /// Seed of the drawn output lengths.
    pub seed: u64,
    /// Factor by which simulated time runs faster than real time.
    pub speed: f64,
    /// Memory, limits and step times of the batch scheduler.
    pub scheduler: batch_scheduler::Settings,
    /// Whether the engine starts warm.
    pub starts_warm: bool,
    /// Whether submissions and orders with a stale fencing number are refused.
    pub checks_fence: bool,
    /// Whether submissions are refused after the reclaim notice.
    pub refuses_when_leaving: bool,
    /// Text that crashes the engine when a prompt contains it.
    pub poison: Option<String>,
    /// Whether a crash ends the process instead of restarting the engine.
    pub exits_on_crash: bool,
    /// Time from a crash until the engine serves again, in wall-clock time.
    pub restart_ms: Millis,
    /// Age of load reports, in wall-clock time.
    pub report_lag_ms: Millis,
    /// Age of cache events, in wall-clock time.
    pub cache_lag_ms: Millis,
    /// Every n-th cache event is lost; zero loses none.
    pub cache_event_loss_interval: u64,
    /// Time without a reader after which an attempt is cancelled, in wall-clock time.
    pub orphan_timeout_ms: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            listen: any_port,
            control: any_port,
            seed: 1,
            speed: 1.0,
            scheduler: batch_scheduler::Settings::default(),
            starts_warm: true,
            checks_fence: true,
            refuses_when_leaving: false,
            poison: None,
            exits_on_crash: false,
            restart_ms: Millis(1_000),
            report_lag_ms: Millis(250),
            cache_lag_ms: Millis(1_000),
            cache_event_loss_interval: 20,
            orphan_timeout_ms: Millis(20_000),
        }
    }
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct Engine {
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Address of its control port.
    pub control: SocketAddr,
    state: Arc<EngineState>,
    control_server: Server,
    tasks: Vec<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine and its control port.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let listen = settings.listen;
        let control = settings.control;
        let state = Arc::new(EngineState::new(settings));
        let server = Server::start(listen, engine_http::target_routes(state.clone())).await?;
        let address = server.address;
        let control_server =
            Server::start(control, engine_http::control_routes(state.clone())).await?;
        let tasks = vec![
            tokio::spawn(run_incarnations(state.clone(), server)),
            tokio::spawn(run_steps(state.clone())),
            tokio::spawn(run_snapshots(state.clone())),
        ];
        Ok(Self {
            address,
            control: control_server.address,
            state,
            control_server,
            tasks,
        })
    }

    /// Injects a fault.
    pub fn inject_fault(&self, fault: Fault) {
        engine_http::inject_fault(&self.state, fault);
    }

    /// Returns the counters since the first start.
    pub fn counters(&self) -> Counters {
        self.state.counters()
    }

    /// Stops the engine; streams break off.
    pub async fn close(mut self) {
        self.state.stop();
        self.control_server.close().await;
        if !self.tasks.is_empty() {
            let incarnations = self.tasks.remove(0);
            // The task ends by itself once the state is stopped.
            let _ = incarnations.await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Serves the engine and restarts it after each crash, until it is stopped.
async fn run_incarnations(state: Arc<EngineState>, server: Server) {
    let address = server.address;
    let mut server = server;
    loop {
        state.wait_for_incarnation_end().await;
        server.close().await;
        if state.is_stopped() {
            return;
        }
        if state.settings.exits_on_crash {
            std::process::exit(101);
        }
        tokio::time::sleep(Duration::from_millis(state.settings.restart_ms.0)).await;
        state.restart();
        server = loop {
            match Server::start(address, engine_http::target_routes(state.clone())).await {
                Ok(server) => break server,
                Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        };
    }
}

/// Runs the steps of the batch, each for its simulated duration.
async fn run_steps(state: Arc<EngineState>) {
    let mut due = tokio::time::Instant::now();
    loop {
        let frozen = state.remaining_freeze();
        if !frozen.is_zero() {
            tokio::time::sleep(frozen).await;
        }
        let Some(step) = state.start_step() else {
            state.wait_for_requests().await;
            due = tokio::time::Instant::now();
            continue;
        };
        due += state.wall_time(step.duration_us);
        tokio::time::sleep_until(due).await;
        // Steps that are late catch up at most 20 ms, so that a pause, such as a freeze, still
        // counts as lost time.
        due = due.max(tokio::time::Instant::now() - Duration::from_millis(20));
        state.finish_step(step);
    }
}

async fn run_snapshots(state: Arc<EngineState>) {
    let mut interval = tokio::time::interval(SNAPSHOT_INTERVAL);
    loop {
        interval.tick().await;
        state.take_snapshot();
    }
}
