//! A runner leaves, and its streams go on at other runners while it still works on them.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::ENGINE;
use crate::deployment::STREAM;
use crate::deployment::Verdict;
use crate::deployment::has_trouble;
use crate::http::End;
use crate::requester;
use crate::requester::Request;
use crate::runner::Action;
use crate::runner::Options;

const RUNNERS: usize = 12;
/// Runners that do not drop a request when its connection closes; the other ten do.
const NOT_DROPPING: usize = 2;
const OUTPUT_TOKENS: u32 = 800;
const EVENT_MS: u64 = 40;
const REQUESTS: u64 = 60;
const REQUEST_GAP_MS: u64 = 100;
/// Time for which the rule lets the runner before go on.
const ALLOWED_MS: u64 = 400;

pub fn run() -> i32 {
    let mut deployment = Deployment::new();
    for index in 0..RUNNERS {
        let ip = deployment.next_host();
        let options = Options {
            id: format!("i-{index:04}"),
            ip,
            service: ENGINE.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][index % 3].to_owned(),
            slots: 32,
            born: 1_700_000_000_000 + index as u64,
            first_ms: 200,
            event_ms: EVENT_MS,
            work_ms: 0,
            drops_closed: index >= NOT_DROPPING,
        };
        deployment.add_runner(options, |_| Action::Serve);
    }
    let zones = [
        "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c",
    ];
    if !deployment.start_nodes(&zones) {
        return deployment.finish(Verdict::NotRun);
    }
    let record = deployment.record.clone();
    let complete: Arc<Mutex<usize>> = Arc::default();
    let mut requesters = Vec::new();
    for number in 0..REQUESTS {
        let front = deployment.nodes[number as usize % deployment.nodes.len()]
            .ports
            .front;
        let (record, complete) = (record.clone(), Arc::clone(&complete));
        requesters.push(thread::spawn(move || {
            let request = Request {
                id: format!("a{number:06}"),
                method: "POST",
                path: format!("{STREAM}2f"),
                deadline_ms: 39_000,
                tokens: Some((500, OUTPUT_TOKENS, OUTPUT_TOKENS)),
                last_event: None,
                body: vec![b'x'; 600],
            };
            let answer = requester::send(front, &request);
            record.add(&format!("{}: {}", request.id, answer.describe()));
            let is_complete = answer.status == 200 && answer.end == Some(End::Whole);
            *complete.lock().expect("complete") += usize::from(is_complete);
        }));
        thread::sleep(Duration::from_millis(REQUEST_GAP_MS));
    }
    if has_trouble() {
        for runner in &deployment.runners[..NOT_DROPPING] {
            let id = &runner.options.id;
            deployment
                .store
                .put("servers", id, &runner.entry("draining"));
            record.add(&format!("runner {id} reports draining, acknowledged"));
        }
    }
    for requester in requesters {
        requester.join().ok();
    }
    let runs = deployment.runs.all();
    let mut twice = 0;
    for moved in runs.iter().filter(|run| run.is_moved) {
        let before = runs
            .iter()
            .filter(|run| run.id == moved.id && run.at_ms < moved.at_ms)
            .max_by_key(|run| run.at_ms);
        let Some(before) = before else { continue };
        let over_ms = before.last_ms.saturating_sub(moved.at_ms);
        if over_ms > ALLOWED_MS {
            twice += 1;
            record.add(&format!(
                "TWICE: {} goes on at {} from {} ms on, and {} still worked on it {over_ms} ms later",
                moved.id, moved.runner, moved.at_ms, before.runner
            ));
        }
    }
    let complete = *complete.lock().expect("complete");
    let moves = runs.iter().filter(|run| run.is_moved).count();
    let summary = format!(
        "{complete} of {REQUESTS} streams complete, {moves} moved, {twice} at work at two runners"
    );
    record.add(&summary);
    println!("{summary}");
    let verdict = match (twice, complete) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    };
    deployment.finish(verdict)
}
