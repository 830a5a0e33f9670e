//! The platform's store gets another address in the settings; nodes go on with the former one and
//! never learn of the configurations that follow.

use std::thread;
use std::time::Duration;

use crate::deployment::APP;
use crate::deployment::Deployment;
use crate::deployment::SAFE;
use crate::deployment::Verdict;
use crate::deployment::has_trouble;
use crate::node::SIGHUP;
use crate::requester;
use crate::requester::KEY;
use crate::requester::Request;
use crate::runner::Action;
use crate::runner::Options;

/// Nodes of seven that get a SIGHUP, a share of 0.3; the settings of the others change without.
const SIGNALLED: usize = 2;
/// Time between the change of the settings and the next configuration.
const SETTLE_MS: u64 = 15_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const OUTER_MS: u64 = 5_000;
const REQUESTS_MS: u64 = 10_000;

pub fn run() -> i32 {
    let mut deployment = Deployment::new();
    deployment.configure_with_keys(2, 15_000, &format!("\"{KEY}\",\"another\""));
    for index in 0..3 {
        let ip = deployment.next_host();
        let options = Options {
            id: format!("i-{index:04}"),
            ip,
            service: APP.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][index].to_owned(),
            slots: 6,
            born: 1_700_000_000_000 + index as u64,
            first_ms: 0,
            event_ms: 0,
            work_ms: 15,
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
    if has_trouble() {
        let ip = deployment.next_host();
        let moved = deployment.store.move_to(&ip);
        record.add(&format!(
            "the store moves from {} to {}",
            deployment.store.address, moved.address
        ));
        for runner in &deployment.runners {
            moved.put("servers", &runner.options.id, &runner.entry("ready"));
        }
        for (index, node) in deployment.nodes.iter_mut().enumerate() {
            node.place.store = moved.address;
            node.write_settings(&deployment.folder);
            if index < SIGNALLED {
                node.signal(SIGHUP);
            }
            let how = if index < SIGNALLED {
                "with SIGHUP"
            } else {
                "without a signal"
            };
            record.add(&format!("settings of {} change, {how}", node.place.name));
        }
        deployment.store = moved;
    }
    thread::sleep(Duration::from_millis(SETTLE_MS));
    deployment.configure_with_keys(3, 15_000, "\"another\"");
    let acked_ms = record.now_ms();
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS + OUTER_MS));
    let mut number = 0;
    let (mut stale, mut denied) = (0, 0);
    while record.now_ms() < acked_ms + CONFIG_APPLY_MS + OUTER_MS + REQUESTS_MS {
        number += 1;
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let request = Request {
            id: format!("a{number:06}"),
            method: "GET",
            path: format!("{SAFE}2f"),
            deadline_ms: 1_500,
            tokens: None,
            last_event: None,
            body: Vec::new(),
        };
        let sent_ms = record.now_ms();
        let answer = requester::send(node.ports.front, &request);
        let name = &node.place.name;
        record.add(&format!(
            "{} to {name} with the removed key: {}",
            request.id,
            answer.describe()
        ));
        if !deployment.runs.of(&request.id).is_empty() {
            stale += 1;
            record.add(&format!(
                "CONFIG: {} was sent {} ms after the key's removal was acknowledged, and ran",
                request.id,
                sent_ms - acked_ms
            ));
        }
        denied += u32::from(answer.status == 401);
        thread::sleep(Duration::from_millis(100));
    }
    println!("{number} requests with a removed key, {stale} ran, {denied} denied");
    record.add(&format!(
        "{number} requests with a removed key, {stale} ran, {denied} denied"
    ));
    let verdict = match (stale, denied) {
        (0, 0) => Verdict::NotRun,
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    };
    deployment.finish(verdict)
}
