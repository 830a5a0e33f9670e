//! A small deployment: the store with a configuration, runners, nodes and the ingress.

use std::collections::HashMap;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::node::Node;
use crate::node::Place;
use crate::node::Ports;
use crate::record::Record;
use crate::requester;
use crate::requester::HOST;
use crate::requester::KEY;
use crate::runner::Options;
use crate::runner::Runner;
use crate::runner::Runs;
use crate::store::Store;

/// Result of a case, which becomes the exit status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Prefix of the route of streams that may run once.
pub const STREAM: &str = "/lohu930/";
/// Prefix of the route of streams that may be resumed.
pub const RESUMABLE: &str = "/pufi791/";
/// Prefix of the route of unsafe requests.
pub const UNSAFE: &str = "/pule252/";
/// Prefix of the route of safe requests.
pub const SAFE: &str = "/puxa403/";
pub const ENGINE: &str = "cocina-llm";
pub const APP: &str = "pedidos";

/// The parts of a run.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub runs: Runs,
    pub runners: Vec<Runner>,
    pub nodes: Vec<Node>,
    /// Temporary folder, removed at the end.
    pub folder: PathBuf,
    hosts: u32,
}

/// Returns whether the run has its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

impl Deployment {
    /// Starts the store with a configuration. The record goes into the case's folder.
    pub fn new() -> Self {
        let case = PathBuf::from(
            env::args()
                .nth(2)
                .expect("the folder of the case is missing"),
        );
        let record = Record::create(&case.join("record.txt"));
        let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("no temporary folder");
        let deployment = Self {
            store: Store::start(&host(0)),
            record,
            runs: Runs::default(),
            runners: Vec::new(),
            nodes: Vec::new(),
            folder,
            hosts: 1,
        };
        deployment.configure(1, 15_000);
        deployment
    }

    /// Writes a version of the configuration.
    pub fn configure(&self, version: u64, idle_ms: u64) {
        self.configure_with_keys(version, idle_ms, &format!("\"{KEY}\""));
    }

    /// Writes a version of the configuration with these keys of the tenant.
    pub fn configure_with_keys(&self, version: u64, idle_ms: u64, keys: &str) {
        let text = configuration(version, idle_ms, keys);
        self.store.put("op", "config", &text);
        self.record.add(&format!(
            "operator writes configuration {version}, acknowledged"
        ));
    }

    /// Returns a loopback address that nothing else in this run uses.
    pub fn next_host(&mut self) -> String {
        self.hosts += 1;
        host(self.hosts)
    }

    /// Starts a runner and writes its entry.
    pub fn add_runner<F>(&mut self, options: Options, choose: F) -> Runner
    where
        F: Fn(&crate::http::Head) -> crate::runner::Action + Send + Sync + 'static,
    {
        let runner = Runner::start(options, &self.runs, &self.record, choose);
        let id = runner.options.id.clone();
        self.store.put("servers", &id, &runner.entry("ready"));
        self.runners.push(runner.clone());
        runner
    }

    /// Starts nodes with their zones, which know each other as the platform says, and waits
    /// until all are ready.
    pub fn start_nodes(&mut self, zones: &[&str]) -> bool {
        let store = self.store.address;
        let mut places = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let ip = self.next_host();
            let ports = Ports::free(&ip);
            let place = Place {
                name: format!("front-{zone}-{}", index + 1),
                ip,
                zone: (*zone).to_owned(),
                store,
                seeds: Vec::new(),
                is_first_start: true,
            };
            places.push((place, ports));
        }
        let seeds: Vec<SocketAddr> = places
            .iter()
            .take(3)
            .map(|(_, ports)| ports.control)
            .collect();
        for (place, ports) in &mut places {
            place.seeds = seeds.clone();
            self.nodes.push(Node::start(&self.folder, place, *ports));
        }
        let limit = Duration::from_secs(15);
        let is_ready = self.nodes.iter().all(|node| node.wait_ready(limit));
        // The nodes read the list of nodes a second time after two seconds.
        thread::sleep(Duration::from_secs(4));
        self.record
            .add(&format!("{} nodes are ready: {is_ready}", self.nodes.len()));
        is_ready
    }

    /// Ends all processes, removes the temporary folder and returns the exit status.
    pub fn finish(mut self, verdict: Verdict) -> i32 {
        if env::var("KEEP_LOGS").is_ok() {
            eprintln!("logs are kept in {}", self.folder.display());
        }
        self.nodes.clear();
        if env::var("KEEP_LOGS").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        }
        self.record.add(&format!("verdict: {verdict:?}"));
        println!("{verdict:?}");
        match verdict {
            Verdict::Held => 0,
            Verdict::Broken => 1,
            Verdict::NotRun => 2,
        }
    }
}

fn host(number: u32) -> String {
    let range = 16 + std::process::id() % 200;
    format!("127.{range}.{}.{}", number / 200, 1 + number % 200)
}

fn configuration(version: u64, idle_ms: u64, keys: &str) -> String {
    let route = |name: &str,
                 prefix: &str,
                 kind: &str,
                 service: &str,
                 attempts: u32,
                 timeout_ms: u64| {
        let is_engine = service == ENGINE;
        let resumable = prefix == RESUMABLE;
        let goal_ms = if is_engine { 1_800 } else { 100 };
        let gap = if is_engine { ",\"gap_aim_ms\":180" } else { "" };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{goal_ms},\"priority\":1,\
             \"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\
             \"session_affinity\":{is_engine},\"resumable\":{resumable}{gap}}}"
        )
    };
    let routes = [
        route("r-stream", STREAM, "streaming", ENGINE, 1, 39_000),
        route("r-resumable", RESUMABLE, "streaming", ENGINE, 2, 6_000),
        route("r-unsafe", UNSAFE, "unsafe", APP, 1, 1_500),
        route("r-safe", SAFE, "safe", APP, 2, 1_500),
    ];
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[\
         {{\"name\":\"{ENGINE}\",\"health_path\":\"/health\",\"max_connections\":302,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":1.0,\"cold_per_s\":43.0,\"engine\":{{\"slots\":32,\"kv_capacity_tokens\":34393,\
         \"kv_token_bytes\":18432,\"link_mbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{APP}\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":{idle_ms}}},\
         \"tenants\":[{{\"name\":\"huka270\",\"api_keys\":[{keys}],\"priority\":1}}]}}"
    )
}

/// The platform's ingress of one zone: asks each node once a second whether it is ready, takes
/// it out after two misses, and uses all nodes if fewer than half are in rotation.
#[derive(Clone)]
pub struct Ingress {
    fronts: Arc<Mutex<HashMap<String, (SocketAddr, u32)>>>,
}

impl Ingress {
    pub fn start(nodes: &[&Node]) -> Self {
        let fronts = nodes
            .iter()
            .map(|node| (node.place.name.clone(), (node.ports.front, 0)));
        let ingress = Self {
            fronts: Arc::new(Mutex::new(fronts.collect())),
        };
        for node in nodes {
            let (name, ready) = (node.place.name.clone(), node.ports.ready);
            let ingress = ingress.clone();
            thread::spawn(move || {
                loop {
                    let is_ready = requester::status_of(ready, "/ready") == Some(200);
                    let mut fronts = ingress.fronts.lock().expect("ingress");
                    if let Some((_, misses)) = fronts.get_mut(&name) {
                        *misses = if is_ready { 0 } else { *misses + 1 };
                    }
                    drop(fronts);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        ingress
    }

    /// Returns the node for a new connection of a requester.
    pub fn pick(&self, requester: u64) -> (String, SocketAddr) {
        let fronts = self.fronts.lock().expect("ingress");
        let mut all: Vec<_> = fronts.iter().collect();
        all.sort_by_key(|(name, _)| (*name).clone());
        let in_rotation: Vec<_> = all.iter().filter(|(_, (_, misses))| *misses < 2).collect();
        let used: Vec<_> = if in_rotation.len() * 2 < all.len() && !in_rotation.is_empty() {
            all.iter().collect()
        } else {
            in_rotation
        };
        let used = if used.is_empty() {
            all.iter().collect()
        } else {
            used
        };
        let hash = requester.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        let (name, (front, _)) = used[hash as usize % used.len()];
        ((*name).clone(), *front)
    }
}
