//! A platform that sends without end.

use std::time::Duration;

use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::error::Error;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Above the limit on a response, and what the kernel buffers of one.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Responses were held as a whole until the time limit of the call, however large they were.
#[tokio::test]
async fn response_without_end_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sent, mut sizes) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await.unwrap();
        let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        stream.write_all(head).await.unwrap();
        let part = [b' '; 64 << 10];
        let mut bytes = 0;
        while bytes < MAX_SENT_BYTES && stream.write_all(&part).await.is_ok() {
            bytes += part.len();
        }
        sent.send(bytes).ok();
    });
    let client = Client::new(format!("http://{address}"), CALL_TIMEOUT);
    let read = client.vms().await;
    assert!(matches!(read, Err(Error::Unknown(_))), "{read:?}");
    let bytes = timeout(CALL_TIMEOUT, sizes.recv()).await.unwrap().unwrap();
    assert!(bytes < MAX_SENT_BYTES, "{bytes} bytes");
}
