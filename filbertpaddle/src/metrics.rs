//! Counters and timers sent to statsd.

use std::net::UdpSocket;

use cadence::CountedExt;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use filbertpaddle_core::clock::Millis;

use crate::settings;

/// Most metrics that wait to be sent.
const QUEUE_METRICS: usize = 4_096;

/// Sends metrics under the prefix `filbertpaddle`.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

/// Why metrics cannot be sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No socket could be bound.
    #[error("cannot bind the metrics socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The sink could not be opened.
    #[error("cannot open the metrics sink: {0}")]
    Sink(#[from] cadence::MetricError),
}

impl Metrics {
    /// Opens the sink that the settings name.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if no socket can be bound.
    pub fn open(settings: settings::Metrics) -> Result<Self, Error> {
        let Some(address) = settings.statsd else {
            return Ok(Self {
                client: StatsdClient::from_sink("filbertpaddle", NopMetricSink),
            });
        };
        let socket = UdpSocket::bind(("127.0.0.1", 0))?;
        socket.set_nonblocking(true)?;
        let sink =
            QueuingMetricSink::with_capacity(UdpMetricSink::from(address, socket)?, QUEUE_METRICS);
        Ok(Self {
            client: StatsdClient::from_sink("filbertpaddle", sink),
        })
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        self.client.incr(name).ok();
    }

    /// Records a span.
    pub fn time(&self, name: &str, span: Millis) {
        self.client.time(name, span.0).ok();
    }
}
