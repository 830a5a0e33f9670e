//! Tests of the platform stand-in through the platform's client.

#![expect(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::error::Error;
use filbertpaddle_platform::error::NotDone;
use filbertpaddle_platform::protocol::Condition;
use filbertpaddle_platform::protocol::Scan;
use filbertpaddle_platform::protocol::TransactAnswer;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::WeightLeaseRequest;
use filbertpaddle_platform::protocol::Write;
use filbertpaddle_standins::platform::Platform;
use filbertpaddle_standins::platform_faults::Faults;
use filbertpaddle_standins::platform_faults::Loss;
use filbertpaddle_standins::platform_faults::Outage;

async fn start() -> (Platform, Client) {
    let platform = Platform::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
        .await
        .unwrap();
    let client = Client::new(platform.base_url(), Duration::from_secs(20));
    (platform, client)
}

fn insert(key: &str, value: &str) -> Transaction {
    Transaction {
        conditions: vec![Condition {
            key: key.to_owned(),
            revision: None,
        }],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(value.to_owned()),
        }],
    }
}

#[tokio::test]
async fn transaction_is_atomic() {
    let (platform, client) = start().await;
    client.transact(&insert("a", "1")).await.unwrap();
    let mut both = insert("b", "2");
    both.conditions.extend(insert("a", "2").conditions);
    let answer = client.transact(&both).await.unwrap();
    let TransactAnswer::Conflict { rows, keys } = answer else {
        panic!("expected a conflict, got {answer:?}");
    };
    assert_eq!(keys, ["a"]);
    assert_eq!(rows[0].value, "1");
    assert_eq!(platform.rows("").len(), 1);
    assert_eq!(
        client
            .read(vec!["a".into(), "b".into()])
            .await
            .unwrap()
            .rows,
        rows
    );
    platform.close().await;
}

#[tokio::test]
async fn scan_continues_after_a_key() {
    let (platform, client) = start().await;
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        client.transact(&insert(key, "")).await.unwrap();
    }
    let mut scan = Scan {
        prefix: "a/".to_owned(),
        after: None,
        limit: 2,
    };
    let first = client.scan(&scan).await.unwrap().rows;
    scan.after = first.last().map(|row| row.key.clone());
    let second = client.scan(&scan).await.unwrap().rows;
    let keys = first.iter().chain(&second).map(|row| row.key.as_str());
    assert_eq!(keys.collect::<Vec<_>>(), ["a/1", "a/2", "a/3"]);
    platform.close().await;
}

#[tokio::test]
async fn lost_answer_is_an_unknown_outcome_and_the_write_persists() {
    let (platform, client) = start().await;
    for (index, loss) in [Loss::Drop, Loss::Status].into_iter().enumerate() {
        platform.set_faults(Faults {
            lose_answers: 1,
            loss,
            ..Faults::default()
        });
        let key = format!("k{index}");
        let answer = client.transact(&insert(&key, "v")).await;
        assert!(matches!(answer, Err(Error::Unknown(_))), "{answer:?}");
        assert_eq!(client.read(vec![key]).await.unwrap().rows.len(), 1);
    }
    platform.close().await;
}

#[tokio::test]
async fn requests_refused_by_an_outage_or_rate_limit_have_no_effect() {
    let (platform, client) = start().await;
    platform.set_faults(Faults {
        outage: Outage::Refuse,
        ..Faults::default()
    });
    let answer = client.transact(&insert("a", "1")).await;
    assert_eq!(answer, Err(Error::NotDone(NotDone::Unavailable)));
    platform.set_faults(Faults {
        writes_per_sec: Some(0),
        ..Faults::default()
    });
    let answer = client.transact(&insert("a", "1")).await;
    assert_eq!(answer, Err(Error::NotDone(NotDone::RateLimited)));
    assert_eq!(platform.counts().limited, 1);
    assert!(platform.rows("").is_empty());
    platform.close().await;
}

#[tokio::test]
async fn stalled_request_is_an_unknown_outcome_and_has_no_effect() {
    let (platform, _) = start().await;
    let short_timeout_client = Client::new(platform.base_url(), Duration::from_millis(100));
    platform.set_faults(Faults {
        outage: Outage::Stall,
        ..Faults::default()
    });
    let answer = short_timeout_client.transact(&insert("a", "1")).await;
    assert!(matches!(answer, Err(Error::Unknown(_))), "{answer:?}");
    platform.set_faults(Faults::default());
    assert!(platform.rows("").is_empty());
    platform.close().await;
}

#[tokio::test]
async fn closed_platform_is_reported_as_unreachable() {
    let (platform, client) = start().await;
    platform.close().await;
    let answer = client.vms().await;
    assert!(
        matches!(answer, Err(Error::NotDone(NotDone::Unreachable(_)))),
        "{answer:?}"
    );
}

#[tokio::test]
async fn objects_weight_leases_and_control_port_work() {
    let (platform, client) = start().await;
    assert_eq!(client.get_object("a/b").await.unwrap(), None);
    client.put_object("a/b", b"body".to_vec()).await.unwrap();
    assert_eq!(
        client.get_object("a/b").await.unwrap(),
        Some(b"body".to_vec())
    );
    let faults = Faults {
        loads_per_sec: Some(0),
        ..Faults::default()
    };
    reqwest::Client::new()
        .post(format!("http://{}/control/faults", platform.control))
        .json(&faults)
        .send()
        .await
        .unwrap();
    assert_eq!(platform.faults(), faults);
    let request = WeightLeaseRequest {
        model: "m".into(),
        version: "1".into(),
    };
    let answer = client.request_weight_lease(&request).await.unwrap();
    assert!(!answer.granted);
    assert_eq!(answer.retry_after_ms, Millis(1_000));
    platform.close().await;
}
