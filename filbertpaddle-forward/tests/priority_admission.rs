//! Requests of several priorities compete for the memory and the prompt time of the engines:
//! the more urgent ones find room first, and the others keep a minimum.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::admission;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Engine;
use filbertpaddle_forward::configuration::Service;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::level_arrivals::service_key;
use filbertpaddle_forward::level_load::LevelLoad;
use filbertpaddle_forward::level_load::LevelLoads;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::TargetSelector;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TARGETS: usize = 12;
const MEMORY_TOKENS: u32 = 27_000;
/// Speed of the simulated engines.
const PREFILL_US_PER_TOKEN: u64 = 75;
const TOKEN_MS: u64 = 12;
const STEP_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
/// Time before arrivals are counted, in which the engines fill up.
const WARM_UP_MS: u64 = 12_000;

/// One kind of request in the load of a test.
#[derive(Clone, Copy)]
struct Kind {
    level: u8,
    per_sec: f64,
    prompt_tokens: u32,
    output_tokens: u32,
    /// Factor of the largest size; sizes are even between 1 and it.
    spread: u32,
    goal_ms: Millis,
}

const SHORT: Kind = Kind {
    level: 0,
    per_sec: 20.0,
    prompt_tokens: 2_550,
    output_tokens: 8,
    spread: 1,
    goal_ms: Millis(1_500),
};
/// The targets bear about 9 in a second of the mean size, one and a half times the smallest.
const LONG: Kind = Kind {
    level: 2,
    per_sec: 9.0,
    prompt_tokens: 2_050,
    output_tokens: 500,
    spread: 2,
    goal_ms: Millis(4_000),
};

#[derive(Clone, Debug, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    refused: u32,
}

impl Outcome {
    fn lost(&self) -> u32 {
        self.asked - self.in_time
    }
}

struct Running {
    target: Name,
    kind: usize,
    demand: RequestDemand,
    sent_ms: u64,
    prefill_left_us: u64,
    output_left_ms: u64,
    is_counted: bool,
    is_started: bool,
}

fn directory() -> Directory {
    let engine = Engine {
        slots: 24,
        memory_tokens: MEMORY_TOKENS,
        can_migrate: true,
        event_tokens: 4,
    };
    let service = Service {
        max_connections: 100,
        cold_per_sec: 0.0,
        engine: Some(engine),
    };
    let configuration = Configuration {
        version: 1,
        services: [(Name::from("engine"), service)].into_iter().collect(),
        ..Configuration::default()
    };
    let target = |number: usize| Target {
        id: format!("t{number}").into(),
        service: "engine".into(),
        address: format!("t{number}.test:1").into(),
        data_centre: "dc".into(),
        slots: 24,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: None,
        version: "v1".into(),
    };
    let configuration = vec![Entry::Configuration(Arc::new(configuration))];
    let targets = (0..TARGETS).map(|n| Entry::Target(target(n))).collect();
    let mut directory = Directory::new();
    let revision = Revision::new(0, 1);
    for (table, entries) in [(Table::Operator, configuration), (Table::Targets, targets)] {
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

/// Plays arrivals of `kinds`; `by_level` decides whether they are admitted by their levels.
fn play(kinds: &[Kind], by_level: bool) -> Vec<Outcome> {
    let directory = directory();
    let mut selector = TargetSelector::new("node".into(), "dc".into());
    selector.set_nodes(vec!["node".into()]);
    selector.update_targets(&directory);
    let mut rng = StdRng::seed_from_u64(11);
    let mut running: Vec<Running> = Vec::new();
    let mut outcomes = vec![Outcome::default(); kinds.len()];
    for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        for (number, kind) in kinds.iter().enumerate() {
            let chance = kind.per_sec * STEP_MS as f64 / 1_000.0;
            if !rng.random_bool(chance) {
                continue;
            }
            let size = rng.random_range(1.0..=f64::from(kind.spread));
            let prompt_tokens = (f64::from(kind.prompt_tokens) * size) as u32;
            let output_tokens = (f64::from(kind.output_tokens) * size) as u32;
            let mut demand = RequestDemand {
                service: "engine".into(),
                prompt_tokens,
                total_tokens: prompt_tokens + output_tokens,
                max_prefill_ms: admission::max_prefill_ms(kind.goal_ms),
                level: by_level.then_some(kind.level),
                ..RequestDemand::default()
            };
            selector.level_arrivals.record(Millis(now), &demand);
            demand.kept = selector.kept_room(Millis(now), &directory, &demand);
            let is_counted = now >= WARM_UP_MS;
            let outcome = &mut outcomes[number];
            outcome.asked += u32::from(is_counted);
            let draw = || rng.random::<f64>();
            let chosen = selector.choose(Millis(now), &directory, &demand, &[], draw);
            let Ok(target) = chosen.cloned() else {
                outcome.refused += u32::from(is_counted);
                continue;
            };
            selector.record_sent(Millis(now), &target, &demand);
            running.push(Running {
                target: target.id,
                kind: number,
                sent_ms: now,
                prefill_left_us: u64::from(prompt_tokens) * PREFILL_US_PER_TOKEN,
                output_left_ms: u64::from(output_tokens) * TOKEN_MS,
                demand,
                is_counted,
                is_started: false,
            });
        }
        step(now, kinds, &mut running, &mut selector, &mut outcomes);
    }
    outcomes
}

/// Advances the simulated engines. Each processes the most urgent prompt first.
fn step(
    now: u64,
    kinds: &[Kind],
    running: &mut Vec<Running>,
    selector: &mut TargetSelector,
    outcomes: &mut [Outcome],
) {
    running.sort_by_key(|generation| (kinds[generation.kind].level, generation.sent_ms));
    let mut spent_us = [0; TARGETS];
    for generation in running.iter_mut() {
        if generation.is_started {
            generation.output_left_ms = generation.output_left_ms.saturating_sub(STEP_MS);
            continue;
        }
        let number: usize = generation.target[1..].parse().unwrap();
        let spent = generation
            .prefill_left_us
            .min(STEP_MS * 1_000 - spent_us[number]);
        generation.prefill_left_us -= spent;
        spent_us[number] += spent;
        if generation.prefill_left_us > 0 {
            continue;
        }
        generation.is_started = true;
        selector.record_prefilled(&generation.target, &generation.demand);
        let is_in_time = now - generation.sent_ms <= kinds[generation.kind].goal_ms.0;
        outcomes[generation.kind].in_time += u32::from(generation.is_counted && is_in_time);
    }
    let is_over = |generation: &Running| generation.is_started && generation.output_left_ms == 0;
    for generation in running.iter().filter(|generation| is_over(generation)) {
        selector.record_ended(&generation.target, &generation.demand, true);
    }
    running.retain(|generation| !is_over(generation));
}

/// Long generations arrive at 1.5 times what the targets bear, beside short urgent ones.
#[test]
fn urgent_requests_find_room_beside_a_burst_of_long_ones() {
    let burst = Kind {
        per_sec: 1.5 * LONG.per_sec,
        ..LONG
    };
    let [short, long] = &play(&[SHORT, burst], true)[..] else {
        unreachable!()
    };
    assert!(short.lost() * 100 <= short.asked, "{short:?}");
    // What the targets bear is 1 in 1.5 of the burst; the urgent ones need a sixth of it.
    assert!(long.in_time * 2 >= long.asked, "{long:?}");
    let [alike, _] = &play(&[SHORT, burst], false)[..] else {
        unreachable!()
    };
    // Admitted alike, they lose more.
    assert!(alike.lost() * 50 > alike.asked, "{alike:?}");
}

/// Long urgent generations arrive at 1.5 times what the targets bear, beside less urgent ones
/// at 0.5 times.
#[test]
fn less_urgent_requests_keep_a_minimum() {
    let urgent = Kind {
        level: 0,
        per_sec: 1.5 * LONG.per_sec,
        ..LONG
    };
    let other = Kind {
        per_sec: 0.5 * LONG.per_sec,
        ..LONG
    };
    let [urgent, other] = &play(&[urgent, other], true)[..] else {
        unreachable!()
    };
    let served = urgent.in_time + other.in_time;
    assert!(other.in_time * 20 >= served, "{urgent:?} {other:?}");
    assert!(urgent.in_time * 2 >= served, "{urgent:?} {other:?}");
}

/// Only requests of one level arrive, at 1.5 times what the targets bear.
#[test]
fn a_level_alone_uses_the_targets_fully() {
    let burst = Kind {
        per_sec: 1.5 * LONG.per_sec,
        ..LONG
    };
    let alone = &play(&[burst], true)[0];
    let alike = &play(&[burst], false)[0];
    assert!(
        alone.in_time * 100 >= alike.in_time * 99,
        "{alone:?} {alike:?}"
    );
}

/// The load of other nodes, whose requests are urgent, is no longer received.
#[test]
fn room_is_kept_for_others_only_while_their_load_is_known() {
    let directory = directory();
    let mut selector = TargetSelector::new("node".into(), "dc".into());
    selector.update_targets(&directory);
    let levels = LevelLoads::from(LevelLoad {
        level: 0,
        requests: 160,
        tokens: 160 * 2_558,
        prompt_tokens: 160 * 2_550,
    });
    let arrivals = TargetLoad {
        levels,
        ..TargetLoad::default()
    };
    // A less urgent request would fill every target up to its limit.
    let mut others: LoadByTarget = (0..TARGETS)
        .map(|number| {
            let load = TargetLoad {
                running: 6,
                tokens: 21_800,
                ..TargetLoad::default()
            };
            (format!("t{number}").into(), load)
        })
        .collect();
    others.insert(service_key("engine"), arrivals);
    let mut demand = RequestDemand {
        service: "engine".into(),
        prompt_tokens: 3_000,
        total_tokens: 3_800,
        max_prefill_ms: Millis(2_400),
        level: Some(2),
        ..RequestDemand::default()
    };
    let mut has_room = |selector: &TargetSelector, without_reserve: bool| {
        demand.kept = selector.kept_room(Millis::ZERO, &directory, &demand);
        let free = (0..TARGETS).filter(|number| {
            let id = format!("t{number}");
            let excluded: Vec<Name> = (0..TARGETS)
                .map(|other| Name::from(format!("t{other}")))
                .filter(|other| **other != *id)
                .collect();
            let chosen = selector.choose(Millis::ZERO, &directory, &demand, &excluded, || 0.5);
            chosen.is_ok()
        });
        (free.count() == TARGETS) == without_reserve
    };
    selector.set_other_load(others);
    assert!(has_room(&selector, false));
    selector.set_other_load(LoadByTarget::new());
    assert!(has_room(&selector, true));
}
