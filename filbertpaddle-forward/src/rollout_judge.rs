//! Judgement of a new version by its answers, compared with those of the old version at the
//! same time. Load pattern: a roll-out under bursts, cuts of data centres and cold starts,
//! which both versions suffer alike.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use strum::IntoEnumIterator;

use crate::rollout_counts::Event;
use crate::rollout_counts::Place;
use crate::rollout_counts::Side;
use crate::rollout_counts::Totals;

/// Interval between judgements.
const JUDGE_INTERVAL_MS: Millis = Millis(200);

/// Interval between the kept counts, from which windows begin.
const SNAPSHOT_INTERVAL_MS: Millis = Millis(500);

/// Windows of time that are judged besides the whole roll-out, the longest last.
const WINDOWS_MS: [Millis; 2] = [Millis(4_000), Millis(10_000)];

/// Score from which a version is bad.
const BAD_SCORE: f64 = 10.0;

/// Score from which it may be bad.
const DOUBT_SCORE: f64 = 1.5;

/// Bad answers without which a version is not bad.
const BAD_ANSWERS: u32 = 4;

/// Bad answers without which there is no doubt.
const DOUBT_ANSWERS: u32 = 2;

/// Score that remains without the worst data centre, so that one failing site or target is no
/// verdict.
const OTHER_SITES_SCORE: f64 = 1.0;

/// Answers of a data centre's targets from which it counts as one of several.
const SITE_ANSWERS: u32 = 3;

/// Part of the answers that a bad version spoils at least, of those that would be good.
const SPOILT_SHARE: f64 = 0.2;

/// Smallest part of bad answers that is expected of any version.
const LEAST_BAD_SHARE: f64 = 0.01;

/// Largest part of bad answers of the old version at which versions can be told apart.
const MOST_BAD_SHARE: f64 = 0.7;

/// What is added to the old version's part of bad answers if it is not from the same time.
const EARLIER_MARGIN: f64 = 0.1;

/// Answers of the old version without which there is nothing to compare with.
const OLD_ANSWERS: u32 = 10;

/// Number of buckets, two for each doubling, by which a slow answer exceeds the usual time.
const SLOW_BUCKETS: u8 = 3;

/// What an answer is bad by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Measure {
    /// It failed.
    Failure,
    /// Its first event came several times later than is usual on the route.
    FirstEvent,
    /// Its tokens took several times longer than is usual on the route.
    TokenTime,
}

/// Answers of both sides that a verdict rests on.
#[derive(Clone, Debug, PartialEq)]
pub struct Evidence {
    /// What the answers are bad by.
    pub measure: Measure,
    /// Route; `None` for all together.
    pub route: Option<Name>,
    /// Logarithm of how much likelier the answers are from a bad version.
    pub score: f64,
    /// Answers of the new side.
    pub new: Sample,
    /// Answers of the old side.
    pub old: Sample,
}

/// Number of answers, and of the bad ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Answers.
    pub answers: u32,
    /// Bad ones among them.
    pub bad: u32,
}

/// Judgement of a new version.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Verdict {
    /// Nothing speaks against it.
    #[default]
    Open,
    /// It may be bad: it gets no larger share for now.
    Doubtful(Evidence),
    /// It is bad.
    Bad(Evidence),
}

/// Judge of one order's new version. A verdict that it is bad is final.
#[derive(Clone, Debug, Default)]
pub struct RolloutJudge {
    snapshots: VecDeque<Snapshot>,
    judged_at: Option<Millis>,
    verdict: Verdict,
}

/// Counts at an earlier time, in the order of their counters.
#[derive(Clone, Debug)]
struct Snapshot {
    at: Millis,
    counts: Vec<u32>,
}

impl RolloutJudge {
    /// Returns the last verdict.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// Returns whether the version is bad.
    pub fn is_bad(&self) -> bool {
        matches!(self.verdict, Verdict::Bad(_))
    }

    /// Judges by the counts since the order, unless that was done a moment ago.
    pub fn update(&mut self, now: Millis, totals: &Totals) {
        let is_recent = |at| now.since(at) < JUDGE_INTERVAL_MS;
        if self.is_bad() || self.judged_at.is_some_and(is_recent) {
            return;
        }
        self.judged_at = Some(now);
        self.verdict = self.judge(now, totals);
        self.keep_snapshot(now, totals);
    }

    fn judge(&self, now: Millis, totals: &Totals) -> Verdict {
        let start = |window_ms: &Millis| {
            let mut snapshots = self.snapshots.iter().rev();
            let start = snapshots.find(|snapshot| now.since(snapshot.at) >= *window_ms);
            start.map(|snapshot| snapshot.counts.as_slice())
        };
        let starts = WINDOWS_MS.iter().filter_map(start);
        let windows = starts.chain([[].as_slice()]);
        let worst = windows
            .filter_map(|before| judge_window(totals, before))
            .max_by(|a, b| a.score.total_cmp(&b.score));
        match worst {
            Some(evidence) if evidence.is_enough(BAD_SCORE, BAD_ANSWERS) => Verdict::Bad(evidence),
            Some(evidence) if evidence.is_enough(DOUBT_SCORE, DOUBT_ANSWERS) => {
                Verdict::Doubtful(evidence)
            }
            _ => Verdict::Open,
        }
    }

    fn keep_snapshot(&mut self, now: Millis, totals: &Totals) {
        let last = self.snapshots.back();
        if last.is_some_and(|last| now.since(last.at) < SNAPSHOT_INTERVAL_MS) {
            return;
        }
        self.snapshots.push_back(Snapshot {
            at: now,
            counts: totals.counts(),
        });
        let longest_ms = WINDOWS_MS[WINDOWS_MS.len() - 1] + SNAPSHOT_INTERVAL_MS;
        let is_old = |snapshot: &Snapshot| now.since(snapshot.at) > longest_ms;
        while self.snapshots.front().is_some_and(is_old) {
            self.snapshots.pop_front();
        }
    }
}

impl Evidence {
    fn is_enough(&self, score: f64, bad: u32) -> bool {
        self.score >= score && self.new.bad >= bad
    }
}

impl Sample {
    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.bad += other.bad;
    }

    /// Returns an upper estimate of the part of bad answers.
    fn bad_share_bound(self) -> f64 {
        let answers = f64::from(self.answers);
        let bad = f64::from(self.bad).min(answers);
        let share = (bad + 0.5) / (answers + 1.0);
        let deviation = (share * (1.0 - share) / answers.max(1.0)).sqrt();
        (share + deviation).max(LEAST_BAD_SHARE)
    }
}

/// Answers of both sides by one measure, by the numbers of routes and data centres.
struct Comparison {
    data_centres: usize,
    new: Vec<Sample>,
    old: Vec<Sample>,
    old_by_route: Vec<Sample>,
    /// Answers of the old side since the order.
    all_old_by_route: Vec<Sample>,
}

/// Scores by data centre, with the answers that they rest on.
struct Score {
    by_site: Vec<(f64, Sample)>,
    old: Sample,
}

/// Returns the evidence with the highest score in the window that began with the counts `before`.
fn judge_window(totals: &Totals, before: &[u32]) -> Option<Evidence> {
    let evidence = Measure::iter().flat_map(|measure| {
        let usual = usual_buckets(measure, totals, before);
        let comparison = Comparison::new(measure, totals, before, &usual);
        comparison.evidence(measure, totals)
    });
    evidence.max_by(|a, b| a.score.total_cmp(&b.score))
}

/// Returns the counters with their counts in the window, and since the order.
fn in_window<'a>(
    totals: &'a Totals,
    before: &'a [u32],
) -> impl Iterator<Item = (Side, Event, Place, u32, u32)> {
    let before = before.iter().copied().chain(std::iter::repeat(0));
    let counters = totals.iter().zip(before);
    counters.map(|((counter, place, count), before)| {
        let within = count.saturating_sub(before);
        (counter.side, counter.event, place, within, count)
    })
}

impl Comparison {
    fn new(measure: Measure, totals: &Totals, before: &[u32], usual: &[Option<u8>]) -> Self {
        let routes = totals.routes().len();
        let data_centres = totals.data_centres();
        let mut comparison = Self {
            data_centres,
            new: vec![Sample::default(); routes * data_centres],
            old: vec![Sample::default(); routes * data_centres],
            old_by_route: vec![Sample::default(); routes],
            all_old_by_route: vec![Sample::default(); routes],
        };
        for (side, event, place, within, count) in in_window(totals, before) {
            let sample = |count| sample(measure, event, count, usual[place.route]);
            let Some(recent) = sample(within) else {
                continue;
            };
            let index = comparison.index(place.route, place.data_centre);
            if side == Side::New {
                comparison.new[index].add(recent);
                continue;
            }
            comparison.old[index].add(recent);
            comparison.old_by_route[place.route].add(recent);
            comparison.all_old_by_route[place.route].add(sample(count).unwrap_or_default());
        }
        comparison
    }

    fn index(&self, route: usize, data_centre: usize) -> usize {
        route * self.data_centres + data_centre
    }

    /// Returns the evidence of each route, and of all together.
    fn evidence(&self, measure: Measure, totals: &Totals) -> Vec<Evidence> {
        let mut all = Score::new(self.data_centres);
        let mut evidence = Vec::new();
        for (route, name) in totals.routes().iter().enumerate() {
            let score = self.score(route);
            all.add(&score);
            evidence.extend(score.evidence(measure, Some(name)));
        }
        evidence.extend(all.evidence(measure, None));
        evidence
    }

    fn score(&self, route: usize) -> Score {
        let mut of_route = Score::new(self.data_centres);
        of_route.old = self.old_by_route[route];
        for site in 0..self.data_centres {
            let new = self.new[self.index(route, site)];
            if new.answers > 0
                && let Some(expected) = self.expected(route, site)
            {
                of_route.by_site[site] = (score(new, expected), new);
            }
        }
        of_route
    }

    /// Returns the part of bad answers that the old version leads to expect, if it has answered.
    fn expected(&self, route: usize, site: usize) -> Option<f64> {
        let bound = |sample: Sample| {
            let is_enough = sample.answers >= OLD_ANSWERS;
            is_enough.then(|| sample.bad_share_bound())
        };
        let since_order = bound(self.all_old_by_route[route])?;
        let Some(recent) = bound(self.old_by_route[route]) else {
            return Some(since_order + EARLIER_MARGIN);
        };
        let of_site = bound(self.old[self.index(route, site)]).unwrap_or_default();
        Some(since_order.max(recent).max(of_site))
    }
}

impl Score {
    fn new(data_centres: usize) -> Self {
        Self {
            by_site: vec![(0.0, Sample::default()); data_centres],
            old: Sample::default(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.old.add(other.old);
        for ((sum, new), (score, sample)) in self.by_site.iter_mut().zip(&other.by_site) {
            *sum += score;
            new.add(*sample);
        }
    }

    fn evidence(&self, measure: Measure, route: Option<&Name>) -> Option<Evidence> {
        let total: f64 = self.by_site.iter().map(|(score, _)| score).sum();
        let counted = self.by_site.iter();
        let counted = counted.filter(|(_, sample)| sample.answers >= SITE_ANSWERS);
        let worst = counted.clone().map(|(score, _)| *score).fold(0.0, f64::max);
        if counted.count() > 1 && total - worst < OTHER_SITES_SCORE {
            return None;
        }
        let mut new = Sample::default();
        for (_, sample) in &self.by_site {
            new.add(*sample);
        }
        Some(Evidence {
            measure,
            route: route.cloned(),
            score: total,
            new,
            old: self.old,
        })
    }
}

/// Returns how much likelier the answers are from a bad version than from one of which the
/// `expected` part of answers is bad, as a logarithm.
fn score(new: Sample, expected: f64) -> f64 {
    if expected > MOST_BAD_SHARE {
        return 0.0;
    }
    let spoilt = expected + SPOILT_SHARE * (1.0 - expected);
    let good = f64::from(new.answers.saturating_sub(new.bad));
    let bad = f64::from(new.bad);
    bad * (spoilt / expected).ln() + good * ((1.0 - spoilt) / (1.0 - expected)).ln()
}

/// Returns what the count of an event adds to the answers compared by a measure; `usual` is the
/// bucket of the route's usual time.
fn sample(measure: Measure, event: Event, count: u32, usual: Option<u8>) -> Option<Sample> {
    let (answers, bad) = match (measure, event) {
        (Measure::Failure, Event::Failed) => (count, count),
        (Measure::Failure, Event::Began) => (count, 0),
        (Measure::Failure, Event::Broken) => (0, count),
        _ => {
            let is_slow = time_bucket(measure, event)? >= usual? + SLOW_BUCKETS;
            (count, if is_slow { count } else { 0 })
        }
    };
    Some(Sample { answers, bad })
}

fn time_bucket(measure: Measure, event: Event) -> Option<u8> {
    match (measure, event) {
        (Measure::FirstEvent, Event::First(bucket)) => Some(bucket),
        (Measure::TokenTime, Event::Token(bucket)) => Some(bucket),
        _ => None,
    }
}

/// Returns the bucket of the old version's usual time by route: the median within the window,
/// or since the order if the window has too few answers.
fn usual_buckets(measure: Measure, totals: &Totals, before: &[u32]) -> Vec<Option<u8>> {
    let mut recent = vec![Vec::new(); totals.routes().len()];
    let mut all = recent.clone();
    for (side, event, place, within, count) in in_window(totals, before) {
        if side == Side::Old
            && let Some(bucket) = time_bucket(measure, event)
        {
            recent[place.route].push((bucket, within));
            all[place.route].push((bucket, count));
        }
    }
    let by_route = recent.into_iter().zip(all);
    by_route
        .map(|(recent, all)| median(recent).or_else(|| median(all)))
        .collect()
}

/// Returns the median, or `None` if there are too few times.
fn median(mut times: Vec<(u8, u32)>) -> Option<u8> {
    times.sort_unstable();
    let answers: u32 = times.iter().map(|(_, count)| count).sum();
    if answers < OLD_ANSWERS {
        return None;
    }
    let mut below = 0;
    times
        .into_iter()
        .find(|(_, count)| {
            below += count;
            below * 2 >= answers
        })
        .map(|(bucket, _)| bucket)
}
