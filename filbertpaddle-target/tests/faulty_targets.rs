//! Targets that answer twice, stall with a byte now and then, or send without end.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use filbertpaddle_target::client::Client;
use filbertpaddle_target::client::Settings;
use filbertpaddle_target::error::Error;
use filbertpaddle_target::error::UnknownOutcome;
use filbertpaddle_target::protocol::Submit;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Far above the time limits of the clients.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const BYTE_INTERVAL: Duration = Duration::from_millis(50);

fn client() -> Client {
    let settings = Settings {
        idle_timeout_ms: Millis(400),
        ..Settings::default()
    };
    Client::new(settings).unwrap()
}

fn submit(attempt: &str) -> Submit {
    Submit {
        attempt: attempt.into(),
        fence: 1,
        priority: Priority(1),
        prompt: String::new(),
        max_tokens: 8,
    }
}

/// Listens, and serves each connection with `serve`.
async fn start_target<S, F>(serve: S) -> SocketAddr
where
    S: Fn(TcpStream) -> F + Send + 'static,
    F: Future<Output = std::io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// Refuses the first request on a connection, and sends that refusal again to later ones.
async fn refuse_again(mut stream: TcpStream) -> std::io::Result<()> {
    let body = r#"{"id":"first","cause":"leaving"}"#;
    let length = body.len();
    let refusal =
        format!("HTTP/1.1 503 Service Unavailable\r\nContent-Length: {length}\r\n\r\n{body}");
    let mut request = [0; 4_096];
    while stream.read(&mut request).await? > 0 {
        stream.write_all(refusal.as_bytes()).await?;
    }
    Ok(())
}

/// A late second refusal proved that another attempt had not run, which could then run twice.
#[tokio::test]
async fn refusal_of_an_earlier_attempt_proves_nothing() {
    let target = start_target(refuse_again).await;
    let client = client();
    let first = client.submit(target, &submit("first")).await;
    assert!(first.unwrap_err().is_not_started());
    let second = client.submit(target, &submit("second")).await;
    let other = UnknownOutcome::OtherAttempt(Name::from("first"));
    assert_eq!(second.unwrap_err(), Error::Unknown(other));
}

async fn stall(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await?;
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head).await?;
    loop {
        stream.write_all(b"1\r\n \r\n").await?;
        sleep(BYTE_INTERVAL).await;
    }
}

/// A stalled target that sent a byte now and then kept its streams for good.
#[tokio::test]
async fn stream_without_tokens_ends_though_bytes_arrive() {
    let target = start_target(stall).await;
    let mut tokens = client().submit(target, &submit("a")).await.unwrap();
    let next = timeout(TEST_TIMEOUT, tokens.next()).await.unwrap();
    assert_eq!(next, Err(Error::Unknown(UnknownOutcome::Timeout)));
}

async fn send_without_end(mut stream: TcpStream) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await?;
    let head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    stream.write_all(head).await?;
    let bytes = vec![b'x'; 1 << 16];
    loop {
        stream.write_all(&bytes).await?;
    }
}

/// An answer without end filled the memory until the time limit of the call.
#[tokio::test]
async fn answer_without_end_is_given_up() {
    let target = start_target(send_without_end).await;
    let answer = timeout(TEST_TIMEOUT, client().call(target, &submit("a"))).await;
    let error = answer.unwrap().unwrap_err();
    assert!(matches!(
        error,
        Error::Unknown(UnknownOutcome::Malformed(_))
    ));
}
