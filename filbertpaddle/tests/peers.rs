//! Links carry messages between nodes that share the peer secret, recover from
//! network faults, and refuse nodes without the secret.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;

use common::wait;
use filbertpaddle::metrics::Metrics;
use filbertpaddle::peers::Identity;
use filbertpaddle::peers::Peer;
use filbertpaddle::peers::Peers;
use filbertpaddle::peers::Received;
use filbertpaddle::settings;
use filbertpaddle_standins::proxy::Link;
use filbertpaddle_standins::proxy::Proxy;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::message::Message;
use futures_util::SinkExt;
use futures_util::StreamExt;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_tungstenite::tungstenite;

const SECRET: &str = "the-peer-secret";

struct Node {
    peers: Peers,
    inbox: mpsc::Receiver<Received>,
    /// Address of the proxy, which the other nodes dial.
    address: SocketAddr,
    proxy: Proxy,
}

async fn start(name: &str, secret: &str) -> Node {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let address = proxy.address;
    let identity = Identity {
        own: Peer {
            name: name.into(),
            incarnation: 1,
            data_centre: "north".into(),
            address: address.to_string().into(),
        },
        secret: secret.into(),
    };
    let (sender, inbox) = mpsc::channel(16);
    let metrics = Arc::new(Metrics::open(settings::Metrics::default()).unwrap());
    let log = Logger::root(Discard, o!());
    let peers = Peers::start(identity, listener, sender, metrics, log);
    Node {
        peers,
        inbox,
        address,
        proxy,
    }
}

fn message() -> Message {
    Message::Grant(grant::Message::Stamp("pool".into(), 1))
}

async fn wait_disconnected(node: &Node) {
    wait::until("the node is disconnected", async || {
        node.peers.connected().is_empty().then_some(())
    })
    .await;
}

async fn wait_connected(node: &Node, to: &str) {
    wait::until("the node is connected", async || {
        let peers = node.peers.connected();
        peers.iter().any(|peer| peer.name == to).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_link_carries_messages_both_ways() {
    let mut first = start("first", SECRET).await;
    let mut second = start("second", SECRET).await;
    first.peers.add(second.address);
    wait_connected(&first, "second").await;
    // The listener takes the dialler's address from its greeting and dials it.
    wait_connected(&second, "first").await;
    assert!(first.peers.send("second", message()));
    assert_eq!(second.inbox.recv().await.unwrap().from.name, "first");
    assert!(second.peers.send("first", message()));
    assert_eq!(first.inbox.recv().await.unwrap().message, message());
}

#[tokio::test]
async fn a_link_reconnects_after_a_cut() {
    let first = start("first", SECRET).await;
    let mut second = start("second", SECRET).await;
    first.peers.add(second.address);
    wait_connected(&first, "second").await;
    second.proxy.set_link(Link::Cut);
    wait_disconnected(&first).await;
    assert!(!first.peers.send("second", message()));
    second.proxy.heal();
    wait_connected(&first, "second").await;
    assert!(first.peers.send("second", message()));
    assert!(second.inbox.recv().await.is_some());
}

#[tokio::test]
async fn a_stalled_link_is_detected_and_reconnects() {
    for fault in [Link::Stall, Link::CutForward, Link::CutBackward] {
        let first = start("first", SECRET).await;
        let second = start("second", SECRET).await;
        first.peers.add(second.address);
        wait_connected(&first, "second").await;
        second.proxy.set_link(fault);
        wait_disconnected(&first).await;
        second.proxy.heal();
        wait_connected(&first, "second").await;
    }
}

#[tokio::test]
async fn a_node_with_another_secret_is_refused() {
    let first = start("first", SECRET).await;
    let second = start("second", "another-secret").await;
    first.peers.add(second.address);
    second.peers.add(first.address);
    let third = start("third", SECRET).await;
    first.peers.add(third.address);
    wait_connected(&first, "third").await;
    assert!(
        first
            .peers
            .connected()
            .iter()
            .all(|peer| peer.name != "second")
    );
    assert!(second.peers.connected().is_empty());
}

#[tokio::test]
async fn a_reflected_greeting_is_refused() {
    let mut first = start("first", SECRET).await;
    let url = format!("ws://{}/", first.address);
    // The second connection makes the node sign the challenge of the first one.
    let (mut victim, _) = tokio_tungstenite::connect_async(&url).await.unwrap();
    victim
        .send(tungstenite::Message::Binary(vec![1; 16].into()))
        .await
        .unwrap();
    let greeting = victim.next().await.unwrap().unwrap().into_data();
    let greeting: filbertpaddle_wire::greeting::Greeting =
        ciborium::from_reader(greeting.as_ref()).unwrap();
    let (mut oracle, _) = tokio_tungstenite::connect_async(&url).await.unwrap();
    oracle
        .send(tungstenite::Message::Binary(greeting.offer.into()))
        .await
        .unwrap();
    let signed = oracle.next().await.unwrap().unwrap();
    victim.send(signed).await.unwrap();
    let frame = filbertpaddle_wire::frame::Encoder::new()
        .encode(&[message()])
        .unwrap();
    victim
        .send(tungstenite::Message::Binary(frame.into()))
        .await
        .ok();
    // The node closes the connection without receiving the message.
    while let Some(Ok(_)) = victim.next().await {}
    assert!(first.inbox.try_recv().is_err());
}
