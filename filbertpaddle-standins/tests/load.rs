//! Tests of the load tool: workloads from a seed, checks of answers against the
//! targets' counters, and retries of baselines.

use std::time::Instant;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::balancer::Balancer;
use filbertpaddle_standins::balancer::BalancingPolicy;
use filbertpaddle_standins::baseline::EntryVm;
use filbertpaddle_standins::baseline::TargetSelector;
use filbertpaddle_standins::engine;
use filbertpaddle_standins::engine::Engine;
use filbertpaddle_standins::engine_state::Counters;
use filbertpaddle_standins::marker;
use filbertpaddle_standins::observation::Ending;
use filbertpaddle_standins::observation::Observer;
use filbertpaddle_standins::report::NodeCost;
use filbertpaddle_standins::report::Report;
use filbertpaddle_standins::report::RequestRecord;
use filbertpaddle_standins::report::RunInfo;
use filbertpaddle_standins::report::TargetCounters;
use filbertpaddle_standins::scenario::Scenario;
use filbertpaddle_standins::workload::Request;
use filbertpaddle_target::client;
use filbertpaddle_target::client::Client;

fn requests(seed: u64) -> Vec<Request> {
    Scenario::Steady.workload(seed, Millis::from_secs(20), 30.0)
}

fn record(request: Request, ending: Ending) -> RequestRecord {
    let observation = Observer::new(Instant::now()).finish(ending);
    RequestRecord {
        request,
        observation,
    }
}

fn report(records: &[RequestRecord], target_counters: &TargetCounters) -> Report {
    let run_info = RunInfo {
        scenario: "test".to_owned(),
        policy: "none".to_owned(),
        seed: 1,
        duration_s: 1.0,
        rate: 1.0,
    };
    Report::new(run_info, records, target_counters, NodeCost::default(), 0.0)
}

#[test]
fn same_seed_gives_same_workload() {
    assert_eq!(requests(1), requests(1));
    assert_ne!(requests(1), requests(2));
    let none = Scenario::Steady.workload(1, Millis::from_secs(20), 0.0);
    assert!(none.is_empty());
}

#[test]
fn every_request_has_a_unique_marker() {
    let requests = requests(3);
    let mut markers: Vec<String> = requests
        .iter()
        .map(|request| marker::find(&request.prompt()).unwrap())
        .collect();
    markers.sort();
    markers.dedup();
    assert_eq!(markers.len(), requests.len());
}

#[test]
fn executions_at_targets_are_checked_against_endings_at_callers() {
    let requests = requests(1);
    let refused = requests
        .iter()
        .find(|request| request.kind.idempotent)
        .unwrap();
    let repeated = requests
        .iter()
        .find(|request| !request.kind.idempotent)
        .unwrap();
    let records = [
        record(refused.clone(), Ending::NotRun),
        record(repeated.clone(), Ending::Complete),
    ];
    let mut counters = Counters::default();
    counters.executions.insert(refused.marker.clone(), 1);
    counters.executions.insert(repeated.marker.clone(), 2);
    let target_counters = TargetCounters {
        engines: vec![counters],
        services: Vec::new(),
    };
    let report = report(&records, &target_counters);
    assert_eq!(report.violations["not_run_but_ran"], 1);
    assert_eq!(report.violations["ran_twice"], 1);
}

#[test]
fn tokens_out_of_order_and_spliced_generations_are_violations() {
    let mut observer = Observer::new(Instant::now());
    observer.record_token(0, "aa.0 ");
    observer.record_token(1, "bb.1 ");
    observer.record_token(3, "aa.3 ");
    observer.check_token_count(4);
    let request = requests(1).remove(0);
    let observation = observer.finish(Ending::Complete);
    let report = report(
        &[RequestRecord {
            request,
            observation,
        }],
        &TargetCounters::default(),
    );
    assert_eq!(report.violations["spliced"], 1);
    assert_eq!(report.violations["order"], 1);
    assert_eq!(report.violations["count"], 1);
}

#[tokio::test]
async fn baseline_does_not_repeat_request_with_unknown_outcome_after_crash() {
    let settings = engine::Settings {
        speed: 100.0,
        restart_ms: Millis(1),
        poison: Some(marker::MARKER_PREFIX.to_owned()),
        ..engine::Settings::default()
    };
    let engine = Engine::start(settings).await.unwrap();
    let targets = [(engine.address, 0)];
    let selector =
        || TargetSelector::Independent(Balancer::new(BalancingPolicy::RoundRobin, &targets, 0));
    let entry_vm = EntryVm {
        client: Client::new(client::Settings::default()),
        engines: selector(),
        services: selector(),
    };
    let letter = |request: &Request| request.kind.name == "letter";
    let request = requests(1).into_iter().find(letter).unwrap();
    let mut observer = Observer::new(Instant::now());
    let ending = entry_vm.run(&request, &mut observer).await;
    assert_eq!(ending, Ending::MayHaveRun);
    assert_eq!(engine.counters().executions[&request.marker], 1);
    engine.close().await;
}
