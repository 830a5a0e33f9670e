//! A small deployment for the scripts of this review: the platform's store, nodes as processes,
//! HTTP for servers and clients. It uses the standard library alone.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub const PROGRAM: &str = "target/release/filbertpaddle";
pub const KEY: &str = "key-of-huka";
pub const HOST: &str = "site.example";

/// Time after which a script gives up. Its processes end with it.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// Exit code of a script whose case could not run.
pub const NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_for(limit_ms: u64, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(limit_ms);
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep_ms(10);
    }
    condition()
}

// The record.

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|error| {
            eprintln!("cannot write {path}: {error}");
            std::process::exit(NOT_RUN);
        });
        let record = Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        };
        let watched = record.clone();
        thread::spawn(move || {
            thread::sleep(TIME_LIMIT);
            watched.end("the script took too long", NOT_RUN);
        });
        record
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: &str) {
        let line = format!("{:7} ms  {text}\n", self.ms());
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    pub fn end(&self, text: &str, code: i32) -> ! {
        clean_up();
        self.add(text);
        println!("{text}");
        std::process::exit(code);
    }
}

// Addresses.

/// Returns a loopback address that no other host of this run has.
pub fn next_host() -> Ipv4Addr {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        20 + (pid % 200) as u8,
        (pid / 200 % 250) as u8,
        number as u8,
    )
}

/// Returns a free port of a host.
pub fn free_port(host: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((host, 0)).expect("no free port");
    listener.local_addr().expect("no address").port()
}

// HTTP.

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn attempt(&self) -> &str {
        self.header("filbertpaddle-attempt-id").unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let parts = query.split('&').filter_map(|part| part.split_once('='));
        let mut found = parts.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| percent_decode(value))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(key, _)| key == name);
    found.next().map(|(_, value)| value.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads a head; returns its first line and its headers, `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

/// Reads a chunk; `None` after the last one.
fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = String::new();
    reader.read_line(&mut end)?;
    Ok((size > 0).then_some(chunk))
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let mut body = Vec::new();
    if is_chunked(&headers) {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else {
        let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
        body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Writes a whole response.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut all = head.into_bytes();
    all.extend_from_slice(body);
    stream.write_all(&all)
}

/// Writes a chunk.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut all = format!("{:x}\r\n", bytes.len()).into_bytes();
    all.extend_from_slice(bytes);
    all.extend_from_slice(b"\r\n");
    stream.write_all(&all)
}

/// Returns whether the other end has closed the connection, on which nothing else is expected.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let mut byte = [0; 1];
    let result = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match result {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// An HTTP server. `handle` answers a request and returns whether the connection stays open.
pub struct Server {
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start<H>(address: SocketAddr, handle: H) -> io::Result<Self>
    where
        H: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_up = Arc::new(AtomicBool::new(true));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let handle = Arc::new(handle);
        let (up, connections) = (Arc::clone(&is_up), Arc::clone(&open));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !up.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    lock(&connections).push(copy);
                }
                let handle = Arc::clone(&handle);
                thread::spawn(move || {
                    let Ok(mut out) = stream.try_clone() else {
                        return;
                    };
                    let mut reader = BufReader::new(stream);
                    while let Ok(Some(request)) = read_request(&mut reader) {
                        if !handle(&request, &mut out).unwrap_or(false) {
                            break;
                        }
                    }
                    let _ = out.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Self {
            address,
            is_up,
            open,
        })
    }

    /// Ends the server as the end of its process does: its port is free, its connections close.
    pub fn stop(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

// Clients.

/// What a client has received of an answer.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request. `headers` are further lines, each with its end.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        attempt: &str,
        deadline_ms: u64,
        headers: &str,
        body: &[u8],
    ) -> io::Result<()> {
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nFilbertpaddle-Attempt-Id: {attempt}\r\n\
             Filbertpaddle-Deadline-Ms: {deadline_ms}\r\nFilbertpaddle-Credential: {KEY}\r\n\
             {headers}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let limit = Duration::from_millis(deadline_ms);
        self.stream.set_read_timeout(Some(limit))?;
        let mut all = head.into_bytes();
        all.extend_from_slice(body);
        self.stream.write_all(&all)
    }

    /// Reads an answer as far as it comes. `on_part` gets each part of the body, and returns
    /// whether the client reads on.
    pub fn read(&mut self, mut on_part: impl FnMut(&[u8]) -> bool) -> Answer {
        let mut answer = Answer::default();
        let _ = self.read_into(&mut answer, &mut on_part);
        answer
    }

    fn read_into(
        &mut self,
        answer: &mut Answer,
        on_part: &mut impl FnMut(&[u8]) -> bool,
    ) -> io::Result<()> {
        let Some((first, headers)) = read_head(&mut self.reader)? else {
            return Ok(());
        };
        answer.status = first
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0);
        answer.headers = headers;
        if is_chunked(&answer.headers) {
            while let Some(chunk) = read_chunk(&mut self.reader)? {
                answer.body.extend_from_slice(&chunk);
                if !on_part(&chunk) {
                    return Ok(());
                }
            }
        } else {
            let length = answer
                .header("content-length")
                .and_then(|text| text.parse().ok());
            answer.body.resize(length.unwrap_or(0), 0);
            let mut body = std::mem::take(&mut answer.body);
            let result = self.reader.read_exact(&mut body);
            answer.body = body;
            result?;
        }
        answer.is_complete = true;
        Ok(())
    }

    /// Closes the connection.
    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Returns the headers of a generation.
pub fn generation(prompt_tokens: u32, output_tokens: u32) -> String {
    format!(
        "Filbertpaddle-Model: m\r\nFilbertpaddle-Token-Count: {prompt_tokens},{output_tokens}\r\n\
         Filbertpaddle-Prompt-Prefix: 5c1e07a2:{},{:08x}:8\r\n",
        prompt_tokens - 8,
        unique()
    )
}

/// Returns a number that was not returned before.
pub fn unique() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

// JSON and Base64, as far as the store needs them.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut parser = Parser { bytes, at: 0 };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.next()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                if self.next()? == b'}' {
                    self.at += 1;
                    return Some(Json::Table(table));
                }
                loop {
                    let name = self.string()?;
                    self.take(b':')?;
                    table.insert(name, self.value()?);
                    if self.next()? == b',' {
                        self.at += 1;
                        self.next()?;
                    } else {
                        self.take(b'}')?;
                        return Some(Json::Table(table));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.next()? == b']' {
                    self.at += 1;
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.next()? == b',' {
                        self.at += 1;
                    } else {
                        self.take(b']')?;
                        return Some(Json::List(list));
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                while self
                    .bytes
                    .get(self.at)
                    .is_some_and(|byte| !b",]} \n\r\t".contains(byte))
                {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let code = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = std::str::from_utf8(code).ok()?;
                            let code = u32::from_str_radix(code, 16).ok()?;
                            let text = char::from_u32(code)?.to_string();
                            out.extend_from_slice(text.as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(part.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= part.len() {
                let digit = number >> (18 - 6 * index) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// The store.

type RowName = (String, String, String);

#[derive(Clone)]
struct Row {
    /// Base64; `None` if the row was dropped.
    value: Option<String>,
    ver: u64,
}

struct StoreState {
    rows: BTreeMap<RowName, Row>,
    ver: u64,
}

/// The platform's store, with rows only.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    is_down: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        let state = Arc::new((
            Mutex::new(StoreState {
                rows: BTreeMap::new(),
                ver: 0,
            }),
            Condvar::new(),
        ));
        let is_down = Arc::new(AtomicBool::new(false));
        let start = Instant::now();
        let (shared, down) = (Arc::clone(&state), Arc::clone(&is_down));
        let server = Server::start((next_host(), 0).into(), move |request, out| {
            if down.load(Ordering::SeqCst) {
                respond(out, 503, "Store-Era: 1\r\n", b"")?;
                return Ok(true);
            }
            let (status, body) = answer_store(&shared, &down, start, request);
            let headers = "Store-Era: 1\r\nContent-Type: application/json\r\n";
            respond(out, status, headers, body.as_bytes())?;
            Ok(true)
        });
        let server = server.expect("store does not start");
        let address = server.address;
        std::mem::forget(server);
        Self {
            address,
            state,
            is_down,
        }
    }

    /// Lets the store answer 503 to all calls, or answer again.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.state.1.notify_all();
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = lock(&self.state.0);
        state.ver += 1;
        let row = Row {
            value: Some(base64(value.as_bytes())),
            ver: state.ver,
        };
        state
            .rows
            .insert((table.into(), String::new(), key.into()), row);
        self.state.1.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = lock(&self.state.0);
        state.ver += 1;
        let ver = state.ver;
        let row = Row { value: None, ver };
        state
            .rows
            .insert((table.into(), String::new(), key.into()), row);
        self.state.1.notify_all();
    }

    /// Returns the number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let state = lock(&self.state.0);
        let rows = state.rows.iter();
        rows.filter(|(name, row)| name.0 == table && row.value.is_some())
            .count()
    }
}

fn answer_store(
    shared: &(Mutex<StoreState>, Condvar),
    down: &AtomicBool,
    start: Instant,
    request: &Request,
) -> (u16, String) {
    let now_ms = || start.elapsed().as_millis() + 1_000_000;
    let table = request.query("table").unwrap_or_default();
    match (request.method.as_str(), request.path()) {
        ("GET", "/rows-get") => {
            let from = request.query("from").unwrap_or_default();
            let part = request.query("part").unwrap_or_default();
            let state = lock(&shared.0);
            let rows = state.rows.iter().filter(|((t, p, key), row)| {
                *t == table && *p == part && *key >= from && row.value.is_some()
            });
            let rows = rows
                .map(|(name, row)| row_text(name, row))
                .collect::<Vec<_>>()
                .join(",");
            let ver = state.ver;
            let now_ms = now_ms();
            (
                200,
                format!(
                    "{{\"rows\":[{rows}],\"more_pages\":false,\"ver\":{ver},\"now_ms\":{now_ms}}}"
                ),
            )
        }
        ("GET", "/rows-feed") => {
            let since = request
                .query("since_revision")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0_u64);
            let wait_ms = request
                .query("wait_ms")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0_u64);
            let end = Instant::now() + Duration::from_millis(wait_ms);
            let mut state = lock(&shared.0);
            loop {
                if down.load(Ordering::SeqCst) {
                    return (503, String::new());
                }
                let mut rows: Vec<_> = state
                    .rows
                    .iter()
                    .filter(|(name, row)| name.0 == table && row.ver > since)
                    .collect();
                let left = end.saturating_duration_since(Instant::now());
                if !rows.is_empty() || left.is_zero() {
                    rows.sort_by_key(|(_, row)| row.ver);
                    let rows = rows.into_iter().map(|(name, row)| row_text(name, row));
                    let rows = rows.collect::<Vec<_>>().join(",");
                    let (ver, now_ms) = (state.ver, now_ms());
                    return (
                        200,
                        format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now_ms}}}"),
                    );
                }
                let waited = shared.1.wait_timeout(state, left);
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
        ("POST", "/rows-tx") => {
            let Some(body) = Json::parse(&request.body) else {
                return (400, String::new());
            };
            let none = Json::Null;
            let entries = |name: &str| body.get(name).unwrap_or(&none).list().to_vec();
            let name = |entry: &Json| -> RowName {
                let text = |name: &str| entry.get(name).map_or("", Json::text).to_owned();
                (text("table"), text("part"), text("key"))
            };
            let mut state = lock(&shared.0);
            let expected = entries("expected_revision");
            let is_met = expected.iter().all(|entry| {
                let row = state
                    .rows
                    .get(&name(entry))
                    .filter(|row| row.value.is_some());
                row.map_or(0, |row| row.ver) == entry.get("ver").map_or(0, Json::number)
            });
            if !is_met {
                let rows = expected.iter().filter_map(|entry| {
                    let name = name(entry);
                    let row = state.rows.get(&name).filter(|row| row.value.is_some())?;
                    Some(row_text(&name, row))
                });
                let rows = rows.collect::<Vec<_>>().join(",");
                let (ver, now_ms) = (state.ver, now_ms());
                return (
                    412,
                    format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now_ms}}}"),
                );
            }
            state.ver += 1;
            let ver = state.ver;
            for entry in entries("writes") {
                let value = entry.get("value").map(|value| value.text().to_owned());
                state.rows.insert(name(&entry), Row { value, ver });
            }
            for entry in entries("drop") {
                state.rows.insert(name(&entry), Row { value: None, ver });
            }
            shared.1.notify_all();
            (200, format!("{{\"ver\":{ver},\"now_ms\":{}}}", now_ms()))
        }
        _ => (404, String::new()),
    }
}

fn row_text((table, part, key): &RowName, row: &Row) -> String {
    let mut text = format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"ver\":{}",
        row.ver
    );
    match &row.value {
        Some(value) => write!(text, ",\"value\":\"{value}\"}}"),
        None => write!(text, ",\"deleted\":true}}"),
    }
    .expect("text grows");
    text
}

// The configuration and the entries of runners.

/// A configuration like that of the first site: two kinds of streams, unsafe and safe requests.
pub fn configuration(version: u64) -> String {
    configuration_with(version, 0)
}

/// Returns the same with further routes of resumable streams.
pub fn configuration_with(version: u64, further_routes: usize) -> String {
    let route = |name: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"service\":\"{service}\",\"public\":false,{rest}}}"
        )
    };
    let long = "\"timeout_ms\":39000,\"target_latency_ms\":1800,\"priority\":1,\"max_attempts\":1,\
                \"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":180";
    let short = "\"timeout_ms\":39000,\"target_latency_ms\":1500,\"priority\":0,\"max_attempts\":2,\
                 \"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":180";
    let plain = |attempts: u32| {
        format!(
            "\"timeout_ms\":6000,\"target_latency_ms\":100,\"priority\":2,\"max_attempts\":{attempts},\
             \"session_affinity\":false,\"resumable\":false"
        )
    };
    let mut routes = vec![
        route("long", "streaming", "engines", long),
        route("short", "streaming", "engines", short),
        route("write", "unsafe", "app", &plain(1)),
        route("read", "safe", "app", &plain(2)),
    ];
    routes.extend(
        (0..further_routes)
            .map(|number| route(&format!("more{number}"), "streaming", "engines", short)),
    );
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[\
         {{\"name\":\"engines\",\"health_path\":\"/health\",\"max_connections\":282,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":1.0,\"cold_per_s\":40.0,\"engine\":{{\"slots\":24,\"kv_capacity_tokens\":34472,\
         \"kv_token_bytes\":327680,\"link_mbps\":47000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false,\
         \"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"huka\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// The entry of a runner.
pub struct Entry<'a> {
    pub service: &'a str,
    pub address: SocketAddr,
    pub zone: &'a str,
    pub version: &'a str,
    pub state: &'a str,
    pub born: u64,
    pub sequence: u64,
}

impl Entry<'_> {
    pub fn text(&self) -> String {
        let slots = if self.service == "engines" { 24 } else { 6 };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{slots},\
             \"state\":\"{}\",\"cold_remaining_ms\":0,\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\
             \"adapters\":[]}}],\"sequence\":{},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.version,
            self.state,
            self.sequence,
            self.born
        )
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

// Nodes.

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// Option of `prctl` that names the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Folder of this run, which is removed at its end.
pub fn folder() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let name = format!("review-3-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("no temporary folder");
        folder
    })
}

/// Number of machines and memory that the settings state.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub memory_mb: u64,
}

/// A node, as a process.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Node {
    /// Starts a node with settings like those of a small deployment.
    pub fn start(machine: &Machine, store: &Store, is_first_start: bool) -> Self {
        let ip = next_host();
        let [front, ready, control] = [(); 3].map(|()| SocketAddr::from((ip, free_port(ip))));
        let Machine {
            name,
            zone,
            memory_mb,
        } = machine;
        let text = format!(
            "node: \"{name}\"\nrole: \"gateway\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"r\"\nzones:\n  zone-a: \"r\"\n  zone-b: \"r\"\n  zone-c: \"r\"\n\
             listen:\n  front: \"{front}\"\n  ready: \"{ready}\"\n  control: \"{control}\"\n\
             internal_ports:\n  - 7200\n  - 7215\nseeds: []\nbootstrap: {is_first_start}\nin_tolerance: false\n\
             limits:\n  cpu_share: 0.25\n  cores: 1\n  memory_mb: {memory_mb}\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n\
             data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n\
             contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"retry\"\n  - \"recover\"\n  - \"engine\"\n\
             \x20 - \"stream\"\n  - \"tenants\"\n  - \"places\"\n  - \"platform\"\n\
             fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n\
             bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n\
             \x20 grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  outer_ms: 5000\n\
             \x20 strict_revocation: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 58\n\
             \x20 cold_over: 1.5\n  cold_slack: 5\n  evacuate_ms: 5000\n  recover_s: 12\n  pass_ms: 120\n  again_s: 4.4\n\
             provider:\n  address: \"{}\"\n  form: \"table\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  tx_ms: 5.0\n\
             \x20 part_writes_s: 200\n  row_bytes: 65536\n  across: false\n  history_s: 20\n  blob_bytes: 8388608\n  blob_ms: 25.0\n\
             \x20 blob_mb_s: 80.0\n",
            store.address
        );
        let settings = folder().join(format!("{name}.yaml"));
        std::fs::write(&settings, text).expect("settings not written");
        let child = launch(name, &settings);
        Self {
            name: name.clone(),
            front,
            ready,
            settings,
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.ready) else {
            return false;
        };
        let sent = connection.send("GET", "/ready", "ready", 1_000, "", b"");
        sent.is_ok() && connection.read(|_| true).status == 200
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings file, as the platform does after an end.
    pub fn restart(&mut self) {
        let text = std::fs::read_to_string(&self.settings).expect("settings not read");
        let text = text.replace("bootstrap: true", "bootstrap: false");
        std::fs::write(&self.settings, text).expect("settings not written");
        self.child = launch(&self.name, &self.settings);
    }

    /// Returns the memory that the process has in use, in KiB; `None` once it has ended.
    pub fn memory_kib(&self) -> Option<u64> {
        memory_kib(self.child.id())
    }
}

/// Returns the memory that a process has in use, in KiB.
pub fn memory_kib(pid: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn launch(name: &str, settings: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(folder().join(format!("{name}.log")))
        .expect("no log file");
    let errors = log.try_clone().expect("no log file");
    let mut command = Command::new(PROGRAM);
    command
        .arg("gateway")
        .env("FILBERTPADDLE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors);
    // SAFETY: the call sets an attribute of the new process and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PARENT_DEATH_SIGNAL, SIGKILL as u64);
            Ok(())
        });
    }
    command.spawn().unwrap_or_else(|error| {
        println!("cannot start {PROGRAM}: {error}");
        std::process::exit(NOT_RUN);
    })
}

/// Starts nodes and waits until all are ready; ends the script if they are not in time.
pub fn start_nodes(machines: &[Machine], store: &Store, record: &Record) -> Vec<Node> {
    let nodes: Vec<_> = machines
        .iter()
        .map(|machine| Node::start(machine, store, true))
        .collect();
    let are_ready = wait_for(15_000, || nodes.iter().all(Node::is_ready));
    // The nodes read the list of each other within three seconds.
    sleep_ms(3_000);
    if !are_ready || store.count("nodes") < nodes.len() {
        drop(nodes);
        record.end("the nodes did not become ready", NOT_RUN);
    }
    record.add(&format!("{} nodes are ready", nodes.len()));
    nodes
}

/// Removes the folder of this run, unless KEEP_LOGS is set.
pub fn clean_up() {
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(folder());
    }
}

pub fn machine(name: &str, zone: &str) -> Machine {
    Machine {
        name: name.to_owned(),
        zone: zone.to_owned(),
        memory_mb: 110,
    }
}
