//! The hosts of the cluster's targets: successive incarnations, and the way to each, which is a gate
//! for each data centre and a link.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::configuration::APP_SERVICE;
use filbertpaddle_adapter_standins::configuration::ENGINE_SERVICE;
use filbertpaddle_adapter_standins::target;
use filbertpaddle_adapter_standins::target::Target;
use filbertpaddle_standins::gate::Gate;
use filbertpaddle_standins::gate::Passage;
use filbertpaddle_standins::loopback::next_host;
use filbertpaddle_standins::proxy::Proxy;

use crate::cluster::Cluster;
use crate::history::Component;
use crate::history::TargetIncarnation;
use crate::schedule::DATA_CENTRES;
use crate::schedule::Restart;

/// Time between two events of a stream.
const EVENT_INTERVAL_MS: u64 = 20;
/// Time that a target takes for a plain request.
const PLAIN_REQUEST_MS: u64 = 15;
/// Time for which a restarted target is cold.
const COLD_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a target that a request has crashed restarts.
const CRASH_DOWNTIME: Duration = Duration::from_secs(1);

/// A host on which successive incarnations of a target run.
#[derive(Debug)]
pub(crate) struct TargetHost {
    pub(crate) options: target::Options,
    pub(crate) running: Option<RunningTarget>,
    /// When a target that a request has crashed restarts, and the number of the
    /// recorded disruption.
    restart: Option<(Instant, usize)>,
    /// What is left of a target that has ended in order.
    exited: Option<ExitedTarget>,
}

/// The address of a target that has ended in order, and the way to it.
#[derive(Debug)]
struct ExitedTarget {
    address: SocketAddr,
    /// Time for which it was still cold.
    cold_ms: u64,
    way: Way,
}

/// The way to a target.
#[derive(Debug)]
pub(crate) struct Way {
    pub(crate) link: Proxy,
    /// Gates before the link, one for the nodes of each data centre.
    gates: Vec<Gate>,
}

/// A running target and the link to it.
#[derive(Debug)]
pub(crate) struct RunningTarget {
    pub(crate) target: Target,
    pub(crate) way: Way,
}

impl Cluster {
    pub(crate) async fn add_target_host(&mut self, number: usize) {
        let service = if number.is_multiple_of(2) {
            ENGINE_SERVICE
        } else {
            APP_SERVICE
        };
        let options = target::Options {
            id: format!("target-{number}"),
            ip: next_host(),
            service: service.to_owned(),
            data_centre: DATA_CENTRES[number / 2 % DATA_CENTRES.len()].to_owned(),
            event_ms: EVENT_INTERVAL_MS,
            work_ms: PLAIN_REQUEST_MS,
            slots: 24,
            cold_ms: 0,
            version: software_version(number, 1),
            incarnation: 1,
        };
        let host = self.start_target(options).await;
        self.target_hosts.push(host);
    }

    async fn start_target(&self, options: target::Options) -> TargetHost {
        let (run_log, copies) = (self.run_log.clone(), self.copies.clone());
        let target = Target::start(options.clone(), run_log, copies)
            .await
            .unwrap();
        let link = Proxy::start(target.address).await.unwrap();
        let mut gates = Vec::new();
        for (view, passage) in self.views.iter().zip(self.passages) {
            let mut gate = Gate::start(link.address).await.unwrap();
            gate.set(passage).await.unwrap();
            self.store
                .replace_in_view(*view, link.address, gate.address);
            gates.push(gate);
        }
        self.host_of(options, target, Way { link, gates })
    }

    /// Records a target that has started, and writes its entry to the store.
    fn host_of(&self, options: target::Options, target: Target, way: Way) -> TargetHost {
        for gate in &way.gates {
            target.add_address(gate.address);
            target.add_shutter(gate.shutter());
        }
        self.history
            .events()
            .target_incarnations
            .push(TargetIncarnation {
                id: options.id.clone(),
                data_centre: options.data_centre.clone(),
                number: options.incarnation,
                from: Instant::now(),
                cold: Duration::from_millis(options.cold_ms),
            });
        let entry = target.announce(way.link.address);
        self.store.put_target(&options.id, &entry);
        TargetHost {
            options,
            running: Some(RunningTarget { target, way }),
            restart: None,
            exited: None,
        }
    }

    /// Sets what passes from the nodes of a data centre to all targets. A cut is there at all of
    /// them before the first connection is reset.
    pub(crate) async fn set_passage(&mut self, data_centre: usize, passage: Passage) {
        self.passages[data_centre] = passage;
        let steps: &[_] = match passage {
            Passage::Reset => &[Passage::RefuseNew, Passage::Reset],
            other => &[other],
        };
        for step in steps {
            let hosts = self.target_hosts.iter_mut();
            for running in hosts.filter_map(|host| host.running.as_mut()) {
                running.way.gates[data_centre].set(*step).await.unwrap();
            }
        }
    }

    /// Writes the entries of all running targets to the store again.
    pub(crate) fn announce_all_targets(&self) {
        for host in &self.target_hosts {
            if let Some(running) = &host.running {
                let entry = running.target.announce(running.way.link.address);
                self.store.put_target(&host.options.id, &entry);
            }
        }
    }

    /// Stops a target without notice, if it runs.
    pub(crate) async fn crash_target(&mut self, number: usize) {
        if let Some(running) = self.target_hosts[number].running.take() {
            running.close().await;
        }
    }

    /// Ends a target as a process ends, if it runs: it listens no more, and its connections close
    /// in order.
    pub(crate) async fn exit_target(&mut self, number: usize, restart: Restart) {
        let host = &mut self.target_hosts[number];
        let Some(running) = host.running.take() else {
            return;
        };
        if restart == Restart::SameAddress {
            running.target.reset_unresumable();
        }
        let (address, cold_ms) = (running.target.address, running.target.cold_ms());
        running.target.end().await;
        host.exited = Some(ExitedTarget {
            address,
            cold_ms,
            way: running.way,
        });
    }

    /// Starts the next incarnation of a target that has ended in order at its address, as warm as
    /// before and with the same version. Nodes may not know yet that it is another one.
    pub(crate) async fn restart_exited_target(&mut self, number: usize) {
        let host = &mut self.target_hosts[number];
        let Some(exited) = host.exited.take() else {
            return;
        };
        let mut way = exited.way;
        let mut options = host.options.clone();
        options.incarnation += 1;
        options.cold_ms = exited.cold_ms;
        let (run_log, copies) = (self.run_log.clone(), self.copies.clone());
        let target = Target::start_at(exited.address, options.clone(), run_log, copies)
            .await
            .unwrap();
        for (gate, passage) in way.gates.iter_mut().zip(self.passages) {
            gate.reopen(passage).await.unwrap();
        }
        self.target_hosts[number] = self.host_of(options, target, way);
    }

    /// Starts the next incarnation of a target that does not run, cold and at another
    /// address.
    pub(crate) async fn restart_target(&mut self, number: usize) {
        if self.target_hosts[number].running.is_some() {
            return;
        }
        if let Some(exited) = self.target_hosts[number].exited.take() {
            exited.way.close().await;
        }
        let mut options = self.target_hosts[number].options.clone();
        options.incarnation += 1;
        options.version = software_version(number, options.incarnation);
        options.cold_ms = u64::try_from(COLD_PERIOD.as_millis()).unwrap();
        self.target_hosts[number] = self.start_target(options).await;
    }

    /// Stops targets that a request has crashed, and restarts them after [`CRASH_DOWNTIME`].
    pub(crate) async fn restart_crashed_targets(&mut self) {
        for number in 0..self.target_hosts.len() {
            let host = &mut self.target_hosts[number];
            let crashed_at = host
                .running
                .as_ref()
                .and_then(|running| running.target.crashed_at());
            if let Some(at) = crashed_at {
                let component = Component::Target(host.options.id.clone());
                let disruption = self.history.begin_disruption_at(at, component);
                host.restart = Some((at + CRASH_DOWNTIME, disruption));
                self.crash_target(number).await;
            } else if let Some((at, disruption)) = host.restart
                && at <= Instant::now()
            {
                host.restart = None;
                self.restart_target(number).await;
                self.history.end_disruption(disruption);
            }
        }
    }
}

impl RunningTarget {
    pub(crate) async fn close(self) {
        self.target.close();
        self.way.close().await;
    }
}

impl Way {
    async fn close(self) {
        self.link.close().await;
        for gate in self.gates {
            gate.close().await;
        }
    }
}

/// Returns the version of a target's software, which changes with its incarnations: half of the
/// targets of each service begin with each of two versions.
fn software_version(number: usize, incarnation: u64) -> String {
    let turn = number as u64 / 2 + incarnation;
    format!("v{}", turn % 2 + 1)
}
