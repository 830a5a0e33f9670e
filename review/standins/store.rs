//! Stand-in of the platform's store: rows in tables, reads, feeds and unconditional writes.

use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Reader;
use crate::json::Json;
use crate::json::base64;
use crate::json::from_base64;

/// A row; `value` is `None` once it is dropped.
#[derive(Clone, Debug)]
struct Row {
    value: Option<Vec<u8>>,
    ver: u64,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    ver: u64,
}

/// The running store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    /// Whether it no longer answers at its address.
    is_closed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    state: Mutex<State>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn start(ip: &str) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("store cannot listen");
        let address = listener.local_addr().expect("store has no address");
        let shared = Arc::new(Shared {
            is_closed: AtomicBool::new(false),
            connections: Mutex::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
            start: Instant::now(),
        });
        let store = Self { address, shared };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.shared.is_closed.load(Ordering::SeqCst) {
                    break;
                }
                let store = served.clone();
                if let Ok(other) = stream.try_clone() {
                    store.shared.connections.lock().expect("store").push(other);
                }
                thread::spawn(move || store.serve(stream).ok());
            }
        });
        store
    }

    /// Moves the store to a new address: all rows and versions are there, and nothing answers at
    /// the former address any more.
    pub fn move_to(&self, ip: &str) -> Self {
        let moved = Self::start(ip);
        let state = self.shared.state.lock().expect("store");
        let mut new = moved.shared.state.lock().expect("store");
        new.rows = state.rows.clone();
        new.ver = state.ver;
        drop(new);
        drop(state);
        self.shared.is_closed.store(true, Ordering::SeqCst);
        TcpStream::connect(self.address).ok();
        for connection in self.shared.connections.lock().expect("store").drain(..) {
            connection.shutdown(Shutdown::Both).ok();
        }
        moved
    }

    /// Writes a row, as the operator and the runners do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.set(table, key, Some(value.as_bytes().to_vec()));
    }

    fn set(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = self.shared.state.lock().expect("store");
        state.ver += 1;
        let ver = state.ver;
        let name = (table.to_owned(), key.to_owned());
        state.rows.insert(name, Row { value, ver });
        self.shared.changed.notify_all();
    }

    fn now_ms(&self) -> u128 {
        1_000 + self.shared.start.elapsed().as_millis()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            let body = reader.request_body(&head)?;
            let target = head.word(1).to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let answer = match path {
                "/rows-get" => Some(self.get(query)),
                "/rows-feed" => Some(self.feed(query)),
                "/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => None,
            };
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            match answer {
                Some(json) => {
                    http::respond(&mut reader.stream, "200 OK", headers, json.as_bytes())?
                }
                None => http::respond(&mut reader.stream, "400 Bad Request", headers, b"")?,
            }
        }
        Ok(())
    }

    fn get(&self, query: &str) -> String {
        let table = parameter(query, "table");
        let state = self.shared.state.lock().expect("store");
        let rows = state
            .rows
            .iter()
            .filter(|((name, _), row)| *name == table && row.value.is_some());
        let rows: Vec<_> = rows
            .map(|((_, key), row)| row_json(&table, key, row))
            .collect();
        self.answer(&state, &rows, ",\"more_pages\":false")
    }

    fn feed(&self, query: &str) -> String {
        let table = parameter(query, "table");
        let since: u64 = parameter(query, "since_revision").parse().unwrap_or(0);
        let wait_ms: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.shared.state.lock().expect("store");
        loop {
            let rows = state.rows.iter();
            let mut rows: Vec<_> = rows
                .filter(|((name, _), row)| *name == table && row.ver > since)
                .collect();
            rows.sort_by_key(|(_, row)| row.ver);
            let now = Instant::now();
            if !rows.is_empty() || now >= deadline {
                let rows = rows.into_iter();
                let rows: Vec<_> = rows
                    .map(|((_, key), row)| row_json(&table, key, row))
                    .collect();
                return self.answer(&state, &rows, "");
            }
            let waited = self.shared.changed.wait_timeout(state, deadline - now);
            state = waited.expect("store").0;
        }
    }

    fn transact(&self, body: &str) -> Option<String> {
        let call = Json::parse(body)?;
        for row in call.get("writes")?.list() {
            let value = from_base64(row.get("value")?.text()?)?;
            self.set(
                row.get("table")?.text()?,
                row.get("key")?.text()?,
                Some(value),
            );
        }
        for row in call.get("drop")?.list() {
            self.set(row.get("table")?.text()?, row.get("key")?.text()?, None);
        }
        let state = self.shared.state.lock().expect("store");
        Some(self.answer(&state, &[], ""))
    }

    fn answer(&self, state: &State, rows: &[String], more: &str) -> String {
        let rows = rows.join(",");
        let (ver, now_ms) = (state.ver, self.now_ms());
        format!("{{\"rows\":[{rows}]{more},\"ver\":{ver},\"now_ms\":{now_ms}}}")
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    let start = format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\"");
    match &row.value {
        Some(value) => format!(
            "{start},\"value\":\"{}\",\"ver\":{}}}",
            base64(value),
            row.ver
        ),
        None => format!("{start},\"ver\":{},\"deleted\":true}}", row.ver),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut found = pairs.filter(|(key, _)| *key == name);
    found
        .next()
        .map_or(String::new(), |(_, value)| value.to_owned())
}
