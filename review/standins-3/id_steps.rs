//! Runners number their events by tokens, four to an event. A node is killed, and clients take their
//! streams up again at the other nodes, which are in touch.

mod engine;
mod lab;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use engine::{Copies, Engine, Options, Runs};
use lab::{Connection, Record, Store, lock, sleep_ms};

/// Difference of the IDs of two events: the tokens of an event (`stride`).
const ID_STEP: u64 = 4;
const STREAMS: usize = 24;
const EVENTS: u32 = 160;
/// Time for which clients try to take their streams up.
const TRY_MS: u64 = 15_000;

#[derive(Default)]
struct Counts {
    taken_up: usize,
    went_on: usize,
    whole: usize,
    new: usize,
    begun: usize,
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let (copies, runs) = (Copies::default(), Runs::default());
    let mut engines = Vec::new();
    for number in 0..4 {
        let options = Options {
            id: format!("engine-{number}"),
            zone: "zone-a".to_owned(),
            version: "v1".to_owned(),
            born: lab::unix_ms(),
            first_ms: 50,
            event_ms: 50,
            id_step: ID_STEP,
            drops_closed: true,
        };
        let engine = Engine::start(
            (lab::next_host(), 0).into(),
            options,
            &copies,
            &runs,
            &record,
        );
        engine.check_in(&store, 1);
        engines.push(engine);
    }
    store.put("op", "config", &lab::configuration(7));
    let machines =
        ["a", "b", "c"].map(|zone| lab::machine(&format!("front-{zone}"), &format!("zone-{zone}")));
    let mut nodes = lab::start_nodes(&machines, &store, &record);
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    let counts = Arc::new(Mutex::new(Counts::default()));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (fronts, record, counts) = (fronts.clone(), record.clone(), Arc::clone(&counts));
        clients.push(thread::spawn(move || {
            follow(&fronts, number, &counts, &record)
        }));
    }
    sleep_ms(3_000);
    if lab::has_trouble() {
        nodes[0].kill();
        record.add("front-a is killed");
    }
    for number in 0..STREAMS {
        let is_begun = new_stream(fronts[1 + number % 2], &record);
        let mut counts = lock(&counts);
        counts.new += 1;
        counts.begun += usize::from(is_begun);
    }
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    let counts = lock(&counts);
    let Counts {
        taken_up,
        went_on,
        whole,
        new,
        begun,
    } = *counts;
    let text = format!(
        "{STREAMS} streams, {whole} whole; {went_on} of {taken_up} that were taken up again went on, {begun} of {new} new \
         streams began"
    );
    if begun == 0 || lab::has_trouble() && taken_up < 12 {
        record.end(&text, lab::NOT_RUN);
    }
    record.end(
        &text,
        i32::from(taken_up >= 12 && 2 * went_on * new < begun * taken_up),
    );
}

fn new_stream(front: std::net::SocketAddr, record: &Record) -> bool {
    let attempt = format!("n{:015x}", lab::unique());
    let Ok(mut connection) = Connection::open(front) else {
        return false;
    };
    let headers = lab::generation(500, 16);
    record.add(&format!("client: {attempt} is sent, 6000 ms, to {front}"));
    if connection
        .send("POST", "/short/x", &attempt, 6_000, &headers, b"prompt")
        .is_err()
    {
        return false;
    }
    let answer = connection.read(|_| true);
    record.add(&format!(
        "client: {attempt} new: {} whole: {}",
        answer.status, answer.is_complete
    ));
    answer.status == 200 && last_event(&answer.body).is_some()
}

/// Reads a stream at the first node, and takes it up again at the others if it breaks off.
fn follow(fronts: &[std::net::SocketAddr], number: usize, counts: &Mutex<Counts>, record: &Record) {
    let began = format!("d{:015x}", lab::unique());
    let Ok(mut connection) = Connection::open(fronts[0]) else {
        return;
    };
    let headers = lab::generation(500, EVENTS * 4);
    record.add(&format!(
        "client: {began} is sent, 39000 ms, to {}",
        fronts[0]
    ));
    if connection
        .send("POST", "/short/x", &began, 39_000, &headers, b"prompt")
        .is_err()
    {
        return;
    }
    let answer = connection.read(|_| true);
    let last = last_event(&answer.body);
    record.add(&format!(
        "client: {began} {} whole: {}, last event {last:?}",
        answer.status, answer.is_complete
    ));
    if answer.is_complete {
        lock(counts).whole += 1;
        return;
    }
    let Some(last) = last else { return };
    lock(counts).taken_up += 1;
    let end = Instant::now() + Duration::from_millis(TRY_MS);
    let mut tries = number;
    while Instant::now() < end {
        tries += 1;
        let attempt = format!("e{:015x}", lab::unique());
        let Ok(mut connection) = Connection::open(fronts[1 + tries % 2]) else {
            continue;
        };
        let headers = format!("{headers}Last-Event-Id: {last}\r\nResumes: {began}\r\n");
        record.add(&format!(
            "client: {attempt} is sent, 20000 ms, to {}",
            fronts[1 + tries % 2]
        ));
        if connection
            .send("POST", "/short/x", &attempt, 20_000, &headers, b"prompt")
            .is_err()
        {
            continue;
        }
        let answer = connection.read(|_| true);
        let next = last_event(&answer.body);
        record.add(&format!(
            "client: {attempt} takes {began} up after event {last}: {} whole: {}, last event {next:?}",
            answer.status, answer.is_complete
        ));
        if answer.status == 200 && next > Some(last) {
            let mut counts = lock(counts);
            counts.went_on += 1;
            counts.whole += usize::from(answer.is_complete);
            return;
        }
        let wait_s: f64 = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1.0);
        sleep_ms((wait_s * 1_000.0) as u64);
    }
}

fn last_event(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    let ids = text.split("\n\n").filter_map(|event| {
        let (id, _) = event.split_once("\ndata: ")?;
        id.trim_start_matches("id: ").parse().ok()
    });
    ids.last()
}
