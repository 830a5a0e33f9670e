//! Placement, and the load patterns that each of its decisions answers.

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Engine;
use filbertpaddle_forward::configuration::Service;
use filbertpaddle_forward::directory::Batch;
use filbertpaddle_forward::directory::Change;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::directory::Entry;
use filbertpaddle_forward::directory::Table;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
use filbertpaddle_forward::target_selector::RequestDemand;
use filbertpaddle_forward::target_selector::TargetSelector;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MEMORY_TOKENS: u32 = 30_000;
const COLD_PER_SEC: f64 = 6.0;

fn target(id: &str, data_centre: &str) -> Target {
    Target {
        id: id.into(),
        service: "engine".into(),
        address: format!("{id}.test:1").into(),
        data_centre: data_centre.into(),
        slots: 24,
        is_draining: false,
        cold_ms: Millis::ZERO,
        started_ms: None,
    }
}

fn directory(targets: &[Target]) -> Directory {
    let service = Service {
        max_connections: 100,
        cold_per_sec: COLD_PER_SEC,
        engine: Some(Engine {
            slots: 24,
            memory_tokens: MEMORY_TOKENS,
            can_migrate: true,
            event_tokens: 4,
        }),
    };
    let configuration = Configuration {
        version: 1,
        services: [(Name::from("engine"), service)].into_iter().collect(),
        ..Configuration::default()
    };
    let mut directory = Directory::new();
    let entries = vec![Entry::Configuration(Arc::new(configuration))];
    apply(&mut directory, Table::Operator, entries);
    let entries = targets.iter().cloned().map(Entry::Target).collect();
    apply(&mut directory, Table::Targets, entries);
    directory
}

fn apply(directory: &mut Directory, table: Table, entries: Vec<Entry>) {
    let change = |entry| Change { revision: 1, entry };
    let batch = Batch {
        table,
        is_whole: true,
        revision: 1,
        changes: entries.into_iter().map(change).collect(),
    };
    directory.apply(Millis::ZERO, Millis::ZERO, &batch);
}

/// The only node.
fn fleet(data_centre: &str) -> TargetSelector {
    let mut fleet = TargetSelector::new("node".into(), data_centre.into());
    fleet.set_nodes(vec!["node".into()]);
    fleet
}

fn ask(prompt_tokens: u32, total_tokens: u32) -> RequestDemand {
    RequestDemand {
        service: "engine".into(),
        prompt_tokens,
        total_tokens,
    }
}

fn choose(
    fleet: &TargetSelector,
    directory: &Directory,
    ask: &RequestDemand,
) -> Result<Name, PlacementError> {
    let chosen = fleet.choose(Millis(10_000), directory, ask, &[], || 0.5);
    chosen.map(|target| target.id.clone())
}

#[test]
fn prompts_that_are_still_read_keep_others_away() {
    let directory = directory(&[target("a", "dc"), target("b", "dc")]);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    // One reads a prompt; the other decodes with more memory in use.
    fleet.record_sent(
        Millis::ZERO,
        directory.target("a").unwrap(),
        &ask(3_000, 3_500),
    );
    fleet.record_sent(
        Millis::ZERO,
        directory.target("b").unwrap(),
        &ask(3_000, 9_000),
    );
    fleet.record_prefilled("b", &ask(3_000, 9_000));
    assert_eq!(choose(&fleet, &directory, &ask(2_000, 2_100)).unwrap(), "b");
    fleet.record_prefilled("a", &ask(3_000, 3_500));
    assert_eq!(choose(&fleet, &directory, &ask(2_000, 2_100)).unwrap(), "a");
}

/// In a large service many nodes choose within the time in which they learn of
/// each other's choices; not all may take the target that looks emptiest.
#[test]
fn nodes_that_choose_at_once_do_not_all_choose_alike() {
    let names: Vec<_> = (0..60).map(|number| format!("t{number}")).collect();
    let targets: Vec<_> = names.iter().map(|name| target(name, "dc")).collect();
    let directory = directory(&targets);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    let work = |tokens| TargetLoad {
        running: 1,
        tokens,
        ..TargetLoad::default()
    };
    let others = names[1..]
        .iter()
        .map(|name| (name.as_str().into(), work(10_000)));
    fleet.set_other_load(others.collect());
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut choose = || {
            let draw = || rng.random_range(0.0..1.0);
            let chosen = fleet.choose(Millis(10_000), &directory, &ask(100, 200), &[], draw);
            chosen.unwrap().id.clone()
        };
        let same = (0..20).filter(|_| choose() == "t0").count();
        assert!(same <= 12, "seed {seed}: {same} of 20");
        let source = directory.target("t59").unwrap();
        let mut copy = || {
            let draw = || rng.random_range(0.0..1.0);
            let now = Millis(10_000);
            let chosen = fleet.choose_copy_target(now, &directory, source, &ask(0, 200), &[], draw);
            chosen.unwrap().id.clone()
        };
        let same = (0..20).filter(|_| copy() == "t0").count();
        assert!(same <= 12, "seed {seed}: {same} of 20 copies");
    }
}

/// A service with few targets leaves none out.
#[test]
fn the_emptiest_of_a_few_targets_is_chosen() {
    let directory = directory(&[target("a", "dc"), target("b", "dc"), target("c", "dc")]);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    for id in ["a", "c"] {
        let taken = directory.target(id).unwrap();
        fleet.record_sent(Millis::ZERO, taken, &ask(1_000, 9_000));
    }
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..100 {
        let draw = || rng.random_range(0.0..1.0);
        let chosen = fleet.choose(Millis(10_000), &directory, &ask(1, 2), &[], draw);
        assert_eq!(chosen.unwrap().id, "b");
    }
}

/// While the store is away, targets that it still lists are lost, and each looks
/// idle to a node that has not tried it.
#[test]
fn a_target_that_refuses_other_nodes_comes_last_unless_it_runs_something() {
    let directory = directory(&[target("idle", "dc"), target("busy", "dc")]);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    let busy = TargetLoad {
        running: 5,
        tokens: 20_000,
        prompt_tokens: 2_000,
        refusals: 0,
    };
    let refusing = TargetLoad {
        refusals: 1,
        ..TargetLoad::default()
    };
    let mut others = LoadByTarget::new();
    others.insert("busy".into(), busy);
    others.insert("idle".into(), refusing);
    fleet.set_other_load(others.clone());
    assert_eq!(choose(&fleet, &directory, &ask(100, 200)).unwrap(), "busy");
    // One node is cut off from what serves all others.
    let running = TargetLoad {
        running: 1,
        ..refusing
    };
    others.insert("idle".into(), running);
    fleet.set_other_load(others);
    assert_eq!(choose(&fleet, &directory, &ask(100, 200)).unwrap(), "idle");
}

#[test]
fn a_refused_connection_is_told_until_it_is_tried_again() {
    let directory = directory(&[target("a", "dc")]);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    let until_ms = fleet.record_refused(Millis(10), "a");
    assert_eq!(fleet.own_load(Millis(20))["a"].refusals, 1);
    assert!(fleet.own_load(until_ms).is_empty());
    fleet.record_refused(until_ms, "a");
    fleet.record_success("a");
    assert!(fleet.own_load(until_ms).is_empty());
}

#[test]
fn work_of_other_nodes_counts_like_own() {
    let directory = directory(&[target("a", "dc"), target("b", "dc")]);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    let mut others = LoadByTarget::new();
    let busy = TargetLoad {
        running: 5,
        tokens: 20_000,
        prompt_tokens: 0,
        refusals: 0,
    };
    others.insert("a".into(), busy);
    fleet.set_other_load(others);
    assert_eq!(choose(&fleet, &directory, &ask(500, 1_000)).unwrap(), "b");
}

#[test]
fn another_data_centre_is_used_when_the_own_one_is_full() {
    let directory = directory(&[target("near", "dc-a"), target("far", "dc-b")]);
    let mut fleet = fleet("dc-a");
    fleet.update_targets(&directory);
    assert_eq!(
        choose(&fleet, &directory, &ask(500, 1_000)).unwrap(),
        "near"
    );
    let near = directory.target("near").unwrap();
    for _ in 0..10 {
        fleet.record_sent(Millis::ZERO, near, &ask(0, 3_000));
    }
    assert_eq!(choose(&fleet, &directory, &ask(500, 1_000)).unwrap(), "far");
}

#[test]
fn a_failing_target_is_passed_over_for_ever_longer() {
    let directory = directory(&[target("a", "dc")]);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    let spans: Vec<_> = (0..5)
        .map(|_| {
            fleet
                .record_failure(Millis(10_000), "a")
                .since(Millis(10_000))
        })
        .collect();
    assert!(spans.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(
        choose(&fleet, &directory, &ask(1, 1)),
        Err(PlacementError::AllFailing)
    );
    fleet.record_success("a");
    assert_eq!(choose(&fleet, &directory, &ask(1, 1)).unwrap(), "a");
}

#[test]
fn ended_work_leaves_nothing_behind() {
    let directory = directory(&[target("a", "dc")]);
    let mut fleet = fleet("dc");
    fleet.update_targets(&directory);
    let target = directory.target("a").unwrap();
    for is_started in [true, false] {
        fleet.record_sent(Millis::ZERO, target, &ask(100, 300));
        if is_started {
            fleet.record_prefilled("a", &ask(100, 300));
        }
        fleet.record_ended("a", &ask(100, 300), is_started);
    }
    assert!(fleet.own_load(Millis(10_000)).is_empty());
}

/// Many nodes that place by their own draws and what they were last told: a
/// cold target gets at most its share from all of them together.
#[test]
fn a_cold_target_gets_what_it_bears_from_all_nodes_together() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cold = target("cold", "dc");
        cold.cold_ms = Millis(5_000);
        let directory = directory(&[cold]);
        let nodes = rng.random_range(1..=100);
        let names: Vec<Name> = (0..nodes).map(|node| format!("n{node}").into()).collect();
        let mut fleets: Vec<_> = names
            .iter()
            .map(|name| TargetSelector::new(name.clone(), "dc".into()))
            .collect();
        for fleet in &mut fleets {
            fleet.set_nodes(names.clone());
        }
        let mut sent = Vec::new();
        for now in (0..4_000).map(Millis) {
            let fleet = &mut fleets[rng.random_range(0..nodes)];
            let ask = ask(1, 1);
            let chosen = fleet.choose(now, &directory, &ask, &[], || 0.5);
            if let Ok(target) = chosen {
                fleet.record_sent(now, target, &ask);
                sent.push(now);
            }
        }
        for (index, at) in sent.iter().enumerate() {
            let within = sent[index..]
                .iter()
                .take_while(|later| later.since(*at) < Millis(1_000))
                .count();
            assert!(within as f64 <= COLD_PER_SEC, "seed {seed}: {within}");
        }
        assert!(!sent.is_empty());
    }
}

#[test]
fn a_copy_goes_to_a_target_that_stays() {
    let mut leaving = target("leaving", "dc-a");
    leaving.is_draining = true;
    let source = target("source", "dc-a");
    let targets = [
        source.clone(),
        leaving,
        target("near", "dc-a"),
        target("far", "dc-b"),
    ];
    let directory = directory(&targets);
    let mut fleet = fleet("dc-b");
    fleet.update_targets(&directory);
    let ask = ask(0, 4_000);
    let destination = |passed_over: &[Name]| {
        let now = Millis(10_000);
        let chosen = fleet.choose_copy_target(now, &directory, &source, &ask, passed_over, || 0.5);
        chosen.map(|target| target.id.clone())
    };
    assert_eq!(destination(&[]).unwrap(), "near");
    assert_eq!(destination(&["near".into()]).unwrap(), "far");
    assert_eq!(destination(&["near".into(), "far".into()]), None);
}
