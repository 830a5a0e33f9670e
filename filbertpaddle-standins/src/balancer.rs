//! Baseline for the load tool: an entry VM that chooses targets without any coordination.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// Time for which a target is skipped after a failure.
const SUSPENSION_TIME: Duration = Duration::from_secs(1);

/// Policy by which a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BalancingPolicy {
    /// Each target in turn.
    RoundRobin,
    /// The target with the fewest requests in flight from this entry VM.
    LeastConnections,
}

#[derive(Debug)]
struct Target {
    address: SocketAddr,
    data_centre: usize,
    in_flight: u32,
    suspended_until: Option<Instant>,
}

#[derive(Debug)]
struct Inner {
    targets: Vec<Target>,
    out_of_service: Option<usize>,
    rotation: usize,
}

/// Targets as seen by one entry VM.
#[derive(Debug)]
pub struct Balancer {
    policy: BalancingPolicy,
    inner: Mutex<Inner>,
}

impl Balancer {
    /// Creates a balancer over targets, given with their data centres.
    ///
    /// The first search starts at the target after index `rotation`.
    pub fn new(policy: BalancingPolicy, targets: &[(SocketAddr, usize)], rotation: usize) -> Self {
        let targets = targets.iter().map(|(address, data_centre)| Target {
            address: *address,
            data_centre: *data_centre,
            in_flight: 0,
            suspended_until: None,
        });
        let inner = Inner {
            targets: targets.collect(),
            out_of_service: None,
            rotation,
        };
        Self {
            policy,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a data centre out of service; `None` puts all back in service.
    pub fn set_out_of_service(&self, data_centre: Option<usize>) {
        self.lock().out_of_service = data_centre;
    }

    /// Chooses a target and counts a request in flight; returns `None` if no target is available.
    pub fn choose(&self) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut inner = self.lock();
        let out_of_service = inner.out_of_service;
        inner.rotation += 1;
        let rotation = inner.rotation;
        let count = inner.targets.len();
        let available = |target: &Target| {
            Some(target.data_centre) != out_of_service
                && target.suspended_until.is_none_or(|end| end <= now)
        };
        // The search starts at a different target each time, so that ties rotate.
        let mut candidates = (0..count)
            .map(|step| (rotation + step) % count)
            .filter(|index| available(&inner.targets[*index]));
        let index = match self.policy {
            BalancingPolicy::RoundRobin => candidates.next(),
            BalancingPolicy::LeastConnections => {
                candidates.min_by_key(|index| inner.targets[*index].in_flight)
            }
        }?;
        inner.rotation = match self.policy {
            BalancingPolicy::RoundRobin => index,
            BalancingPolicy::LeastConnections => rotation,
        };
        inner.targets[index].in_flight += 1;
        Some(inner.targets[index].address)
    }

    /// Counts a request as ended; a failed target is skipped for `SUSPENSION_TIME`.
    pub fn release(&self, address: SocketAddr, failed: bool) {
        let mut inner = self.lock();
        let target = inner
            .targets
            .iter_mut()
            .find(|target| target.address == address);
        let Some(target) = target else { return };
        target.in_flight = target.in_flight.saturating_sub(1);
        if failed {
            target.suspended_until = Some(Instant::now() + SUSPENSION_TIME);
        }
    }
}
