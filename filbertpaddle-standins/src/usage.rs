//! Processor time, memory and network traffic of processes, read from `/proc` and `ss`.

use std::collections::HashSet;
use std::fs;
use std::process::Command;

/// Clock ticks per second of processor time.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields between the process name and the user time in `/proc/PID/stat`.
const FIELDS_BEFORE_CPU_TIMES: usize = 11;

/// Resources that a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Usage {
    /// Processor time since the process started.
    pub cpu_s: f64,
    /// Resident memory at the time of reading.
    pub resident_bytes: u64,
    /// Bytes sent and received on open connections with the chosen ports.
    pub traffic_bytes: u64,
}

/// Reads the usage of a process, with its traffic to and from the given ports.
///
/// Values that cannot be read are zero.
pub fn read(pid: u32, ports: &HashSet<u16>) -> Usage {
    Usage {
        cpu_s: cpu_s(pid).unwrap_or_default(),
        resident_bytes: resident_bytes(pid).unwrap_or_default(),
        traffic_bytes: traffic_bytes(pid, ports).unwrap_or_default(),
    }
}

/// Returns the machine's load average over the last minute, or zero if it cannot be read.
pub fn machine_load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|load| load.parse().ok()).unwrap_or_default()
}

fn cpu_s(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The process name may contain spaces, so fields are counted from its end.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_CPU_TIMES);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kib * 1_024)
}

fn traffic_bytes(pid: u32, ports: &HashSet<u16>) -> Option<u64> {
    let output = Command::new("ss").args(["-tinpHO"]).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    let process = format!("pid={pid},");
    let bytes = text
        .lines()
        .filter(|line| line.contains(&process) && uses_port(line, ports))
        .map(|line| counter(line, "bytes_sent:") + counter(line, "bytes_received:"))
        .sum();
    Some(bytes)
}

/// Returns whether a line of `ss` has one of the ports as its local or remote port.
fn uses_port(line: &str, ports: &HashSet<u16>) -> bool {
    line.split_whitespace()
        .skip(3)
        .take(2)
        .filter_map(|address| address.rsplit_once(':')?.1.parse().ok())
        .any(|port| ports.contains(&port))
}

fn counter(line: &str, name: &str) -> u64 {
    line.split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.parse().ok())
        .unwrap_or_default()
}
