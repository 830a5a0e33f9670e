//! HTTP client that runs operators' commands at a node.

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Duration;

use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template::Template;
use reqwest::Client;
use reqwest::Method;
use reqwest::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::arguments::OperatorAction;
use crate::arguments::OperatorCommand;
use crate::arguments::Options;
use crate::config_status::Report;
use crate::operator_api::Answer;
use crate::operator_api::Audit;
use crate::operator_api::ChangeRequest;
use crate::operator_api::Refusals;
use crate::operator_text;

/// Environment variable with the operators' address of a node.
const NODE_VARIABLE: &str = "FILBERTPADDLE_NODE";
/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "FILBERTPADDLE_TOKEN";
/// Timeout of a request to a node; longer than a node takes for a change.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of times a change is sent if its answer is lost.
const MAX_SENDS: u32 = 3;

/// Error of an operator's command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An argument or a file is invalid.
    #[error("{0}")]
    Usage(String),
    /// The node cannot be reached or its answer cannot be decoded.
    #[error("request to node {node} failed: {detail}")]
    Node {
        /// Address of the node.
        node: String,
        /// Error of the request with its causes.
        detail: String,
    },
    /// The token is missing or wrong.
    #[error("the operator's token is missing or wrong")]
    Unauthorized,
    /// The entry does not exist.
    #[error("there is no entry {0}")]
    Missing(String),
    /// The node cannot reach the platform's table.
    #[error("the platform's table cannot be reached; try again later")]
    Unavailable,
    /// No answer came back; the change may have been accepted.
    #[error("no answer from {node}; the change may have been accepted: send it again with --change-id {}", change_id.0)]
    Unanswered {
        /// Address of the node.
        node: String,
        /// Identity of the change.
        change_id: ChangeId,
    },
}

/// Output of a command and, for a change, the node's answer.
#[derive(Debug)]
pub struct Output {
    /// Text for standard output.
    pub text: String,
    /// The node's answer to a change; `None` for other commands.
    pub answer: Option<Answer>,
}

/// Runs an operator's command.
///
/// # Errors
///
/// Returns [`Error`] if the command is invalid or the node gave no usable answer.
pub async fn run(command: &OperatorCommand) -> Result<Output, Error> {
    let node = Node::open(&command.options)?;
    let options = &command.options;
    match &command.action {
        OperatorAction::TemplateList => node.show("templates", operator_text::templates).await,
        OperatorAction::TemplateGet { customer, name } => {
            let path = format!("templates/{customer}/{name}");
            node.show(&path, operator_text::change).await
        }
        OperatorAction::TemplateSet {
            customer,
            name,
            file,
        } => {
            let path = format!("templates/{customer}/{name}");
            node.set(&path, &read_template(file)?, options).await
        }
        OperatorAction::DataCentre(name, service) => {
            let path = format!("data-centres/{name}");
            node.set::<ServiceState>(&path, service, options).await
        }
        OperatorAction::Vm(name, service) => {
            let path = format!("vms/{name}");
            node.set::<ServiceState>(&path, service, options).await
        }
        OperatorAction::Status => {
            node.show::<Report, _>("status", operator_text::report)
                .await
        }
        OperatorAction::Audit => {
            let path = format!("audit?after={}", options.after);
            node.show::<Audit, _>(&path, operator_text::audit).await
        }
        OperatorAction::Refusals => {
            node.show::<Refusals, _>("refusals", operator_text::refusals)
                .await
        }
    }
}

/// Connection settings for the operators' interface of a node.
struct Node {
    address: String,
    token: String,
    http: Client,
    json: bool,
}

impl Node {
    fn open(options: &Options) -> Result<Self, Error> {
        let variable = |name: &str| std::env::var(name).ok();
        let address = options.node.map(|node| node.to_string());
        let address = address
            .or_else(|| variable(NODE_VARIABLE))
            .ok_or_else(|| usage(format!("give --node IP:PORT or set {NODE_VARIABLE}")))?;
        let token = match &options.token_file {
            Some(file) => read_file(file)?,
            None => variable(TOKEN_VARIABLE)
                .ok_or_else(|| usage(format!("give --token-file FILE or set {TOKEN_VARIABLE}")))?,
        };
        let http = Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(|error| usage(error.to_string()))?;
        Ok(Self {
            address,
            token: token.trim().to_owned(),
            http,
            json: options.json,
        })
    }

    async fn show<T, F>(&self, path: &str, text: F) -> Result<Output, Error>
    where
        T: DeserializeOwned + Serialize,
        F: FnOnce(&T) -> String,
    {
        let body: T = self
            .get(path)
            .await?
            .ok_or_else(|| Error::Missing(path.to_owned()))?;
        Ok(Output {
            text: if self.json {
                to_json(&body)
            } else {
                text(&body)
            },
            answer: None,
        })
    }

    async fn set<T>(&self, path: &str, value: &T, options: &Options) -> Result<Output, Error>
    where
        T: Clone + Serialize,
    {
        let expected = match options.expect {
            Some(expect) => expect.revision(),
            None => self.current_revision(path).await?,
        };
        let change_id = options
            .change_id
            .unwrap_or_else(|| ChangeId(rand::random()));
        let change = ChangeRequest {
            expected,
            change_id: Some(change_id),
            value: value.clone(),
        };
        let answer = self.put(path, &change, change_id).await?;
        let text = if self.json {
            to_json(&answer)
        } else {
            operator_text::answer(&answer)
        };
        let answer = Some(answer);
        Ok(Output { text, answer })
    }

    async fn current_revision(&self, path: &str) -> Result<Option<Revision>, Error> {
        let change: Option<Change> = self.get(path).await?;
        Ok(change.map(|change| change.revision))
    }

    async fn get<T>(&self, path: &str) -> Result<Option<T>, Error>
    where
        T: DeserializeOwned,
    {
        let request = self.request(Method::GET, path);
        let response = request.send().await.map_err(|error| self.error(&error))?;
        match response.status() {
            StatusCode::NOT_FOUND => return Ok(None),
            StatusCode::UNAUTHORIZED => return Err(Error::Unauthorized),
            StatusCode::SERVICE_UNAVAILABLE => return Err(Error::Unavailable),
            _ => {}
        }
        let body = response.json().await.map_err(|error| self.error(&error))?;
        Ok(Some(body))
    }

    /// Sends a change and resends it if the answer is lost.
    ///
    /// A resend is safe because the node recognizes the change by its id.
    async fn put<T>(
        &self,
        path: &str,
        change: &ChangeRequest<T>,
        id: ChangeId,
    ) -> Result<Answer, Error>
    where
        T: Serialize,
    {
        for _ in 0..MAX_SENDS {
            match self.request(Method::PUT, path).json(change).send().await {
                Ok(response) => {
                    if let Ok(answer) = response.json().await {
                        return Ok(answer);
                    }
                }
                Err(error) if error.is_connect() => return Err(self.error(&error)),
                Err(_) => {}
            }
        }
        Err(Error::Unanswered {
            node: self.address.clone(),
            change_id: id,
        })
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/{path}", self.address);
        self.http.request(method, url).bearer_auth(&self.token)
    }

    fn error(&self, error: &reqwest::Error) -> Error {
        let mut detail = error.to_string();
        let mut source = std::error::Error::source(error);
        while let Some(cause) = source {
            write!(detail, ": {cause}").ok();
            source = cause.source();
        }
        Error::Node {
            node: self.address.clone(),
            detail,
        }
    }
}

fn read_template(file: &Path) -> Result<Template, Error> {
    let text = read_file(file)?;
    serde_saphyr::from_str(&text).map_err(|error| usage(format!("{}: {error}", file.display())))
}

fn read_file(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).map_err(|error| usage(format!("{}: {error}", file.display())))
}

fn usage(detail: String) -> Error {
    Error::Usage(detail)
}

fn to_json<T>(body: &T) -> String
where
    T: Serialize,
{
    // Serialization cannot fail: all map keys in these bodies are strings.
    let mut text = serde_json::to_string_pretty(body).unwrap_or_default();
    text.push('\n');
    text
}
