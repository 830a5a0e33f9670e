//! Tests of the fault-injection proxy: each fault as observed on both sides of a connection.

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

/// Long enough for bytes to arrive that the proxy does not hold.
const HOLD_DETECTION_TIMEOUT: Duration = Duration::from_millis(100);

/// A client and a server connected through a proxy.
struct Connection {
    proxy: Proxy,
    client: TcpStream,
    server: TcpStream,
}

async fn connect() -> Connection {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let proxy = Proxy::start(listener.local_addr().unwrap()).await.unwrap();
    let client = TcpStream::connect(proxy.address).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    Connection {
        proxy,
        client,
        server,
    }
}

async fn send_and_receive(from: &mut TcpStream, to: &mut TcpStream) {
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
    tokio::time::timeout(HOLD_DETECTION_TIMEOUT, to.peek(&mut buffer))
        .await
        .is_err()
}

async fn is_reset(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 1];
    let error = stream.read(&mut buffer).await.unwrap_err();
    error.kind() == ErrorKind::ConnectionReset
}

#[tokio::test]
async fn open_link_passes_bytes_both_ways_and_counts_them() {
    let mut connection = connect().await;
    send_and_receive(&mut connection.client, &mut connection.server).await;
    send_and_receive(&mut connection.server, &mut connection.client).await;
    assert_eq!(connection.proxy.counts().connections, 1);
    assert_eq!(connection.proxy.counts().forward_bytes, 4);
    connection.proxy.close().await;
}

#[tokio::test]
async fn close_of_one_direction_reaches_the_other_side() {
    let mut connection = connect().await;
    connection.client.shutdown().await.unwrap();
    assert_eq!(connection.server.read(&mut [0; 1]).await.unwrap(), 0);
    send_and_receive(&mut connection.server, &mut connection.client).await;
}

#[tokio::test]
async fn cut_link_resets_both_sides_and_new_connections() {
    let mut connection = connect().await;
    connection.proxy.set_link(Link::Cut);
    assert!(is_reset(&mut connection.client).await);
    assert!(is_reset(&mut connection.server).await);
    let mut late = TcpStream::connect(connection.proxy.address).await.unwrap();
    assert!(is_reset(&mut late).await);
}

#[tokio::test]
async fn one_way_cut_holds_bytes_of_one_direction_until_healed() {
    let mut connection = connect().await;
    connection.proxy.set_link(Link::CutForward);
    assert!(is_held(&mut connection.client, &mut connection.server).await);
    send_and_receive(&mut connection.server, &mut connection.client).await;
    connection.proxy.heal();
    receive(&mut connection.server).await;
    connection.proxy.set_link(Link::CutBackward);
    assert!(is_held(&mut connection.server, &mut connection.client).await);
    send_and_receive(&mut connection.client, &mut connection.server).await;
    connection.proxy.heal();
    receive(&mut connection.client).await;
}

#[tokio::test]
async fn stalled_link_accepts_connections_and_holds_bytes_until_healed() {
    let mut connection = connect().await;
    connection.proxy.set_link(Link::Stall);
    assert!(is_held(&mut connection.client, &mut connection.server).await);
    assert!(is_held(&mut connection.server, &mut connection.client).await);
    TcpStream::connect(connection.proxy.address).await.unwrap();
    connection.proxy.heal();
    receive(&mut connection.server).await;
    receive(&mut connection.client).await;
}

#[tokio::test]
async fn half_open_link_is_silent_to_client_and_reset_to_server() {
    let mut connection = connect().await;
    connection.proxy.set_link(Link::HalfOpen);
    assert!(is_reset(&mut connection.server).await);
    let mut buffer = [0; 1];
    let read =
        tokio::time::timeout(HOLD_DETECTION_TIMEOUT, connection.client.read(&mut buffer)).await;
    assert!(read.is_err());
    connection.proxy.heal();
    assert!(is_reset(&mut connection.client).await);
}

#[tokio::test]
async fn delayed_bytes_do_not_arrive_early() {
    let mut connection = connect().await;
    let delay = Duration::from_millis(200);
    connection.proxy.set_faults(Faults {
        link: Link::Open,
        delay_ms: Millis(200),
        ..Faults::default()
    });
    let start = Instant::now();
    send_and_receive(&mut connection.client, &mut connection.server).await;
    assert!(start.elapsed() >= delay);
}

/// An end in order states that a response without a length is complete.
#[tokio::test]
async fn a_proxy_that_is_closed_resets_its_connections() {
    let mut connection = connect().await;
    send_and_receive(&mut connection.client, &mut connection.server).await;
    connection.proxy.close().await;
    assert!(is_reset(&mut connection.client).await);
    assert!(is_reset(&mut connection.server).await);
}
