//! Connections on which a target sends a response twice.

#![expect(clippy::unwrap_used, reason = "a panic fails the test")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_gateway::clock::Clock;
use filbertpaddle_gateway::connection_pool::CallOptions;
use filbertpaddle_gateway::connection_pool::ConnectionPool;
use filbertpaddle_gateway::connection_pool::Reuse;
use filbertpaddle_http::buffer_limit::BufferLimit;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Answers each request with its path. Once the next request on the connection has arrived,
/// sends the former answer again first.
async fn answer_twice(mut stream: TcpStream) {
    let mut former = String::new();
    let mut buffer = [0; 4_096];
    while let Ok(size @ 1..) = stream.read(&mut buffer).await {
        let head = String::from_utf8_lossy(&buffer[..size]).into_owned();
        let path = head.split_whitespace().nth(1).unwrap();
        let length = path.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{path}");
        let sent = format!("{former}{answer}");
        if stream.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
        former = answer;
    }
}

async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_twice(stream));
        }
    });
    address
}

/// The handle of one generation's copy was taken for that of the next one.
#[tokio::test]
async fn second_response_to_a_call_is_not_taken_for_that_to_the_next() {
    let target = start_target().await;
    let calls = async {
        let pool = ConnectionPool::new(Clock::new());
        let buffers = BufferLimit::new();
        let options = CallOptions {
            time_limit: Duration::from_secs(5),
            part_limit: None,
            reuse: Reuse::New,
            buffers: &buffers,
        };
        for number in 0..4 {
            let path = format!("/copy-{number}");
            let mut request = Request::new(Full::new(Bytes::new()));
            *request.uri_mut() = path.parse().unwrap();
            let address = target.to_string().into();
            let (_, body) = pool.call(&address, request, options).await.unwrap();
            assert_eq!(body, path);
        }
    };
    LocalSet::new().run_until(calls).await;
}
