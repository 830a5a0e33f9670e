//! Round trips and sizes of configuration replication messages.

#![expect(clippy::unwrap_used, reason = "a failed encoding fails the test")]

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::config::Change;
use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::Customer;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::config::Setting;
use filbertpaddle_core::gossip;
use filbertpaddle_core::relay;
use filbertpaddle_core::replica::MAX_BATCH_BYTES;
use filbertpaddle_core::replica::Page;
use filbertpaddle_core::replica::Replica;
use filbertpaddle_core::revision::Revision;
use filbertpaddle_core::template::DeliveryMode;
use filbertpaddle_core::template::Priority;
use filbertpaddle_core::template::Template;
use filbertpaddle_core::template::WorkKind;
use filbertpaddle_wire::config;
use filbertpaddle_wire::frame;
use filbertpaddle_wire::message::Message;

fn template(prompt: &str) -> Template {
    Template {
        model: "drafting-large".into(),
        version: "2026-11".into(),
        adapter: Some("summaries".into()),
        work: WorkKind::Call,
        delivery: DeliveryMode::Whole,
        priority: Priority(3),
        idempotent: false,
        prompt: prompt.into(),
        parameters: vec!["pupil".into(), "term".into()],
        max_tokens: 4_096,
        max_wait_ms: Millis::from_secs(30),
        weight: 2,
    }
}

fn settings() -> Vec<Setting> {
    vec![
        Setting::Template {
            customer: "school-114".into(),
            name: "term-summary".into(),
            template: Box::new(template("Draft an end-of-term summary for this pupil.")),
        },
        Setting::Customer {
            name: "school-114".into(),
            customer: Customer {
                key_sha256: vec!["ab".repeat(32).into()],
                weight: 1,
                max_running: 100,
            },
        },
        Setting::DataCentre {
            name: "north".into(),
            service: ServiceState::Out,
        },
        Setting::Vm {
            name: "target-12".into(),
            service: ServiceState::In,
        },
    ]
}

fn change(setting: Setting) -> Change {
    Change {
        revision: Revision(1_234_567),
        id: ChangeId(u64::MAX / 3),
        by: "operator-one".into(),
        at_ms: Millis(1_800_000_000_000),
        setting,
    }
}

fn encode(message: gossip::Message) -> Vec<u8> {
    frame::Encoder::new()
        .encode(&[Message::Config(config::Message::from(message))])
        .unwrap()
}

#[test]
fn messages_are_equal_after_a_round_trip() {
    let changes: Vec<_> = settings().into_iter().map(change).collect();
    let page = Page {
        head: Revision(7),
        changes: changes.clone(),
        last: true,
    };
    let messages = [
        gossip::Message::Push(changes[0].clone()),
        gossip::Message::PullRequest {
            seq: 1,
            head: Revision(2),
            age_ms: None,
        },
        gossip::Message::PullResponse {
            seq: 1,
            head: Revision(2),
            age_ms: Some(Millis(3)),
            changes: changes.clone(),
        },
        gossip::Message::PageRequest {
            seq: 4,
            after: Some(changes[0].setting.key()),
        },
        gossip::Message::PageResponse { seq: 4, page },
        gossip::Message::StatusRequest { seq: 5 },
        gossip::Message::StatusResponse {
            seq: 5,
            nodes: vec![gossip::NodeStatus {
                node: "entry-1".into(),
                head: Some(Revision(9)),
                age_ms: Some(Millis(10)),
                heard_ms: None,
            }],
        },
    ];
    for message in messages {
        let decoded = frame::Decoder::new()
            .decode(&encode(message.clone()))
            .unwrap();
        let [Message::Config(decoded)] = &decoded[..] else {
            panic!("{decoded:?}");
        };
        assert_eq!(gossip::Message::from(decoded.clone()), message);
    }
}

#[test]
fn the_largest_batch_fits_a_frame() {
    let mut replica = Replica::default();
    for revision in 1..=400 {
        let mut change = change(Setting::Vm {
            name: format!("{revision:064}").into(),
            service: ServiceState::Out,
        });
        change.revision = Revision(revision);
        replica.apply(&change);
    }
    let changes = replica.changes_after(Revision(200)).unwrap();
    assert!(!changes.is_empty());
    let bytes = encode(gossip::Message::PullResponse {
        seq: 1,
        head: Revision(1),
        age_ms: None,
        changes,
    });
    assert!(bytes.len() < 2 * MAX_BATCH_BYTES);
    assert!(bytes.len() < frame::MAX_FRAME_BYTES);
}

/// A node's control budget for configuration, in bytes per second.
const BUDGET_BYTES_PER_S: usize = 16 * 1024;

#[test]
fn one_change_per_second_takes_less_than_half_of_the_budget() {
    let push_bytes = encode(gossip::Message::Push(change(settings().remove(0)))).len();
    let request_bytes = encode(gossip::Message::PullRequest {
        seq: 1_000_000,
        head: Revision(1_234_567),
        age_ms: Some(Millis(1_500)),
    })
    .len();
    let response_bytes = encode(gossip::Message::PullResponse {
        seq: 1_000_000,
        head: Revision(1_234_567),
        age_ms: Some(Millis(1_500)),
        changes: Vec::new(),
    })
    .len();
    // A node receives each change once and forwards it to at most `FAN_OUT` members.
    let push_bytes_per_s = (1 + relay::FAN_OUT) * push_bytes;
    // 61 members send a pull request to their relay every 1.5 s.
    let pull_bytes_per_s = 61 * (request_bytes + response_bytes) * 2 / 3;
    println!(
        "push {push_bytes} B, pull request {request_bytes} B, pull response {response_bytes} B"
    );
    println!(
        "member {} B/s",
        push_bytes_per_s + (request_bytes + response_bytes) * 2 / 3
    );
    println!("relay {} B/s", push_bytes_per_s + pull_bytes_per_s);
    assert!(push_bytes_per_s + pull_bytes_per_s < BUDGET_BYTES_PER_S / 2);
}
