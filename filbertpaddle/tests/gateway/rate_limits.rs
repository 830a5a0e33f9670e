//! Request rates that targets state as the limit for all nodes together.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::node::Node;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

const PER_SEC: f64 = 5.0;
const PER_SEC_HEADER: &str = "5";
/// Window, factor and slack of the bound that the users' deployments state.
const WINDOW: Duration = Duration::from_secs(4);
const RATE_FACTOR: f64 = 1.5;
const RATE_SLACK: f64 = 5.0;
/// Time after which a statement must be in force at the node that received it.
const TOLD_DELAY: Duration = Duration::from_millis(500);
/// Time between two reads of one caller.
const READ_INTERVAL: Duration = Duration::from_millis(50);

async fn send_read(node: &Node, attempt: &str) -> u16 {
    let sent = request(attempt, Method::GET, READ_PATH, None);
    caller::send(node.addresses.callers, &sent).await.code()
}

impl Cluster {
    /// Sends reads to a node until one of them has reached a target.
    async fn reach(&self, node: usize, target: &str) {
        let target = self.target(target);
        let before = target.arrivals();
        wait_until("a request reaches the target", async || {
            send_read(&self.nodes[node], "reach").await;
            target.arrivals() > before
        })
        .await;
    }

    /// Sends reads to the given nodes at a steady pace for a time; returns their status codes.
    async fn send_reads(&self, nodes: &[usize], span: Duration) -> Vec<u16> {
        let mut callers = JoinSet::new();
        for node in nodes {
            let address = self.nodes[*node].addresses.callers;
            let node = *node;
            callers.spawn(async move {
                let end = Instant::now() + span;
                let mut codes = Vec::new();
                while Instant::now() < end {
                    let attempt = format!("read-{node}-{}", codes.len());
                    let sent = request(&attempt, Method::GET, READ_PATH, None);
                    codes.push(caller::send(address, &sent).await.code());
                    sleep(READ_INTERVAL).await;
                }
                codes
            });
        }
        callers.join_all().await.concat()
    }

    /// Returns the largest number of runs at a target in any window since `from`.
    fn most_in_window(&self, target: &str, from: Instant) -> usize {
        let runs = self.run_log.runs().into_iter();
        let times: Vec<_> = runs
            .filter(|run| run.target == target && run.at >= from.into_std())
            .map(|run| run.at)
            .collect();
        let in_window = |start: &std::time::Instant| {
            let is_within = |at: &&std::time::Instant| **at >= *start && **at < *start + WINDOW;
            times.iter().filter(is_within).count()
        };
        times.iter().map(in_window).max().unwrap_or_default()
    }
}

fn allowed() -> f64 {
    RATE_FACTOR * PER_SEC * WINDOW.as_secs_f64() + RATE_SLACK
}

/// Nodes went on sending to a target that had stated a rate as if it had not.
#[tokio::test]
async fn all_nodes_together_respect_the_rate_that_a_target_states() {
    let cluster = Cluster::with_nodes("stated-rate", 3).await;
    cluster.wait_until_registered().await;
    let target = cluster.target("p1");
    target.set_rate_limit(Some(PER_SEC_HEADER));
    for node in 0..3 {
        cluster.reach(node, "p1").await;
    }
    sleep(TOLD_DELAY).await;
    let from = Instant::now();
    let codes = cluster.send_reads(&[0, 1, 2], Duration::from_secs(6)).await;
    assert!(codes.iter().all(|code| *code == 200));
    let most = cluster.most_in_window("p1", from);
    assert!(most as f64 <= allowed(), "{most}, {} allowed", allowed());
    assert!(most > 0, "the target still gets requests");
    // It is used as before once it states no rate any more.
    target.set_rate_limit(None);
    wait_until("the target is used as much as the other", async || {
        let before = (target.arrivals(), cluster.target("p2").arrivals());
        cluster
            .send_reads(&[0, 1, 2], Duration::from_millis(500))
            .await;
        let here = target.arrivals() - before.0;
        let there = cluster.target("p2").arrivals() - before.1;
        here * 2 >= there
    })
    .await;
    cluster.close();
}

/// A node that has received no statement itself keeps to its share as well.
#[tokio::test]
async fn nodes_learn_from_each_other_which_rate_a_target_states() {
    let cluster = Cluster::with_nodes("stated-rate-peers", 3).await;
    cluster.wait_until_registered().await;
    cluster.target("p1").set_rate_limit(Some(PER_SEC_HEADER));
    cluster.reach(0, "p1").await;
    // Findings reach all nodes within a second.
    sleep(Duration::from_secs(1)).await;
    let before = cluster.target("p1").arrivals();
    cluster.send_reads(&[1, 2], Duration::from_secs(4)).await;
    let arrived = cluster.target("p1").arrivals() - before;
    assert!(arrived as f64 <= allowed(), "{arrived} requests");
    cluster.close();
}

/// What no target can take in time is refused at once, truthfully and with a time to return.
#[tokio::test]
async fn callers_are_refused_at_once_while_all_targets_have_reached_their_stated_rates() {
    let cluster = Cluster::with_nodes("stated-rate-all", 1).await;
    cluster.wait_until_registered().await;
    for target in &cluster.targets {
        target.set_rate_limit(Some("0.1"));
    }
    wait_until("all targets have stated their rates", async || {
        send_read(&cluster.nodes[0], "told").await == 503
    })
    .await;
    let runs = cluster.run_log.runs().len();
    let asked = Instant::now();
    let write = request("w", Method::POST, WRITE_PATH, None);
    let answer = cluster.send(&write).await;
    assert_eq!(answer.code(), 503);
    assert!(asked.elapsed() < Duration::from_millis(500));
    let retry_after_sec = answer.retry_after_sec().unwrap();
    assert!((0.1..=10.0).contains(&retry_after_sec), "{retry_after_sec}");
    assert_eq!(cluster.run_log.runs().len(), runs);
    cluster.close();
}
