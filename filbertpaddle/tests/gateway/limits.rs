//! Limits on resending: retries of one request, quarantine and the retry budget.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::poison::POISON;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_adapter_standins::target::Target;
use http::Method;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Retries per request and additional retries that the nodes' settings allow.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 58.0;

#[tokio::test]
async fn only_an_idempotent_request_is_retried_and_only_once() {
    let cluster = Cluster::with_nodes("retry", 1).await;
    cluster.target("p1").set_behaviour(Behaviour::Failing);
    cluster.target("p2").set_behaviour(Behaviour::Failing);
    let response = cluster
        .send(&request("r", Method::GET, READ_PATH, None))
        .await;
    assert_eq!((response.code(), response.is_sealed()), (500, true));
    assert_eq!(cluster.run_log.runs_of("r").len(), 2);
    let response = cluster
        .send(&request("w", Method::POST, WRITE_PATH, None))
        .await;
    assert_eq!((response.code(), response.is_sealed()), (500, true));
    assert_eq!(cluster.run_log.runs_of("w").len(), 1);
    cluster.close();
}

/// Guards against load that stays counted: callers that give up while a target does not
/// respond must not make the target look busy for good.
#[tokio::test]
async fn a_target_is_used_again_after_its_callers_have_given_up() {
    let cluster = Cluster::with_nodes("given-up", 1).await;
    let target = cluster.target("p1");
    target.set_behaviour(Behaviour::Unresponsive);
    wait_until("callers have given up at the target", async || {
        let mut abandoned = request("w", Method::POST, WRITE_PATH, None);
        abandoned.deadline_ms = 40;
        cluster.send(&abandoned).await;
        target.arrivals() >= 6
    })
    .await;
    target.set_behaviour(Behaviour::Normal);
    wait_until("the target is used as much as the other", async || {
        let before = (target.arrivals(), cluster.target("p2").arrivals());
        for number in 0..10 {
            let read = request(&format!("r{number}"), Method::GET, READ_PATH, None);
            cluster.send(&read).await;
        }
        let here = target.arrivals() - before.0;
        let there = cluster.target("p2").arrivals() - before.1;
        here >= 3 && there >= 3
    })
    .await;
    cluster.close();
}

#[tokio::test]
async fn a_request_that_crashes_targets_is_quarantined_by_all_nodes() {
    let mut cluster = Cluster::with_nodes("poison", 3).await;
    for number in 3..9 {
        cluster
            .add_target(&format!("p{number}"), "app", "dc-a")
            .await;
    }
    cluster.wait_until_registered().await;
    let crashed = |cluster: &Cluster| {
        let targets = cluster.targets.iter();
        targets.filter_map(Target::crashed_at).count()
    };
    let mut codes = Vec::new();
    for number in 0..8 {
        let node = cluster.nodes[number % 3].addresses.callers;
        let mut poison = request(&format!("poison-{number}"), Method::POST, WRITE_PATH, None);
        poison.content = Some(POISON.to_owned());
        let response = caller::send(node, &poison).await;
        codes.push(response.code());
        // All nodes learn of a crash within a second.
        sleep(Duration::from_secs(1)).await;
    }
    assert_eq!(codes, [502, 502, 502, 503, 503, 503, 503, 503]);
    assert_eq!(crashed(&cluster), 3);
    let other = cluster
        .send(&request("w", Method::POST, WRITE_PATH, None))
        .await;
    assert_eq!(other.code(), 200);
    cluster.close();
}

#[tokio::test]
async fn sends_that_reach_another_target_count_as_retries() {
    let mut cluster = Cluster::with_nodes("others", 1).await;
    for number in 0..150 {
        cluster
            .add_target(&format!("q{number}"), "app", "dc-a")
            .await;
    }
    wait_until("the node sends to the new targets", async || {
        let attempt = format!("r{}", cluster.run_log.runs().len());
        cluster
            .send(&request(&attempt, Method::GET, READ_PATH, None))
            .await;
        cluster
            .run_log
            .runs()
            .iter()
            .any(|run| run.target == "q149")
    })
    .await;
    let before: u64 = cluster.targets.iter().map(Target::arrivals).sum();
    for target in &cluster.targets {
        target.set_behaviour(Behaviour::Replaced);
    }
    let requests = 40;
    for number in 0..requests {
        let response = cluster
            .send(&request(
                &format!("w{number}"),
                Method::POST,
                WRITE_PATH,
                None,
            ))
            .await;
        assert_eq!(response.code(), 503);
    }
    let arrivals: u64 = cluster.targets.iter().map(Target::arrivals).sum();
    let allowed = RETRY_RATIO * (f64::from(requests) + before as f64) + RETRY_SLACK;
    let repeats = (arrivals - before) as f64 - f64::from(requests);
    assert!(repeats <= allowed, "{repeats} repeats, {allowed} allowed");
    cluster.close();
}
