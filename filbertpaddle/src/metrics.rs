//! Counters and timers that are sent to statsd.

use std::net::UdpSocket;

use cadence::CountedExt;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use filbertpaddle_core::clock::Millis;

use crate::settings;

/// Maximum number of metrics queued for sending.
const QUEUE_METRICS: usize = 4_096;

/// Client of the statsd server; adds the prefix `filbertpaddle` to all names.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

/// Error of opening the metrics client.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The UDP socket could not be bound.
    #[error("cannot bind the metrics socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The sink could not be opened.
    #[error("cannot open the metrics sink: {0}")]
    Sink(#[from] cadence::MetricError),
}

impl Metrics {
    /// Opens the client; without a statsd address in the settings, metrics are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the socket or the sink cannot be opened.
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

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        self.client.incr(name).ok();
    }

    /// Records a duration in a timer.
    pub fn time(&self, name: &str, duration: Millis) {
        self.client.time(name, duration.0).ok();
    }
}
