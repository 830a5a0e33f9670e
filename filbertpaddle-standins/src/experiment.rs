//! Runs one scenario under one routing policy: starts the processes, sends the
//! load, applies the scenario's faults and sums up the results.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::policy;
use filbertpaddle_core::policy::Policy;
use filbertpaddle_target::client;
use filbertpaddle_target::client::Client;
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::balancer::Balancer;
use crate::balancer::BalancingPolicy;
use crate::baseline::EntryVm;
use crate::baseline::TargetSelector;
use crate::caller;
use crate::child;
use crate::cluster;
use crate::cluster::Cluster;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Target;
use crate::observation::Ending;
use crate::observation::Observer;
use crate::pool::Pool;
use crate::report::NodeCost;
use crate::report::Report;
use crate::report::RequestRecord;
use crate::report::RunInfo;
use crate::report::TargetCounters;
use crate::scenario::Action;
use crate::scenario::Scenario;
use crate::scenario::TimedAction;
use crate::usage;
use crate::workload::Request;

/// Time from when a request is due until it counts as unfinished; it also bounds how long a run
/// waits for running requests after the last one was sent.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(75);

/// Maximum time between two events of a stream at a baseline; after it the stream counts as broken.
const BASELINE_IDLE_TIMEOUT_MS: Millis = Millis(300_000);

/// Index of the data centre that scenarios take out of service.
const OUT_OF_SERVICE_DATA_CENTRE: usize = 0;

/// Which component selects targets, and by which policy.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum RoutingPolicy {
    /// Uncoordinated entry VMs, round robin.
    DirectRoundRobin,
    /// Uncoordinated entry VMs, by the connections that each has open itself.
    DirectLeastConnections,
    /// Entry VMs that share one scheduler of the core, round robin.
    PoolRoundRobin,
    /// Entry VMs that share one scheduler of the core, by running attempts.
    PoolLeastConnections,
    /// Entry VMs that share one scheduler of the core, by predicted memory.
    PoolPredictive,
    /// Nodes, round robin.
    RoundRobin,
    /// Nodes, by running attempts.
    LeastConnections,
    /// Nodes, by predicted memory.
    Predictive,
    /// Nodes with their default policy.
    Nodes,
}

/// Reason why a run failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A stand-in did not start.
    #[error(transparent)]
    Child(#[from] child::Error),
    /// The platform stand-in or a node failed.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// A control port did not answer.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
}

/// Settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Scenario to run.
    pub scenario: Scenario,
    /// Routing policy to run it under.
    pub routing_policy: RoutingPolicy,
    /// Seed of the workload.
    pub seed: u64,
    /// Length of the run.
    pub duration_ms: Millis,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Number of entry VMs: nodes, or simulated entry VMs of a baseline.
    pub entry_vms: usize,
    /// Path of the node program.
    pub node_program: PathBuf,
    /// Engines and plain services.
    pub fleet: fleet::Settings,
}

/// Entry points that requests are sent to.
#[derive(Debug)]
enum EntryPoints {
    /// Simulated entry VMs of a baseline.
    Baseline(Vec<EntryVm>),
    /// Platform stand-in and nodes.
    Nodes(Box<Cluster>),
}

/// State of a run, shared by its tasks.
#[derive(Debug)]
struct Run {
    entry_points: EntryPoints,
    fleet: Fleet,
    http: reqwest::Client,
    out_of_service: watch::Sender<Option<usize>>,
    next_turn: AtomicUsize,
    data_centres: usize,
}

/// Runs a scenario and returns its report.
///
/// # Errors
///
/// Returns an error if a process does not start or a control request fails.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let run = Arc::new(Run::start(settings).await?);
    let requests = settings
        .scenario
        .workload(settings.seed, settings.duration_ms, settings.rate);
    let mut timeline = settings.scenario.timeline(settings.duration_ms);
    let lead_time_ms = settings.scenario.lead_time_ms();
    if lead_time_ms > Millis::ZERO {
        for timed in timeline.extract_if(.., |timed| timed.at_ms == Millis::ZERO) {
            run.apply(timed.action).await?;
        }
        tokio::time::sleep(duration(lead_time_ms)).await;
    }
    let before = run.usage();
    let start = Instant::now();
    let timeline_task = tokio::spawn(run_timeline(run.clone(), timeline, start));
    let records = send_requests(&run, requests, start).await;
    // The run lasts its full time even without requests, to measure the cost of idle nodes.
    tokio::time::sleep_until((start + duration(settings.duration_ms)).into()).await;
    timeline_task.abort();
    // The task holds a reference to the run until it has ended, and closing the run needs
    // the last reference. The error of an aborted task is expected.
    let _ = timeline_task.await;
    let node_cost = NodeCost::new(&before, &run.usage(), start.elapsed());
    let target_counters = TargetCounters {
        engines: run.fleet.engine_counters().await?,
        services: run.fleet.service_counts().await?,
    };
    let run_info = RunInfo {
        scenario: settings.scenario.to_string(),
        policy: settings.routing_policy.to_string(),
        seed: settings.seed,
        duration_s: settings.duration_ms.0 as f64 / 1_000.0,
        rate: settings.rate,
    };
    let report = Report::new(
        run_info,
        &records,
        &target_counters,
        node_cost,
        usage::machine_load(),
    );
    if let Some(run) = Arc::into_inner(run) {
        run.close().await;
    }
    Ok(report)
}

async fn run_timeline(run: Arc<Run>, timeline: Vec<TimedAction>, start: Instant) {
    for timed in timeline {
        tokio::time::sleep_until((start + duration(timed.at_ms)).into()).await;
        if let Err(error) = run.apply(timed.action).await {
            eprintln!(
                "load: cannot apply {:?}; the run continues without it: {error}",
                timed.action
            );
        }
    }
}

/// Sends each request when it is due and collects the results.
///
/// The load is open-loop: a request never waits for an earlier one to end.
async fn send_requests(
    run: &Arc<Run>,
    requests: Vec<Request>,
    start: Instant,
) -> Vec<RequestRecord> {
    let mut tasks = JoinSet::new();
    let mut last = start;
    for request in requests {
        let due = start + duration(request.at_ms);
        last = due;
        tokio::time::sleep_until(due.into()).await;
        let run = run.clone();
        tasks.spawn(async move {
            let mut observer = Observer::new(due);
            let limit = (due + REQUEST_TIMEOUT).into();
            let ending = tokio::time::timeout_at(limit, run.send(&request, &mut observer)).await;
            let observation = observer.finish(ending.unwrap_or(Ending::Unfinished));
            RequestRecord {
                request,
                observation,
            }
        });
    }
    let mut records = Vec::new();
    let end = last + REQUEST_TIMEOUT + Duration::from_secs(1);
    while let Ok(Some(Ok(record))) = tokio::time::timeout_at(end.into(), tasks.join_next()).await {
        records.push(record);
    }
    records
}

impl Run {
    async fn start(settings: &Settings) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .tcp_nodelay(true)
            .build()?;
        let fleet = Fleet::start(&settings.fleet, http.clone()).await?;
        let entry_points = match settings.routing_policy {
            RoutingPolicy::DirectRoundRobin => {
                independent_balancers(settings, &fleet, BalancingPolicy::RoundRobin)?
            }
            RoutingPolicy::DirectLeastConnections => {
                independent_balancers(settings, &fleet, BalancingPolicy::LeastConnections)?
            }
            RoutingPolicy::PoolRoundRobin => shared_pool(settings, &fleet, Policy::RoundRobin)?,
            RoutingPolicy::PoolLeastConnections => {
                shared_pool(settings, &fleet, Policy::LeastConnections)?
            }
            RoutingPolicy::PoolPredictive => shared_pool(settings, &fleet, Policy::Predictive)?,
            _ => start_nodes(settings, &fleet, &http).await?,
        };
        Ok(Self {
            entry_points,
            fleet,
            http,
            out_of_service: watch::Sender::new(None),
            next_turn: AtomicUsize::new(0),
            data_centres: settings.fleet.data_centres,
        })
    }

    async fn send(&self, request: &Request, observer: &mut Observer) -> Ending {
        let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
        let out_of_service = *self.out_of_service.borrow();
        match &self.entry_points {
            EntryPoints::Baseline(entry_vms) => {
                let in_service: Vec<&EntryVm> = entry_vms
                    .iter()
                    .enumerate()
                    .filter(|(number, _)| Some(number % self.data_centres) != out_of_service)
                    .map(|(_, entry_vm)| entry_vm)
                    .collect();
                in_service[turn % in_service.len()]
                    .run(request, observer)
                    .await
            }
            EntryPoints::Nodes(cluster) => {
                let callers = cluster.caller_addresses(out_of_service);
                let node = callers[turn % callers.len()];
                caller::run(&self.http, node, request, observer).await
            }
        }
    }

    async fn apply(&self, action: Action) -> Result<(), Error> {
        match action {
            Action::Engines { every, fault } => self.fleet.inject_fault(every, fault).await?,
            Action::DataCentreOut => {
                self.set_out_of_service(Some(OUT_OF_SERVICE_DATA_CENTRE))
                    .await?
            }
            Action::DataCentreIn => self.set_out_of_service(None).await?,
            Action::PlatformDown => self.set_outage(true).await?,
            Action::PlatformUp => self.set_outage(false).await?,
        }
        Ok(())
    }

    async fn set_out_of_service(&self, data_centre: Option<usize>) -> Result<(), Error> {
        self.out_of_service.send_replace(data_centre);
        match &self.entry_points {
            EntryPoints::Baseline(entry_vms) => {
                for entry_vm in entry_vms {
                    entry_vm.engines.set_out_of_service(data_centre);
                    entry_vm.services.set_out_of_service(data_centre);
                }
            }
            EntryPoints::Nodes(cluster) => {
                let service = if data_centre.is_some() { "out" } else { "in" };
                cluster
                    .set_data_centre_service(OUT_OF_SERVICE_DATA_CENTRE, service)
                    .await?;
            }
        }
        Ok(())
    }

    async fn set_outage(&self, down: bool) -> Result<(), Error> {
        if let EntryPoints::Nodes(cluster) = &self.entry_points {
            cluster.set_outage(down).await?;
        }
        Ok(())
    }

    fn usage(&self) -> Vec<usage::Usage> {
        match &self.entry_points {
            EntryPoints::Baseline(_) => Vec::new(),
            EntryPoints::Nodes(cluster) => cluster.usage(),
        }
    }

    async fn close(self) {
        if let EntryPoints::Nodes(cluster) = self.entry_points {
            cluster.close().await;
        }
        self.fleet.close().await;
    }
}

fn independent_balancers(
    settings: &Settings,
    fleet: &Fleet,
    policy: BalancingPolicy,
) -> Result<EntryPoints, Error> {
    let client = client();
    let selector = |targets: &[Target], rotation| {
        TargetSelector::Independent(Balancer::new(policy, &addresses(targets), rotation))
    };
    let entry_vms = (0..settings.entry_vms).map(|number| EntryVm {
        client: client.clone(),
        engines: selector(&fleet.engines, number),
        services: selector(&fleet.services, number),
    });
    Ok(EntryPoints::Baseline(entry_vms.collect()))
}

fn shared_pool(settings: &Settings, fleet: &Fleet, policy: Policy) -> Result<EntryPoints, Error> {
    let client = client();
    let policy = policy::Settings {
        policy,
        ..policy::Settings::default()
    };
    let engines = Pool::start(&client, policy, &addresses(&fleet.engines));
    let services = Pool::start(&client, policy, &addresses(&fleet.services));
    let entry_vms = (0..settings.entry_vms).map(|_| EntryVm {
        client: client.clone(),
        engines: TargetSelector::Pool(engines.clone()),
        services: TargetSelector::Pool(services.clone()),
    });
    Ok(EntryPoints::Baseline(entry_vms.collect()))
}

fn client() -> Client {
    Client::new(client::Settings {
        // Baselines wait through stalls of crowded engines, so that the stalls are measured.
        idle_timeout_ms: BASELINE_IDLE_TIMEOUT_MS,
        ..client::Settings::default()
    })
}

fn addresses(targets: &[Target]) -> Vec<(SocketAddr, usize)> {
    targets
        .iter()
        .map(|target| (target.address, target.data_centre))
        .collect()
}

async fn start_nodes(
    settings: &Settings,
    fleet: &Fleet,
    http: &reqwest::Client,
) -> Result<EntryPoints, Error> {
    let policy = match settings.routing_policy {
        RoutingPolicy::Nodes => None,
        routing_policy => Some(routing_policy.to_string()),
    };
    let settings = cluster::Settings {
        standin_program: settings.fleet.program.clone(),
        node_program: settings.node_program.clone(),
        data_centres: settings.fleet.data_centres,
        nodes: settings.entry_vms,
        policy,
    };
    let cluster = Cluster::start(&settings, fleet, http.clone()).await?;
    tokio::time::sleep(duration(cluster::SETTLE_TIME_MS)).await;
    Ok(EntryPoints::Nodes(Box::new(cluster)))
}

fn duration(span_ms: Millis) -> Duration {
    Duration::from_millis(span_ms.0)
}
