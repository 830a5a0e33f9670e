//! A sound model runner: streams of events, its report, and copies of running requests.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::lab::{self, Entry, Json, Record, Request, Server, Store, lock, sleep_ms};

/// Output tokens of an event.
const STRIDE: u64 = 4;
/// Part of a prompt that crashes each engine that begins to write an answer on it.
pub const BAD_PART: &str = "badbad00";
/// Interval at which a running request looks whether it has to stop.
const LOOK_MS: u64 = 10;

/// Copies of requests at all engines, by `ADDRESS/HANDLE` of the engine that made them.
pub type Copies = Arc<Mutex<BTreeMap<String, Copy>>>;

#[derive(Clone, Debug)]
pub struct Copy {
    attempt: String,
    at: Vec<SocketAddr>,
}

/// A run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub engine: String,
    pub version: String,
    pub began_ms: u64,
    /// End of its work; `None` while it goes on.
    pub ended_ms: Option<u64>,
    /// Number of events that it has made.
    pub events: u64,
    /// Whether it went on from a copy of the same request.
    pub is_copy: bool,
}

/// All runs of a deployment.
pub type Runs = Arc<Mutex<Vec<Run>>>;

#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub zone: String,
    pub version: String,
    pub born: u64,
    /// Time from a request to its first event, and between two events.
    pub first_ms: u64,
    pub event_ms: u64,
    /// Difference of the IDs of two events.
    pub id_step: u64,
    /// Whether a request is dropped when its connection closes, as most runners do.
    pub drops_closed: bool,
}

struct Shared {
    options: Options,
    address: Mutex<Option<SocketAddr>>,
    copies: Copies,
    runs: Runs,
    record: Record,
    /// Requests that have been ordered to stop, by attempt.
    stopped: Mutex<Vec<String>>,
    is_down: AtomicBool,
    handles: AtomicUsize,
    /// Spoils each stream whose number, counted from 10, is a multiple of this; 0 for none.
    spoils_each: AtomicUsize,
    spoils_heads: AtomicBool,
    arrivals: AtomicUsize,
    /// Whether a request has made it crash.
    has_to_crash: AtomicBool,
}

/// A running engine.
pub struct Engine {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
}

impl Engine {
    /// Starts an engine at an address; the port may be 0.
    pub fn start(
        address: SocketAddr,
        options: Options,
        copies: &Copies,
        runs: &Runs,
        record: &Record,
    ) -> Self {
        let shared = Arc::new(Shared {
            options,
            address: Mutex::new(None),
            copies: Arc::clone(copies),
            runs: Arc::clone(runs),
            record: record.clone(),
            stopped: Mutex::default(),
            is_down: AtomicBool::new(false),
            handles: AtomicUsize::new(0),
            spoils_each: AtomicUsize::new(0),
            spoils_heads: AtomicBool::new(false),
            arrivals: AtomicUsize::new(0),
            has_to_crash: AtomicBool::new(false),
        });
        let own = Arc::clone(&shared);
        let server = Server::start(address, move |request, out| own.answer(request, out));
        let server = server.expect("engine does not start");
        let address = server.address;
        *lock(&shared.address) = Some(address);
        Self {
            address,
            shared,
            server,
        }
    }

    /// Writes its entry to the store.
    pub fn check_in(&self, store: &Store, sequence: u64) {
        let options = &self.shared.options;
        let entry = Entry {
            service: "engines",
            address: self.address,
            zone: &options.zone,
            version: &options.version,
            state: "ready",
            born: options.born,
            sequence,
        };
        store.put("servers", &options.id, &entry.text());
    }

    /// Lets it send bytes that are no answer in one of so many streams: in the place of the head, or
    /// of the third event.
    pub fn spoil_each(&self, streams: usize, spoils_heads: bool) {
        self.shared
            .spoils_heads
            .store(spoils_heads, Ordering::SeqCst);
        self.shared.spoils_each.store(streams, Ordering::SeqCst);
    }

    /// Returns whether a request has made it crash; the caller ends it.
    pub fn has_to_crash(&self) -> bool {
        self.shared.has_to_crash.load(Ordering::SeqCst)
    }

    pub fn id(&self) -> &str {
        &self.shared.options.id
    }

    pub fn arrivals(&self) -> usize {
        self.shared.arrivals.load(Ordering::SeqCst)
    }

    /// Crashes.
    pub fn crash(&self) {
        self.shared.is_down.store(true, Ordering::SeqCst);
        self.server.stop();
        self.shared
            .record
            .add(&format!("{}: crashes", self.shared.options.id));
    }
}

impl Shared {
    fn answer(&self, request: &Request, out: &mut TcpStream) -> io::Result<bool> {
        match (request.method.as_str(), request.path()) {
            ("GET", "/report") => {
                let running = lock(&self.runs)
                    .iter()
                    .filter(|run| run.engine == self.options.id && run.ended_ms.is_none())
                    .count();
                let body = format!(
                    "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                     \"sequence\":1,\"waiting\":0,\"running\":{running},\"kv_used\":0,\"kv_total\":34472,\"handles\":0,\
                     \"state\":\"ready\",\"born\":{}}}",
                    self.options.born
                );
                lab::respond(
                    out,
                    200,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )?;
                Ok(true)
            }
            ("GET", "/health") => {
                let headers = format!("Filbertpaddle-Instance-Id: {}\r\n", self.options.id);
                lab::respond(out, 200, &headers, b"")?;
                Ok(true)
            }
            ("POST", "/kv-move") => self.move_out(request, out),
            ("DELETE", path) if path.starts_with("/kv-handle/") => {
                lab::respond(out, 200, "", b"")?;
                Ok(true)
            }
            _ => self.run(request, out),
        }
    }

    /// Copies a running request to another engine; with `last`, it stops first.
    fn move_out(&self, request: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let attempt = body.get("id").map_or("", Json::text).to_owned();
        let to = body.get("to").map_or("", Json::text).parse::<SocketAddr>();
        let is_last = body.get("last") == Some(&Json::Bool(true));
        let events = {
            let runs = lock(&self.runs);
            let mut own = runs.iter().rev();
            own.find(|run| {
                run.attempt == attempt && run.engine == self.options.id && run.ended_ms.is_none()
            })
            .map(|run| run.events)
        };
        let (Some(events), Ok(to)) = (events, to) else {
            self.record.add(&format!(
                "{}: {attempt} does not run here (kv-move)",
                self.options.id
            ));
            lab::respond(out, 404, "", b"")?;
            return Ok(true);
        };
        let own = lock(&self.address).expect("engine has an address");
        let mut at = vec![to];
        if is_last {
            lock(&self.stopped).push(attempt.clone());
            at.push(own);
        }
        let handle = format!("h{}", self.handles.fetch_add(1, Ordering::SeqCst) + 1);
        lock(&self.copies).insert(
            format!("{own}/{handle}"),
            Copy {
                attempt: attempt.clone(),
                at,
            },
        );
        self.record.add(&format!(
            "{}: {attempt} copied (last: {is_last})",
            self.options.id
        ));
        let body = format!("{{\"handle\":\"{handle}\",\"created_rev\":{events}}}");
        lab::respond(
            out,
            200,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )?;
        Ok(true)
    }

    fn run(&self, request: &Request, out: &mut TcpStream) -> io::Result<bool> {
        let id = &self.options.id;
        if request
            .header("filbertpaddle-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            lab::respond(
                out,
                421,
                &format!("Filbertpaddle-Instance-Id: {id}\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        let arrival = self.arrivals.fetch_add(1, Ordering::SeqCst);
        let spoils_each = self.spoils_each.load(Ordering::SeqCst);
        let is_spoilt = spoils_each > 0 && arrival >= 10 && (arrival - 10) % spoils_each == 0;
        let attempt = request.attempt().to_owned();
        let mut is_copy = false;
        if let Some(from) = request.header("kv-from") {
            let own = lock(&self.address).expect("engine has an address");
            let mut copies = lock(&self.copies);
            let found = copies
                .get(from)
                .filter(|copy| copy.attempt == attempt && copy.at.contains(&own));
            is_copy = found.is_some();
            copies.remove(from);
            if !is_copy {
                drop(copies);
                lab::respond(out, 503, "Filbertpaddle-Not-Executed: 1\r\n", b"")?;
                return Ok(true);
            }
        }
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse::<u64>().ok());
        let step = self.options.id_step;
        let first = after.map_or(1, |last| last / step + 1);
        let tokens = request.header("filbertpaddle-token-count").unwrap_or("0,0");
        let output: u64 = tokens
            .split(',')
            .nth(1)
            .and_then(|text| text.trim().parse().ok())
            .unwrap_or(0);
        let last = output / STRIDE;
        lock(&self.stopped).retain(|stopped| *stopped != attempt);
        let number = {
            let mut runs = lock(&self.runs);
            runs.push(Run {
                attempt: attempt.clone(),
                engine: id.clone(),
                version: self.options.version.clone(),
                began_ms: self.record.ms(),
                ended_ms: None,
                events: first - 1,
                is_copy,
            });
            runs.len() - 1
        };
        self.record.add(&format!(
            "{id} ({}): {attempt} runs from event {first} to {last}{}",
            self.options.version,
            if is_copy { ", from a copy" } else { "" }
        ));
        let result = {
            let parts = request.header("filbertpaddle-prompt-prefix").unwrap_or("");
            let is_bad = parts.contains(BAD_PART);
            self.generate(number, &attempt, (first, last), (is_spoilt, is_bad), out)
        };
        let ended_ms = self.record.ms();
        let mut runs = lock(&self.runs);
        runs[number].ended_ms = Some(ended_ms);
        let events = runs[number].events;
        drop(runs);
        let end = result.as_ref().map_or("lost its connection", |end| end);
        self.record
            .add(&format!("{id}: {attempt} ends after event {events}: {end}"));
        Ok(matches!(result, Ok("complete")))
    }

    /// Makes the events of a run; returns how it ended.
    fn generate(
        &self,
        number: usize,
        attempt: &str,
        (first, last): (u64, u64),
        (spoils, is_bad): (bool, bool),
        out: &mut TcpStream,
    ) -> io::Result<&'static str> {
        let id = &self.options.id;
        let mut is_open = true;
        let mut is_spoilt = false;
        let spoilt_event = match self.spoils_heads.load(Ordering::SeqCst) {
            true => first,
            false => first + 2,
        };
        for event in first..=last {
            let wait_ms = if event == first {
                self.options.first_ms
            } else {
                self.options.event_ms
            };
            let end = Instant::now() + Duration::from_millis(wait_ms);
            while Instant::now() < end {
                sleep_ms(LOOK_MS.min(wait_ms));
                if self.is_down.load(Ordering::SeqCst) {
                    return Ok("crashed");
                }
                if lock(&self.stopped).iter().any(|stopped| stopped == attempt) {
                    return Ok("stopped by an order");
                }
                if is_open && lab::is_closed(out) {
                    is_open = false;
                    self.record
                        .add(&format!("{id}: {attempt}: the connection was closed"));
                    if self.options.drops_closed {
                        return Ok("dropped, as its connection was closed");
                    }
                }
            }
            if is_bad {
                self.has_to_crash.store(true, Ordering::SeqCst);
                while !self.is_down.load(Ordering::SeqCst) {
                    sleep_ms(1);
                }
                return Ok("crashed by the request");
            }
            lock(&self.runs)[number].events = event;
            if !is_open || is_spoilt {
                continue;
            }
            if spoils && event == spoilt_event {
                self.record.add(&format!(
                    "{id}: {attempt}: sends bytes that are no answer, and works on"
                ));
                out.write_all(b"\x00\x13#!garbled bytes\r\n\r\n")?;
                is_spoilt = true;
                continue;
            }
            if event == first {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nFilbertpaddle-Attempt-Id: {attempt}\r\nFilbertpaddle-Response-Seal: {id}.{attempt}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                out.write_all(head.as_bytes())?;
            }
            let text = format!(
                "id: {}\ndata: {} {attempt}\n\n",
                event * self.options.id_step,
                self.options.version
            );
            lab::write_chunk(out, text.as_bytes())?;
        }
        if !is_open || is_spoilt {
            return Ok("complete, and nobody to send it to");
        }
        lab::write_chunk(out, b"")?;
        Ok("complete")
    }
}
