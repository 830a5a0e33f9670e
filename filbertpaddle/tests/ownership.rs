//! Pool ownership across node processes: the cold limit of a target holds while
//! owners are killed or paused and while the platform is unavailable.

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
/// Far longer than a test, at the engine's speed, so that the target stays cold.
const NEVER_WARM_MS: &str = "1000000000";
/// Longer than the time limits after which owners are replaced and shares used.
const OUTAGE_DURATION: Duration = Duration::from_secs(30);

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
    deployment.wait_for_stable_record().await;
    deployment
}

impl Deployment {
    /// Waits until all nodes are sharers, no change of sharers is pending and the
    /// pool has an owner.
    async fn wait_for_stable_record(&self) -> Roster {
        let count = self.nodes.len();
        wait::until("the record is stable", async || {
            let roster = self.roster().await;
            let is_complete = roster.sharers.len() == count && roster.next.is_none();
            (is_complete && roster.owner(MODEL).is_some()).then_some(roster)
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

    /// Sends requests through the nodes concurrently; returns how many were completed.
    async fn send_requests(&self, nodes: &[usize], requests: usize) -> usize {
        let tasks: Vec<_> = (0..requests)
            .map(|number| {
                let node = self.nodes[nodes[number % nodes.len()]].addresses.callers;
                tokio::spawn(async move { send_request(node, number).await })
            })
            .collect();
        let mut complete = 0;
        for task in tasks {
            complete += usize::from(task.await.unwrap());
        }
        complete
    }

    /// Sends requests through the nodes until one is completed.
    async fn wait_until_served(&self, nodes: &[usize]) {
        wait::until("a request is completed", async || {
            (self.send_requests(nodes, 6).await > 0).then_some(())
        })
        .await;
    }

    /// Returns the engine's count of work beyond its cold limit.
    async fn cold_excess(&self) -> u64 {
        let counters: Value = self.engine.read("counters").await;
        counters["totals"]["cold_excess"].as_u64().unwrap()
    }

    /// Returns the number of requests running on the engine, from its load report.
    async fn running(&self) -> u64 {
        let url = format!("http://{}/v1/load", self.engine.address);
        let load: Value = reqwest::get(url).await.unwrap().json().await.unwrap();
        load["running"].as_u64().unwrap()
    }

    async fn cut_platform(&self, cut: bool) {
        let link = if cut { Link::Cut } else { Link::Open };
        fault_proxy::set_link(&self.proxy, link).await;
    }

    fn other_nodes(&self, node: usize) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|other| *other != node)
            .collect()
    }
}

async fn send_request(node: std::net::SocketAddr, number: usize) -> bool {
    let text = format!("pupil {number}");
    let response = caller::send(node, "summary", &text, None).await;
    if response.status() != 200 {
        return false;
    }
    let (_, outcome) = Stream::open(response).rest().await;
    matches!(outcome, Some(Outcome::Complete { .. }))
}

#[tokio::test]
async fn the_cold_limit_holds_under_load_from_three_nodes() {
    let deployment = start().await;
    deployment.wait_until_served(&[0, 1, 2]).await;
    let complete = deployment.send_requests(&[0, 1, 2], 60).await;
    assert!(complete > 0);
    assert_eq!(deployment.cold_excess().await, 0);
}

#[tokio::test]
async fn a_successor_serves_after_the_owner_is_killed() {
    let mut deployment = start().await;
    deployment.wait_until_served(&[0, 1, 2]).await;
    let (owner, epoch) = deployment.owner().await;
    deployment.nodes.remove(owner).process.close();
    wait::until("the pool has a new owner", async || {
        let roster = deployment.roster().await;
        (roster.owner(MODEL)?.epoch > epoch).then_some(())
    })
    .await;
    deployment.wait_until_served(&[0, 1]).await;
    deployment.send_requests(&[0, 1], 40).await;
    assert_eq!(deployment.cold_excess().await, 0);
}

#[tokio::test]
async fn the_cold_limit_holds_after_a_replaced_owner_resumes() {
    let deployment = start().await;
    deployment.wait_until_served(&[0, 1, 2]).await;
    let (owner, epoch) = deployment.owner().await;
    deployment.nodes[owner].process.pause().unwrap();
    wait::until("the pool has a new owner", async || {
        let roster = deployment.roster().await;
        (roster.owner(MODEL)?.epoch > epoch).then_some(())
    })
    .await;
    let others = deployment.other_nodes(owner);
    deployment.wait_until_served(&others).await;
    deployment.nodes[owner].process.resume().unwrap();
    deployment.send_requests(&[0, 1, 2], 60).await;
    deployment.wait_until_served(&[owner]).await;
    assert_eq!(deployment.cold_excess().await, 0);
}

#[tokio::test]
async fn the_owner_keeps_granting_while_the_platform_is_unavailable() {
    let deployment = start().await;
    deployment.wait_until_served(&[0, 1, 2]).await;
    let before = deployment.owner().await;
    deployment.cut_platform(true).await;
    tokio::time::sleep(OUTAGE_DURATION).await;
    for node in 0..3 {
        deployment.wait_until_served(&[node]).await;
    }
    deployment.cut_platform(false).await;
    assert_eq!(deployment.owner().await, before);
    assert_eq!(deployment.cold_excess().await, 0);
}

#[tokio::test]
async fn nodes_use_their_shares_while_platform_and_owner_are_unavailable() {
    let mut deployment = start().await;
    deployment.wait_until_served(&[0, 1, 2]).await;
    let (owner, _) = deployment.owner().await;
    deployment.cut_platform(true).await;
    deployment.nodes.remove(owner).process.close();
    deployment.wait_until_served(&[0, 1]).await;
    deployment.send_requests(&[0, 1], 40).await;
    deployment.cut_platform(false).await;
    wait::until("the pool has a new owner", async || {
        let roster = deployment.roster().await;
        let named = &roster.owner(MODEL)?.member.name;
        let mut nodes = deployment.nodes.iter();
        nodes.any(|node| node.name == *named).then_some(())
    })
    .await;
    deployment.wait_until_served(&[0]).await;
    deployment.wait_until_served(&[1]).await;
    assert_eq!(deployment.cold_excess().await, 0);
}

#[tokio::test]
async fn a_target_that_turns_cold_with_a_full_batch_gets_no_new_work() {
    // At real speed, as the engine counts excess from two seconds after it turned cold.
    let deployment = start_at("1").await;
    deployment.engine.control("faults", &Fault::Warm).await;
    deployment.wait_until_served(&[0, 1, 2]).await;
    let load = deployment.send_requests(&[0, 1, 2], 30);
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
