//! Nodes as separate processes beside a stand-in store, like a small deployment.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::configuration::Configuration;
use filbertpaddle_adapter_standins::run_log::RunLog;
use filbertpaddle_adapter_standins::store::Store;
use filbertpaddle_adapter_standins::target::Copies;
use filbertpaddle_standins::loopback::next_host;
use filbertpaddle_standins::process::Process;
use http::Method;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::Error;
use crate::caller::request;
use crate::record::Record;

/// Program and arguments of the only role of the deploy file.
const PROGRAM: &str = "target/release/filbertpaddle";
const ARGUMENTS: [&str; 1] = ["gateway"];

/// Data centres of the fleet.
pub const DATA_CENTRES: [&str; 3] = ["kozep-hu-a", "kozep-hu-b", "kozep-hu-c"];
/// Time without disruption after which a machine is in touch: `contact_ms` of the settings.
pub const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// `memory_mb` of the settings: a process that exceeds it is killed.
pub const MEMORY_MB: u64 = 110;
/// API key of the only customer.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A node's settings and, while it runs, its process.
#[derive(Debug)]
pub struct Node {
    /// Name of the node.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    data_centre: &'static str,
    process: Option<Process>,
    /// Time at which it is started again, after its process was killed.
    starts_at: Option<Instant>,
}

/// A store, what targets share, and nodes in all data centres.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub store: Store,
    /// Runs at the project's stand-ins of targets.
    pub run_log: RunLog,
    /// Copies at these.
    pub copies: Copies,
    /// The nodes.
    pub nodes: Vec<Node>,
    folder: PathBuf,
    record: Record,
}

impl Fleet {
    /// Starts the store, with a configuration; one node in each data centre is to follow.
    pub async fn new(case: &str, configuration: &Value, record: &Record) -> Result<Self, Error> {
        Self::with_nodes(DATA_CENTRES.len(), case, configuration, record).await
    }

    /// Does the same for a number of nodes, which the data centres have in turn.
    pub async fn with_nodes(
        nodes: usize,
        case: &str,
        configuration: &Value,
        record: &Record,
    ) -> Result<Self, Error> {
        let name = format!("filbertpaddle-review-{case}-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let store = Store::start().await?;
        store.put_configuration(configuration);
        let nodes = (0..nodes).map(Node::new);
        Ok(Self {
            store,
            run_log: RunLog::new(),
            copies: Copies::default(),
            nodes: nodes.collect::<io::Result<_>>()?,
            folder,
            record: record.clone(),
        })
    }

    /// Starts all nodes, and waits until the balancer would send callers to each.
    pub async fn start(&mut self, is_first_start: bool) -> Result<(), Error> {
        let seeds: Vec<_> = self.nodes.iter().map(|node| node.control).collect();
        for node in &mut self.nodes {
            let text = settings(node, &seeds, self.store.address, is_first_start);
            node.start(&self.folder, &text)?;
        }
        self.record.add("all nodes started");
        for node in &self.nodes {
            let give_up_at = Instant::now() + READY_TIMEOUT;
            while !node.is_ready().await {
                if Instant::now() > give_up_at {
                    return Err(format!("{} is not ready in time", node.name).into());
                }
                sleep(READY_POLL_INTERVAL).await;
            }
        }
        self.record.add("all nodes ready");
        Ok(())
    }

    /// Returns the addresses of the nodes for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    /// Returns the memory that a node's process uses now; 0 if it does not run.
    pub fn memory_mb(&self, index: usize) -> u64 {
        let process = self.nodes[index].process.as_ref();
        process.map_or(0, |process| {
            resident_kib(process.id()).unwrap_or_default() >> 10
        })
    }

    /// Kills a node's process, which does not come back.
    pub fn lose(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.process = None;
        self.record.add(format!("{} is lost", node.name));
    }

    /// Kills a node's process that uses too much memory, as the platform does, to be started again
    /// after some time.
    pub fn end_for_memory(&mut self, index: usize, used_mb: u64, down_time: Duration) {
        let node = &mut self.nodes[index];
        node.process = None;
        node.starts_at = Some(Instant::now() + down_time);
        let name = &node.name;
        self.record.add(format!(
            "{name} is killed: it uses {used_mb} MB of {MEMORY_MB}"
        ));
    }

    /// Starts the nodes whose time has come.
    pub fn restart_due(&mut self) -> Result<(), Error> {
        let seeds: Vec<_> = self.nodes.iter().map(|node| node.control).collect();
        for node in &mut self.nodes {
            if node.starts_at.is_some_and(|at| at <= Instant::now()) {
                node.starts_at = None;
                let text = settings(node, &seeds, self.store.address, false);
                node.start(&self.folder, &text)?;
                self.record.add(format!("{} started again", node.name));
            }
        }
        Ok(())
    }

    /// Kills all nodes with `SIGKILL`.
    pub fn kill(&mut self) {
        // Dropping a process kills it and waits for its end.
        self.nodes.iter_mut().for_each(|node| node.process = None);
        self.record.add("all nodes killed (SIGKILL)");
    }

    /// Ends all nodes and removes the temporary folder.
    pub fn close(mut self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            println!("logs: {}", self.folder.display());
        } else {
            std::fs::remove_dir_all(&self.folder).ok();
        }
        self.kill();
    }
}

impl Node {
    fn new(index: usize) -> io::Result<Self> {
        let ip = next_host();
        let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
        let number = 1 + index / DATA_CENTRES.len();
        Ok(Self {
            name: format!("front-{data_centre}-{number}"),
            callers: free_address(ip)?,
            ready: free_address(ip)?,
            control: free_address(ip)?,
            data_centre,
            process: None,
            starts_at: None,
        })
    }

    fn start(&mut self, folder: &Path, settings: &str) -> io::Result<()> {
        let path = folder.join(format!("{}.yaml", self.name));
        std::fs::write(&path, settings)?;
        let variables = [("FILBERTPADDLE_CONFIG", path.as_os_str())];
        let log = folder.join(format!("{}.log", self.name));
        let started = Process::start_with(Path::new(PROGRAM), ARGUMENTS, variables, Some(&log))?;
        self.process = Some(started);
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let check = request("ready", Method::GET, "/ready");
        caller::send(self.ready, &check).await.code() == 200
    }
}

/// Returns the resident memory of a process.
fn resident_kib(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Returns a free address of a host that no other part of this case uses.
fn free_address(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Returns the configuration of version 1 of the project's stand-in, with the limits of the
/// users' pages.
pub fn configuration() -> Value {
    let configuration = Configuration {
        version: 1,
        keys: vec![KEY.to_owned()],
        stream_timeout_ms: 39_000,
        plain_timeout_ms: 1_500,
        cold_per_sec: 40.0,
    };
    configuration.to_json()
}

/// Returns the settings of a node in the platform's format. The bounds are those of the site
/// `fogado-ora`.
fn settings(node: &Node, seeds: &[SocketAddr], store: SocketAddr, is_first_start: bool) -> String {
    let Node {
        name,
        callers,
        ready,
        control,
        data_centre,
        ..
    } = node;
    let ip = callers.ip();
    let seeds: String = seeds
        .iter()
        .map(|seed| format!("  - \"{seed}\"\n"))
        .collect();
    let zones: String = DATA_CENTRES
        .iter()
        .map(|zone| format!("  {zone}: \"kozep-hu\"\n"))
        .collect();
    let contracts: String = [
        "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
        "places", "platform",
    ]
    .iter()
    .map(|contract| format!("  - \"{contract}\"\n"))
    .collect();
    format!(
        "node: \"{name}\"\nrole: \"gateway\"\nmachine_class: \"front\"\n\
         serves:\n  - \"front\"\n  - \"control\"\n\
         ip: \"{ip}\"\nzone: \"{data_centre}\"\nregion: \"kozep-hu\"\nzones:\n{zones}\
         listen:\n  front: \"{callers}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\n\
         internal_ports:\n  - 7200\n  - 7215\n\
         seeds:\n{seeds}bootstrap: {is_first_start}\nin_tolerance: false\n\
         limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: {MEMORY_MB}\n  max_fds: 4100\n  \
         link_mbps: 1000.0\n  disk_mb: 0\n\
         data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
         contracts:\n{contracts}fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n\
         bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  \
         catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  \
         config_apply_ms: 2000\n  rollback_slack_ms: 250\n  outer_ms: 5000\n  \
         strict_revocation: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  \
         budget_window_s: 10\n  budget_slack: 58\n  cold_over: 1.5\n  cold_slack: 5\n  \
         evacuate_ms: 5000\n  recover_s: 12\n  pass_ms: 120\n  again_s: 4.4\n\
         provider:\n  address: \"{store}\"\n  form: \"table\"\n  writes_per_s: 400\n  \
         reads_per_s: 2000\n  tx_ms: 5.0\n  part_writes_s: 200\n  row_bytes: 65536\n  \
         across: false\n  history_s: 20\n"
    )
}
