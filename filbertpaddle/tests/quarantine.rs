//! A request that crashes its targets, sent again through several nodes.

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
const POISON: &str = "poison";
const ENGINES: usize = 6;
const RESENDS: usize = 12;
const RESEND_PAUSE: Duration = Duration::from_millis(100);
const INNOCENT: usize = 24;

struct Deployment {
    platform: Platform,
    engines: Vec<StandIn>,
    nodes: Vec<Node>,
}

async fn start() -> Deployment {
    let mut platform = Platform::start();
    let engines: Vec<_> = (0..ENGINES)
        .map(|_| StandIn::start(&["engine", "--seed", "7", "--speed", "20", "--poison", POISON]))
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
    deployment.settled().await;
    deployment
}

impl Deployment {
    /// Waits until all nodes are members and a request is completed.
    async fn settled(&self) {
        wait::until("the record settles", async || {
            let record = record::read(&self.platform.client, "north").await.ok()?;
            let whole = record.roster.sharers.len() == self.nodes.len();
            (whole && record.roster.next.is_none()).then_some(())
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

    /// Sends an innocent request until it is answered, as its caller would.
    async fn answered(&self, number: usize) {
        let text = format!("pupil {number}");
        wait::until("an innocent request is answered", async || {
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

    /// Sends the poison through one node after the other until it is refused
    /// for good, and some times more.
    async fn resend(&self, nodes: &[usize]) {
        let mut refused = 0;
        for turn in 0.. {
            let outcome = self.send(nodes[turn % nodes.len()], POISON).await;
            match outcome {
                Outcome::NotRun {
                    reason: Reason::Quarantined,
                    retry_after_ms,
                } => {
                    assert_eq!(retry_after_ms, None);
                    refused += 1;
                }
                Outcome::Complete { .. } => panic!("the poison was answered"),
                _ => assert!(turn < 10 * RESENDS, "not refused: {outcome:?}"),
            }
            tokio::time::sleep(RESEND_PAUSE).await;
            if refused == RESENDS {
                return;
            }
        }
    }
}

#[tokio::test]
async fn poison_stops_and_the_innocent_beside_it_are_answered() {
    let deployment = start().await;
    let innocent = join_all((0..INNOCENT).map(|number| deployment.answered(number)));
    let poison = deployment.resend(&[0, 1, 2]);
    tokio::join!(innocent, poison);
    let crashes = deployment.crashes().await;
    assert!(crashes >= 1);
    assert!(crashes <= CRASH_LIMIT as u64, "{crashes} targets crashed");
}

#[tokio::test]
async fn a_successor_still_refuses_the_poison() {
    let mut deployment = start().await;
    deployment.resend(&[0, 1, 2]).await;
    let roster = record::read(&deployment.platform.client, "north")
        .await
        .unwrap()
        .roster;
    let owner = roster.owner(MODEL).unwrap().clone();
    let named = |node: &Node| node.name == owner.member.name;
    let index = deployment.nodes.iter().position(named).unwrap();
    deployment.nodes.remove(index).process.close();
    wait::until("another owner", async || {
        let record = record::read(&deployment.platform.client, "north")
            .await
            .ok()?;
        (record.roster.owner(MODEL)?.epoch > owner.epoch).then_some(())
    })
    .await;
    deployment.resend(&[0, 1]).await;
    let crashes = deployment.crashes().await;
    assert!(crashes <= CRASH_LIMIT as u64, "{crashes} targets crashed");
}
