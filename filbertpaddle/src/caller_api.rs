//! HTTP interface for callers: requests, resumes and cancellations.

use std::sync::Arc;

use bytes::Buf;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::delivery::Delivery;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::template;
use futures_util::Stream;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::clock;
use crate::generation::Attempt;
use crate::generation::AttemptResult;
use crate::output::Output;
use crate::pools::Grant;
use crate::reply;
use crate::request::Body;
use crate::request::FirstResponse;
use crate::request::Request;
use crate::request::ValidationError;
use crate::request_context::RequestContext;
use crate::run;
use crate::ticket;
use crate::ticket::Ticket;

/// Time until a caller may retry after the node refused it because of its request limit.
const OVERLOAD_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Body of a request to resume a stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Resume {
    ticket: String,
    from: u32,
}

/// Body of a request to cancel a generation.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cancel {
    ticket: String,
}

/// Returns the routes for callers.
pub fn routes(
    context: Arc<RequestContext>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with_context = warp::any().map(move || Arc::clone(&context));
    let requests = warp::path!("v1" / "requests")
        .and(warp::post())
        .and(with_context.clone())
        .and(warp::header::optional("authorization"))
        .and(warp::header::optional("idempotency-key"))
        .and(warp::body::stream())
        .then(request);
    let resume = warp::path!("v1" / "resume")
        .and(warp::post())
        .and(with_context.clone())
        .and(warp::header::optional("authorization"))
        .and(warp::body::stream())
        .then(resume);
    let cancel = warp::path!("v1" / "cancel")
        .and(warp::post())
        .and(with_context)
        .and(warp::header::optional("authorization"))
        .and(warp::body::stream())
        .then(cancel);
    requests.or(resume).unify().or(cancel).unify()
}

async fn request<S, B>(
    context: Arc<RequestContext>,
    authorization: Option<String>,
    key: Option<String>,
    body: S,
) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send + Unpin,
    B: Buf,
{
    let permit = match try_admit(&context) {
        Ok(permit) => permit,
        Err(outcome) => return reply::ended(&outcome, None),
    };
    let request = match check_request(&context, authorization, key.as_deref(), body).await {
        Ok(request) => request,
        Err(invalid) => {
            context.metrics.count("request.invalid");
            return reply::invalid(&invalid);
        }
    };
    let delivery = request.template.delivery;
    let started = run::start(context, request, permit).await;
    match delivery {
        template::DeliveryMode::Stream => reply::streamed(started),
        template::DeliveryMode::Whole => reply::whole(started).await,
    }
}

fn try_admit(context: &RequestContext) -> Result<OwnedSemaphorePermit, Outcome> {
    let refuse = |reason, retry_after_ms| Outcome::NotRun {
        reason,
        retry_after_ms: Some(retry_after_ms),
    };
    if context.admission.is_draining() {
        // An immediate retry reaches another node, since the balancer passes over this one.
        return Err(refuse(Reason::Draining, Millis::ZERO));
    }
    context
        .admission
        .try_admit()
        .ok_or_else(|| refuse(Reason::Overloaded, OVERLOAD_RETRY_AFTER_MS))
}

async fn check_request<S, B>(
    context: &RequestContext,
    authorization: Option<String>,
    key: Option<&str>,
    body: S,
) -> Result<Request, ValidationError>
where
    S: Stream<Item = Result<B, warp::Error>> + Send + Unpin,
    B: Buf,
{
    let customer = authenticated_customer(context, authorization)?;
    let body: Body = read_body(context, body).await?;
    let template = context
        .config
        .current()
        .and_then(|current| current.template(&customer, &body.template))
        .ok_or_else(|| bad_request(format!("template {} is unknown", body.template)))?;
    Request::check(customer, template, body, key, clock::unix_now())
}

fn authenticated_customer(
    context: &RequestContext,
    authorization: Option<String>,
) -> Result<Name, ValidationError> {
    let current = context.config.current();
    let key = authorization
        .as_deref()
        .and_then(|value| value.strip_prefix("Bearer "));
    current
        .zip(key)
        .and_then(|(current, key)| current.authenticate(key))
        .ok_or_else(|| ValidationError {
            reason: Reason::Unauthorized,
            detail: "the customer's key is missing or wrong".to_owned(),
        })
}

async fn read_body<T, S, B>(context: &RequestContext, body: S) -> Result<T, ValidationError>
where
    T: DeserializeOwned,
    S: Stream<Item = Result<B, warp::Error>> + Send + Unpin,
    B: Buf,
{
    let timeout = clock::duration(context.limits.send_timeout_ms);
    let bytes = tokio::time::timeout(timeout, collect_body(body, context.limits.body_bytes))
        .await
        .map_err(|_| bad_request("the request was not sent in time".to_owned()))??;
    serde_json::from_slice(&bytes).map_err(|error| bad_request(error.to_string()))
}

async fn collect_body<S, B>(mut body: S, limit_bytes: u64) -> Result<Vec<u8>, ValidationError>
where
    S: Stream<Item = Result<B, warp::Error>> + Send + Unpin,
    B: Buf,
{
    let mut bytes = Vec::new();
    while let Some(chunk) = body.next().await {
        let mut chunk = chunk.map_err(|error| bad_request(error.to_string()))?;
        if bytes.len() as u64 + chunk.remaining() as u64 > limit_bytes {
            return Err(bad_request(format!("the body is over {limit_bytes} bytes")));
        }
        while chunk.has_remaining() {
            let part = chunk.chunk();
            bytes.extend_from_slice(part);
            let read_bytes = part.len();
            chunk.advance(read_bytes);
        }
    }
    Ok(bytes)
}

async fn resume<S, B>(
    context: Arc<RequestContext>,
    authorization: Option<String>,
    body: S,
) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send + Unpin,
    B: Buf,
{
    // A resume belongs to a running generation, so a draining node still accepts it.
    let Some(permit) = context.admission.try_admit() else {
        let outcome = Outcome::NotRun {
            reason: Reason::Overloaded,
            retry_after_ms: Some(OVERLOAD_RETRY_AFTER_MS),
        };
        return reply::ended(&outcome, None);
    };
    let checked: Result<(Ticket, u32), ValidationError> = async {
        let customer = authenticated_customer(&context, authorization)?;
        let resume: Resume = read_body(&context, body).await?;
        Ok((
            check_ticket(&context, &customer, &resume.ticket)?,
            resume.from,
        ))
    }
    .await;
    let (ticket, from) = match checked {
        Ok(checked) => checked,
        Err(invalid) => return reply::invalid(&invalid),
    };
    context.metrics.count("request.resumed");
    let (first_response, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let output = Output::new(first_response, context.texts.start(), false);
        relay_resumed(&context, ticket, from, output).await;
        drop(permit);
    });
    let task_lost = FirstResponse::Ended(Outcome::Incomplete {
        tokens: from,
        reason: Reason::TargetFailed,
    });
    reply::streamed(receiver.await.unwrap_or(task_lost))
}

// The slot stays with the node that acquired it, or with the pool's owner if that node is
// gone, since a resume only reads.
async fn relay_resumed(context: &RequestContext, ticket: Ticket, from: u32, mut output: Output) {
    let mut delivery = Delivery::resumed(ticket.restart_policy(), ticket.attempt.clone(), from);
    let grant = Grant::to_resume(ticket.target.clone(), ticket.address);
    let attempt = Attempt {
        context,
        ticket,
        max_tokens: None,
        grant: &grant,
        delivery: &mut delivery,
        output: &mut output,
    };
    let outcome = match attempt.resume().await.result {
        AttemptResult::Ended(outcome) => outcome,
        AttemptResult::Restart | AttemptResult::Unsent => Outcome::Incomplete {
            tokens: from,
            reason: Reason::TargetFailed,
        },
    };
    output.close(outcome);
}

async fn cancel<S, B>(
    context: Arc<RequestContext>,
    authorization: Option<String>,
    body: S,
) -> Response
where
    S: Stream<Item = Result<B, warp::Error>> + Send + Unpin,
    B: Buf,
{
    let checked: Result<Ticket, ValidationError> = async {
        let customer = authenticated_customer(&context, authorization)?;
        let cancel: Cancel = read_body(&context, body).await?;
        check_ticket(&context, &customer, &cancel.ticket)
    }
    .await;
    let ticket = match checked {
        Ok(ticket) => ticket,
        Err(invalid) => return reply::invalid(&invalid),
    };
    context.metrics.count("request.cancelled");
    match context
        .targets
        .cancel(ticket.address, &ticket.attempt)
        .await
    {
        Ok(()) => StatusCode::NO_CONTENT.into_response(),
        Err(_) => StatusCode::BAD_GATEWAY.into_response(),
    }
}

fn check_ticket(
    context: &RequestContext,
    customer: &str,
    text: &str,
) -> Result<Ticket, ValidationError> {
    let secret = context.ticket_secret.as_bytes();
    let ticket = ticket::verify(text, secret, clock::unix_now())
        .map_err(|error| bad_request(error.to_string()))?;
    if ticket.customer != customer {
        return Err(bad_request(ticket::Error::Invalid.to_string()));
    }
    Ok(ticket)
}

fn bad_request(detail: String) -> ValidationError {
    ValidationError {
        reason: Reason::BadRequest,
        detail,
    }
}
