//! Counts requests in and out and names their attempts.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use filbertpaddle_core::name::Name;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Lets requests in until the node drains.
#[derive(Debug)]
pub struct Gate {
    attempt_prefix: Name,
    next_attempt: AtomicU64,
    draining: AtomicBool,
    running: Arc<Semaphore>,
    most_running: usize,
}

impl Gate {
    /// Opens the gate for at most `most_running` requests at once.
    ///
    /// `attempt_prefix` starts all attempt ids of this life of the node.
    pub fn open(attempt_prefix: Name, most_running: usize) -> Self {
        Self {
            attempt_prefix,
            next_attempt: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            running: Arc::new(Semaphore::new(most_running)),
            most_running,
        }
    }

    /// Returns an attempt id that no node has used.
    pub fn attempt(&self) -> Name {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.attempt_prefix).into()
    }

    /// Counts a request in; `None` if too many run.
    pub fn enter(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.running).try_acquire_owned().ok()
    }

    /// Returns whether new work is refused because the node is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Refuses new work and waits until all that runs has ended.
    pub async fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let all = u32::try_from(self.most_running).unwrap_or(u32::MAX);
        self.running.acquire_many(all).await.ok();
    }
}
