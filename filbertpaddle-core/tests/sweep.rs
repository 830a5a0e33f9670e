//! Retention of claims, paging and conditional removal of expired rows.

use filbertpaddle_core::claim::FinalResult;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::Record;
use filbertpaddle_core::claim::Row;
use filbertpaddle_core::claim::State;
use filbertpaddle_core::claims::Action;
use filbertpaddle_core::claims::Claims;
use filbertpaddle_core::claims::Event;
use filbertpaddle_core::claims::Settings;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::group_commit::TransactionResult;
use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_core::sweep;
use filbertpaddle_core::sweep::Entry;

const NOW_MS: Millis = Millis::from_secs(1_000_000);

fn entry(number: u32, age_ms: Millis, state: State) -> Entry {
    let id = Id {
        customer: "customer".into(),
        key: format!("{number:05}").into(),
    };
    let record = Record {
        attempt: "attempt".into(),
        digest: "digest".into(),
        holder: "node".into(),
        incarnation: 1,
        claimed_at_ms: Millis(NOW_MS.0 - age_ms.0),
        state,
    };
    let revision = u64::from(number);
    Entry {
        row_key: id.row_key(),
        claim: Some((id, Row { record, revision })),
    }
}

fn finished() -> State {
    State::Finished(FinalResult {
        outcome: Outcome::Complete { tokens: 1 },
        answer: Default::default(),
    })
}

#[test]
fn claims_expire_after_their_retention() {
    let day = sweep::RETENTION_MS;
    let hour = sweep::RELEASED_RETENTION_MS;
    let page = vec![
        entry(1, day, finished()),
        entry(2, day + Millis(1), finished()),
        entry(3, day + Millis(1), State::Claimed),
        entry(4, hour + Millis(1), State::Claimed),
        entry(5, hour, State::Released),
        entry(6, hour + Millis(1), State::Released),
    ];
    let step = sweep::step(page, NOW_MS);
    let revisions = step.expired.iter().map(|(_, row)| row.revision);
    assert_eq!(revisions.collect::<Vec<_>>(), [2, 3, 6]);
    assert_eq!(step.after, None);
}

#[test]
fn full_page_continues_and_many_expired_rows_shorten_the_interval() {
    let old = sweep::RETENTION_MS + Millis(1);
    let page = (0..sweep::PAGE_ROWS).map(|number| entry(number, old, finished()));
    let step = sweep::step(page.collect(), NOW_MS);
    assert_eq!(step.after.as_deref(), Some("claim/customer/00499"));
    assert_eq!(step.interval_ms, sweep::FAST_INTERVAL_MS);
}

#[test]
fn expired_rows_are_deleted_only_at_the_revision_read() {
    let mut claims = Claims::new("node".into(), 1, Settings::default());
    let expired = sweep::step(
        vec![entry(7, sweep::RETENTION_MS + Millis(1), finished())],
        NOW_MS,
    )
    .expired;
    let actions = claims.on(Millis(0), Event::Expired(expired));
    let [Action::Transact(changes)] = actions.as_slice() else {
        panic!("expected one transaction, got {actions:?}");
    };
    assert_eq!(changes[0].expected, Some(7));
    assert_eq!(changes[0].record, None);
    let lost = claims.on(
        Millis(1),
        Event::TransactionDone(TransactionResult::NotDone),
    );
    assert!(lost.is_empty() && claims.is_empty());
}
