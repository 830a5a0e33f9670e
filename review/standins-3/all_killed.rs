//! All nodes are killed, and clients take their streams up again at nodes that have been back for
//! longer than `contact_ms`. Some time before, the configuration has grown by many routes, or a
//! release has brought runners of another software version.

mod engine;
mod lab;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use engine::{Copies, Engine, Options, Runs};
use lab::{Connection, Record, Store, lock, sleep_ms};

/// Routes that are added: as `big_config` of the site.
const FURTHER_ROUTES: usize = 350;
const STREAMS: usize = 24;
const EVENTS: u32 = 200;
/// Time from the configuration to the kill.
const AFTER_MS: u64 = 10_000;
/// Time from the kill until the platform starts the processes again.
const DOWN_MS: u64 = 1_000;
/// Time from the start of a process until its machine is in touch: `contact_ms`.
const CONTACT_MS: u64 = 3_000;
/// Time for which clients try to take their streams up.
const TRY_MS: u64 = 25_000;

/// What clients saw.
#[derive(Default)]
struct Counts {
    /// Streams that were taken up again at machines in touch, and those of them that went on.
    taken_up: usize,
    went_on: usize,
    /// New streams at machines in touch meanwhile, and those of them that began.
    new: usize,
    begun: usize,
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let (copies, runs) = (Copies::default(), Runs::default());
    let is_release = std::env::args().nth(2).as_deref() == Some("release");
    let mut engines = Vec::new();
    let mut start = |number: usize, version: &str| {
        let options = Options {
            id: format!("engine-{number}"),
            zone: "zone-a".to_owned(),
            version: version.to_owned(),
            born: lab::unix_ms(),
            first_ms: 50,
            event_ms: 50,
            id_step: 1,
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
        record.add(&format!(
            "engine-{number}: checks in with software {version}"
        ));
        engines.push(engine);
    };
    (0..4).for_each(|number| start(number, "v1"));
    store.put("op", "config", &lab::configuration(7));
    let machines =
        ["a", "b", "c"].map(|zone| lab::machine(&format!("front-{zone}"), &format!("zone-{zone}")));
    let mut nodes = lab::start_nodes(&machines, &store, &record);
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();
    // The first streams let the nodes record the version of the runners.
    for front in &fronts {
        let (status, is_whole) = new_stream(*front, &record);
        record.add(&format!("client: first stream {status}, whole: {is_whole}"));
    }
    sleep_ms(2_000);
    if is_release {
        // The new runners start first; those of the old version still serve.
        let version = if lab::has_trouble() { "v2" } else { "v1" };
        (4..6).for_each(|number| start(number, version));
    } else if lab::has_trouble() {
        store.put("op", "config", &lab::configuration_with(8, FURTHER_ROUTES));
        record.add(&format!(
            "operator: version 8, with {FURTHER_ROUTES} further routes"
        ));
    }
    sleep_ms(AFTER_MS - 1_500);

    let killed_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    let counts = Arc::new(Mutex::new(Counts::default()));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (fronts, record) = (fronts.clone(), record.clone());
        let (counts, killed_at) = (Arc::clone(&counts), Arc::clone(&killed_at));
        clients.push(thread::spawn(move || {
            follow(&fronts, number, &killed_at, &counts, &record)
        }));
    }
    sleep_ms(1_500);
    // All processes of the system are killed at the same moment, in both runs.
    nodes.iter_mut().for_each(lab::Node::kill);
    *lock(&killed_at) = Some(Instant::now());
    record.add("all nodes are killed");
    sleep_ms(DOWN_MS);
    nodes.iter_mut().for_each(lab::Node::restart);
    record.add("all nodes are started again");
    sleep_ms(CONTACT_MS);
    for number in 0..STREAMS {
        let (status, is_whole) = new_stream(fronts[number % fronts.len()], &record);
        let mut counts = lock(&counts);
        counts.new += 1;
        counts.begun += usize::from(status == 200 && is_whole);
    }
    for client in clients {
        let _ = client.join();
    }
    drop(nodes);
    let Counts {
        taken_up,
        went_on,
        new,
        begun,
    } = *lock(&counts);
    let text = format!(
        "at machines in touch, {went_on} of {taken_up} streams that were taken up again went on, and {begun} of {new} new \
         streams began"
    );
    if taken_up < 12 || begun == 0 {
        record.end(&text, lab::NOT_RUN);
    }
    let is_broken = 2 * went_on * new < begun * taken_up;
    record.end(&text, i32::from(is_broken));
}

/// Begins a stream of a few events; returns the status and whether it is whole.
fn new_stream(front: std::net::SocketAddr, record: &Record) -> (u16, bool) {
    let attempt = format!("n{:015x}", lab::unique());
    let Ok(mut connection) = Connection::open(front) else {
        return (0, false);
    };
    let headers = lab::generation(500, 16);
    record.add(&format!("client: {attempt} is sent, 6000 ms, to {front}"));
    if connection
        .send("POST", "/short/x", &attempt, 6_000, &headers, b"prompt")
        .is_err()
    {
        return (0, false);
    }
    let answer = connection.read(|_| true);
    record.add(&format!(
        "client: {attempt} new: {} whole: {}",
        answer.status, answer.is_complete
    ));
    (answer.status, answer.is_complete)
}

/// Reads a stream until its node is killed, and takes it up again.
fn follow(
    fronts: &[std::net::SocketAddr],
    number: usize,
    killed_at: &Mutex<Option<Instant>>,
    counts: &Mutex<Counts>,
    record: &Record,
) {
    let front = fronts[number % fronts.len()];
    let began = format!("d{:015x}", lab::unique());
    let Ok(mut connection) = Connection::open(front) else {
        return;
    };
    let headers = lab::generation(500, EVENTS * 4);
    record.add(&format!("client: {began} is sent, 39000 ms, to {front}"));
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
    let (Some(last), false) = (last, answer.is_complete) else {
        return;
    };
    // Tries before the machines are in touch don't count.
    let is_in_touch = || {
        let killed_at = *lock(killed_at);
        killed_at
            .is_some_and(|at| at.elapsed() >= Duration::from_millis(DOWN_MS + CONTACT_MS + 200))
    };
    if !lab::wait_for(20_000, is_in_touch) {
        return;
    }
    lock(counts).taken_up += 1;
    let end = Instant::now() + Duration::from_millis(TRY_MS);
    let mut tries = 0;
    while Instant::now() < end {
        tries += 1;
        let attempt = format!("e{:015x}", lab::unique());
        let front = fronts[(number + tries) % fronts.len()];
        let Ok(mut connection) = Connection::open(front) else {
            continue;
        };
        let headers = format!("{headers}Last-Event-Id: {last}\r\nResumes: {began}\r\n");
        record.add(&format!("client: {attempt} is sent, 20000 ms, to {front}"));
        if connection
            .send("POST", "/short/x", &attempt, 20_000, &headers, b"prompt")
            .is_err()
        {
            continue;
        }
        let answer = connection.read(|_| true);
        let reason = String::from_utf8_lossy(&answer.body)
            .trim()
            .chars()
            .take(24)
            .collect::<String>();
        record.add(&format!(
            "client: {attempt} takes {began} up after event {last}: {} whole: {} ({reason})",
            answer.status, answer.is_complete
        ));
        if answer.status == 200 && last_event(&answer.body) > Some(last) {
            lock(counts).went_on += 1;
            return;
        }
        let wait_s: f64 = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(1.0);
        sleep_ms((wait_s * 1_000.0) as u64);
    }
}

/// Returns the ID of the last whole event.
fn last_event(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    let ids = text.split("\n\n").filter_map(|event| {
        let (id, _) = event.split_once("\ndata: ")?;
        id.trim_start_matches("id: ").parse().ok()
    });
    ids.last()
}
