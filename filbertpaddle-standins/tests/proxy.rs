//! Each fault of the proxy, seen by both sides of a connection.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::io::ErrorKind;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::proxy::Faults;
use filbertpaddle_standins::proxy::Link;
use filbertpaddle_standins::proxy::Proxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Long enough for bytes that are not held to arrive.
const QUIET: Duration = Duration::from_millis(100);

struct Pair {
    proxy: Proxy,
    client: TcpStream,
    server: TcpStream,
}

async fn connect() -> Pair {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let client = TcpStream::connect(proxy.address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    Pair {
        proxy,
        client,
        server,
    }
}

async fn pass(from: &mut TcpStream, to: &mut TcpStream) {
    from.write_all(b"ping").await.unwrap();
    receive(to).await;
}

async fn receive(to: &mut TcpStream) {
    let mut buffer = [0; 4];
    to.read_exact(&mut buffer).await.unwrap();
    assert_eq!(&buffer, b"ping");
}

async fn is_held(from: &mut TcpStream, to: &mut TcpStream) -> bool {
    from.write_all(b"ping").await.unwrap();
    let mut buffer = [0; 1];
    tokio::time::timeout(QUIET, to.peek(&mut buffer))
        .await
        .is_err()
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 1];
    let error = stream.read(&mut buffer).await.unwrap_err();
    error.kind() == ErrorKind::ConnectionReset
}

#[tokio::test]
async fn open_link_passes_both_ways_and_counts() {
    let mut pair = connect().await;
    pass(&mut pair.client, &mut pair.server).await;
    pass(&mut pair.server, &mut pair.client).await;
    assert_eq!(pair.proxy.counts().connections, 1);
    assert_eq!(pair.proxy.counts().forward_bytes, 4);
    pair.proxy.close().await;
}

#[tokio::test]
async fn close_of_one_side_reaches_the_other() {
    let mut pair = connect().await;
    pair.client.shutdown().await.unwrap();
    assert_eq!(pair.server.read(&mut [0; 1]).await.unwrap(), 0);
    pass(&mut pair.server, &mut pair.client).await;
}

#[tokio::test]
async fn cut_resets_both_sides_and_new_connections() {
    let mut pair = connect().await;
    pair.proxy.set_link(Link::Cut);
    assert!(is_reset(&mut pair.client).await);
    assert!(is_reset(&mut pair.server).await);
    let mut late = TcpStream::connect(pair.proxy.address).await.unwrap();
    assert!(is_reset(&mut late).await);
}

#[tokio::test]
async fn one_way_cut_holds_one_direction_until_healed() {
    let mut pair = connect().await;
    pair.proxy.set_link(Link::CutForward);
    assert!(is_held(&mut pair.client, &mut pair.server).await);
    pass(&mut pair.server, &mut pair.client).await;
    pair.proxy.heal();
    receive(&mut pair.server).await;
    pair.proxy.set_link(Link::CutBackward);
    assert!(is_held(&mut pair.server, &mut pair.client).await);
    pass(&mut pair.client, &mut pair.server).await;
    pair.proxy.heal();
    receive(&mut pair.client).await;
}

#[tokio::test]
async fn stall_accepts_and_holds_until_healed() {
    let mut pair = connect().await;
    pair.proxy.set_link(Link::Stall);
    assert!(is_held(&mut pair.client, &mut pair.server).await);
    assert!(is_held(&mut pair.server, &mut pair.client).await);
    TcpStream::connect(pair.proxy.address).await.unwrap();
    pair.proxy.heal();
    receive(&mut pair.server).await;
    receive(&mut pair.client).await;
}

#[tokio::test]
async fn half_open_is_silent_to_the_client_and_reset_to_the_server() {
    let mut pair = connect().await;
    pair.proxy.set_link(Link::HalfOpen);
    assert!(is_reset(&mut pair.server).await);
    let mut buffer = [0; 1];
    let read = tokio::time::timeout(QUIET, pair.client.read(&mut buffer)).await;
    assert!(read.is_err());
    pair.proxy.heal();
    assert!(is_reset(&mut pair.client).await);
}

#[tokio::test]
async fn delayed_bytes_are_not_early() {
    let mut pair = connect().await;
    let delay = Duration::from_millis(200);
    pair.proxy.set_faults(Faults {
        link: Link::Open,
        delay_ms: Millis(200),
    });
    let start = Instant::now();
    pass(&mut pair.client, &mut pair.server).await;
    assert!(start.elapsed() >= delay);
}
