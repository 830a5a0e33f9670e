//! Caller's client of the HTTP interface of any node.

use std::net::SocketAddr;

use filbertpaddle_core::outcome::Outcome;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::Value;

use super::fleet::CUSTOMER_KEY;

/// One event of a response stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Start { generation: String, ticket: String },
    Token { index: u32, text: String },
    Restart,
    End(Outcome),
}

/// An open response stream.
pub struct Stream {
    response:
        std::pin::Pin<Box<dyn futures_util::Stream<Item = reqwest::Result<bytes::Bytes>> + Send>>,
    buffer: String,
}

/// Sends a request with the one parameter `text`.
pub async fn send(
    node: SocketAddr,
    template: &str,
    text: &str,
    key: Option<&str>,
) -> reqwest::Response {
    let mut request = request(node, template, text);
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    request.send().await.unwrap()
}

/// Sends a request as [`send`] does, in HTTP/1.0.
pub async fn send_http10(node: SocketAddr, template: &str, text: &str) -> reqwest::Response {
    let request = request(node, template, text).version(reqwest::Version::HTTP_10);
    request.send().await.unwrap()
}

fn request(node: SocketAddr, template: &str, text: &str) -> reqwest::RequestBuilder {
    let body = serde_json::json!({"template": template, "parameters": {"text": text}});
    reqwest::Client::new()
        .post(format!("http://{node}/v1/requests"))
        .bearer_auth(CUSTOMER_KEY)
        .json(&body)
}

/// Resumes a stream at token `from`.
pub async fn resume(node: SocketAddr, ticket: &str, from: u32) -> reqwest::Response {
    let body = serde_json::json!({"ticket": ticket, "from": from});
    reqwest::Client::new()
        .post(format!("http://{node}/v1/resume"))
        .bearer_auth(CUSTOMER_KEY)
        .json(&body)
        .send()
        .await
        .unwrap()
}

/// Cancels a generation.
pub async fn cancel(node: SocketAddr, ticket: &str) -> reqwest::Response {
    let body = serde_json::json!({"ticket": ticket});
    reqwest::Client::new()
        .post(format!("http://{node}/v1/cancel"))
        .bearer_auth(CUSTOMER_KEY)
        .json(&body)
        .send()
        .await
        .unwrap()
}

/// Reads a response that has only an outcome.
pub async fn outcome(response: reqwest::Response) -> Outcome {
    response.json().await.unwrap()
}

impl Stream {
    pub fn open(response: reqwest::Response) -> Self {
        assert_eq!(response.status(), 200, "{response:?}");
        Self {
            response: Box::pin(response.bytes_stream()),
            buffer: String::new(),
        }
    }

    /// Returns the next event; `None` if the connection was closed or failed.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some((block, rest)) = self.buffer.split_once("\n\n") {
                let event = parse(block);
                self.buffer = rest.to_owned();
                return Some(event);
            }
            let bytes = self.response.next().await?.ok()?;
            self.buffer.push_str(std::str::from_utf8(&bytes).unwrap());
        }
    }

    /// Reads the remaining events; returns the tokens in order and the outcome, if received.
    pub async fn rest(mut self) -> (Vec<String>, Option<Outcome>) {
        let mut tokens = Vec::new();
        while let Some(event) = self.next().await {
            match event {
                Event::Token { text, .. } => tokens.push(text),
                Event::End(outcome) => return (tokens, Some(outcome)),
                Event::Start { .. } => {}
                Event::Restart => tokens.clear(),
            }
        }
        (tokens, None)
    }
}

#[derive(Deserialize)]
struct Start {
    generation: String,
    ticket: String,
}

#[derive(Deserialize)]
struct Token {
    index: u32,
    text: String,
}

fn parse(block: &str) -> Event {
    let field = |name: &str| {
        block
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))
            .map(str::trim_start)
    };
    let data = field("data").unwrap_or("null");
    match field("event") {
        Some("start") => {
            let start: Start = serde_json::from_str(data).unwrap();
            Event::Start {
                generation: start.generation,
                ticket: start.ticket,
            }
        }
        Some("token") => {
            let token: Token = serde_json::from_str(data).unwrap();
            Event::Token {
                index: token.index,
                text: token.text,
            }
        }
        Some("restart") => Event::Restart,
        Some("end") => Event::End(serde_json::from_str(data).unwrap()),
        other => panic!("unknown event {other:?}: {:?}", Value::from(block)),
    }
}
