//! Speed of each target in relation to the others of its service, from the samples of all nodes.
//!
//! Load pattern: some targets of a service take twice as long as others, for good, from a certain
//! load on or for a moment. Equal shares make the callers of slow ones late while fast ones have
//! room. Within a dead band all count as equal, so that chance changes no choice.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

use crate::directory::Directory;
use crate::speed_baseline::BUSY_FILL;
use crate::speed_baseline::SpeedBaseline;
use crate::speed_baseline::SpeedSample;
use crate::speed_table::RatioSum;
use crate::speed_table::SpeedSums;
use crate::speed_table::SpeedTable;
use crate::speed_table::run_hash;
use crate::target::Incarnation;
use crate::target::Target;

/// Interval at which the estimates are formed anew.
const REFRESH_MS: Millis = Millis(50);
/// Smallest half of the dead band, as a logarithm.
const MIN_BAND: f64 = 0.15;
/// Standard deviation of the logarithm of a sample of weight 1.
const SAMPLE_DEVIATION: f64 = 0.65;
/// Half of the dead band in standard errors.
const BAND_ERRORS: f64 = 4.0;
/// Weight from which an estimate of the lasting speed counts.
const MIN_WEIGHT: f64 = 12.0;
/// Weight from which one of the speed of the moment counts.
const MIN_MOMENT_WEIGHT: f64 = 6.0;
/// Smallest such difference in standard errors.
const MOMENT_ERRORS: f64 = 3.0;
/// Smallest difference of the speed of the moment from the lasting one that counts.
const MIN_MOMENT_LN: f64 = 0.4;
/// Speed, as a logarithm for each second, with which an estimate may improve: many nodes receive at
/// once that a target has become faster, and their load on it is known only later.
const MAX_GAIN_PER_SEC: f64 = 0.4;
/// Time in which half of the estimated slow-down at load fades while the target
/// is not loaded.
const FILL_HALF_LIFE_MS: Millis = Millis::from_secs(10);
/// Smallest slow-down from calm to busy, as a logarithm, that counts as one.
const MIN_FILL_LN: f64 = 0.3;
/// Change of a factor, as a logarithm, from which it is reported.
const REPORTED_CHANGE: f64 = 0.25;

/// Speed of a target as estimated from the samples of all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedEstimate {
    run: u32,
    /// Logarithm of the time it takes in relation to the typical one, up to half full.
    pub calm_ln: f64,
    /// What it adds when it is fuller.
    pub fill_ln: f64,
    /// What it adds at the moment.
    pub moment_ln: f64,
    /// Weight of the samples.
    pub weight: f64,
    /// Mean of the samples when they last counted, by which the typical time is found. Slow
    /// targets get few samples, and without them the fast ones would seem typical.
    mean_ln: Option<f64>,
    /// Known difference to the typical time, without the dead band, by which samples are compared.
    centred_ln: f64,
    refreshed_ms: Millis,
    reported_ln: f64,
}

/// Change of an estimate that matters.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// ID of the target.
    pub target: Name,
    /// Its new estimate.
    pub estimate: SpeedEstimate,
    /// Factor that was last reported.
    pub former_factor: f64,
}

/// Speeds of all targets, as known to one node.
#[derive(Clone, Debug, Default)]
pub struct TargetSpeeds {
    is_in_force: bool,
    table: SpeedTable,
    baselines: IndexMap<Name, SpeedBaseline>,
    estimates: IndexMap<Name, SpeedEstimate>,
    refreshed_ms: Option<Millis>,
}

impl TargetSpeeds {
    /// Creates the speeds before any sample, not in force.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether speeds are measured and used. What is known is dropped with the use.
    pub fn set_in_force(&mut self, is_in_force: bool, directory: &Directory) {
        if self.is_in_force != is_in_force {
            *self = Self {
                is_in_force,
                ..Self::default()
            };
            self.update_targets(directory);
        }
    }

    /// Returns whether speeds are measured and used.
    pub fn is_in_force(&self) -> bool {
        self.is_in_force
    }

    /// Returns the samples' sums, to exchange them.
    pub fn table(&self) -> &SpeedTable {
        &self.table
    }

    /// Returns the samples' sums, to merge those of other nodes.
    pub fn table_mut(&mut self) -> &mut SpeedTable {
        &mut self.table
    }

    /// Updates the targets from the directory: samples of former incarnations no longer count.
    pub fn update_targets(&mut self, directory: &Directory) {
        if self.is_in_force {
            let listed = directory.targets().map(|(target, _)| target.incarnation());
            self.table.set_incarnations(listed);
        }
    }

    /// Records a sample of this node of a target that was `fill` (a part of its capacity)
    /// full.
    pub fn record(&mut self, now: Millis, target: &Target, fill: f64, sample: &SpeedSample) {
        if !self.is_in_force {
            return;
        }
        let incarnation = target.incarnation();
        let known_ln = self
            .estimate(&incarnation)
            .map_or(0.0, |estimate| estimate.centred_ln);
        let baseline = self.baselines.entry(target.service.clone()).or_default();
        let Some(ratio) = baseline.record(now, sample, fill, known_ln) else {
            return;
        };
        let is_busy = fill >= BUSY_FILL;
        self.table
            .record_own(now, &incarnation, is_busy, ratio.ln_ratio, ratio.weight);
    }

    /// Returns the estimate of an incarnation, if it has got samples.
    pub fn estimate(&self, incarnation: &Incarnation) -> Option<&SpeedEstimate> {
        let estimate = self.estimates.get(&incarnation.id)?;
        (estimate.run == run_hash(incarnation)).then_some(estimate)
    }

    /// Returns how many times as long as at a typical target of its service work takes at an
    /// incarnation that is less than half full: 1 is typical, 2 twice as slow.
    pub fn time_factor(&self, incarnation: &Incarnation) -> f64 {
        self.time_factor_at(incarnation, 0.0)
    }

    /// Returns the same for an incarnation that is `fill` (a part of its capacity) full.
    pub fn time_factor_at(&self, incarnation: &Incarnation, fill: f64) -> f64 {
        let estimate = self.estimate(incarnation);
        estimate.map_or(1.0, |estimate| estimate.ln_at(fill).exp())
    }

    /// Forms the estimates anew if it is time to; returns those that have changed much.
    pub fn refresh(&mut self, now: Millis, directory: &Directory) -> Vec<SpeedChange> {
        let is_due = self
            .refreshed_ms
            .is_none_or(|refreshed_ms| now.since(refreshed_ms) >= REFRESH_MS);
        if !self.is_in_force || !is_due {
            return Vec::new();
        }
        self.refreshed_ms = Some(now);
        self.table.drop_faded(now);
        let known = self.table.known(now);
        let mut services: IndexMap<&Name, Vec<(&Target, SpeedSums)>> = IndexMap::new();
        for (target, _) in directory.targets() {
            let sums = known.get(&target.id);
            let sums = sums.filter(|sums| sums.run == run_hash(&target.incarnation()));
            if let Some(sums) = sums {
                let of_service = services.entry(&target.service).or_default();
                of_service.push((target, *sums));
            }
        }
        let mut changes = Vec::new();
        let mut estimates = IndexMap::new();
        for targets in services.values() {
            let known = |target: &Target, sums: &SpeedSums| {
                let known = self.estimates.get(&target.id).copied();
                known.filter(|known| known.run == sums.run)
            };
            let means = targets.iter().filter_map(|(target, sums)| {
                let lasting = sums.lasting();
                let is_known = lasting.weight >= MIN_WEIGHT;
                is_known
                    .then(|| lasting.mean_ln())
                    .or_else(|| known(target, sums)?.mean_ln)
            });
            let centre_ln = median(means.collect());
            for (target, sums) in targets {
                let known = known(target, sums);
                let mut estimate = SpeedEstimate::form(now, known.as_ref(), sums, centre_ln);
                changes.extend(estimate.report(&target.id));
                estimates.insert(target.id.clone(), estimate);
            }
        }
        self.estimates = estimates;
        changes
    }
}

impl SpeedEstimate {
    fn form(now: Millis, known: Option<&Self>, sums: &SpeedSums, centre_ln: f64) -> Self {
        let lasting = sums.lasting();
        let fill_ln = fill_ln(now, known, sums);
        let is_known = lasting.weight >= MIN_WEIGHT;
        let calm_ln = match sums.calm.weight >= MIN_WEIGHT {
            true => beyond_band(sums.calm, centre_ln),
            false if !is_known => 0.0,
            // Busy samples show the target's speed and what its load adds.
            false => {
                let busy_part = sums.busy.weight / lasting.weight;
                beyond_band(lasting, centre_ln) - fill_ln.max(0.0) * busy_part
            }
        };
        let mean_ln = is_known.then(|| lasting.mean_ln());
        let centred_ln = mean_ln.map_or(0.0, |mean_ln| mean_ln - centre_ln);
        let known_ln = known.map_or(0.0, |known| known.calm_ln);
        let span_ms = known.map_or(REFRESH_MS, |known| now.since(known.refreshed_ms));
        let max_gain = MAX_GAIN_PER_SEC * span_ms.0 as f64 / 1_000.0;
        Self {
            run: sums.run,
            calm_ln: calm_ln.max(known_ln - max_gain),
            fill_ln,
            moment_ln: moment_ln(sums, centre_ln),
            weight: lasting.weight,
            mean_ln: mean_ln.or_else(|| known?.mean_ln),
            centred_ln,
            refreshed_ms: now,
            reported_ln: known.map_or(0.0, |known| known.reported_ln),
        }
    }

    /// Returns the logarithm of the time in relation to the typical one.
    fn ln_at(&self, fill: f64) -> f64 {
        // The load is known with a delay, so that a target may already be fuller.
        let busy_part = (fill / BUSY_FILL - 0.5).clamp(0.0, 0.5) * 2.0;
        self.calm_ln + self.fill_ln * busy_part + self.moment_ln
    }

    /// Returns the factor up to half full, or above.
    pub fn factor(&self, is_busy: bool) -> f64 {
        let fill = if is_busy { 1.0 } else { 0.0 };
        self.ln_at(fill).exp()
    }

    /// Returns the part of its capacity that a target takes well.
    pub fn good_fill(&self) -> f64 {
        if self.fill_ln > 0.0 { BUSY_FILL } else { 1.0 }
    }

    fn report(&mut self, target: &Name) -> Option<SpeedChange> {
        let lasting_ln = self.calm_ln + self.fill_ln;
        if (lasting_ln - self.reported_ln).abs() < REPORTED_CHANGE {
            return None;
        }
        let former_ln = std::mem::replace(&mut self.reported_ln, lasting_ln);
        Some(SpeedChange {
            target: target.clone(),
            estimate: *self,
            former_factor: former_ln.exp(),
        })
    }
}

/// Returns the median, of the middle two for an even number; 0 if there is none.
fn median(mut means: Vec<f64>) -> f64 {
    means.sort_unstable_by(f64::total_cmp);
    let upper = means.get(means.len() / 2).copied();
    let lower = means.get(means.len().saturating_sub(1) / 2).copied();
    upper
        .zip(lower)
        .map_or(0.0, |(upper, lower)| f64::midpoint(lower, upper))
}

/// Returns the mean of a sum beyond the dead band: 0 within it, all of it from twice its width on.
fn beyond_band(sum: RatioSum, centre_ln: f64) -> f64 {
    if sum.weight < MIN_WEIGHT {
        return 0.0;
    }
    let error = SAMPLE_DEVIATION / sum.weight.sqrt();
    let band = MIN_BAND.max(BAND_ERRORS * error);
    let ln = sum.mean_ln() - centre_ln;
    let beyond = (2.0 * (ln.abs() - band)).clamp(0.0, ln.abs());
    beyond.copysign(ln)
}

/// Returns what a target adds when it is fuller; what is known fades while it is not.
fn fill_ln(now: Millis, known: Option<&SpeedEstimate>, sums: &SpeedSums) -> f64 {
    let is_measured = sums.calm.weight >= MIN_WEIGHT && sums.busy.weight >= MIN_WEIGHT;
    if is_measured {
        let error = SAMPLE_DEVIATION * (1.0 / sums.calm.weight + 1.0 / sums.busy.weight).sqrt();
        let added = sums.busy.mean_ln() - sums.calm.mean_ln();
        let is_slowed = added > MIN_FILL_LN.max(BAND_ERRORS * error);
        return if is_slowed { added } else { 0.0 };
    }
    let Some(known) = known.filter(|_| sums.busy.weight < MIN_WEIGHT) else {
        return known.map_or(0.0, |known| known.fill_ln);
    };
    let age_ms = now.since(known.refreshed_ms).0 as f64;
    let faded = known.fill_ln * (-age_ms / FILL_HALF_LIFE_MS.0 as f64).exp2();
    if faded < MIN_FILL_LN / 2.0 {
        0.0
    } else {
        faded
    }
}

/// Returns what a target adds at the moment, if that is more than chance.
fn moment_ln(sums: &SpeedSums, centre_ln: f64) -> f64 {
    let moment = sums.moment;
    if moment.weight < MIN_MOMENT_WEIGHT {
        return 0.0;
    }
    let error = SAMPLE_DEVIATION / moment.weight.sqrt();
    let lasting = sums.lasting().mean_ln().max(centre_ln);
    let added = moment.mean_ln() - lasting;
    if added > MIN_MOMENT_LN.max(MOMENT_ERRORS * error) {
        added
    } else {
        0.0
    }
}
