//! Retry budget that all nodes share, and admission at a draining node.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::drain;
use filbertpaddle_forward::drain::Drain;
use filbertpaddle_forward::drain::DurationEstimate;
use filbertpaddle_forward::drain::SendStage;
use filbertpaddle_forward::request_metadata::GenerationSize;
use filbertpaddle_forward::retry_budget::RetryBudget;
use filbertpaddle_forward::retry_budget::RetryLimits;
use filbertpaddle_forward::service_pace::Pace;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    slack: 58.0,
    window_ms: Millis::from_secs(10),
};

const PACE: Pace = Pace {
    first_event_ms: Millis(1_000),
    token_us: 12_000,
};

/// However requests are distributed over the nodes, the retries of all nodes in any window
/// must stay within the limit that the window's requests and the slack give.
#[test]
fn retries_of_all_nodes_stay_within_the_budget() {
    for seed in 0..1_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = rng.random_range(1..=12);
        let mut budgets = vec![RetryBudget::new(); nodes];
        let preferred = rng.random_range(0..nodes);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for now in (0..30_000).step_by(20).map(Millis) {
            let node = match rng.random_bool(0.5) {
                true => preferred,
                false => rng.random_range(0..nodes),
            };
            budgets[node].record_request(now);
            requests.push(now);
            if rng.random_bool(0.7) && budgets[node].try_acquire(now, &LIMITS, Some(nodes)) {
                retries.push(now);
            }
        }
        for end in (10_000..30_000).step_by(500).map(Millis) {
            let count = |times: &[Millis]| {
                times
                    .iter()
                    .filter(|at| **at <= end && end.since(**at) <= LIMITS.window_ms)
                    .count() as f64
            };
            let allowed = LIMITS.ratio * count(&requests) + LIMITS.slack;
            assert!(count(&retries) <= allowed, "seed {seed} at {end}");
        }
    }
}

#[test]
fn no_slack_while_the_number_of_nodes_is_unknown() {
    let mut budget = RetryBudget::new();
    assert!(!budget.try_acquire(Millis(0), &LIMITS, None));
    for _ in 0..10 {
        budget.record_request(Millis(0));
    }
    assert!(budget.try_acquire(Millis(0), &LIMITS, None));
    assert!(!budget.try_acquire(Millis(0), &LIMITS, None));
}

#[test]
fn migrations_count_against_the_retry_budget() {
    let mut budget = RetryBudget::new();
    assert!(budget.try_acquire(Millis(0), &LIMITS, Some(2)));
    for _ in 0..50 {
        budget.record_migration(Millis(1));
    }
    assert!(!budget.try_acquire(Millis(2), &LIMITS, Some(2)));
    assert!(budget.try_acquire(Millis(20_000), &LIMITS, Some(2)));
}

#[test]
fn draining_node_admits_requests_that_end_within_the_grace_period() {
    let drain = Drain {
        began_ms: Millis(1_000),
        grace_ms: Millis(8_000),
    };
    let generation = |estimate, max| {
        let size = GenerationSize {
            prompt_tokens: 1_000,
            max_output_tokens: max,
            output_estimate_tokens: Some(estimate),
            prompt_parts: Vec::new(),
        };
        drain::estimate_duration(&size, &PACE)
    };
    assert!(drain.admits(Millis(1_010), generation(100, 2_000)));
    assert!(!drain.admits(Millis(1_010), generation(1_000, 2_000)));
    // After 2.5 s, the maximum duration must fit, not just the estimate.
    assert!(!drain.admits(Millis(4_000), generation(100, 2_000)));
    assert!(drain.admits(Millis(4_000), generation(100, 150)));
    assert!(!drain.admits(Millis(8_500), generation(1, 1)));
}

#[test]
fn draining_node_answers_what_still_waits_before_it_exits() {
    let drain = Drain {
        began_ms: Millis(1_000),
        grace_ms: Millis(8_000),
    };
    assert!(drain.answer_at_ms() < drain.exit_at_ms());
    assert!(drain.exit_at_ms() < Millis(9_000));
    let short = Drain {
        grace_ms: Millis::ZERO,
        ..drain
    };
    assert_eq!(short.exit_at_ms(), short.began_ms);
    // A tenth of this period is less than the time for the last answers.
    let brief = Drain {
        grace_ms: Millis(1_000),
        ..drain
    };
    let estimate = DurationEstimate {
        expected_ms: Millis::ZERO,
        max_ms: Millis::ZERO,
    };
    assert!(!brief.admits(brief.answer_at_ms(), estimate));
}

#[test]
fn draining_node_sends_what_can_end_or_would_be_broken_off() {
    let drain = Drain {
        began_ms: Millis(1_000),
        grace_ms: Millis(8_000),
    };
    let long = DurationEstimate {
        expected_ms: Millis(3_000),
        max_ms: Millis(3_000),
    };
    let allows = |stage, estimate| drain.allows_send(Millis(6_000), stage, estimate);
    for stage in [SendStage::Unrun, SendStage::RepeatedStream] {
        assert!(!allows(stage, long), "{stage:?}");
        // Its deadline ends it before.
        assert!(allows(stage, long.within(Millis(2_000))), "{stage:?}");
    }
    for stage in [SendStage::RepeatedWhole, SendStage::Begun] {
        assert!(allows(stage, long), "{stage:?}");
    }
}
