//! A request that crashes its targets is quarantined although it is resent through several
//! nodes, while other requests complete.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

mod common;

use std::time::Duration;

use common::caller;
use common::caller::Stream;
use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::fleet::StandIn;
use common::wait;
use filbertpaddle::record;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::suspect::CRASH_LIMIT;
use futures_util::future::join_all;
use serde_json::Value;

const MODEL: &str = "teacher";
const CRASH_TEXT: &str = "poison";
const ENGINES: usize = 6;
const REFUSALS: usize = 12;
const RESEND_INTERVAL: Duration = Duration::from_millis(100);
const REGULAR_REQUESTS: usize = 24;

struct Deployment {
    platform: Platform,
    engines: Vec<StandIn>,
    nodes: Vec<Node>,
}

async fn start() -> Deployment {
    let mut platform = Platform::start();
    let engines: Vec<_> = (0..ENGINES)
        .map(|_| {
            StandIn::start(&[
                "engine", "--seed", "7", "--speed", "20", "--poison", CRASH_TEXT,
            ])
        })
        .collect();
    platform.seed(&[("summary", fleet::template(MODEL))]).await;
    for (number, engine) in engines.iter().enumerate() {
        let name = format!("engine-{number}");
        platform
            .list_target(&name, "north", MODEL, engine.address)
            .await;
    }
    let mut nodes: Vec<Node> = Vec::new();
    for name in ["entry-1", "entry-2", "entry-3"] {
        nodes.push(Node::start(&NodeSettings {
            name: name.to_owned(),
            data_centre: "north".to_owned(),
            platform: platform.standin.address,
            peers: nodes.iter().map(|node| node.addresses.peers).collect(),
            extra_yaml: String::new(),
        }));
    }
    for node in &nodes {
        node.ready().await;
    }
    let deployment = Deployment {
        platform,
        engines,
        nodes,
    };
    deployment.wait_until_ready().await;
    deployment
}

impl Deployment {
    /// Waits until all nodes are members and a request is completed.
    async fn wait_until_ready(&self) {
        wait::until("all nodes are in the roster", async || {
            let record = record::read(&self.platform.client, "north").await.ok()?;
            let all_joined = record.roster.sharers.len() == self.nodes.len();
            (all_joined && record.roster.next.is_none()).then_some(())
        })
        .await;
        for node in 0..self.nodes.len() {
            wait::until("a request is completed", async || {
                let outcome = self.send(node, &format!("first of {node}")).await;
                matches!(outcome, Outcome::Complete { .. }).then_some(())
            })
            .await;
        }
    }

    async fn send(&self, node: usize, text: &str) -> Outcome {
        let address = self.nodes[node].addresses.callers;
        let response = caller::send(address, "summary", text, None).await;
        if response.status() != 200 {
            return caller::outcome(response).await;
        }
        let (_, outcome) = Stream::open(response).rest().await;
        outcome.unwrap()
    }

    /// Resends a regular request until it completes, as its caller would.
    async fn send_until_complete(&self, number: usize) {
        let text = format!("pupil {number}");
        wait::until("a regular request is completed", async || {
            let outcome = self.send(number % self.nodes.len(), &text).await;
            let quarantined = matches!(
                outcome,
                Outcome::NotRun {
                    reason: Reason::Quarantined,
                    ..
                }
            );
            assert!(!quarantined, "pupil {number}: {outcome:?}");
            matches!(outcome, Outcome::Complete { .. }).then_some(())
        })
        .await;
    }

    async fn crashes(&self) -> u64 {
        let mut crashes = 0;
        for engine in &self.engines {
            let counters: Value = engine.read("counters").await;
            crashes += counters["crashes"].as_u64().unwrap();
        }
        crashes
    }

    /// Sends the crashing request through the nodes in turn until it was refused as
    /// quarantined [`REFUSALS`] times.
    async fn send_until_quarantined(&self, nodes: &[usize]) {
        let mut refused = 0;
        for turn in 0.. {
            let outcome = self.send(nodes[turn % nodes.len()], CRASH_TEXT).await;
            match outcome {
                Outcome::NotRun {
                    reason: Reason::Quarantined,
                    retry_after_ms,
                } => {
                    assert_eq!(retry_after_ms, None);
                    refused += 1;
                }
                Outcome::Complete { .. } => panic!("the crashing request was completed"),
                _ => assert!(turn < 10 * REFUSALS, "not refused: {outcome:?}"),
            }
            tokio::time::sleep(RESEND_INTERVAL).await;
            if refused == REFUSALS {
                return;
            }
        }
    }
}

#[tokio::test]
async fn crashing_request_is_quarantined_and_concurrent_requests_complete() {
    let deployment = start().await;
    let regular =
        join_all((0..REGULAR_REQUESTS).map(|number| deployment.send_until_complete(number)));
    let crashing = deployment.send_until_quarantined(&[0, 1, 2]);
    tokio::join!(regular, crashing);
    let crashes = deployment.crashes().await;
    assert!(crashes >= 1);
    assert!(crashes <= CRASH_LIMIT as u64, "{crashes} targets crashed");
}

#[tokio::test]
async fn new_pool_owner_still_refuses_the_crashing_request() {
    let mut deployment = start().await;
    deployment.send_until_quarantined(&[0, 1, 2]).await;
    let roster = record::read(&deployment.platform.client, "north")
        .await
        .unwrap()
        .roster;
    let owner = roster.owner(MODEL).unwrap().clone();
    let named = |node: &Node| node.name == owner.member.name;
    let index = deployment.nodes.iter().position(named).unwrap();
    deployment.nodes.remove(index).process.close();
    wait::until("the pool has a new owner", async || {
        let record = record::read(&deployment.platform.client, "north")
            .await
            .ok()?;
        (record.roster.owner(MODEL)?.epoch > owner.epoch).then_some(())
    })
    .await;
    deployment.send_until_quarantined(&[0, 1]).await;
    let crashes = deployment.crashes().await;
    assert!(crashes <= CRASH_LIMIT as u64, "{crashes} targets crashed");
}
