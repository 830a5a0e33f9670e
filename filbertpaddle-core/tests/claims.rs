//! Claims of one node: group commit, lost answers and platform outages.

use std::collections::BTreeMap;

use filbertpaddle_core::attempt::Decision;
use filbertpaddle_core::claim;
use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::Record;
use filbertpaddle_core::claim::Row;
use filbertpaddle_core::claim::State;
use filbertpaddle_core::claims::Action;
use filbertpaddle_core::claims::Claims;
use filbertpaddle_core::claims::Event;
use filbertpaddle_core::claims::Request;
use filbertpaddle_core::claims::Settings;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::group_commit::TransactionResult;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::outcome::Reason;

fn claims() -> Claims {
    Claims::new("node".into(), 7, Settings::default())
}

fn id(key: u32) -> Id {
    Id {
        customer: "customer".into(),
        key: format!("key {key}").into(),
    }
}

fn attempt(key: u32) -> Name {
    format!("attempt {key}").into()
}

fn claim(key: u32) -> Event {
    Event::Claim(Request {
        id: id(key),
        attempt: attempt(key),
        digest: "digest".into(),
        now_unix_ms: Millis(1),
    })
}

fn transaction(actions: &[Action]) -> Vec<Change> {
    actions
        .iter()
        .find_map(|action| match action {
            Action::Transact(changes) => Some(changes.clone()),
            _ => None,
        })
        .unwrap_or_default()
}

fn decisions(actions: &[Action]) -> Vec<(&Name, &Decision)> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Decide { attempt, decision } => Some((attempt, decision)),
            _ => None,
        })
        .collect()
}

fn is_unavailable(decision: &Decision) -> bool {
    matches!(
        decision,
        Decision::Refused(Outcome::NotRun {
            reason: Reason::PlatformUnavailable,
            retry_after_ms: Some(_),
        })
    )
}

/// Starts a transaction with claim 0 and queues claims 1 to `last` behind it.
fn start_and_queue(claims: &mut Claims, last: u32) {
    for key in 0..=last {
        claims.on(Millis(0), claim(key));
    }
}

#[test]
fn queued_claims_share_the_next_transaction() {
    let mut claims = claims();
    start_and_queue(&mut claims, 100);
    claims.on(
        Millis(15),
        Event::TransactionDone(TransactionResult::Committed { revision: 1 }),
    );
    let actions = claims.on(Millis(20), Event::Tick);
    assert_eq!(transaction(&actions).len(), 100);
    let committed = Event::TransactionDone(TransactionResult::Committed { revision: 2 });
    let actions = claims.on(Millis(30), committed);
    let held = decisions(&actions);
    assert_eq!(held.len(), 100);
    assert!(
        held.iter()
            .all(|(_, decision)| **decision == Decision::Held)
    );
}

#[test]
fn conflicting_row_is_removed_and_the_rest_is_retried() {
    let mut claims = claims();
    start_and_queue(&mut claims, 3);
    claims.on(
        Millis(20),
        Event::TransactionDone(TransactionResult::Committed { revision: 1 }),
    );
    let final_result = FinalResult {
        outcome: Outcome::Complete { tokens: 1 },
        answer: claim::StoredAnswer::Absent,
    };
    let row = Row {
        record: Record {
            attempt: "earlier".into(),
            digest: "digest".into(),
            holder: "other".into(),
            incarnation: 1,
            claimed_at_ms: Millis(0),
            state: State::Finished(final_result.clone()),
        },
        revision: 1,
    };
    let rows = BTreeMap::from([(id(2), Some(row))]);
    let actions = claims.on(
        Millis(40),
        Event::TransactionDone(TransactionResult::Conflict { rows }),
    );
    let replay = Decision::Replay(final_result);
    assert_eq!(decisions(&actions), [(&attempt(2), &replay)]);
    let retried = transaction(&actions);
    let ids = retried.iter().map(|change| change.id.clone());
    assert_eq!(ids.collect::<Vec<_>>(), [id(1), id(3)]);
}

#[test]
fn failed_transaction_refuses_all_queued_claims() {
    let failures = [
        vec![Event::TransactionDone(TransactionResult::NotDone)],
        vec![
            Event::TransactionDone(TransactionResult::Unknown),
            Event::ReadBack(None),
        ],
    ];
    for events in failures {
        let unsettled = events.len() - 1;
        let mut claims = claims();
        start_and_queue(&mut claims, 10);
        let now = Millis(1_000);
        let actions: Vec<Action> = events
            .into_iter()
            .flat_map(|event| claims.on(now, event))
            .collect();
        let refused = decisions(&actions);
        assert_eq!(refused.len(), 11);
        assert!(refused.iter().all(|(_, decision)| is_unavailable(decision)));
        let actions = claims.on(Millis(1_001), claim(20));
        assert!(is_unavailable(decisions(&actions)[0].1));
        assert_eq!(claims.len(), unsettled);
    }
}

#[test]
fn one_lost_answer_is_not_an_outage() {
    let mut claims = claims();
    start_and_queue(&mut claims, 3);
    let actions = claims.on(
        Millis(20),
        Event::TransactionDone(TransactionResult::Unknown),
    );
    assert_eq!(decisions(&actions), []);
    assert_eq!(decisions(&claims.on(Millis(21), claim(4))), []);
    // The read-back shows no claim, so it is retried with the others.
    let actions = claims.on(Millis(22), Event::ReadBack(Some(BTreeMap::new())));
    assert_eq!(decisions(&actions), []);
    assert_eq!(transaction(&actions).len(), 5);
    // A second lost answer in a row counts as an outage.
    claims.on(
        Millis(50),
        Event::TransactionDone(TransactionResult::Unknown),
    );
    let actions = claims.on(Millis(51), Event::ReadBack(Some(BTreeMap::new())));
    assert_eq!(transaction(&actions).len(), 5);
    claims.on(
        Millis(80),
        Event::TransactionDone(TransactionResult::Unknown),
    );
    let actions = claims.on(Millis(81), Event::ReadBack(Some(BTreeMap::new())));
    assert_eq!(decisions(&actions).len(), 5);
}

#[test]
fn one_claim_probes_after_the_backoff() {
    let mut claims = claims();
    start_and_queue(&mut claims, 0);
    claims.on(
        Millis(0),
        Event::TransactionDone(TransactionResult::NotDone),
    );
    let actions = claims.on(Millis(500), claim(1));
    assert_eq!(transaction(&actions).len(), 1);
    let actions = claims.on(Millis(500), claim(2));
    assert!(is_unavailable(decisions(&actions)[0].1));
    claims.on(
        Millis(501),
        Event::TransactionDone(TransactionResult::Committed { revision: 1 }),
    );
    let actions = claims.on(Millis(520), claim(3));
    assert_eq!(transaction(&actions).len(), 1);
}

#[test]
fn claim_read_back_after_a_lost_answer_is_held() {
    let mut claims = claims();
    let sent = transaction(&claims.on(Millis(0), claim(0)));
    let actions = claims.on(
        Millis(10),
        Event::TransactionDone(TransactionResult::Unknown),
    );
    assert_eq!(actions, [Action::Read(vec![id(0)])]);
    let row = Row {
        record: sent[0].record.clone().unwrap(),
        revision: 5,
    };
    let rows = BTreeMap::from([(id(0), row)]);
    let actions = claims.on(Millis(11), Event::ReadBack(Some(rows)));
    assert_eq!(decisions(&actions), [(&attempt(0), &Decision::Held)]);
}

#[test]
fn abandoned_claims_are_cleared_from_a_bounded_backlog() {
    let settings = Settings {
        max_backlog: 2,
        ..Settings::default()
    };
    let mut claims = Claims::new("node".into(), 7, settings);
    for round in 0..4 {
        let now = Millis(u64::from(round) * 1_000);
        claims.on(now, claim(round));
        claims.on(now, Event::TransactionDone(TransactionResult::Unknown));
        claims.on(now, Event::ReadBack(None));
    }
    assert_eq!((claims.backlog(), claims.dropped()), (2, 2));
    let actions = claims.on(Millis(10_000), Event::Tick);
    let cleared = transaction(&actions);
    assert!(cleared.iter().all(|change| {
        change
            .record
            .as_ref()
            .is_some_and(|record| record.state == State::Released)
    }));
    claims.on(
        Millis(10_001),
        Event::TransactionDone(TransactionResult::Committed { revision: 1 }),
    );
    assert!(claims.is_empty());
}

#[test]
fn final_result_is_kept_until_it_is_committed() {
    let mut claims = claims();
    claims.on(Millis(0), claim(0));
    claims.on(
        Millis(1),
        Event::TransactionDone(TransactionResult::Committed { revision: 1 }),
    );
    let final_result = FinalResult {
        outcome: Outcome::Complete { tokens: 1 },
        answer: claim::StoredAnswer::Inline("answer".into()),
    };
    let finish = Event::Finish {
        attempt: attempt(0),
        final_result: final_result.clone(),
    };
    let actions = claims.on(Millis(100), finish);
    assert_eq!(transaction(&actions).len(), 1);
    claims.on(
        Millis(100),
        Event::TransactionDone(TransactionResult::NotDone),
    );
    let resent = Event::Claim(Request {
        id: id(0),
        attempt: attempt(9),
        digest: "digest".into(),
        now_unix_ms: Millis(2),
    });
    let actions = claims.on(Millis(101), resent);
    assert_eq!(
        decisions(&actions),
        [(&attempt(9), &Decision::Replay(final_result))]
    );
    assert_eq!(claims.next_tick(), Some(Millis(600)));
    assert_eq!(
        transaction(&claims.on(Millis(600), Event::Tick))[0].expected,
        Some(1)
    );
    claims.on(
        Millis(601),
        Event::TransactionDone(TransactionResult::Committed { revision: 2 }),
    );
    assert!(claims.is_empty());
}
