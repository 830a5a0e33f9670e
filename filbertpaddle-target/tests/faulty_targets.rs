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
use tokio::sync::mpsc;
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
    Client::new(settings)
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

/// Answers with the same status and body, whatever is sent.
async fn answer_always(mut stream: TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let length = body.len();
    let answer = format!("HTTP/1.1 {status} Any\r\nContent-Length: {length}\r\n\r\n{body}");
    let mut request = [0; 4_096];
    while stream.read(&mut request).await? > 0 {
        stream.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

/// Guards callers against "not run" for a request that its target has run and then failed.
#[tokio::test]
async fn only_a_refusal_that_names_the_attempt_proves_that_it_was_not_run() {
    for status in [404, 408, 409, 421, 429, 500, 503] {
        for body in [
            "",
            "failed",
            r#"{"cause":"leaving"}"#,
            r#"{"id":"other","cause":"leaving"}"#,
            r#"{"id":"a","cause":"failed"}"#,
            r#"{"id":"a","cause":"leaving""#,
        ] {
            let target = start_target(move |stream| answer_always(stream, status, body)).await;
            let submitted = client().submit(target, &submit("a")).await;
            let called = client().call(target, &submit("a")).await;
            for error in [submitted.unwrap_err(), called.unwrap_err()] {
                assert!(!error.is_not_started(), "{status} {body:?}: {error:?}");
            }
        }
    }
}

/// Number of bytes of a response after which a target without progress must have been given up.
const MAX_IDLE_BYTES: usize = 16 << 20;

/// Sends `start` and then `more` without end; passes on how many bytes the client took.
async fn send_idle(
    mut stream: TcpStream,
    start: &'static str,
    more: &'static str,
    sent: mpsc::UnboundedSender<usize>,
) -> std::io::Result<()> {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await?;
    stream.write_all(start.as_bytes()).await?;
    let part = more.repeat((64 << 10) / more.len());
    let mut bytes = 0;
    while bytes <= MAX_IDLE_BYTES && stream.write_all(part.as_bytes()).await.is_ok() {
        bytes += part.len();
    }
    sent.send(bytes).ok();
    Ok(())
}

/// They were read for as long as the time limit allowed, and took up the thread of the node.
#[tokio::test]
async fn bytes_that_belong_to_no_body_are_given_up() {
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
    for (start, more) in [(CHUNKED, "0"), (INTERIM, INTERIM)] {
        let (sent, mut sizes) = mpsc::unbounded_channel();
        let target = start_target(move |stream| send_idle(stream, start, more, sent.clone())).await;
        let answer = timeout(TEST_TIMEOUT, client().call(target, &submit("a"))).await;
        let error = answer.unwrap().unwrap_err();
        assert!(matches!(error, Error::Unknown(_)), "{error:?}");
        let bytes = timeout(TEST_TIMEOUT, sizes.recv()).await.unwrap().unwrap();
        assert!(bytes < MAX_IDLE_BYTES, "{bytes} bytes of {more:?}");
    }
}
