//! Processes of the system, with settings files in the platform's form.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::requester;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Processes that this run has started and that have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this run has started.
pub fn kill_all() {
    let started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    for pid in started.iter().filter_map(|pid| i32::try_from(*pid).ok()) {
        unsafe { kill(pid, SIGKILL) };
    }
}

/// Where a node runs and what it reaches.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub is_first_start: bool,
}

/// Ports that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

/// A running node; it is killed when dropped.
pub struct Node {
    pub place: Place,
    pub ports: Ports,
    child: Child,
}

impl Ports {
    pub fn free(ip: &str) -> Self {
        let held: Vec<_> = (0..3)
            .map(|_| TcpListener::bind((ip, 0)).expect("no free port"))
            .collect();
        let address = |index: usize| held[index].local_addr().expect("no address");
        Self {
            front: address(0),
            ready: address(1),
            control: address(2),
        }
    }
}

impl Node {
    /// Starts a node with its settings and its log in `folder`.
    pub fn start(folder: &Path, place: &Place, ports: Ports) -> Self {
        let settings = folder.join(format!("{}.yaml", place.name));
        fs::write(&settings, settings_text(place, ports)).expect("settings cannot be written");
        let log: PathBuf = folder.join(format!("{}.log", place.name));
        let log = File::options().create(true).append(true).open(log);
        let log = log.expect("log cannot be written");
        let child = Command::new("target/release/filbertpaddle")
            .arg("gateway")
            .env("FILBERTPADDLE_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("target/release/filbertpaddle cannot be started");
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        started.push(child.id());
        drop(started);
        Self {
            place: place.clone(),
            ports,
            child,
        }
    }

    /// Writes the settings file anew.
    pub fn write_settings(&self, folder: &Path) {
        let settings = folder.join(format!("{}.yaml", self.place.name));
        let text = settings_text(&self.place, self.ports);
        fs::write(settings, text).expect("settings cannot be written");
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process id");
        unsafe { kill(pid, signal) };
    }

    /// Returns the status of the process if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
        started.retain(|pid| *pid != self.child.id());
    }

    pub fn is_ready(&self) -> bool {
        requester::status_of(self.ports.ready, "/ready") == Some(200)
    }

    /// Waits until the node is ready; returns whether it is.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(place: &Place, ports: Ports) -> String {
    let Place {
        name,
        ip,
        zone,
        store,
        is_first_start,
        ..
    } = place;
    let seeds: String = place
        .seeds
        .iter()
        .map(|seed| format!("  - \"{seed}\"\n"))
        .collect();
    let Ports {
        front,
        ready,
        control,
    } = ports;
    format!(
        "node: \"{name}\"\nrole: \"gateway\"\nmachine_class: \"front\"\n\
         serves:\n  - \"front\"\n  - \"control\"\nip: \"{ip}\"\nzone: \"{zone}\"\n\
         region: \"region-1\"\nzones:\n  zone-a: \"region-1\"\n  zone-b: \"region-1\"\n  zone-c: \"region-1\"\n\
         listen:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\n\
         internal_ports:\n  - 7200\n  - 7215\nseeds:\n{seeds}\
         bootstrap: {is_first_start}\nin_tolerance: false\n\
         limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
         data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
         contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n  - \"stream\"\n  - \"tenants\"\n  - \"places\"\n  - \"platform\"\n\
         fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n\
         bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  outer_ms: 5000\n  strict_revocation: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 54\n  cold_over: 1.5\n  cold_slack: 5\n  evacuate_ms: 5000\n  recover_s: 12\n  pass_ms: 120\n  again_s: 7.6\n\
         provider:\n  address: \"{store}\"\n  form: \"table\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  tx_ms: 5.0\n  part_writes_s: 200\n  row_bytes: 65536\n  across: false\n  history_s: 20\n  blob_bytes: 8388608\n  blob_ms: 25.0\n  blob_mb_s: 80.0\n"
    )
}
