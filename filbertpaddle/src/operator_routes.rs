//! HTTP routes of the operators' interface.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use data_encoding::HEXLOWER;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Key;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::edit;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_platform::client::Client;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use subtle::ConstantTimeEq;
use warp::Filter;
use warp::Rejection;
use warp::Reply;
use warp::http::StatusCode;
use warp::http::header::RETRY_AFTER;
use warp::path::Tail;
use warp::reply::Response;

use crate::clock;
use crate::config::Config;
use crate::config_table;
use crate::edit_runner;
use crate::operator_api::Answer;
use crate::operator_api::Audit;
use crate::operator_api::ChangeRequest;
use crate::operator_api::Entries;
use crate::operator_api::Refusal;
use crate::refusals;
use crate::refusals::RefusalLog;
use crate::settings;

/// Maximum body size of an operator's request.
const MAX_BODY_BYTES: u64 = 64 * 1024;
/// Maximum number of audit rows in one answer.
const MAX_AUDIT_ROWS: u32 = 500;
/// Time allowed for the relays of other data centres to send their status.
const STATUS_WAIT: Duration = Duration::from_millis(500);
/// Value of `Retry-After` when the platform's table is unavailable.
const RETRY_AFTER_SECS: u64 = 5;

/// Handles operators' requests at this node.
#[derive(Debug)]
pub struct OperatorHandler {
    /// Name of this node.
    pub node: Name,
    /// Operators and the digests of their tokens.
    pub operators: Vec<settings::Operator>,
    /// The configuration on this node.
    pub config: Config,
    /// Client of the platform, whose table stores accepted changes.
    pub platform: Client,
    /// Stores refused actions.
    pub refusal_log: RefusalLog,
    /// Log of accepted changes.
    pub log: Logger,
}

/// An authenticated operator's request.
struct Request {
    by: Name,
    action: String,
    path: String,
}

#[derive(Debug, Deserialize)]
struct AuditQuery {
    #[serde(default)]
    after: u64,
    #[serde(default = "default_limit")]
    limit: u32,
}

fn default_limit() -> u32 {
    MAX_AUDIT_ROWS
}

/// Returns the operators' routes.
pub fn routes(
    handler: Arc<OperatorHandler>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + Send + Sync + 'static {
    let with_handler = warp::any().map(move || Arc::clone(&handler));
    let authorization = warp::header::optional("authorization");
    let get = warp::path("v1")
        .and(warp::get())
        .and(with_handler.clone())
        .and(authorization)
        .and(warp::path::tail())
        .and(warp::query::<AuditQuery>())
        .then(
            async |handler: Arc<OperatorHandler>, token: Option<String>, tail: Tail, query| {
                match handler.admit("GET", token.as_deref(), tail.as_str()) {
                    Some(request) => handler.get(&request, &query).await,
                    None => answer_response(&Answer::Unauthorized),
                }
            },
        );
    let put = warp::path("v1")
        .and(warp::put())
        .and(with_handler)
        .and(authorization)
        .and(warp::path::tail())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::bytes())
        .then(
            async |handler: Arc<OperatorHandler>,
                   token: Option<String>,
                   tail: Tail,
                   body: Bytes| match handler.admit(
                "PUT",
                token.as_deref(),
                tail.as_str(),
            ) {
                Some(request) => handle_put(handler, request, body).await,
                None => answer_response(&Answer::Unauthorized),
            },
        );
    get.or(put).unify()
}

async fn handle_put(handler: Arc<OperatorHandler>, request: Request, body: Bytes) -> Response {
    // The change runs in its own task, so it completes even if the client disconnects.
    let task = tokio::spawn(async move {
        let answer = handler.set(&request, &body).await;
        handler.record_answer(&request, &answer);
        answer
    });
    task.await.map_or_else(
        |_| StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        |answer| answer_response(&answer),
    )
}

impl OperatorHandler {
    fn admit(&self, method: &str, token: Option<&str>, path: &str) -> Option<Request> {
        let action = format!("{method} {path}");
        let token = token.and_then(|value| value.strip_prefix("Bearer "));
        let Some(by) = token.and_then(|token| self.authenticate(token)) else {
            self.refuse(None, action, "unauthorized");
            return None;
        };
        Some(Request {
            by,
            action,
            path: path.to_owned(),
        })
    }

    fn authenticate(&self, token: &str) -> Option<Name> {
        let digest = HEXLOWER.encode(&Sha256::digest(token.as_bytes()));
        let matches = |operator: &&settings::Operator| {
            let known = operator.token_sha256.as_bytes();
            bool::from(known.ct_eq(digest.as_bytes()))
        };
        let operator = self.operators.iter().find(matches)?;
        Some(operator.name.clone())
    }

    fn refuse(&self, by: Option<Name>, action: String, reason: &'static str) {
        self.refusal_log.record(Refusal {
            at_ms: clock::unix_now(),
            node: self.node.clone(),
            by,
            action,
            reason: Name::new_static(reason),
        });
    }

    fn record_answer(&self, request: &Request, answer: &Answer) {
        let reason = match answer {
            Answer::Accepted { revision } => {
                info!(self.log, "Change accepted.";
                    "action" => &request.action, "by" => %request.by, "revision" => %revision);
                return;
            }
            Answer::Unchanged { .. } | Answer::Unknown { .. } => return,
            Answer::Conflict { .. } => "conflict",
            Answer::Unavailable => "unavailable",
            Answer::Invalid { .. } => "invalid",
            Answer::Unauthorized => "unauthorized",
        };
        self.refuse(Some(request.by.clone()), request.action.clone(), reason);
    }

    async fn get(&self, request: &Request, query: &AuditQuery) -> Response {
        match request.path.as_str() {
            "status" => self.status().await,
            "audit" => self.audit(query).await,
            "refusals" => table_response(refusals::read(&self.platform).await),
            "entries" => self.entries(|_| true).await,
            "templates" => {
                self.entries(|key| matches!(key, Key::Template { .. }))
                    .await
            }
            path => match parse_key(path) {
                Some(key) => self.entry(key).await,
                None => StatusCode::NOT_FOUND.into_response(),
            },
        }
    }

    async fn status(&self) -> Response {
        self.config.request_status().await;
        tokio::time::sleep(STATUS_WAIT).await;
        match self.config.status_report().await {
            Some(report) => warp::reply::json(&report).into_response(),
            None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        }
    }

    async fn audit(&self, query: &AuditQuery) -> Response {
        let limit = query.limit.min(MAX_AUDIT_ROWS);
        let records = config_table::read_audit(&self.platform, Revision(query.after), limit).await;
        table_response(records.map(|records| Audit { records }))
    }

    async fn entries<F>(&self, wanted: F) -> Response
    where
        F: Fn(&Key) -> bool,
    {
        let mut entries = self.config.entries().await;
        entries.retain(|change| wanted(&change.setting.key()));
        warp::reply::json(&Entries { entries }).into_response()
    }

    async fn entry(&self, key: Key) -> Response {
        match self.config.entry(key).await {
            Some(change) => warp::reply::json(&change).into_response(),
            None => StatusCode::NOT_FOUND.into_response(),
        }
    }

    async fn set(&self, request: &Request, body: &[u8]) -> Answer {
        let change = match parse_change(&request.path, body) {
            Ok(change) => change,
            Err(detail) => return Answer::Invalid { detail },
        };
        if !self.config.has_room(change.value.clone()).await {
            let detail = "the configuration would exceed its size limit".to_owned();
            return Answer::Invalid { detail };
        }
        let is_resend = change.change_id.is_some();
        let id = change.change_id.unwrap_or_else(|| ChangeId(rand::random()));
        let edit = edit::Request {
            id,
            by: request.by.clone(),
            at_ms: clock::unix_now(),
            expected: change.expected,
            setting: change.value,
        };
        let mut answer = edit_runner::run(&self.platform, edit.clone(), &self.log).await;
        if is_resend
            && let edit::Answer::Conflict {
                current: Some(current),
            } = &answer
        {
            answer = match config_table::find_change(&self.platform, id, current.revision).await {
                Ok(Some(revision)) => edit::Answer::Accepted(revision),
                Ok(None) => answer,
                Err(_) => edit::Answer::Unavailable,
            };
        }
        if let edit::Answer::Accepted(revision) = answer {
            self.config
                .publish_accepted(accepted_change(edit, revision))
                .await;
        }
        Answer::from_edit(answer, id)
    }
}

fn accepted_change(request: edit::Request, revision: Revision) -> Change {
    Change {
        revision,
        id: request.id,
        by: request.by,
        at_ms: request.at_ms,
        setting: request.setting,
    }
}

/// Parses the key of an entry from a request path.
fn parse_key(path: &str) -> Option<Key> {
    let mut parts = path.split('/');
    let key = match (parts.next()?, parts.next()?, parts.next()) {
        ("customers", name, None) => Key::Customer(name.into()),
        ("data-centres", name, None) => Key::DataCentre(name.into()),
        ("templates", customer, Some(name)) => Key::Template {
            customer: customer.into(),
            name: name.into(),
        },
        ("vms", name, None) => Key::Vm(name.into()),
        _ => return None,
    };
    parts.next().is_none().then_some(key)
}

fn parse_change(path: &str, body: &[u8]) -> Result<ChangeRequest<Setting>, String> {
    let change = match parse_key(path).ok_or_else(|| format!("there is no entry {path}"))? {
        Key::Customer(name) => parse_body(body, |customer| Setting::Customer { name, customer })?,
        Key::DataCentre(name) => parse_body(body, |service| Setting::DataCentre { name, service })?,
        Key::Template { customer, name } => parse_body(body, |template| Setting::Template {
            customer,
            name,
            template: Box::new(template),
        })?,
        Key::Vm(name) => parse_body(body, |service| Setting::Vm { name, service })?,
    };
    change
        .value
        .validate()
        .map_err(|invalid| invalid.to_string())?;
    Ok(change)
}

fn parse_body<T, F>(body: &[u8], setting: F) -> Result<ChangeRequest<Setting>, String>
where
    T: DeserializeOwned,
    F: FnOnce(T) -> Setting,
{
    let request: ChangeRequest<T> =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(ChangeRequest {
        expected: request.expected,
        change_id: request.change_id,
        value: setting(request.value),
    })
}

fn table_response<T>(result: Result<T, config_table::Error>) -> Response
where
    T: Serialize,
{
    match result {
        Ok(body) => warp::reply::json(&body).into_response(),
        Err(_) => answer_response(&Answer::Unavailable),
    }
}

fn answer_response(answer: &Answer) -> Response {
    let status = match answer {
        Answer::Accepted { .. } | Answer::Unchanged { .. } => StatusCode::OK,
        Answer::Conflict { .. } => StatusCode::CONFLICT,
        Answer::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        Answer::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        Answer::Invalid { .. } => StatusCode::BAD_REQUEST,
        Answer::Unauthorized => StatusCode::UNAUTHORIZED,
    };
    let body = warp::reply::json(answer);
    let mut response = warp::reply::with_status(body, status).into_response();
    if *answer == Answer::Unavailable {
        let headers = response.headers_mut();
        headers.insert(RETRY_AFTER, RETRY_AFTER_SECS.into());
    }
    response
}
