//! More generations arrive than the targets bear: those that cannot be in time are refused
//! at once, and the others are served as at a lower load.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::admission;
use filbertpaddle_forward::admission::Claim;
use filbertpaddle_forward::admission::Contention;
use filbertpaddle_forward::admission::PrefillRate;
use filbertpaddle_forward::admission::Room;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Engine;
use filbertpaddle_forward::configuration::Service;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::service_pace::Pace;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use filbertpaddle_forward::target_selector::TargetSelector;
use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TARGETS: usize = 12;
const MEMORY_TOKENS: u32 = 34_000;
const GOAL_MS: Millis = Millis(1_800);
/// Speed of the simulated engines.
const PREFILL_US_PER_TOKEN: u64 = 140;
const TOKEN_MS: u64 = 12;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
/// Arrivals in a second that the targets bear.
const CAPACITY_PER_SEC: f64 = 16.0;

fn engine() -> Engine {
    Engine {
        slots: 24,
        memory_tokens: MEMORY_TOKENS,
        can_migrate: true,
        event_tokens: 4,
    }
}

fn target(number: usize) -> Target {
    Target {
        id: format!("t{number}").into(),
        service: "engine".into(),
        address: format!("t{number}.test:1").into(),
        data_centre: "dc".into(),
        slots: 24,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: None,
        version: "v1".into(),
    }
}

fn directory() -> Directory {
    let service = Service {
        max_connections: 100,
        cold_per_sec: 0.0,
        engine: Some(engine()),
    };
    let configuration = Configuration {
        version: 1,
        services: [(Name::from("engine"), service)].into_iter().collect(),
        ..Configuration::default()
    };
    let mut directory = Directory::new();
    let revision = Revision::new(0, 1);
    let entries = [
        (
            Table::Operator,
            vec![Entry::Configuration(Arc::new(configuration))],
        ),
        (
            Table::Targets,
            (0..TARGETS).map(|n| Entry::Target(target(n))).collect(),
        ),
    ];
    for (table, entries) in entries {
        let changes = entries.into_iter().map(|entry| Change { revision, entry });
        let batch = Batch {
            table,
            is_whole: true,
            revision,
            changes: changes.collect(),
        };
        directory.apply(Millis::ZERO, Millis::ZERO, &batch);
    }
    directory
}

fn demand(prompt_tokens: u32, output_tokens: u32) -> RequestDemand {
    RequestDemand {
        service: "engine".into(),
        prompt_tokens,
        total_tokens: prompt_tokens + output_tokens,
        claim: Claim::New,
        max_prefill_ms: admission::max_prefill_ms(GOAL_MS),
        ..RequestDemand::default()
    }
}

/// A generation at a simulated target, which processes prompts one after another.
struct Running {
    target: Name,
    demand: RequestDemand,
    arrived_ms: u64,
    prefill_left_us: u64,
    output_left_ms: u64,
    is_started: bool,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: usize,
    in_goal: usize,
    late: usize,
    refused: usize,
    /// Largest memory of any target, in tokens.
    peak_tokens: u64,
}

/// Plays arrivals at `load` times the capacity; `is_admitted` decides whether requests
/// without room are refused, or sent to the best target all the same.
fn play(load: f64, is_admitted: bool) -> Outcome {
    let directory = directory();
    let mut selector = TargetSelector::new("node".into(), "dc".into());
    selector.set_nodes(vec!["node".into()]);
    selector.update_targets(&directory);
    let mut rng = StdRng::seed_from_u64(7);
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome::default();
    for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        let chance = load * CAPACITY_PER_SEC * STEP_MS as f64 / 1_000.0;
        if rng.random_bool(chance.min(1.0)) {
            let is_brief = rng.random_bool(0.5);
            let output = if is_brief {
                12
            } else {
                rng.random_range(200..1_600)
            };
            let mut demand = demand(rng.random_range(1_000..5_000), output);
            if !is_admitted {
                demand.claim = Claim::Started;
                demand.max_prefill_ms = Millis(u64::MAX);
            }
            outcome.asked += 1;
            let draw = || rng.random::<f64>();
            let chosen = selector.choose(Millis(now), &directory, &demand, &[], draw);
            let target = match chosen {
                Ok(target) => Some(target),
                Err(error) => {
                    assert_eq!(error, PlacementError::AllFull);
                    (!is_admitted).then(|| least_loaded(&directory, &selector))
                }
            };
            match target {
                Some(target) => {
                    selector.record_sent(Millis(now), target, &demand);
                    running.push(Running {
                        target: target.id.clone(),
                        arrived_ms: now,
                        prefill_left_us: u64::from(demand.prompt_tokens) * PREFILL_US_PER_TOKEN,
                        output_left_ms: u64::from(output) * TOKEN_MS,
                        demand,
                        is_started: false,
                    });
                }
                None => outcome.refused += 1,
            }
        }
        step(now, &mut running, &mut selector, &mut outcome);
    }
    outcome
}

fn least_loaded<'a>(directory: &'a Directory, selector: &TargetSelector) -> &'a Target {
    let targets = directory.targets().map(|(target, _)| target);
    targets
        .min_by_key(|target| selector.total_load(&target.id).tokens)
        .unwrap()
}

/// Advances the simulated targets. Each processes prompts one after another, as far as its
/// memory holds them.
fn step(
    now: u64,
    running: &mut Vec<Running>,
    selector: &mut TargetSelector,
    outcome: &mut Outcome,
) {
    let mut prefill_us: IndexMap<Name, u64> = IndexMap::new();
    let mut tokens: IndexMap<Name, u64> = IndexMap::new();
    for generation in running.iter_mut() {
        let used = tokens.entry(generation.target.clone()).or_default();
        *used += u64::from(generation.demand.total_tokens);
        if *used > u64::from(MEMORY_TOKENS) && !generation.is_started {
            continue;
        }
        let spent = prefill_us.entry(generation.target.clone()).or_default();
        let left = (STEP_MS * 1_000).saturating_sub(*spent);
        if generation.prefill_left_us > left {
            generation.prefill_left_us -= left;
            *spent += left;
            continue;
        }
        *spent += generation.prefill_left_us;
        generation.prefill_left_us = 0;
        if !generation.is_started {
            generation.is_started = true;
            selector.record_prefilled(&generation.target, &generation.demand);
            match now - generation.arrived_ms <= GOAL_MS.0 {
                true => outcome.in_goal += 1,
                false => outcome.late += 1,
            }
        }
        generation.output_left_ms = generation.output_left_ms.saturating_sub(STEP_MS);
    }
    outcome.peak_tokens = tokens.values().copied().fold(outcome.peak_tokens, u64::max);
    let is_over = |generation: &Running| generation.is_started && generation.output_left_ms == 0;
    for generation in running.iter().filter(|generation| is_over(generation)) {
        selector.record_ended(&generation.target, &generation.demand, true);
    }
    running.retain(|generation| !is_over(generation));
}

#[test]
fn what_is_admitted_under_overload_is_in_time_and_fits_the_memory() {
    let at_capacity = play(1.0, true);
    for load in [1.6, 2.5, 4.0] {
        let outcome = play(load, true);
        assert!(
            outcome.in_goal * 100 >= at_capacity.in_goal * 95,
            "{outcome:?}"
        );
        assert!(outcome.late * 50 <= outcome.asked, "{outcome:?}");
        assert!(
            outcome.peak_tokens <= u64::from(MEMORY_TOKENS),
            "{outcome:?}"
        );
    }
    // The same load without admission: memory is overcommitted, and few are in time.
    let without = play(2.5, false);
    assert!(without.in_goal * 3 < without.asked, "{without:?}");
    assert!(
        without.peak_tokens > u64::from(MEMORY_TOKENS),
        "{without:?}"
    );
}

#[test]
fn nothing_is_refused_at_half_the_capacity() {
    let outcome = play(0.5, true);
    assert_eq!((outcome.refused, outcome.late), (0, 0), "{outcome:?}");
}

#[test]
fn room_goes_first_to_what_would_lose_more() {
    let load = TargetLoad {
        running: 7,
        tokens: 29_000,
        ..TargetLoad::default()
    };
    let has_room = |claim, output| {
        let demand = RequestDemand {
            claim,
            ..demand(4_000, output)
        };
        admission::has_room(&load, &engine(), &demand, &PrefillRate::new())
    };
    assert!(!has_room(Claim::Late, 12));
    assert!(!has_room(Claim::New, 500));
    assert!(has_room(Claim::Returning, 500));
    assert!(has_room(Claim::Started, 500));
    // A brief generation returns its memory before a long one misses it.
    assert!(has_room(Claim::New, 12));
}

#[test]
fn a_target_that_runs_nothing_takes_any_request() {
    let load = TargetLoad::default();
    let large = demand(MEMORY_TOKENS, 9_000);
    assert!(admission::has_room(
        &load,
        &engine(),
        &large,
        &PrefillRate::new()
    ));
}

#[test]
fn the_time_for_prompts_is_learned_and_outliers_are_bounded() {
    let mut rate = PrefillRate::new();
    (0..200).for_each(|_| rate.record(1_000, Millis(400)));
    let learned = rate.expected_ms(1_000);
    assert!((Millis(380)..=Millis(400)).contains(&learned), "{learned}");
    rate.record(1_000, Millis(60_000));
    assert!(rate.expected_ms(1_000) < Millis(450));
    rate.record(0, Millis(60_000));
    assert!(rate.expected_ms(1_000) < Millis(450));
}

/// Room for the callers of eight nodes, of generations that take a time for each token.
fn room_at(token_ms: u64) -> Room {
    Room {
        running_tokens: 300_000,
        nodes: 8,
        pace: Pace {
            first_event_ms: Millis(400),
            token_us: token_ms * 1_000,
        },
    }
}

/// By a fixed pace, callers came back in a third of the time and were refused again.
#[test]
fn callers_return_later_where_generations_hold_their_memory_for_longer() {
    let wait_ms = |token_ms| {
        let mut contention = Contention::new();
        let demand = demand(3_000, 1_000);
        let refused = (0..10).map(|_| {
            let room = room_at(token_ms);
            contention.retry_after(Millis(10_000), &demand, room, Millis(60_000), 0.5)
        });
        refused.last().unwrap()
    };
    // Room for all that wait, 320,000 tokens, is expected after the lifetime of a generation.
    assert_eq!((wait_ms(3), wait_ms(12)), (Millis(3_200), Millis(12_800)));
    // At most a third of the remaining time, with those who return later than others.
    assert_eq!(wait_ms(40), Millis(13_333));
}

/// Callers who were refused in one moment must not all return in another one, and return
/// while there is time left for their generations.
#[test]
fn returns_are_spread_over_the_time_in_which_room_is_expected() {
    let room = room_at(TOKEN_MS);
    let remaining_ms = Millis(39_000);
    let demand = demand(3_000, 1_000);
    let mut rng = StdRng::seed_from_u64(7);
    let mut contention = Contention::new();
    let mut refuse = |contention: &mut Contention, remaining_ms| {
        contention.retry_after(Millis(10_000), &demand, room, remaining_ms, rng.random())
    };
    let returns: Vec<_> = (0..100)
        .map(|_| refuse(&mut contention, remaining_ms))
        .collect();
    for start in (0..15_000).step_by(100) {
        let slot = Millis(start)..Millis(start + 100);
        let count = returns.iter().filter(|span| slot.contains(span)).count();
        assert!(count <= returns.len() / 10, "{count} return at {start} ms");
    }
    assert!(returns.iter().all(|span| *span <= Millis(13_000)));
    assert_eq!(refuse(&mut contention, Millis(300)), Millis(100));
    // A single refusal asks for a short wait.
    let span = refuse(&mut Contention::new(), remaining_ms);
    assert!((Millis(200)..=Millis(2_000)).contains(&span), "{span}");
}

/// New room is taken by all nodes at once if generations wait for it everywhere.
#[test]
fn generations_wait_for_room_only_where_none_was_refused_lately() {
    let room = room_at(TOKEN_MS);
    let mut contention = Contention::new();
    let now = Millis(10_000);
    assert_eq!(contention.max_wait_ms(now, GOAL_MS), Millis(225));
    contention.retry_after(now, &demand(3_000, 1_000), room, Millis(39_000), 0.5);
    assert_eq!(contention.max_wait_ms(now, GOAL_MS), Millis::ZERO);
    let later = now + Millis(2_000);
    assert_eq!(contention.max_wait_ms(later, GOAL_MS), Millis(225));
}
