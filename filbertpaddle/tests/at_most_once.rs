//! Non-idempotent requests run at most once when nodes, links, the platform or the target
//! fail.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use common::caller;
use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::wait;
use filbertpaddle::clock;
use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Record;
use filbertpaddle_core::claim::State;
use filbertpaddle_core::claim::StoredAnswer;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::commit;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::sweep;
use filbertpaddle_core::template::DeliveryMode;
use filbertpaddle_core::template::Template;
use filbertpaddle_core::template::WorkKind;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;
use filbertpaddle_standins::platform_faults::Faults;
use filbertpaddle_standins::platform_faults::Loss;
use filbertpaddle_standins::platform_faults::Outage;
use filbertpaddle_standins::proxy::Link;
use filbertpaddle_standins::proxy::Proxy;
use filbertpaddle_standins::service;
use filbertpaddle_standins::service::Service;

const SHARED_COMMITTER_SETTINGS: &str = "claims: {nodes_per_committer: 2}";
const COMPLETE: Outcome = Outcome::Complete { tokens: 1 };

/// Two nodes, each with its own proxy to the platform, and one plain service behind a
/// proxy.
struct Fleet {
    platform: Platform,
    service: Service,
    service_proxy: Proxy,
    proxies: Vec<Proxy>,
    nodes: Vec<Node>,
}

impl Fleet {
    async fn start(call_ms: Millis) -> Self {
        Self::start_with(call_ms, "").await
    }

    /// Starts nodes with YAML appended to their settings files.
    async fn start_with(call_ms: Millis, extra_yaml: &str) -> Self {
        let mut platform = Platform::start();
        let service = Service::start(service::Settings {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            duration_ms: call_ms,
        });
        let service = service.await.unwrap();
        let service_proxy = Proxy::start(service.address).await.unwrap();
        let templates = [("order", call(false)), ("stock", call(true))];
        platform.seed(&templates).await;
        platform
            .list_target("store-1", "north", "store", service_proxy.address)
            .await;
        let mut fleet = Self {
            platform,
            service,
            service_proxy,
            proxies: Vec::new(),
            nodes: Vec::new(),
        };
        for name in ["entry-1", "entry-2"] {
            fleet.add_node(name, extra_yaml).await;
        }
        for index in 0..fleet.nodes.len() {
            fleet.wait_for_target(index).await;
        }
        fleet
    }

    async fn add_node(&mut self, name: &str, extra_yaml: &str) {
        let proxy = Proxy::start(self.platform.standin.address).await.unwrap();
        let settings = NodeSettings {
            name: name.to_owned(),
            data_centre: "north".to_owned(),
            platform: proxy.address,
            peers: self.nodes.iter().map(|node| node.addresses.peers).collect(),
            extra_yaml: extra_yaml.to_owned(),
        };
        self.proxies.push(proxy);
        self.nodes.push(Node::start(&settings));
    }

    async fn wait_for_target(&self, node: usize) {
        self.nodes[node].ready().await;
        wait::until("the node completes a request at the target", async || {
            let outcome = self.send(node, "stock", "probe", None).await;
            (outcome == COMPLETE).then_some(())
        })
        .await;
    }

    async fn send(&self, node: usize, template: &str, text: &str, key: Option<&str>) -> Outcome {
        let address = self.nodes[node].addresses.callers;
        let response = caller::send(address, template, text, key).await;
        caller::outcome(response).await
    }

    /// Sends the order `text` under the key `text`.
    async fn order(&self, node: usize, text: &str) -> Outcome {
        self.send(node, "order", text, Some(text)).await
    }

    /// Sends an order in a task of its own.
    fn start_order(&self, node: usize, text: &'static str) -> tokio::task::JoinHandle<Outcome> {
        let address = self.nodes[node].addresses.callers;
        tokio::spawn(async move {
            let response = caller::send(address, "order", text, Some(text)).await;
            caller::outcome(response).await
        })
    }

    /// Resends the order until its stored answer is replayed.
    async fn wait_for_replay(&self, node: usize, text: &str) {
        wait::until("the answer is replayed", async || {
            (self.order(node, text).await == COMPLETE).then_some(())
        })
        .await;
    }

    async fn wait_for_claim(&self, text: &str) {
        let key = format!("claim/{}/{text}", fleet::CUSTOMER);
        wait::until("the claim is in the table", async || {
            let rows = self.platform.client.read(vec![key.clone()]).await.ok()?;
            (!rows.rows.is_empty()).then_some(())
        })
        .await;
    }

    async fn set_faults(&self, faults: Faults) {
        self.platform.standin.control("faults", &faults).await;
    }

    /// Returns how often the order was executed.
    fn executions(&self, text: &str) -> u32 {
        let counts = self.service.counts();
        let bodies = counts.bodies.iter();
        bodies
            .filter(|(body, _)| body.ends_with(&format!("text: {text}")))
            .map(|(_, count)| count)
            .sum()
    }
}

fn call(idempotent: bool) -> Template {
    let mut template = fleet::template("store");
    template.work = WorkKind::Call;
    template.delivery = DeliveryMode::Whole;
    template.idempotent = idempotent;
    template
}

fn may_have_run(reason: Reason) -> Outcome {
    Outcome::MayHaveRun { reason }
}

fn is_unavailable(outcome: &Outcome) -> bool {
    matches!(
        outcome,
        Outcome::NotRun {
            reason: Reason::PlatformUnavailable,
            retry_after_ms: Some(_),
        }
    )
}

#[tokio::test]
async fn same_key_sent_to_two_nodes_concurrently_runs_once() {
    let fleet = Fleet::start(Millis(300)).await;
    for text in ["a", "b", "c", "d", "e"] {
        let (first, second) = tokio::join!(fleet.order(0, text), fleet.order(1, text));
        let mut outcomes = [first, second];
        outcomes.sort_by_key(|outcome| *outcome != COMPLETE);
        assert_eq!(outcomes[0], COMPLETE);
        // The second reports that the first is running, or replays its result.
        let is_may_have_run = matches!(outcomes[1], Outcome::MayHaveRun { .. });
        assert!(is_may_have_run || outcomes[1] == COMPLETE, "{outcomes:?}");
        for node in 0..2 {
            fleet.wait_for_replay(node, text).await;
        }
        assert_eq!(fleet.executions(text), 1);
    }
}

#[tokio::test]
async fn key_with_another_body_is_refused() {
    let fleet = Fleet::start(Millis(1)).await;
    assert_eq!(fleet.order(0, "a").await, COMPLETE);
    fleet.wait_for_replay(1, "a").await;
    let outcome = fleet.send(1, "order", "b", Some("a")).await;
    let reused = Outcome::NotRun {
        reason: Reason::KeyReused,
        retry_after_ms: None,
    };
    assert_eq!(outcome, reused);
    assert_eq!(fleet.executions("b"), 0);
}

#[tokio::test]
async fn lost_commit_answer_is_read_back() {
    let fleet = Fleet::start(Millis(1)).await;
    for (text, loss) in [("a", Loss::Drop), ("b", Loss::Status), ("c", Loss::Hold)] {
        fleet
            .set_faults(Faults {
                lose_answers: 1,
                loss,
                ..Faults::default()
            })
            .await;
        let outcome = fleet.order(0, text).await;
        // On a slow machine, reading back may exceed the time limit after a timeout.
        let slow = loss == Loss::Hold && is_unavailable(&outcome);
        assert!(slow || outcome == COMPLETE, "{loss:?}: {outcome:?}");
        fleet.wait_for_replay(1, text).await;
        assert_eq!(fleet.executions(text), 1);
    }
}

/// Pauses entry-1 once its claim is in the table but the answer has not reached it.
async fn pause_between_claim_and_send(
    fleet: &Fleet,
    text: &'static str,
) -> tokio::task::JoinHandle<Outcome> {
    fleet.proxies[0].set_link(Link::CutBackward);
    let first = fleet.start_order(0, text);
    fleet.wait_for_claim(text).await;
    fleet.nodes[0].process.pause().unwrap();
    fleet.proxies[0].heal();
    first
}

#[tokio::test]
async fn holder_killed_between_claim_and_send_leaves_the_outcome_unknown() {
    let mut fleet = Fleet::start(Millis(1)).await;
    let lost = pause_between_claim_and_send(&fleet, "a").await;
    let resent = fleet.order(1, "a").await;
    assert_eq!(resent, may_have_run(Reason::HolderGone));
    fleet.nodes.remove(0).process.close();
    lost.abort();
    let resent = fleet.order(0, "a").await;
    assert_eq!(resent, may_have_run(Reason::HolderGone));
    assert_eq!(fleet.executions("a"), 0);
}

#[tokio::test]
async fn holder_killed_after_send_is_not_replaced() {
    let mut fleet = Fleet::start(Millis(1)).await;
    fleet.service_proxy.set_link(Link::CutBackward);
    let lost = fleet.start_order(0, "a");
    wait::until("the order runs", async || {
        (fleet.executions("a") == 1).then_some(())
    })
    .await;
    fleet.nodes.remove(0).process.close();
    lost.abort();
    fleet.service_proxy.heal();
    for _ in 0..3 {
        let resent = fleet.order(0, "a").await;
        assert_eq!(resent, may_have_run(Reason::HolderGone));
    }
    assert_eq!(fleet.executions("a"), 1);
}

#[tokio::test]
async fn holder_paused_between_claim_and_send_runs_once_after_it_resumes() {
    let fleet = Fleet::start(Millis(1)).await;
    let first = pause_between_claim_and_send(&fleet, "a").await;
    for _ in 0..3 {
        let resent = fleet.order(1, "a").await;
        assert_eq!(resent, may_have_run(Reason::HolderGone));
    }
    assert_eq!(fleet.executions("a"), 0);
    fleet.nodes[0].process.resume().unwrap();
    let outcome = first.await.unwrap();
    // On a slow machine, the node may have abandoned the claim before it was paused.
    assert!(
        outcome == COMPLETE || is_unavailable(&outcome),
        "{outcome:?}"
    );
    fleet.wait_for_replay(1, "a").await;
    fleet.wait_for_replay(0, "a").await;
    assert_eq!(fleet.executions("a"), 1);
}

#[tokio::test]
async fn claim_abandoned_by_a_disconnected_node_is_taken_over() {
    let fleet = Fleet::start(Millis(1)).await;
    // The writes of entry-1 reach the platform, but no answer reaches entry-1.
    fleet.proxies[0].set_link(Link::CutBackward);
    let refused = fleet.order(0, "a").await;
    assert!(is_unavailable(&refused), "{refused:?}");
    fleet.wait_for_claim("a").await;
    fleet.wait_for_replay(1, "a").await;
    assert_eq!(fleet.executions("a"), 1);
    fleet.proxies[0].heal();
    fleet.wait_for_replay(0, "a").await;
    assert_eq!(fleet.executions("a"), 1);
}

#[tokio::test]
async fn target_lost_after_it_ran_is_reported_as_may_have_run_and_not_retried() {
    let fleet = Fleet::start(Millis(1)).await;
    fleet.service_proxy.set_link(Link::CutBackward);
    let first = fleet.start_order(0, "a");
    wait::until("the order runs", async || {
        (fleet.executions("a") == 1).then_some(())
    })
    .await;
    fleet.service_proxy.set_link(Link::Cut);
    let unknown = may_have_run(Reason::TargetFailed);
    assert_eq!(first.await.unwrap(), unknown);
    fleet.service_proxy.heal();
    wait::until("the other node replays the final result", async || {
        (fleet.order(1, "a").await == unknown).then_some(())
    })
    .await;
    assert_eq!(fleet.order(0, "a").await, unknown);
    assert_eq!(fleet.executions("a"), 1);
}

#[tokio::test]
async fn planned_stop_stores_every_result_in_the_table() {
    let mut fleet = Fleet::start(Millis(1)).await;
    assert_eq!(fleet.order(0, "a").await, COMPLETE);
    let mut stopped = fleet.nodes.remove(0);
    stopped.process.terminate().unwrap();
    wait::until("the node has stopped", async || {
        stopped.process.has_ended().unwrap().then_some(())
    })
    .await;
    assert!(stopped.process.wait().unwrap().success());
    assert_eq!(fleet.order(0, "a").await, COMPLETE);
    assert_eq!(fleet.executions("a"), 1);
}

#[tokio::test]
async fn large_answer_is_replayed_completely() {
    let fleet = Fleet::start(Millis(1)).await;
    let text: String = "long ".repeat(2_000);
    let address = fleet.nodes[0].addresses.callers;
    let first = caller::send(address, "order", &text, Some("large")).await;
    let first: serde_json::Value = first.json().await.unwrap();
    let address = fleet.nodes[1].addresses.callers;
    let replayed = wait::until("the answer is replayed", async || {
        let response = caller::send(address, "order", &text, Some("large")).await;
        response.status().is_success().then_some(response)
    });
    let replayed: serde_json::Value = replayed.await.json().await.unwrap();
    assert_eq!(first, replayed);
    assert_eq!(fleet.executions(&text), 1);
}

#[tokio::test]
async fn expired_claims_are_removed_and_recent_ones_are_kept() {
    let platform = Platform::start();
    let now = clock::unix_now();
    let old = Millis(now.0 - sweep::RETENTION_MS.0 - 1);
    let writes = [("old", old), ("young", now)].map(|(key, claimed_at_ms)| Write {
        key: format!("claim/{}/{key}", fleet::CUSTOMER),
        value: Some(finished_record(claimed_at_ms)),
    });
    let seeded = Transaction {
        conditions: Vec::new(),
        writes: writes.to_vec(),
    };
    platform.client.transact(&seeded).await.unwrap();
    let _node = Node::start(&NodeSettings {
        name: "entry-1".to_owned(),
        data_centre: "north".to_owned(),
        platform: platform.standin.address,
        peers: Vec::new(),
        extra_yaml: String::new(),
    });
    let keys: Vec<String> = writes.iter().map(|write| write.key.clone()).collect();
    let left = wait::until("one claim is removed", async || {
        let rows = platform.client.read(keys.clone()).await.ok()?.rows;
        (rows.len() < 2).then_some(rows)
    })
    .await;
    assert_eq!(left.len(), 1);
    assert_eq!(left[0].key, keys[1]);
}

fn finished_record(claimed_at_ms: Millis) -> String {
    let final_result = FinalResult {
        outcome: COMPLETE,
        answer: StoredAnswer::Inline("done".into()),
    };
    let record = Record {
        attempt: "earlier".into(),
        digest: "digest".into(),
        holder: "entry-9".into(),
        incarnation: 1,
        claimed_at_ms,
        state: State::Finished(final_result),
    };
    serde_json::to_string(&record).unwrap()
}

/// Returns the index of the node that commits for both, and of the other one.
fn committer_and_other(fleet: &Fleet) -> (usize, usize) {
    let names: Vec<Name> = fleet
        .nodes
        .iter()
        .map(|node| node.name.as_str().into())
        .collect();
    let committer = commit::choose(&names[0], &names, names.len());
    match committer == names[0] {
        true => (0, 1),
        false => (1, 0),
    }
}

#[tokio::test]
async fn node_disconnected_from_the_platform_claims_through_its_committer() {
    let fleet = Fleet::start_with(Millis(1), SHARED_COMMITTER_SETTINGS).await;
    let (_, other) = committer_and_other(&fleet);
    fleet.proxies[other].set_link(Link::Cut);
    fleet.wait_for_replay(other, "a").await;
    assert_eq!(fleet.executions("a"), 1);
}

#[tokio::test]
async fn paused_committer_is_avoided_and_its_late_write_has_no_effect() {
    let fleet = Fleet::start_with(Millis(1), SHARED_COMMITTER_SETTINGS).await;
    let (committer, other) = committer_and_other(&fleet);
    fleet.proxies[other].set_link(Link::Cut);
    fleet.wait_for_replay(other, "a").await;
    fleet.proxies[other].heal();
    fleet.nodes[committer].process.pause().unwrap();
    fleet.wait_for_replay(other, "b").await;
    assert_eq!(fleet.executions("b"), 1);
    fleet.nodes[committer].process.resume().unwrap();
    fleet.wait_for_replay(committer, "b").await;
    assert_eq!(fleet.executions("b"), 1);
}

#[tokio::test]
async fn same_key_sent_to_two_nodes_with_one_committer_runs_once() {
    let fleet = Fleet::start_with(Millis(50), SHARED_COMMITTER_SETTINGS).await;
    for text in ["a", "b", "c", "d", "e"] {
        let (first, second) = tokio::join!(fleet.order(0, text), fleet.order(1, text));
        assert!(
            [&first, &second].contains(&&COMPLETE),
            "{first:?} {second:?}"
        );
        fleet.wait_for_replay(0, text).await;
        fleet.wait_for_replay(1, text).await;
        assert_eq!(fleet.executions(text), 1);
    }
}

#[tokio::test]
async fn platform_outage_refuses_orders_and_serves_idempotent_requests() {
    let fleet = Fleet::start(Millis(1)).await;
    for (text, outage) in [("a", Outage::Refuse), ("b", Outage::Stall)] {
        fleet
            .set_faults(Faults {
                outage,
                ..Faults::default()
            })
            .await;
        for node in 0..2 {
            let refused = fleet.order(node, text).await;
            assert!(is_unavailable(&refused), "{refused:?}");
            assert_eq!(fleet.send(node, "stock", text, None).await, COMPLETE);
        }
        // The idempotent request has the same body and ran once through each node.
        assert_eq!(fleet.executions(text), 2);
        fleet.set_faults(Faults::default()).await;
        fleet.wait_for_replay(0, text).await;
        fleet.wait_for_replay(1, text).await;
        assert_eq!(fleet.executions(text), 3);
    }
}
