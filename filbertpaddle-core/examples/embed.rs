//! Embeds the scheduler and the delivery of a stream without the daemon.
//!
//! Run with `cargo run -p filbertpaddle-core --example embed`.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::delivery::Action;
use filbertpaddle_core::delivery::Delivery;
use filbertpaddle_core::delivery::Event;
use filbertpaddle_core::delivery::RestartPolicy;
use filbertpaddle_core::policy::Settings;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::Scheduler;
use filbertpaddle_core::scheduler::SlotId;
use filbertpaddle_core::scheduler::SlotRequest;
use filbertpaddle_core::scheduler::TargetView;
use filbertpaddle_core::template::Priority;

fn main() {
    place();
    deliver();
}

/// Queues three slot requests and places them on two targets with one slot each.
fn place() {
    let mut scheduler = Scheduler::new(Settings::default());
    let mut now = Millis::from_secs(1);
    for number in 1..=3 {
        if let Err(refusal) = scheduler.push(now, slot_request(number, now)) {
            println!("slot request {number} refused: {refusal:?}");
        }
    }
    let mut targets = [target("engine-1"), target("engine-2")];
    let mut slots = Vec::new();
    while let Some(placement) = scheduler.next_placement(now, &targets) {
        println!(
            "slot request {} placed on {}",
            placement.request.id.0, placement.target
        );
        let slot = SlotId(placement.request.id.0);
        scheduler.record_start(now, slot, &placement);
        slots.push(slot);
        for target in &mut targets {
            if target.name == placement.target {
                target.free_slots -= 1;
            }
        }
    }
    println!("{} slot requests remain queued", scheduler.queued());
    now = now + Millis::from_secs(5);
    for slot in slots {
        scheduler.record_end(now, slot, 120, Ending::Complete);
    }
}

fn slot_request(number: u64, now: Millis) -> SlotRequest {
    SlotRequest {
        id: RequestId(number),
        customer: "school".into(),
        template: "school/summary".into(),
        priority: Priority(0),
        weight: 1,
        prompt_tokens: 200,
        max_tokens: 1_000,
        prefix: 0,
        prefix_tokens: 0,
        digest: number,
        parts: Vec::new(),
        arrived_ms: now,
        deadline_ms: now + Millis::from_secs(30),
    }
}

fn target(name: &str) -> TargetView {
    TargetView {
        name: name.into(),
        free_slots: 1,
        capacity_tokens: 8_192,
        warm: true,
    }
}

/// Delivers a stream with a duplicate and a missing token.
fn deliver() {
    let promise = RestartPolicy {
        idempotent: true,
        buffered: false,
    };
    let mut delivery = Delivery::new(promise, "attempt-1".into());
    for index in [0, 1, 1, 3] {
        let event = Event::Token {
            attempt: "attempt-1".into(),
            index,
        };
        match delivery.on(&event) {
            Action::Deliver => println!("token {index} delivered"),
            Action::Resume { from } => {
                println!("gap before token {index}; resuming at token {from}")
            }
            action => println!("token {index}: {action:?}"),
        }
    }
}
