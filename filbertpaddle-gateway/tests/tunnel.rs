//! The end of a tunnel at the node that has the request.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::io::ErrorKind;

use filbertpaddle_gateway::tunnel::MAX_FRAME_BYTES;
use filbertpaddle_gateway::tunnel::RelayedStream;
use filbertpaddle_gateway::tunnel::orderly_end;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::CloseFrame;
use tokio_tungstenite::tungstenite::protocol::frame::coding::CloseCode;

async fn open() -> (RelayedStream, WebSocketStream<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let dialled = async {
        let stream = TcpStream::connect(address).await.unwrap();
        let url = format!("ws://{address}/");
        tokio_tungstenite::client_async(url, stream).await.unwrap()
    };
    let accepted = async {
        let (stream, _) = listener.accept().await.unwrap();
        tokio_tungstenite::accept_async(stream).await.unwrap()
    };
    let ((socket, _), relaying) = tokio::join!(dialled, accepted);
    (RelayedStream::new(socket), relaying)
}

#[tokio::test]
async fn bytes_pass_whole_in_both_directions() {
    let (mut stream, mut relaying) = open().await;
    let sent: Vec<u8> = (0..10 * MAX_FRAME_BYTES).map(|n| n as u8).collect();
    let echo = async {
        let mut received = Vec::new();
        while received.len() < sent.len() {
            let frame = relaying.next().await.unwrap().unwrap();
            received.extend_from_slice(&frame.into_data());
        }
        let frame = Frame::Binary(received.into());
        relaying.send(frame).await.unwrap();
        relaying.send(orderly_end()).await.unwrap();
    };
    let call = async {
        stream.write_all(&sent).await.unwrap();
        stream.flush().await.unwrap();
        let mut received = Vec::new();
        stream.read_to_end(&mut received).await.unwrap();
        received
    };
    let ((), received) = tokio::join!(echo, call);
    assert!(received == sent);
}

/// A response without a length ends with its connection: only the target's own end completes it.
#[tokio::test]
async fn a_tunnel_that_is_lost_does_not_end_in_order() {
    let (mut stream, mut relaying) = open().await;
    let frame = Frame::Binary("part".into());
    relaying.send(frame).await.unwrap();
    drop(relaying);
    let mut received = Vec::new();
    let error = stream.read_to_end(&mut received).await.unwrap_err();
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn only_the_close_frame_of_an_orderly_end_ends_a_tunnel_in_order() {
    let going_away = CloseFrame {
        code: CloseCode::Away,
        reason: "".into(),
    };
    for close in [None, Some(going_away)] {
        let (mut stream, mut relaying) = open().await;
        relaying.send(Frame::Close(close.clone())).await.unwrap();
        let error = stream.read_to_end(&mut Vec::new()).await.unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{close:?}");
    }
}

/// What a frame that is cut short has begun with must not pass for the end.
#[tokio::test]
async fn a_tunnel_that_is_cut_or_reset_within_a_frame_does_not_end_in_order() {
    /// Head of a frame of 100 bytes, and the close frame of an orderly end without its code's end.
    const CUT_FRAMES: [&[u8]; 2] = [&[0x82, 100, b'a'], &[0x88, 2, 3]];
    for cut in CUT_FRAMES {
        for is_reset in [false, true] {
            let (mut stream, mut relaying) = open().await;
            relaying.get_mut().write_all(cut).await.unwrap();
            if is_reset {
                relaying.get_mut().set_zero_linger().unwrap();
            }
            drop(relaying);
            stream.read_to_end(&mut Vec::new()).await.unwrap_err();
        }
    }
}
