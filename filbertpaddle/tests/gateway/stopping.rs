//! Requests that arrive while a node stops as planned are answered, not cut.

use std::time::Duration;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::Connection;
use http::Method;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::Cluster;
use crate::cluster::READ_PATH;
use crate::cluster::STREAM_PATH;
use crate::cluster::complete_stream;
use crate::cluster::request;
use crate::cluster::wait_until;

/// Time after the signal to stop after which a node closes idle connections.
const IDLE_CLOSE: Duration = Duration::from_millis(2_500);
/// Time before that moment at which the node is paused, or after it at which callers connect.
const LEAD: Duration = Duration::from_millis(300);
/// Time in which the requests of all connections have left.
const SEND_TIME: Duration = Duration::from_millis(100);
/// Time for which the node stays paused then, past the close.
const PAUSE: Duration = Duration::from_millis(400);
const CONNECTIONS: usize = 24;

/// Starts a node with a stream that keeps it from exiting for a while, and signals it to stop.
async fn stop_node_with_stream(cluster: &Cluster) -> tokio::task::JoinHandle<bool> {
    let node = cluster.nodes[0].addresses.callers;
    let running = tokio::spawn(async move {
        let stream = request("s", Method::POST, STREAM_PATH, Some(1_000));
        let answer = caller::send(node, &stream).await;
        answer.is_complete && answer.body == complete_stream("s", 250)
    });
    wait_until("the stream runs", async || {
        !cluster.run_log.runs_of("s").is_empty()
    })
    .await;
    cluster.nodes[0].process.terminate().unwrap();
    running
}

/// Sends a read on each connection; returns the callers that wait for the answers.
async fn send_reads(connections: Vec<Connection>) -> JoinSet<u16> {
    let mut callers = JoinSet::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        callers.spawn(async move {
            let read = request(&format!("late-{number}"), Method::GET, READ_PATH, None);
            connection.send(&read).await.code()
        });
    }
    sleep(SEND_TIME).await;
    callers
}

/// A balancer may still send callers to a stopping node if too few others are left.
#[tokio::test]
async fn requests_on_new_connections_to_a_stopping_node_are_answered() {
    let cluster = Cluster::with_nodes("stopping-new", 1).await;
    let running = stop_node_with_stream(&cluster).await;
    sleep(IDLE_CLOSE + LEAD).await;
    for number in 0..CONNECTIONS {
        let node = cluster.nodes[0].addresses.callers;
        let mut connection = Connection::open(node).await.unwrap();
        let read = request(&format!("new-{number}"), Method::GET, READ_PATH, None);
        let code = connection.send(&read).await.code();
        assert!(matches!(code, 200 | 503), "new-{number}: {code}");
    }
    assert!(running.await.unwrap(), "the stream was cut");
    cluster.close();
}

/// A node that was late closed idle connections on which requests had already arrived.
#[tokio::test]
async fn requests_that_arrive_before_a_stopping_node_closes_their_connection_are_answered() {
    let cluster = Cluster::with_nodes("stopping-kept", 1).await;
    let node = cluster.nodes[0].addresses.callers;
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let mut connection = Connection::open(node).await.unwrap();
        let read = request(&format!("early-{number}"), Method::GET, READ_PATH, None);
        assert_eq!(connection.send(&read).await.code(), 200);
        connections.push(connection);
    }
    let running = stop_node_with_stream(&cluster).await;
    sleep(IDLE_CLOSE - LEAD).await;
    let process = &cluster.nodes[0].process;
    process.pause().unwrap();
    let callers = send_reads(connections).await;
    sleep(PAUSE).await;
    process.resume().unwrap();
    let codes = callers.join_all().await;
    let is_answered = |code: &u16| matches!(code, 200 | 503);
    assert!(codes.iter().all(is_answered), "{codes:?}");
    assert!(running.await.unwrap(), "the stream was cut");
    cluster.close();
}
