//! Roll-outs ordered by operators: each test plays one version, good or bad, or one failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::node;
use filbertpaddle_adapter_standins::store::Fault;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_adapter_standins::target::EVENT_TOKENS;
use filbertpaddle_standins::proxy::Link;
use filbertpaddle_standins::proxy::Proxy;
use http::Method;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

const SERVICE: &str = "app";
const ENGINES: &str = "engine";
/// Time between events of sound engines.
const EVENT_MS: u64 = 20;
/// Time from the orders to their deadlines.
const DURATION_S: u32 = 14;
/// Time between two requests of the callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two streams of the callers.
const STREAM_INTERVAL: Duration = Duration::from_millis(100);
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
    /// Whether each answer was whole and a success.
    sending: JoinHandle<Vec<bool>>,
}

impl Callers {
    fn start(nodes: Vec<SocketAddr>, sent: SentRequest, interval: Duration) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let sending = tokio::spawn(async move {
            let mut answers = JoinSet::new();
            for (number, node) in nodes.into_iter().cycle().enumerate() {
                if stopped.load(Ordering::Relaxed) {
                    break;
                }
                let sent = SentRequest {
                    attempt: format!("{}{number}", sent.attempt),
                    ..sent.clone()
                };
                answers.spawn(async move {
                    let answer = caller::send(node, &sent).await;
                    answer.code() == 200 && answer.is_complete
                });
                sleep(interval).await;
            }
            answers.join_all().await
        });
        Self {
            is_stopped,
            sending,
        }
    }

    /// Stops the callers; returns the number of answers that were no whole success.
    async fn stop(self) -> usize {
        self.is_stopped.store(true, Ordering::Relaxed);
        let answers = self.sending.await.unwrap();
        assert!(!answers.is_empty());
        answers.iter().filter(|is_whole| !**is_whole).count()
    }
}

impl Cluster {
    /// Starts nodes in data centres of their own, and two targets of the old version.
    async fn with_rollouts(name: &str, nodes: usize) -> Self {
        let mut cluster = Self::new(name).await;
        cluster.add_old_targets().await;
        for index in 0..nodes {
            cluster.start_node(&cluster.rollout_options(index));
        }
        cluster.wait_until_ready().await;
        cluster.wait_until_registered().await;
        cluster
    }

    async fn add_old_targets(&mut self) {
        for id in ["old-1", "old-2"] {
            self.add_plain_of_version(id, "v1").await;
        }
    }

    /// Returns the settings of a node with roll-outs in a data centre of its own.
    fn rollout_options(&self, index: usize) -> node::Options {
        let mut options = self.node_options(&format!("node-{index}"), &format!("dc-{index}"));
        options.has_rollouts = true;
        options
    }

    /// Orders a roll-out and starts two targets of the new version.
    async fn order(&mut self, behaviour: Behaviour) {
        self.store.put_rollout(SERVICE, "v2", DURATION_S);
        for id in ["new-1", "new-2"] {
            self.add_plain_of_version(id, "v2").await;
            self.target(id).set_behaviour(behaviour);
        }
    }

    /// Starts callers of plain requests.
    fn callers(&self) -> Callers {
        let sent = request("c-", Method::GET, READ_PATH, None);
        self.callers_of(sent, REQUEST_INTERVAL)
    }

    /// Starts callers of streams with a number of events.
    fn stream_callers(&self, events: u64) -> Callers {
        let tokens = u32::try_from(events * EVENT_TOKENS).unwrap();
        let sent = request("c-", Method::POST, STREAM_PATH, Some(tokens));
        self.callers_of(sent, STREAM_INTERVAL)
    }

    fn callers_of(&self, sent: SentRequest, interval: Duration) -> Callers {
        let nodes = self.nodes.iter();
        let nodes = nodes.map(|node| node.addresses.callers).collect();
        Callers::start(nodes, sent, interval)
    }

    /// Starts nodes with roll-outs and two engines of the old version.
    async fn with_engine_rollouts(name: &str) -> Self {
        let mut cluster = Self::with_rollouts(name, 2).await;
        for id in ["old-3", "old-4"] {
            cluster.add_engine_of_version(id, "v1", EVENT_MS).await;
        }
        let nodes = ["node-0", "node-1"];
        cluster.wait_until_listed("old-4", "", &nodes).await;
        cluster
    }

    /// Orders a roll-out of the engines, and starts two of the new version.
    async fn order_engines(&mut self, event_ms: u64) {
        self.store.put_rollout(ENGINES, "v2", DURATION_S);
        for id in ["new-3", "new-4"] {
            self.add_engine_of_version(id, "v2", event_ms).await;
        }
    }

    /// Checks that the new version got no more requests than a bad one may get.
    fn check_exposure(&self) {
        let (old, new) = (self.runs_at("v1") as f64, self.runs_at("v2") as f64);
        assert!(new <= MAX_SHARE * (old + new) + MAX_SLACK, "{new} of {old}");
    }

    fn runs_at(&self, version: &str) -> usize {
        let runs = self.run_log.runs();
        runs.iter().filter(|run| run.version == version).count()
    }

    async fn wait_for_status(&self, state: &str) {
        self.wait_for_status_of(SERVICE, state).await;
    }

    async fn wait_for_status_of(&self, service: &str, state: &str) {
        let expected = json!({"state": state, "to": "v2"});
        wait_until(state, async || {
            self.store.rollout_status(service).as_ref() == Some(&expected)
        })
        .await;
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

/// One old target stops as soon as the status is `completed`, and the other must get nothing more. The
/// requests may not run twice, so that one that is cut shows.
#[tokio::test]
async fn a_good_version_is_completed_and_its_predecessor_can_stop_at_once() {
    let mut cluster = Cluster::with_rollouts("rollout-good", 2).await;
    let sent = request("c-", Method::POST, WRITE_PATH, None);
    let callers = cluster.callers_of(sent, REQUEST_INTERVAL);
    cluster.order(Behaviour::Normal).await;
    cluster.wait_for_status("running").await;
    cluster.wait_for_status("completed").await;
    cluster.take_target("old-1").close();
    cluster.store.remove_target("old-1");
    cluster.check_gets_nothing("v1").await;
    assert_eq!(callers.stop().await, 0, "answers that are not whole");
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
    // Answers of the old version replace the failures.
    assert_eq!(callers.stop().await, 0, "answers that are not whole");
    cluster.check_exposure();
    cluster.close();
}

/// A stream runs for seconds at the old targets: it ends before they stop.
#[tokio::test]
async fn streams_at_the_old_version_end_before_the_new_one_is_completed() {
    let mut cluster = Cluster::with_engine_rollouts("rollout-streams").await;
    let callers = cluster.stream_callers(100);
    cluster.order_engines(EVENT_MS).await;
    cluster.wait_for_status_of(ENGINES, "completed").await;
    for id in ["old-3", "old-4"] {
        cluster.take_target(id).close();
        cluster.store.remove_target(id);
    }
    sleep(WATCH_TIME).await;
    assert_eq!(callers.stop().await, 0, "streams that are not whole");
    cluster.close();
}

/// The new version fails nothing, but its events come several times slower.
#[tokio::test]
async fn a_slow_version_is_rolled_back() {
    let mut cluster = Cluster::with_engine_rollouts("rollout-slow").await;
    let callers = cluster.stream_callers(20);
    cluster.order_engines(8 * EVENT_MS).await;
    cluster.wait_for_status_of(ENGINES, "rolled_back").await;
    sleep(LAPSE_TIME).await;
    cluster.check_gets_nothing("v2").await;
    assert_eq!(callers.stop().await, 0, "streams that are not whole");
    cluster.check_exposure();
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
    assert_eq!(callers.stop().await, 0, "answers that are not whole");
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
    assert_eq!(callers.stop().await, 0, "answers that are not whole");
    cluster.close();
}

/// One node reaches neither the store nor the other node, which goes on.
#[tokio::test]
async fn a_node_that_is_cut_off_stops_trying_the_new_version() {
    let mut cluster = Cluster::new("rollout-cut").await;
    cluster.add_old_targets().await;
    let mut links = Vec::new();
    for index in 0..2 {
        let to_store = Proxy::start(cluster.store.address).await.unwrap();
        let mut options = cluster.rollout_options(index);
        options.store = to_store.address;
        cluster.start_node(&options);
        let address = cluster.nodes[index].addresses.peers;
        let peers = Proxy::start(address).await.unwrap();
        cluster.store.replace_address(address, peers.address);
        links.push((to_store, peers));
    }
    cluster.wait_until_ready().await;
    cluster.wait_until_registered().await;
    let cut_node = cluster.nodes[1].addresses.callers;
    let sent = request("cut-", Method::GET, READ_PATH, None);
    let callers = Callers::start(vec![cut_node], sent, REQUEST_INTERVAL);
    let others = cluster.callers();
    cluster.order(Behaviour::Normal).await;
    let tried = || {
        let runs = cluster.run_log.runs().into_iter();
        runs.filter(|run| run.version == "v2" && run.attempt.starts_with("cut-"))
            .count()
    };
    wait_until("the node tries the new version", async || tried() > 2).await;
    links[1].0.set_link(Link::Cut);
    links
        .iter()
        .for_each(|(_, peers)| peers.set_link(Link::Cut));
    sleep(LAPSE_TIME).await;
    let before = tried();
    sleep(WATCH_TIME).await;
    assert_eq!(tried(), before, "requests of the node that is cut off");
    cluster.wait_for_status("completed").await;
    assert_eq!(callers.stop().await + others.stop().await, 0);
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
    assert_eq!(callers.stop().await, 0, "answers that are not whole");
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
