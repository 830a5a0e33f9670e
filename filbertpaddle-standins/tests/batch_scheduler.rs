//! Tests of the simulated engine's batch scheduler: memory, preemption, priorities and cold starts.

use std::collections::BTreeMap;

use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use filbertpaddle_standins::batch::EngineRequest;
use filbertpaddle_standins::batch::SubmitOutcome;
use filbertpaddle_standins::batch_scheduler::BLOCK_TOKENS;
use filbertpaddle_standins::batch_scheduler::BatchScheduler;
use filbertpaddle_standins::batch_scheduler::Settings;
use filbertpaddle_target::protocol::EndCause;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn settings() -> Settings {
    Settings {
        total_pages: 96,
        warm_limit: 16,
        cold_limit: 2,
        warm_up_us: 1_000_000,
        cold_grace_us: 100_000,
        ..Settings::default()
    }
}

fn request(attempt: &str, priority: u8, output_tokens: u32) -> EngineRequest {
    EngineRequest {
        attempt: attempt.into(),
        priority: Priority(priority),
        prompt_tokens: 20,
        blocks: Vec::new(),
        output_tokens,
        max_tokens: 10_000,
        poison: false,
    }
}

fn warm_scheduler() -> BatchScheduler {
    let mut scheduler = BatchScheduler::new(settings(), 0);
    scheduler.turn_warm(0);
    scheduler
}

fn random_request<R>(rng: &mut R, id: u32) -> EngineRequest
where
    R: Rng,
{
    let shared = rng.random_range(0..3);
    let blocks: Vec<u64> = (0..shared)
        .map(|block| u64::from(block) + 10 * rng.random_range(0..2))
        .collect();
    EngineRequest {
        prompt_tokens: shared * BLOCK_TOKENS + rng.random_range(1..60),
        blocks,
        ..request(
            &format!("w{id}"),
            rng.random_range(0..3),
            rng.random_range(1..400),
        )
    }
}

/// Runs steps until no attempt is left; returns the number of tokens of each attempt.
fn run(scheduler: &mut BatchScheduler, mut now_us: u64) -> BTreeMap<Name, u32> {
    let mut tokens = BTreeMap::new();
    while let Some(step) = scheduler.step(now_us) {
        now_us += step.duration_us;
        for attempt in step.tokens {
            *tokens.entry(attempt).or_default() += 1;
        }
    }
    tokens
}

#[test]
fn memory_is_bounded_and_every_token_is_produced_once() {
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut scheduler = warm_scheduler();
        let mut expected = BTreeMap::new();
        let mut tokens: BTreeMap<Name, u32> = BTreeMap::new();
        let mut ended_attempts = Vec::new();
        let mut now_us = 0;
        for id in 0..60 {
            let request = random_request(&mut rng, id);
            expected.insert(request.attempt.clone(), request.output_tokens);
            assert_eq!(scheduler.submit(now_us, request), SubmitOutcome::Waiting);
            for _ in 0..rng.random_range(0..30) {
                let Some(step) = scheduler.step(now_us) else {
                    break;
                };
                now_us += step.duration_us;
                assert!(scheduler.used_pages() <= 96, "seed {seed}");
                step.tokens
                    .into_iter()
                    .for_each(|attempt| *tokens.entry(attempt).or_default() += 1);
                ended_attempts.extend(step.ended);
            }
        }
        while let Some(step) = scheduler.step(now_us) {
            now_us += step.duration_us;
            assert!(scheduler.used_pages() <= 96, "seed {seed}");
            step.tokens
                .into_iter()
                .for_each(|attempt| *tokens.entry(attempt).or_default() += 1);
            ended_attempts.extend(step.ended);
        }
        assert_eq!(ended_attempts.len(), 60, "seed {seed}");
        for ended in ended_attempts {
            let got = tokens.get(&ended.attempt).copied().unwrap_or_default();
            match ended.cause {
                EndCause::Stop => assert_eq!(got, expected[&ended.attempt], "seed {seed}"),
                _ => assert!(got < expected[&ended.attempt], "seed {seed}"),
            }
        }
        assert_eq!(scheduler.pinned_pages(), 0, "seed {seed}");
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let result = || {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut scheduler = warm_scheduler();
        for id in 0..40 {
            scheduler.submit(0, random_request(&mut rng, id));
        }
        (run(&mut scheduler, 0), scheduler.totals())
    };
    assert_eq!(result(), result());
}

#[test]
fn preempted_attempts_recompute_and_lose_no_token() {
    let mut scheduler = warm_scheduler();
    for id in 0..4 {
        scheduler.submit(0, request(&format!("w{id}"), 1, 600));
    }
    let tokens = run(&mut scheduler, 0);
    assert!(tokens.values().all(|count| *count == 600));
    let totals = scheduler.totals();
    assert!(totals.preemptions > 0);
    assert!(totals.recomputed_tokens > 0);
    assert!(totals.stall_us > 0);
    assert_eq!(totals.tokens, 4 * 600);
}

#[test]
fn lowest_priority_is_preempted_and_ends_last() {
    let mut scheduler = warm_scheduler();
    scheduler.submit(0, request("low", 0, 1_000));
    scheduler.submit(0, request("high", 9, 1_000));
    let mut now_us = 0;
    let mut order = Vec::new();
    while let Some(step) = scheduler.step(now_us) {
        now_us += step.duration_us;
        order.extend(step.ended.into_iter().map(|ended| ended.attempt));
    }
    assert!(scheduler.totals().preemptions > 0);
    assert_eq!(order, ["high", "low"]);
}

#[test]
fn waiting_attempt_of_highest_priority_runs_first() {
    let mut scheduler = BatchScheduler::new(
        Settings {
            warm_limit: 1,
            ..settings()
        },
        0,
    );
    scheduler.turn_warm(0);
    for (attempt, priority) in [("a", 1), ("b", 1), ("c", 7)] {
        scheduler.submit(0, request(attempt, priority, 3));
    }
    let first = scheduler.step(0).unwrap();
    assert_eq!(first.tokens, ["c"]);
}

#[test]
fn cold_engine_accepts_its_limit_and_crashes_above_it() {
    let mut scheduler = BatchScheduler::new(settings(), 0);
    assert_eq!(
        scheduler.submit(0, request("a", 1, 50)),
        SubmitOutcome::Waiting
    );
    assert_eq!(
        scheduler.submit(0, request("b", 1, 50)),
        SubmitOutcome::Waiting
    );
    assert_eq!(
        scheduler.submit(0, request("c", 1, 50)),
        SubmitOutcome::Collapsed
    );
    assert_eq!(scheduler.totals().cold_excess, 1);
}

#[test]
fn engine_that_turned_cold_tolerates_an_excess_during_the_grace_period_only() {
    let mut scheduler = warm_scheduler();
    for id in 0..8 {
        scheduler.submit(0, request(&format!("w{id}"), 1, 50));
    }
    scheduler.turn_cold(500);
    let submit_late =
        |scheduler: &mut BatchScheduler, now_us| scheduler.submit(now_us, request("late", 1, 5));
    assert_eq!(submit_late(&mut scheduler, 600), SubmitOutcome::Waiting);
    assert_eq!(
        submit_late(&mut scheduler, 200_000),
        SubmitOutcome::Collapsed
    );
    assert_eq!(scheduler.totals().cold_excess_in_grace, 1);
}

#[test]
fn step_takes_longer_while_cold() {
    let duration_us = |warm: bool| {
        let mut scheduler = BatchScheduler::new(settings(), 0);
        if warm {
            scheduler.turn_warm(0);
        }
        scheduler.submit(0, request("a", 1, 5));
        scheduler.step(0).unwrap().duration_us
    };
    assert!(duration_us(false) > duration_us(true));
}

#[test]
fn shared_prefix_is_computed_once_and_evicted_under_memory_pressure() {
    let mut scheduler = warm_scheduler();
    let shared = |attempt: &str, block: u64| EngineRequest {
        prompt_tokens: BLOCK_TOKENS + 8,
        blocks: vec![block],
        ..request(attempt, 1, 5)
    };
    scheduler.submit(0, shared("a", 1));
    run(&mut scheduler, 0);
    scheduler.submit(0, shared("b", 1));
    run(&mut scheduler, 0);
    assert_eq!(scheduler.totals().cached_tokens, u64::from(BLOCK_TOKENS));
    for block in 2..9 {
        scheduler.submit(0, shared(&format!("c{block}"), block));
        run(&mut scheduler, 0);
    }
    assert_eq!(scheduler.cache().lookup(1), None);
    let changes = scheduler.cache().changes_after(0);
    let evictions = changes.filter(|change| change.event.prefix == 1 && !change.event.held);
    assert_eq!(evictions.count(), 1);
}

#[test]
fn cancelled_attempt_frees_its_pages() {
    let mut scheduler = warm_scheduler();
    scheduler.submit(0, request("a", 1, 500));
    scheduler.step(0);
    assert!(scheduler.pinned_pages() > 0);
    assert!(scheduler.cancel(1, &"a".into()));
    assert!(!scheduler.cancel(1, &"a".into()));
    assert_eq!(scheduler.pinned_pages(), 0);
}
