//! A runner starts again under its ID with another version of its software, and goes down once
//! more. Clients take their streams up again. With the argument `early`, it goes down before its first
//! check-in.

mod engine;
mod lab;

use std::sync::{Arc, Mutex};
use std::thread;

use engine::{Copies, Engine, Options, Runs};
use lab::{Connection, Record, Store, lock, sleep_ms};

/// Streams at 20 a second.
const STREAMS: usize = 60;
const BETWEEN_MS: u64 = 50;
/// Number of streams that are sent before the runner starts again.
const BEFORE: usize = 20;
/// Time for which the runner is down.
const DOWN_MS: u64 = 200;
/// Time from its start to its first check-in: `heartbeat_ms`.
const CHECK_IN_MS: u64 = 1_200;
/// Time from its check-in until it goes down again.
const UP_MS: u64 = 1_500;
/// One of six goes down: 0.167 of them, where the site allows 0.17.
const RUNNERS: usize = 6;
const EVENTS: u32 = 100;
/// Time from its start until it goes down again, if that comes before its check-in.
const EARLY_MS: u64 = 1_150;
/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;

fn main() {
    let record = Record::create();
    let store = Store::start();
    let (copies, runs) = (Copies::default(), Runs::default());
    let options = |number: usize, version: &str| Options {
        id: format!("engine-{number}"),
        zone: "zone-a".to_owned(),
        version: version.to_owned(),
        born: lab::unix_ms(),
        first_ms: 50,
        event_ms: 50,
        id_step: 1,
        drops_closed: true,
    };
    let mut engines = Vec::new();
    for number in 0..RUNNERS {
        let address = (lab::next_host(), 0).into();
        let engine = Engine::start(address, options(number, "v1"), &copies, &runs, &record);
        engine.check_in(&store, 1);
        engines.push(engine);
    }
    store.put("op", "config", &lab::configuration(7));
    let machines = [
        lab::machine("front-1", "zone-a"),
        lab::machine("front-2", "zone-b"),
    ];
    let nodes = lab::start_nodes(&machines, &store, &record);
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();

    // Check-ins of the runners that stay.
    let upgraded: Arc<Mutex<Option<Engine>>> = Arc::default();
    let address = engines[0].address;
    let first = engines.remove(0);
    let trouble = {
        let (store, record, copies, runs) =
            (store.clone(), record.clone(), copies.clone(), runs.clone());
        let (new, upgraded) = (options(0, "v2"), Arc::clone(&upgraded));
        thread::spawn(move || {
            sleep_ms(BEFORE as u64 * BETWEEN_MS);
            if !lab::has_trouble() {
                return;
            }
            first.crash();
            sleep_ms(DOWN_MS);
            let new = Options {
                born: lab::unix_ms(),
                ..new
            };
            let engine = Engine::start(address, new, &copies, &runs, &record);
            record.add("engine-0: started again as v2");
            if std::env::args().nth(2).as_deref() == Some("early") {
                // It goes down before its first check-in.
                sleep_ms(EARLY_MS);
            } else {
                sleep_ms(CHECK_IN_MS);
                engine.check_in(&store, 1);
                record.add("engine-0: checks in as v2");
                sleep_ms(UP_MS);
            }
            engine.crash();
            *lock(&upgraded) = Some(engine);
        })
    };

    let mixed = Arc::new(Mutex::new((0, 0)));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (fronts, record, mixed) = (fronts.clone(), record.clone(), Arc::clone(&mixed));
        clients.push(thread::spawn(move || {
            let (versions, is_whole) = follow(&fronts, number, &record);
            let mut counts = lock(&mixed);
            counts.0 += usize::from(versions.len() > 1);
            counts.1 += usize::from(is_whole);
        }));
        sleep_ms(BETWEEN_MS);
    }
    for client in clients {
        let _ = client.join();
    }
    let _ = trouble.join();
    drop(nodes);
    let (mixed, whole) = *lock(&mixed);
    let text =
        format!("{STREAMS} streams, {whole} whole, {mixed} hold events of two software versions");
    if whole == 0 {
        record.end(&text, lab::NOT_RUN);
    }
    record.end(&text, i32::from(mixed > ALLOWED));
}

/// Reads a stream to its end, over several tries; returns the versions that made its events, and
/// whether it is whole.
fn follow(fronts: &[std::net::SocketAddr], number: usize, record: &Record) -> (Vec<String>, bool) {
    let mut began: Option<String> = None;
    let mut last_event = None;
    let mut versions: Vec<String> = Vec::new();
    for attempt_number in 0..4 {
        let attempt = format!("c{:015x}", lab::unique());
        let front = fronts[(number + attempt_number) % fronts.len()];
        let mut headers = lab::generation(500, EVENTS * 4);
        if let (Some(began), Some(last)) = (&began, last_event) {
            headers += &format!("Last-Event-Id: {last}\r\nResumes: {began}\r\n");
            record.add(&format!(
                "client: {attempt} takes {began} up after event {last}"
            ));
        }
        let Ok(mut connection) = Connection::open(front) else {
            continue;
        };
        record.add(&format!("client: {attempt} is sent, 20000 ms, to {front}"));
        if connection
            .send("POST", "/short/x", &attempt, 20_000, &headers, b"prompt")
            .is_err()
        {
            continue;
        }
        let answer = connection.read(|_| true);
        for event in String::from_utf8_lossy(&answer.body).split("\n\n") {
            let Some((id, data)) = event.split_once("\ndata: ") else {
                continue;
            };
            last_event = id
                .trim_start_matches("id: ")
                .parse::<u64>()
                .ok()
                .or(last_event);
            let version = data.split(' ').next().unwrap_or("").to_owned();
            if !versions.contains(&version) {
                versions.push(version);
            }
            began.get_or_insert_with(|| attempt.clone());
        }
        record.add(&format!(
            "client: {attempt} {} whole: {}, last event {last_event:?} of {EVENTS}, versions {versions:?}",
            answer.status, answer.is_complete
        ));
        if answer.is_complete && answer.status == 200 {
            return (versions, true);
        }
        let wait_s: f64 = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.2);
        sleep_ms((wait_s * 1_000.0) as u64);
    }
    (versions, false)
}
