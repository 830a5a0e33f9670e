//! Clients that send bodies of the size that the configuration allows, at a machine of 110 MB.

mod lab;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lab::{Connection, Entry, Machine, Record, Request, Server, Store, lock, sleep_ms};

/// Size of a body: `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Time from a request to the first event at a sound server: under the aim of 1,800 ms.
const FIRST_EVENT_MS: u64 = 700;
const EVENTS: u64 = 18;
const EVENT_MS: u64 = 100;
/// Time between two requests without and with the burst, which is 1.7 times the traffic.
const CALM_MS: u64 = 136;
const BURST_MS: u64 = 80;
/// Time of the traffic; the burst lasts its last three seconds.
const CALM_TIME_MS: u64 = 6_000;
const BURST_TIME_MS: u64 = 3_000;

fn main() {
    let record = Record::create();
    let store = Store::start();
    let begun = Arc::new(Mutex::new(Vec::new()));
    let mut servers = Vec::new();
    for number in 0..12 {
        let (log, begun) = (record.clone(), Arc::clone(&begun));
        let id = format!("engine-{number}");
        let own = id.clone();
        let server = Server::start((lab::next_host(), 0).into(), move |request, out| {
            serve(&own, request, out, &log, &begun)
        });
        let server = server.expect("server does not start");
        let entry = Entry {
            service: "engines",
            address: server.address,
            zone: "zone-a",
            version: "v1",
            state: "ready",
            born: lab::unix_ms(),
            sequence: 1,
        };
        store.put("servers", &id, &entry.text());
        servers.push(server);
    }
    let app = Server::start((lab::next_host(), 0).into(), |request, out| {
        let headers = format!(
            "Filbertpaddle-Attempt-Id: {}\r\nFilbertpaddle-Response-Seal: seal-app\r\n",
            request.attempt()
        );
        lab::respond(out, 200, &headers, b"nothing new")?;
        Ok(true)
    });
    let app = app.expect("server does not start");
    let entry = Entry {
        service: "app",
        address: app.address,
        zone: "zone-a",
        version: "v1",
        state: "ready",
        born: lab::unix_ms(),
        sequence: 1,
    };
    store.put("servers", "app-0", &entry.text());
    store.put("op", "config", &lab::configuration(7));
    let machine = Machine {
        memory_mb: 110,
        ..lab::machine("front-1", "zone-a")
    };
    let mut nodes = lab::start_nodes(&[machine], &store, &record);
    let node = nodes.remove(0);
    let front = node.front;
    let idle_kib = node.memory_kib().unwrap_or(0);
    record.add(&format!(
        "front-1 uses {} MB, of 110 MB that it has",
        idle_kib / 1_024
    ));

    // The platform kills a process that exceeds its memory.
    let killed = Arc::new(AtomicBool::new(false));
    let has_ended = Arc::new(AtomicBool::new(false));
    let peak_kib = Arc::new(AtomicUsize::new(0));
    let node = Arc::new(Mutex::new(node));
    let platform = {
        let (node, killed, peak_kib) = (
            Arc::clone(&node),
            Arc::clone(&killed),
            Arc::clone(&peak_kib),
        );
        let (record, has_ended) = (record.clone(), Arc::clone(&has_ended));
        thread::spawn(move || {
            while !has_ended.load(Ordering::SeqCst) {
                let Some(kib) = lock(&node).memory_kib() else {
                    return;
                };
                peak_kib.fetch_max(kib as usize, Ordering::SeqCst);
                if kib > 110 * 1_024 {
                    record.add(&format!(
                        "platform: front-1 uses {} MB, more than 110 MB: killed",
                        kib / 1_024
                    ));
                    killed.store(true, Ordering::SeqCst);
                    lock(&node).kill();
                    return;
                }
                sleep_ms(10);
            }
        })
    };

    let results = Arc::new(Mutex::new(Vec::new()));
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let start = Instant::now();
    let mut clients = Vec::new();
    while !killed.load(Ordering::SeqCst) {
        let elapsed_ms = start.elapsed().as_millis() as u64;
        if elapsed_ms > CALM_TIME_MS + BURST_TIME_MS {
            break;
        }
        let is_burst = lab::has_trouble() && elapsed_ms > CALM_TIME_MS;
        let (record, results, body) = (record.clone(), Arc::clone(&results), Arc::clone(&body));
        clients.push(thread::spawn(move || {
            let attempt = format!("a{:015x}", lab::unique());
            record.add(&format!(
                "client: {attempt} is sent, 39000 ms, {} bytes, to {front}",
                body.len()
            ));
            let outcome = send(front, &attempt, &body);
            record.add(&format!("client: {attempt} {outcome}"));
            lock(&results).push((attempt, outcome));
        }));
        sleep_ms(if is_burst { BURST_MS } else { CALM_MS });
    }
    for client in clients {
        let _ = client.join();
    }
    has_ended.store(true, Ordering::SeqCst);
    let _ = platform.join();
    lock(&node).kill();
    let begun = lock(&begun).clone();
    let results = lock(&results).clone();
    let lost = results
        .iter()
        .filter(|(attempt, outcome)| {
            outcome == "closed without an answer" && begun.contains(attempt)
        })
        .count();
    let whole = results
        .iter()
        .filter(|(_, outcome)| outcome == "200 whole")
        .count();
    let text = format!(
        "{} requests on kept connections: {whole} whole answers, {lost} that ran and whose connection was closed without an \
         answer; peak {} MB",
        results.len(),
        peak_kib.load(Ordering::SeqCst) / 1_024
    );
    let code = i32::from(lost > 3);
    record.end(&text, code);
}

/// Serves a stream as a sound server does.
fn serve(
    id: &str,
    request: &Request,
    out: &mut TcpStream,
    record: &Record,
    begun: &Mutex<Vec<String>>,
) -> std::io::Result<bool> {
    if request.header("filbertpaddle-expect-instance") != Some(id) {
        lab::respond(out, 421, "", b"")?;
        return Ok(true);
    }
    let attempt = request.attempt().to_owned();
    record.add(&format!(
        "{id}: {attempt} runs, body of {} bytes",
        request.body.len()
    ));
    lock(begun).push(attempt.clone());
    let end = Instant::now() + Duration::from_millis(FIRST_EVENT_MS);
    while Instant::now() < end {
        sleep_ms(20);
        if lab::is_closed(out) {
            record.add(&format!(
                "{id}: {attempt} dropped, its connection was closed"
            ));
            return Ok(false);
        }
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nFilbertpaddle-Attempt-Id: {attempt}\r\nFilbertpaddle-Response-Seal: seal-{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    std::io::Write::write_all(out, head.as_bytes())?;
    for event in 1..=EVENTS {
        lab::write_chunk(out, format!("id: {event}\ndata: {attempt}\n\n").as_bytes())?;
        sleep_ms(EVENT_MS);
    }
    lab::write_chunk(out, b"")?;
    Ok(true)
}

/// Sends a request on a connection on which another one was answered before.
fn send(front: std::net::SocketAddr, attempt: &str, body: &[u8]) -> String {
    let Ok(mut connection) = Connection::open(front) else {
        return "no connection".to_owned();
    };
    let first = format!("f{}", &attempt[1..]);
    let sent = connection.send("GET", "/read/x", &first, 1_000, "", b"");
    if sent.is_err() || connection.read(|_| true).status != 200 {
        return "first request not answered".to_owned();
    }
    let headers = lab::generation(200, 80);
    if connection
        .send("POST", "/long/x", attempt, 39_000, &headers, body)
        .is_err()
    {
        return "closed before it was sent".to_owned();
    }
    let answer = connection.read(|_| true);
    match (answer.status, answer.is_complete) {
        (0, _) => "closed without an answer".to_owned(),
        (status, true) => format!("{status} whole"),
        (status, false) => format!("{status} cut"),
    }
}
