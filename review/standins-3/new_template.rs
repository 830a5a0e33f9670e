//! The first requests with a new first part of a prompt: two of them hold a part that crashes runners,
//! and a third, sound one waits at a runner that crashes by itself.

mod engine;
mod lab;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use engine::{BAD_PART, Copies, Engine, Options, Runs};
use lab::{Connection, Record, Store, lock, sleep_ms};

const RUNNERS: usize = 6;
const SOUND: usize = 30;
const FIRST_MS: u64 = 600;
/// Time for which a crashed runner is down.
const DOWN_MS: u64 = 2_000;
/// 2 x `contact_ms`, and a little more.
const AFTER_CRASH_MS: u64 = 6_500;
const BETWEEN_MS: u64 = 600;

fn main() {
    let record = Record::create();
    let store = Store::start();
    let (copies, runs) = (Copies::default(), Runs::default());
    let start = {
        let (copies, runs, record, store) =
            (copies.clone(), runs.clone(), record.clone(), store.clone());
        move |number: usize, address: std::net::SocketAddr| {
            let options = Options {
                id: format!("engine-{number}"),
                zone: "zone-a".to_owned(),
                version: "v1".to_owned(),
                born: lab::unix_ms(),
                first_ms: FIRST_MS,
                event_ms: 50,
                id_step: 1,
                drops_closed: true,
            };
            let engine = Engine::start(address, options, &copies, &runs, &record);
            engine.check_in(&store, 1);
            engine
        }
    };
    let engines: Vec<_> = (0..RUNNERS)
        .map(|number| start(number, (lab::next_host(), 0).into()))
        .collect();
    store.put("op", "config", &lab::configuration(7));
    let machines =
        ["a", "b", "c"].map(|zone| lab::machine(&format!("front-{zone}"), &format!("zone-{zone}")));
    let nodes = lab::start_nodes(&machines, &store, &record);
    let fronts: Vec<_> = nodes.iter().map(|node| node.front).collect();

    // Runners that requests crash, or that the script crashes, are back after two seconds.
    let wanted: Arc<Mutex<Option<String>>> = Arc::default();
    let has_ended = Arc::new(AtomicBool::new(false));
    let keeper = {
        let (wanted, has_ended, record) = (wanted.clone(), has_ended.clone(), record.clone());
        thread::spawn(move || {
            let mut engines = engines;
            let mut down: Vec<(usize, u64)> = Vec::new();
            while !has_ended.load(Ordering::SeqCst) {
                for (number, engine) in engines.iter().enumerate() {
                    let is_wanted = lock(&wanted).as_deref() == Some(engine.id());
                    let is_up = !down.iter().any(|(other, _)| *other == number);
                    if is_up && (engine.has_to_crash() || is_wanted) {
                        lock(&wanted).take_if(|_| is_wanted);
                        engine.crash();
                        down.push((number, record.ms() + DOWN_MS));
                    }
                }
                let now = record.ms();
                for (number, _) in down.extract_if(.., |(_, until)| *until <= now) {
                    engines[number] = start(number, engines[number].address);
                    record.add(&format!("engine-{number}: is back"));
                }
                sleep_ms(2);
            }
        })
    };

    let send = |number: usize, parts: &str| -> (u16, thread::JoinHandle<bool>, String) {
        let attempt = format!("t{:015x}", lab::unique());
        let headers = format!(
            "Filbertpaddle-Model: m\r\nFilbertpaddle-Token-Count: 500,40\r\n\
             Filbertpaddle-Prompt-Prefix: {parts},{:08x}:8\r\n",
            lab::unique()
        );
        let (front, record, own) = (
            fronts[number % fronts.len()],
            record.clone(),
            attempt.clone(),
        );
        let parts = parts.to_owned();
        let client = thread::spawn(move || {
            let Ok(mut connection) = Connection::open(front) else {
                return false;
            };
            let body = format!("prompt {own}");
            record.add(&format!("client: {own} is sent, 6000 ms, to {front}"));
            if connection
                .send("POST", "/short/x", &own, 6_000, &headers, body.as_bytes())
                .is_err()
            {
                return false;
            }
            let answer = connection.read(|_| true);
            let reason = String::from_utf8_lossy(&answer.body)
                .trim()
                .chars()
                .take(16)
                .collect::<String>();
            record.add(&format!(
                "client: {own} [{parts}]: {} whole: {}, Retry-After {:?} ({})",
                answer.status,
                answer.is_complete,
                answer.header("retry-after"),
                if answer.status == 200 {
                    "events"
                } else {
                    &reason
                }
            ));
            answer.status == 200
        });
        (0, client, attempt)
    };
    let first_old = "aaaa0000:400";
    let first_new = "cccc0000:400";
    let bad = format!("{first_new},{BAD_PART}:50");

    let mut begun_before = 0;
    let before: Vec<_> = (0..SOUND)
        .map(|number| {
            sleep_ms(100);
            send(number, first_old).1
        })
        .collect();
    for client in before {
        begun_before += usize::from(client.join().unwrap_or(false));
    }
    sleep_ms(3_000);
    for number in 0..2 {
        let _ = send(number, &bad).1.join();
        sleep_ms(500);
    }
    let (_, client, attempt) = send(2, first_new);
    if lab::has_trouble() {
        sleep_ms(FIRST_MS / 2);
        let engine = lock(&runs)
            .iter()
            .rev()
            .find(|run| run.attempt == attempt)
            .map(|run| run.engine.clone());
        record.add(&format!("{engine:?} crashes by itself"));
        *lock(&wanted) = engine;
    }
    let _ = client.join();
    record.add("wait");
    sleep_ms(AFTER_CRASH_MS);
    let mut clients = Vec::new();
    for number in 0..SOUND {
        if number % 5 == 0 {
            // Such requests still come.
            send(number, &bad);
        }
        clients.push(send(number + 1, first_new).1);
        sleep_ms(BETWEEN_MS);
    }
    let begun = clients
        .into_iter()
        .filter(|_| true)
        .map(|client| usize::from(client.join().unwrap_or(false)));
    let begun: usize = begun.sum();
    has_ended.store(true, Ordering::SeqCst);
    let _ = keeper.join();
    drop(nodes);
    let text = format!(
        "sound requests that began at the first attempt: {begun_before} of {SOUND} before, {begun} of {SOUND} with the new first part"
    );
    if begun_before < 20 {
        record.end(&text, lab::NOT_RUN);
    }
    record.end(&text, i32::from(2 * begun < begun_before));
}
