//! Operator's client of the HTTP interface of any node.

use std::net::SocketAddr;

use filbertpaddle::config_status::Report;
use filbertpaddle::operator_api::Answer;
use filbertpaddle::operator_api::Audit;
use filbertpaddle::operator_api::Refusals;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template::Template;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::fleet;
use super::fleet::Node;
use super::wait;

/// An operator's access to one node.
#[derive(Clone, Debug)]
pub struct Operator {
    address: SocketAddr,
    token: String,
}

impl Operator {
    pub fn at(node: &Node) -> Self {
        Self::with_token(node, fleet::OPERATOR_TOKEN)
    }

    pub fn with_token(node: &Node, token: &str) -> Self {
        Self {
            address: node.addresses.operators,
            token: token.to_owned(),
        }
    }

    pub async fn put<T>(&self, path: &str, body: &T) -> reqwest::Response
    where
        T: Serialize + ?Sized,
    {
        let url = format!("http://{}/v1/{path}", self.address);
        let request = reqwest::Client::new().put(url).bearer_auth(&self.token);
        request.json(body).send().await.unwrap()
    }

    pub async fn get(&self, path: &str) -> reqwest::Response {
        let url = format!("http://{}/v1/{path}", self.address);
        let request = reqwest::Client::new().get(url).bearer_auth(&self.token);
        request.send().await.unwrap()
    }

    pub async fn set_template(
        &self,
        path: &str,
        expected: Option<Revision>,
        template: &Template,
    ) -> Answer {
        let body = serde_json::json!({"expected": expected, "value": template});
        self.put(path, &body).await.json().await.unwrap()
    }

    /// Takes something out of service or back in, expecting the entry's current revision.
    pub async fn set_service(&self, path: &str, service: ServiceState) -> Answer {
        let current = self.entry(path).await;
        let expected = current.map(|change| change.revision);
        let body = serde_json::json!({"expected": expected, "value": service});
        self.put(path, &body).await.json().await.unwrap()
    }

    pub async fn entry(&self, path: &str) -> Option<Change> {
        let response = self.get(path).await;
        if response.status() != 200 {
            return None;
        }
        response.json().await.unwrap()
    }

    pub async fn audit(&self) -> Audit {
        self.read("audit").await
    }

    pub async fn refusals(&self) -> Refusals {
        self.read("refusals").await
    }

    pub async fn status(&self) -> Report {
        self.read("status").await
    }

    async fn read<T>(&self, path: &str) -> T
    where
        T: DeserializeOwned,
    {
        self.get(path).await.json().await.unwrap()
    }
}

/// Returns the revision of an accepted change; panics on any other answer.
pub fn accepted_revision(answer: &Answer) -> Revision {
    match answer {
        Answer::Accepted { revision } => *revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Waits until every node has the entry at this or a later revision.
pub async fn wait_until_applied(nodes: &[&Node], path: &str, revision: Revision) {
    for node in nodes {
        wait::until("the change is applied", async || {
            let change = Operator::at(node).entry(path).await?;
            (change.revision >= revision).then_some(())
        })
        .await;
    }
}
