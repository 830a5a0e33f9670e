//! A data centre or VM that is out of service gets no new work from any node, and work
//! that runs there finishes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::caller;
use common::caller::Event;
use common::caller::Stream;
use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::fleet::StandIn;
use common::operator;
use common::operator::Operator;
use common::wait;
use filbertpaddle::operator_api::Answer;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_standins::engine_state::Counters;
use filbertpaddle_standins::platform_faults::Faults;
use filbertpaddle_standins::platform_faults::Outage;

/// Number of requests sent through all nodes while something is out of service.
const REQUESTS: usize = 24;

/// One node and one engine in each of two data centres.
struct Fleet {
    platform: Platform,
    north: StandIn,
    south: StandIn,
    nodes: Vec<Node>,
    sent: usize,
}

impl Fleet {
    async fn start() -> Self {
        let mut platform = Platform::start();
        platform
            .seed(&[("summary", fleet::template("teacher"))])
            .await;
        let engine = |seed| StandIn::start(&["engine", "--seed", seed, "--speed", "20"]);
        let (north, south) = (engine("1"), engine("2"));
        platform
            .list_target("engine-north", "north", "teacher", north.address)
            .await;
        platform
            .list_target("engine-south", "south", "teacher", south.address)
            .await;
        let mut nodes: Vec<Node> = Vec::new();
        for data_centre in ["north", "south"] {
            nodes.push(Node::start(&NodeSettings {
                name: format!("entry-{data_centre}"),
                data_centre: data_centre.to_owned(),
                platform: platform.standin.address,
                peers: nodes.iter().map(|node| node.addresses.peers).collect(),
                extra_yaml: String::new(),
            }));
        }
        for node in &nodes {
            node.ready().await;
        }
        let mut fleet = Self {
            platform,
            north,
            south,
            nodes,
            sent: 0,
        };
        fleet.wait_until_each_engine_runs().await;
        fleet
    }

    /// Sends one request, through each node in turn.
    async fn send(&mut self) -> Option<Stream> {
        self.sent += 1;
        let node = &self.nodes[self.sent % self.nodes.len()];
        let text = format!("run-id={}", self.sent);
        let response = caller::send(node.addresses.callers, "summary", &text, None).await;
        (response.status() == 200).then(|| Stream::open(response))
    }

    /// Sends concurrent requests and returns the streams of those accepted.
    async fn send_many(&mut self, count: usize) -> Vec<Stream> {
        let mut streams = Vec::new();
        for _ in 0..count {
            streams.extend(self.send().await);
        }
        streams
    }

    async fn wait_until_each_engine_runs(&mut self) {
        let before = (runs(&self.north).await, runs(&self.south).await);
        wait::until("both engines get work", async || {
            let streams = self.send_many(8).await;
            for stream in streams {
                stream.rest().await;
            }
            let after = (runs(&self.north).await, runs(&self.south).await);
            (after.0 > before.0 && after.1 > before.1).then_some(())
        })
        .await;
    }

    /// Starts streams until one of them runs in the north, and returns all of them.
    async fn streams_with_one_in_the_north(&mut self) -> Vec<Stream> {
        let mut streams = Vec::new();
        let before = runs(&self.north).await;
        while runs(&self.north).await == before {
            let mut stream = self.send().await.unwrap();
            assert!(matches!(stream.next().await, Some(Event::Start { .. })));
            streams.push(stream);
        }
        streams
    }

    /// Sends requests through all nodes and returns how many ran in the north.
    async fn runs_in_the_north(&mut self) -> usize {
        let before = runs(&self.north).await;
        let streams = self.send_many(REQUESTS).await;
        assert_eq!(streams.len(), REQUESTS);
        for stream in streams {
            let (_, outcome) = stream.rest().await;
            assert!(matches!(outcome, Some(Outcome::Complete { .. })));
        }
        runs(&self.north).await - before
    }

    async fn set_service(&self, path: &str, service: ServiceState) {
        let operator = Operator::at(&self.nodes[1]);
        let answer = operator.set_service(path, service).await;
        let revision = operator::accepted_revision(&answer);
        let nodes: Vec<_> = self.nodes.iter().collect();
        operator::wait_until_applied(&nodes, path, revision).await;
    }

    /// Takes something in the north out of service and back in; new work must follow, and
    /// streams that run meanwhile must complete.
    async fn check_out_and_in(&mut self, path: &str) {
        let streams = self.streams_with_one_in_the_north().await;
        self.set_service(path, ServiceState::Out).await;
        assert_eq!(self.runs_in_the_north().await, 0);
        for stream in streams {
            let (_, outcome) = stream.rest().await;
            assert!(matches!(outcome, Some(Outcome::Complete { .. })));
        }
        self.set_service(path, ServiceState::In).await;
        self.wait_until_each_engine_runs().await;
    }
}

/// Returns how many requests an engine has started.
async fn runs(engine: &StandIn) -> usize {
    let counters: Counters = engine.read("counters").await;
    counters.executions.len()
}

#[tokio::test]
async fn a_data_centre_that_is_out_gets_no_new_work() {
    let mut fleet = Fleet::start().await;
    fleet.check_out_and_in("data-centres/north").await;
}

#[tokio::test]
async fn nodes_of_a_data_centre_that_is_out_forward_to_other_data_centres() {
    let mut fleet = Fleet::start().await;
    fleet
        .set_service("data-centres/north", ServiceState::Out)
        .await;
    let streams = fleet.send_many(REQUESTS).await;
    assert_eq!(streams.len(), REQUESTS);
}

#[tokio::test]
async fn a_vm_that_is_out_gets_no_new_work() {
    let mut fleet = Fleet::start().await;
    fleet.check_out_and_in("vms/engine-north").await;
}

#[tokio::test]
async fn a_vm_that_the_platform_reclaims_gets_no_new_work() {
    let mut fleet = Fleet::start().await;
    fleet
        .platform
        .change_vm("engine-north", |vm| vm.leaving = true)
        .await;
    wait::until("the north gets no more work", async || {
        (fleet.runs_in_the_north().await == 0).then_some(())
    })
    .await;
    // Once the nodes have read the list, no further request may reach the VM.
    assert_eq!(fleet.runs_in_the_north().await, 0);
}

#[tokio::test]
async fn a_data_centre_stays_out_during_a_platform_outage() {
    let mut fleet = Fleet::start().await;
    fleet
        .set_service("data-centres/north", ServiceState::Out)
        .await;
    let outage = Faults {
        outage: Outage::Refuse,
        ..Faults::default()
    };
    fleet.platform.standin.control("faults", &outage).await;
    assert_eq!(fleet.runs_in_the_north().await, 0);
    let operator = Operator::at(&fleet.nodes[0]);
    let answer = operator
        .set_service("data-centres/north", ServiceState::In)
        .await;
    assert_eq!(answer, Answer::Unavailable);
    assert_eq!(fleet.runs_in_the_north().await, 0);
}

#[tokio::test]
async fn one_of_two_concurrent_changes_to_a_data_centre_gets_a_conflict() {
    let fleet = Fleet::start().await;
    let operators = [Operator::at(&fleet.nodes[0]), Operator::at(&fleet.nodes[1])];
    let path = "data-centres/north";
    let out = serde_json::json!({"value": ServiceState::Out});
    let (a, b) = tokio::join!(operators[0].put(path, &out), operators[1].put(path, &out));
    let statuses = [a.status().as_u16(), b.status().as_u16()];
    assert!(
        statuses.contains(&200) && statuses.contains(&409),
        "{statuses:?}"
    );
    let lost = if statuses[0] == 409 { a } else { b };
    let Answer::Conflict { current } = lost.json().await.unwrap() else {
        panic!("expected the answer `conflict`");
    };
    assert_eq!(current.unwrap().by, fleet::OPERATOR);
}

#[tokio::test]
async fn bringing_in_a_data_centre_that_is_in_changes_nothing() {
    let fleet = Fleet::start().await;
    let operator = Operator::at(&fleet.nodes[0]);
    let answer = operator
        .set_service("data-centres/north", ServiceState::In)
        .await;
    assert_eq!(answer, Answer::Unchanged { revision: None });
}
