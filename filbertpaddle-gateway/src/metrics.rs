//! Counters and latency histograms, kept in memory and served as text.

use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use cadence::CountedExt;
use cadence::MetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use filbertpaddle_core::clock::Millis;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// Longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 120_000;
const LATENCY_DIGITS: u8 = 2;
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];

/// The metrics of a node.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    registry: Arc<Registry>,
}

#[derive(Debug, Default)]
struct Registry {
    counters: Mutex<IndexMap<String, u64>>,
    latencies: Mutex<IndexMap<String, Histogram<u32>>>,
}

#[derive(Debug)]
struct Sink(Arc<Registry>);

impl Metrics {
    /// Creates an empty set of metrics.
    pub fn new() -> Self {
        let registry = Arc::new(Registry::default());
        let client = StatsdClient::from_sink("filbertpaddle", Sink(Arc::clone(&registry)));
        Self { client, registry }
    }

    /// Increments a counter.
    pub fn count(&self, name: &str) {
        self.client.incr(name).ok();
    }

    /// Records a latency.
    pub fn time(&self, name: &str, span: Millis) {
        self.client.time(name, span.0).ok();
    }

    /// Returns all metrics as text, one per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let counters = self.registry.counters.lock();
        for (name, value) in counters.unwrap_or_else(PoisonError::into_inner).iter() {
            writeln!(text, "{name} {value}").ok();
        }
        let latencies = self.registry.latencies.lock();
        for (name, latency) in latencies.unwrap_or_else(PoisonError::into_inner).iter() {
            writeln!(text, "{name}_count {}", latency.len()).ok();
            for quantile in QUANTILES {
                let value = latency.value_at_quantile(quantile);
                writeln!(text, "{name}_ms{{quantile=\"{quantile}\"}} {value}").ok();
            }
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Registry {
    fn count(&self, name: &str, value: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        match counters.get_mut(name) {
            Some(counter) => *counter += value,
            None => {
                counters.insert(name.to_owned(), value);
            }
        }
    }

    fn time(&self, name: &str, value_ms: u64) {
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if !latencies.contains_key(name) {
            let Ok(empty) = Histogram::new_with_max(MAX_LATENCY_MS, LATENCY_DIGITS) else {
                return;
            };
            latencies.insert(name.to_owned(), empty);
        }
        if let Some(latency) = latencies.get_mut(name) {
            latency.saturating_record(value_ms);
        }
    }
}

impl MetricSink for Sink {
    /// Records a metric in the client's form, `name:value|kind`.
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let parts = metric.split_once(':').and_then(|(name, rest)| {
            let (value, kind) = rest.split_once('|')?;
            Some((name, value.parse().ok()?, kind))
        });
        let Some((name, value, kind)) = parts else {
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        };
        match kind {
            "ms" => self.0.time(name, value),
            _ => self.0.count(name, value),
        }
        Ok(metric.len())
    }
}
