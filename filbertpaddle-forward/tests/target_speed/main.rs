//! Speed of targets as nodes find it out, and what callers gain by it. Times to be done are
//! compared with those of equal shares and with those of a choice that knows the true speeds.

mod pool;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::speed_table;
use filbertpaddle_forward::speed_table::SentSpeeds;
use filbertpaddle_forward::speed_table::SpeedByTarget;
use filbertpaddle_forward::speed_table::SpeedPart;
use filbertpaddle_forward::speed_table::SpeedTable;
use filbertpaddle_forward::target::Incarnation;
use pool::Policy;
use pool::Pool;
use pool::Setup;

/// Largest 95th percentile of the time to be done, as a multiple of that with known speeds.
const MAX_P95_RATIO: f64 = 1.15;

fn setup(policy: Policy) -> Setup {
    Setup {
        policy,
        seed: 1,
        nodes: 20,
        targets: 12,
        slots: 8,
        is_engine: false,
        per_sec: 40.0,
        work_ms: 100.0,
        slowness: |_, _, _| 1.0,
        link_ms: |_| 0,
    }
}

/// Returns the 95th percentiles in a span with equal shares, learned and known speeds.
fn p95s(setup: Setup, from_ms: u64, to_ms: u64) -> [u64; 3] {
    [Policy::Equal, Policy::Learned, Policy::Known].map(|policy| {
        let mut pool = Pool::new(Setup { policy, ..setup });
        pool.run_until(to_ms);
        pool.p95_ms(from_ms, to_ms)
    })
}

fn three_speeds(number: usize, _: f64, _: u64) -> f64 {
    [1.0 / 0.7, 1.0 / 0.7, 1.0 / 1.7][number % 3]
}

/// Asserts that callers are served better than by equal shares, and nearly as well as with known
/// speeds.
fn assert_gain([equal, learned, known]: [u64; 3]) {
    let figures = format!("equal shares {equal} ms, learned {learned} ms, known {known} ms");
    println!("{figures}");
    assert!(learned < equal, "{figures}");
    assert!(learned as f64 <= MAX_P95_RATIO * known as f64, "{figures}");
}

/// Load: whole answers at three speeds.
#[test]
fn faster_targets_get_more_whole_answers() {
    for seed in 1..4 {
        let setup = Setup {
            seed,
            slowness: three_speeds,
            ..setup(Policy::Equal)
        };
        assert_gain(p95s(setup, 5_000, 20_000));
    }
}

/// Load: generations at engines of three speeds.
#[test]
fn faster_engines_get_more_generations() {
    for seed in 1..4 {
        let setup = Setup {
            seed,
            is_engine: true,
            per_sec: 3.0,
            slowness: three_speeds,
            ..setup(Policy::Equal)
        };
        // Nodes need some seconds for their first samples: each gets two requests a second.
        assert_gain(p95s(setup, 12_000, 40_000));
    }
}

/// Load: a third of the targets takes three times as long from half full on.
#[test]
fn target_that_slows_down_is_filled_less() {
    for seed in 1..4 {
        let setup = Setup {
            seed,
            slowness: |number, fill, _| {
                if number % 3 == 0 && fill > 0.5 {
                    3.0
                } else {
                    1.0
                }
            },
            ..setup(Policy::Equal)
        };
        assert_gain(p95s(setup, 5_000, 20_000));
    }
}

/// Load: moments of 600 ms in which a target takes 2.5 times as long, 15 in 100 of the time.
#[test]
fn slow_moments_are_followed() {
    for seed in 1..4 {
        let setup = Setup {
            seed,
            targets: 3,
            slots: 6,
            per_sec: 60.0,
            work_ms: 30.0,
            slowness: |number, _, now_ms| {
                let spell = (now_ms / 600 + 13 * number as u64).wrapping_mul(0x9E37_79B9) >> 7;
                if spell % 100 < 15 { 2.5 } else { 1.0 }
            },
            ..setup(Policy::Equal)
        };
        assert_gain(p95s(setup, 5_000, 30_000));
    }
}

/// Load: a target is slow and recovers; within 5 s it gets its share again.
#[test]
fn target_that_recovers_gets_its_share_again() {
    let setup = Setup {
        slowness: |number, _, now_ms| {
            if number == 0 && now_ms < 10_000 {
                3.0
            } else {
                1.0
            }
        },
        ..setup(Policy::Learned)
    };
    let mut pool = Pool::new(setup);
    pool.run_until(20_000);
    let share = |from_ms, to_ms| {
        let of_span = pool.done.iter();
        let of_span = of_span.filter(|done| (from_ms..to_ms).contains(&done.at_ms));
        let targets: Vec<usize> = of_span.map(|done| done.target).collect();
        let of_first = targets.iter().filter(|target| **target == 0).count();
        of_first as f64 * 12.0 / targets.len() as f64
    };
    assert!(share(5_000, 10_000) < 0.5, "slow: {}", share(5_000, 10_000));
    assert!(
        share(15_000, 20_000) > 0.8,
        "well: {}",
        share(15_000, 20_000)
    );
}

/// Load: equal targets. The choices are the same as without the feature, request by request.
#[test]
fn equal_targets_get_the_same_requests_as_without() {
    for is_engine in [false, true] {
        for seed in 1..4 {
            let chosen = [Policy::Equal, Policy::Learned].map(|policy| {
                let per_sec = if is_engine { 3.0 } else { 40.0 };
                let mut pool = Pool::new(Setup {
                    seed,
                    is_engine,
                    per_sec,
                    ..setup(policy)
                });
                pool.run_until(20_000);
                pool.chosen
            });
            assert!(chosen[0] == chosen[1], "seed {seed}, engine {is_engine}");
        }
    }
}

/// Failure: the link of one node turns slow; the targets that it uses stay typical for all.
#[test]
fn slow_link_of_a_node_is_not_taken_for_slow_targets() {
    let setup = Setup {
        link_ms: |now_ms| if now_ms > 8_000 { 150 } else { 0 },
        ..setup(Policy::Learned)
    };
    let mut pool = Pool::new(setup);
    pool.run_until(20_000);
    for selector in &pool.selectors {
        for target in &pool.targets {
            let factor = selector.speeds().time_factor(&target.incarnation());
            assert!((factor - 1.0).abs() < 1e-9, "{}: {factor}", target.id);
        }
    }
}

/// Failure: a slow target restarts and is well; its new incarnation starts without samples.
#[test]
fn restarted_target_starts_without_samples() {
    let setup = Setup {
        slowness: |number, _, now_ms| {
            if number == 0 && (6_000..11_000).contains(&now_ms) {
                3.0
            } else {
                1.0
            }
        },
        ..setup(Policy::Learned)
    };
    let mut pool = Pool::new(setup);
    let factor = |pool: &Pool| {
        let speeds = pool.selectors[3].speeds();
        speeds.time_factor(&pool.targets[0].incarnation())
    };
    while factor(&pool) < 1.5 {
        pool.run_until(pool.now_ms + 50);
        assert!(pool.now_ms < 11_000, "not found slow in time");
    }
    pool.restart(0);
    assert!((factor(&pool) - 1.0).abs() < 1e-9);
    pool.run_until(pool.now_ms + 1_000);
    assert!(factor(&pool) < 1.3, "restarted: {}", factor(&pool));
}

fn sums(speeds: &SpeedByTarget) -> (f64, f64) {
    let lasting = speeds["t"].lasting();
    (lasting.weight, lasting.mean_ln())
}

fn incarnation(started_ms: u64) -> Incarnation {
    Incarnation {
        id: "t".into(),
        address: "t.test:1".into(),
        started_ms: Some(Millis(started_ms)),
    }
}

/// Failure: messages come twice and in the wrong order; the sums stay as the last one states.
#[test]
fn repeated_and_late_messages_change_nothing() {
    let mut node = SpeedTable::new();
    let mut link = SentSpeeds::default();
    let mut sent = Vec::new();
    for step in 1..20 {
        let now = Millis(step * 50);
        node.set_incarnations(std::iter::once(incarnation(1)));
        node.record_own(now, &incarnation(1), false, 0.7, 4.0);
        sent.push(link.take_changed(now, &node.part(now, SpeedPart::Own), 10));
    }
    let now = Millis(950);
    let name = "n".into();
    let mut reader = SpeedTable::new();
    reader.set_incarnations(std::iter::once(incarnation(1)));
    sent.iter()
        .for_each(|message| reader.update_member(now, &name, message));
    let once = sums(&reader.part(now, SpeedPart::Group));
    for message in sent.iter().rev().chain(&sent) {
        reader.update_member(now, &name, message);
        assert_eq!(sums(&reader.part(now, SpeedPart::Group)), once);
    }
    let (weight, mean_ln) = sums(&node.part(now, SpeedPart::Own));
    assert!((once.0 / weight - 1.0).abs() < 0.5, "{once:?}, {weight}");
    assert!((once.1 - mean_ln).abs() < 0.05, "{once:?}, {mean_ln}");
}

/// Failure: a target restarts, and what nodes report of its former incarnation arrives later.
#[test]
fn samples_of_a_former_incarnation_do_not_count_for_the_next() {
    let mut table = SpeedTable::new();
    let (mut former, mut link) = (SpeedTable::new(), SentSpeeds::default());
    former.set_incarnations(std::iter::once(incarnation(1)));
    table.set_incarnations(std::iter::once(incarnation(1_000)));
    former.record_own(Millis(900), &incarnation(1), false, 1.0, 20.0);
    let late = link.take_changed(Millis(900), &former.part(Millis(900), SpeedPart::Own), 10);
    table.record_own(Millis(1_500), &incarnation(1_000), false, 0.0, 8.0);
    table.update_member(Millis(2_500), &"n".into(), &late);
    table.record_own(Millis(2_600), &incarnation(1_000), false, 0.0, 8.0);
    let known = table.known(Millis(2_600));
    assert_eq!(known["t"].run, speed_table::run_hash(&incarnation(1_000)));
    assert!(known["t"].lasting().mean_ln().abs() < 1e-9);
}
