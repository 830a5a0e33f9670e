//! Admission of callers' requests: the limit on concurrent requests, draining and the
//! assignment of attempt ids.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use filbertpaddle_core::name::Name;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Admits requests up to a limit until the node drains.
#[derive(Debug)]
pub struct Admission {
    attempt_prefix: Name,
    next_number: AtomicU64,
    draining: AtomicBool,
    permits: Arc<Semaphore>,
    max_requests: usize,
}

impl Admission {
    /// Returns an admission of at most `max_requests` concurrent requests.
    ///
    /// `attempt_prefix` is the prefix of all attempt ids of this incarnation of the node.
    pub fn new(attempt_prefix: Name, max_requests: usize) -> Self {
        Self {
            attempt_prefix,
            next_number: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            permits: Arc::new(Semaphore::new(max_requests)),
            max_requests,
        }
    }

    /// Returns a new attempt id, unique across all nodes.
    pub fn next_attempt_id(&self) -> Name {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.attempt_prefix).into()
    }

    /// Admits a request, which counts until the permit is dropped; `None` if the limit is
    /// reached.
    pub fn try_admit(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.permits).try_acquire_owned().ok()
    }

    /// Returns whether the node is draining and refuses new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Refuses new requests and waits until all admitted ones have ended.
    pub async fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        let all = u32::try_from(self.max_requests).unwrap_or(u32::MAX);
        self.permits.acquire_many(all).await.ok();
    }
}
