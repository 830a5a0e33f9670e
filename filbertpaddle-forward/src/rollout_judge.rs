//! Judgement of a new version by its answers, compared with those of the old version at the
//! same time. Load pattern: a roll-out under bursts, cuts of data centres and cold starts,
//! which both versions suffer alike.

use std::collections::VecDeque;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use strum::IntoEnumIterator;

use crate::rollout_counts::Counter;
use crate::rollout_counts::Counts;
use crate::rollout_counts::Event;
use crate::rollout_counts::Side;

/// Interval between judgements.
const JUDGE_INTERVAL_MS: Millis = Millis(200);

/// Interval between the kept counts, from which windows begin.
const SNAPSHOT_INTERVAL_MS: Millis = Millis(500);

/// Windows of time that are judged besides the whole roll-out, the longest last.
const WINDOWS_MS: [Millis; 2] = [Millis(4_000), Millis(10_000)];

/// Score from which a version is bad.
const BAD_SCORE: f64 = 10.0;

/// Score from which it may be bad.
const DOUBT_SCORE: f64 = 3.0;

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
    snapshots: VecDeque<(Millis, Counts)>,
    judged_at: Option<Millis>,
    verdict: Verdict,
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
    pub fn update(&mut self, now: Millis, totals: &Counts) {
        let is_recent = |at| now.since(at) < JUDGE_INTERVAL_MS;
        if self.is_bad() || self.judged_at.is_some_and(is_recent) {
            return;
        }
        self.judged_at = Some(now);
        self.verdict = self.judge(now, totals);
        self.keep_snapshot(now, totals);
    }

    fn judge(&self, now: Millis, totals: &Counts) -> Verdict {
        let since = |window_ms: &Millis| {
            let mut snapshots = self.snapshots.iter().rev();
            let earlier = snapshots.find(|(at, _)| now.since(*at) >= *window_ms);
            earlier.map(|(_, counts)| difference(totals, counts))
        };
        let mut worst = judge_window(totals, totals);
        for window in WINDOWS_MS.iter().filter_map(since) {
            let evidence = judge_window(&window, totals);
            let is_worse = |evidence: &Evidence| {
                let known = worst.as_ref().map_or(0.0, |worst| worst.score);
                evidence.score > known
            };
            if let Some(evidence) = evidence.filter(is_worse) {
                worst = Some(evidence);
            }
        }
        match worst {
            Some(evidence) if evidence.is_enough(BAD_SCORE, BAD_ANSWERS) => Verdict::Bad(evidence),
            Some(evidence) if evidence.is_enough(DOUBT_SCORE, DOUBT_ANSWERS) => {
                Verdict::Doubtful(evidence)
            }
            _ => Verdict::Open,
        }
    }

    fn keep_snapshot(&mut self, now: Millis, totals: &Counts) {
        let last = self.snapshots.back();
        if last.is_some_and(|(at, _)| now.since(*at) < SNAPSHOT_INTERVAL_MS) {
            return;
        }
        self.snapshots.push_back((now, totals.clone()));
        let longest_ms = WINDOWS_MS[WINDOWS_MS.len() - 1] + SNAPSHOT_INTERVAL_MS;
        let is_old = |(at, _): &(Millis, Counts)| now.since(*at) > longest_ms;
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
        let share = (f64::from(self.bad) + 0.5) / (answers + 1.0);
        let deviation = (share * (1.0 - share) / answers.max(1.0)).sqrt();
        (share + deviation).max(LEAST_BAD_SHARE)
    }
}

/// Answers of both sides, by route and data centre.
#[derive(Default)]
struct Comparison<'a> {
    new: IndexMap<(&'a Name, &'a Name), Sample>,
    old: IndexMap<(&'a Name, &'a Name), Sample>,
    old_by_route: IndexMap<&'a Name, Sample>,
    /// Answers of the old side before the window, for routes without any within it.
    earlier_by_route: IndexMap<&'a Name, Sample>,
}

/// Scores by data centre, with what they rest on.
#[derive(Default)]
struct Score<'a> {
    by_site: IndexMap<&'a Name, (f64, Sample)>,
    old: Sample,
}

/// Returns the evidence with the highest score in a window; `all` are the counts since the order.
fn judge_window(window: &Counts, all: &Counts) -> Option<Evidence> {
    let evidence = Measure::iter().flat_map(|measure| {
        let usual = usual_buckets(measure, window, all);
        let comparison = Comparison::new(measure, window, all, &usual);
        comparison.evidence(measure)
    });
    evidence.max_by(|a, b| a.score.total_cmp(&b.score))
}

impl<'a> Comparison<'a> {
    fn new(
        measure: Measure,
        window: &'a Counts,
        all: &'a Counts,
        usual: &IndexMap<Name, u8>,
    ) -> Self {
        let mut comparison = Self::default();
        for (counter, count) in window {
            let Some(sample) = sample(measure, counter, *count, usual) else {
                continue;
            };
            let place = (&counter.route, &counter.data_centre);
            if counter.side == Side::New {
                comparison.new.entry(place).or_default().add(sample);
                continue;
            }
            let by_route = &mut comparison.old_by_route;
            by_route.entry(&counter.route).or_default().add(sample);
            comparison.old.entry(place).or_default().add(sample);
        }
        for (counter, count) in all.iter().filter(|(counter, _)| counter.side == Side::Old) {
            if let Some(sample) = sample(measure, counter, *count, usual) {
                let by_route = &mut comparison.earlier_by_route;
                by_route.entry(&counter.route).or_default().add(sample);
            }
        }
        comparison
    }

    /// Returns the evidence of each route, and of all together.
    fn evidence(&self, measure: Measure) -> Vec<Evidence> {
        let mut all = Score::default();
        let mut by_route: IndexMap<&Name, Score<'_>> = IndexMap::new();
        for ((route, site), new) in &self.new {
            let Some((expected, old)) = self.expected(route, site) else {
                continue;
            };
            let score = score(*new, expected);
            let of_route = by_route.entry(*route).or_default();
            of_route.add(site, score, *new);
            of_route.old = old;
            all.add(site, score, *new);
        }
        for score in by_route.values() {
            all.old.add(score.old);
        }
        let routes = by_route.iter();
        let routes = routes.filter_map(|(route, score)| score.evidence(measure, Some(route)));
        routes.chain(all.evidence(measure, None)).collect()
    }

    /// Returns the part of bad answers that the old version leads to expect, and its answers.
    fn expected(&self, route: &Name, site: &Name) -> Option<(f64, Sample)> {
        let enough = |sample: &&Sample| sample.answers >= OLD_ANSWERS;
        if let Some(old) = self.old_by_route.get(route).filter(enough) {
            let of_site = self.old.get(&(route, site)).filter(enough);
            let of_site = of_site.map_or(0.0, |sample| sample.bad_share_bound());
            return Some((old.bad_share_bound().max(of_site), *old));
        }
        let old = self.earlier_by_route.get(route).filter(enough)?;
        Some((old.bad_share_bound() + EARLIER_MARGIN, *old))
    }
}

impl<'a> Score<'a> {
    fn add(&mut self, site: &'a Name, score: f64, new: Sample) {
        let (sum, sample) = self.by_site.entry(site).or_default();
        *sum += score;
        sample.add(new);
    }

    fn evidence(&self, measure: Measure, route: Option<&Name>) -> Option<Evidence> {
        let total: f64 = self.by_site.values().map(|(score, _)| score).sum();
        let counted = self.by_site.values();
        let counted = counted.filter(|(_, sample)| sample.answers >= SITE_ANSWERS);
        let scores: Vec<f64> = counted.map(|(score, _)| *score).collect();
        let worst = scores.iter().copied().fold(0.0, f64::max);
        if scores.len() > 1 && total - worst < OTHER_SITES_SCORE {
            return None;
        }
        let mut new = Sample::default();
        for (_, sample) in self.by_site.values() {
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
    let good = f64::from(new.answers - new.bad);
    let bad = f64::from(new.bad);
    bad * (spoilt / expected).ln() + good * ((1.0 - spoilt) / (1.0 - expected)).ln()
}

/// Returns what a counter adds to the answers compared by a measure.
fn sample(
    measure: Measure,
    counter: &Counter,
    count: u32,
    usual: &IndexMap<Name, u8>,
) -> Option<Sample> {
    let is_bad = match (measure, counter.event) {
        (Measure::Failure, Event::Failed) => true,
        (Measure::Failure, Event::Served) => false,
        _ => time_bucket(measure, counter.event)? >= usual.get(&counter.route)? + SLOW_BUCKETS,
    };
    let bad = if is_bad { count } else { 0 };
    Some(Sample {
        answers: count,
        bad,
    })
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
fn usual_buckets(measure: Measure, window: &Counts, all: &Counts) -> IndexMap<Name, u8> {
    let mut usual = medians(measure, all);
    usual.extend(medians(measure, window));
    usual
}

fn medians(measure: Measure, counts: &Counts) -> IndexMap<Name, u8> {
    let mut times: IndexMap<&Name, Vec<(u8, u32)>> = IndexMap::new();
    let old = counts
        .iter()
        .filter(|(counter, _)| counter.side == Side::Old);
    for (counter, count) in old {
        if let Some(bucket) = time_bucket(measure, counter.event) {
            let of_route = times.entry(&counter.route).or_default();
            of_route.push((bucket, *count));
        }
    }
    let medians = times.into_iter();
    medians
        .filter_map(|(route, times)| Some((route.clone(), median(times)?)))
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

fn difference(totals: &Counts, earlier: &Counts) -> Counts {
    let changed = totals.iter().filter_map(|(counter, count)| {
        let before = earlier.get(counter).copied().unwrap_or_default();
        (*count > before).then(|| (counter.clone(), count - before))
    });
    changed.collect()
}
