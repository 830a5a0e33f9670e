//! Streams at targets of different software versions, for the tests of what may continue them.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::Resume;
use filbertpaddle_adapter_standins::caller::SentRequest;
use http::Method;
use tokio::task::JoinSet;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::request;
use crate::cluster::wait_until;

pub(crate) const OLD: &str = "v1";
pub(crate) const NEW: &str = "v2";
/// Number of targets of the other version, so that a choice without regard to it shows.
const OTHERS: usize = 4;
pub(crate) const STREAMS: usize = 6;
pub(crate) const EVENTS: u64 = 200;
const OUTPUT_TOKENS: u32 = 800;
/// Time within which a refusal counts as immediate.
pub(crate) const AT_ONCE: Duration = Duration::from_millis(500);

fn stream(number: usize, path: &str) -> SentRequest {
    let attempt = format!("s{number}");
    request(&attempt, Method::POST, path, Some(OUTPUT_TOKENS))
}

/// Returns the caller's next attempt, which resumes the stream of another one.
pub(crate) fn next_attempt(name: &str, attempt: Option<&str>, last_event: u64) -> SentRequest {
    SentRequest {
        resume: Some(Resume {
            attempt: attempt.map(str::to_owned),
            last_event,
        }),
        ..request(name, Method::POST, RESUMABLE_PATH, Some(OUTPUT_TOKENS))
    }
}

impl Cluster {
    /// Starts nodes and the target `first`, at which all streams begin.
    pub(crate) async fn with_one_engine(name: &str, nodes: usize) -> Self {
        let mut cluster = Self::new(name).await;
        cluster.add_engine("first", OLD).await;
        for number in 0..nodes {
            cluster.add_node(&format!("node-{number}"), "dc-a");
        }
        cluster.wait_until_ready().await;
        cluster.wait_until_registered().await;
        // A node that does not know how many others there are resends nothing.
        let counted = format!("\"nodes\":{nodes}");
        let is_counted =
            |line: &str| line.contains("live nodes changed") && line.contains(&counted);
        for number in 0..nodes {
            wait_until("the node knows all nodes", async || {
                cluster
                    .log(&format!("node-{number}"))
                    .lines()
                    .any(is_counted)
            })
            .await;
        }
        cluster
    }

    /// Starts targets of the other version, and one of the same if `has_same`; waits until the
    /// nodes list them.
    pub(crate) async fn add_engines(&mut self, has_same: bool, nodes: &[&str]) {
        for number in 0..OTHERS {
            self.add_engine(&format!("other-{number}"), NEW).await;
        }
        if has_same {
            self.add_engine("same", OLD).await;
        }
        let last = if has_same { "same" } else { "other-3" };
        self.wait_until_listed(last, "", nodes).await;
    }

    /// Waits until nodes log that they list a target, in a line with this text.
    pub(crate) async fn wait_until_listed(&self, id: &str, text: &str, nodes: &[&str]) {
        let listed = format!("\"target\":\"{id}\"");
        let is_listed = |line: &str| {
            line.contains("target added") && line.contains(&listed) && line.contains(text)
        };
        for node in nodes {
            wait_until("the node lists the targets", async || {
                self.log(node).lines().any(is_listed)
            })
            .await;
        }
    }

    /// Starts streams through a node and waits until each has some events.
    pub(crate) async fn start_streams(
        &self,
        node: usize,
        path: &str,
    ) -> JoinSet<(usize, ReceivedAnswer)> {
        let address = self.nodes[node].addresses.callers;
        let mut callers = JoinSet::new();
        for number in 0..STREAMS {
            let sent = stream(number, path);
            let attempt = sent.attempt.clone();
            callers.spawn(async move { (number, caller::send(address, &sent).await) });
            wait_until("the stream has events", async || {
                let mut targets = self.targets.iter();
                targets.any(|target| target.running().get(&attempt) > Some(&3))
            })
            .await;
        }
        callers
    }

    /// Returns the targets on which an attempt ran.
    pub(crate) fn targets_of(&self, attempt: &str) -> Vec<String> {
        let runs = self.run_log.runs_of(attempt).into_iter();
        runs.map(|run| run.target).collect()
    }
}
