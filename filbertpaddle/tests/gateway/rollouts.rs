//! Roll-outs ordered by operators: each test plays one version, good or bad, or one failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::store::Fault;
use filbertpaddle_adapter_standins::target::Behaviour;
use http::Method;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

const SERVICE: &str = "app";
/// Time from the orders to their deadlines.
const DURATION_S: u32 = 14;
/// Time between two requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Part of the requests that a bad version may get, and requests beyond it, as the nodes' settings
/// state them.
const MAX_SHARE: f64 = 0.1;
const MAX_SLACK: f64 = 50.0;
/// Time within which no node uses a record any more that it cannot read again: half of the time
/// within which a bad version must get no requests.
const LAPSE_TIME: Duration = Duration::from_millis(2_500);
/// Time in which requests arrive at targets that must get none.
const WATCH_TIME: Duration = Duration::from_secs(2);

/// Callers that send requests to nodes in turn until they are stopped.
struct Callers {
    is_stopped: Arc<AtomicBool>,
    sending: JoinHandle<Vec<u16>>,
}

impl Callers {
    fn start(nodes: Vec<SocketAddr>) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let sending = tokio::spawn(async move {
            let mut answers = JoinSet::new();
            for (number, node) in nodes.into_iter().cycle().enumerate() {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let sent = request(&format!("c{number}"), Method::GET, READ_PATH, None);
                answers.spawn(async move { caller::send(node, &sent).await.code() });
                sleep(REQUEST_INTERVAL).await;
            }
            answers.join_all().await
        });
        Self {
            is_stopped,
            sending,
        }
    }

    /// Stops the callers; returns the statuses of all answers.
    async fn stop(self) -> Vec<u16> {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.sending.await.unwrap()
    }
}

impl Cluster {
    /// Starts nodes in data centres of their own, and two targets of the old version.
    async fn with_rollouts(name: &str, nodes: usize) -> Self {
        let mut cluster = Self::new(name).await;
        for id in ["old-1", "old-2"] {
            cluster.add_plain_of_version(id, "v1").await;
        }
        for index in 0..nodes {
            let mut options =
                cluster.node_options(&format!("node-{index}"), &format!("dc-{index}"));
            options.has_rollouts = true;
            cluster.start_node(&options);
        }
        cluster.wait_until_ready().await;
        cluster.wait_until_registered().await;
        cluster
    }

    /// Orders a roll-out and starts two targets of the new version.
    async fn order(&mut self, behaviour: Behaviour) {
        self.store.put_rollout(SERVICE, "v2", DURATION_S);
        for id in ["new-1", "new-2"] {
            self.add_plain_of_version(id, "v2").await;
            self.target(id).set_behaviour(behaviour);
        }
    }

    fn callers(&self) -> Callers {
        let nodes = self.nodes.iter();
        Callers::start(nodes.map(|node| node.addresses.callers).collect())
    }

    fn runs_at(&self, version: &str) -> usize {
        let runs = self.run_log.runs();
        runs.iter().filter(|run| run.version == version).count()
    }

    fn has_status(&self, state: &str) -> bool {
        self.store.rollout_status(SERVICE) == Some(json!({"state": state, "to": "v2"}))
    }

    async fn wait_for_status(&self, state: &str) {
        wait_until(state, async || self.has_status(state)).await;
    }

    /// Waits until some requests have reached the new version.
    async fn wait_for_trial(&self) {
        wait_until("the new version is tried", async || self.runs_at("v2") > 2).await;
    }

    /// Checks that the targets of a version get nothing for a while.
    async fn check_gets_nothing(&self, version: &str) {
        let before = self.runs_at(version);
        sleep(WATCH_TIME).await;
        assert_eq!(self.runs_at(version), before, "requests to {version}");
    }
}

/// The old targets stop as soon as the status says so: nothing may still run there.
#[tokio::test]
async fn a_good_version_is_completed_and_its_predecessor_can_stop_at_once() {
    let mut cluster = Cluster::with_rollouts("rollout-good", 2).await;
    let callers = cluster.callers();
    cluster.order(Behaviour::Normal).await;
    cluster.wait_for_status("running").await;
    cluster.wait_for_status("completed").await;
    let runs = cluster.runs_at("v1");
    for id in ["old-1", "old-2"] {
        cluster.take_target(id).close();
        cluster.store.remove_target(id);
    }
    sleep(WATCH_TIME).await;
    let answers = callers.stop().await;
    assert_eq!(cluster.runs_at("v1"), runs);
    assert!(answers.iter().all(|code| *code == 200), "{answers:?}");
    cluster.close();
}

/// Each answer of the new version is a failure.
#[tokio::test]
async fn a_bad_version_gets_few_requests_and_is_rolled_back() {
    let mut cluster = Cluster::with_rollouts("rollout-bad", 2).await;
    let callers = cluster.callers();
    cluster.order(Behaviour::Failing).await;
    cluster.wait_for_status("rolled_back").await;
    sleep(LAPSE_TIME).await;
    cluster.check_gets_nothing("v2").await;
    let answers = callers.stop().await;
    let (old, new) = (cluster.runs_at("v1") as f64, cluster.runs_at("v2") as f64);
    assert!(new <= MAX_SHARE * (old + new) + MAX_SLACK, "{new} of {old}");
    let failed = answers.iter().filter(|code| **code != 200).count();
    assert_eq!(failed, 0, "answers of the old version replace failures");
    cluster.close();
}

/// The node that has written the last step is killed; another one takes the next.
#[tokio::test]
async fn a_roll_out_goes_on_after_the_node_that_writes_is_killed() {
    let mut cluster = Cluster::with_rollouts("rollout-killed", 3).await;
    let callers = cluster.callers();
    cluster.order(Behaviour::Normal).await;
    cluster.wait_for_status("running").await;
    cluster.wait_for_trial().await;
    let writer = (0..3)
        .find(|index| {
            let log = cluster.log(&format!("node-{index}"));
            log.contains("roll-out step written")
        })
        .unwrap();
    callers.stop().await;
    cluster.nodes.remove(writer).close().unwrap();
    let callers = cluster.callers();
    cluster.wait_for_status("completed").await;
    sleep(LAPSE_TIME).await;
    cluster.check_gets_nothing("v1").await;
    let answers = callers.stop().await;
    assert!(answers.iter().all(|code| *code == 200), "{answers:?}");
    cluster.close();
}

/// The nodes cannot read whether the version was rolled back.
#[tokio::test]
async fn nobody_tries_a_version_while_the_store_does_not_answer() {
    let mut cluster = Cluster::with_rollouts("rollout-storeless", 2).await;
    let callers = cluster.callers();
    cluster.order(Behaviour::Normal).await;
    cluster.wait_for_trial().await;
    cluster.store.set_fault(Fault::Unavailable);
    sleep(LAPSE_TIME).await;
    cluster.check_gets_nothing("v2").await;
    cluster.store.set_fault(Fault::None);
    cluster.wait_for_status("completed").await;
    let answers = callers.stop().await;
    assert!(answers.iter().all(|code| *code == 200), "{answers:?}");
    cluster.close();
}

/// The operator takes the order back in the middle.
#[tokio::test]
async fn a_withdrawn_order_gives_the_new_version_nothing_more() {
    let mut cluster = Cluster::with_rollouts("rollout-withdrawn", 2).await;
    let callers = cluster.callers();
    cluster.order(Behaviour::Normal).await;
    cluster.wait_for_trial().await;
    cluster.store.remove_rollout(SERVICE);
    sleep(LAPSE_TIME).await;
    cluster.check_gets_nothing("v2").await;
    let answers = callers.stop().await;
    assert!(answers.iter().all(|code| *code == 200), "{answers:?}");
    cluster.close();
}

/// Another writer has left bytes that are no order.
#[tokio::test]
async fn an_order_that_cannot_be_read_changes_nothing() {
    let cluster = Cluster::with_rollouts("rollout-unreadable", 1).await;
    let order = br#"{"service":"app","to":"v2","duration_s":-1}"#;
    cluster.store.put_raw_rollout(SERVICE, order.to_vec());
    wait_until("it is reported", async || {
        cluster.log("node-0").contains("entry cannot be decoded")
    })
    .await;
    let answer = cluster
        .send(&request("r", Method::GET, READ_PATH, None))
        .await;
    assert_eq!(answer.code(), 200);
    sleep(WATCH_TIME).await;
    assert_eq!(cluster.store.rollout_status(SERVICE), None);
    assert_eq!(cluster.runs_at("v1"), 1);
    cluster.close();
}
