//! Services and limits shared by all requests of a node.

use std::sync::Arc;

use filbertpaddle_http::buffer_limit::BufferLimit;
use filbertpaddle_target::client::Client;
use slog::Logger;

use crate::admission::Admission;
use crate::claims::Claims;
use crate::config_snapshot::ConfigReader;
use crate::metrics::Metrics;
use crate::retries::Retries;
use crate::settings::Limits;
use crate::slot_router::SlotRouter;

/// Services and limits shared by all requests of a node.
#[derive(Debug)]
pub struct RequestContext {
    /// Reader of the current configuration.
    pub config: ConfigReader,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// Slots on targets.
    pub slots: SlotRouter,
    /// Retry budgets of the pools, for attempts on another target.
    pub retries: Retries,
    /// Client of targets.
    pub targets: Client,
    /// Limit on the texts of answers that the node holds.
    pub texts: BufferLimit,
    /// Secret that signs resume tickets.
    pub ticket_secret: Arc<str>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Metrics of requests.
    pub metrics: Arc<Metrics>,
    /// Log of requests.
    pub log: Logger,
    /// Admission of requests.
    pub admission: Admission,
}
