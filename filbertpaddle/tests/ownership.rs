//! Pool ownership over real processes: cold targets, dead and paused owners,
//! the table out, a data centre cut off.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::time::Duration;

use common::caller;
use common::caller::Stream;
use common::fault_proxy;
use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::fleet::StandIn;
use common::wait;
use filbertpaddle::record;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::roster::Roster;
use filbertpaddle_standins::engine_fault::Fault;
use filbertpaddle_standins::proxy::Link;
use serde_json::Value;

const MODEL: &str = "teacher";
const COLD_LIMIT: &str = "2";
/// Far longer than a test takes, at the engine's speed.
const NEVER_WARM_MS: &str = "1000000000";
/// Longer than the span in which owners and shares change hands.
const HAND_OVER: Duration = Duration::from_secs(30);

struct Deployment {
    platform: Platform,
    proxy: StandIn,
    engine: StandIn,
    nodes: Vec<Node>,
}

/// Starts a cold engine, three nodes and a proxy between them and the platform.
async fn start() -> Deployment {
    start_at("20").await
}

async fn start_at(speed: &str) -> Deployment {
    let mut platform = Platform::start();
    let proxy = fault_proxy::start(platform.standin.address);
    let engine = StandIn::start(&[
        "engine",
        "--seed",
        "7",
        "--speed",
        speed,
        "--cold",
        "--cold-limit",
        COLD_LIMIT,
        "--ignore-fence",
        "--warm-up-ms",
        NEVER_WARM_MS,
    ]);
    platform.seed(&[("summary", fleet::template(MODEL))]).await;
    platform
        .list_target("engine-1", "north", MODEL, engine.address)
        .await;
    let mut nodes: Vec<Node> = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        nodes.push(Node::start(&NodeSettings {
            name: name.to_owned(),
            data_centre: "north".to_owned(),
            platform: proxy.address,
            peers: nodes.iter().map(|node| node.addresses.peers).collect(),
            extra_yaml: String::new(),
        }));
    }
    for node in &nodes {
        node.ready().await;
    }
    let deployment = Deployment {
        platform,
        proxy,
        engine,
        nodes,
    };
    deployment.settled().await;
    deployment
}

impl Deployment {
    /// Waits until all nodes are settled sharers and the pool has an owner.
    async fn settled(&self) -> Roster {
        let count = self.nodes.len();
        wait::until("the record settles", async || {
            let roster = self.roster().await;
            let whole = roster.sharers.len() == count && roster.next.is_none();
            (whole && roster.owner(MODEL).is_some()).then_some(roster)
        })
        .await
    }

    async fn roster(&self) -> Roster {
        let record = record::read(&self.platform.client, "north").await;
        record.unwrap().roster
    }

    async fn owner(&self) -> (usize, u64) {
        let roster = self.roster().await;
        let owner = roster.owner(MODEL).unwrap();
        let named = |node: &Node| node.name == owner.member.name;
        (self.nodes.iter().position(named).unwrap(), owner.epoch)
    }

    /// Sends requests through the nodes at once; returns how many were completed.
    async fn load(&self, nodes: &[usize], requests: usize) -> usize {
        let tasks: Vec<_> = (0..requests)
            .map(|number| {
                let node = self.nodes[nodes[number % nodes.len()]].addresses.callers;
                tokio::spawn(async move { one(node, number).await })
            })
            .collect();
        let mut complete = 0;
        for task in tasks {
            complete += usize::from(task.await.unwrap());
        }
        complete
    }

    /// Sends requests through the nodes until one is completed.
    async fn serves(&self, nodes: &[usize]) {
        wait::until("a request is completed", async || {
            (self.load(nodes, 6).await > 0).then_some(())
        })
        .await;
    }

    /// Returns the engine's own count of work beyond its cold limit.
    async fn excess(&self) -> u64 {
        let counters: Value = self.engine.read("counters").await;
        counters["totals"]["cold_excess"].as_u64().unwrap()
    }

    /// Returns how much work the engine runs, by its own report.
    async fn running(&self) -> u64 {
        let url = format!("http://{}/v1/load", self.engine.address);
        let load: Value = reqwest::get(url).await.unwrap().json().await.unwrap();
        load["running"].as_u64().unwrap()
    }

    async fn cut_platform(&self, cut: bool) {
        let link = if cut { Link::Cut } else { Link::Open };
        fault_proxy::set_link(&self.proxy, link).await;
    }

    fn others(&self, node: usize) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|other| *other != node)
            .collect()
    }
}

async fn one(node: std::net::SocketAddr, number: usize) -> bool {
    let text = format!("pupil {number}");
    let response = caller::send(node, "summary", &text, None).await;
    if response.status() != 200 {
        return false;
    }
    let (_, outcome) = Stream::open(response).rest().await;
    matches!(outcome, Some(Outcome::Complete { .. }))
}

#[tokio::test]
async fn a_cold_target_bears_three_nodes_at_once() {
    let deployment = start().await;
    deployment.serves(&[0, 1, 2]).await;
    let complete = deployment.load(&[0, 1, 2], 60).await;
    assert!(complete > 0);
    assert_eq!(deployment.excess().await, 0);
}

#[tokio::test]
async fn a_successor_serves_after_the_owner_is_killed() {
    let mut deployment = start().await;
    deployment.serves(&[0, 1, 2]).await;
    let (owner, epoch) = deployment.owner().await;
    deployment.nodes.remove(owner).process.close();
    wait::until("another owner", async || {
        let roster = deployment.roster().await;
        (roster.owner(MODEL)?.epoch > epoch).then_some(())
    })
    .await;
    deployment.serves(&[0, 1]).await;
    deployment.load(&[0, 1], 40).await;
    assert_eq!(deployment.excess().await, 0);
}

#[tokio::test]
async fn a_paused_owner_wakes_deposed() {
    let deployment = start().await;
    deployment.serves(&[0, 1, 2]).await;
    let (owner, epoch) = deployment.owner().await;
    deployment.nodes[owner].process.pause().unwrap();
    wait::until("another owner", async || {
        let roster = deployment.roster().await;
        (roster.owner(MODEL)?.epoch > epoch).then_some(())
    })
    .await;
    let others = deployment.others(owner);
    deployment.serves(&others).await;
    deployment.nodes[owner].process.resume().unwrap();
    deployment.load(&[0, 1, 2], 60).await;
    deployment.serves(&[owner]).await;
    assert_eq!(deployment.excess().await, 0);
}

#[tokio::test]
async fn the_owner_goes_on_while_the_platform_is_out() {
    let deployment = start().await;
    deployment.serves(&[0, 1, 2]).await;
    let before = deployment.owner().await;
    deployment.cut_platform(true).await;
    tokio::time::sleep(HAND_OVER).await;
    for node in 0..3 {
        deployment.serves(&[node]).await;
    }
    deployment.cut_platform(false).await;
    assert_eq!(deployment.owner().await, before);
    assert_eq!(deployment.excess().await, 0);
}

#[tokio::test]
async fn shares_serve_while_platform_and_owner_are_out() {
    let mut deployment = start().await;
    deployment.serves(&[0, 1, 2]).await;
    let (owner, _) = deployment.owner().await;
    deployment.cut_platform(true).await;
    deployment.nodes.remove(owner).process.close();
    deployment.serves(&[0, 1]).await;
    deployment.load(&[0, 1], 40).await;
    deployment.cut_platform(false).await;
    wait::until("another owner", async || {
        let roster = deployment.roster().await;
        let named = &roster.owner(MODEL)?.member.name;
        let mut nodes = deployment.nodes.iter();
        nodes.any(|node| node.name == *named).then_some(())
    })
    .await;
    deployment.serves(&[0]).await;
    deployment.serves(&[1]).await;
    assert_eq!(deployment.excess().await, 0);
}

#[tokio::test]
async fn a_target_that_turns_cold_with_a_full_batch_gets_nothing_new() {
    // In real time, as the engine counts from two seconds after the turn.
    let deployment = start_at("1").await;
    deployment.engine.control("faults", &Fault::Warm).await;
    deployment.serves(&[0, 1, 2]).await;
    let load = deployment.load(&[0, 1, 2], 30);
    let turn = async {
        wait::until("a batch beyond the cold limit", async || {
            let running = deployment.running().await;
            (running > 2).then_some(())
        })
        .await;
        deployment.engine.control("faults", &Fault::Cold).await;
    };
    let (complete, ()) = tokio::join!(load, turn);
    assert!(complete > 0);
    let counters: Value = deployment.engine.read("counters").await;
    let totals = &counters["totals"];
    assert_eq!(totals["cold_excess"], totals["cold_excess_in_grace"]);
}
