//! Streams that migrate, resume at another target, are cut off or time out.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::store::Fault;
use filbertpaddle_adapter_standins::target::Stall;
use http::Method;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::RESUMABLE_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Time for which a sound target may be silent.
const SILENT_TIME: Duration = Duration::from_millis(1_000);

#[tokio::test]
async fn a_stream_migrates_from_a_draining_target_and_stays_complete() {
    let cluster = Cluster::with_nodes("move", 1).await;
    let stream = request("s", Method::POST, STREAM_PATH, Some(800));
    let leave = async {
        wait_until("the stream runs", async || {
            let runs = cluster.run_log.runs_of("s");
            !runs.is_empty() && cluster.first_target_of("s").running().get("s") > Some(&10)
        })
        .await;
        let target = cluster.first_target_of("s");
        target.drain();
        let entry = target.announce(target.address);
        cluster.store.put_target(&target.options.id, &entry);
    };
    let (response, ()) = tokio::join!(cluster.send(&stream), leave);
    assert!(response.is_complete);
    assert_eq!(response.body, complete_stream("s", 200));
    let runs = cluster.run_log.runs_of("s");
    assert_eq!(runs.len(), 2);
    assert!(runs[1].is_migrated && runs[1].target != runs[0].target);
    cluster.close();
}

#[tokio::test]
async fn a_stream_migrates_while_the_store_does_not_respond() {
    let cluster = Cluster::with_nodes("blind", 1).await;
    let stream = request("s", Method::POST, STREAM_PATH, Some(1_600));
    let leave = async {
        wait_until("the stream runs", async || {
            !cluster.run_log.runs_of("s").is_empty()
        })
        .await;
        cluster.store.set_fault(Fault::Unresponsive);
        cluster.first_target_of("s").drain();
    };
    let (response, ()) = tokio::join!(cluster.send(&stream), leave);
    assert!(response.is_complete);
    assert_eq!(response.body, complete_stream("s", 400));
    assert!(cluster.run_log.runs_of("s")[1].is_migrated);
    cluster.close();
}

#[tokio::test]
async fn a_resumable_stream_resumes_after_a_crash_and_any_other_is_cut() {
    let mut cluster = Cluster::with_nodes("crash", 1).await;
    let resumable = request("go", Method::POST, RESUMABLE_PATH, Some(400));
    // Long enough to run until its target is closed.
    let single = request("cut", Method::POST, STREAM_PATH, Some(2_400));
    let node = cluster.nodes[0].addresses.callers;
    let resumed = tokio::spawn(async move { caller::send(node, &resumable).await });
    let cut = tokio::spawn(async move { caller::send(node, &single).await });
    wait_until("both streams have delivered events", async || {
        let has_events = |attempt| {
            let running = |id| cluster.target(id).running().get(attempt).copied();
            running("e1").max(running("e2")) > Some(5)
        };
        has_events("go") && has_events("cut")
    })
    .await;
    let target = cluster.run_log.runs_of("go").remove(0).target;
    cluster.take_target(&target).close();
    let response = resumed.await.unwrap();
    assert!(response.is_complete);
    assert_eq!(response.body, complete_stream("go", 100));
    assert_eq!(cluster.run_log.runs_of("go").len(), 2);
    let other = cluster.run_log.runs_of("cut").remove(0).target;
    if other != target {
        cluster.take_target(&other).close();
    }
    let response = cut.await.unwrap();
    assert!(!response.is_complete);
    assert!(complete_stream("cut", 600).starts_with(&response.body));
    assert_eq!(cluster.run_log.runs_of("cut").len(), 1);
    cluster.close();
}

#[tokio::test]
async fn a_generation_is_stopped_at_its_target_after_its_deadline() {
    let cluster = Cluster::with_nodes("gone", 1).await;
    let mut stream = request("s", Method::POST, STREAM_PATH, Some(40_000));
    stream.deadline_ms = 300;
    let response = cluster.send(&stream).await;
    assert!(!response.is_complete);
    wait_until("no generation runs", async || {
        cluster.target("e1").running().is_empty() && cluster.target("e2").running().is_empty()
    })
    .await;
    cluster.close();
}

/// Longer than a stream may stall before it resumes elsewhere, shorter than callers wait.
const STALL: Duration = Duration::from_millis(1_500);

async fn wait_until_delivered(cluster: &Cluster, attempt: &str) {
    wait_until("the stream has delivered events", async || {
        let running = |id| cluster.target(id).running().get(attempt).copied();
        let engines = cluster.targets.iter().map(|target| &target.options);
        let mut engines = engines.filter(|options| options.service == "engine");
        engines.any(|options| running(&options.id) > Some(5))
    })
    .await;
}

/// A sound stream that paused was cut because no other target could take it.
#[tokio::test]
async fn a_paused_stream_goes_on_at_its_target_if_no_other_can_take_it() {
    let mut cluster = Cluster::new("pause").await;
    cluster.add_target("e1", "engine", "dc-a").await;
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let stream = request("s", Method::POST, RESUMABLE_PATH, Some(400));
    let pause = async {
        wait_until_delivered(&cluster, "s").await;
        cluster.target("e1").set_stall(Stall::Silent);
        sleep(STALL).await;
        cluster.target("e1").set_stall(Stall::None);
    };
    let (response, ()) = tokio::join!(cluster.send(&stream), pause);
    assert!(response.is_complete);
    assert_eq!(response.body, complete_stream("s", 100));
    assert_eq!(cluster.run_log.runs_of("s").len(), 1);
    cluster.close();
}

/// A stalled target that sent a comment now and then kept its streams to the deadline.
#[tokio::test]
async fn a_stream_of_comments_alone_counts_as_stalled() {
    let cluster = Cluster::with_nodes("comments", 1).await;
    let stream = request("s", Method::POST, RESUMABLE_PATH, Some(400));
    let stall = async {
        wait_until_delivered(&cluster, "s").await;
        cluster.first_target_of("s").set_stall(Stall::Comments);
        wait_until("it resumes at another target", async || {
            cluster.run_log.runs_of("s").len() == 2
        })
        .await;
    };
    let (response, ()) = tokio::join!(cluster.send(&stream), stall);
    assert!(response.is_complete);
    let events = String::from_utf8(response.body)
        .unwrap()
        .replace(":\n\n", "");
    assert_eq!(events.as_bytes(), complete_stream("s", 100));
    let runs = cluster.run_log.runs_of("s");
    assert_ne!(runs[0].target, runs[1].target);
    cluster.close();
}

/// Sound targets fall silent for a second at times. Streams that may run again left them, and
/// their prompts were processed twice.
#[tokio::test]
async fn streams_stay_at_a_target_that_is_silent_for_a_second() {
    let cluster = Cluster::with_nodes("silent-second", 1).await;
    let address = cluster.nodes[0].addresses.callers;
    let mut callers = tokio::task::JoinSet::new();
    let (e1, e2) = (cluster.target("e1"), cluster.target("e2"));
    for number in 0..6 {
        let attempt = format!("s-{number}");
        let sent = request(&attempt, Method::POST, RESUMABLE_PATH, Some(200));
        callers.spawn(async move { (attempt, caller::send(address, &sent).await) });
        // Targets process one prompt after another; a request that waits for long is refused.
        wait_until("the stream runs", async || {
            e1.running().len() + e2.running().len() > number
        })
        .await;
    }
    wait_until("streams go on at the target", async || {
        e1.running().values().filter(|events| **events >= 5).count() >= 2
    })
    .await;
    e1.set_stall(Stall::Silent);
    sleep(SILENT_TIME).await;
    e1.set_stall(Stall::None);
    let mut moved = 0;
    while let Some(ended) = callers.join_next().await {
        let (attempt, answer) = ended.unwrap();
        assert!(answer.is_complete, "{attempt}: status {}", answer.code());
        moved += cluster.run_log.runs_of(&attempt).len() - 1;
    }
    assert_eq!(moved, 0);
    cluster.close();
}
