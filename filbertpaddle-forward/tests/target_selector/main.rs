//! Target selection under the load patterns that its costs and limits are made for.

mod same_target;
mod versions;

use std::sync::Arc;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_forward::change::Batch;
use filbertpaddle_forward::change::Change;
use filbertpaddle_forward::change::Entry;
use filbertpaddle_forward::change::Table;
use filbertpaddle_forward::configuration::Configuration;
use filbertpaddle_forward::configuration::Engine;
use filbertpaddle_forward::configuration::Service;
use filbertpaddle_forward::directory::Directory;
use filbertpaddle_forward::load_table::LoadByTarget;
use filbertpaddle_forward::load_table::TargetLoad;
use filbertpaddle_forward::request_demand::RequestDemand;
use filbertpaddle_forward::revision::Revision;
use filbertpaddle_forward::stated_rate::RateStatement;
use filbertpaddle_forward::target::Target;
use filbertpaddle_forward::target_selector::PlacementError;
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
        version: "v1".into(),
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
    let revision = Revision::new(0, 1);
    let change = |entry| Change { revision, entry };
    let batch = Batch {
        table,
        is_whole: true,
        revision,
        changes: entries.into_iter().map(change).collect(),
    };
    directory.apply(Millis::ZERO, Millis::ZERO, &batch);
}

/// Returns the selector of the only node.
fn selector(data_centre: &str) -> TargetSelector {
    let mut selector = TargetSelector::new("node".into(), data_centre.into());
    selector.set_nodes(vec!["node".into()]);
    selector
}

fn demand(prompt_tokens: u32, total_tokens: u32) -> RequestDemand {
    RequestDemand {
        service: "engine".into(),
        prompt_tokens,
        total_tokens,
        max_prefill_ms: Millis(1_000),
        ..RequestDemand::default()
    }
}

fn choose(
    selector: &TargetSelector,
    directory: &Directory,
    demand: &RequestDemand,
) -> Result<Name, PlacementError> {
    let chosen = selector.choose(Millis(10_000), directory, demand, &[], || 0.5);
    chosen.map(|target| target.id.clone())
}

#[test]
fn target_with_unprocessed_prompts_is_avoided() {
    let directory = directory(&[target("a", "dc"), target("b", "dc")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    // Target a processes a prompt; target b decodes with more memory in use.
    selector.record_sent(
        Millis::ZERO,
        directory.target("a").unwrap(),
        &demand(3_000, 3_500),
    );
    selector.record_sent(
        Millis::ZERO,
        directory.target("b").unwrap(),
        &demand(3_000, 9_000),
    );
    selector.record_prefilled("b", &demand(3_000, 9_000));
    assert_eq!(
        choose(&selector, &directory, &demand(2_000, 2_100)).unwrap(),
        "b"
    );
    selector.record_prefilled("a", &demand(3_000, 3_500));
    assert_eq!(
        choose(&selector, &directory, &demand(2_000, 2_100)).unwrap(),
        "a"
    );
}

/// In a large service, many nodes choose before they learn of each other's choices. They
/// must not all choose the target that looks least loaded.
#[test]
fn concurrent_choices_are_spread_over_targets() {
    let names: Vec<_> = (0..60).map(|number| format!("t{number}")).collect();
    let targets: Vec<_> = names.iter().map(|name| target(name, "dc")).collect();
    let directory = directory(&targets);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    let load = |tokens| TargetLoad {
        running: 1,
        tokens,
        ..TargetLoad::default()
    };
    let others = names[1..]
        .iter()
        .map(|name| (name.as_str().into(), load(10_000)));
    selector.set_other_load(others.collect());
    for seed in 0..100 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut choose = || {
            let draw = || rng.random_range(0.0..1.0);
            let chosen = selector.choose(Millis(10_000), &directory, &demand(100, 200), &[], draw);
            chosen.unwrap().id.clone()
        };
        let same = (0..20).filter(|_| choose() == "t0").count();
        assert!(same <= 12, "seed {seed}: {same} of 20");
        let source = directory.target("t59").unwrap();
        let mut copy = || {
            let draw = || rng.random_range(0.0..1.0);
            let now = Millis(10_000);
            let chosen =
                selector.choose_copy_target(now, &directory, source, &demand(0, 200), &[], draw);
            chosen.unwrap().id.clone()
        };
        let same = (0..20).filter(|_| copy() == "t0").count();
        assert!(same <= 12, "seed {seed}: {same} of 20 copies");
    }
}

/// All targets of a small service are candidates.
#[test]
fn least_loaded_of_a_few_targets_is_chosen() {
    let directory = directory(&[target("a", "dc"), target("b", "dc"), target("c", "dc")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    for id in ["a", "c"] {
        let taken = directory.target(id).unwrap();
        selector.record_sent(Millis::ZERO, taken, &demand(1_000, 9_000));
    }
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..100 {
        let draw = || rng.random_range(0.0..1.0);
        let chosen = selector.choose(Millis(10_000), &directory, &demand(1, 2), &[], draw);
        assert_eq!(chosen.unwrap().id, "b");
    }
}

/// While the store is unavailable, failed targets stay listed and look idle to a node that
/// has not tried to connect to them.
#[test]
fn idle_target_that_refuses_other_nodes_is_chosen_last() {
    let directory = directory(&[target("idle", "dc"), target("busy", "dc")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    let busy = TargetLoad {
        running: 5,
        tokens: 20_000,
        prompt_tokens: 2_000,
        refusals: 0,
        ..TargetLoad::default()
    };
    let refusing = TargetLoad {
        refusals: 1,
        ..TargetLoad::default()
    };
    let mut others = LoadByTarget::new();
    others.insert("busy".into(), busy);
    others.insert("idle".into(), refusing.clone());
    selector.set_other_load(others.clone());
    assert_eq!(
        choose(&selector, &directory, &demand(100, 200)).unwrap(),
        "busy"
    );
    // Only one node is cut off from a target that serves all others.
    let running = TargetLoad {
        running: 1,
        ..refusing
    };
    others.insert("idle".into(), running);
    selector.set_other_load(others);
    assert_eq!(
        choose(&selector, &directory, &demand(100, 200)).unwrap(),
        "idle"
    );
}

#[test]
fn refused_connection_is_reported_until_the_back_off_ends() {
    let directory = directory(&[target("a", "dc")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    let until_ms = selector.record_refused(Millis(10), "a");
    assert_eq!(selector.own_load(Millis(20))["a"].refusals, 1);
    assert!(selector.own_load(until_ms).is_empty());
    selector.record_refused(until_ms, "a");
    selector.record_success("a");
    assert!(selector.own_load(until_ms).is_empty());
}

#[test]
fn load_of_other_nodes_counts_like_own_load() {
    let directory = directory(&[target("a", "dc"), target("b", "dc")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    let mut others = LoadByTarget::new();
    let busy = TargetLoad {
        running: 5,
        tokens: 20_000,
        prompt_tokens: 0,
        refusals: 0,
        ..TargetLoad::default()
    };
    others.insert("a".into(), busy);
    selector.set_other_load(others);
    assert_eq!(
        choose(&selector, &directory, &demand(500, 1_000)).unwrap(),
        "b"
    );
}

#[test]
fn another_data_centre_is_used_when_the_own_one_is_full() {
    let directory = directory(&[target("near", "dc-a"), target("far", "dc-b")]);
    let mut selector = selector("dc-a");
    selector.update_targets(&directory);
    assert_eq!(
        choose(&selector, &directory, &demand(500, 1_000)).unwrap(),
        "near"
    );
    let near = directory.target("near").unwrap();
    for _ in 0..10 {
        selector.record_sent(Millis::ZERO, near, &demand(0, 3_000));
    }
    assert_eq!(
        choose(&selector, &directory, &demand(500, 1_000)).unwrap(),
        "far"
    );
}

#[test]
fn back_off_of_a_failing_target_grows() {
    let directory = directory(&[target("a", "dc")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    let spans: Vec<_> = (0..5)
        .map(|_| {
            selector
                .record_failure(Millis(10_000), "a")
                .since(Millis(10_000))
        })
        .collect();
    assert!(spans.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(
        choose(&selector, &directory, &demand(1, 1)),
        Err(PlacementError::AllFailing)
    );
    selector.record_success("a");
    assert_eq!(choose(&selector, &directory, &demand(1, 1)).unwrap(), "a");
}

#[test]
fn ended_requests_leave_no_load() {
    let directory = directory(&[target("a", "dc")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    let target = directory.target("a").unwrap();
    for is_started in [true, false] {
        selector.record_sent(Millis::ZERO, target, &demand(100, 300));
        if is_started {
            selector.record_prefilled("a", &demand(100, 300));
        }
        selector.record_ended("a", &demand(100, 300), is_started);
    }
    assert!(selector.own_load(Millis(10_000)).is_empty());
}

/// Many nodes choose independently. Together, they must not exceed the rate limit of a cold
/// target.
#[test]
fn all_nodes_together_respect_the_limit_of_a_cold_target() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut cold = target("cold", "dc");
        cold.cold_ms = Millis(5_000);
        let directory = directory(&[cold]);
        let nodes = rng.random_range(1..=100);
        let names: Vec<Name> = (0..nodes).map(|node| format!("n{node}").into()).collect();
        let mut selectors: Vec<_> = names
            .iter()
            .map(|name| TargetSelector::new(name.clone(), "dc".into()))
            .collect();
        for selector in &mut selectors {
            selector.set_nodes(names.clone());
        }
        let mut sent = Vec::new();
        for now in (0..4_000).map(Millis) {
            let selector = &mut selectors[rng.random_range(0..nodes)];
            let demand = demand(1, 1);
            let chosen = selector.choose(now, &directory, &demand, &[], || 0.5);
            if let Ok(target) = chosen {
                selector.record_sent(now, target, &demand);
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

/// Many generations leave their target at the same moment, and the only other one is cold.
#[test]
fn generations_that_move_together_respect_the_limit_of_a_cold_target() {
    let source = target("source", "dc");
    let mut cold = target("cold", "dc");
    cold.cold_ms = Millis(5_000);
    let directory = directory(&[source.clone(), cold]);
    let names = ["n0", "n1", "n2"].map(Name::from);
    let demand = demand(0, 200);
    let mut copies = 0;
    for name in &names {
        let mut selector = TargetSelector::new(name.clone(), "dc".into());
        selector.set_nodes(names.to_vec());
        for now in (0..10).map(Millis) {
            let chosen =
                selector.choose_copy_target(now, &directory, &source, &demand, &[], || 0.5);
            if let Some(target) = chosen {
                selector.record_sent(now, target, &demand);
                copies += 1;
            }
        }
    }
    assert!(copies > 0);
    assert!(f64::from(copies) <= COLD_PER_SEC, "{copies} copies");
}

#[test]
fn copy_goes_to_a_target_that_is_not_draining() {
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
    let mut selector = selector("dc-b");
    selector.update_targets(&directory);
    let demand = demand(0, 4_000);
    let destination = |excluded: &[Name]| {
        let now = Millis(10_000);
        let chosen =
            selector.choose_copy_target(now, &directory, &source, &demand, excluded, || 0.5);
        chosen.map(|target| target.id.clone())
    };
    assert_eq!(destination(&[]).unwrap(), "near");
    assert_eq!(destination(&["near".into()]).unwrap(), "far");
    assert_eq!(destination(&["near".into(), "far".into()]), None);
}

/// A data centre is cut off without a sign: its targets look idle. After two of them have not
/// accepted a connection, requests go elsewhere until one responds or a while has passed.
#[test]
fn targets_of_an_unreachable_data_centre_come_last() {
    let far = ["b", "c", "d", "e"].map(|id| target(id, "far"));
    let mut targets = far.to_vec();
    targets.push(target("a", "dc"));
    let directory = directory(&targets);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    let now = Millis(10_000);
    let busy = demand(0, 20_000);
    selector.record_sent(now, directory.target("a").unwrap(), &busy);
    let chosen = |selector: &TargetSelector, now| {
        let chosen = selector.choose(now, &directory, &demand(1_000, 1_500), &[], || 0.5);
        chosen.unwrap().data_centre.clone()
    };
    assert_eq!(chosen(&selector, now), "far");
    selector.record_unreachable(now, &far[0]);
    assert_eq!(chosen(&selector, now), "far");
    selector.record_unreachable(now, &far[1]);
    assert_eq!(chosen(&selector, now), "dc");
    // It is tried again after a while.
    assert_eq!(chosen(&selector, now + Millis(2_000)), "far");
    selector.record_response(&far[2]);
    assert_eq!(chosen(&selector, now), "far");
}

/// The nearest target states a rate below what its data centre wants.
#[test]
fn requests_beyond_a_stated_rate_go_to_other_targets() {
    let near = target("near", "dc");
    let directory = directory(&[near.clone(), target("far", "dc-b")]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    selector.stated_rates_mut().record_stated(&RateStatement {
        incarnation: near.incarnation(),
        per_sec: 2.0,
        at_ms: Millis::ZERO,
    });
    let mut sent = [0, 0];
    for now in (0..10_000).step_by(50).map(Millis) {
        let demand = demand(1, 1);
        let chosen = selector.choose(now, &directory, &demand, &[], || 0.5);
        let chosen = chosen.unwrap();
        selector.record_sent(now, chosen, &demand);
        selector.record_ended(&chosen.id, &demand, false);
        sent[usize::from(chosen.id != "near")] += 1;
    }
    assert!((15..=21).contains(&sent[0]), "{sent:?}");
    assert_eq!(sent[0] + sent[1], 200);
}

/// Many generations leave their target at the same moment, and the only other one states a
/// rate.
#[test]
fn generations_that_move_together_respect_a_stated_rate() {
    let source = target("source", "dc");
    let other = target("other", "dc");
    let directory = directory(&[source.clone(), other.clone()]);
    let mut selector = selector("dc");
    selector.update_targets(&directory);
    selector.stated_rates_mut().record_stated(&RateStatement {
        incarnation: other.incarnation(),
        per_sec: 3.0,
        at_ms: Millis::ZERO,
    });
    let now = Millis(10_000);
    let demand = demand(0, 200);
    let mut copies = 0;
    for _ in 0..30 {
        let chosen = selector.choose_copy_target(now, &directory, &source, &demand, &[], || 0.5);
        if let Some(target) = chosen {
            selector.record_sent(now, target, &demand);
            copies += 1;
        }
    }
    assert_eq!(copies, 6);
    let refused = choose(&selector, &directory, &demand).unwrap();
    assert_eq!(refused, "source");
    let until_ms = selector.until_available_ms(now, &directory, "engine");
    assert_eq!(until_ms, Some(Millis::ZERO));
}
