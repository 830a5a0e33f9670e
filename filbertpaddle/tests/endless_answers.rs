//! Targets of the own interface whose answers have no end.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::caller;
use common::fleet;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::fleet::StandIn;
use filbertpaddle_adapter_standins::http::Answer;
use filbertpaddle_adapter_standins::http::Server;
use filbertpaddle_adapter_standins::http::full_body;
use filbertpaddle_adapter_standins::http::read_body;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_standins::loopback::next_host;
use futures_util::StreamExt;
use http::Method;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

/// Memory of the smallest VM of the users' deployments.
const MAX_MEMORY_KIB: u64 = 88 << 10;
/// Time in which the answers go on.
const HOLD_TIME: Duration = Duration::from_secs(4);
/// Pause between the tokens of an answer.
const TOKEN_INTERVAL: Duration = Duration::from_millis(1);
const CALLERS: usize = 16;

/// Passes a call on to an engine.
async fn pass_on(engine: SocketAddr, path: &str) -> Answer {
    let url = format!("http://{engine}{path}");
    let response = reqwest::get(url).await.unwrap();
    let status = response.status();
    let mut passed = Response::new(full_body(response.bytes().await.unwrap()));
    *passed.status_mut() = status;
    Ok(passed)
}

/// Answers a generation with tokens without end.
fn answer_without_end(attempt: String, text: String) -> Answer {
    let tokens = futures_util::stream::unfold(0_u64, move |index| {
        let (attempt, text) = (attempt.clone(), text.clone());
        async move {
            sleep(TOKEN_INTERVAL).await;
            let token = json!({"attempt": attempt, "index": index, "kind": "token", "text": text});
            Some((Bytes::from(format!("{token}\n")), index + 1))
        }
    });
    let frames = tokens.map(|line| Ok::<_, Infallible>(Frame::data(line)));
    let body = StreamBody::new(frames).map_err(|never| match never {});
    Ok(Response::new(body.boxed_unsync()))
}

/// Starts a target whose generations have no end; an engine answers all other calls.
async fn start_target(engine: SocketAddr, text: String) -> Server {
    let handle = move |request: http::Request<_>| {
        let text = text.clone();
        async move {
            let path = request.uri().path_and_query().unwrap().to_string();
            if request.method() != Method::POST || path != "/v1/generations" {
                return pass_on(engine, &path).await;
            }
            let body = read_body(request.into_body()).await?;
            let submit: Value = serde_json::from_slice(&body).unwrap();
            answer_without_end(submit["attempt"].as_str().unwrap().to_owned(), text)
        }
    };
    Server::start(next_host().into(), handle).await.unwrap()
}

/// Starts a node before a target whose tokens have `text`, with at most `max_tokens` an answer.
async fn start(text: &str, max_tokens: u32) -> (Platform, StandIn, Server, Node) {
    let mut platform = Platform::start();
    let engine = StandIn::start(&["engine", "--seed", "7"]);
    let target = start_target(engine.address, text.to_owned()).await;
    let mut template = fleet::template("teacher");
    template.max_tokens = max_tokens;
    platform.seed(&[("summary", template)]).await;
    platform
        .list_target("engine-1", "north", "teacher", target.address)
        .await;
    let node = Node::start(&NodeSettings {
        name: "entry-1".to_owned(),
        data_centre: "north".to_owned(),
        platform: platform.standin.address,
        peers: Vec::new(),
        extra_yaml: String::new(),
    });
    node.ready().await;
    (platform, engine, target, node)
}

async fn open_stream(node: &Node, text: &str) -> reqwest::Response {
    common::wait::until("a stream is open", async || {
        let response = caller::send(node.addresses.callers, "summary", text, None).await;
        (response.status() == 200).then_some(response)
    })
    .await
}

/// The texts of answers filled the memory, whether their callers read them or not.
#[tokio::test]
async fn answers_without_end_stay_within_the_memory_of_a_small_vm() {
    let (_platform, _engine, _target, node) = start(&"x".repeat(32 << 10), 1_000_000).await;
    let mut unread = Vec::new();
    for number in 0..CALLERS {
        unread.push(open_stream(&node, &format!("text {number}")).await);
    }
    sleep(HOLD_TIME).await;
    let memory_kib = node.process.peak_memory_kib().unwrap();
    assert!(memory_kib <= MAX_MEMORY_KIB, "{memory_kib} KiB");
    drop(unread);
}

/// An answer without end has an end: that of the tokens that were asked for.
#[tokio::test]
async fn an_answer_ends_after_the_tokens_that_were_asked_for() {
    let (_platform, _engine, _target, node) = start("a ", 40).await;
    let response = open_stream(&node, "text").await;
    let rest = timeout(HOLD_TIME, caller::Stream::open(response).rest());
    let (tokens, outcome) = rest.await.unwrap();
    assert_eq!(tokens.len(), 40);
    let expected = Outcome::Incomplete {
        tokens: 40,
        reason: Reason::TargetFailed,
    };
    assert_eq!(outcome, Some(expected));
}
