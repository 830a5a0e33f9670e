//! Stand-in of a requester.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::End;
use crate::http::Reader;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub deadline_ms: u64,
    /// Prompt tokens, maximum number of output tokens and the estimate of these.
    pub tokens: Option<(u32, u32, u32)>,
    pub last_event: Option<u64>,
    pub body: Vec<u8>,
}

/// What came back, as far as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub is_sealed: bool,
    pub retry_after: Option<String>,
    pub attempt: Option<String>,
    /// `None` if no head arrived.
    pub end: Option<End>,
    pub body: Vec<u8>,
}

impl Answer {
    /// Returns the ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }

    pub fn describe(&self) -> String {
        let events = self.events();
        let seal = if self.is_sealed { "sealed" } else { "no seal" };
        let retry = self.retry_after.as_deref().unwrap_or("-");
        match self.end {
            None => "connection closed without an answer".to_owned(),
            Some(end) => format!(
                "status {}, {seal}, retry-after {retry}, {} body bytes, last event {:?}, end {end:?}",
                self.status,
                self.body.len(),
                events.last()
            ),
        }
    }
}

impl Request {
    pub fn text(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nFilbertpaddle-Attempt-Id: {}\r\n\
             Filbertpaddle-Deadline-Ms: {}\r\nFilbertpaddle-Credential: {KEY}\r\n",
            self.method, self.path, self.id, self.deadline_ms
        );
        if let Some((prompt, output, hint)) = self.tokens {
            text += &format!(
                "Filbertpaddle-Model: m\r\nFilbertpaddle-Token-Count: {prompt},{output}\r\n\
                 Filbertpaddle-Prompt-Prefix: 5c1e07a2:40,{}:{}\r\n\
                 Filbertpaddle-Length-Hint: {hint}\r\n",
                self.id,
                prompt - 40
            );
        }
        if let Some(last_event) = self.last_event {
            text += &format!("Last-Event-Id: {last_event}\r\n");
        }
        if self.method != "GET" {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection and reads its answer, within the deadline and a second.
pub fn send(front: SocketAddr, request: &Request) -> Answer {
    let mut answer = Answer::default();
    exchange(front, request, &mut answer).ok();
    answer
}

fn exchange(front: SocketAddr, request: &Request, answer: &mut Answer) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms + 1_000)))?;
    stream.write_all(&request.text())?;
    let mut reader = Reader::new(stream);
    receive(&mut reader, answer)
}

/// Reads one answer.
pub fn receive(reader: &mut Reader, answer: &mut Answer) -> io::Result<()> {
    let Some(head) = reader.head()? else {
        return Ok(());
    };
    answer.status = head.status();
    answer.is_sealed = head.header("filbertpaddle-response-seal").is_some();
    answer.retry_after = head.header("retry-after").map(str::to_owned);
    answer.attempt = head.header("filbertpaddle-attempt-id").map(str::to_owned);
    let mut body = Vec::new();
    let end = reader.body(&head, &mut |part| body.extend_from_slice(part));
    answer.end = Some(end);
    answer.body = body;
    Ok(())
}

/// Returns the status of a GET without headers of its own.
pub fn status_of(address: SocketAddr, path: &str) -> Option<u16> {
    let limit = Duration::from_millis(800);
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).ok()?;
    let head = Reader::new(stream).head().ok()??;
    Some(head.status())
}
