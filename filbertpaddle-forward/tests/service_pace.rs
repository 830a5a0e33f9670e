//! Pace of targets as a node sees it, and admission at a stopping node by it, in simulated time.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::configuration::RequestKind;
use filbertpaddle_forward::configuration::Route;
use filbertpaddle_forward::drain;
use filbertpaddle_forward::drain::Drain;
use filbertpaddle_forward::migration::Migration;
use filbertpaddle_forward::migration::Step;
use filbertpaddle_forward::request_metadata::GenerationSize;
use filbertpaddle_forward::service_pace::Pace;
use filbertpaddle_forward::service_pace::PaceSample;
use filbertpaddle_forward::service_pace::ServicePace;
use filbertpaddle_forward::service_pace::StreamMeter;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const EVENT_TOKENS: u32 = 4;
const GRACE_MS: Millis = Millis(8_000);
/// Time after the start of a stop, of `GRACE_MS`, at which running streams are cut.
const CUT_MS: Millis = Millis(7_900);
/// Time of traffic before the node is stopped.
const LEAD_MS: u64 = 6_000;

fn route(gap_goal_ms: Option<u64>) -> Route {
    Route {
        name: "stream".into(),
        host: "host.example".into(),
        prefix: "/stream/".into(),
        kind: RequestKind::Stream,
        services: vec![("engine".into(), 1)],
        timeout_ms: Millis(39_000),
        latency_goal_ms: Millis(900),
        gap_goal_ms: gap_goal_ms.map(Millis),
        priority: 0,
        max_attempts: 2,
        is_public: false,
    }
}

fn stated() -> Pace {
    Pace::of_route(&route(Some(180)), EVENT_TOKENS)
}

/// Sound targets, whose times vary by some percent.
#[derive(Clone, Copy, Debug)]
struct Targets {
    first_event_ms: u64,
    event_ms: u64,
}

impl Targets {
    /// Returns the times of the events of a stream that is sent at `at`.
    fn events(self, rng: &mut StdRng, at: u64, tokens: u32) -> Vec<Millis> {
        let mut vary = |span: u64| span * rng.random_range(90..=110) / 100;
        let mut now = at + vary(self.first_event_ms);
        let mut times = vec![Millis(now)];
        for _ in 1..tokens.div_ceil(EVENT_TOKENS) {
            now += vary(self.event_ms);
            times.push(Millis(now));
        }
        times
    }
}

/// What became of the streams of a stopping node.
#[derive(Clone, Debug, Default)]
struct Outcome {
    cut: usize,
    /// Times after the start of the stop at which streams were admitted.
    admitted_at_ms: Vec<u64>,
}

/// Plays a node that gets a stream of `tokens` each 50 ms and is stopped after some seconds; its
/// callers go on using their open connections.
fn stop_node(seed: u64, targets: Targets, tokens: u32) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pace = ServicePace::new();
    let mut samples: Vec<(Millis, PaceSample)> = Vec::new();
    let mut outcome = Outcome::default();
    for at in (0..LEAD_MS + GRACE_MS.0).step_by(50) {
        let now = Millis(at);
        samples.sort_by_key(|(at_ms, _)| *at_ms);
        let due = samples.partition_point(|(at_ms, _)| *at_ms <= now);
        for (at_ms, sample) in samples.drain(..due) {
            pace.record(at_ms, sample);
        }
        let is_stopping = at >= LEAD_MS;
        if is_stopping && !admits(now, &pace, tokens) {
            continue;
        }
        let events = targets.events(&mut rng, at, tokens);
        if is_stopping {
            outcome.admitted_at_ms.push(at - LEAD_MS);
            let is_cut = *events.last().unwrap() > Millis(LEAD_MS) + CUT_MS;
            outcome.cut += usize::from(is_cut);
        }
        samples.extend(measure(now, &events));
    }
    outcome
}

fn admits(now: Millis, pace: &ServicePace, tokens: u32) -> bool {
    let stop = Drain {
        began_ms: Millis(LEAD_MS),
        grace_ms: GRACE_MS,
    };
    let size = GenerationSize {
        prompt_tokens: 500,
        max_output_tokens: tokens,
        output_estimate_tokens: None,
        prompt_parts: Vec::new(),
    };
    let planned = pace.planned(now, stated());
    stop.admits(now, drain::estimate_duration(&size, &planned))
}

/// Returns the samples that a stream gives, with their times.
fn measure(sent_ms: Millis, events: &[Millis]) -> Vec<(Millis, PaceSample)> {
    let mut meter = StreamMeter::new(sent_ms);
    let mut samples = Vec::new();
    for at in events {
        let sample = meter.record_event(*at, EVENT_TOKENS);
        samples.extend(sample.map(|sample| (*at, sample)));
    }
    let last = meter.last_sample(EVENT_TOKENS);
    samples.extend(last.map(|sample| (*events.last().unwrap(), sample)));
    samples
}

/// Streams were admitted by a fixed pace, and cut while sound targets were sending them.
#[test]
fn a_stopping_node_cuts_no_stream_whatever_the_pace_of_its_targets() {
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(1_000 + seed);
        let targets = Targets {
            first_event_ms: rng.random_range(50..1_500),
            event_ms: rng.random_range(10..400),
        };
        let tokens = rng.random_range(4..400);
        let outcome = stop_node(seed, targets, tokens);
        assert_eq!(outcome.cut, 0, "seed {seed}: {targets:?}, {tokens} tokens");
    }
}

/// A node that plans by the stated pauses alone would refuse this stream from the start.
#[test]
fn a_stopping_node_admits_what_its_quick_targets_complete_in_time() {
    let targets = Targets {
        first_event_ms: 100,
        event_ms: 20,
    };
    let outcome = stop_node(1, targets, 400);
    // 2.1 s, with a reserve of 0.8 s at the end.
    let last_ms = outcome.admitted_at_ms.last().copied();
    assert_eq!(outcome.cut, 0);
    assert!((4_500..5_200).contains(&last_ms.unwrap()), "{last_ms:?}");
}

/// Few slow streams among many quick ones are not what most take, but are to be expected.
#[test]
fn the_upper_quantile_is_planned_with() {
    let mut pace = ServicePace::new();
    let now = Millis(5_000);
    for number in 0..100 {
        let (first_event_ms, token_us) = if number % 10 == 0 {
            (Millis(2_000), 40_000)
        } else {
            (Millis(100), 5_000)
        };
        pace.record(now, PaceSample::FirstEvent(first_event_ms));
        pace.record(now, PaceSample::Token(token_us));
    }
    let planned = pace.planned(now, stated());
    assert_eq!(planned.first_event_ms, Millis(2_000));
    assert_eq!(planned.token_us, 40_000);
    assert_eq!(planned.total_ms(100), Millis(6_000));
    let typical = pace.typical(now, stated());
    assert_eq!(
        (typical.first_event_ms, typical.token_us),
        (Millis(100), 5_000)
    );
}

/// By a fixed pace, the copy of a generation that goes on for 2.4 s waited for its end for 0.9 s.
#[test]
fn a_generation_that_its_slow_target_does_not_end_soon_is_copied_at_once() {
    let mut pace = ServicePace::new();
    let now = Millis(5_000);
    (0..20).for_each(|_| pace.record(now, PaceSample::Token(40_000)));
    let planned = pace.planned(now, stated());
    let step_at = |tokens| {
        let mut migration = Migration::new();
        migration.schedule(now, planned.output_ms(tokens));
        migration.next_step(now)
    };
    assert_eq!(step_at(60), Step::Copy);
    assert!(matches!(step_at(20), Step::Wait(Some(_))));
}

#[test]
fn a_node_that_has_seen_too_little_plans_by_the_stated_pauses() {
    let mut pace = ServicePace::new();
    assert_eq!(pace.planned(Millis(0), stated()), stated());
    assert_eq!(
        (stated().first_event_ms, stated().token_us),
        (Millis(900), 45_000)
    );
    for _ in 0..3 {
        pace.record(Millis(0), PaceSample::Token(1_000));
    }
    assert_eq!(pace.planned(Millis(0), stated()), stated());
    for _ in 0..100 {
        pace.record(Millis(1_000), PaceSample::Token(1_000));
    }
    assert_eq!(pace.planned(Millis(2_000), stated()).token_us, 1_000);
    // The times to the first event have too few samples still.
    assert_eq!(
        pace.planned(Millis(2_000), stated()).first_event_ms,
        Millis(900)
    );
    assert_eq!(pace.planned(Millis(200_000), stated()), stated());
}

/// A route that states no longest gap allows one of its timeout.
#[test]
fn without_stated_pauses_a_young_node_admits_no_generation() {
    let stated = Pace::of_route(&route(None), EVENT_TOKENS);
    assert_eq!(stated.total_ms(4), Millis(900 + 39_000));
}

#[test]
fn the_newest_samples_replace_older_ones() {
    let mut pace = ServicePace::new();
    for at in 0..1_000 {
        pace.record(Millis(at), PaceSample::Token(90_000));
    }
    for at in 1_000..2_000 {
        pace.record(Millis(at), PaceSample::Token(10_000));
    }
    assert_eq!(pace.planned(Millis(2_000), stated()).token_us, 10_000);
}

#[test]
fn a_caller_that_reads_slowly_does_not_make_targets_look_slow() {
    let mut meter = StreamMeter::new(Millis(0));
    assert_eq!(
        meter.record_event(Millis(80), EVENT_TOKENS),
        Some(PaceSample::FirstEvent(Millis(80)))
    );
    meter.record_delivered(Millis(80), Millis(80));
    for event in 1..200 {
        let at = Millis(80 + event * 500);
        assert_eq!(meter.record_event(at, EVENT_TOKENS).is_some(), event == 4);
        // The caller holds the stream up from the fifth event on.
        let delay_ms = if event < 5 { 1 } else { 450 };
        meter.record_delivered(at, at + Millis(delay_ms));
    }
    assert_eq!(meter.last_sample(EVENT_TOKENS), None);
}
