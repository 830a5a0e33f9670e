//! HTTP client that sends load test requests to nodes, as callers do, and checks the answers.

use std::net::SocketAddr;

use bytes::Buf;
use bytes::BytesMut;
use filbertpaddle_core::outcome::Outcome;
use reqwest::Response;
use serde::Deserialize;
use serde_json::json;

use crate::observation::Ending;
use crate::observation::Observer;
use crate::workload::Request;

/// Name of the parameter in the templates of the load tool; each has only this one.
pub const TEMPLATE_PARAMETER: &str = "ask";

#[derive(Deserialize)]
struct Token {
    index: u32,
    text: String,
}

/// A server-sent event.
#[derive(Debug, Default)]
struct Event {
    name: String,
    data: String,
}

/// Returns the API key of a customer.
pub fn api_key(customer: &str) -> String {
    format!("load-tool-key-{customer}")
}

/// Sends a request to a node, reads the answer to its end and returns how the request ended.
pub async fn run(
    http: &reqwest::Client,
    node: SocketAddr,
    request: &Request,
    observer: &mut Observer,
) -> Ending {
    match send(http, node, request).await {
        Ok(response) => observe(response, request, observer).await,
        Err(error) if error.is_connect() => Ending::NotRun,
        Err(_) => Ending::Broken,
    }
}

async fn send(
    http: &reqwest::Client,
    node: SocketAddr,
    request: &Request,
) -> Result<Response, reqwest::Error> {
    let body = json!({
        "template": request.kind.name,
        "parameters": { TEMPLATE_PARAMETER: request.parameter },
    });
    let mut builder = http
        .post(format!("http://{node}/v1/requests"))
        .bearer_auth(api_key(&request.customer))
        .json(&body);
    if !request.kind.idempotent {
        builder = builder.header("idempotency-key", &request.marker);
    }
    builder.send().await
}

async fn observe(response: Response, request: &Request, observer: &mut Observer) -> Ending {
    let streamed = response.status().is_success() && !request.kind.is_call();
    if streamed {
        return read_stream(response, observer).await;
    }
    match response.json::<Outcome>().await {
        Ok(outcome) => {
            if let Outcome::Complete { tokens } = outcome {
                observer.record_answer(tokens);
            }
            ending(&outcome)
        }
        Err(_) => Ending::Broken,
    }
}

async fn read_stream(mut response: Response, observer: &mut Observer) -> Ending {
    let mut buffer = BytesMut::new();
    let mut event = Event::default();
    while let Ok(Some(chunk)) = response.chunk().await {
        buffer.extend_from_slice(&chunk);
        while let Some(line) = take_line(&mut buffer) {
            if !line.is_empty() {
                event.parse_line(&line);
                continue;
            }
            let finished = std::mem::take(&mut event);
            if let Some(ending) = record_event(&finished, observer) {
                return ending;
            }
        }
    }
    Ending::Broken
}

/// Records an event and returns the ending if the event is the last one.
fn record_event(event: &Event, observer: &mut Observer) -> Option<Ending> {
    match event.name.as_str() {
        "token" => {
            let token: Token = serde_json::from_str(&event.data).ok()?;
            observer.record_token(token.index, &token.text);
            None
        }
        "end" => {
            let outcome: Outcome = serde_json::from_str(&event.data).ok()?;
            if let Outcome::Complete { tokens } | Outcome::Incomplete { tokens, .. } = outcome {
                observer.check_token_count(tokens);
            }
            Some(ending(&outcome))
        }
        _ => None,
    }
}

const fn ending(outcome: &Outcome) -> Ending {
    match outcome {
        Outcome::Complete { .. } => Ending::Complete,
        Outcome::NotRun { .. } => Ending::NotRun,
        Outcome::MayHaveRun { .. } => Ending::MayHaveRun,
        Outcome::Incomplete { .. } => Ending::Incomplete,
    }
}

fn take_line(buffer: &mut BytesMut) -> Option<String> {
    let end = buffer.iter().position(|byte| *byte == b'\n')?;
    let line = buffer.split_to(end);
    buffer.advance(1);
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

impl Event {
    fn parse_line(&mut self, line: &str) {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_owned(),
            "data" => self.data.push_str(value),
            _ => {}
        }
    }
}
