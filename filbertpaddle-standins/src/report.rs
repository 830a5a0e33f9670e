//! Report of a run: the figures of its requests, targets and nodes, written as
//! one line of JSON and as readable text.

use std::fmt;
use std::time::Duration;

use filbertpaddle_core::name::Name;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use strum::VariantArray;

use crate::batch::Totals;
use crate::engine_state::Counters;
use crate::observation::Ending;
use crate::observation::Observation;
use crate::observation::Violation;
use crate::service::Counts;
use crate::usage::Usage;
use crate::workload::Request;

/// Longest time that a histogram records; longer times count as this one.
const MAX_RECORDABLE_US: u64 = 600_000_000;

/// Significant decimal digits that a histogram keeps.
const HISTOGRAM_DIGITS: u8 = 3;

/// A request and its result.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request.
    pub request: Request,
    /// Result as observed by the caller.
    pub observation: Observation,
}

/// Percentiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Resources that the nodes of a run have used.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeCost {
    /// Number of nodes.
    pub nodes: usize,
    /// Mean CPU time of a node, in percent of a core.
    pub cpu_percent: f64,
    /// Largest resident memory of any node at the end of the run.
    pub max_resident_bytes: u64,
    /// Mean traffic of a node with peers and the platform, sent and received, per second.
    pub control_bytes_per_s: f64,
}

/// Figures of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run.
    pub duration_s: f64,
    /// Mean requests per second that were configured.
    pub rate: f64,
    /// Requests sent.
    pub requests: usize,
    /// Requests by how they ended.
    pub endings: IndexMap<String, usize>,
    /// Tokens delivered in complete answers.
    pub complete_tokens: u64,
    /// Time from when a request was due to its first token, or to the answer of a call.
    pub first_token: Percentiles,
    /// Time between consecutive tokens.
    pub token_gap: Percentiles,
    /// Total time by which token gaps exceeded a quarter of a second.
    pub stall_s: f64,
    /// Total time that preempted attempts waited in engines.
    pub engine_stall_s: f64,
    /// Preemptions at all engines.
    pub preemptions: u64,
    /// Tokens computed again after preemptions.
    pub recomputed_tokens: u64,
    /// Generated tokens that are not part of a complete answer, and recomputed tokens.
    pub wasted_tokens: u64,
    /// Tokens that prefix caches saved, in percent of all prompt tokens.
    pub cached_percent: f64,
    /// Jain's fairness index of the shares of each customer's requests that were complete.
    pub fairness: f64,
    /// 95th percentile of the time to the first token, for the customer with the worst.
    pub worst_customer_p95_ms: f64,
    /// Cold engines that collapsed under too much load.
    pub collapses: u64,
    /// Submissions to cold engines beyond their limit, without those in the grace period in which
    /// load reports do not show yet that the engine is cold.
    pub cold_excess: u64,
    /// Violated guarantees, by kind.
    pub violations: IndexMap<String, usize>,
    /// Resources that the nodes have used; zero if the run had no nodes.
    pub node_cost: NodeCost,
    /// Load average of the machine at the end of the run.
    pub machine_load: f64,
}

/// Settings of a run that its report repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct RunInfo {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Length of the run.
    pub duration_s: f64,
    /// Mean requests per second.
    pub rate: f64,
}

/// Counters read from the targets at the end of a run.
#[derive(Clone, Debug, Default)]
pub struct TargetCounters {
    /// Counters of the engines.
    pub engines: Vec<Counters>,
    /// Counts of the plain services.
    pub services: Vec<Counts>,
}

impl Report {
    /// Creates the report of a run.
    pub fn new(
        run_info: RunInfo,
        records: &[RequestRecord],
        target_counters: &TargetCounters,
        node_cost: NodeCost,
        machine_load: f64,
    ) -> Self {
        let totals = totals(target_counters);
        let complete_tokens = complete_tokens(records);
        let observations = || records.iter().map(|record| &record.observation);
        let gaps = observations().flat_map(|observation| observation.gaps.iter().copied());
        let first_token_times = observations().filter_map(|observation| observation.first_token);
        let stall: Duration = observations().map(Observation::stall_time).sum();
        let customers = by_customer(records);
        Self {
            scenario: run_info.scenario,
            policy: run_info.policy,
            seed: run_info.seed,
            duration_s: run_info.duration_s,
            rate: run_info.rate,
            requests: records.len(),
            endings: endings(records),
            complete_tokens,
            first_token: percentiles(first_token_times),
            token_gap: percentiles(gaps),
            stall_s: stall.as_secs_f64(),
            engine_stall_s: totals.stall_us as f64 / 1e6,
            preemptions: totals.preemptions,
            recomputed_tokens: totals.recomputed_tokens,
            wasted_tokens: totals.tokens.saturating_sub(complete_tokens) + totals.recomputed_tokens,
            cached_percent: cached_percent(records, &totals),
            fairness: fairness(&customers),
            worst_customer_p95_ms: worst_p95_ms(&customers),
            collapses: target_counters
                .engines
                .iter()
                .map(|engine| engine.collapses)
                .sum(),
            cold_excess: totals.cold_excess - totals.cold_excess_in_grace,
            violations: violations(records, target_counters),
            node_cost,
            machine_load,
        }
    }

    /// Returns how many requests had the given ending.
    pub fn ending_count(&self, ending: Ending) -> usize {
        let name: &'static str = ending.into();
        self.endings.get(name).copied().unwrap_or_default()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} / {} / seed {} / {} s at {} requests/s, machine load {:.1}",
            self.scenario, self.policy, self.seed, self.duration_s, self.rate, self.machine_load
        )?;
        write!(f, "  requests {}:", self.requests)?;
        for (ending, count) in &self.endings {
            write!(f, " {ending} {count}")?;
        }
        writeln!(f)?;
        for (name, percentiles) in [
            ("first token", self.first_token),
            ("token gap", self.token_gap),
        ] {
            writeln!(
                f,
                "  {name:<12} p50 {:>8.1} ms  p95 {:>8.1} ms  p99 {:>8.1} ms",
                percentiles.p50_ms, percentiles.p95_ms, percentiles.p99_ms
            )?;
        }
        writeln!(
            f,
            "  stall {:.1} s (in engines {:.1} s), preemptions {}, wasted tokens {}, cached {:.0} %",
            self.stall_s,
            self.engine_stall_s,
            self.preemptions,
            self.wasted_tokens,
            self.cached_percent
        )?;
        writeln!(
            f,
            "  complete tokens {}, fairness {:.3}, worst customer's p95 {:.0} ms",
            self.complete_tokens, self.fairness, self.worst_customer_p95_ms
        )?;
        writeln!(
            f,
            "  collapses {}, cold excess {}, violations {:?}",
            self.collapses, self.cold_excess, self.violations
        )?;
        let cost = &self.node_cost;
        write!(
            f,
            "  {} nodes: {:.1} % of a core, {:.1} MB, {:.0} control bytes/s each",
            cost.nodes,
            cost.cpu_percent,
            cost.max_resident_bytes as f64 / 1e6,
            cost.control_bytes_per_s
        )
    }
}

impl NodeCost {
    /// Computes what the nodes used between two readings of their usage.
    pub fn new(before: &[Usage], after: &[Usage], span: Duration) -> Self {
        let nodes = after.len();
        let mean = |total: f64| total / nodes.max(1) as f64 / span.as_secs_f64();
        let cpu_s: f64 = usage_increase(before, after, |usage| usage.cpu_s);
        let bytes: f64 = usage_increase(before, after, |usage| usage.traffic_bytes as f64);
        let resident = after.iter().map(|usage| usage.resident_bytes);
        Self {
            nodes,
            cpu_percent: mean(cpu_s) * 100.0,
            max_resident_bytes: resident.max().unwrap_or_default(),
            control_bytes_per_s: mean(bytes),
        }
    }
}

fn usage_increase<F>(before: &[Usage], after: &[Usage], value: F) -> f64
where
    F: Fn(&Usage) -> f64,
{
    let pairs = before.iter().zip(after);
    pairs
        .map(|(before, after)| (value(after) - value(before)).max(0.0))
        .sum()
}

fn totals(target_counters: &TargetCounters) -> Totals {
    let engines = target_counters.engines.iter().map(|engine| engine.totals);
    engines.fold(Totals::default(), |sum, totals| sum + totals)
}

fn complete_tokens(records: &[RequestRecord]) -> u64 {
    records
        .iter()
        .filter(|record| !record.request.kind.is_call())
        .filter(|record| record.observation.ending == Ending::Complete)
        .map(|record| u64::from(record.observation.tokens))
        .sum()
}

fn endings(records: &[RequestRecord]) -> IndexMap<String, usize> {
    let mut endings = IndexMap::new();
    for ending in Ending::VARIANTS {
        let count = records
            .iter()
            .filter(|record| record.observation.ending == *ending)
            .count();
        endings.insert(ending.to_string(), count);
    }
    endings
}

fn cached_percent(records: &[RequestRecord], totals: &Totals) -> f64 {
    let prompt_bytes: usize = records
        .iter()
        .filter(|record| !record.request.kind.is_call())
        .map(|record| record.request.prompt().len())
        .sum();
    let prompt_tokens = prompt_bytes / crate::batch_scheduler::TOKEN_BYTES;
    totals.cached_tokens as f64 * 100.0 / prompt_tokens.max(1) as f64
}

fn percentiles<I>(times: I) -> Percentiles
where
    I: Iterator<Item = Duration>,
{
    let Ok(mut histogram) = Histogram::<u64>::new_with_max(MAX_RECORDABLE_US, HISTOGRAM_DIGITS)
    else {
        return Percentiles::default();
    };
    times.for_each(|time| histogram.saturating_record(time.as_micros() as u64));
    let at_quantile = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50_ms: at_quantile(0.5),
        p95_ms: at_quantile(0.95),
        p99_ms: at_quantile(0.99),
    }
}

fn by_customer(records: &[RequestRecord]) -> IndexMap<&Name, Vec<&RequestRecord>> {
    let mut customers: IndexMap<&Name, Vec<&RequestRecord>> = IndexMap::new();
    for record in records {
        let customer_records = customers.entry(&record.request.customer).or_default();
        customer_records.push(record);
    }
    customers
}

/// Returns Jain's fairness index of the shares of each customer's requests that were complete.
///
/// The index is one if all shares are equal.
fn fairness(customers: &IndexMap<&Name, Vec<&RequestRecord>>) -> f64 {
    let shares: Vec<f64> = customers
        .values()
        .map(|records| {
            let complete = records
                .iter()
                .filter(|record| record.observation.ending == Ending::Complete);
            complete.count() as f64 / records.len() as f64
        })
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 0.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

fn worst_p95_ms(customers: &IndexMap<&Name, Vec<&RequestRecord>>) -> f64 {
    let p95s = customers.values().map(|records| {
        let first_token_times = records
            .iter()
            .filter_map(|record| record.observation.first_token);
        percentiles(first_token_times).p95_ms
    });
    p95s.fold(0.0, f64::max)
}

fn violations(
    records: &[RequestRecord],
    target_counters: &TargetCounters,
) -> IndexMap<String, usize> {
    let mut violations: IndexMap<String, usize> = IndexMap::new();
    let executions = executions(target_counters);
    for record in records {
        let runs = executions.get(record.request.marker.as_str()).copied();
        let runs = runs.unwrap_or_default();
        let mut found = record.observation.violations.clone();
        if record.observation.ending == Ending::NotRun && runs > 0 {
            found.push(Violation::NotRunButRan);
        }
        if !record.request.kind.idempotent && runs > 1 {
            found.push(Violation::RanTwice);
        }
        for violation in found {
            *violations.entry(violation.to_string()).or_default() += 1;
        }
    }
    violations
}

/// Returns the number of executions of each marker, at engines and plain services.
fn executions(target_counters: &TargetCounters) -> IndexMap<String, u32> {
    let mut executions: IndexMap<String, u32> = IndexMap::new();
    for (marker, count) in target_counters
        .engines
        .iter()
        .flat_map(|engine| &engine.executions)
    {
        *executions.entry(marker.clone()).or_default() += count;
    }
    for (body, count) in target_counters
        .services
        .iter()
        .flat_map(|counts| &counts.bodies)
    {
        if let Some(marker) = crate::marker::find(body) {
            *executions.entry(marker).or_default() += count;
        }
    }
    executions
}
