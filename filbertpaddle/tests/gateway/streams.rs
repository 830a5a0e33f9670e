//! Generations that move, go on elsewhere, or end with their caller.

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::store::Fault;
use http::Method;

use crate::world::RESUMABLE_PATH;
use crate::world::STREAM_PATH;
use crate::world::World;
use crate::world::ask;
use crate::world::until;
use crate::world::whole_stream;

#[tokio::test]
async fn a_stream_moves_from_a_leaving_target_and_stays_whole() {
    let world = World::with_nodes("move", 1).await;
    let stream = ask("s", Method::POST, STREAM_PATH, Some(800));
    let leave = async {
        until("the stream runs", async || {
            let runs = world.ledger.runs_of("s");
            !runs.is_empty() && world.target_of("s").running().get("s") > Some(&10)
        })
        .await;
        let target = world.target_of("s");
        target.drain();
        let entry = target.announce(target.address);
        world.store.put_target(&target.options.id, &entry);
    };
    let (got, ()) = tokio::join!(world.send(&stream), leave);
    assert!(got.is_complete);
    assert_eq!(got.body, whole_stream("s", 200));
    let runs = world.ledger.runs_of("s");
    assert_eq!(runs.len(), 2);
    assert!(runs[1].is_migrated && runs[1].target != runs[0].target);
    world.close();
}

#[tokio::test]
async fn a_stream_moves_while_the_store_is_silent() {
    let world = World::with_nodes("blind", 1).await;
    let stream = ask("s", Method::POST, STREAM_PATH, Some(1_600));
    let leave = async {
        until("the stream runs", async || {
            !world.ledger.runs_of("s").is_empty()
        })
        .await;
        world.store.set_fault(Fault::Unresponsive);
        world.target_of("s").drain();
    };
    let (got, ()) = tokio::join!(world.send(&stream), leave);
    assert!(got.is_complete);
    assert_eq!(got.body, whole_stream("s", 400));
    assert!(world.ledger.runs_of("s")[1].is_migrated);
    world.close();
}

#[tokio::test]
async fn a_resumable_stream_goes_on_behind_its_last_event_and_another_is_cut() {
    let mut world = World::with_nodes("crash", 1).await;
    let resumable = ask("go", Method::POST, RESUMABLE_PATH, Some(400));
    // Long enough to run until its target is closed.
    let single = ask("cut", Method::POST, STREAM_PATH, Some(2_400));
    let node = world.nodes[0].addresses.callers;
    let going = tokio::spawn(async move { caller::send(node, &resumable).await });
    let cut = tokio::spawn(async move { caller::send(node, &single).await });
    until("both run", async || {
        let has_events = |attempt| {
            let running = |id| world.target(id).running().get(attempt).copied();
            running("e1").max(running("e2")) > Some(5)
        };
        has_events("go") && has_events("cut")
    })
    .await;
    let target = world.ledger.runs_of("go").remove(0).target;
    world.take_target(&target).close();
    let got = going.await.unwrap();
    assert!(got.is_complete);
    assert_eq!(got.body, whole_stream("go", 100));
    assert_eq!(world.ledger.runs_of("go").len(), 2);
    let other = world.ledger.runs_of("cut").remove(0).target;
    if other != target {
        world.take_target(&other).close();
    }
    let got = cut.await.unwrap();
    assert!(!got.is_complete);
    assert!(whole_stream("cut", 600).starts_with(&got.body));
    assert_eq!(world.ledger.runs_of("cut").len(), 1);
    world.close();
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_its_target() {
    let world = World::with_nodes("gone", 1).await;
    let mut stream = ask("s", Method::POST, STREAM_PATH, Some(40_000));
    stream.deadline_ms = 300;
    let got = world.send(&stream).await;
    assert!(!got.is_complete);
    until("nothing runs", async || {
        world.target("e1").running().is_empty() && world.target("e2").running().is_empty()
    })
    .await;
    world.close();
}
