//! Requesters that read slowly are cut off around a SIGHUP.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
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
use crate::http::Reader;
use crate::node::SIGHUP;
use crate::record::Record;
use crate::requester;
use crate::requester::Answer;
use crate::requester::Request;
use crate::runner::Action;
use crate::runner::Options;

const OUTPUT_TOKENS: u32 = 1_600;
const EVENT_MS: u64 = 20;
const REQUESTS: u64 = 12;
/// Receive buffer of a requester.
const WINDOW_BYTES: i32 = 4_096;
/// Time for which a requester does not read, once.
const PAUSE_MS: u64 = 4_500;
/// Requests sent up to this time after a SIGHUP count around it.
const CONFIG_APPLY_MS: u64 = 2_000;

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

fn slow(front: SocketAddr, request: &Request, pause_ms: u64, record: &Record) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect(front) else {
        return answer;
    };
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &WINDOW_BYTES, 4) };
    stream.set_read_timeout(Some(Duration::from_secs(40))).ok();
    stream.write_all(&request.text()).ok();
    let mut reader = Reader::new(stream);
    let Ok(Some(head)) = reader.head() else {
        return answer;
    };
    answer.status = head.status();
    answer.is_sealed = head.header("filbertpaddle-response-seal").is_some();
    let mut body = Vec::new();
    let mut has_paused = false;
    let end = reader.body(&head, &mut |part| {
        body.extend_from_slice(part);
        if !has_paused && body.len() > 2_000 {
            has_paused = true;
            record.add(&format!("{} is not read for {pause_ms} ms", request.id));
            thread::sleep(Duration::from_millis(pause_ms));
        }
    });
    answer.end = Some(end);
    answer.body = body;
    answer
}

pub fn run() -> i32 {
    let mut deployment = Deployment::new();
    for index in 0..12 {
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
    let record = deployment.record.clone();
    let node = &deployment.nodes[0];
    node.signal(SIGHUP);
    let hup_ms = record.now_ms();
    record.add(&format!("SIGHUP to {}", node.place.name));
    let pause_ms = if has_trouble() { PAUSE_MS } else { 0 };
    let cut: Arc<Mutex<Vec<(String, u64, u64)>>> = Arc::default();
    let mut requesters = Vec::new();
    for number in 0..REQUESTS {
        let front = node.ports.front;
        let (record, cut) = (record.clone(), Arc::clone(&cut));
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
            let answer = if number % 2 == 0 {
                slow(front, &request, pause_ms, &record)
            } else {
                requester::send(front, &request)
            };
            record.add(&format!("{}: {}", request.id, answer.describe()));
            if answer.end != Some(End::Whole) {
                cut.lock()
                    .expect("cut")
                    .push((request.id, at_ms, record.now_ms()));
            }
        }));
        thread::sleep(Duration::from_millis(100));
    }
    for requester in requesters {
        requester.join().ok();
    }
    let mut lost = 0;
    for (id, at_ms, end_ms) in cut.lock().expect("cut").iter() {
        if at_ms - hup_ms > CONFIG_APPLY_MS || deployment.runs.of(id).is_empty() {
            continue;
        }
        lost += 1;
        record.add(&format!(
            "LOST: {id}, sent {} ms after the SIGHUP and passed on, was cut after {} ms",
            at_ms - hup_ms,
            end_ms - at_ms
        ));
    }
    println!("{REQUESTS} requests, {lost} lost");
    deployment.finish(if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
