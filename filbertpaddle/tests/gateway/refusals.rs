//! Statuses of targets that would promise the caller that its request has not run.

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::raw_target::NOT_RUN;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head_with;
use http::Method;
use http::Version;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;

const ATTEMPT: &str = "refused";

/// Starts a node before an engine and a plain target that answer with `status`.
async fn cluster_of(name: &str, status: &str, header: &str) -> (Cluster, Vec<RawTarget>) {
    cluster_of_several(name, status, header, 1).await
}

/// Starts a node before some engines and as many plain targets that answer with `status`.
async fn cluster_of_several(
    name: &str,
    status: &str,
    header: &str,
    count: usize,
) -> (Cluster, Vec<RawTarget>) {
    let mut cluster = Cluster::new(name).await;
    let start = start_of_head_with(status, ATTEMPT);
    let head = format!("{start}{header}Content-Length: 7\r\n\r\n");
    let next_part = |number| (number == 1).then(|| Bytes::from_static(b"failed\n"));
    let mut targets = Vec::new();
    for number in 0..count {
        for service in ["engine", "app"] {
            let target = RawTarget::start(head.clone(), next_part).await.unwrap();
            let entry = target.entry(service, "dc-a");
            cluster
                .store
                .put_target(&format!("{service}-{number}"), &entry);
            targets.push(target);
        }
    }
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    (cluster, targets)
}

async fn answer_on(cluster: &Cluster, path: &str) -> ReceivedAnswer {
    answer_in(cluster, path, Version::HTTP_11).await
}

async fn answer_in(cluster: &Cluster, path: &str, version: Version) -> ReceivedAnswer {
    let is_stream = matches!(path, STREAM_PATH | RESUMABLE_PATH);
    let sent = SentRequest {
        version,
        ..request(ATTEMPT, Method::POST, path, is_stream.then_some(40))
    };
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
        // Of the target that was meant, which has sealed it.
        "421 Misdirected Request",
    ]
    .into_iter()
    .enumerate()
    {
        let (cluster, targets) = cluster_of(&format!("promise-{number}"), status, "").await;
        for (path, version) in [
            (STREAM_PATH, Version::HTTP_11),
            (STREAM_PATH, Version::HTTP_10),
            (WRITE_PATH, Version::HTTP_11),
            (WRITE_PATH, Version::HTTP_10),
        ] {
            let answer = answer_in(&cluster, path, version).await;
            let got = (answer.code(), answer.is_sealed());
            assert_eq!(got, (502, false), "{status} on {path} in {version:?}");
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

/// A status for requests that another target was meant to get, from the one that has run it: the
/// request went to the next target and ran there too.
#[tokio::test]
async fn a_sealed_response_of_any_status_is_not_sent_to_a_second_target() {
    let status = "421 Misdirected Request";
    let (cluster, targets) = cluster_of_several("sealed-421", status, "", 2).await;
    for path in [STREAM_PATH, WRITE_PATH] {
        let answer = answer_on(&cluster, path).await;
        assert_eq!((answer.code(), answer.is_sealed()), (502, false), "{path}");
    }
    let sent = targets.iter().map(|target| target.requests().len());
    assert_eq!(sent.sum::<usize>(), 2);
    cluster.close();
}
