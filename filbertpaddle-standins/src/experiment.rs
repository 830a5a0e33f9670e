//! One run of a scenario under a policy.

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
use crate::balancer::Choice;
use crate::caller;
use crate::child;
use crate::cluster;
use crate::cluster::Cluster;
use crate::direct::Chooser;
use crate::direct::Entry;
use crate::fleet;
use crate::fleet::Fleet;
use crate::fleet::Target;
use crate::observation::Ending;
use crate::observation::Observer;
use crate::pool::Pool;
use crate::report::Counted;
use crate::report::NodeCost;
use crate::report::Record;
use crate::report::Report;
use crate::report::Title;
use crate::scenario::Act;
use crate::scenario::Scenario;
use crate::scenario::Timed;
use crate::usage;
use crate::workload::Request;

/// Time that running requests get to end after the last was sent.
const DRAIN: Duration = Duration::from_secs(75);

/// Longest silence of a stream that a baseline bears.
const IDLE_TIMEOUT_MS: Millis = Millis(300_000);

/// The data centre that scenarios take out.
const OUT: usize = 0;

/// Who chooses targets, and how.
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
pub enum Way {
    /// Entry VMs without coordination, in turn.
    DirectRoundRobin,
    /// Entry VMs without coordination, by their own connections.
    DirectLeastConnections,
    /// Entry VMs around one scheduler of the core, in turn.
    PoolRoundRobin,
    /// Entry VMs around one scheduler of the core, by running attempts.
    PoolLeastConnections,
    /// Entry VMs around one scheduler of the core, by predicted memory.
    PoolPredictive,
    /// Nodes, in turn.
    RoundRobin,
    /// Nodes, by running attempts.
    LeastConnections,
    /// Nodes, by predicted memory.
    Predictive,
    /// Nodes with whatever policy is their default.
    Nodes,
}

/// Why a run failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A stand-in did not start.
    #[error(transparent)]
    Child(#[from] child::Error),
    /// The platform or a node failed.
    #[error(transparent)]
    Cluster(#[from] cluster::Error),
    /// A control port did not answer.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// The client of targets could not be set up.
    #[error(transparent)]
    Target(#[from] filbertpaddle_target::error::Error),
}

/// What a run is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Scenario to run.
    pub scenario: Scenario,
    /// Policy to run it under.
    pub way: Way,
    /// Seed of load and lengths.
    pub seed: u64,
    /// Length of the run.
    pub duration_ms: Millis,
    /// Mean requests a second.
    pub rate: f64,
    /// Entry VMs, nodes or simulated ones.
    pub entries: usize,
    /// Program of the nodes.
    pub node: PathBuf,
    /// Engines and plain services.
    pub fleet: fleet::Settings,
}

/// What takes the requests.
#[derive(Debug)]
enum Front {
    Direct(Vec<Entry>),
    Nodes(Box<Cluster>),
}

#[derive(Debug)]
struct Run {
    front: Front,
    fleet: Fleet,
    http: reqwest::Client,
    out: watch::Sender<Option<usize>>,
    turn: AtomicUsize,
    data_centres: usize,
}

/// Runs a scenario and sums it up.
///
/// # Errors
///
/// Returns an error if a process does not start or a control port fails.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let run = Arc::new(Run::start(settings).await?);
    let requests = settings
        .scenario
        .workload(settings.seed, settings.duration_ms, settings.rate);
    let mut timeline = settings.scenario.timeline(settings.duration_ms);
    let lead_ms = settings.scenario.lead_ms();
    if lead_ms > Millis::ZERO {
        for timed in timeline.extract_if(.., |timed| timed.at_ms == Millis::ZERO) {
            run.act(timed.act).await?;
        }
        tokio::time::sleep(duration(lead_ms)).await;
    }
    let before = run.usage();
    let start = Instant::now();
    let acts = tokio::spawn(act(run.clone(), timeline, start));
    let records = load(&run, requests, start).await;
    // A run without requests measures what idle nodes cost.
    tokio::time::sleep_until((start + duration(settings.duration_ms)).into()).await;
    acts.abort();
    // It holds the run until it has ended, and an abort is no failure.
    let _ = acts.await;
    let node_cost = NodeCost::new(&before, &run.usage(), start.elapsed());
    let counted = Counted {
        engines: run.fleet.counters().await?,
        services: run.fleet.counts().await?,
    };
    let title = Title {
        scenario: settings.scenario.to_string(),
        policy: settings.way.to_string(),
        seed: settings.seed,
        duration_s: settings.duration_ms.0 as f64 / 1_000.0,
        rate: settings.rate,
    };
    let report = Report::new(title, &records, &counted, node_cost, usage::machine_load());
    if let Some(run) = Arc::into_inner(run) {
        run.close().await;
    }
    Ok(report)
}

async fn act(run: Arc<Run>, timeline: Vec<Timed>, start: Instant) {
    for timed in timeline {
        tokio::time::sleep_until((start + duration(timed.at_ms)).into()).await;
        if let Err(error) = run.act(timed.act).await {
            eprintln!("load: {:?} failed: {error}", timed.act);
        }
    }
}

/// Sends every request when it is due, whatever became of those before it.
async fn load(run: &Arc<Run>, requests: Vec<Request>, start: Instant) -> Vec<Record> {
    let mut tasks = JoinSet::new();
    let mut last = start;
    for request in requests {
        let due = start + duration(request.at_ms);
        last = due;
        tokio::time::sleep_until(due.into()).await;
        let run = run.clone();
        tasks.spawn(async move {
            let mut observer = Observer::new(due);
            let limit = (due + DRAIN).into();
            let ending = tokio::time::timeout_at(limit, run.send(&request, &mut observer)).await;
            let observation = observer.end(ending.unwrap_or(Ending::Unfinished));
            Record {
                request,
                observation,
            }
        });
    }
    let mut records = Vec::new();
    let end = last + DRAIN + Duration::from_secs(1);
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
        let front = match settings.way {
            Way::DirectRoundRobin => alone(settings, &fleet, Choice::RoundRobin)?,
            Way::DirectLeastConnections => alone(settings, &fleet, Choice::LeastConnections)?,
            Way::PoolRoundRobin => pooled(settings, &fleet, Policy::RoundRobin)?,
            Way::PoolLeastConnections => pooled(settings, &fleet, Policy::LeastConnections)?,
            Way::PoolPredictive => pooled(settings, &fleet, Policy::Predictive)?,
            _ => nodes(settings, &fleet, &http).await?,
        };
        Ok(Self {
            front,
            fleet,
            http,
            out: watch::Sender::new(None),
            turn: AtomicUsize::new(0),
            data_centres: settings.fleet.data_centres,
        })
    }

    async fn send(&self, request: &Request, observer: &mut Observer) -> Ending {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let out = *self.out.borrow();
        match &self.front {
            Front::Direct(entries) => {
                let open: Vec<&Entry> = entries
                    .iter()
                    .enumerate()
                    .filter(|(number, _)| Some(number % self.data_centres) != out)
                    .map(|(_, entry)| entry)
                    .collect();
                open[turn % open.len()].run(request, observer).await
            }
            Front::Nodes(cluster) => {
                let callers = cluster.callers(out);
                let node = callers[turn % callers.len()];
                caller::run(&self.http, node, request, observer).await
            }
        }
    }

    async fn act(&self, act: Act) -> Result<(), Error> {
        match act {
            Act::Engines { every, fault } => self.fleet.fault(every, fault).await?,
            Act::DataCentreOut => self.set_out(Some(OUT)).await?,
            Act::DataCentreIn => self.set_out(None).await?,
            Act::PlatformDown => self.set_outage(true).await?,
            Act::PlatformUp => self.set_outage(false).await?,
        }
        Ok(())
    }

    async fn set_out(&self, data_centre: Option<usize>) -> Result<(), Error> {
        self.out.send_replace(data_centre);
        match &self.front {
            Front::Direct(entries) => {
                for entry in entries {
                    entry.engines.set_out(data_centre);
                    entry.services.set_out(data_centre);
                }
            }
            Front::Nodes(cluster) => {
                let service = if data_centre.is_some() { "out" } else { "in" };
                cluster.set_service(OUT, service).await?;
            }
        }
        Ok(())
    }

    async fn set_outage(&self, down: bool) -> Result<(), Error> {
        if let Front::Nodes(cluster) = &self.front {
            cluster.set_outage(down).await?;
        }
        Ok(())
    }

    fn usage(&self) -> Vec<usage::Usage> {
        match &self.front {
            Front::Direct(_) => Vec::new(),
            Front::Nodes(cluster) => cluster.usage(),
        }
    }

    async fn close(self) {
        if let Front::Nodes(cluster) = self.front {
            cluster.close().await;
        }
        self.fleet.close().await;
    }
}

fn alone(settings: &Settings, fleet: &Fleet, choice: Choice) -> Result<Front, Error> {
    let client = client()?;
    let chooser =
        |targets: &[Target], turn| Chooser::Alone(Balancer::new(choice, &addresses(targets), turn));
    let entries = (0..settings.entries).map(|number| Entry {
        client: client.clone(),
        engines: chooser(&fleet.engines, number),
        services: chooser(&fleet.services, number),
    });
    Ok(Front::Direct(entries.collect()))
}

fn pooled(settings: &Settings, fleet: &Fleet, policy: Policy) -> Result<Front, Error> {
    let client = client()?;
    let policy = policy::Settings {
        policy,
        ..policy::Settings::default()
    };
    let engines = Pool::start(&client, policy, &addresses(&fleet.engines));
    let services = Pool::start(&client, policy, &addresses(&fleet.services));
    let entries = (0..settings.entries).map(|_| Entry {
        client: client.clone(),
        engines: Chooser::Pool(engines.clone()),
        services: Chooser::Pool(services.clone()),
    });
    Ok(Front::Direct(entries.collect()))
}

fn client() -> Result<Client, Error> {
    Ok(Client::new(client::Settings {
        // A baseline waits out what crowding does, so that it is measured.
        idle_timeout_ms: IDLE_TIMEOUT_MS,
        ..client::Settings::default()
    })?)
}

fn addresses(targets: &[Target]) -> Vec<(SocketAddr, usize)> {
    targets
        .iter()
        .map(|target| (target.address, target.data_centre))
        .collect()
}

async fn nodes(settings: &Settings, fleet: &Fleet, http: &reqwest::Client) -> Result<Front, Error> {
    let policy = match settings.way {
        Way::Nodes => None,
        way => Some(way.to_string()),
    };
    let settings = cluster::Settings {
        standin: settings.fleet.program.clone(),
        node: settings.node.clone(),
        data_centres: settings.fleet.data_centres,
        nodes: settings.entries,
        policy,
    };
    let cluster = Cluster::start(&settings, fleet, http.clone()).await?;
    tokio::time::sleep(duration(cluster::SETTLE_MS)).await;
    Ok(Front::Nodes(Box::new(cluster)))
}

fn duration(span_ms: Millis) -> Duration {
    Duration::from_millis(span_ms.0)
}
