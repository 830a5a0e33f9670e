//! A node streams a generation to its caller; the stream can be cancelled or resumed through
//! another node.

mod common;

use common::caller;
use common::caller::Event;
use common::caller::Stream;
use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::fleet::StandIn;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::template::DeliveryMode;
use filbertpaddle_core::template::Template;

async fn start() -> (Platform, StandIn, Vec<Node>) {
    start_at_speed("20").await
}

async fn start_at_speed(speed: &str) -> (Platform, StandIn, Vec<Node>) {
    let mut platform = Platform::start();
    let engine = StandIn::start(&["engine", "--seed", "7", "--speed", speed]);
    platform
        .seed(&[
            ("summary", fleet::template("teacher")),
            ("whole", whole_template()),
        ])
        .await;
    platform
        .list_target("engine-1", "north", "teacher", engine.address)
        .await;
    let mut nodes: Vec<Node> = Vec::new();
    for name in ["entry-1", "entry-2"] {
        let settings = NodeSettings {
            name: name.to_owned(),
            data_centre: "north".to_owned(),
            platform: platform.standin.address,
            peers: nodes.iter().map(|node| node.addresses.peers).collect(),
            extra_yaml: String::new(),
        };
        nodes.push(Node::start(&settings));
    }
    for node in &nodes {
        node.ready().await;
    }
    (platform, engine, nodes)
}

fn whole_template() -> Template {
    let mut template = fleet::template("teacher");
    template.delivery = DeliveryMode::Whole;
    template
}

async fn stream(node: &Node, text: &str) -> Stream {
    let response = common::wait::until("a stream is open", async || {
        let response = caller::send(node.addresses.callers, "summary", text, None).await;
        (response.status() == 200).then_some(response)
    })
    .await;
    Stream::open(response)
}

#[tokio::test]
async fn each_node_streams_a_complete_answer() {
    let (_platform, _engine, nodes) = start().await;
    for node in &nodes {
        let (tokens, outcome) = stream(node, "a short summary").await.rest().await;
        assert!(!tokens.is_empty());
        let count = u32::try_from(tokens.len()).unwrap();
        assert_eq!(outcome, Some(Outcome::Complete { tokens: count }));
    }
}

#[tokio::test]
async fn cancelled_stream_ends_as_incomplete() {
    let (_platform, _engine, nodes) = start_at_speed("1").await;
    let mut stream = stream(&nodes[0], "a long summary").await;
    let Some(Event::Start { ticket, .. }) = stream.next().await else {
        panic!("the first event starts the stream");
    };
    let response = caller::cancel(nodes[1].addresses.callers, &ticket).await;
    assert_eq!(response.status(), 204);
    let (_, outcome) = stream.rest().await;
    assert!(
        matches!(
            outcome,
            Some(Outcome::Incomplete {
                reason: Reason::Cancelled,
                ..
            })
        ),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn stream_is_resumed_on_another_node_after_its_node_is_killed() {
    let (_platform, _engine, mut nodes) = start().await;
    let (whole, _) = stream(&nodes[1], "the same prompt").await.rest().await;
    let mut first = stream(&nodes[0], "the same prompt").await;
    let Some(Event::Start { ticket, .. }) = first.next().await else {
        panic!("the first event starts the stream");
    };
    let Some(Event::Token { index: 0, text }) = first.next().await else {
        panic!("the second event is the first token");
    };
    nodes.remove(0).process.close();
    let response = caller::resume(nodes[0].addresses.callers, &ticket, 1).await;
    let (rest, outcome) = Stream::open(response).rest().await;
    let count = u32::try_from(rest.len() + 1).unwrap();
    assert_eq!(outcome, Some(Outcome::Complete { tokens: count }));
    assert_eq!(whole.len(), rest.len() + 1);
    assert!(!text.is_empty());
}

/// Streams to such callers have no chunks, and those of dead processes are closed in order.
#[tokio::test]
async fn a_stream_that_is_cut_has_no_outcome_at_a_caller_of_http_1_0() {
    let (_platform, _engine, mut nodes) = start_at_speed("1").await;
    drop(stream(&nodes[0], "the first").await);
    let response = caller::send_http10(nodes[0].addresses.callers, "summary", "a summary").await;
    assert_eq!(response.version(), reqwest::Version::HTTP_10);
    let mut stream = Stream::open(response);
    assert!(matches!(stream.next().await, Some(Event::Start { .. })));
    nodes.remove(0).process.close();
    let (_, outcome) = stream.rest().await;
    assert_eq!(outcome, None);
}

#[tokio::test]
async fn whole_answers_have_a_length_at_a_caller_of_http_1_0() {
    let (_platform, _engine, nodes) = start().await;
    drop(stream(&nodes[0], "the first").await);
    for (template, status) in [("whole", 200), ("unknown", 400)] {
        let node = nodes[0].addresses.callers;
        let response = caller::send_http10(node, template, "a summary").await;
        assert_eq!(response.status(), status);
        assert!(response.content_length() > Some(0), "{response:?}");
    }
}
