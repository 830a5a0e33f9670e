//! Round trips and sizes of configuration messages.

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
    frame::encode(&[Message::Config(config::Message::from(message))]).unwrap()
}

#[test]
fn messages_survive_the_wire() {
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
        let decoded = frame::decode(&encode(message.clone())).unwrap();
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

/// A node's share of the control budget for configuration, in bytes a second.
const BUDGET_BYTES: usize = 16 * 1024;

#[test]
fn a_change_a_second_stays_far_below_the_budget() {
    let push_bytes = encode(gossip::Message::Push(change(settings().remove(0)))).len();
    let ask_bytes = encode(gossip::Message::PullRequest {
        seq: 1_000_000,
        head: Revision(1_234_567),
        age_ms: Some(Millis(1_500)),
    })
    .len();
    let answer_bytes = encode(gossip::Message::PullResponse {
        seq: 1_000_000,
        head: Revision(1_234_567),
        age_ms: Some(Millis(1_500)),
        changes: Vec::new(),
    })
    .len();
    // A change comes once and goes on to at most `FAN_OUT` members.
    let pushes = (1 + relay::FAN_OUT) * push_bytes;
    // Sixty-one members ask their relay every one and a half seconds.
    let asks = 61 * (ask_bytes + answer_bytes) * 2 / 3;
    println!("push {push_bytes} B, ask {ask_bytes} B, answer {answer_bytes} B");
    println!("member {} B/s", pushes + (ask_bytes + answer_bytes) * 2 / 3);
    println!("relay {} B/s", pushes + asks);
    assert!(pushes + asks < BUDGET_BYTES / 2);
}
