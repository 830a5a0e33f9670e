//! HTTP responses to callers.

use std::convert::Infallible;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use futures_util::Stream;
use futures_util::StreamExt;
use serde::Serialize;
use warp::Reply;
use warp::http::StatusCode;
use warp::http::header::RETRY_AFTER;
use warp::reply::Response;
use warp::sse;

use crate::claims::RequestResult;
use crate::item_queue::ItemReceiver;
use crate::request::FirstResponse;
use crate::request::ResponseItem;
use crate::request::ValidationError;

const MS_PER_SECOND: u64 = 1_000;
/// Header of responses that replay the stored result of an idempotency key.
const REPLAYED_HEADER: &str = "idempotent-replayed";

#[derive(Serialize)]
struct Refused<'a> {
    #[serde(flatten)]
    outcome: &'a Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

#[derive(Serialize)]
struct Whole<'a> {
    #[serde(flatten)]
    outcome: &'a Outcome,
    text: &'a str,
}

#[derive(Serialize)]
struct Start<'a> {
    generation: &'a str,
    ticket: &'a str,
}

#[derive(Serialize)]
struct Token<'a> {
    index: u32,
    text: &'a str,
}

/// Returns the response to a streaming request.
pub(crate) fn streamed(response: FirstResponse) -> Response {
    match response {
        FirstResponse::Ended(outcome) => ended(&outcome, None),
        FirstResponse::Replay(result) => {
            let items = replayed_items(result);
            marked_replayed(sse::reply(events(futures_util::stream::iter(items))).into_response())
        }
        FirstResponse::Running(items) => running(items),
    }
}

/// Returns a response that streams the items of a running generation.
pub(crate) fn running(items: ItemReceiver) -> Response {
    sse::reply(events(items)).into_response()
}

/// Returns the response to a request whose answer is delivered whole.
pub(crate) async fn whole(response: FirstResponse) -> Response {
    let mut items = match response {
        FirstResponse::Ended(outcome) => return ended(&outcome, None),
        FirstResponse::Replay(result) => {
            return marked_replayed(whole_body(&result.outcome, &result.text));
        }
        FirstResponse::Running(items) => items,
    };
    let mut text = String::new();
    while let Some(item) = items.next().await {
        match item {
            ResponseItem::Start { .. } => {}
            ResponseItem::Token { text: more, .. } => text.push_str(&more),
            ResponseItem::Restart => text.clear(),
            ResponseItem::End(outcome) => return whole_body(&outcome, &text),
        }
    }
    // The task that ran the request ended without an outcome.
    ended(
        &Outcome::MayHaveRun {
            reason: Reason::HolderGone,
        },
        None,
    )
}

/// Returns the response to a request that was refused before it was run.
pub(crate) fn invalid(invalid: &ValidationError) -> Response {
    let outcome = Outcome::NotRun {
        reason: invalid.reason,
        retry_after_ms: None,
    };
    ended(&outcome, Some(&invalid.detail))
}

/// Returns the response to a request that ended without tokens.
pub(crate) fn ended(outcome: &Outcome, detail: Option<&str>) -> Response {
    let body = warp::reply::json(&Refused { outcome, detail });
    let status = status(outcome);
    let mut response = warp::reply::with_status(body, status).into_response();
    if let Outcome::NotRun {
        retry_after_ms: Some(retry_after_ms),
        ..
    } = outcome
    {
        let seconds = whole_seconds(*retry_after_ms);
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

fn whole_body(outcome: &Outcome, text: &str) -> Response {
    let body = warp::reply::json(&Whole { outcome, text });
    warp::reply::with_status(body, status(outcome)).into_response()
}

fn marked_replayed(mut response: Response) -> Response {
    let yes = warp::http::HeaderValue::from_static("true");
    response.headers_mut().insert(REPLAYED_HEADER, yes);
    response
}

fn replayed_items(result: RequestResult) -> Vec<ResponseItem> {
    let token = ResponseItem::Token {
        index: 0,
        text: result.text,
    };
    vec![token, ResponseItem::End(result.outcome)]
}

fn events<S>(items: S) -> impl Stream<Item = Result<sse::Event, Infallible>>
where
    S: Stream<Item = ResponseItem> + Send,
{
    items.map(|item| Ok(event(&item)))
}

fn event(item: &ResponseItem) -> sse::Event {
    match item {
        ResponseItem::Start { generation, ticket } => json("start", &Start { generation, ticket }),
        ResponseItem::Token { index, text } => json(
            "token",
            &Token {
                index: *index,
                text,
            },
        )
        .id(index.to_string()),
        ResponseItem::Restart => sse::Event::default().event("restart"),
        ResponseItem::End(outcome) => json("end", outcome),
    }
}

fn json<T>(name: &str, body: &T) -> sse::Event
where
    T: Serialize,
{
    // Serialization cannot fail, since all keys of these bodies are strings.
    let data = serde_json::to_string(body).unwrap_or_default();
    sse::Event::default().event(name).data(data)
}

fn status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Complete { .. } => StatusCode::OK,
        Outcome::MayHaveRun {
            reason: Reason::KeyInUse,
        } => StatusCode::CONFLICT,
        Outcome::MayHaveRun { .. } | Outcome::Incomplete { .. } => StatusCode::BAD_GATEWAY,
        Outcome::NotRun {
            reason,
            retry_after_ms,
        } => match reason {
            Reason::BadRequest | Reason::KeyRequired => StatusCode::BAD_REQUEST,
            // Without a retry time, the deadline in the request had passed on arrival.
            Reason::Deadline if retry_after_ms.is_none() => StatusCode::BAD_REQUEST,
            Reason::Unauthorized => StatusCode::UNAUTHORIZED,
            Reason::KeyReused | Reason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::KeyInUse => StatusCode::CONFLICT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}

fn whole_seconds(span: Millis) -> u64 {
    span.0.div_ceil(MS_PER_SECOND)
}
