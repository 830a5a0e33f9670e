//! What every request on this node uses.

use std::sync::Arc;

use filbertpaddle_target::client::Client;
use slog::Logger;

use crate::claims::Claims;
use crate::gate::Gate;
use crate::metrics::Metrics;
use crate::retries::Retries;
use crate::settings::Limits;
use crate::slot_router::SlotRouter;
use crate::templates::Templates;

/// Parts and limits shared by all requests of a node.
#[derive(Debug)]
pub struct Front {
    /// Configuration in force.
    pub templates: Templates,
    /// Claims on idempotency keys.
    pub claims: Claims,
    /// Slots on targets.
    pub slots: SlotRouter,
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
    /// Counts requests in and out.
    pub gate: Gate,
}
