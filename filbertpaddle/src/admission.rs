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
pub struct Admission {
    attempt_prefix: Name,
    next_number: AtomicU64,
    draining: AtomicBool,
    permits: Arc<Semaphore>,
    max_requests: usize,
}

impl Admission {
    /// Opens the gate for at most `max_requests` requests at once.
    ///
    /// `attempt_prefix` starts all attempt ids of this life of the node.
    pub fn new(attempt_prefix: Name, max_requests: usize) -> Self {
        Self {
            attempt_prefix,
            next_number: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            permits: Arc::new(Semaphore::new(max_requests)),
            max_requests,
        }
    }

    /// Returns an attempt id that no node has used.
    pub fn next_attempt_id(&self) -> Name {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.attempt_prefix).into()
    }

    /// Counts a request in; `None` if too many run.
    pub fn try_admit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Returns whether new work is refused because the node is leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Refuses new work and waits until all that runs has ended.
    pub async fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let all = u32::try_from(self.max_requests).unwrap_or(u32::MAX);
        self.permits.acquire_many(all).await.ok();
    }
}
