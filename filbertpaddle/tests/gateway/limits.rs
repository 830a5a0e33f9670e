//! How often a request, and all together, may be sent.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_adapter_standins::target::POISON;
use filbertpaddle_adapter_standins::target::Target;
use http::Method;
use tokio::time::sleep;

use crate::world::READ_PATH;
use crate::world::WRITE_PATH;
use crate::world::World;
use crate::world::ask;
use crate::world::until;

/// Retries that the nodes' settings allow for each request, and besides.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 58.0;

#[tokio::test]
async fn an_idempotent_request_is_sent_once_more_and_not_twice() {
    let world = World::with_nodes("retry", 1).await;
    world.target("p1").set_behaviour(Behaviour::Failing);
    world.target("p2").set_behaviour(Behaviour::Failing);
    let got = world.send(&ask("r", Method::GET, READ_PATH, None)).await;
    assert_eq!((got.code(), got.is_sealed()), (500, true));
    assert_eq!(world.ledger.runs_of("r").len(), 2);
    let got = world.send(&ask("w", Method::POST, WRITE_PATH, None)).await;
    assert_eq!((got.code(), got.is_sealed()), (500, true));
    assert_eq!(world.ledger.runs_of("w").len(), 1);
    world.close();
}

#[tokio::test]
async fn a_request_that_crashes_targets_is_stopped_through_any_node() {
    let mut world = World::with_nodes("poison", 3).await;
    for number in 3..9 {
        world.add_target(&format!("p{number}"), "app", "dc-a").await;
    }
    until("all nodes are linked", async || {
        world.store.nodes().len() == 3
    })
    .await;
    let crashed = |world: &World| {
        let targets = world.targets.iter();
        targets.filter_map(Target::crashed_at).count()
    };
    let mut codes = Vec::new();
    for number in 0..8 {
        let node = world.nodes[number % 3].addresses.callers;
        let mut poison = ask(&format!("poison-{number}"), Method::POST, WRITE_PATH, None);
        poison.content = Some(POISON.to_owned());
        let got = caller::send(node, &poison).await;
        codes.push(got.code());
        // A crash is known to all nodes within a second.
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(codes, [502, 502, 502, 503, 503, 503, 503, 503]);
    assert_eq!(crashed(&world), 3);
    let innocent = world.send(&ask("w", Method::POST, WRITE_PATH, None)).await;
    assert_eq!(innocent.code(), 200);
    world.close();
}

#[tokio::test]
async fn refusals_by_targets_that_are_others_now_count_as_retries() {
    let mut world = World::with_nodes("others", 1).await;
    for number in 0..150 {
        world.add_target(&format!("q{number}"), "app", "dc-a").await;
    }
    until("the node knows them", async || {
        let attempt = format!("r{}", world.ledger.runs().len());
        world
            .send(&ask(&attempt, Method::GET, READ_PATH, None))
            .await;
        world.ledger.runs().iter().any(|run| run.target == "q149")
    })
    .await;
    let before: u64 = world.targets.iter().map(Target::arrivals).sum();
    for target in &world.targets {
        target.set_behaviour(Behaviour::Replaced);
    }
    let requests = 40;
    for number in 0..requests {
        let got = world
            .send(&ask(&format!("w{number}"), Method::POST, WRITE_PATH, None))
            .await;
        assert_eq!(got.code(), 503);
    }
    let arrivals: u64 = world.targets.iter().map(Target::arrivals).sum();
    let allowed = RETRY_RATIO * (f64::from(requests) + before as f64) + RETRY_SLACK;
    let repeats = (arrivals - before) as f64 - f64::from(requests);
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
    world.close();
}
