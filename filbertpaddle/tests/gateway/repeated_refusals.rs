//! Refusals that name another attempt: an earlier response, sent once more.

use filbertpaddle_adapter_standins::raw_target::NOT_RUN;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::attempt_line;
use filbertpaddle_adapter_standins::target::Behaviour;
use http::Method;
use http::StatusCode;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::WRITE_PATH;
use crate::cluster::request;

const REFUSALS: [StatusCode; 3] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::MISDIRECTED_REQUEST,
];

/// Returns the status that a request gets whose targets run it and repeat an earlier refusal, and
/// the number of its runs.
async fn outcome(cluster: &Cluster, attempt: &str, method: Method, path: &str) -> (u16, usize) {
    let is_stream = matches!(path, STREAM_PATH | RESUMABLE_PATH);
    let sent = request(attempt, method, path, is_stream.then_some(40));
    let answer = cluster.send(&sent).await;
    (answer.code(), cluster.run_log.runs_of(attempt).len())
}

async fn cluster_that_repeats(name: &str, refusal: StatusCode) -> Cluster {
    let cluster = Cluster::with_nodes(name, 1).await;
    for target in &cluster.targets {
        target.set_behaviour(Behaviour::RepeatsRefusal(refusal));
    }
    cluster
}

/// Such requests ran at a second target, and their callers got 503, which promises that they have not run.
#[tokio::test]
async fn a_refusal_of_another_attempt_does_not_let_a_request_run_twice() {
    for refusal in REFUSALS {
        let cluster =
            cluster_that_repeats(&format!("repeated-{}", refusal.as_u16()), refusal).await;
        for (attempt, path) in [("write", WRITE_PATH), ("stream", STREAM_PATH)] {
            let outcome = outcome(&cluster, attempt, Method::POST, path).await;
            assert_eq!(outcome, (502, 1), "{refusal} on {path}");
        }
        cluster.close();
    }
}

/// Requests that may run again were answered as not run, though targets had run them.
#[tokio::test]
async fn a_refusal_of_another_attempt_is_no_promise_to_the_caller() {
    for refusal in REFUSALS {
        let name = format!("repeated-read-{}", refusal.as_u16());
        let cluster = cluster_that_repeats(&name, refusal).await;
        for (attempt, method, path) in [
            ("read", Method::GET, READ_PATH),
            ("resumable", Method::POST, RESUMABLE_PATH),
        ] {
            let (code, runs) = outcome(&cluster, attempt, method, path).await;
            assert_eq!(code, 502, "{refusal} on {path}");
            assert!(runs >= 1, "{refusal} on {path}");
        }
        cluster.close();
    }
}

/// An ID that cannot be read, or a second one, counted as none.
#[tokio::test]
async fn a_refusal_with_an_unclear_id_is_no_promise_to_the_caller() {
    for (name, ids) in [
        ("unclear-bytes", attempt_line("\u{e9}")),
        (
            "unclear-two",
            attempt_line("write") + &attempt_line("other"),
        ),
    ] {
        let mut cluster = Cluster::new(name).await;
        let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
        let refusal = format!("{head}{NOT_RUN}{ids}\r\n");
        let target = RawTarget::start(refusal, |_| None).await.unwrap();
        cluster.store.put_target("p", &target.entry("app", "dc-a"));
        cluster.add_node("node-0", "dc-a");
        cluster.wait_until_ready().await;
        let (code, _) = outcome(&cluster, "write", Method::POST, WRITE_PATH).await;
        assert_eq!(code, 502, "{name}");
        cluster.close();
    }
}
