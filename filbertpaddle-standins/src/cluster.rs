//! Platform stand-in and nodes of an experiment, each run as a child process.

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_platform::protocol::Vm;
use filbertpaddle_platform::protocol::VmList;
use filbertpaddle_platform::protocol::VmRole;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use thiserror::Error;

use crate::child;
use crate::child::Child;
use crate::fleet::Fleet;
use crate::node_settings;
use crate::platform_faults::Faults;
use crate::platform_faults::Outage;
use crate::usage;
use crate::usage::Usage;

/// Model that all engines serve.
pub const MODEL: &str = "drafts";

/// Name of the plain service.
pub const SERVICE: &str = "bookings";

/// Time between two readiness checks of a node.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Most retries of the readiness check of a node.
const MAX_READY_RETRIES: u32 = 300;

/// Reason why a cluster did not start or a change of it failed.
#[derive(Debug, Error)]
pub enum Error {
    /// A process did not start.
    #[error(transparent)]
    Child(#[from] child::Error),
    /// A stand-in or node did not answer, or answered with an error status.
    #[error(transparent)]
    Http(#[from] reqwest::Error),
    /// A settings file could not be written.
    #[error("cannot write the settings files of the nodes: {0}")]
    Io(#[from] io::Error),
    /// A node did not accept a change of the configuration.
    #[error("node refused to set configuration entry {path}: {answer}")]
    ChangeRefused {
        /// Path of the configuration entry.
        path: String,
        /// Answer of the node.
        answer: String,
    },
    /// The cluster has no node.
    #[error("cannot change the configuration: the cluster has no nodes")]
    NoNode,
    /// A node did not become ready.
    #[error(
        "the cluster did not start: node at {0} was not ready after {MAX_READY_RETRIES} retries \
         at intervals of {READY_CHECK_INTERVAL:?}"
    )]
    NotReady(SocketAddr),
}

/// Settings of a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Path of the stand-in program.
    pub standin_program: PathBuf,
    /// Path of the node program.
    pub node_program: PathBuf,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of nodes over all data centres.
    pub nodes: usize,
    /// Name of the placement policy; `None` leaves the nodes' default.
    pub policy: Option<String>,
}

/// Addresses that the platform stand-in listens on, decoded from its first line.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct PlatformAddresses {
    /// For nodes.
    pub address: SocketAddr,
    /// For control requests.
    pub control: SocketAddr,
}

/// Addresses that a node listens on, decoded from its first line.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// A running platform stand-in and its running nodes.
#[derive(Debug)]
pub struct Cluster {
    platform: Child<PlatformAddresses>,
    nodes: Vec<Child<NodeAddresses>>,
    data_centres: usize,
    directory: PathBuf,
    data_centre_revision: AtomicU64,
    http: reqwest::Client,
}

impl Cluster {
    /// Starts the platform stand-in and the nodes, waits until all nodes are
    /// ready and sets the customers and templates.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start or become ready, or if a
    /// node refuses a configuration entry.
    pub async fn start(
        settings: &Settings,
        fleet: &Fleet,
        http: reqwest::Client,
    ) -> Result<Self, Error> {
        let platform: Child<PlatformAddresses> =
            Child::start(&settings.standin_program, &["platform".to_owned()]).await?;
        let directory = std::env::temp_dir().join(format!("filbertpaddle-load-{}", platform.pid));
        std::fs::create_dir_all(&directory)?;
        let mut cluster = Self {
            platform,
            nodes: Vec::new(),
            data_centres: settings.data_centres,
            directory,
            data_centre_revision: AtomicU64::new(0),
            http,
        };
        cluster.publish_vms(fleet).await?;
        for number in 0..settings.nodes {
            cluster.start_node(settings, number).await?;
        }
        cluster.publish_vms(fleet).await?;
        cluster.wait_until_ready().await?;
        for entry in node_settings::entries() {
            cluster.put_entry(&entry.path, &entry.value, None).await?;
        }
        Ok(cluster)
    }

    async fn start_node(&mut self, settings: &Settings, number: usize) -> Result<(), Error> {
        let peers: Vec<SocketAddr> = self.nodes.iter().map(|node| node.ready.peers).collect();
        let text = node_settings::NodeSettings {
            number,
            data_centre: number % self.data_centres,
            platform: self.platform.ready.address,
            peers: &peers,
            policy: settings.policy.as_deref(),
        }
        .text();
        let path = self.directory.join(format!("node-{number}.yaml"));
        std::fs::write(&path, text)?;
        let args = ["serve".to_owned(), path.display().to_string()];
        let node = Child::start(&settings.node_program, &args).await?;
        self.nodes.push(node);
        Ok(())
    }

    async fn publish_vms(&self, fleet: &Fleet) -> Result<(), Error> {
        let vm = |name: String, data_centre: usize, role, address: SocketAddr, model: &str| Vm {
            name: name.into(),
            data_centre: node_settings::data_centre_name(data_centre).into(),
            role,
            address: address.to_string().into(),
            model: model.into(),
            leaving: false,
        };
        let engines = fleet.engines.iter().enumerate().map(|(number, engine)| {
            let name = format!("engine-{number}");
            let address = engine.address;
            vm(name, engine.data_centre, VmRole::Target, address, MODEL)
        });
        let services = fleet.services.iter().enumerate().map(|(number, service)| {
            let name = format!("service-{number}");
            let address = service.address;
            vm(name, service.data_centre, VmRole::Target, address, SERVICE)
        });
        let nodes = self.nodes.iter().enumerate().map(|(number, node)| {
            let name = node_settings::node_name(number);
            let data_centre = number % self.data_centres;
            vm(name, data_centre, VmRole::Entry, node.ready.peers, "")
        });
        let vms = engines.chain(services).chain(nodes).collect();
        let url = format!("http://{}/control/vms", self.platform.ready.control);
        self.post(&url, &VmList { vms }).await
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        for node in &self.nodes {
            let address = node.ready.callers;
            let url = format!("http://{address}/readyz");
            let mut failed_checks = 0;
            loop {
                let answer = self.http.get(&url).send().await;
                if answer.is_ok_and(|answer| answer.status().is_success()) {
                    break;
                }
                failed_checks += 1;
                if failed_checks > MAX_READY_RETRIES {
                    return Err(Error::NotReady(address));
                }
                tokio::time::sleep(READY_CHECK_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Takes a data centre out of service (`out`) or back in (`in`), as an operator does.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer or refuses the change.
    pub async fn set_data_centre_service(
        &self,
        data_centre: usize,
        service: &str,
    ) -> Result<(), Error> {
        let path = format!(
            "data-centres/{}",
            node_settings::data_centre_name(data_centre)
        );
        let expected = self.data_centre_revision.load(Ordering::Relaxed);
        let expected = (expected > 0).then_some(expected);
        let revision = self.put_entry(&path, &service.into(), expected).await?;
        self.data_centre_revision.store(revision, Ordering::Relaxed);
        Ok(())
    }

    /// Sets a configuration entry through the last node and returns its new revision.
    async fn put_entry(
        &self,
        path: &str,
        value: &Value,
        expected: Option<u64>,
    ) -> Result<u64, Error> {
        let operators = self.nodes.last().map(|node| node.ready.operators);
        let operators = operators.ok_or(Error::NoNode)?;
        let url = format!("http://{operators}/v1/{path}");
        let answer = self
            .http
            .put(url)
            .bearer_auth(node_settings::OPERATOR_TOKEN)
            .json(&json!({ "value": value, "expected": expected }))
            .send()
            .await?;
        let answer: Value = answer.json().await?;
        answer["revision"]
            .as_u64()
            .ok_or_else(|| Error::ChangeRefused {
                path: path.to_owned(),
                answer: answer.to_string(),
            })
    }

    /// Starts or ends an outage of the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the control port does not answer.
    pub async fn set_outage(&self, down: bool) -> Result<(), Error> {
        let outage = if down { Outage::Refuse } else { Outage::None };
        let faults = Faults {
            outage,
            ..Faults::default()
        };
        let url = format!("http://{}/control/faults", self.platform.ready.control);
        self.post(&url, &faults).await
    }

    /// Returns the addresses for callers of all nodes outside the excluded data centre.
    pub fn caller_addresses(&self, excluded: Option<usize>) -> Vec<SocketAddr> {
        self.nodes
            .iter()
            .enumerate()
            .filter(|(number, _)| Some(number % self.data_centres) != excluded)
            .map(|(_, node)| node.ready.callers)
            .collect()
    }

    /// Reads the resource usage of each node; traffic counts only connections
    /// with peers and the platform.
    pub fn usage(&self) -> Vec<Usage> {
        let mut ports: HashSet<u16> = self
            .nodes
            .iter()
            .map(|node| node.ready.peers.port())
            .collect();
        ports.insert(self.platform.ready.address.port());
        self.nodes
            .iter()
            .map(|node| usage::read(node.pid, &ports))
            .collect()
    }

    async fn post<T>(&self, url: &str, body: &T) -> Result<(), Error>
    where
        T: serde::Serialize,
    {
        let answer = self.http.post(url).json(body).send().await?;
        answer.error_for_status()?;
        Ok(())
    }

    /// Kills the processes and removes the settings files.
    pub async fn close(self) {
        for node in self.nodes {
            node.close().await;
        }
        self.platform.close().await;
        // Files that remain in the temporary directory do not affect later runs.
        let _ = std::fs::remove_dir_all(self.directory);
    }
}

/// Time between the start of the nodes and the load, in which nodes discover targets,
/// configuration and each other.
pub const SETTLE_TIME_MS: Millis = Millis(6_000);
