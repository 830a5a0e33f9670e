//! What every request on this node uses.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use filbertpaddle_core::name::Name;
use filbertpaddle_target::client::Client;
use slog::Logger;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::claims::Claims;
use crate::metrics::Metrics;
use crate::retries::Retries;
use crate::settings::Limits;
use crate::slots::Slots;
use crate::templates::Templates;

/// Parts and limits shared by all requests of a node.
#[derive(Debug)]
pub struct Front {
    /// Configuration in force.
    pub templates: Templates,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Slots on targets.
    pub slots: Slots,
    /// Budgets for sending a request to another target.
    pub retries: Retries,
    /// Client of targets.
    pub targets: Client,
    /// Secret that signs resume tickets.
    pub ticket_secret: Arc<str>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Metrics of requests.
    pub metrics: Arc<Metrics>,
    /// Log of requests.
    pub log: Logger,
    attempt_prefix: Name,
    next_attempt: AtomicU64,
    draining: AtomicBool,
    running: Arc<Semaphore>,
}

/// The parts a front is built from.
#[derive(Debug)]
pub struct Parts {
    /// Configuration in force.
    pub templates: Templates,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Slots on targets.
    pub slots: Slots,
    /// Budgets for sending a request to another target.
    pub retries: Retries,
    /// Client of targets.
    pub targets: Client,
    /// Secret that signs resume tickets.
    pub ticket_secret: Arc<str>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Metrics of requests.
    pub metrics: Arc<Metrics>,
    /// Log of requests.
    pub log: Logger,
    /// Start of all attempt ids of this life of the node.
    pub attempt_prefix: Name,
}

impl Front {
    /// Joins the parts.
    pub fn new(parts: Parts) -> Self {
        let running = Arc::new(Semaphore::new(parts.limits.requests));
        Self {
            templates: parts.templates,
            claims: parts.claims,
            slots: parts.slots,
            retries: parts.retries,
            targets: parts.targets,
            ticket_secret: parts.ticket_secret,
            limits: parts.limits,
            metrics: parts.metrics,
            log: parts.log,
            attempt_prefix: parts.attempt_prefix,
            next_attempt: AtomicU64::new(1),
            draining: AtomicBool::new(false),
            running,
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
        let all = u32::try_from(self.limits.requests).unwrap_or(u32::MAX);
        self.running.acquire_many(all).await.ok();
    }
}
