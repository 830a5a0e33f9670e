//! Request rates that targets state: nodes together keep to them, and learn of them and of
//! their ends.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::stated_rate::RateStatement;
use filbertpaddle_forward::stated_rate::StatedRates;
use filbertpaddle_forward::target::Incarnation;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Window, factor and slack of the bound that the users' deployments state.
const WINDOW_MS: Millis = Millis::from_secs(4);
const RATE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;
/// Number of statements that are passed on at a time.
const MAX: usize = 5;

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        id: "a".into(),
        address: "a.test:1".into(),
        started_ms: Some(Millis(started_ms)),
    }
}

fn statement(per_sec: f64, at_ms: u64) -> RateStatement {
    RateStatement {
        incarnation: incarnation(1),
        per_sec,
        at_ms: Millis(at_ms),
    }
}

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|node| format!("n{node}").into()).collect()
}

/// Returns the largest number of times in any window.
fn most_in_window(times: &[Millis]) -> usize {
    let in_window = |(index, from): (usize, &Millis)| {
        let later = times[index..].iter();
        later.take_while(|at| at.since(*from) < WINDOW_MS).count()
    };
    times
        .iter()
        .enumerate()
        .map(in_window)
        .max()
        .unwrap_or_default()
}

/// Requests wanted by one node in a millisecond; 1 means that all it has had since are wanted.
#[derive(Clone, Copy, Debug)]
struct Load {
    quiet_ms: u64,
    wanted_per_ms: f64,
}

/// Plays load at nodes that all know the rate; returns when requests were sent.
fn play(per_sec: f64, nodes: usize, load: Load, seed: u64) -> Vec<Millis> {
    let mut rng = StdRng::seed_from_u64(seed);
    let names = names(nodes);
    let target = incarnation(1);
    let mut rates = vec![StatedRates::new(); nodes];
    for rates in &mut rates {
        rates.record_stated(&statement(per_sec, 0));
    }
    let mut sent = Vec::new();
    for now in (load.quiet_ms..load.quiet_ms + 9_000).map(Millis) {
        for (node, rates) in rates.iter_mut().enumerate() {
            if !rng.random_bool(load.wanted_per_ms) {
                continue;
            }
            if rates.has_capacity(now, &target, &names[node], &names) {
                rates.record_sent(now, &target, &names[node], &names);
                rates.record_stated(&statement(per_sec, now.0));
                sent.push(now);
            }
        }
    }
    sent
}

/// The nearest nodes alone want several times the rate, all nodes more than a hundred times.
#[test]
fn all_nodes_together_respect_a_stated_rate() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(1_000 + seed);
        let per_sec = rng.random_range(0.2..60.0);
        let nodes = rng.random_range(1..=80);
        let load = Load {
            quiet_ms: 0,
            wanted_per_ms: 0.05,
        };
        let sent = play(per_sec, nodes, load, seed);
        let most = most_in_window(&sent) as f64;
        let allowed = RATE_FACTOR * per_sec * WINDOW_MS.0 as f64 / 1_000.0 + RATE_SLACK;
        assert!(most <= allowed, "seed {seed}: {most}, {allowed} allowed");
        // Most of what the target takes is used.
        let wanted = per_sec * 9.0 * 0.75 - 1.0;
        let sent = sent.len() as f64;
        assert!(sent >= wanted, "seed {seed}: {sent} of {wanted} sent");
    }
}

/// Nothing is sent for a while, and then all nodes get requests in the same moment.
#[test]
fn burst_after_a_quiet_time_respects_a_stated_rate() {
    for (per_sec, nodes) in [(0.3, 40), (4.5, 7), (5.2, 60), (30.0, 7), (200.0, 9)] {
        let load = Load {
            quiet_ms: 9_000,
            wanted_per_ms: 1.0,
        };
        let sent = play(per_sec, nodes, load, 1);
        let most = most_in_window(&sent) as f64;
        let allowed = RATE_FACTOR * per_sec * WINDOW_MS.0 as f64 / 1_000.0 + RATE_SLACK;
        assert!(most <= allowed, "{per_sec} at {nodes} nodes: {most}");
    }
}

/// A rate far above what a node wants must not cost it requests that come in bursts.
#[test]
fn rate_above_the_load_refuses_nothing() {
    let load = Load {
        quiet_ms: 2_000,
        wanted_per_ms: 0.006,
    };
    let names = names(7);
    let mut rng = StdRng::seed_from_u64(7);
    let target = incarnation(1);
    let mut rates = StatedRates::new();
    rates.record_stated(&statement(120.0, 0));
    for now in (load.quiet_ms..20_000).map(Millis) {
        if rng.random_bool(load.wanted_per_ms) {
            assert!(rates.has_capacity(now, &target, &names[0], &names));
            rates.record_sent(now, &target, &names[0], &names);
        }
    }
}

/// A response without a rate that was overtaken by one with it lifted the limit.
#[test]
fn only_a_response_to_a_later_request_ends_a_rate() {
    let mut rates = StatedRates::new();
    let target = incarnation(1);
    assert!(rates.record_stated(&statement(5.0, 100)));
    assert!(!rates.record_none(Millis(110), &target, Millis(90)));
    assert_eq!(rates.per_sec(&target), Some(5.0));
    assert!(rates.record_none(Millis(130), &target, Millis(120)));
    assert_eq!(rates.per_sec(&target), None);
    assert!(rates.has_capacity(Millis(130), &target, &"n0".into(), &names(1)));
}

#[test]
fn rate_of_a_former_incarnation_does_not_hold() {
    let mut rates = StatedRates::new();
    rates.record_stated(&statement(5.0, 100));
    assert_eq!(rates.per_sec(&incarnation(2)), None);
    let restarted = RateStatement {
        incarnation: incarnation(2),
        ..statement(7.0, 150)
    };
    assert!(rates.merge(&restarted));
    assert!(!rates.merge(&statement(5.0, 9_000)));
    assert_eq!(rates.per_sec(&incarnation(2)), Some(7.0));
}

/// Links take up to a few hundred milliseconds, in which a statement must not go round for
/// good, nor one from before the end of a rate bring it back.
#[test]
fn echoes_of_a_statement_are_ignored() {
    let mut first = StatedRates::new();
    let mut second = StatedRates::new();
    let target = incarnation(1);
    first.record_stated(&statement(5.0, 1_000));
    assert!(second.merge(&statement(5.0, 1_100)));
    let passed_on = first.stated_after(0, MAX);
    assert_eq!(passed_on.len(), 1);
    first.merge(&statement(5.0, 1_200));
    assert_eq!(first.stated_after(0, MAX), passed_on);
    assert!(first.record_none(Millis(1_250), &target, Millis(1_210)));
    assert!(!first.merge(&statement(5.0, 1_400)));
    assert_eq!(first.per_sec(&target), None);
    assert!(first.stated_after(0, MAX).is_empty());
    // A later statement is news again.
    assert!(first.merge(&statement(5.0, 2_000)));
}

/// Statements that are repeated in each response are passed on at once, and then every 4 s.
#[test]
fn unchanged_statements_are_passed_on_now_and_then() {
    let mut rates = StatedRates::new();
    let mut passed_on = 0;
    let mut known = 0;
    for now in (0..20_000).step_by(20) {
        rates.record_stated(&statement(5.0, now));
        for numbered in rates.stated_after(known, MAX) {
            passed_on += 1;
            known = numbered.sequence;
        }
    }
    assert_eq!(passed_on, 5);
    rates.record_stated(&statement(4.0, 20_000));
    assert_eq!(rates.stated_after(known, MAX).len(), 1);
}

/// Thousands of targets state rates at once. Messages stay small, and none is left out.
#[test]
fn many_statements_are_passed_on_in_small_parts() {
    let mut rates = StatedRates::new();
    for number in 0..1_000 {
        let mut stated = statement(5.0, number);
        stated.incarnation.id = format!("t{number}").into();
        rates.record_stated(&stated);
    }
    let mut known = 0;
    let mut passed_on = 0;
    while let [.., last] = &rates.stated_after(known, MAX)[..] {
        known = last.sequence;
        passed_on += MAX;
    }
    assert_eq!(passed_on, 1_000);
}

/// If the nodes with a share get no requests, the others learn of the end all the same.
#[test]
fn nodes_without_a_share_ask_again_one_after_the_other() {
    let names = names(20);
    let target = incarnation(1);
    let mut asked = Vec::new();
    for node in &names {
        let mut rates = StatedRates::new();
        rates.record_stated(&statement(0.0, 0));
        for now in (0..30_000).map(Millis) {
            if rates.has_capacity(now, &target, node, &names) {
                rates.record_sent(now, &target, node, &names);
                asked.push(now);
            }
        }
    }
    assert!(asked.len() >= names.len());
    asked.sort_unstable();
    assert!(asked[0] >= Millis::from_secs(10));
    let most = most_in_window(&asked) as f64;
    assert!(most <= RATE_SLACK, "{most} in a window");
}

/// A node that is not listed has no share: the others have divided the rate among themselves.
#[test]
fn node_that_is_not_listed_sends_nothing() {
    let mut rates = StatedRates::new();
    rates.record_stated(&statement(5.0, 0));
    let now = Millis::from_secs(60);
    assert!(!rates.has_capacity(now, &incarnation(1), &"new".into(), &names(3)));
}
