//! Nodes that reach no target, while callers, the store and the other nodes reach them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::store::View;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_standins::gate::Gate;
use filbertpaddle_standins::gate::Passage;
use filbertpaddle_standins::loopback::next_host;
use futures_util::SinkExt;
use futures_util::StreamExt;
use http::Method;
use serde::Serialize;
use serde_json::Value;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_tungstenite::tungstenite::Message as Frame;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::cluster::wait_until;

const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];
/// Forms in which a node is cut off.
const CUTS: [Passage; 3] = [Passage::Silent, Passage::Reset, Passage::RefuseNew];
/// Time after which the cut counts for the users, less than they allow.
const NOTICE_TIME: Duration = Duration::from_millis(1_500);
/// Time within which a request that no node can serve is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Longer than a stream may stall before it resumes elsewhere.
const CUT_TIME: Duration = Duration::from_secs(3);
/// Output tokens of ten events.
const TOKENS: u32 = 40;

/// One node in each of three data centres, each of which reaches the targets through gates of its
/// own.
pub(crate) struct GatedCluster {
    pub(crate) cluster: Cluster,
    /// Gates by node.
    gates: Vec<Vec<Gate>>,
    /// Views of the store by node.
    views: Vec<View>,
}

impl GatedCluster {
    pub(crate) async fn start(name: &str) -> Self {
        let mut cluster = Cluster::new(name).await;
        let mut views = Vec::new();
        for _ in DATA_CENTRES {
            views.push(cluster.store.add_view().await.unwrap());
        }
        let mut gates: Vec<_> = DATA_CENTRES.iter().map(|_| Vec::new()).collect();
        for (id, service, data_centre) in [
            ("e1", "engine", "dc-a"),
            ("e2", "engine", "dc-b"),
            ("p1", "app", "dc-a"),
            ("p2", "app", "dc-b"),
        ] {
            cluster.add_target(id, service, data_centre).await;
            let address = cluster.target(id).address;
            for (view, gates) in views.iter().zip(&mut gates) {
                let gate = Gate::start(address).await.unwrap();
                cluster.store.replace_in_view(*view, address, gate.address);
                cluster.target(id).add_address(gate.address);
                gates.push(gate);
            }
        }
        for (number, (data_centre, view)) in DATA_CENTRES.iter().zip(&views).enumerate() {
            let mut options = cluster.node_options(&format!("node-{number}"), data_centre);
            options.store = view.address;
            cluster.start_node(&options);
        }
        cluster.wait_until_ready().await;
        cluster.wait_until_registered().await;
        let started = Self {
            cluster,
            gates,
            views,
        };
        started.wait_until_linked().await;
        started
    }

    /// Adds a target that this process runs itself, behind gates that are open.
    pub(crate) async fn add_raw_target(&mut self, id: &str, entry: &Value) {
        let address = entry["address"].as_str().unwrap().parse().unwrap();
        for (view, gates) in self.views.iter().zip(&mut self.gates) {
            let gate = Gate::start(address).await.unwrap();
            self.cluster
                .store
                .replace_in_view(*view, address, gate.address);
            gates.push(gate);
        }
        self.cluster.store.put_target(id, entry);
    }

    /// Waits until each node knows all others.
    async fn wait_until_linked(&self) {
        for number in 0..DATA_CENTRES.len() {
            let attempt = format!("linked-{number}");
            let read = request(&attempt, Method::GET, READ_PATH, None);
            wait_until("a node serves", async || {
                self.send(number, &read).await.code() == 200
            })
            .await;
        }
        // Nodes read the list of nodes anew within this time after the last one has started.
        sleep(Duration::from_secs(1)).await;
    }

    pub(crate) async fn set(&mut self, node: usize, passage: Passage) {
        for gate in &mut self.gates[node] {
            gate.set(passage).await.unwrap();
        }
    }

    /// Sets the gates to the targets of the first data centre, which alternate with the others.
    pub(crate) async fn set_first_data_centre(&mut self, node: usize, passage: Passage) {
        for gate in self.gates[node].iter_mut().step_by(2) {
            gate.set(passage).await.unwrap();
        }
    }

    pub(crate) async fn send(&self, node: usize, request: &SentRequest) -> ReceivedAnswer {
        caller::send(self.cluster.nodes[node].addresses.callers, request).await
    }

    /// Sends a request in a task of its own.
    pub(crate) fn spawn(&self, node: usize, request: SentRequest) -> JoinHandle<ReceivedAnswer> {
        let address = self.cluster.nodes[node].addresses.callers;
        tokio::spawn(async move { caller::send(address, &request).await })
    }

    async fn wait_until_running(&self, attempt: &str) {
        wait_until("the request runs", async || {
            !self.cluster.run_log.runs_of(attempt).is_empty()
        })
        .await;
    }

    /// Sends one request of each kind, and returns those that were not served whole at the first
    /// attempt.
    async fn unserved(&self, node: usize, prefix: &str) -> Vec<String> {
        let mut unserved = Vec::new();
        for sent in requests(prefix) {
            let answer = self.send(node, &sent).await;
            let is_whole = match sent.tokens {
                Some(_) => answer.is_complete && answer.body == complete_stream(&sent.attempt, 10),
                None => answer.body == format!("answer to {}", sent.attempt).into_bytes(),
            };
            if answer.code() != 200 || !is_whole || !answer.is_sealed() {
                unserved.push(format!("{}: {}", sent.attempt, answer.code()));
            }
            let runs = self.cluster.run_log.runs_of(&sent.attempt).len();
            assert!(runs <= 1, "{} ran {runs} times", sent.attempt);
        }
        unserved
    }

    /// Sends requests for the time that nodes may take to notice a cut.
    pub(crate) async fn send_until_noticed(&self, node: usize, prefix: &str) {
        let start = Instant::now();
        let mut round = 0;
        while start.elapsed() < NOTICE_TIME {
            let write = format!("{prefix}-{round}");
            let write = request(&write, Method::POST, WRITE_PATH, None);
            self.send(node, &write).await;
            sleep(Duration::from_millis(50)).await;
            round += 1;
        }
    }

    pub(crate) fn close(self) {
        self.cluster.close();
    }
}

fn requests(prefix: &str) -> [SentRequest; 4] {
    let attempt = |kind: &str| format!("{prefix}-{kind}");
    [
        request(&attempt("write"), Method::POST, WRITE_PATH, None),
        request(&attempt("read"), Method::GET, READ_PATH, None),
        request(&attempt("stream"), Method::POST, STREAM_PATH, Some(TOKENS)),
        request(
            &attempt("resumable"),
            Method::POST,
            RESUMABLE_PATH,
            Some(TOKENS),
        ),
    ]
}

#[tokio::test]
async fn callers_of_a_node_that_reaches_no_target_are_served() {
    for cut in CUTS {
        let mut gated = GatedCluster::start(&format!("cut-{cut:?}")).await;
        gated.set(0, cut).await;
        gated.send_until_noticed(0, "early").await;
        for round in 0..5 {
            let unserved = gated.unserved(0, &format!("cut-{round}")).await;
            assert_eq!(unserved, [""; 0], "{cut:?}");
            let unserved = gated.unserved(1, &format!("sound-{round}")).await;
            assert_eq!(unserved, [""; 0], "{cut:?}, at a node that is not cut off");
        }
        gated.set(0, Passage::Open).await;
        gated.send_until_noticed(0, "after").await;
        assert_eq!(gated.unserved(0, "healed").await, [""; 0], "{cut:?}");
        gated.close();
    }
}

/// It was closed to go on at a target that no node reached, and broke off.
#[tokio::test]
async fn a_resumable_stream_waits_for_the_end_of_a_cut_of_all_nodes() {
    let mut gated = GatedCluster::start("all-cut-stream").await;
    let stream = request("s", Method::POST, RESUMABLE_PATH, Some(400));
    let running = gated.spawn(0, stream);
    gated.wait_until_running("s").await;
    let target = gated.cluster.first_target_of("s");
    wait_until("it has delivered events", async || {
        target.running().get("s") > Some(&10)
    })
    .await;
    for node in 0..DATA_CENTRES.len() {
        gated.set(node, Passage::Silent).await;
    }
    sleep(CUT_TIME).await;
    for node in 0..DATA_CENTRES.len() {
        gated.set(node, Passage::Open).await;
    }
    let answer = running.await.unwrap();
    assert!(answer.is_complete, "{} bytes", answer.body.len());
    assert!(answer.body == complete_stream("s", 100));
    gated.close();
}

#[tokio::test]
async fn one_node_that_reaches_targets_is_enough() {
    for cut in CUTS {
        let mut gated = GatedCluster::start(&format!("most-cut-{cut:?}")).await;
        gated.set(0, cut).await;
        gated.set(1, cut).await;
        for node in [0, 1] {
            let prefix = format!("early-{node}");
            gated.send_until_noticed(node, &prefix).await;
        }
        for node in [0, 1, 2] {
            let unserved = gated.unserved(node, &format!("cut-{node}")).await;
            assert_eq!(unserved, [""; 0], "{cut:?}");
        }
        gated.close();
    }
}

/// What waited at targets when the connections to all of them broke must not be taken for what
/// crashed them.
#[tokio::test]
async fn a_cut_of_all_nodes_is_refused_at_once_and_accuses_no_request() {
    let mut gated = GatedCluster::start("all-cut").await;
    for round in 0..4 {
        for node in 0..DATA_CENTRES.len() {
            gated.set(node, Passage::Reset).await;
        }
        for node in 0..DATA_CENTRES.len() {
            let prefix = format!("early-{round}-{node}");
            gated.send_until_noticed(node, &prefix).await;
            let refused = format!("refused-{round}-{node}");
            let refused = request(&refused, Method::POST, WRITE_PATH, None);
            let start = Instant::now();
            let answer = gated.send(node, &refused).await;
            assert_eq!(answer.code(), 503);
            assert!(answer.retry_after_sec().is_some());
            assert!(start.elapsed() < REFUSAL_TIME, "{:?}", start.elapsed());
            assert!(gated.cluster.run_log.runs_of(&refused.attempt).is_empty());
        }
        for node in 0..DATA_CENTRES.len() {
            gated.set(node, Passage::Open).await;
        }
        for node in 0..DATA_CENTRES.len() {
            let prefix = format!("after-{round}-{node}");
            gated.send_until_noticed(node, &prefix).await;
            let prefix = format!("healed-{round}-{node}");
            assert_eq!(gated.unserved(node, &prefix).await, [""; 0]);
        }
    }
    gated.close();
}

/// Requests with a common part wait at targets when the connections to these are reset.
#[tokio::test]
async fn connections_that_a_cut_resets_accuse_no_part_of_a_prompt() {
    let mut gated = GatedCluster::start("cut-accuses-no-part").await;
    let with_part = |attempt: &str| SentRequest {
        shared_parts: vec!["f1".to_owned()],
        ..request(attempt, Method::POST, STREAM_PATH, Some(400))
    };
    for round in 0..4 {
        let mut waiting = Vec::new();
        for number in 0..4 {
            let sent = with_part(&format!("waiting-{round}-{number}"));
            let address = gated.cluster.nodes[0].addresses.callers;
            waiting.push(tokio::spawn(
                async move { caller::send(address, &sent).await },
            ));
        }
        for number in 0..4 {
            let attempt = format!("waiting-{round}-{number}");
            gated.wait_until_running(&attempt).await;
        }
        // A cut is there at all targets before the first connection is reset.
        gated.set(0, Passage::RefuseNew).await;
        gated.set(0, Passage::Reset).await;
        for caller in waiting {
            caller.await.unwrap();
        }
        gated.set(0, Passage::Open).await;
        sleep(NOTICE_TIME).await;
    }
    let sound = SentRequest {
        tokens: Some((1_000, TOKENS)),
        ..with_part("sound")
    };
    let answer = gated.send(0, &sound).await;
    assert!(answer.is_complete, "status {}", answer.code());
    gated.close();
}

#[tokio::test]
async fn streams_on_connections_that_live_on_are_not_moved() {
    let mut gated = GatedCluster::start("cut-live-on").await;
    let caller = gated.spawn(0, request("long", Method::POST, STREAM_PATH, Some(400)));
    gated.wait_until_running("long").await;
    gated.set(0, Passage::RefuseNew).await;
    gated.send_until_noticed(0, "early").await;
    let answer = caller.await.unwrap();
    assert!(answer.body == complete_stream("long", 100));
    assert_eq!(gated.cluster.run_log.runs_of("long").len(), 1);
    gated.close();
}

/// Streams that may not run twice ended with their connections, three seconds after these had
/// fallen silent.
#[tokio::test]
async fn streams_on_connections_that_fall_silent_go_on_from_a_copy() {
    let mut gated = GatedCluster::start("cut-in-stream").await;
    let caller = gated.spawn(0, request("long", Method::POST, STREAM_PATH, Some(1_000)));
    wait_until("the stream has begun", async || {
        let runs = gated.cluster.run_log.runs_of("long");
        runs.first().is_some_and(|run| {
            let running = gated.cluster.target(&run.target).running();
            running.get("long").is_some_and(|events| *events >= 10)
        })
    })
    .await;
    gated.set(0, Passage::Silent).await;
    let answer = caller.await.unwrap();
    assert!(answer.is_complete, "{} bytes", answer.body.len());
    assert!(answer.body == complete_stream("long", 250));
    let runs = gated.cluster.run_log.runs_of("long");
    assert!(runs.len() == 2 && runs[1].is_migrated);
    gated.close();
}

/// The request has left through another node, and that one is killed.
#[tokio::test]
async fn a_request_whose_relay_is_lost_is_not_said_not_to_have_run() {
    let mut gated = GatedCluster::start("relay-lost").await;
    gated.set(0, Passage::Reset).await;
    gated.set(2, Passage::Reset).await;
    for node in [0, 2] {
        let prefix = format!("early-{node}");
        gated.send_until_noticed(node, &prefix).await;
    }
    for id in ["p1", "p2"] {
        let target = gated.cluster.target(id);
        target.set_behaviour(Behaviour::Unresponsive);
    }
    let caller = gated.spawn(0, request("lost", Method::POST, WRITE_PATH, None));
    gated.wait_until_running("lost").await;
    gated.cluster.nodes.remove(1).close().unwrap();
    let answer = caller.await.unwrap();
    assert_eq!(answer.code(), 502);
    assert_eq!(gated.cluster.run_log.runs_of("lost").len(), 1);
    gated.close();
}

/// Streams through a node that loses its own links put their targets into back-off, and could not
/// go on at any.
#[tokio::test]
async fn a_relay_that_is_cut_off_itself_accuses_no_target() {
    let mut gated = GatedCluster::start("relay-cut").await;
    for node in [0, 2] {
        gated.set(node, Passage::Reset).await;
        let prefix = format!("early-{node}");
        gated.send_until_noticed(node, &prefix).await;
    }
    let mut callers = Vec::new();
    for number in 0..6 {
        let attempt = format!("s-{number}");
        let sent = request(&attempt, Method::POST, RESUMABLE_PATH, Some(600));
        callers.push((attempt.clone(), gated.spawn(0, sent)));
        gated.wait_until_running(&attempt).await;
    }
    gated.set(0, Passage::Open).await;
    gated.send_until_noticed(0, "healed").await;
    gated.set(1, Passage::RefuseNew).await;
    gated.set(1, Passage::Reset).await;
    for (attempt, caller) in callers {
        let answer = caller.await.unwrap();
        assert!(answer.is_complete && answer.body == complete_stream(&attempt, 150));
    }
    gated.close();
}

#[tokio::test]
async fn a_relay_that_stops_lets_what_it_relays_end() {
    let mut gated = GatedCluster::start("relay-stops").await;
    for node in [0, 2] {
        gated.set(node, Passage::Reset).await;
        let prefix = format!("early-{node}");
        gated.send_until_noticed(node, &prefix).await;
    }
    let caller = gated.spawn(0, request("long", Method::POST, STREAM_PATH, Some(1_000)));
    gated.wait_until_running("long").await;
    gated.cluster.nodes[1].process.terminate().unwrap();
    let answer = caller.await.unwrap();
    assert!(answer.is_complete && answer.body == complete_stream("long", 250));
    gated.close();
}

#[tokio::test]
async fn a_relayed_stream_ends_at_its_target_when_the_caller_leaves() {
    let mut gated = GatedCluster::start("relayed-caller-gone").await;
    gated.set(0, Passage::Silent).await;
    gated.send_until_noticed(0, "early").await;
    let caller = gated.spawn(0, request("long", Method::POST, STREAM_PATH, Some(4_000)));
    gated.wait_until_running("long").await;
    caller.abort();
    let target = gated.cluster.first_target_of("long");
    wait_until("the stream ends", async || target.running().is_empty()).await;
    gated.close();
}

/// First message of a link that asks for a connection to a target.
#[derive(Serialize)]
enum FirstMessage {
    Open {
        node: &'static str,
        target: &'static str,
        started_ms: Option<u64>,
        purpose: &'static str,
    },
}

#[tokio::test]
async fn only_nodes_in_the_store_get_connections_to_targets_and_only_from_their_addresses() {
    let gated = GatedCluster::start("relay-strangers").await;
    let own = gated.cluster.nodes[1].addresses.peers.ip();
    let mut answers = Vec::new();
    for (node, from) in [
        ("node-1", own),
        ("nobody", own),
        ("node-1", next_host().into()),
    ] {
        let address = gated.cluster.nodes[0].addresses.peers;
        let connection = TcpSocket::new_v4().unwrap();
        connection.bind(SocketAddr::new(from, 0)).unwrap();
        let stream = connection.connect(address).await.unwrap();
        let opening = tokio_tungstenite::client_async(format!("ws://{address}/"), stream);
        let (mut socket, _) = opening.await.unwrap();
        let first = FirstMessage::Open {
            node,
            target: "p1",
            started_ms: Some(1),
            purpose: "request",
        };
        let mut bytes = Vec::new();
        ciborium::into_writer(&first, &mut bytes).unwrap();
        socket.send(Frame::Binary(bytes.into())).await.unwrap();
        let answer = socket.next().await.unwrap().unwrap().into_data();
        answers.push(String::from_utf8_lossy(&answer).into_owned());
    }
    assert!(answers[0].contains("Ok"), "{answers:?}");
    assert!(answers[1].contains("unknown_node"), "{answers:?}");
    assert!(answers[2].contains("unknown_node"), "{answers:?}");
    gated.close();
}
