//! Nodes that start while the node that they would follow is down, or starts as well.

use std::time::SystemTime;

use serde::Deserialize;

use crate::cluster::Cluster;
use crate::cluster::wait_until;

/// Time from the start of a node to its first configuration, as the users' deployments need it.
const START_BOUND_MS: i64 = 200;
const DAY_MS: i64 = 86_400_000;

/// A line of a node's log.
#[derive(Deserialize)]
struct Line {
    msg: String,
    ts: String,
}

impl Cluster {
    /// Waits until a node has its first configuration; returns the time from `started_ms` by its
    /// log.
    async fn start_time_ms(&self, node: &str, started_ms: i64) -> i64 {
        let applied_at_ms = || {
            let log = self.log(node);
            // The last line may be incomplete.
            let lines = log
                .lines()
                .filter_map(|line| serde_json::from_str(line).ok());
            let mut found = lines.filter(|line: &Line| line.msg == "configuration applied");
            found.next().map(|line| parse_ms(&line.ts))
        };
        wait_until("the node has a configuration", async || {
            applied_at_ms().is_some()
        })
        .await;
        applied_at_ms().unwrap() - started_ms
    }
}

/// Returns the milliseconds of the day.
fn now_ms() -> i64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    i64::try_from(since.unwrap().as_millis()).unwrap() % DAY_MS
}

/// Returns the milliseconds of the day of a time such as `2026-12-04T16:57:45.227483564Z`.
fn parse_ms(time: &str) -> i64 {
    let digits: Vec<i64> = time[11..23]
        .split([':', '.'])
        .map(|part| part.parse().unwrap())
        .collect();
    let [hours, minutes, seconds, millis] = digits[..] else {
        panic!("not a time: {time}");
    };
    ((hours * 60 + minutes) * 60 + seconds) * 1_000 + millis
}

#[tokio::test]
async fn a_node_that_starts_while_its_neighbour_is_down_has_a_configuration_at_once() {
    for down in 1..=3 {
        let mut cluster = Cluster::with_nodes(&format!("start-{down}-down"), 3).await;
        cluster.wait_until_registered().await;
        let former: Vec<_> = cluster.nodes.drain(..down).collect();
        let mut options = cluster.node_options("late", "dc-a");
        options.seeds = former.iter().map(|node| node.addresses.peers).collect();
        for node in former {
            node.close().unwrap();
        }
        let started_ms = now_ms();
        cluster.start_node(&options);
        let took_ms = cluster.start_time_ms("late", started_ms).await;
        println!("{down} of 3 nodes down: {took_ms} ms");
        assert!(
            took_ms <= START_BOUND_MS,
            "{took_ms} ms with {down} nodes down"
        );
        cluster.close();
    }
}

#[tokio::test]
async fn nodes_that_start_together_have_a_configuration_at_once() {
    let mut cluster = Cluster::with_nodes("start-together", 3).await;
    cluster.wait_until_registered().await;
    let seeds: Vec<_> = cluster
        .nodes
        .iter()
        .map(|node| node.addresses.peers)
        .collect();
    for node in cluster.nodes.drain(..) {
        node.close().unwrap();
    }
    let names: Vec<_> = (0..7).map(|number| format!("again-{number}")).collect();
    let mut started_ms = Vec::new();
    for name in &names {
        let mut options = cluster.node_options(name, "dc-a");
        options.seeds = seeds.clone();
        started_ms.push(now_ms());
        cluster.start_node(&options);
    }
    let mut longest_ms = 0;
    for (name, started_ms) in names.iter().zip(started_ms) {
        let took_ms = cluster.start_time_ms(name, started_ms).await;
        println!("{name}: {took_ms} ms");
        longest_ms = longest_ms.max(took_ms);
    }
    assert!(longest_ms <= START_BOUND_MS, "{longest_ms} ms");
    cluster.close();
}
