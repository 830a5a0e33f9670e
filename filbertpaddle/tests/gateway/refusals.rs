//! Statuses of targets that would promise the caller that its request has not run.

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::raw_target::NOT_RUN;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head_with;
use http::Method;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;

const ATTEMPT: &str = "refused";

/// Starts a node before an engine and a plain target that answer with `status`.
async fn cluster_of(name: &str, status: &str, header: &str) -> (Cluster, [RawTarget; 2]) {
    let mut cluster = Cluster::new(name).await;
    let start = start_of_head_with(status, ATTEMPT);
    let head = format!("{start}{header}Content-Length: 7\r\n\r\n");
    let next_part = |number| (number == 1).then(|| Bytes::from_static(b"failed\n"));
    let engine = RawTarget::start(head.clone(), next_part).await.unwrap();
    let plain = RawTarget::start(head, next_part).await.unwrap();
    cluster
        .store
        .put_target("e", &engine.entry("engine", "dc-a"));
    cluster.store.put_target("p", &plain.entry("app", "dc-a"));
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    (cluster, [engine, plain])
}

async fn answer_on(cluster: &Cluster, path: &str) -> ReceivedAnswer {
    let is_stream = matches!(path, STREAM_PATH | RESUMABLE_PATH);
    let sent = request(ATTEMPT, Method::POST, path, is_stream.then_some(40));
    let answer = cluster.send(&sent).await;
    assert!(answer.is_complete, "{path}");
    answer
}

/// On streams, the status of a target that had worked on the request reached the caller, whose
/// next attempt then ran again.
#[tokio::test]
async fn a_target_that_has_run_a_request_cannot_promise_that_it_has_not() {
    for (number, status) in [
        "503 Service Unavailable",
        "429 Too Many Requests",
        "408 Request Timeout",
    ]
    .into_iter()
    .enumerate()
    {
        let (cluster, targets) = cluster_of(&format!("promise-{number}"), status, "").await;
        for path in [STREAM_PATH, WRITE_PATH] {
            let answer = answer_on(&cluster, path).await;
            let code = answer.code();
            assert_eq!(
                (code, answer.is_sealed()),
                (502, false),
                "{status} on {path}"
            );
        }
        cluster.close();
        drop(targets);
    }
}

/// Callers of requests that may run again get the target's status and seal.
#[tokio::test]
async fn other_failures_keep_the_status_and_the_seal_of_the_target() {
    let (cluster, targets) = cluster_of("kept-503", "503 Service Unavailable", "").await;
    for path in [RESUMABLE_PATH, READ_PATH] {
        let answer = answer_on(&cluster, path).await;
        assert_eq!((answer.code(), answer.is_sealed()), (503, true), "{path}");
    }
    cluster.close();
    drop(targets);
    let (cluster, targets) = cluster_of("kept-500", "500 Internal Server Error", "").await;
    for path in [STREAM_PATH, WRITE_PATH, RESUMABLE_PATH, READ_PATH] {
        let answer = answer_on(&cluster, path).await;
        assert_eq!((answer.code(), answer.is_sealed()), (500, true), "{path}");
    }
    cluster.close();
    drop(targets);
}

#[tokio::test]
async fn a_target_that_states_that_it_has_not_run_a_request_lets_its_caller_return() {
    let (cluster, targets) = cluster_of("stated", "503 Service Unavailable", NOT_RUN).await;
    for path in [STREAM_PATH, WRITE_PATH] {
        let answer = answer_on(&cluster, path).await;
        assert_eq!((answer.code(), answer.is_sealed()), (503, false), "{path}");
        assert!(answer.retry_after_sec().is_some(), "{path}");
    }
    cluster.close();
    drop(targets);
}
