//! Accepted configuration changes take effect on every node and are never reverted,
//! under lost answers, cut links, platform outages, restarts and paused nodes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;
use std::time::Instant;

use common::fault_proxy;
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
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template::Template;
use filbertpaddle_standins::platform_faults::Faults;
use filbertpaddle_standins::platform_faults::Loss;
use filbertpaddle_standins::platform_faults::Outage;
use filbertpaddle_standins::proxy::Link;

/// Path of the template that the tests change.
const PATH: &str = "templates/school-1/summary";

/// Two nodes in each of two data centres; the south reaches the platform through a proxy.
struct Fleet {
    platform: Platform,
    south_platform: StandIn,
    nodes: Vec<Node>,
}

impl Fleet {
    async fn start() -> Self {
        let platform = Platform::start();
        platform
            .seed(&[("summary", fleet::template("teacher"))])
            .await;
        let south_platform = fault_proxy::start(platform.standin.address);
        let mut fleet = Self {
            platform,
            south_platform,
            nodes: Vec::new(),
        };
        for (name, data_centre) in [
            ("north-1", "north"),
            ("north-2", "north"),
            ("south-1", "south"),
            ("south-2", "south"),
        ] {
            fleet.add(name, data_centre);
        }
        for node in &fleet.nodes {
            node.ready().await;
            fleet.wait_until_connected(node).await;
        }
        fleet
    }

    fn add(&mut self, name: &str, data_centre: &str) {
        let platform = match data_centre {
            "south" => self.south_platform.address,
            _ => self.platform.standin.address,
        };
        let settings = NodeSettings {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            platform,
            peers: self.nodes.iter().map(|node| node.addresses.peers).collect(),
            extra_yaml: String::new(),
        };
        self.nodes.push(Node::start(&settings));
    }

    fn node(&self, name: &str) -> &Node {
        self.nodes.iter().find(|node| node.name == name).unwrap()
    }

    fn operator(&self, name: &str) -> Operator {
        Operator::at(self.node(name))
    }

    fn all(&self) -> Vec<&Node> {
        self.nodes.iter().collect()
    }

    async fn wait_until_connected(&self, node: &Node) {
        wait::until("all nodes connected", async || {
            let report = Operator::at(node).status().await;
            let nodes = report.data_centres.iter().flat_map(|each| &each.nodes);
            let connected = nodes.filter(|node| node.connected).count();
            (connected == self.nodes.len()).then_some(())
        })
        .await;
    }

    async fn set_faults(&self, faults: Faults) {
        self.platform.standin.control("faults", &faults).await;
    }

    async fn set_outage(&self, outage: Outage) {
        self.set_faults(Faults {
            outage,
            ..Faults::default()
        })
        .await;
    }

    /// Returns how many changes in the audit trail set this prompt.
    async fn count_accepted(&self, prompt: &str) -> usize {
        let records = self.operator("north-1").audit().await.records;
        let sets_prompt = |setting: &Setting| matches!(setting, Setting::Template { template, .. } if template.prompt == prompt);
        let changes = records.iter().map(|record| &record.change.setting);
        changes.filter(|setting| sets_prompt(setting)).count()
    }
}

fn template(prompt: &str) -> Template {
    Template {
        prompt: prompt.to_owned(),
        ..fleet::template("teacher")
    }
}

async fn revision(operator: &Operator) -> Option<Revision> {
    operator.entry(PATH).await.map(|change| change.revision)
}

/// Sets the template, expecting the revision that the operator's node has now.
async fn set(operator: &Operator, prompt: &str) -> Answer {
    let expected = revision(operator).await;
    operator
        .set_template(PATH, expected, &template(prompt))
        .await
}

#[tokio::test]
async fn a_change_takes_effect_on_every_node() {
    let fleet = Fleet::start().await;
    for prompt in ["one", "two", "three"] {
        let answer = set(&fleet.operator("south-2"), prompt).await;
        let start = Instant::now();
        let revision = operator::accepted_revision(&answer);
        operator::wait_until_applied(&fleet.all(), PATH, revision).await;
        println!(
            "applied on 4 nodes after {} ms",
            start.elapsed().as_millis()
        );
    }
}

#[tokio::test]
async fn a_lost_answer_is_read_back() {
    let fleet = Fleet::start().await;
    for (loss, prompt) in [
        (Loss::Drop, "dropped"),
        (Loss::Status, "failed"),
        (Loss::Hold, "held"),
    ] {
        fleet
            .set_faults(Faults {
                lose_answers: 1,
                loss,
                ..Faults::default()
            })
            .await;
        let answer = set(&fleet.operator("north-1"), prompt).await;
        let revision = operator::accepted_revision(&answer);
        operator::wait_until_applied(&fleet.all(), PATH, revision).await;
        assert_eq!(fleet.count_accepted(prompt).await, 1);
    }
}

#[tokio::test]
async fn a_node_that_restarts_in_an_outage_gets_the_configuration_from_its_peers() {
    let mut fleet = Fleet::start().await;
    let answer = set(&fleet.operator("north-1"), "before the outage").await;
    let revision = operator::accepted_revision(&answer);
    operator::wait_until_applied(&fleet.all(), PATH, revision).await;
    fleet.set_outage(Outage::Refuse).await;
    fleet.nodes.remove(1).process.close();
    fleet.add("north-2", "north");
    let restarted = fleet.node("north-2");
    restarted.ready().await;
    operator::wait_until_applied(&[restarted], PATH, revision).await;
}

#[tokio::test]
async fn a_node_without_any_source_is_not_ready() {
    let platform = Platform::start();
    platform
        .standin
        .control(
            "faults",
            &Faults {
                outage: Outage::Refuse,
                ..Faults::default()
            },
        )
        .await;
    let node = Node::start(&NodeSettings {
        name: "alone".to_owned(),
        data_centre: "north".to_owned(),
        platform: platform.standin.address,
        peers: Vec::new(),
        extra_yaml: String::new(),
    });
    let operator = Operator::at(&node);
    wait::until("a read of the table has failed", async || {
        operator.status().await.table_silent.then_some(())
    })
    .await;
    assert!(!operator.status().await.ready);
    let url = format!("http://{}/readyz", node.addresses.callers);
    assert_eq!(reqwest::get(&url).await.unwrap().status(), 503);
}

#[tokio::test]
async fn a_data_centre_without_the_platform_gets_changes_from_its_peers() {
    let fleet = Fleet::start().await;
    for link in [Link::Cut, Link::CutBackward, Link::Stall, Link::HalfOpen] {
        fault_proxy::set_link(&fleet.south_platform, link).await;
        let answer = set(&fleet.operator("north-2"), &format!("{link:?}")).await;
        let start = Instant::now();
        let revision = operator::accepted_revision(&answer);
        operator::wait_until_applied(&fleet.all(), PATH, revision).await;
        println!("{link:?}: applied after {} ms", start.elapsed().as_millis());
    }
}

#[tokio::test]
async fn a_change_through_a_node_without_the_platform_is_refused() {
    let fleet = Fleet::start().await;
    fault_proxy::set_link(&fleet.south_platform, Link::Cut).await;
    let answer = set(&fleet.operator("south-1"), "refused").await;
    assert_eq!(answer, Answer::Unavailable);
    let body = serde_json::json!({"value": ServiceState::Out});
    let response = fleet
        .operator("south-1")
        .put("data-centres/south", &body)
        .await;
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(fleet.count_accepted("refused").await, 0);
}

#[tokio::test]
async fn a_change_whose_answer_is_cut_off_is_accepted_at_most_once() {
    let fleet = Fleet::start().await;
    let operator = fleet.operator("south-1");
    let expected = revision(&operator).await;
    let body = serde_json::json!({
        "expected": expected, "change_id": 77, "value": template("one way"),
    });
    fault_proxy::set_link(&fleet.south_platform, Link::CutBackward).await;
    let first: Answer = operator.put(PATH, &body).await.json().await.unwrap();
    assert!(
        matches!(first, Answer::Unavailable | Answer::Unknown { .. }),
        "{first:?}"
    );
    fault_proxy::set_link(&fleet.south_platform, Link::Open).await;
    let second = wait::until("the platform is available again", async || {
        let answer: Answer = operator.put(PATH, &body).await.json().await.unwrap();
        (answer != Answer::Unavailable).then_some(answer)
    })
    .await;
    operator::accepted_revision(&second);
    assert_eq!(fleet.count_accepted("one way").await, 1);
}

#[tokio::test]
async fn one_of_two_concurrent_changes_gets_a_conflict() {
    let fleet = Fleet::start().await;
    let (north, south) = (fleet.operator("north-1"), fleet.operator("south-1"));
    for round in 0..5 {
        let expected = revision(&north).await;
        let (a, b) = (
            template(&format!("a{round}")),
            template(&format!("b{round}")),
        );
        let answers = tokio::join!(
            north.set_template(PATH, expected, &a),
            south.set_template(PATH, expected, &b),
        );
        let (winner, loser) = match answers {
            (Answer::Accepted { revision }, Answer::Conflict { current })
            | (Answer::Conflict { current }, Answer::Accepted { revision }) => (revision, current),
            other => panic!("{other:?}"),
        };
        assert_eq!(loser.unwrap().revision, winner);
        operator::wait_until_applied(&fleet.all(), PATH, winner).await;
    }
}

#[tokio::test]
async fn a_resend_returns_the_same_revision_even_after_another_change() {
    let fleet = Fleet::start().await;
    let operator = fleet.operator("north-1");
    let expected = revision(&operator).await;
    let body = serde_json::json!({
        "expected": expected, "change_id": 42, "value": template("resent"),
    });
    let first: Answer = operator.put(PATH, &body).await.json().await.unwrap();
    let again: Answer = operator.put(PATH, &body).await.json().await.unwrap();
    assert_eq!(first, again);
    operator::accepted_revision(&set(&operator, "on top").await);
    let late: Answer = operator.put(PATH, &body).await.json().await.unwrap();
    assert_eq!(first, late);
    assert_eq!(fleet.count_accepted("resent").await, 1);
}

#[tokio::test]
async fn a_node_that_resumes_after_a_pause_reverts_no_change() {
    let fleet = Fleet::start().await;
    let paused = fleet.node("south-1");
    paused.process.pause().unwrap();
    let mut newest = Revision::ZERO;
    for prompt in ["one", "two", "three"] {
        let answer = set(&fleet.operator("north-1"), prompt).await;
        newest = operator::accepted_revision(&answer);
    }
    let running = [
        fleet.node("north-1"),
        fleet.node("north-2"),
        fleet.node("south-2"),
    ];
    operator::wait_until_applied(&running, PATH, newest).await;
    paused.process.resume().unwrap();
    operator::wait_until_applied(&[paused], PATH, newest).await;
    // 3 s are long enough for the paused node to exchange messages with every other node.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        for node in fleet.all() {
            assert_eq!(revision(&Operator::at(node)).await, Some(newest));
        }
    }
}

#[tokio::test]
async fn an_accepted_change_survives_the_loss_of_its_node() {
    let mut fleet = Fleet::start().await;
    for name in ["north-1", "south-1"] {
        let answer = set(&fleet.operator(name), name).await;
        let index = fleet.nodes.iter().position(|node| node.name == name);
        fleet.nodes.remove(index.unwrap()).process.close();
        let revision = operator::accepted_revision(&answer);
        operator::wait_until_applied(&fleet.all(), PATH, revision).await;
    }
}

#[tokio::test]
async fn two_simultaneous_faults_neither_lose_nor_revert_a_change() {
    let fleet = Fleet::start().await;
    let paused = fleet.node("north-2");
    paused.process.pause().unwrap();
    fault_proxy::set_link(&fleet.south_platform, Link::Stall).await;
    fleet
        .set_faults(Faults {
            lose_answers: 1,
            loss: Loss::Hold,
            ..Faults::default()
        })
        .await;
    let answer = set(&fleet.operator("north-1"), "two faults").await;
    let revision = operator::accepted_revision(&answer);
    let running = [fleet.node("south-1"), fleet.node("south-2")];
    operator::wait_until_applied(&running, PATH, revision).await;
    paused.process.resume().unwrap();
    operator::wait_until_applied(&fleet.all(), PATH, revision).await;
    assert_eq!(fleet.count_accepted("two faults").await, 1);
}

#[tokio::test]
async fn a_link_cut_in_one_direction_blocks_no_change() {
    let platform = Platform::start();
    platform
        .seed(&[("summary", fleet::template("teacher"))])
        .await;
    let settings = |name: &str, peers| NodeSettings {
        name: name.to_owned(),
        data_centre: name.to_owned(),
        platform: platform.standin.address,
        peers,
        extra_yaml: String::new(),
    };
    let north = Node::start(&settings("north", Vec::new()));
    let link = fault_proxy::start(north.addresses.peers);
    let south = Node::start(&settings("south", vec![link.address]));
    let nodes = [&north, &south];
    for node in nodes {
        node.ready().await;
    }
    for cut in [Link::CutForward, Link::CutBackward, Link::HalfOpen] {
        fault_proxy::set_link(&link, cut).await;
        for node in nodes {
            let prompt = format!("{cut:?} through {}", node.name);
            let answer = set(&Operator::at(node), &prompt).await;
            let revision = operator::accepted_revision(&answer);
            operator::wait_until_applied(&nodes, PATH, revision).await;
        }
    }
}

#[tokio::test]
async fn status_reports_nodes_out_of_date_and_data_centres_cut_off() {
    let fleet = Fleet::start().await;
    for name in ["south-1", "south-2"] {
        fleet.node(name).process.pause().unwrap();
    }
    let answer = set(&fleet.operator("north-1"), "unseen by the south").await;
    let revision = operator::accepted_revision(&answer);
    let report = wait::until("the south is reported as not answering", async || {
        let report = fleet.operator("north-1").status().await;
        let south = report.data_centres.iter().find(|each| each.name == "south");
        south.is_some_and(|south| !south.answers).then_some(report)
    })
    .await;
    assert!(report.head >= revision);
    let south = report.data_centres.iter().find(|each| each.name == "south");
    assert!(south.unwrap().nodes.iter().all(|node| !node.up_to_date));
    for name in ["south-1", "south-2"] {
        fleet.node(name).process.resume().unwrap();
    }
    wait::until("all nodes are up to date", async || {
        let report = fleet.operator("north-1").status().await;
        let nodes = report.data_centres.iter().flat_map(|each| &each.nodes);
        let up_to_date = nodes.filter(|node| node.up_to_date).count();
        (up_to_date == 4).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_wrong_token_is_refused_and_audited() {
    let fleet = Fleet::start().await;
    let intruder = Operator::with_token(fleet.node("north-1"), "guessed");
    let answer = set(&intruder, "intruded").await;
    assert_eq!(answer, Answer::Unauthorized);
    assert_eq!(intruder.get("audit").await.status(), 401);
    assert_eq!(fleet.count_accepted("intruded").await, 0);
    let refusal = wait::until("the refusal is stored", async || {
        let refusals = fleet.operator("south-1").refusals().await.refusals;
        refusals
            .into_iter()
            .find(|each| each.action.contains("PUT"))
    })
    .await;
    assert_eq!(refusal.by, None);
    assert_eq!(refusal.node, "north-1");
    assert_eq!(refusal.reason, "unauthorized");
}

#[tokio::test]
async fn the_audit_trail_records_the_operator_and_the_previous_value() {
    let fleet = Fleet::start().await;
    operator::accepted_revision(&set(&fleet.operator("north-1"), "first").await);
    let records = fleet.operator("south-1").audit().await.records;
    let last = records.last().unwrap();
    assert_eq!(last.change.by, fleet::OPERATOR);
    let is_before = matches!(&last.before, Some(Setting::Template { template, .. })
        if template.prompt.is_empty());
    assert!(is_before, "{:?}", last.before);
}
