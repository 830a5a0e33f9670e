//! Samples of the targets' speed, as sums that nodes exchange.
//!
//! Load pattern: dozens of nodes share the targets of a service, and each sends to one of them
//! once in many seconds. No node alone sees enough to follow a change within seconds. Sums fade
//! with their age, and each node's replace its former ones, so that a message that comes twice
//! changes nothing.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::target::Incarnation;

/// Time in which a sample loses half its weight in the sums of the lasting speed.
const LASTING_HALF_LIFE_MS: Millis = Millis::from_secs(3);
/// The same for the speed of the moment, by which a change is found within two seconds.
const MOMENT_HALF_LIFE_MS: Millis = Millis(700);
/// Weight below which a sum is dropped.
const MIN_WEIGHT: f64 = 0.125;
/// Largest weight of a sum that is sent.
const MAX_SENT_WEIGHT: f64 = 4_000.0;
/// Steps of a sent weight and of a sent logarithm.
const WEIGHT_STEPS: f64 = 8.0;
const LN_STEPS: f64 = 256.0;
/// Weight of the assumption that a target is typical.
const PRIOR_WEIGHT: f64 = 2.0;
/// Change of a mean, as a logarithm, from which an entry is sent again.
const MIN_SENT_CHANGE: f64 = 0.03;
/// Part of the weight that an entry must have gained since it was sent to be sent again.
const MIN_SENT_GAIN: f64 = 0.3;
/// Age of an entry without a change from which it is sent again, while it gets samples.
const RESEND_MS: Millis = Millis::from_secs(2);

/// Weighted sum of logarithms of the ratio of a time to the typical one.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RatioSum {
    /// Sum of the weights.
    pub weight: f64,
    /// Sum of the weighted logarithms.
    pub ln_sum: f64,
}

impl RatioSum {
    /// Returns the weighted mean of the logarithms, drawn to 0 where there are few samples.
    pub fn mean_ln(&self) -> f64 {
        self.ln_sum / (self.weight + PRIOR_WEIGHT)
    }

    /// Adds another sum to this one.
    pub fn add(&mut self, other: &Self) {
        self.weight += other.weight;
        self.ln_sum += other.ln_sum;
    }

    fn fade(&mut self, factor: f64) {
        self.weight *= factor;
        self.ln_sum *= factor;
    }

    fn to_sent(self) -> (u16, i16) {
        let weight = self.weight.min(MAX_SENT_WEIGHT);
        let mean = self.ln_sum / self.weight.max(MIN_WEIGHT);
        let steps = (weight * WEIGHT_STEPS).round() as u16;
        (steps, (mean * LN_STEPS).round() as i16)
    }

    fn from_sent((weight, mean): (u16, i16)) -> Self {
        let weight = f64::from(weight) / WEIGHT_STEPS;
        Self {
            weight,
            ln_sum: weight * f64::from(mean) / LN_STEPS,
        }
    }
}

/// Samples of one incarnation of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SpeedSums {
    /// Hash of the incarnation.
    pub run: u32,
    /// Time to which the sums have faded.
    pub at_ms: Millis,
    /// Samples of the last moments.
    pub moment: RatioSum,
    /// Samples taken while the target was less than half full.
    pub calm: RatioSum,
    /// Samples taken while it was fuller.
    pub busy: RatioSum,
}

impl SpeedSums {
    /// Creates the sums of an incarnation without samples.
    pub fn new(run: u32, now: Millis) -> Self {
        Self {
            run,
            at_ms: now,
            ..Self::default()
        }
    }

    /// Returns the sums as of `now`.
    #[must_use]
    pub fn faded(mut self, now: Millis) -> Self {
        let age_ms = now.since(self.at_ms);
        self.moment.fade(fade_factor(age_ms, MOMENT_HALF_LIFE_MS));
        let factor = fade_factor(age_ms, LASTING_HALF_LIFE_MS);
        self.calm.fade(factor);
        self.busy.fade(factor);
        self.at_ms = self.at_ms.max(now);
        self
    }

    /// Adds a sample to the sums.
    pub fn record(&mut self, now: Millis, is_busy: bool, ln_ratio: f64, weight: f64) {
        *self = self.faded(now);
        let sample = RatioSum {
            weight,
            ln_sum: weight * ln_ratio,
        };
        self.moment.add(&sample);
        if is_busy {
            self.busy.add(&sample);
        } else {
            self.calm.add(&sample);
        }
    }

    /// Returns the samples of the lasting speed, at any load.
    pub fn lasting(&self) -> RatioSum {
        let mut sum = self.calm;
        sum.add(&self.busy);
        sum
    }

    fn add(&mut self, other: &Self) {
        self.moment.add(&other.moment);
        self.calm.add(&other.calm);
        self.busy.add(&other.busy);
    }

    fn is_empty(&self) -> bool {
        self.lasting().weight < MIN_WEIGHT
    }
}

/// Sums by target ID.
pub type SpeedByTarget = IndexMap<Name, SpeedSums>;

/// Sums of one target as they are sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentSpeed(
    /// ID of the target.
    pub Name,
    /// Hash of the incarnation.
    pub u32,
    /// Age of the sums, in milliseconds.
    pub u32,
    /// Number that rises with each entry that a node sends for a target.
    pub u64,
    /// Sums of the moment, of calm and of busy times: weight and mean, in steps.
    pub [(u16, i16); 3],
);

/// Sums that nodes have reported, with the number of each entry.
type Reported = IndexMap<Name, (u64, SpeedSums)>;

/// Sums of this node, of its group's members and of the groups of other readers.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    own: SpeedByTarget,
    members: IndexMap<Name, Reported>,
    groups: IndexMap<Name, Reported>,
    followed: Reported,
    /// Hashes of the listed incarnations.
    runs: IndexMap<Name, u32>,
}

/// Part of the sums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedPart {
    /// Those of this node.
    Own,
    /// Those of this node and its group's members.
    Group,
    /// All.
    Total,
}

impl SpeedTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the listed incarnations, by target. Sums of others do not count.
    pub fn set_incarnations<I>(&mut self, incarnations: I)
    where
        I: Iterator<Item = Incarnation>,
    {
        let runs = incarnations.map(|incarnation| (incarnation.id.clone(), run_hash(&incarnation)));
        self.runs = runs.collect();
    }

    /// Records a sample of this node.
    pub fn record_own(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        is_busy: bool,
        ln_ratio: f64,
        weight: f64,
    ) {
        let run = run_hash(incarnation);
        let new = || SpeedSums::new(run, now);
        let sums = self.own.entry(incarnation.id.clone()).or_insert_with(new);
        if sums.run != run {
            *sums = new();
        }
        sums.record(now, is_busy, ln_ratio, weight);
    }

    /// Merges what a member of this node's group has sent.
    pub fn update_member(&mut self, now: Millis, node: &Name, sent: &[SentSpeed]) {
        merge(self.members.entry(node.clone()).or_default(), now, sent);
    }

    /// Merges what the reader of another group has sent.
    pub fn update_group(&mut self, now: Millis, reader: &Name, sent: &[SentSpeed]) {
        merge(self.groups.entry(reader.clone()).or_default(), now, sent);
    }

    /// Merges what the followed node has sent: the sums of all nodes.
    pub fn update_followed(&mut self, now: Millis, sent: &[SentSpeed]) {
        merge(&mut self.followed, now, sent);
    }

    /// Removes the sums of a member whose link is closed.
    pub fn remove_member(&mut self, node: &str) {
        self.members.shift_remove(node);
    }

    /// Removes the sums of a group whose reader's link is closed.
    pub fn remove_group(&mut self, reader: &str) {
        self.groups.shift_remove(reader);
    }

    /// Removes the sums of all groups but this node's own.
    pub fn clear_groups(&mut self) {
        self.groups.clear();
    }

    /// Removes the sums that the formerly followed node has sent.
    pub fn clear_followed(&mut self) {
        self.followed.clear();
    }

    /// Drops sums that have faded.
    pub fn drop_faded(&mut self, now: Millis) {
        self.own.retain(|_, sums| !sums.faded(now).is_empty());
        let reported = self.members.values_mut().chain(self.groups.values_mut());
        for reported in reported.chain(std::iter::once(&mut self.followed)) {
            reported.retain(|_, (_, sums)| !sums.faded(now).is_empty());
        }
    }

    /// Returns a part of the sums of the listed incarnations as of `now`.
    pub fn part(&self, now: Millis, part: SpeedPart) -> SpeedByTarget {
        let mut total = SpeedByTarget::new();
        self.own
            .iter()
            .for_each(|(id, sums)| self.add(&mut total, now, id, sums));
        if part == SpeedPart::Own {
            return total;
        }
        self.add_reported(&mut total, now, self.members.values());
        if part == SpeedPart::Total {
            self.add_reported(&mut total, now, self.groups.values());
        }
        total
    }

    /// Returns the sums of all nodes, as far as this node has received them.
    ///
    /// What the followed node has sent contains this node's own sums already.
    pub fn known(&self, now: Millis) -> SpeedByTarget {
        if self.followed.is_empty() {
            return self.part(now, SpeedPart::Total);
        }
        let mut known = SpeedByTarget::new();
        self.add_reported(&mut known, now, std::iter::once(&self.followed));
        for (id, own) in &self.own {
            // Not yet part of what the followed node has sent.
            if !known.contains_key(id) {
                self.add(&mut known, now, id, own);
            }
        }
        known
    }

    fn add_reported<'a, I>(&self, total: &mut SpeedByTarget, now: Millis, reported: I)
    where
        I: Iterator<Item = &'a Reported>,
    {
        for (id, (_, sums)) in reported.flatten() {
            self.add(total, now, id, sums);
        }
    }

    /// Adds sums to those of a target, if they are of its listed incarnation.
    fn add(&self, total: &mut SpeedByTarget, now: Millis, id: &Name, sums: &SpeedSums) {
        if self.runs.get(id) != Some(&sums.run) {
            return;
        }
        let sums = sums.faded(now);
        match total.get_mut(id) {
            Some(known) => known.add(&sums),
            None => drop(total.insert(id.clone(), sums)),
        }
    }
}

/// Entries that were sent on one link.
#[derive(Clone, Debug, Default)]
pub struct SentSpeeds(SpeedByTarget);

impl SentSpeeds {
    /// Returns the `max` entries of `current` that have changed most since they were sent, and
    /// records them as sent.
    pub fn take_changed(
        &mut self,
        now: Millis,
        current: &SpeedByTarget,
        max: usize,
    ) -> Vec<SentSpeed> {
        self.0.retain(|_, sums| !sums.faded(now).is_empty());
        let mut changed: Vec<_> = current
            .iter()
            .filter(|(_, sums)| !sums.is_empty())
            .filter_map(|(id, sums)| Some((self.urgency(now, id, sums)?, id, sums)))
            .collect();
        changed.sort_by(|(a, ..), (b, ..)| b.total_cmp(a));
        changed.truncate(max);
        for (_, id, sums) in &changed {
            self.0.insert((*id).clone(), **sums);
        }
        let sent = changed.into_iter();
        sent.map(|(_, id, sums)| to_sent(now, id, sums)).collect()
    }

    /// Returns how much an entry differs from what the other node has of it, if it is to be sent.
    fn urgency(&self, now: Millis, id: &Name, sums: &SpeedSums) -> Option<f64> {
        let Some(sent) = self.0.get(id).filter(|sent| sent.run == sums.run) else {
            return Some(sums.lasting().mean_ln().abs() + MIN_SENT_CHANGE);
        };
        let faded = sent.faded(now);
        let change = |a: &RatioSum, b: &RatioSum| (a.mean_ln() - b.mean_ln()).abs();
        let greatest = change(&faded.moment, &sums.moment)
            .max(change(&faded.calm, &sums.calm))
            .max(change(&faded.busy, &sums.busy));
        let gain = sums.lasting().weight - faded.lasting().weight;
        let is_gained = gain > MIN_SENT_GAIN * sums.lasting().weight;
        let is_old = gain > MIN_WEIGHT && now.since(sent.at_ms) >= RESEND_MS;
        let is_due = greatest >= MIN_SENT_CHANGE || is_gained || is_old;
        is_due.then_some(greatest)
    }
}

/// Returns the hash that distinguishes the incarnations of a target.
pub fn run_hash(incarnation: &Incarnation) -> u32 {
    let started = incarnation.started_ms.map_or(0, |at| at.0 + 1);
    xxh3_64_with_seed(incarnation.address.as_bytes(), started) as u32
}

fn to_sent(now: Millis, id: &Name, sums: &SpeedSums) -> SentSpeed {
    let parts = [sums.moment, sums.calm, sums.busy];
    let age_ms = u32::try_from(now.since(sums.at_ms).0).unwrap_or(u32::MAX);
    SentSpeed(
        id.clone(),
        sums.run,
        age_ms,
        now.0,
        parts.map(RatioSum::to_sent),
    )
}

fn merge(reported: &mut Reported, now: Millis, sent: &[SentSpeed]) {
    for SentSpeed(id, run, age_ms, number, parts) in sent {
        let is_late = reported.get(id).is_some_and(|(known, _)| known >= number);
        if is_late {
            continue;
        }
        let [moment, calm, busy] = parts.map(RatioSum::from_sent);
        let sums = SpeedSums {
            run: *run,
            at_ms: Millis(now.0.saturating_sub(u64::from(*age_ms))),
            moment,
            calm,
            busy,
        };
        reported.insert(id.clone(), (*number, sums));
    }
}

fn fade_factor(age_ms: Millis, half_life_ms: Millis) -> f64 {
    (-(age_ms.0 as f64) / half_life_ms.0 as f64).exp2()
}
