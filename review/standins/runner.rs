//! Stand-in of a runner: health, report, plain answers and streams of events.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Head;
use crate::http::Reader;
use crate::json::Json;
use crate::record::Record;

/// Number of output tokens in one event.
pub const EVENT_TOKENS: u64 = 4;
/// Filling of an event, which makes it about 240 bytes long.
const EVENT_PADDING: usize = 210;

/// What a runner does with a request that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answers it: with a stream if the request states its tokens.
    Serve,
    /// Answers with this status line after it has worked on it, with its proof.
    FailAfterRun(&'static str),
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub runner: String,
    /// Whether the runner has written its whole answer.
    pub is_done: bool,
    /// Time of the last event or of the end.
    pub last_ms: u64,
    /// Whether it goes on from a copy.
    pub is_moved: bool,
    /// Last event made; `None` before the first and after the end.
    pub events: Option<u64>,
    /// Whether a move has stopped it.
    pub is_stopped: bool,
}

/// The runs and copies at all runners; clones share them.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>, Arc<Mutex<Vec<Copy>>>);

/// Copy of a request's memory.
struct Copy {
    /// Address of the source and handle.
    name: String,
    id: String,
    /// Address of the runner that holds it.
    to: String,
}

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("runs").clone()
    }

    pub fn of(&self, id: &str) -> Vec<Run> {
        self.all().into_iter().filter(|run| run.id == id).collect()
    }

    fn add(&self, run: Run) -> usize {
        let mut runs = self.0.lock().expect("runs");
        runs.push(run);
        runs.len() - 1
    }

    /// Records an event, or the end.
    fn update(&self, index: usize, at_ms: u64, event: Option<u64>) {
        let run = &mut self.0.lock().expect("runs")[index];
        run.last_ms = at_ms;
        run.is_done = event.is_none();
        run.events = event;
    }

    fn is_stopped(&self, index: usize) -> bool {
        self.0.lock().expect("runs")[index].is_stopped
    }

    /// Returns the last event that a runner has made of a running request.
    fn events_at(&self, id: &str, runner: &str) -> Option<u64> {
        let runs = self.0.lock().expect("runs");
        let found = runs
            .iter()
            .rev()
            .find(|run| run.id == id && run.runner == runner);
        found?.events
    }

    fn stop(&self, id: &str, runner: &str) {
        let mut runs = self.0.lock().expect("runs");
        let found = runs
            .iter_mut()
            .rev()
            .find(|run| run.id == id && run.runner == runner);
        if let Some(run) = found {
            run.is_stopped = true;
        }
    }

    fn add_copy(&self, name: &str, id: &str, to: &str) {
        self.1.lock().expect("copies").push(Copy {
            name: name.to_owned(),
            id: id.to_owned(),
            to: to.to_owned(),
        });
    }

    /// Uses up a copy; returns whether it is there and of this request.
    fn take_copy(&self, name: &str, id: &str, to: &str) -> bool {
        let mut copies = self.1.lock().expect("copies");
        let found = copies
            .iter()
            .position(|copy| copy.name == name && copy.id == id && copy.to == to);
        found.map(|index| copies.remove(index)).is_some()
    }
}

/// Properties of a runner.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub ip: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
    /// Time until the first event, and between events.
    pub first_ms: u64,
    pub event_ms: u64,
    /// Time that a plain request takes.
    pub work_ms: u64,
    /// Whether it drops a request when its connection closes, as most runners do.
    pub drops_closed: bool,
}

/// A running runner.
#[derive(Clone)]
pub struct Runner {
    pub address: SocketAddr,
    pub options: Options,
    runs: Runs,
    record: Record,
    choose: Arc<dyn Fn(&Head) -> Action + Send + Sync>,
}

impl Runner {
    /// Starts a runner; `choose` decides what it does with a request.
    pub fn start<F>(options: Options, runs: &Runs, record: &Record, choose: F) -> Self
    where
        F: Fn(&Head) -> Action + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((options.ip.as_str(), 0)).expect("runner cannot listen");
        let address = listener.local_addr().expect("runner has no address");
        let runner = Self {
            address,
            options,
            runs: runs.clone(),
            record: record.clone(),
            choose: Arc::new(choose),
        };
        let served = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = served.clone();
                thread::spawn(move || runner.serve(stream).ok());
            }
        });
        runner
    }

    /// Returns its entry in the store.
    pub fn entry(&self, state: &str) -> String {
        let Options {
            service,
            zone,
            slots,
            born,
            ..
        } = &self.options;
        let address = self.address;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"stage\":\"unified\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{born}}}"
        )
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            let body = reader.request_body(&head)?;
            if !self.answer(&head, &body, &mut reader.stream)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers a request; returns whether the connection stays.
    fn answer(&self, head: &Head, body: &[u8], stream: &mut TcpStream) -> io::Result<bool> {
        let id = &self.options.id;
        let path = head.word(1);
        if path == "/health" {
            let headers = format!("Filbertpaddle-Instance-Id: {id}\r\n");
            http::respond(stream, "200 OK", &headers, b"")?;
            return Ok(true);
        }
        if path == "/report" {
            let report = "{\"stage\":\"unified\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\
                 \"busy\":false,\"sequence\":1,\"waiting\":0,\"running\":1,\"kv_used\":1000,\
                 \"kv_total\":34393,\"handles\":0,\"state\":\"ready\",\"born\":1}";
            let headers = "Content-Type: application/json\r\n";
            http::respond(stream, "200 OK", headers, report.as_bytes())?;
            return Ok(true);
        }
        if path == "/kv-move" {
            return self.copy(body, stream);
        }
        if path.starts_with("/kv-handle/") {
            http::respond(stream, "200 OK", "", b"")?;
            return Ok(true);
        }
        let expected = head.header("filbertpaddle-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let headers = format!("Filbertpaddle-Instance-Id: {id}\r\n");
            http::respond(stream, "421 Misdirected Request", &headers, b"")?;
            return Ok(true);
        }
        let Some(attempt) = head.header("filbertpaddle-attempt-id") else {
            let headers = "Filbertpaddle-Not-Executed: 1\r\n";
            http::respond(stream, "400 Bad Request", headers, b"")?;
            return Ok(true);
        };
        self.run(head, attempt, stream)
    }

    /// Copies the memory of a running request to another runner; with `last`, stops it first.
    fn copy(&self, body: &[u8], stream: &mut TcpStream) -> io::Result<bool> {
        let call = Json::parse(&String::from_utf8_lossy(body));
        let field = |name: &str| Some(call.as_ref()?.get(name)?.text()?.to_owned());
        let id = field("id").unwrap_or_default();
        let to = field("to").unwrap_or_default();
        let is_last = call.as_ref().and_then(|call| call.get("last")) == Some(&Json::Bool(true));
        let made = self.runs.events_at(&id, &self.options.id);
        let Some(made) = made else {
            http::respond(stream, "404 Not Found", "", b"")?;
            return Ok(true);
        };
        if is_last {
            self.runs.stop(&id, &self.options.id);
        }
        thread::sleep(Duration::from_millis(20));
        let handle = format!("h-{id}-{made}");
        self.runs
            .add_copy(&format!("{}/{handle}", self.address), &id, &to);
        let own = &self.options.id;
        self.record.add(&format!(
            "runner {own} has copied {id} to {to}, {made} events made, last: {is_last}"
        ));
        let answer = format!("{{\"handle\":\"{handle}\",\"created_rev\":{made}}}");
        http::respond(
            stream,
            "200 OK",
            "Content-Type: application/json\r\n",
            answer.as_bytes(),
        )?;
        Ok(true)
    }

    fn run(&self, head: &Head, attempt: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let id = &self.options.id;
        let at_ms = self.record.now_ms();
        let from = head.header("kv-from");
        if let Some(from) = from
            && !self
                .runs
                .take_copy(from, attempt, &self.address.to_string())
        {
            let headers = "Filbertpaddle-Not-Executed: 1\r\n";
            http::respond(stream, "503 Service Unavailable", headers, b"")?;
            return Ok(true);
        }
        let action = (self.choose)(head);
        let index = self.runs.add(Run {
            at_ms,
            id: attempt.to_owned(),
            runner: id.clone(),
            is_done: false,
            last_ms: at_ms,
            is_moved: from.is_some(),
            events: None,
            is_stopped: false,
        });
        let how = from.map_or(String::new(), |from| {
            format!(", going on from the copy {from}")
        });
        self.record.add(&format!("runner {id} runs {attempt}{how}"));
        let proof = format!(
            "Filbertpaddle-Attempt-Id: {attempt}\r\nFilbertpaddle-Response-Seal: seal-{id}-{attempt}\r\n"
        );
        let made = |event| self.runs.update(index, self.record.now_ms(), event);
        match action {
            Action::FailAfterRun(status) => {
                thread::sleep(Duration::from_millis(self.options.work_ms));
                made(None);
                self.record.add(&format!(
                    "runner {id} has worked on {attempt} and answers {status}"
                ));
                http::respond(stream, status, &proof, b"failed\n")?;
                return Ok(true);
            }
            Action::Serve => {}
        }
        let Some(tokens) = head.header("filbertpaddle-token-count") else {
            thread::sleep(Duration::from_millis(self.options.work_ms));
            http::respond(
                stream,
                "200 OK",
                &proof,
                format!("answer to {attempt}").as_bytes(),
            )?;
            made(None);
            return Ok(true);
        };
        let output = tokens
            .split(',')
            .nth(1)
            .and_then(|text| text.trim().parse::<u64>().ok());
        let events = output.unwrap_or(0) / EVENT_TOKENS;
        let last: u64 = head
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let is_stopped = || self.runs.is_stopped(index);
        let sent = self.stream(
            &proof,
            attempt,
            last + 1..=events,
            stream,
            &made,
            &is_stopped,
        );
        match &sent {
            Ok(()) => self.record.add(&format!(
                "runner {id} has sent all {events} events of {attempt}"
            )),
            Err(_) => self.record.add(&format!("runner {id} stops {attempt}")),
        }
        sent.map(|()| true)
    }

    fn stream<F, S>(
        &self,
        proof: &str,
        attempt: &str,
        events: std::ops::RangeInclusive<u64>,
        stream: &mut TcpStream,
        made: &F,
        is_stopped: &S,
    ) -> io::Result<()>
    where
        F: Fn(Option<u64>),
        S: Fn() -> bool,
    {
        thread::sleep(Duration::from_millis(self.options.first_ms));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{proof}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let is_fatal = self.options.drops_closed;
        let check = |sent: io::Result<()>| if is_fatal { sent } else { Ok(()) };
        check(stream.write_all(head.as_bytes()))?;
        for event in events {
            if is_stopped() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!(
                "id: {event}\ndata: {attempt} {event} {:.<width$}\n\n",
                "",
                width = EVENT_PADDING
            );
            check(http::chunk(stream, text.as_bytes()))?;
            made(Some(event));
            thread::sleep(Duration::from_millis(self.options.event_ms));
        }
        made(None);
        check(stream.write_all(b"0\r\n\r\n"))
    }
}
