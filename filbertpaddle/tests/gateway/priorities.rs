//! Requests of two priorities compete for the memory of one engine.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::configuration::RESUMABLE_PATH;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::KEY;
use crate::cluster::STREAM_PATH;
use crate::cluster::configuration;
use crate::cluster::request;
use crate::cluster::wait_until;

/// The engine has memory for 11 generations of this output.
const OUTPUT_TOKENS: u32 = 1_500;
const LESS_URGENT: usize = 14;
/// Time in which an engine has processed a prompt.
const PROMPT_TIME: Duration = Duration::from_millis(90);
/// Time after which arrivals of other levels are taken into account.
const ARRIVAL_TIME: Duration = Duration::from_millis(800);

/// Starts a node that admits by priority, before one engine.
async fn cluster(name: &str) -> Cluster {
    let mut cluster = Cluster::new(name).await;
    let mut by_priority = configuration(2, KEY);
    by_priority["routes"][0]["priority"] = 2.into();
    cluster.store.put_configuration(&by_priority);
    cluster.add_paced_engine("engine", 10).await;
    cluster.add_node("node-0", "dc-a");
    cluster.wait_until_ready().await;
    let path = cluster.settings_path("node-0");
    let settings = std::fs::read_to_string(&path).unwrap();
    let settings = format!("{settings}contracts: [\"pressure\"]\n");
    std::fs::write(&path, settings).unwrap();
    let is_reloaded = async || cluster.log("node-0").contains("settings reloaded");
    wait_until("the settings are reread", is_reloaded).await;
    cluster
}

fn send(cluster: &Cluster, callers: &mut JoinSet<ReceivedAnswer>, attempt: &str, path: &str) {
    let sent: SentRequest = request(attempt, Method::POST, path, Some(OUTPUT_TOKENS));
    let node = cluster.nodes[0].addresses.callers;
    callers.spawn(async move { caller::send(node, &sent).await });
}

async fn count_served(callers: JoinSet<ReceivedAnswer>) -> usize {
    let answers = callers.join_all().await;
    answers.iter().filter(|answer| answer.code() == 200).count()
}

/// More generations of low priority arrive than the engine holds, then urgent ones.
#[tokio::test]
async fn less_urgent_generations_leave_room_to_urgent_ones() {
    let cluster = cluster("priorities").await;
    let (mut urgent, mut others) = (JoinSet::new(), JoinSet::new());
    send(&cluster, &mut urgent, "urgent-first", RESUMABLE_PATH);
    sleep(ARRIVAL_TIME).await;
    for number in 0..LESS_URGENT {
        send(
            &cluster,
            &mut others,
            &format!("other-{number}"),
            STREAM_PATH,
        );
        sleep(PROMPT_TIME).await;
    }
    for number in 0..2 {
        send(
            &cluster,
            &mut urgent,
            &format!("urgent-{number}"),
            RESUMABLE_PATH,
        );
        sleep(PROMPT_TIME).await;
    }
    let served = (count_served(urgent).await, count_served(others).await);
    assert_eq!(served.0, 3, "{served:?}");
    assert!(served.1 >= 5, "{served:?}");
    let log = cluster.log("node-0");
    assert!(log.contains("have no memory left for the request"));
    cluster.close();
}
