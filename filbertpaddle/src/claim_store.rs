//! Storage of claims in the platform's table and of large answers in its object store.

use std::collections::BTreeMap;
use std::time::Duration;

use filbertpaddle_core::claim;
use filbertpaddle_core::claim::Id;
use filbertpaddle_core::claim::MAX_INLINE_BYTES;
use filbertpaddle_core::claim::Record;
use filbertpaddle_core::claim::Row;
use filbertpaddle_core::claim::State;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::group_commit::Change;
use filbertpaddle_core::group_commit::TransactionResult;
use filbertpaddle_core::name::Name;
use filbertpaddle_platform::client::Client;
use filbertpaddle_platform::error::Error;
use filbertpaddle_platform::protocol;
use filbertpaddle_platform::protocol::Condition;
use filbertpaddle_platform::protocol::TransactAnswer;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::Write;

/// Maximum number of attempts to store a large answer.
const MAX_PUT_ATTEMPTS: u32 = 10;
/// Delay between two attempts to store a large answer.
const PUT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Performs the changes in one transaction.
pub(crate) async fn transact(platform: &Client, changes: &[Change]) -> TransactionResult {
    let Some(transaction) = transaction(changes) else {
        return TransactionResult::NotDone;
    };
    match platform.transact(&transaction).await {
        Ok(TransactAnswer::Committed { revision }) => TransactionResult::Committed { revision },
        Ok(TransactAnswer::Conflict { rows, keys }) => TransactionResult::Conflict {
            rows: conflicting_rows(changes, &keys, &rows),
        },
        Err(Error::NotDone(_)) => TransactionResult::NotDone,
        Err(Error::Unknown(_)) => TransactionResult::Unknown,
    }
}

/// Reads claims, with absent ones left out; `None` if the read failed.
pub(crate) async fn read(platform: &Client, ids: &[Id]) -> Option<BTreeMap<Id, Row>> {
    let keys = ids.iter().map(Id::row_key).collect();
    let rows = platform.read(keys).await.ok()?.rows;
    let found = ids.iter().filter_map(|id| {
        let row = find(&rows, &id.row_key())?;
        Some((id.clone(), parse_row(row, &Name::default())))
    });
    Some(found.collect())
}

/// Stores the text of an answer: a short one inline, a large one in the object store.
///
/// Returns [`claim::StoredAnswer::Absent`] if the object store fails [`MAX_PUT_ATTEMPTS`]
/// times.
pub(crate) async fn store_answer(
    platform: &Client,
    attempt: &Name,
    text: &str,
) -> claim::StoredAnswer {
    if text.len() <= MAX_INLINE_BYTES {
        return claim::StoredAnswer::Inline(text.into());
    }
    let key = format!("answer/{attempt}");
    for _ in 0..MAX_PUT_ATTEMPTS {
        let put = platform.put_object(&key, text.as_bytes().to_vec()).await;
        if put.is_ok() {
            return claim::StoredAnswer::Object(key.into());
        }
        tokio::time::sleep(PUT_RETRY_INTERVAL).await;
    }
    claim::StoredAnswer::Absent
}

/// Reads the text of a stored answer; `None` if it is absent or cannot be read.
pub(crate) async fn load_answer(platform: &Client, answer: claim::StoredAnswer) -> Option<String> {
    match answer {
        claim::StoredAnswer::Absent => None,
        claim::StoredAnswer::Inline(text) => Some(text.to_string()),
        claim::StoredAnswer::Object(key) => {
            let bytes = platform.get_object(&key).await.ok()??;
            String::from_utf8(bytes).ok()
        }
    }
}

fn transaction(changes: &[Change]) -> Option<Transaction> {
    let conditions = changes.iter().map(|change| Condition {
        key: change.id.row_key(),
        revision: change.expected,
    });
    let writes = changes.iter().map(|change| {
        let value = change.record.as_ref().map(serde_json::to_string);
        Some(Write {
            key: change.id.row_key(),
            value: value.transpose().ok()?,
        })
    });
    Some(Transaction {
        conditions: conditions.collect(),
        writes: writes.collect::<Option<_>>()?,
    })
}

fn conflicting_rows(
    changes: &[Change],
    keys: &[String],
    rows: &[protocol::Row],
) -> BTreeMap<Id, Option<Row>> {
    changes
        .iter()
        .filter(|change| keys.contains(&change.id.row_key()))
        .map(|change| {
            let digest = change.record.as_ref().map(|record| &record.digest);
            let row = find(rows, &change.id.row_key());
            let row = row.map(|row| parse_row(row, digest.unwrap_or(&Name::default())));
            (change.id.clone(), row)
        })
        .collect()
}

fn find<'a>(rows: &'a [protocol::Row], key: &str) -> Option<&'a protocol::Row> {
    rows.iter().find(|row| row.key == key)
}

/// Parses a row; one that cannot be parsed counts as a claim with an unknown holder.
fn parse_row(row: &protocol::Row, digest: &Name) -> Row {
    let record = serde_json::from_str(&row.value).unwrap_or_else(|_| Record {
        attempt: Name::default(),
        digest: digest.clone(),
        holder: Name::default(),
        incarnation: 0,
        claimed_at_ms: Millis::ZERO,
        state: State::Claimed,
    });
    Row {
        record,
        revision: row.revision,
    }
}

/// Returns the name of a result in logs.
pub(crate) fn result_label(result: &TransactionResult) -> &'static str {
    match result {
        TransactionResult::Committed { .. } => "committed",
        TransactionResult::Conflict { .. } => "conflict",
        TransactionResult::NotDone => "not done",
        TransactionResult::Unknown => "unknown",
    }
}
