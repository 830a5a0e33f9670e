//! Ends of responses without a length on connections that another node relays.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::raw_target::End;
use filbertpaddle_adapter_standins::raw_target::RawTarget;
use filbertpaddle_adapter_standins::raw_target::start_of_head;
use filbertpaddle_standins::gate::Passage;
use http::Method;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::cluster::STREAM_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::cut_from_targets::GatedCluster;

const ATTEMPT: &str = "relayed-end";
/// Time in which most streams have reached the caller; one that has not ends in 502.
const DELIVERY_TIME: Duration = Duration::from_millis(300);
/// Longer than the test lasts.
const NEVER: Duration = Duration::from_secs(60);

/// Returns the answer to a stream of three events whose target ends it in a way, at a node that
/// does not reach targets itself. If `is_relay_killed`, the relaying node is killed after the events
/// have been sent.
async fn answer_at_end(name: &str, end: End, is_relay_killed: bool) -> ReceivedAnswer {
    let mut gated = GatedCluster::start(name).await;
    let sent = Arc::new(Notify::new());
    let has_sent = Arc::clone(&sent);
    let next_part = move |number| match number {
        1 => Some(Bytes::from(complete_stream(ATTEMPT, 3))),
        _ => {
            has_sent.notify_one();
            None
        }
    };
    let head = format!("{}Connection: close\r\n\r\n", start_of_head(ATTEMPT));
    let target = RawTarget::start_with_end(head, next_part, end)
        .await
        .unwrap();
    for id in ["e1", "e2"] {
        gated.cluster.store.remove_target(id);
    }
    gated
        .add_raw_target("raw", &target.entry("engine", "dc-a"))
        .await;
    for node in [0, 2] {
        gated.set(node, Passage::Reset).await;
        gated
            .send_until_noticed(node, &format!("early-{node}"))
            .await;
    }
    let caller = gated.spawn(0, request(ATTEMPT, Method::POST, STREAM_PATH, Some(40)));
    if is_relay_killed {
        sent.notified().await;
        sleep(DELIVERY_TIME).await;
        gated.cluster.nodes.remove(1).close().unwrap();
    }
    let answer = caller.await.unwrap();
    gated.close();
    answer
}

#[tokio::test]
async fn a_relayed_stream_is_complete_only_if_its_target_ends_it_in_order_and_goes_on() {
    for (name, end, is_complete) in [
        ("close", End::Close, true),
        ("reset", End::Reset(Duration::ZERO), false),
        ("late-reset", End::Reset(Duration::from_millis(30)), false),
        ("exit", End::Exit, false),
        ("closed", End::Replaced(Some("")), false),
    ] {
        let answer = answer_at_end(&format!("relayed-{name}"), end, false).await;
        // A reset may discard all events, so that the caller gets 502.
        let code = answer.code();
        let is_whole = code == 200 && answer.is_complete;
        assert_eq!(is_whole, is_complete, "{name}: status {code}");
        assert!(matches!(code, 200 | 502), "{name}: status {code}");
    }
}

#[tokio::test]
async fn a_relayed_stream_whose_relay_is_killed_is_not_complete() {
    let answer = answer_at_end("relayed-killed", End::Reset(NEVER), true).await;
    let code = answer.code();
    assert!(
        code == 502 || (code == 200 && !answer.is_complete),
        "status {code}"
    );
}
