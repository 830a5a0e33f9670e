//! A node that is being stopped takes streams that sound runners cannot finish in its grace
//! period, and cuts them.

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::ENGINE;
use crate::deployment::Ingress;
use crate::deployment::STREAM;
use crate::deployment::Verdict;
use crate::deployment::has_trouble;
use crate::http::End;
use crate::node::Node;
use crate::node::Place;
use crate::node::SIGTERM;
use crate::record::Record;
use crate::requester;
use crate::requester::Answer;
use crate::requester::Request;
use crate::runner::Action;
use crate::runner::Options;

/// Time between events: below the 180 ms that the sheet allows, 40 ms for each of 4 tokens.
const EVENT_MS: u64 = 160;
const FIRST_EVENT_MS: u64 = 400;
const OUTPUT_TOKENS: u32 = 120;
/// Pause between the machines that are stopped in turn.
const STOP_GAP_MS: u64 = 1_000;
/// Traffic before the first and after the last of them is stopped.
const LEAD_MS: u64 = 4_000;
const TAIL_MS: u64 = 9_000;
const REQUEST_GAP_MS: u64 = 100;
/// Requests that were sent up to this time after the SIGTERM are excused by the rule if their
/// runner is at work in the last sixth of the grace period.
const EXCUSED_MS: u64 = 3_000;
const GRACE_MS: u64 = 8_000;

struct Sent {
    id: String,
    node: String,
    at_ms: u64,
    ended_ms: u64,
    answer: Answer,
}

pub fn run() -> i32 {
    let mut deployment = Deployment::new();
    for (index, zone) in ["zone-a", "zone-b", "zone-c"]
        .into_iter()
        .cycle()
        .take(12)
        .enumerate()
    {
        let ip = deployment.next_host();
        let options = Options {
            id: format!("i-{index:04}"),
            ip,
            service: ENGINE.to_owned(),
            zone: zone.to_owned(),
            slots: 32,
            born: 1_700_000_000_000 + index as u64,
            first_ms: FIRST_EVENT_MS,
            event_ms: EVENT_MS,
            work_ms: 0,
            drops_closed: true,
        };
        deployment.add_runner(options, |_| Action::Serve);
    }
    let zones = [
        "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c",
    ];
    if !deployment.start_nodes(&zones) {
        return deployment.finish(Verdict::NotRun);
    }
    let ingress = Ingress::start(&deployment.nodes[..3].iter().collect::<Vec<_>>());
    let record = deployment.record.clone();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let start_ms = record.now_ms();
    let stop_at = [start_ms + LEAD_MS, start_ms + LEAD_MS + STOP_GAP_MS];
    let end_ms = stop_at[1] + TAIL_MS;
    let mut stopped: Vec<(String, u64)> = Vec::new();
    let mut requesters = Vec::new();
    let mut number = 0_u64;
    while record.now_ms() < end_ms {
        if stopped.len() < 2 && record.now_ms() >= stop_at[stopped.len()] {
            let node = &deployment.nodes[stopped.len()];
            if has_trouble() {
                node.signal(SIGTERM);
                record.add(&format!("SIGTERM to {}", node.place.name));
            }
            stopped.push((node.place.name.clone(), record.now_ms()));
        }
        start_again(&mut deployment, &record);
        number += 1;
        let (node, front) = ingress.pick(number);
        let (record, sent) = (record.clone(), Arc::clone(&sent));
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
            let at_ms = record.now_ms();
            record.add(&format!("{} sent to {node}", request.id));
            let answer = requester::send(front, &request);
            record.add(&format!(
                "{} from {node}: {}",
                request.id,
                answer.describe()
            ));
            sent.lock().expect("sent").push(Sent {
                id: request.id,
                node,
                at_ms,
                ended_ms: record.now_ms(),
                answer,
            });
        }));
        thread::sleep(Duration::from_millis(REQUEST_GAP_MS));
    }
    for requester in requesters {
        requester.join().ok();
    }
    let mut lost = 0;
    let mut complete = 0;
    for sent in sent.lock().expect("sent").iter() {
        let is_complete = sent.answer.status == 200 && sent.answer.end == Some(End::Whole);
        complete += usize::from(is_complete);
        let runs = deployment.runs.of(&sent.id);
        let Some((_, stop_ms)) = stopped.iter().find(|(name, _)| *name == sent.node) else {
            continue;
        };
        let has_answer = sent.answer.end.is_some_and(|end| end != End::Broken);
        let after_ms = sent.at_ms.saturating_sub(*stop_ms);
        if has_answer || runs.is_empty() || after_ms <= EXCUSED_MS {
            continue;
        }
        if sent.ended_ms > stop_ms + GRACE_MS + 1_000 {
            continue;
        }
        lost += 1;
        record.add(&format!(
            "LOST: {} was sent to {} {after_ms} ms after its SIGTERM, was passed on to {} and was cut {} ms after the SIGTERM; the runner was sending events until then",
            sent.id, sent.node, runs[0].runner, sent.ended_ms - stop_ms
        ));
    }
    record.add(&format!(
        "{complete} of {number} streams complete, {lost} lost"
    ));
    println!("{complete} of {number} streams complete, {lost} lost");
    let verdict = if lost > 0 {
        Verdict::Broken
    } else if complete == 0 {
        Verdict::NotRun
    } else {
        Verdict::Held
    };
    deployment.finish(verdict)
}

/// Starts the nodes again that have stopped.
fn start_again(deployment: &mut Deployment, record: &Record) {
    for node in &mut deployment.nodes {
        if node.ended().is_none() {
            continue;
        }
        record.add(&format!(
            "{} has stopped and is started again",
            node.place.name
        ));
        let place = Place {
            is_first_start: false,
            ..node.place.clone()
        };
        *node = Node::start(&deployment.folder, &place, node.ports);
    }
}
