//! Connections to peers that do not read, and to peers that are dead: their kernel answers nothing.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::io;
use std::io::ErrorKind;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_gateway::clock::Clock;
use filbertpaddle_gateway::watched_stream::PeerWatch;
use filbertpaddle_gateway::watched_stream::WatchedStream;
use slog::Discard;
use slog::Logger;
use slog::o;
use socket2::SockFilter;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// More than the buffers of both ends hold.
/// What the node holds for peers that do not read; none of the tests reaches it.
const MAX_HELD_BYTES: usize = 16 << 20;
const BYTES: usize = 16 << 20;
/// Longer than a dead peer is waited for.
const PAUSE: Duration = Duration::from_secs(4);
/// Far below the minutes after which the kernel alone gives up, and generous for a busy machine.
const FOUND_TIME: Duration = Duration::from_secs(20);

/// Returns both ends of a connection; the first is watched.
async fn connect(unread_limit_ms: Option<Millis>) -> (WatchedStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (opened, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let watch = PeerWatch::new(Clock::new(), Logger::root(Discard, o!()), MAX_HELD_BYTES);
    let watched = watch.watch(opened.unwrap(), unread_limit_ms).unwrap();
    (watched, accepted.unwrap().0)
}

/// Drops all that arrives at a connection, as if its host had been cut off.
fn cut_off(stream: &TcpStream) {
    /// Instruction of the packet filter that keeps no byte.
    const DROP: u16 = 0x06;
    let filter = [SockFilter::new(DROP, 0, 0, 0)];
    SockRef::from(stream).attach_filter(&filter).unwrap();
}

async fn write(stream: &mut WatchedStream, bytes: usize) -> io::Result<()> {
    let bytes = vec![b'x'; bytes];
    timeout(FOUND_TIME, stream.write_all(&bytes)).await.unwrap()
}

#[tokio::test]
async fn a_peer_that_does_not_read_for_a_while_gets_everything() {
    let (mut watched, mut peer) = connect(None).await;
    let reading = async {
        sleep(PAUSE).await;
        let mut received = vec![0; BYTES];
        peer.read_exact(&mut received).await
    };
    let (written, read) = tokio::join!(write(&mut watched, BYTES), reading);
    written.unwrap();
    read.unwrap();
}

#[tokio::test]
async fn a_dead_peer_is_found_while_bytes_wait_to_be_written() {
    let (mut watched, peer) = connect(None).await;
    cut_off(&peer);
    let error = write(&mut watched, BYTES).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::TimedOut);
}

#[tokio::test]
async fn a_dead_peer_is_found_while_its_answer_is_awaited() {
    let (mut watched, peer) = connect(None).await;
    cut_off(&peer);
    write(&mut watched, 10).await.unwrap();
    let read = timeout(FOUND_TIME, watched.read_u8()).await.unwrap();
    assert_eq!(read.unwrap_err().kind(), ErrorKind::TimedOut);
    drop(peer);
}

#[tokio::test]
async fn a_peer_that_dies_with_a_closed_window_is_found() {
    let (mut watched, peer) = connect(None).await;
    let cut = async {
        sleep(PAUSE).await;
        cut_off(&peer);
    };
    let (written, ()) = tokio::join!(write(&mut watched, BYTES), cut);
    assert_eq!(written.unwrap_err().kind(), ErrorKind::TimedOut);
}

#[tokio::test]
async fn a_peer_that_never_reads_is_given_up_at_the_limit() {
    let (mut watched, peer) = connect(Some(Millis(3_000))).await;
    let error = write(&mut watched, BYTES).await.unwrap_err();
    assert_eq!(error.to_string(), "the peer does not read");
    drop(peer);
}
