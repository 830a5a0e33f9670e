//! Invalid input is refused with a reason, and the node still serves valid requests.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use common::caller;
use common::caller::Stream;
use common::fleet;
use common::fleet::CUSTOMER_KEY;
use common::fleet::Node;
use common::fleet::NodeSettings;
use common::fleet::Platform;
use common::fleet::StandIn;
use expect_test::expect;
use filbertpaddle_core::outcome::Outcome;
use serde_json::json;

const LIMITS: &str = "limits: {body_bytes: 2000, requests: 4}";
const SHORT_SEND_TIMEOUT: &str = "limits: {send_timeout_ms: 300}";

struct Deployment {
    platform: Platform,
    _engine: StandIn,
    node: Node,
}

async fn start(limits: &str) -> Deployment {
    let mut platform = Platform::start();
    let engine = StandIn::start(&["engine", "--seed", "7", "--speed", "20"]);
    let mut booking = fleet::template("booking");
    booking.idempotent = false;
    platform
        .seed(&[("summary", fleet::template("teacher")), ("book", booking)])
        .await;
    platform
        .list_target("engine-1", "north", "teacher", engine.address)
        .await;
    let node = Node::start(&NodeSettings {
        name: "entry-1".to_owned(),
        data_centre: "north".to_owned(),
        platform: platform.standin.address,
        peers: Vec::new(),
        extra_yaml: limits.to_owned(),
    });
    node.ready().await;
    Deployment {
        platform,
        _engine: engine,
        node,
    }
}

async fn post(deployment: &Deployment, key: &str, body: String) -> String {
    let url = format!("http://{}/v1/requests", deployment.node.addresses.callers);
    let request = reqwest::Client::new().post(url).bearer_auth(key).body(body);
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    format!("{status} {}", response.text().await.unwrap())
}

#[tokio::test]
async fn each_error_of_a_request_is_reported_with_its_reason() {
    let deployment = start(LIMITS).await;
    let request = |parameters: serde_json::Value| {
        json!({"template": "summary", "parameters": parameters}).to_string()
    };
    let late = json!({"template": "summary", "parameters": {"text": "a"}, "deadline_unix_ms": 1});
    let book = json!({"template": "book", "parameters": {"text": "a"}});
    let cases = [
        ("wrong key", "wrong", request(json!({"text": "a"}))),
        ("malformed", CUSTOMER_KEY, "{\"template\":".to_owned()),
        (
            "unknown field",
            CUSTOMER_KEY,
            json!({"templat": "a"}).to_string(),
        ),
        (
            "unknown template",
            CUSTOMER_KEY,
            json!({"template": "x"}).to_string(),
        ),
        ("missing parameter", CUSTOMER_KEY, request(json!({}))),
        (
            "unknown parameter",
            CUSTOMER_KEY,
            request(json!({"text": "a", "b": "c"})),
        ),
        ("past deadline", CUSTOMER_KEY, late.to_string()),
        ("no idempotency key", CUSTOMER_KEY, book.to_string()),
        (
            "too large",
            CUSTOMER_KEY,
            request(json!({"text": "a".repeat(3_000)})),
        ),
    ];
    let mut answers = String::new();
    for (name, key, body) in cases {
        answers.push_str(&format!("{name}: {}\n", post(&deployment, key, body).await));
    }
    expect![[r#"
        wrong key: 401 {"outcome":"not_run","reason":"unauthorized","retry_after_ms":null,"detail":"the customer's key is missing or wrong"}
        malformed: 400 {"outcome":"not_run","reason":"bad_request","retry_after_ms":null,"detail":"EOF while parsing a value at line 1 column 12"}
        unknown field: 400 {"outcome":"not_run","reason":"bad_request","retry_after_ms":null,"detail":"unknown field `templat`, expected one of `template`, `parameters`, `deadline_unix_ms` at line 1 column 10"}
        unknown template: 400 {"outcome":"not_run","reason":"bad_request","retry_after_ms":null,"detail":"template x is unknown"}
        missing parameter: 400 {"outcome":"not_run","reason":"bad_request","retry_after_ms":null,"detail":"parameter text is missing"}
        unknown parameter: 400 {"outcome":"not_run","reason":"bad_request","retry_after_ms":null,"detail":"parameter b is unknown"}
        past deadline: 400 {"outcome":"not_run","reason":"deadline","retry_after_ms":null,"detail":"the deadline has passed"}
        no idempotency key: 400 {"outcome":"not_run","reason":"key_required","retry_after_ms":null,"detail":"the template is non-idempotent: send an Idempotency-Key"}
        too large: 400 {"outcome":"not_run","reason":"bad_request","retry_after_ms":null,"detail":"the body is over 2000 bytes"}
    "#]].assert_eq(&answers);
    check_complete_answer(&deployment).await;
}

#[tokio::test]
async fn slow_sender_is_refused() {
    let deployment = start(SHORT_SEND_TIMEOUT).await;
    let address = deployment.node.addresses.callers;
    let answer = tokio::task::spawn_blocking(move || {
        let mut connection = TcpStream::connect(address).unwrap();
        connection.write_all(partial_request().as_bytes()).unwrap();
        let mut answer = String::new();
        connection.read_to_string(&mut answer).ok();
        answer
    })
    .await
    .unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("not sent in time"), "{answer}");
    check_complete_answer(&deployment).await;
}

#[tokio::test]
async fn requests_beyond_the_limit_are_refused_at_once() {
    let deployment = start(LIMITS).await;
    let address = deployment.node.addresses.callers;
    // Requests whose bodies never arrive use up the request limit.
    let partial: Vec<TcpStream> = (0..4)
        .map(|_| {
            let mut connection = TcpStream::connect(address).unwrap();
            connection.write_all(partial_request().as_bytes()).unwrap();
            connection
        })
        .collect();
    let refused = common::wait::until("the node has reached its request limit", async || {
        let response = caller::send(address, "summary", "a", None).await;
        (response.status() == 503).then_some(response)
    })
    .await;
    assert!(refused.headers().contains_key("retry-after"));
    drop(partial);
    check_complete_answer(&deployment).await;
}

#[tokio::test]
async fn malformed_ticket_is_refused() {
    let deployment = start(LIMITS).await;
    let address = deployment.node.addresses.callers;
    let response = caller::resume(address, "not-a-ticket", 0).await;
    assert_eq!(response.status(), 400);
    let body: serde_json::Value = response.json().await.unwrap();
    assert_eq!(body["reason"], "bad_request");
    drop(deployment.platform);
}

fn partial_request() -> String {
    format!(
        "POST /v1/requests HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-length: 100\r\nconnection: close\r\n\r\n{{"
    )
}

async fn check_complete_answer(deployment: &Deployment) {
    let address = deployment.node.addresses.callers;
    let response = common::wait::until("the node accepts a request", async || {
        let response = caller::send(address, "summary", "a", None).await;
        (response.status() == 200).then_some(response)
    })
    .await;
    let (tokens, outcome) = Stream::open(response).rest().await;
    let tokens = u32::try_from(tokens.len()).unwrap();
    assert_eq!(outcome, Some(Outcome::Complete { tokens }));
}
