//! Accepted configuration is in force everywhere and never reverts.

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
use filbertpaddle_standins::faults::Faults;
use filbertpaddle_standins::faults::Loss;
use filbertpaddle_standins::faults::Outage;
use filbertpaddle_standins::proxy::Link;

const PATH: &str = "templates/school-1/summary";

/// Two nodes in each of two data centres; the south reaches the platform over a proxy.
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
            fleet.connected(node).await;
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

    async fn connected(&self, node: &Node) {
        wait::until("all nodes connected", async || {
            let report = Operator::at(node).status().await;
            let nodes = report.data_centres.iter().flat_map(|each| &each.nodes);
            let connected = nodes.filter(|node| node.connected).count();
            (connected == self.nodes.len()).then_some(())
        })
        .await;
    }

    async fn faults(&self, faults: Faults) {
        self.platform.standin.control("faults", &faults).await;
    }

    async fn outage(&self, outage: Outage) {
        self.faults(Faults {
            outage,
            ..Faults::default()
        })
        .await;
    }

    /// How often the audit trail has a change that set this prompt.
    async fn accepted_prompts(&self, prompt: &str) -> usize {
        let records = self.operator("north-1").audit().await.records;
        let is_meant = |setting: &Setting| matches!(setting, Setting::Template { template, .. } if template.prompt == prompt);
        let changes = records.iter().map(|record| &record.change.setting);
        changes.filter(|setting| is_meant(setting)).count()
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

/// Sets the template from what the operator's node has now.
async fn set(operator: &Operator, prompt: &str) -> Answer {
    let expected = revision(operator).await;
    operator
        .set_template(PATH, expected, &template(prompt))
        .await
}

#[tokio::test]
async fn a_change_is_in_force_on_every_node() {
    let fleet = Fleet::start().await;
    for prompt in ["one", "two", "three"] {
        let answer = set(&fleet.operator("south-2"), prompt).await;
        let start = Instant::now();
        let revision = operator::accepted(&answer);
        operator::in_force(&fleet.all(), PATH, revision).await;
        println!(
            "in force on 4 nodes after {} ms",
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
            .faults(Faults {
                lose_answers: 1,
                loss,
                ..Faults::default()
            })
            .await;
        let answer = set(&fleet.operator("north-1"), prompt).await;
        let revision = operator::accepted(&answer);
        operator::in_force(&fleet.all(), PATH, revision).await;
        assert_eq!(fleet.accepted_prompts(prompt).await, 1);
    }
}

#[tokio::test]
async fn a_node_that_restarts_in_an_outage_learns_from_its_peers() {
    let mut fleet = Fleet::start().await;
    let answer = set(&fleet.operator("north-1"), "before the outage").await;
    let revision = operator::accepted(&answer);
    operator::in_force(&fleet.all(), PATH, revision).await;
    fleet.outage(Outage::Refuse).await;
    fleet.nodes.remove(1).process.close();
    fleet.add("north-2", "north");
    let restarted = fleet.node("north-2");
    restarted.ready().await;
    operator::in_force(&[restarted], PATH, revision).await;
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
    wait::until("the table has been asked", async || {
        operator.status().await.table_silent.then_some(())
    })
    .await;
    assert!(!operator.status().await.ready);
    let url = format!("http://{}/readyz", node.addresses.callers);
    assert_eq!(reqwest::get(&url).await.unwrap().status(), 503);
}

#[tokio::test]
async fn a_data_centre_without_the_platform_learns_from_its_peers() {
    let fleet = Fleet::start().await;
    for link in [Link::Cut, Link::CutBackward, Link::Stall, Link::HalfOpen] {
        fault_proxy::set_link(&fleet.south_platform, link).await;
        let answer = set(&fleet.operator("north-2"), &format!("{link:?}")).await;
        let start = Instant::now();
        let revision = operator::accepted(&answer);
        operator::in_force(&fleet.all(), PATH, revision).await;
        println!(
            "{link:?}: in force after {} ms",
            start.elapsed().as_millis()
        );
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
    assert_eq!(fleet.accepted_prompts("refused").await, 0);
}

#[tokio::test]
async fn a_change_whose_way_back_is_cut_is_accepted_once_or_not_at_all() {
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
    let second = wait::until("the platform is back", async || {
        let answer: Answer = operator.put(PATH, &body).await.json().await.unwrap();
        (answer != Answer::Unavailable).then_some(answer)
    })
    .await;
    operator::accepted(&second);
    assert_eq!(fleet.accepted_prompts("one way").await, 1);
}

#[tokio::test]
async fn of_two_operators_one_sees_the_others_change() {
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
        operator::in_force(&fleet.all(), PATH, winner).await;
    }
}

#[tokio::test]
async fn a_resend_is_the_same_change_even_after_another() {
    let fleet = Fleet::start().await;
    let operator = fleet.operator("north-1");
    let expected = revision(&operator).await;
    let body = serde_json::json!({
        "expected": expected, "change_id": 42, "value": template("resent"),
    });
    let first: Answer = operator.put(PATH, &body).await.json().await.unwrap();
    let again: Answer = operator.put(PATH, &body).await.json().await.unwrap();
    assert_eq!(first, again);
    operator::accepted(&set(&operator, "on top").await);
    let late: Answer = operator.put(PATH, &body).await.json().await.unwrap();
    assert_eq!(first, late);
    assert_eq!(fleet.accepted_prompts("resent").await, 1);
}

#[tokio::test]
async fn a_node_that_wakes_reverts_nobody() {
    let fleet = Fleet::start().await;
    let sleeper = fleet.node("south-1");
    sleeper.process.pause().unwrap();
    let mut newest = Revision::ZERO;
    for prompt in ["one", "two", "three"] {
        let answer = set(&fleet.operator("north-1"), prompt).await;
        newest = operator::accepted(&answer);
    }
    let awake = [
        fleet.node("north-1"),
        fleet.node("north-2"),
        fleet.node("south-2"),
    ];
    operator::in_force(&awake, PATH, newest).await;
    sleeper.process.wake().unwrap();
    operator::in_force(&[sleeper], PATH, newest).await;
    // Long enough for the sleeper to have asked and answered everyone.
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        for node in fleet.all() {
            assert_eq!(revision(&Operator::at(node)).await, Some(newest));
        }
    }
}

#[tokio::test]
async fn a_change_outlives_the_node_that_took_it() {
    let mut fleet = Fleet::start().await;
    for name in ["north-1", "south-1"] {
        let answer = set(&fleet.operator(name), name).await;
        let index = fleet.nodes.iter().position(|node| node.name == name);
        fleet.nodes.remove(index.unwrap()).process.close();
        let revision = operator::accepted(&answer);
        operator::in_force(&fleet.all(), PATH, revision).await;
    }
}

#[tokio::test]
async fn two_faults_at_once_lose_and_revert_nothing() {
    let fleet = Fleet::start().await;
    let sleeper = fleet.node("north-2");
    sleeper.process.pause().unwrap();
    fault_proxy::set_link(&fleet.south_platform, Link::Stall).await;
    fleet
        .faults(Faults {
            lose_answers: 1,
            loss: Loss::Hold,
            ..Faults::default()
        })
        .await;
    let answer = set(&fleet.operator("north-1"), "two faults").await;
    let revision = operator::accepted(&answer);
    let awake = [fleet.node("south-1"), fleet.node("south-2")];
    operator::in_force(&awake, PATH, revision).await;
    sleeper.process.wake().unwrap();
    operator::in_force(&fleet.all(), PATH, revision).await;
    assert_eq!(fleet.accepted_prompts("two faults").await, 1);
}

#[tokio::test]
async fn a_link_cut_one_way_keeps_no_change_back() {
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
            let revision = operator::accepted(&answer);
            operator::in_force(&nodes, PATH, revision).await;
        }
    }
}

#[tokio::test]
async fn status_tells_what_is_behind_and_what_is_cut_off() {
    let fleet = Fleet::start().await;
    for name in ["south-1", "south-2"] {
        fleet.node(name).process.pause().unwrap();
    }
    let answer = set(&fleet.operator("north-1"), "unseen by the south").await;
    let revision = operator::accepted(&answer);
    let report = wait::until("the south counts as cut off", async || {
        let report = fleet.operator("north-1").status().await;
        let south = report.data_centres.iter().find(|each| each.name == "south");
        south.is_some_and(|south| !south.answers).then_some(report)
    })
    .await;
    assert!(report.head >= revision);
    let south = report.data_centres.iter().find(|each| each.name == "south");
    assert!(south.unwrap().nodes.iter().all(|node| !node.up_to_date));
    for name in ["south-1", "south-2"] {
        fleet.node(name).process.wake().unwrap();
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
    assert_eq!(fleet.accepted_prompts("intruded").await, 0);
    let refusal = wait::until("refusal audited", async || {
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
async fn the_audit_trail_says_who_changed_what() {
    let fleet = Fleet::start().await;
    operator::accepted(&set(&fleet.operator("north-1"), "first").await);
    let records = fleet.operator("south-1").audit().await.records;
    let last = records.last().unwrap();
    assert_eq!(last.change.by, fleet::OPERATOR);
    let is_before = matches!(&last.before, Some(Setting::Template { template, .. })
        if template.prompt.is_empty());
    assert!(is_before, "{:?}", last.before);
}
