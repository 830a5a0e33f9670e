//! Engine and service stand-ins of an experiment, run in child processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use crate::child;
use crate::child::Child;
use crate::engine_fault::Fault;
use crate::engine_state::Counters;
use crate::service::Counts;

/// Settings of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Path of the stand-in program.
    pub program: PathBuf,
    /// Seed of the output lengths.
    pub seed: u64,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of engines over all data centres.
    pub engines: usize,
    /// Number of plain services over all data centres.
    pub services: usize,
    /// Memory pages of an engine.
    pub pages: u32,
    /// Most attempts in the batch of an engine.
    pub warm_limit: u32,
    /// Maximum attempts, running or waiting, of a cold engine; one more crashes it.
    pub cold_limit: u32,
}

/// An engine or plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address that it serves requests at.
    pub address: SocketAddr,
    /// Address for control requests; plain services have none.
    pub control: Option<SocketAddr>,
    /// Index of its data centre.
    pub data_centre: usize,
}

/// Addresses of one engine.
#[derive(Debug, Deserialize)]
struct EngineAddresses {
    address: SocketAddr,
    control: SocketAddr,
}

/// Line that a process of engines prints when it is ready.
#[derive(Debug, Deserialize)]
struct EnginesReady {
    engines: Vec<EngineAddresses>,
}

/// Line that a plain service prints when it is ready.
#[derive(Debug, Deserialize)]
struct ServiceReady {
    address: SocketAddr,
}

/// Running engines and plain services.
#[derive(Debug)]
pub struct Fleet {
    /// The engines, grouped by data centre.
    pub engines: Vec<Target>,
    /// The plain services.
    pub services: Vec<Target>,
    engine_children: Vec<Child<EnginesReady>>,
    service_children: Vec<Child<ServiceReady>>,
    http: reqwest::Client,
}

impl Fleet {
    /// Starts one process for the engines of each data centre and one process for each service.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(settings: &Settings, http: reqwest::Client) -> Result<Self, child::Error> {
        let mut fleet = Self {
            engines: Vec::new(),
            services: Vec::new(),
            engine_children: Vec::new(),
            service_children: Vec::new(),
            http,
        };
        for data_centre in 0..settings.data_centres {
            let count = even_share(settings.engines, settings.data_centres, data_centre);
            if count > 0 {
                fleet.start_engines(settings, data_centre, count).await?;
            }
        }
        for number in 0..settings.services {
            let data_centre = number % settings.data_centres;
            fleet.start_service(settings, data_centre).await?;
        }
        Ok(fleet)
    }

    async fn start_engines(
        &mut self,
        settings: &Settings,
        data_centre: usize,
        count: usize,
    ) -> Result<(), child::Error> {
        let args = [
            "engine".to_owned(),
            format!("--count={count}"),
            format!("--seed={}", settings.seed),
            format!("--pages={}", settings.pages),
            format!("--warm-limit={}", settings.warm_limit),
            format!("--cold-limit={}", settings.cold_limit),
        ];
        let child: Child<EnginesReady> = Child::start(&settings.program, &args).await?;
        let targets = child.ready.engines.iter().map(|addresses| Target {
            address: addresses.address,
            control: Some(addresses.control),
            data_centre,
        });
        self.engines.extend(targets);
        self.engine_children.push(child);
        Ok(())
    }

    async fn start_service(
        &mut self,
        settings: &Settings,
        data_centre: usize,
    ) -> Result<(), child::Error> {
        let args = ["service".to_owned()];
        let child: Child<ServiceReady> = Child::start(&settings.program, &args).await?;
        self.services.push(Target {
            address: child.ready.address,
            control: None,
            data_centre,
        });
        self.service_children.push(child);
        Ok(())
    }

    /// Injects a fault into the first engine and every `every`-th one after it.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine does not accept the control request.
    pub async fn inject_fault(&self, every: usize, fault: Fault) -> Result<(), reqwest::Error> {
        let controls = self.engines.iter().filter_map(|engine| engine.control);
        for control in controls.step_by(every.max(1)) {
            let url = format!("http://{control}/control/faults");
            let answer = self.http.post(url).json(&fault).send().await?;
            answer.error_for_status()?;
        }
        Ok(())
    }

    /// Reads the counters of all engines.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine does not answer the control request.
    pub async fn engine_counters(&self) -> Result<Vec<Counters>, reqwest::Error> {
        let mut all = Vec::new();
        for control in self.engines.iter().filter_map(|engine| engine.control) {
            let url = format!("http://{control}/control/counters");
            all.push(self.http.get(url).send().await?.json().await?);
        }
        Ok(all)
    }

    /// Reads the request counts of all plain services.
    ///
    /// # Errors
    ///
    /// Returns an error if a service does not answer.
    pub async fn service_counts(&self) -> Result<Vec<Counts>, reqwest::Error> {
        let mut all = Vec::new();
        for service in &self.services {
            let url = format!("http://{}/v1/counts", service.address);
            all.push(self.http.get(url).send().await?.json().await?);
        }
        Ok(all)
    }

    /// Kills the processes.
    pub async fn close(self) {
        for child in self.engine_children {
            child.close().await;
        }
        for child in self.service_children {
            child.close().await;
        }
    }
}

/// Divides a total evenly over parts, the first ones larger by one if needed,
/// and returns the size of one part.
const fn even_share(total: usize, parts: usize, index: usize) -> usize {
    total / parts + if index < total % parts { 1 } else { 0 }
}
