//! A faulty runner sends bytes that are no answer in the middle of some streams, and works on. With
//! the argument `head`, it sends them in the place of the head of its answer.

mod engine;
mod lab;

use std::sync::{Arc, Mutex};
use std::thread;

use engine::{Copies, Engine, Options, Runs};
use lab::{Connection, Record, Store, lock, sleep_ms};

const STREAMS: usize = 240;
const ENGINES: usize = 6;
/// Faulty ones among them: a third, of 0.35 that the site allows. They are also those that work on
/// when their connection closes.
const FAULTY: usize = 2;
/// One answer of so many is spoilt: 0.03 of them, as the site allows.
const SPOILS_EACH: usize = 34;
/// Time for which the runner before may work on, in the rule.
const ALLOWED_MS: u64 = 400;

fn main() {
    let record = Record::create();
    let store = Store::start();
    let (copies, runs) = (Copies::default(), Runs::default());
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let options = Options {
            id: format!("engine-{number}"),
            zone: "zone-a".to_owned(),
            version: "v1".to_owned(),
            born: lab::unix_ms(),
            first_ms: 100,
            event_ms: 50,
            id_step: 1,
            drops_closed: number >= FAULTY,
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
    let machines = [
        lab::machine("front-1", "zone-a"),
        lab::machine("front-2", "zone-b"),
    ];
    let nodes = lab::start_nodes(&machines, &store, &record);
    if lab::has_trouble() {
        let spoils_heads = std::env::args().nth(2).as_deref() == Some("head");
        let faulty = engines[..FAULTY].iter();
        faulty.for_each(|engine| engine.spoil_each(SPOILS_EACH, spoils_heads));
    }
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let front = nodes[number % nodes.len()].front;
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            let attempt = format!("b{:015x}", lab::unique());
            let Ok(mut connection) = Connection::open(front) else {
                return;
            };
            let headers = lab::generation(500, 240);
            record.add(&format!("client: {attempt} is sent, 20000 ms, to {front}"));
            if connection
                .send("POST", "/short/x", &attempt, 20_000, &headers, b"prompt")
                .is_err()
            {
                return;
            }
            let answer = connection.read(|_| true);
            let text = format!("{} whole: {}", answer.status, answer.is_complete);
            record.add(&format!("client: {attempt} {text}"));
            lock(&answers).push(text);
        }));
        sleep_ms(60);
    }
    for client in clients {
        let _ = client.join();
    }
    // The runners end what they work on.
    lab::wait_for(10_000, || {
        lock(&runs).iter().all(|run| run.ended_ms.is_some())
    });
    drop(nodes);
    let runs = lock(&runs).clone();
    let mut twice = 0;
    for (at, later) in runs.iter().enumerate() {
        let before = runs[..at]
            .iter()
            .filter(|run| run.attempt == later.attempt && run.engine != later.engine);
        for run in before {
            let worked_ms = run
                .ended_ms
                .unwrap_or(u64::MAX)
                .saturating_sub(later.began_ms);
            let text = format!(
                "{} goes on at {} while {} works on it for {worked_ms} ms more",
                later.attempt, later.engine, run.engine
            );
            record.add(&text);
            twice += usize::from(worked_ms > ALLOWED_MS);
        }
    }
    let whole = lock(&answers)
        .iter()
        .filter(|text| *text == "200 whole: true")
        .count();
    let text = format!(
        "{STREAMS} streams, {whole} whole answers, {twice} at work at two runners for more than {ALLOWED_MS} ms"
    );
    if whole == 0 {
        record.end(&text, lab::NOT_RUN);
    }
    record.end(&text, i32::from(twice > 0));
}
