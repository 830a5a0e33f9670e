//! A runner fails a stream with a status of its own after it has worked on it; the requester
//! is told that the request has not run, and its next attempt runs again.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::ENGINE;
use crate::deployment::STREAM;
use crate::deployment::Verdict;
use crate::deployment::has_trouble;
use crate::requester;
use crate::requester::Request;
use crate::runner::Action;
use crate::runner::Options;

const RUNNERS: usize = 12;
/// Time in which one runner fails a part of its requests.
const TROUBLE_MS: u64 = 6_500;
const LEAD_MS: u64 = 2_000;
const REQUEST_GAP_MS: u64 = 40;

pub fn run() -> i32 {
    let mut deployment = Deployment::new();
    let window: Arc<Mutex<Option<(u64, u64)>>> = Arc::default();
    for index in 0..RUNNERS {
        let ip = deployment.next_host();
        let options = Options {
            id: format!("i-{index:04}"),
            ip,
            service: ENGINE.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][index % 3].to_owned(),
            slots: 32,
            born: 1_700_000_000_000 + index as u64,
            first_ms: 50,
            event_ms: 15,
            work_ms: 50,
            drops_closed: true,
        };
        let (window, record) = (Arc::clone(&window), deployment.record.clone());
        let count = AtomicU64::new(0);
        deployment.add_runner(options, move |_| {
            let window = window.lock().expect("window");
            let is_now = window.is_some_and(|(from, to)| (from..to).contains(&record.now_ms()));
            // One of twelve runners (a share of 0.08) fails four of ten requests.
            let is_failing = index == 0 && is_now && count.fetch_add(1, Ordering::Relaxed) % 5 < 2;
            if is_failing {
                Action::FailAfterRun("503 Service Unavailable")
            } else {
                Action::Serve
            }
        });
    }
    let zones = [
        "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c",
    ];
    if !deployment.start_nodes(&zones) {
        return deployment.finish(Verdict::NotRun);
    }
    let record = deployment.record.clone();
    let start_ms = record.now_ms() + LEAD_MS;
    if has_trouble() {
        *window.lock().expect("window") = Some((start_ms, start_ms + TROUBLE_MS));
        record.add(&format!(
            "from {start_ms} ms on, for {TROUBLE_MS} ms, runner i-0000 fails 4 of 10 requests"
        ));
    }
    let refused: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let mut requesters = Vec::new();
    let mut number = 0;
    while record.now_ms() < start_ms + TROUBLE_MS + LEAD_MS {
        number += 1;
        let front = deployment.nodes[number % deployment.nodes.len()]
            .ports
            .front;
        let (record, refused) = (record.clone(), Arc::clone(&refused));
        requesters.push(thread::spawn(move || {
            let request = Request {
                id: format!("a{number:06}"),
                method: "POST",
                path: format!("{STREAM}2f"),
                deadline_ms: 39_000,
                tokens: Some((500, 40, 40)),
                last_event: None,
                body: format!("order {number}").into_bytes(),
            };
            let answer = requester::send(front, &request);
            record.add(&format!("{}: {}", request.id, answer.describe()));
            if matches!(answer.status, 408 | 421 | 429 | 503) {
                refused
                    .lock()
                    .expect("refused")
                    .push((request.id.clone(), answer.status));
                // A promise: the requester may send it once more, as an attempt of its own.
                let again = Request {
                    id: format!("{}-2", request.id),
                    ..request
                };
                let answer = requester::send(front, &again);
                record.add(&format!(
                    "{} (next attempt): {}",
                    again.id,
                    answer.describe()
                ));
            }
        }));
        thread::sleep(Duration::from_millis(REQUEST_GAP_MS));
    }
    for requester in requesters {
        requester.join().ok();
    }
    let runs: HashSet<String> = deployment
        .runs
        .all()
        .into_iter()
        .map(|run| run.id)
        .collect();
    let mut broken = 0;
    for (id, status) in refused.lock().expect("refused").iter() {
        if !runs.contains(id) {
            continue;
        }
        broken += 1;
        let next = deployment.runs.of(&format!("{id}-2")).len();
        record.add(&format!(
            "REFUSED: {id} was answered {status} and has run; its next attempt ran {next} times"
        ));
    }
    record.add(&format!(
        "{number} requests, {broken} refused though they had run"
    ));
    println!("{number} requests, {broken} refused though they had run");
    let verdict = match (broken, runs.is_empty()) {
        (0, false) => Verdict::Held,
        (0, true) => Verdict::NotRun,
        _ => Verdict::Broken,
    };
    deployment.finish(verdict)
}
